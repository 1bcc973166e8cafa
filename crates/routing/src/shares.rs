//! Shares of this node in limits that hold for all nodes together: connections
//! to targets, the slack of the budget of extra calls, and the rate of calls to
//! targets that are cold or name a limit. Only the nodes that serve callers have
//! shares, proportional to their power, as is the number of callers.

use std::collections::HashMap;

use heatherrun_kernel::routes::{Name, NodeEntry};
use xxhash_rust::xxh3::xxh3_64;

use crate::pacer::Pace;
use crate::target::Target;

/// Shares of a target's connections for the nodes of its region and for all
/// other nodes. The rest is left for nodes that are not known yet, and for
/// single calls of nodes in reserve.
const SAME_REGION_SHARE: f64 = 0.5;
const OTHER_REGIONS_SHARE: f64 = 0.42;

/// Shares of a target's rate for the nodes of its region, which send it nearly
/// all of their calls, and for all other nodes.
const SAME_REGION_RATE: f64 = 0.85;
const OTHER_REGIONS_RATE: f64 = 0.15;

/// Serving nodes that each failure domain counts for at least while this node
/// does not know all of them yet.
const ASSUMED_NODES: f64 = 3.0;

/// Shares of this node in what targets of one region take.
#[derive(Clone, Debug, PartialEq)]
struct RegionShares {
    region: Name,
    connections: f64,
    rate: f64,
    /// Position of this node among those that share the rate, from 0 to 1.
    offset: f64,
}

/// Shares of this node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Shares by region of the target.
    regions: Vec<RegionShares>,
    /// Share in limits that hold for all nodes together; zero in reserve.
    pub total_share: f64,
    /// Position of this node among those in reserve, from 0 to 1.
    offset: f64,
}

impl Shares {
    /// Shares of `own` among the nodes that serve or served until recently,
    /// which include it if it serves. `domains` gives the region of each failure
    /// domain. `knows_all` is false just after the start, when nodes may be
    /// missing.
    #[must_use]
    pub fn new(
        own: &NodeEntry,
        serving: &[NodeEntry],
        domains: &HashMap<Name, Name>,
        knows_all: bool,
    ) -> Self {
        // Power of the nodes whose region is counted.
        let total_power = |is_counted: &dyn Fn(&Name) -> bool| -> f64 {
            let known = serving.iter().filter(|n| is_counted(&n.region));
            let known: f64 = known.map(|n| n.power).sum();
            if knows_all {
                return known;
            }
            let assumed = domains.values().filter(|region| is_counted(region));
            let assumed = assumed.map(|_| ASSUMED_NODES * own.power);
            known.max(assumed.sum())
        };
        if !serving.iter().any(|n| n.name == own.name) {
            return Self {
                offset: hashed_fraction(&own.name),
                ..Self::default()
            };
        }
        let share = |region: &Name| {
            let is_same = *region == own.region;
            let connections = if is_same {
                SAME_REGION_SHARE
            } else {
                OTHER_REGIONS_SHARE
            };
            let power = total_power(&|r| (*r == own.region) == is_same);
            let near_power = total_power(&|r| r == region);
            let far_power = total_power(&|r| r != region);
            let (rate, rate_power) = if is_same {
                (SAME_REGION_RATE, near_power)
            } else {
                (OTHER_REGIONS_RATE, far_power)
            };
            // Nodes that are not there leave their part to the others.
            let is_split = near_power > 0.0 && far_power > 0.0;
            let rate_power = rate_power.max(own.power);
            let sharing = serving
                .iter()
                .filter(|n| (n.region == *region) == is_same && n.name < own.name);
            let power_before: f64 = sharing.map(|n| n.power).sum();
            RegionShares {
                region: Name::clone(region),
                connections: connections * own.power / power.max(own.power),
                rate: if is_split { rate } else { 1.0 } * own.power / rate_power,
                offset: power_before / rate_power,
            }
        };
        let mut regions: Vec<&Name> = domains.values().collect();
        regions.sort_unstable();
        regions.dedup();
        let regions = regions.into_iter();
        Self {
            regions: regions.map(share).collect(),
            total_share: own.power / total_power(&|_| true).max(own.power),
            offset: 0.0,
        }
    }

    /// Whether this node serves callers. In reserve it keeps no connections.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.total_share > 0.0
    }

    /// Maximum number of concurrent calls of this node to a target of `region`
    /// that accepts `connections` in all; at least one.
    #[must_use]
    pub fn max_calls(&self, region: &Name, connections: u16) -> u16 {
        let share = self.of_region(region).map_or(0.0, |s| s.connections);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a u16, not negative"
        )]
        let max_calls = (f64::from(connections) * share) as u16;
        max_calls.max(1)
    }

    /// Pace of this node's calls to a target that takes a limited rate from all
    /// nodes together: its share of the limit that the target names, and of
    /// `cold_per_sec` if it is in its slow start. `None` if neither applies.
    #[must_use]
    pub fn pace(&self, target: &Target, cold_per_sec: Option<f64>) -> Option<Pace> {
        let shares = self.of_region(&target.region);
        let (rate_share, offset) = shares.map_or((0.0, self.offset), |s| (s.rate, s.offset));
        let limit = target.limit_per_sec().map(|limit| limit * rate_share);
        let cold = cold_per_sec.map(|rate| rate * self.total_share);
        let per_sec = [limit, cold].into_iter().flatten().reduce(f64::min)?;
        // Another node is the first one for each target.
        let offset = (offset + hashed_fraction(&target.entry.id)).fract();
        Some(Pace::new(per_sec, offset))
    }

    fn of_region(&self, region: &Name) -> Option<&RegionShares> {
        self.regions.iter().find(|shares| shares.region == *region)
    }
}

/// Even distribution of names over 0 to 1.
fn hashed_fraction(name: &str) -> f64 {
    let high_bits = u32::try_from(xxh3_64(name.as_bytes()) >> 32).unwrap_or_default();
    f64::from(high_bits) / f64::from(u32::MAX)
}
