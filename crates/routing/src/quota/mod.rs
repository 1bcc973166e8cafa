//! Quotas of teams over all nodes: prepaid credit.
//!
//! Each team has a [`granter`] among the serving nodes, which holds its token
//! bucket. Each node holds a small [`stock`] of credit per team. A node that is
//! out of touch with the granter admits by its share of the rate, which the
//! granter meanwhile deducts.

pub mod contact;
pub mod granter;
pub mod stock;

use std::time::Duration;

use heatherrun_kernel::routes::{Name, Team};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum number of granters, so that a node sends few messages.
pub const MAX_GROUPS: u64 = 4;

/// Interval between messages of a node to a granter.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum wait for the reply of a granter. Together with [`SILENT_AFTER`] it
/// must stay below [`TRUST_TIME`].
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after the last confirmed contact with a node from which the granter
/// deducts the node's share of the rate.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// Time after the last answered message from which a node admits by its own
/// share. It begins later than [`SILENT_AFTER`] at the granter.
pub const TRUST_TIME: Duration = Duration::from_secs(2);

/// Time for which granted credit is valid, from the message that asked for it.
pub const CREDIT_TTL: Duration = Duration::from_secs(2);

/// Number of nodes that may admit a request of a team without credit. Each has
/// at most one such request that is not reported, so together they use 16 of the
/// 20 requests by which the quota may be exceeded.
pub const MAX_ADVANCES: usize = 16;

/// Limit on the requests of one team, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Requests per second; positive.
    pub per_sec: f64,
    /// Requests at once beyond that rate.
    pub burst: f64,
}

impl Limit {
    /// Limit of a team; `None` if it has none.
    #[must_use]
    pub fn of(team: &Team) -> Option<Self> {
        let per_sec = team.per_sec.filter(|r| r.is_finite() && *r > 0.0)?;
        Some(Self {
            per_sec,
            burst: if team.burst.is_finite() {
                team.burst.max(0.0)
            } else {
                0.0
            },
        })
    }

    /// Maximum credit of the team's bucket together with what is granted and
    /// not used: the burst, about half of the tolerated overshoot of a window of
    /// 5 s (10%), and 3 requests of the slack.
    #[must_use]
    pub fn capacity(self) -> f64 {
        self.burst + 0.06 * (5.0 * self.per_sec + self.burst) + 3.0
    }
}

/// Group of a team; teams of one group have the same granter.
#[must_use]
pub fn group(team: &str) -> u64 {
    xxh3_64(team.as_bytes()) % MAX_GROUPS
}

/// Granter of a group among the serving nodes, by rendezvous hashing.
pub fn granter<'a>(group: u64, serving: impl IntoIterator<Item = &'a Name>) -> Option<&'a Name> {
    serving.into_iter().max_by_key(|n| (weight(group, n), *n))
}

/// Place of a node in the order in which nodes may admit a request without
/// credit, lowest first. A node far from the granter cannot wait for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It is in reserve and near the granter.
    NearReserve,
    /// It serves and is near the granter.
    NearServing,
    /// It is in reserve and in another region than the granter.
    FarReserve,
    /// It serves and is in another region than the granter.
    FarServing,
}

impl Standing {
    /// Standing of a node.
    #[must_use]
    pub const fn new(is_serving: bool, is_near: bool) -> Self {
        match (is_serving, is_near) {
            (false, true) => Self::NearReserve,
            (true, true) => Self::NearServing,
            (false, false) => Self::FarReserve,
            (true, false) => Self::FarServing,
        }
    }
}

/// Whether `own` is among the nodes that may admit a request of the team without
/// credit.
#[must_use]
pub fn may_advance<'a>(
    team: &str,
    own: &Name,
    nodes: impl IntoIterator<Item = (&'a Name, Standing)>,
) -> bool {
    let seed = xxh3_64(team.as_bytes());
    let rank = |(name, standing): (&'a Name, Standing)| (standing, weight(seed, name), name);
    let ranks: Vec<_> = nodes.into_iter().map(rank).collect();
    let own_rank = ranks.iter().find(|(_, _, name)| *name == own);
    own_rank.is_some_and(|own| ranks.iter().filter(|r| *r > own).count() < MAX_ADVANCES)
}

fn weight(seed: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// What a node tells the granter of one team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests admitted without credit since the last answered message.
    pub used: f64,
    /// Credit returned unused.
    pub returned: f64,
    /// Credit wanted, including that for waiting requests.
    pub wanted: f64,
    /// Requests that wait for credit.
    pub waiting: f64,
    /// Credit that the node still holds.
    pub held: f64,
}

/// What the granter replies for one team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grant {
    /// Credit, in whole requests.
    pub granted: f64,
    /// Time until more credit is expected; zero while there is some left.
    pub retry_after: Duration,
}
