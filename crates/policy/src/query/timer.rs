//! What a query does when time passes: hedges and attempts after a pause.

use heatherrun_kernel::message::{Failure, Reason};
use heatherrun_kernel::{TargetId, Time};
use rand::Rng;

use super::outcome::is_unsent;
use super::{Action, Context, HEDGE_AGAIN, MOST_FIRST, Query};
use crate::marks::Level;

impl Query {
    /// Hedges slow calls and repeats refused ones; call it at
    /// [`Query::wake_at`].
    pub fn on_tick<R: Rng>(&mut self, now: Time, cx: &mut Context<'_, R>) -> Vec<Action> {
        let mut actions = Vec::new();
        for shard in 0..self.slots.len() {
            let slot = &mut self.slots[shard];
            if slot.again.is_some_and(|at| at <= now) {
                self.again(shard, now, cx, &mut actions);
                continue;
            }
            if slot.hedge.is_some_and(|at| at <= now) {
                slot.hedge = None;
                self.hedge(shard, now, cx, &mut actions);
            }
        }
        actions
    }

    fn again<R: Rng>(
        &mut self,
        shard: usize,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        let failure = self.slots[shard].failure.unwrap_or(Failure::Busy);
        if self.must_replan(shard, failure, cx) {
            self.replan(now, cx, actions);
            return;
        }
        let most = self.most_open(cx);
        let careful = self.probing || self.is_suspect(cx);
        let blocked = careful && self.open() >= most;
        let free = is_unsent(failure);
        if blocked || !(free || cx.budget.spend()) {
            self.slots[shard].again = None;
            self.pause(shard, now, cx);
            return;
        }
        if !self.send(shard, Reason::Retry, now, cx, actions) {
            if !free {
                cx.budget.refund();
            }
            self.pause(shard, now, cx);
        }
    }

    fn hedge<R: Rng>(
        &mut self,
        shard: usize,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        if self.is_suspect(cx) || self.slots[shard].open.is_empty() {
            return;
        }
        if self.probing {
            if self.open() < self.most_open(cx) {
                self.launch(Reason::First, now, cx, actions);
            }
            return;
        }
        let unproven = !self.spec.proven && self.slots[shard].open.len() >= MOST_FIRST;
        let marked = cx.level != Level::Clear;
        if unproven || marked || !self.slots[shard].may_send() {
            return;
        }
        let off = cx.budget.is_overloaded() || !self.has_idle(shard, now, cx);
        if off || !cx.budget.spend() {
            self.slots[shard].hedge = Some(now + HEDGE_AGAIN);
            return;
        }
        if !self.send(shard, Reason::Hedge, now, cx, actions) {
            cx.budget.refund();
        }
    }

    /// Whether some replica that was not tried has no calls queued.
    fn has_idle<R: Rng>(&self, shard: usize, now: Time, cx: &Context<'_, R>) -> bool {
        let tried = &self.slots[shard].tried;
        let idle = |id: &TargetId| !tried.contains(id) && !cx.fleet.seen(*id).is_full(now);
        self.spec.service.shards[shard].iter().any(idle)
    }
}
