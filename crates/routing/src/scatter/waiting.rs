//! Waiting of a shard that cannot be called now.
//!
//! Load: half of the targets reject 60% of calls, so that the budget of extra
//! calls is used up for seconds. A search that lacks one part must not end for one
//! rejected call while time is left: its caller would repeat all calls.
//! Before the first call is sent, a request waits only until `capacity_by`,
//! since its caller can be refused at no cost.

use std::time::Duration;

use heatherrun_kernel::Time;

use super::Scatter;
use super::event::{Cause, RequestShard, TargetChoice};

/// Delay before another attempt to choose a target, after all targets were at
/// their concurrency limit or a hedge could not be sent.
pub(super) const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(4);

/// Number of attempts after which [`CAPACITY_RETRY_DELAY`] doubles, and how
/// often it does: each attempt wakes a node that may have a quarter of a core.
const CAPACITY_ATTEMPTS_PER_STEP: u32 = 8;
const MAX_CAPACITY_DOUBLINGS: u32 = 2;

/// Delay before another attempt to take an extra call from the budget, and how
/// often it doubles. The budget frees up over seconds.
pub(super) const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(12);
const MAX_BUDGET_DOUBLINGS: u32 = 2;

/// Delay before targets that refused a call are tried again, and how often it
/// doubles. A target with a full queue completes about a quarter of it in the
/// first delay.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_REFUSAL_DOUBLINGS: u32 = 3;

impl Scatter {
    /// Latest time until which a shard may wait: the deadline once a call was
    /// sent.
    fn wait_limit(&self) -> Time {
        if self.is_started && !self.calls.is_empty() {
            self.plan.end
        } else {
            self.plan.capacity_by.min(self.plan.end)
        }
    }

    /// Schedules another attempt for a shard of which no target can be called
    /// now, or ends the shard if waiting gains nothing.
    pub(super) fn wait_for_target(&mut self, now: Time, ix: RequestShard, why: &TargetChoice) {
        let limit = self.wait_limit();
        let shard = &self.shards[ix];
        let readmit_at = shard.readmit_at.filter(|at| *at < limit);
        let (at, cause, hold) = match *why {
            TargetChoice::AtCapacity => {
                let steps = shard.waits / CAPACITY_ATTEMPTS_PER_STEP;
                let delay = CAPACITY_RETRY_DELAY * 2_u32.pow(steps.min(MAX_CAPACITY_DOUBLINGS));
                let at = self.shared_wake(now, delay).min(limit);
                (Some(at).filter(|_| now < limit), Cause::AtCapacity, None)
            }
            TargetChoice::Held(until, hold) => {
                let at = until.max(now + CAPACITY_RETRY_DELAY);
                let at = Some(at).filter(|_| until < limit);
                (at, hold.into(), Some((until, hold)))
            }
            TargetChoice::NoTarget | TargetChoice::Target(_) => (None, Cause::NoTarget, None),
        };
        let shard = &mut self.shards[ix];
        shard.waits += 1;
        shard.retry_at = at.into_iter().chain(readmit_at).min();
        if shard.retry_at.is_none() {
            shard.cause.get_or_insert(cause);
            shard.held = hold.or(shard.held);
        }
    }

    /// Schedules another attempt for a shard whose call the budget refused.
    pub(super) fn wait_for_budget(&mut self, now: Time, ix: RequestShard) {
        let doublings = self.shards[ix].waits.min(MAX_BUDGET_DOUBLINGS);
        let at = self.shared_wake(now, BUDGET_RETRY_DELAY * 2_u32.pow(doublings));
        let shard = &mut self.shards[ix];
        shard.waits += 1;
        shard.unpaid += 1;
        shard.retry_at = Some(at.min(self.plan.end));
    }

    /// Schedules another attempt for a shard with several refused calls.
    pub(super) fn wait_after_refusals(&mut self, now: Time, ix: RequestShard) {
        let pause = self.refusal_pause(now, ix);
        self.shards[ix].retry_at = Some(now + pause);
    }

    /// Delay before targets of the shard that refused a call now are tried
    /// again. It doubles each time all of them have refused, and is at most half
    /// of the time left.
    pub(super) fn refusal_pause(&self, now: Time, ix: RequestShard) -> Duration {
        let doublings = self.shards[ix].readmissions.min(MAX_REFUSAL_DOUBLINGS);
        let pause = REFUSAL_RETRY_DELAY * 2_u32.pow(doublings);
        pause
            .min(self.plan.end.time_left(now) / 2)
            .max(CAPACITY_RETRY_DELAY)
    }

    /// Time of the next attempt of a shard, about `delay` from now: that of
    /// another shard if one is close, so that they wake the request once.
    fn shared_wake(&self, now: Time, delay: Duration) -> Time {
        let close = now + delay / 2..=now + delay;
        let planned = self.shards.iter().filter_map(|s| s.retry_at);
        let planned = planned.filter(|at| close.contains(at)).max();
        planned.unwrap_or(now + delay)
    }
}
