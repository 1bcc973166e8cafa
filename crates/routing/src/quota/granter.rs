//! The granter of teams: their token buckets, and which nodes admit by
//! themselves because they are out of touch.

use std::{collections::HashMap, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;

use super::{CREDIT_TTL, Demand, Grant, Limit, REPLY_TIMEOUT, SILENT_AFTER};

/// Time for which a node counts after it was last listed as serving. It may be
/// cut off and admit by its share.
const DEPARTED_TTL: Duration = Duration::from_secs(20);

/// Maximum part of the bucket granted to one node in advance of its requests, so
/// that credit is left for requests that wait at other nodes.
const STOCK_DIVISOR: f64 = 4.0;

/// Time of the team's rate that all nodes together hold as stock at most. More
/// would be missing for a burst at other nodes.
const MAX_STOCK_SECS: f64 = 0.75;

/// Maximum time until more credit is expected that a reply states.
const MAX_RETRY: Duration = Duration::from_mins(1);

/// Time between calls from which this node must have been suspended. Messages
/// that arrived meanwhile say nothing about the nodes that sent them.
const SUSPENDED_AFTER: Duration = Duration::from_secs(1);

/// A node that counts.
#[derive(Clone, Copy, Debug)]
struct Counted {
    power: f64,
    /// Last time at which it was listed as serving.
    listed: Time,
    /// Last contact that the node confirmed.
    contact: Option<Time>,
}

/// Credit of one team.
#[derive(Debug)]
struct Bucket {
    limit: Limit,
    level: f64,
    filled_at: Time,
    /// Credit that nodes hold at most, and until when.
    held: HashMap<Name, (f64, Time)>,
}

/// Token buckets of the teams that this node grants credit of.
#[derive(Debug, Default)]
pub struct Granter {
    nodes: HashMap<Name, Counted>,
    teams: HashMap<Name, Bucket>,
    /// Last call, and until when messages may be outdated.
    called_at: Time,
    outdated_until: Time,
}

impl Granter {
    /// Sets the serving nodes with their power.
    pub fn set_nodes<'a>(&mut self, now: Time, serving: impl IntoIterator<Item = (&'a Name, f64)>) {
        for (name, power) in serving {
            let counted = self.nodes.entry(Name::clone(name)).or_insert(Counted {
                power,
                listed: now,
                contact: None,
            });
            counted.power = power;
            counted.listed = now;
        }
        self.nodes.retain(|_, n| now.since(n.listed) < DEPARTED_TTL);
    }

    /// Sets the teams to grant credit of. A new one starts without credit.
    pub fn set_teams<'a>(&mut self, now: Time, teams: impl IntoIterator<Item = (&'a Name, Limit)>) {
        let mut old = std::mem::take(&mut self.teams);
        for (name, limit) in teams {
            let mut bucket = old.remove(name).unwrap_or(Bucket {
                limit,
                level: 0.0,
                filled_at: now,
                held: HashMap::new(),
            });
            if bucket.limit != limit {
                bucket.limit = limit;
                bucket.level = bucket.level.min(limit.capacity());
            }
            self.teams.insert(Name::clone(name), bucket);
        }
    }

    /// Records a message of a node that was sent `silent_for` after its last
    /// answered one; `None` if it admits by its own share or has just left
    /// another granter.
    pub fn record_contact(&mut self, now: Time, node: &Name, silent_for: Option<Duration>) {
        // The period up to now goes by who was in touch during it.
        self.fill(now);
        let Some(counted) = self.nodes.get_mut(node) else {
            return;
        };
        let silent_for = silent_for.filter(|_| now >= self.outdated_until);
        counted.contact = silent_for.map(|silent_for| now - silent_for);
    }

    /// Answers the demand of a node for one team, after
    /// [`Self::record_contact`] of the same message; `None` if this node grants no
    /// credit of it.
    pub fn grant(&mut self, now: Time, node: &Name, team: &str, demand: &Demand) -> Option<Grant> {
        let share = self.share_in_touch(now);
        let bucket = self.teams.get_mut(team)?;
        bucket.fill(now, share);
        bucket.held.remove(node);
        bucket.level += demand.returned.max(0.0) - demand.used.max(0.0);
        let room = bucket.room(now) - demand.held.max(0.0);
        let available = bucket.level.min(room);
        let max_stock = room - bucket.limit.capacity() + MAX_STOCK_SECS * bucket.limit.per_sec;
        let urgent = demand.waiting.min(available).max(0.0).floor();
        let stock = (demand.wanted - demand.waiting)
            .min((available - urgent) / STOCK_DIVISOR)
            .min(max_stock - urgent)
            .max(0.0)
            .floor();
        let granted = urgent + stock;
        bucket.level -= granted;
        let until = now + CREDIT_TTL + REPLY_TIMEOUT;
        let held = demand.held.max(0.0) + granted;
        if held > 0.0 {
            bucket.held.insert(Name::clone(node), (held, until));
        }
        let retry_after = if bucket.level >= 1.0 {
            Duration::ZERO
        } else {
            let secs = (1.0 - bucket.level) / (bucket.limit.per_sec * share).max(1e-3);
            Duration::from_secs_f64(secs.min(MAX_RETRY.as_secs_f64()))
        };
        Some(Grant {
            granted,
            retry_after,
        })
    }

    /// Credit left and limit of a team.
    #[must_use]
    pub fn level(&self, team: &str) -> Option<(f64, Limit)> {
        self.teams.get(team).map(|b| (b.level, b.limit))
    }

    /// Fills all buckets for the time up to now.
    pub fn fill(&mut self, now: Time) {
        if now.since(self.called_at) >= SUSPENDED_AFTER {
            for node in self.nodes.values_mut() {
                node.contact = None;
            }
            self.outdated_until = now + REPLY_TIMEOUT;
        }
        self.called_at = now;
        let share = self.share_in_touch(now);
        for bucket in self.teams.values_mut() {
            bucket.fill(now, share);
        }
    }

    /// Share of the power of the counted nodes that is in touch.
    #[must_use]
    pub fn share_in_touch(&self, now: Time) -> f64 {
        let is_near = |n: &&Counted| n.contact.is_some_and(|at| now.since(at) < SILENT_AFTER);
        let total: f64 = self.nodes.values().map(|n| n.power).sum();
        let near: f64 = self.nodes.values().filter(is_near).map(|n| n.power).sum();
        if total > 0.0 { near / total } else { 0.0 }
    }
}

impl Bucket {
    /// Credit that the bucket may hold, given what the nodes hold.
    fn room(&mut self, now: Time) -> f64 {
        self.held.retain(|_, (_, until)| now < *until);
        let held: f64 = self.held.values().map(|(held, _)| held).sum();
        self.limit.capacity() - held
    }

    /// Adds the credit for the time since the last call, for the share of the
    /// nodes that is in touch.
    fn fill(&mut self, now: Time, share: f64) {
        let secs = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        // Nodes out of touch hold their share of the burst too.
        let silent_burst = self.limit.burst * (1.0 - share);
        let room = self.room(now) - silent_burst;
        let filled = self.level + self.limit.per_sec * share * secs;
        self.level = filled.min(room.max(self.level.min(0.0)));
    }
}
