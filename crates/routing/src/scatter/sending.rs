//! Sending the calls of one shard: first calls, retries and hedges.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Repeat;

use super::Scatter;
use super::event::{CallToSend, Cause, Context, Reason, RequestShard, TargetChoice};
use super::shard::InFlightCall;
use super::waiting::{BUDGET_RETRY_DELAY, CAPACITY_RETRY_DELAY};
use crate::extra_calls::Need;
use crate::target::Target;

/// Delay before another attempt to hedge while no target replies.
const SILENCE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of refused or unsent calls of one shard that are followed by another
/// call at once; further ones are followed by a call after a delay. They are not
/// counted as attempts.
const MAX_QUICK_RETRIES: u16 = 3;

impl Scatter {
    /// Whether the plan allows one more call to the shard.
    pub(super) fn may_send(&self, ix: RequestShard) -> bool {
        let shard = &self.shards[ix];
        if self.is_closed {
            return false;
        }
        let in_flight = u16::try_from(shard.in_flight.len()).unwrap_or(u16::MAX);
        match self.plan.repeat {
            Repeat::Once => shard.executed == 0 && in_flight == 0,
            Repeat::Idempotent => shard.executed + in_flight < self.plan.attempts,
        }
    }

    /// Sends the call that follows a failed one, or schedules it.
    pub(super) fn retry(
        &mut self,
        now: Time,
        ix: RequestShard,
        cx: &Context<'_>,
        calls_to_send: &mut Vec<CallToSend>,
    ) {
        if !self.may_send(ix) {
            return;
        }
        if self.shards[ix].unexecuted > MAX_QUICK_RETRIES {
            self.wait_after_refusals(now, ix);
        } else {
            self.try_send(now, ix, Reason::Retry, cx, calls_to_send);
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
        let mut choice = (cx.choose)(ix, &shard.tried);
        if !matches!(choice, TargetChoice::Target(_)) && shard.readmit_refusing(now) {
            choice = (cx.choose)(ix, &shard.tried);
        }
        let TargetChoice::Target(target) = choice else {
            self.wait_for_target(now, ix, &choice);
            return;
        };
        if shard.reached_target && !(cx.take_extra)(ix, self.need(ix)) {
            self.wait_for_budget(now, ix);
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
        shard.waits = 0;
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
                if (cx.take_extra)(ix, Need::Optional) {
                    self.send(now, ix, target, Reason::Hedge, cx, calls_to_send);
                } else {
                    shard.hedge_at = Some(now + BUDGET_RETRY_DELAY);
                }
            }
            TargetChoice::Target(_) | TargetChoice::AtCapacity => shard.hedge_at = retry_at,
        }
    }
}
