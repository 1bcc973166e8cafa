//! Limits the extra calls to one service, that is, the hedges and retries
//! beyond the first call of each request, over any window of the configured
//! length.
//!
//! Load: many targets reject calls, so that more extra calls are wanted than the
//! limit allows. Those that complete an answer come first: hedges and calls for
//! shards that an answer can do without may use only a part of the limit.

use std::{collections::VecDeque, time::Duration};

use heatherrun_kernel::Time;

/// Number of buckets per window; counts are exact to one bucket.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Share of the limit that is used. The rest covers calls that arrive in
/// another window than they were sent in.
const USABLE_SHARE: f64 = 0.85;

/// Part of the limit that extra calls may use without which an answer is
/// possible.
const OPTIONAL_SHARE: f64 = 0.7;

/// Part of the limit that is kept from a request for each shard that it lacks
/// beyond the first, and for each step of its priority, with their maximum
/// numbers: a request that is nearer to its answer comes first, then the more
/// urgent one. All steps together leave more than [`OPTIONAL_SHARE`].
const KEPT_PER_MISSING: f64 = 0.05;
const MAX_MISSING_STEPS: u16 = 4;
const KEPT_PER_PRIORITY: f64 = 0.01;
const MAX_PRIORITY_STEPS: u8 = 4;

/// What an extra call is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A hedge, or a shard that the answer can do without.
    Optional,
    /// The request lacks this number of shards for an answer, at least one.
    Missing(u16),
}

impl Need {
    /// Part of the limit that a call of a request with this priority, 0 being
    /// the highest, may use.
    #[must_use]
    pub fn usable_share(self, priority: u8) -> f64 {
        let Self::Missing(missing) = self else {
            return OPTIONAL_SHARE;
        };
        let missing_steps = missing.saturating_sub(1).min(MAX_MISSING_STEPS);
        let priority_steps = priority.min(MAX_PRIORITY_STEPS);
        1.0 - f64::from(missing_steps) * KEPT_PER_MISSING
            - f64::from(priority_steps) * KEPT_PER_PRIORITY
    }
}

/// Limit on extra calls, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraCallLimit {
    /// Extra calls allowed per request.
    pub share: f64,
    /// Extra calls allowed in addition, for all nodes together.
    pub slack: u32,
    /// Length of the window.
    pub window: Duration,
}

/// Counts of one interval of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    start: Time,
    requests: u32,
    extra_calls: u32,
}

/// Counts of requests and extra calls of one service on one node.
#[derive(Debug, Default)]
pub struct ExtraCallWindow {
    buckets: VecDeque<Bucket>,
}

impl ExtraCallWindow {
    /// Records a request.
    pub fn record_request(&mut self, now: Time, limit: &ExtraCallLimit) {
        self.current_bucket(now, limit).requests += 1;
    }

    /// Consumes one extra call; false if the limit is reached. `node_share` is
    /// the share of the slack that this node may use, and `usable_share` the part
    /// of the limit that calls of this kind may use.
    pub fn try_take(
        &mut self,
        now: Time,
        limit: &ExtraCallLimit,
        node_share: f64,
        usable_share: f64,
    ) -> bool {
        self.current_bucket(now, limit);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let extra_calls: u32 = self.buckets.iter().map(|b| b.extra_calls).sum();
        let slack = f64::from(limit.slack) * node_share;
        let max_extra = (f64::from(requests) * limit.share + slack) * USABLE_SHARE * usable_share;
        if f64::from(extra_calls + 1) > max_extra {
            return false;
        }
        self.current_bucket(now, limit).extra_calls += 1;
        true
    }

    fn current_bucket(&mut self, now: Time, limit: &ExtraCallLimit) -> &mut Bucket {
        let bucket_length = limit.window / BUCKETS_PER_WINDOW;
        while let Some(first) = self.buckets.front() {
            // Keep one bucket more than the window, so that no window is
            // undercounted.
            if now.since(first.start) <= limit.window + bucket_length {
                break;
            }
            self.buckets.pop_front();
        }
        let starts_bucket = self
            .buckets
            .back()
            .is_none_or(|b| now.since(b.start) >= bucket_length);
        if starts_bucket {
            self.buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
