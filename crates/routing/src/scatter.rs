//! State machine of one request: one call to each shard, hedges and retries
//! within the plan's limits, and the decision when the request is answered or
//! fails. A request to a single service counts as a request to one shard.
//!
//! [`Scatter`] stores no replies: it identifies calls by index, and the code
//! that drives it keeps their replies.

mod event;
mod left_out;
mod sending;
mod shard;
mod verdict;
mod waiting;

use heatherrun_kernel::Time;

pub use self::event::{
    CallEnd, CallIx, CallToSend, Cause, Context, Reason, RequestShard, TargetChoice, TriedShard,
    Verdict,
};
use self::shard::ShardState;
use crate::plan::Plan;

/// State of one request. The driver reports events to it and sends the calls
/// that it returns.
#[derive(Debug)]
pub struct Scatter {
    plan: Plan,
    shards: Vec<ShardState>,
    /// Shard of each call, in the order of sending.
    calls: Vec<RequestShard>,
    hedge_count: usize,
    /// Whether the first calls were decided on.
    is_started: bool,
    /// Whether no more calls are sent.
    is_closed: bool,
}

impl Scatter {
    /// Creates the state of a request to `shard_count` shards; nothing is sent
    /// until [`Scatter::start`].
    #[must_use]
    pub fn new(plan: Plan, shard_count: usize) -> Self {
        let mut shards = Vec::new();
        shards.resize_with(shard_count, || ShardState {
            reached_target: plan.is_repeat,
            ..ShardState::default()
        });
        Self {
            plan,
            shards,
            calls: Vec::with_capacity(shard_count),
            hedge_count: 0,
            is_started: false,
            is_closed: false,
        }
    }

    /// Limits the deadline, and the time limits before it, to `end`.
    pub fn limit_deadline(&mut self, end: Time) {
        let plan = &mut self.plan;
        plan.end = plan.end.min(end);
        plan.answer_by = plan.answer_by.min(end);
        plan.capacity_by = plan.capacity_by.min(end);
    }

    /// Number of calls sent so far.
    #[must_use]
    pub const fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Number of hedges sent so far.
    #[must_use]
    pub const fn hedge_count(&self) -> usize {
        self.hedge_count
    }

    /// Whether a target may have run a part of the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        let may_have_run =
            |s: &ShardState| s.part.is_some() || s.executed > 0 || !s.in_flight.is_empty();
        self.shards.iter().any(may_have_run)
    }

    /// Number of targets of each shard that may still run the request, apart
    /// from those that may be running it.
    #[must_use]
    pub fn attempts_left(&self) -> u16 {
        let used = |s: &ShardState| {
            let in_flight = u16::try_from(s.in_flight.len()).unwrap_or(u16::MAX);
            s.executed + in_flight + u16::from(s.part.is_some())
        };
        let most_used = self.shards.iter().map(used).max().unwrap_or_default();
        self.plan.attempts.saturating_sub(most_used)
    }

    /// Sends no more calls; those in flight may still answer.
    pub fn close(&mut self) {
        self.is_closed = true;
        for shard in &mut self.shards {
            shard.hedge_at = None;
            shard.retry_at = None;
        }
    }

    /// Whether no more calls are sent.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Deadline of the request.
    #[must_use]
    pub const fn end(&self) -> Time {
        self.plan.end
    }

    /// Starts the request: returns the first call to each shard, or none if too
    /// few shards have a target for an answer. Such a request is refused as not
    /// run, so that its caller may come back.
    pub fn start(&mut self, now: Time, cx: &Context<'_>) -> Vec<CallToSend> {
        let mut calls_to_send = Vec::with_capacity(self.shards.len());
        let silent = self.silent_shards(cx);
        for ix in 0..self.shards.len() {
            if silent.iter().all(|(silent, _)| *silent != ix) {
                self.try_send(now, ix, Reason::First, cx, &mut calls_to_send);
            }
        }
        self.start_silent(now, &silent, cx, &mut calls_to_send);
        let pending = self.shards.iter().filter(|s| s.is_pending()).count();
        if !self.meets_min_share(pending) {
            for call in calls_to_send.drain(..) {
                call.target.record_call_end();
            }
            self.withdraw();
        }
        self.is_started = true;
        calls_to_send
    }

    /// Takes back all calls, none of which was sent.
    fn withdraw(&mut self) {
        self.calls.clear();
        for shard in &mut self.shards {
            shard.in_flight.clear();
            shard.tried.clear();
            shard.hedge_at = None;
            shard.retry_at = None;
        }
    }

    /// Applies the end of a call; returns retries to send. The first part of a
    /// shard completes it, and the ends of its other calls are ignored.
    pub fn call_ended(
        &mut self,
        now: Time,
        call: CallIx,
        end: CallEnd,
        cx: &Context<'_>,
    ) -> Vec<CallToSend> {
        let mut calls_to_send = Vec::new();
        let Some(&ix) = self.calls.get(call) else {
            return calls_to_send;
        };
        let shard = &mut self.shards[ix];
        let Some(position) = shard.in_flight.iter().position(|c| c.call == call) else {
            return calls_to_send;
        };
        let ended_call = shard.in_flight.remove(position);
        if shard.part.is_some() {
            return calls_to_send;
        }
        let cause = match end {
            CallEnd::Part => {
                shard.part = Some(call);
                shard.hedge_at = None;
                shard.retry_at = None;
                return calls_to_send;
            }
            CallEnd::NotSent => Cause::NotSent,
            CallEnd::NotRun => Cause::Refused,
            CallEnd::Failed => Cause::Failed,
            CallEnd::Lost => Cause::Lost,
        };
        shard.cause = Some(shard.cause.map_or(cause, |known| known.max(cause)));
        match end {
            CallEnd::NotSent => shard.unexecuted += 1,
            CallEnd::NotRun => {
                shard.unexecuted += 1;
                shard.reached_target = true;
            }
            _ => {
                shard.executed += 1;
                shard.reached_target = true;
            }
        }
        if end == CallEnd::NotRun {
            let readmit_at = now + self.refusal_pause(now, ix);
            self.shards[ix].record_refusal(ended_call.target, readmit_at);
        }
        self.retry(now, ix, cx, &mut calls_to_send);
        self.recall_left_out(now, cx, &mut calls_to_send);
        calls_to_send
    }

    /// Returns the retries and hedges that are due.
    pub fn tick(&mut self, now: Time, cx: &Context<'_>) -> Vec<CallToSend> {
        let mut calls_to_send = Vec::new();
        for ix in 0..self.shards.len() {
            if self.shards[ix].retry_at.is_some_and(|at| now >= at) {
                let is_first = !self.shards[ix].reached_target;
                let reason = if is_first {
                    Reason::First
                } else {
                    Reason::Retry
                };
                self.shards[ix].retry_at = None;
                // A hedge sent meanwhile may be the last attempt.
                if self.may_send(ix) {
                    self.try_send(now, ix, reason, cx, &mut calls_to_send);
                }
            }
            if self.shards[ix].hedge_at.is_some_and(|at| now >= at) {
                self.hedge(now, ix, cx, &mut calls_to_send);
            }
        }
        self.recall_left_out(now, cx, &mut calls_to_send);
        calls_to_send
    }

    /// Latest time at which [`Scatter::tick`] and [`Scatter::verdict`] must be
    /// called again.
    #[must_use]
    pub fn wake_at(&self, now: Time) -> Time {
        let mut wake_at = self.plan.end;
        if now < self.plan.answer_by {
            wake_at = wake_at.min(self.plan.answer_by);
        }
        for shard in &self.shards {
            if shard.part.is_some() {
                continue;
            }
            for at in [shard.hedge_at, shard.retry_at].into_iter().flatten() {
                wake_at = wake_at.min(at);
            }
        }
        wake_at
    }
}
