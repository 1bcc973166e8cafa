//! Handles the end of a call: merges the reply, retries the call or starts a
//! new plan.

use std::sync::Arc;

use heatherrun_kernel::message::{
    CallError, CallKind, CallOutcome, Failure, Ran, Reason, TargetReply,
};
use heatherrun_kernel::{Snapshot, TargetId, Time};
use rand::Rng;

use super::{Action, Context, Query, SentCall};

impl Query {
    /// Applies the outcome of one call. Outcomes of calls that are not in
    /// flight, or that belong to an earlier plan, are ignored.
    pub fn on_done<R: Rng>(
        &mut self,
        now: Time,
        done: CallOutcome,
        cx: &mut Context<'_, R>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some((shard, sent)) = self.remove_open_call(done.attempt) else {
            return actions;
        };
        let stats = cx.fleet.stats(sent.target);
        let latency = now.since(sent.sent_at);
        match done.result {
            Ok(reply) => {
                stats.count_reply(now, latency, &done.report);
                cx.hedges.record_latency(sent.shard, latency);
                cx.budget.record_call(false);
                self.on_reply(shard, reply, now, cx, &mut actions);
            }
            Err(error) => {
                stats.count_failure(now, latency, error.failure, &done.report);
                if error.failure == Failure::SnapshotGone {
                    stats.exclude_snapshot(self.snapshot);
                }
                cx.budget.record_call(error.failure == Failure::Busy);
                self.on_error(shard, error, now, cx, &mut actions);
            }
        }
        actions
    }

    fn remove_open_call(&mut self, attempt: u16) -> Option<(usize, SentCall)> {
        let attempt = usize::from(attempt);
        if attempt < self.plan_start {
            return None;
        }
        let shard = usize::from(*self.attempt_shards.get(attempt)?);
        let open_calls = &mut self.shard_states[shard].open_calls;
        let position = open_calls
            .iter()
            .position(|sent| usize::from(sent.attempt) == attempt)?;
        Some((shard, open_calls.swap_remove(position)))
    }

    fn on_reply<R: Rng>(
        &mut self,
        shard: usize,
        reply: TargetReply,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        self.may_have_run = true;
        self.spec.confirmed = true;
        if self.snapshot == Snapshot(0) && self.is_search() {
            self.snapshot = reply.snapshot;
        }
        if self.is_search() && (reply.snapshot != self.snapshot || reply.map != self.map()) {
            let mut failure = Failure::MapChanged;
            if reply.map == self.map() {
                failure = Failure::SnapshotGone;
            }
            self.on_error(shard, CallError::unknown(failure), now, cx, actions);
            return;
        }
        self.shard_states[shard].reply = Some((reply.lots, reply.body));
        self.cancel_open_calls(shard, now, cx, actions);
        if self.probing {
            self.probing = false;
            self.send_pending(Reason::First, now, cx, actions);
            self.enable_hedges(now);
        }
    }

    /// Allows an immediate hedge of calls whose hedge time passed while the
    /// query was probing.
    fn enable_hedges(&mut self, now: Time) {
        for state in &mut self.shard_states {
            if state.hedge_at.is_none() && !state.open_calls.is_empty() {
                state.hedge_at = Some(now);
            }
        }
    }

    fn on_error<R: Rng>(
        &mut self,
        shard: usize,
        error: CallError,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        self.may_have_run |= error.ran == Ran::Unknown;
        self.shard_states[shard].failure = Some(error.failure);
        if self.must_replan(shard, error.failure, cx) {
            self.replan(now, cx, actions);
            return;
        }
        if !self.shard_states[shard].open_calls.is_empty() {
            return;
        }
        let repeatable = self.spec.kind != CallKind::Once || error.ran == Ran::NotRun;
        if repeatable && !is_final(error.failure) {
            self.retry(shard, error, now, cx, actions);
        }
        if self.probing && self.open_calls() < self.max_open_calls(cx) {
            self.send_pending(Reason::First, now, cx, actions);
        }
    }

    /// Calls another replica immediately. When none is left and the last
    /// attempt was not run, schedules a retry round over all replicas.
    fn retry<R: Rng>(
        &mut self,
        shard: usize,
        error: CallError,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        if self.is_suspect(cx) && self.open_calls() > 0 {
            self.schedule_retry(shard, now, cx);
            return;
        }
        let unbudgeted = error.ran == Ran::NotRun && is_free_retry(error.failure);
        if !self.shard_states[shard].may_send() {
            return;
        }
        if unbudgeted || cx.budget.try_spend() {
            if self.send_call(shard, Reason::Retry, now, cx, actions) {
                return;
            }
            if !unbudgeted {
                cx.budget.refund();
            }
        }
        if error.ran == Ran::NotRun {
            self.schedule_retry(shard, now, cx);
        }
    }

    /// Cancels the calls in flight for a shard; they may have run.
    fn cancel_open_calls<R: Rng>(
        &mut self,
        shard: usize,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        for sent in self.shard_states[shard].open_calls.drain(..) {
            self.may_have_run = true;
            let waited = now.since(sent.sent_at);
            cx.fleet.stats(sent.target).count_cancelled(now, waited);
            actions.push(Action::Cancel {
                attempt: sent.attempt,
                target: sent.target,
            });
        }
    }

    /// Whether the query needs a new plan: the configured shard map is newer
    /// than the pinned one, or no untried replica of the shard may hold the
    /// pinned snapshot.
    pub(super) fn must_replan<R: Rng>(
        &self,
        shard: usize,
        failure: Failure,
        cx: &Context<'_, R>,
    ) -> bool {
        if self.replanned || !self.is_search() {
            return false;
        }
        match failure {
            Failure::MapChanged => cx.current.is_some_and(|current| current.map > self.map()),
            Failure::SnapshotGone => {
                let state = &self.shard_states[shard];
                let may_answer = |id: &TargetId| {
                    let untried = (cx.is_usable)(*id) && !state.tried.contains(id);
                    untried && cx.fleet.stats(*id).may_hold(self.snapshot)
                };
                !self.spec.service.shards[shard].iter().any(may_answer)
            }
            _ => false,
        }
    }

    /// Starts a new plan, once per query, on the configured shard map and the
    /// newest snapshot common to all shards. Replies to calls of the earlier
    /// plan are not merged.
    pub(super) fn replan<R: Rng>(
        &mut self,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        self.replanned = true;
        for shard in 0..self.shard_states.len() {
            self.cancel_open_calls(shard, now, cx, actions);
        }
        if let Some(current) = cx.current {
            self.spec.service = Arc::clone(current);
        }
        let mut newest_common = cx.fleet.common_snapshot(&self.spec.service.shards);
        if newest_common <= self.snapshot {
            newest_common = Snapshot(0);
        }
        self.snapshot = newest_common;
        self.reset();
        self.send_pending(Reason::Retry, now, cx, actions);
    }
}

/// Whether no further attempt can succeed after this failure.
const fn is_final(failure: Failure) -> bool {
    matches!(failure, Failure::Marked | Failure::Expired)
}

/// Whether a call that failed like this without having run caused no work on
/// its target. Its retry adds no load and is not charged to the budget.
pub(super) const fn is_free_retry(failure: Failure) -> bool {
    matches!(
        failure,
        Failure::NotOwner
            | Failure::DomainOut
            | Failure::NoConnection
            | Failure::StaleEpoch
            | Failure::Draining
    )
}
