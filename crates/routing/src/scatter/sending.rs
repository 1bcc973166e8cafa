//! Sending the calls of one shard: first calls, retries and hedges.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Repeat;

use super::Scatter;
use super::event::{CallToSend, Cause, Context, Reason, RequestShard, TargetChoice};
use super::shard::InFlightCall;
use crate::target::Target;

/// Delay before another attempt to choose a target, after a call that found all
/// targets at their concurrency limit or a hedge that could not be sent.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(4);

/// Delay before targets that refused a call are tried again. A target with a
/// full queue completes about a quarter of it in this time.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Delay before another attempt to hedge while no target replies.
const SILENCE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of refused or unsent calls of one shard that may be followed
/// by another call. They are not counted as attempts.
const MAX_UNEXECUTED_CALLS: u16 = 3;

impl Scatter {
    /// Whether the plan allows one more call to the shard.
    pub(super) fn may_send(&self, ix: RequestShard) -> bool {
        let shard = &self.shards[ix];
        if self.is_closed || shard.unexecuted > MAX_UNEXECUTED_CALLS {
            return false;
        }
        let in_flight = u16::try_from(shard.in_flight.len()).unwrap_or(u16::MAX);
        match self.plan.repeat {
            Repeat::Once => shard.executed == 0 && in_flight == 0,
            Repeat::Idempotent => shard.executed + in_flight < self.plan.attempts,
        }
    }

    /// Sends a call of the shard to a target that was not tried, or schedules
    /// another attempt while no target is available.
    pub(super) fn try_send(
        &mut self,
        now: Time,
        ix: RequestShard,
        reason: Reason,
        cx: &Context<'_>,
        calls_to_send: &mut Vec<CallToSend>,
    ) {
        let shard = &mut self.shards[ix];
        shard.retry_at = None;
        if now >= self.plan.end {
            shard.cause = Some(Cause::Late);
            return;
        }
        let target = match (cx.choose)(ix, &shard.tried) {
            TargetChoice::Target(target) => target,
            TargetChoice::AtCapacity if now < self.plan.capacity_by => {
                shard.retry_at = Some(now + CAPACITY_RETRY_DELAY);
                return;
            }
            TargetChoice::AtCapacity => {
                shard.cause.get_or_insert(Cause::AtCapacity);
                return;
            }
            TargetChoice::Held(until, _) if until < self.plan.capacity_by => {
                shard.retry_at = Some(until.max(now + CAPACITY_RETRY_DELAY));
                return;
            }
            TargetChoice::Held(until, hold) => {
                shard.cause.get_or_insert(hold.into());
                shard.held = Some((until, hold));
                return;
            }
            TargetChoice::NoTarget
                if !shard.refused_by.is_empty()
                    && now + REFUSAL_RETRY_DELAY < self.plan.capacity_by =>
            {
                // Only targets that refused the call are left, and their queues
                // get shorter soon: allow them again.
                let refused = std::mem::take(&mut shard.refused_by);
                shard.tried.retain(|id| !refused.contains(id));
                shard.retry_at = Some(now + REFUSAL_RETRY_DELAY);
                return;
            }
            TargetChoice::NoTarget => {
                shard.cause.get_or_insert(Cause::NoTarget);
                return;
            }
        };
        if shard.reached_target && !(cx.take_extra)(ix) {
            return;
        }
        self.send(now, ix, target, reason, cx, calls_to_send);
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        ix: RequestShard,
        target: Arc<Target>,
        reason: Reason,
        cx: &Context<'_>,
        calls_to_send: &mut Vec<CallToSend>,
    ) {
        let shard = &mut self.shards[ix];
        let call = self.calls.len();
        self.calls.push(ix);
        self.hedge_count += usize::from(reason == Reason::Hedge);
        shard.tried.push(Arc::clone(&target.entry.id));
        shard.hedge_at = None;
        if self.plan.repeat == Repeat::Idempotent && reason != Reason::Hedge {
            shard.hedge_at = Some(now + (cx.hedge_delay)(&target));
        }
        shard.in_flight.push(InFlightCall {
            call,
            target: Arc::clone(&target),
            sent_at: now,
        });
        target.record_sent(now);
        calls_to_send.push(CallToSend {
            call,
            shard: ix,
            target,
            reason,
        });
    }

    /// Records the overdue calls of the shard and hedges if the plan, the
    /// budget and the load of the next target allow it.
    pub(super) fn hedge(
        &mut self,
        now: Time,
        ix: RequestShard,
        cx: &Context<'_>,
        calls_to_send: &mut Vec<CallToSend>,
    ) {
        let attempts_left = self.may_send(ix);
        let shard = &mut self.shards[ix];
        shard.hedge_at = None;
        let mut may_hedge = true;
        for call in &shard.in_flight {
            call.target.record_overdue(now, call.sent_at);
            may_hedge &= (cx.record_overdue)(&call.target);
        }
        if !may_hedge {
            shard.hedge_at = Some(now + SILENCE_RETRY_DELAY);
            return;
        }
        if !attempts_left || shard.in_flight.is_empty() {
            return;
        }
        let retry_at = Some(now + CAPACITY_RETRY_DELAY);
        match (cx.choose)(ix, &shard.tried) {
            TargetChoice::NoTarget => {}
            TargetChoice::Held(until, _) => {
                let is_useful = until < self.plan.answer_by;
                shard.hedge_at = retry_at.max(Some(until)).filter(|_| is_useful);
            }
            TargetChoice::Target(target) if !target.is_queueing(now) && !target.is_avoided(now) => {
                // An overdue call counts as having reached its target.
                shard.reached_target = true;
                if (cx.take_extra)(ix) {
                    self.send(now, ix, target, Reason::Hedge, cx, calls_to_send);
                } else {
                    shard.hedge_at = retry_at;
                }
            }
            TargetChoice::Target(_) | TargetChoice::AtCapacity => shard.hedge_at = retry_at,
        }
    }
}
