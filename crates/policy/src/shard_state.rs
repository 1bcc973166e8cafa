//! State of one shard within one query.

use std::time::Duration;

use heatherrun_kernel::message::{Failure, Lot};
use heatherrun_kernel::{TargetId, Time};

use crate::query::SentCall;

/// Maximum number of calls that one query sends for one shard, the first one
/// included.
const MAX_SHARD_ATTEMPTS: usize = 8;

/// Maximum number of calls of one query in flight for one shard.
const MAX_OPEN_CALLS: usize = 3;

/// Delay before the first retry round: all replicas of a shard are tried again
/// after all of them refused.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(4);

/// Maximum number of retry rounds for one shard.
const MAX_RETRY_ROUNDS: u32 = 6;

/// Upper bound of the delay before a retry round, which doubles each time.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(64);

/// Calls, reply and timers of one shard within a query.
#[derive(Debug, Default)]
pub(crate) struct ShardState {
    /// Calls in flight.
    pub open_calls: Vec<SentCall>,
    /// Targets called in the current retry round.
    pub tried: Vec<TargetId>,
    /// Number of calls sent.
    pub attempts: usize,
    /// Lots and body of the reply that will be merged.
    pub reply: Option<(Vec<Lot>, Vec<u8>)>,
    /// Failure of the last attempt.
    pub failure: Option<Failure>,
    /// Time of the next retry round, if one is scheduled.
    pub retry_at: Option<Time>,
    /// Time at which the call in flight is hedged.
    pub hedge_at: Option<Time>,
    retry_rounds: u32,
}

impl ShardState {
    /// Whether the shard has replied or failed finally.
    pub fn is_settled(&self) -> bool {
        self.reply.is_some() || self.is_failed()
    }

    /// Whether the shard has failed and neither a call in flight nor a retry
    /// can still bring a reply.
    pub fn is_failed(&self) -> bool {
        let idle = self.open_calls.is_empty() && self.retry_at.is_none();
        self.reply.is_none() && idle && self.failure.is_some()
    }

    /// Whether no call is in flight and no earlier one ended in a reply or a
    /// failure.
    pub fn is_pending(&self) -> bool {
        self.open_calls.is_empty() && self.reply.is_none() && self.failure.is_none()
    }

    /// Whether the limits of attempts and of calls in flight allow another
    /// call.
    pub fn may_send(&self) -> bool {
        self.reply.is_none()
            && self.attempts < MAX_SHARD_ATTEMPTS
            && self.open_calls.len() < MAX_OPEN_CALLS
    }

    /// Schedules a retry round over all replicas. `jitter`, between 0 and 1,
    /// spreads the rounds of concurrent queries. Returns false when no attempt
    /// or round is left, or the round would not begin before `latest`.
    pub fn schedule_retry(&mut self, now: Time, latest: Time, jitter: f64) -> bool {
        if self.attempts >= MAX_SHARD_ATTEMPTS || self.retry_rounds >= MAX_RETRY_ROUNDS {
            return false;
        }
        let delay = (INITIAL_RETRY_DELAY * (1 << self.retry_rounds)).min(MAX_RETRY_DELAY);
        let retry_at = now + delay.mul_f64(0.5 + jitter);
        if retry_at >= latest {
            return false;
        }
        self.retry_rounds += 1;
        self.tried.clear();
        self.retry_at = Some(retry_at);
        true
    }

    /// Time of the next retry round or hedge, whichever comes first.
    pub fn wake_at(&self) -> Option<Time> {
        if self.reply.is_some() {
            return None;
        }
        match (self.retry_at, self.hedge_at) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}
