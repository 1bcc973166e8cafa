//! Handles timers: sends due hedges and retry rounds.

use heatherrun_kernel::message::{Failure, Reason};
use heatherrun_kernel::{TargetId, Time};
use rand::Rng;

use super::outcome::is_free_retry;
use super::{Action, Context, HEDGE_RETRY_DELAY, MAX_PROBE_CALLS, Query};
use crate::marks::Level;

impl Query {
    /// Sends the hedges and retries that are due; must be called at
    /// [`Query::wake_at`].
    pub fn on_tick<R: Rng>(&mut self, now: Time, cx: &mut Context<'_, R>) -> Vec<Action> {
        let mut actions = Vec::new();
        for shard in 0..self.shard_states.len() {
            let state = &mut self.shard_states[shard];
            if state.retry_at.is_some_and(|at| at <= now) {
                self.retry_shard(shard, now, cx, &mut actions);
                continue;
            }
            if state.hedge_at.is_some_and(|at| at <= now) {
                state.hedge_at = None;
                self.hedge_shard(shard, now, cx, &mut actions);
            }
        }
        actions
    }

    fn retry_shard<R: Rng>(
        &mut self,
        shard: usize,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        let failure = self.shard_states[shard].failure.unwrap_or(Failure::Busy);
        if self.must_replan(shard, failure, cx) {
            self.replan(now, cx, actions);
            return;
        }
        let max_open = self.max_open_calls(cx);
        let limited = self.probing || self.is_suspect(cx);
        let blocked = limited && self.open_calls() >= max_open;
        let unbudgeted = is_free_retry(failure);
        if blocked || !(unbudgeted || cx.budget.try_spend()) {
            self.shard_states[shard].retry_at = None;
            self.schedule_retry(shard, now, cx);
            return;
        }
        if !self.send_call(shard, Reason::Retry, now, cx, actions) {
            if !unbudgeted {
                cx.budget.refund();
            }
            self.schedule_retry(shard, now, cx);
        }
    }

    fn hedge_shard<R: Rng>(
        &mut self,
        shard: usize,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        if self.is_suspect(cx) || self.shard_states[shard].open_calls.is_empty() {
            return;
        }
        if self.probing {
            if self.open_calls() < self.max_open_calls(cx) {
                self.send_pending(Reason::First, now, cx, actions);
            }
            return;
        }
        let probes_open =
            !self.spec.confirmed && self.shard_states[shard].open_calls.len() >= MAX_PROBE_CALLS;
        let is_marked = cx.level != Level::Clear;
        if probes_open || is_marked || !self.shard_states[shard].may_send() {
            return;
        }
        let hedges_off = cx.budget.is_overloaded() || !self.has_idle_replica(shard, now, cx);
        if hedges_off || !cx.budget.try_spend() {
            self.shard_states[shard].hedge_at = Some(now + HEDGE_RETRY_DELAY);
            return;
        }
        if !self.send_call(shard, Reason::Hedge, now, cx, actions) {
            cx.budget.refund();
        }
    }

    /// Whether some replica that was not called yet in this retry round has no
    /// long queue at its owner.
    fn has_idle_replica<R: Rng>(&self, shard: usize, now: Time, cx: &Context<'_, R>) -> bool {
        let tried = &self.shard_states[shard].tried;
        let is_idle =
            |id: &TargetId| !tried.contains(id) && !cx.fleet.stats(*id).has_long_queue(now);
        self.spec.service.shards[shard].iter().any(is_idle)
    }
}
