//! What a query does when a call ends: merge, retry, or plan anew.

use std::sync::Arc;

use heatherrun_kernel::message::{CallError, CallKind, Done, Failure, Ran, Reason, TargetReply};
use heatherrun_kernel::{Snapshot, TargetId, Time};
use rand::Rng;

use super::{Action, Context, Query, Sent};

impl Query {
    /// Takes the outcome of one call.
    pub fn on_done<R: Rng>(
        &mut self,
        now: Time,
        done: Done,
        cx: &mut Context<'_, R>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some((shard, sent)) = self.take_open(done.attempt) else {
            return actions;
        };
        let seen = cx.fleet.seen(sent.target);
        let took = now.since(sent.at);
        match done.result {
            Ok(reply) => {
                seen.replied(now, took, &done.report);
                cx.hedges.note(sent.shard, took);
                cx.budget.note(false);
                self.on_reply(shard, reply, now, cx, &mut actions);
            }
            Err(error) => {
                seen.failed(now, took, error.failure, &done.report);
                if error.failure == Failure::SnapshotGone {
                    seen.lacks(self.snapshot);
                }
                cx.budget.note(error.failure == Failure::Busy);
                self.on_error(shard, error, now, cx, &mut actions);
            }
        }
        actions
    }

    fn take_open(&mut self, attempt: u16) -> Option<(usize, Sent)> {
        let attempt = usize::from(attempt);
        if attempt < self.plan {
            return None;
        }
        let shard = usize::from(*self.shards.get(attempt)?);
        let open = &mut self.slots[shard].open;
        let at = open
            .iter()
            .position(|s| usize::from(s.attempt) == attempt)?;
        Some((shard, open.swap_remove(at)))
    }

    fn on_reply<R: Rng>(
        &mut self,
        shard: usize,
        reply: TargetReply,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        self.ran = true;
        self.spec.proven = true;
        if self.snapshot == Snapshot(0) && self.is_search() {
            self.snapshot = reply.snapshot;
        }
        if self.is_search() && (reply.snapshot != self.snapshot || reply.map != self.map()) {
            let mut gone = Failure::MapChanged;
            if reply.map == self.map() {
                gone = Failure::SnapshotGone;
            }
            self.on_error(shard, CallError::unknown(gone), now, cx, actions);
            return;
        }
        self.slots[shard].reply = Some((reply.lots, reply.body));
        self.cancel_open(shard, now, cx, actions);
        if self.probing {
            self.probing = false;
            self.launch(Reason::First, now, cx, actions);
            self.rearm(now);
        }
    }

    /// Lets calls that were out for long while probing be hedged now.
    fn rearm(&mut self, now: Time) {
        for slot in &mut self.slots {
            if slot.hedge.is_none() && !slot.open.is_empty() {
                slot.hedge = Some(now);
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
        self.ran |= error.ran == Ran::Unknown;
        self.slots[shard].failure = Some(error.failure);
        if self.must_replan(shard, error.failure, cx) {
            self.replan(now, cx, actions);
            return;
        }
        if !self.slots[shard].open.is_empty() {
            return;
        }
        let repeatable = self.spec.kind != CallKind::Once || error.ran == Ran::NotRun;
        if repeatable && !is_final(error.failure) {
            self.retry(shard, error, now, cx, actions);
        }
        if self.probing && self.open() < self.most_open(cx) {
            self.launch(Reason::First, now, cx, actions);
        }
    }

    /// Tries another replica at once, or all of them again after a pause when
    /// none is left and the last attempt did not run.
    fn retry<R: Rng>(
        &mut self,
        shard: usize,
        error: CallError,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        if self.is_suspect(cx) && self.open() > 0 {
            self.pause(shard, now, cx);
            return;
        }
        let free = error.ran == Ran::NotRun && is_unsent(error.failure);
        if !self.slots[shard].may_send() {
            return;
        }
        if free || cx.budget.spend() {
            if self.send(shard, Reason::Retry, now, cx, actions) {
                return;
            }
            if !free {
                cx.budget.refund();
            }
        }
        if error.ran == Ran::NotRun {
            self.pause(shard, now, cx);
        }
    }

    /// Drops the open calls of a shard; they may have run.
    fn cancel_open<R: Rng>(
        &mut self,
        shard: usize,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        for sent in self.slots[shard].open.drain(..) {
            self.ran = true;
            let waited = now.since(sent.at);
            cx.fleet.seen(sent.target).cancelled(now, waited);
            actions.push(Action::Cancel {
                attempt: sent.attempt,
                target: sent.target,
            });
        }
    }

    /// Whether the plan does not hold any more: the map in force is newer, or
    /// no replica of the shard is known to hold the snapshot.
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
            Failure::MapChanged => cx.current.is_some_and(|now| now.map > self.map()),
            Failure::SnapshotGone => {
                let slot = &self.slots[shard];
                let left = |id: &TargetId| {
                    let fresh = (cx.usable)(*id) && !slot.tried.contains(id);
                    fresh && cx.fleet.seen(*id).may_hold(self.snapshot)
                };
                !self.spec.service.shards[shard].iter().any(left)
            }
            _ => false,
        }
    }

    /// Starts over, once, on the map in force and the newest snapshot that
    /// all shards hold. Replies of the earlier plan are not merged.
    pub(super) fn replan<R: Rng>(
        &mut self,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        self.replanned = true;
        for shard in 0..self.slots.len() {
            self.cancel_open(shard, now, cx, actions);
        }
        if let Some(current) = cx.current {
            self.spec.service = Arc::clone(current);
        }
        let mut common = cx.fleet.common_snapshot(&self.spec.service.shards);
        if common <= self.snapshot {
            common = Snapshot(0);
        }
        self.snapshot = common;
        self.reset();
        self.launch(Reason::Retry, now, cx, actions);
    }
}

/// Whether another attempt cannot end better.
const fn is_final(failure: Failure) -> bool {
    matches!(failure, Failure::Marked | Failure::Expired)
}

/// Whether such a failure, when not run, cost its target nothing, so that
/// another attempt is no extra load.
pub(super) const fn is_unsent(failure: Failure) -> bool {
    matches!(
        failure,
        Failure::NotOwner
            | Failure::DomainOut
            | Failure::NoConnection
            | Failure::StaleEpoch
            | Failure::Draining
    )
}
