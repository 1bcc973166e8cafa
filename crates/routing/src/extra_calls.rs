//! Limits the extra calls to one service, that is, the hedges and retries
//! beyond the first call of each request, over any window of the configured
//! length.

use std::{collections::VecDeque, time::Duration};

use heatherrun_kernel::Time;

/// Number of buckets per window; counts are exact to one bucket.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Share of the limit that is used. The rest covers calls that arrive in
/// another window than they were sent in.
const USABLE_SHARE: f64 = 0.85;

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
    /// the share of the slack that this node may use.
    pub fn try_take(&mut self, now: Time, limit: &ExtraCallLimit, node_share: f64) -> bool {
        self.current_bucket(now, limit);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let extra_calls: u32 = self.buckets.iter().map(|b| b.extra_calls).sum();
        let slack = f64::from(limit.slack) * node_share;
        let max_extra = (f64::from(requests) * limit.share + slack) * USABLE_SHARE;
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
