//! One query from its plan to its verdict: which calls to send, which to
//! hedge or repeat, and which replies may be merged.
//!
//! A search whose fingerprint is not known to be harmless, or whose snapshot
//! is not known, goes to one shard first. The reply pins the snapshot and
//! proves that the search does not crash its target; then all other shards
//! are asked.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::message::{CallError, CallKind, Done, Failure, Ran, Reason, TargetReply};
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{MapRev, ShardIx, Snapshot, TargetId, Time};
use rand::{Rng, RngExt};

use crate::answer::weight;
pub use crate::answer::{Merged, Missing, Verdict};
use crate::marks::Level;
use crate::slot::Slot;
use crate::{budget::Budget, fleet::Fleet, hedge::Hedges};

/// Time kept for merging and for the way back to the caller.
const MARGIN: Duration = Duration::from_millis(2);

/// Shards asked at the same time before the search is proven.
const MOST_FIRST: usize = 2;

/// Time after which a hedge that could not be sent is tried again.
const HEDGE_AGAIN: Duration = Duration::from_millis(5);

/// Hedge delays after which an answer with enough coverage waits no longer
/// for a shard.
const PATIENCE: u32 = 4;

/// What a query asks for.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Service as pinned.
    pub service: Arc<Service>,
    /// How its calls may be treated.
    pub kind: CallKind,
    /// Point at which the caller gives up.
    pub deadline: Time,
    /// Lots wanted.
    pub limit: usize,
    /// Least coverage that makes an answer, in per cent. Zero waits for full
    /// coverage until the deadline and then takes any.
    pub least: u8,
    /// Delay after which a call is hedged while none is learned.
    pub hedge: Duration,
    /// Whether the request is known not to crash its targets.
    pub proven: bool,
}

/// What the driver must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a call through the target's owner.
    Send(Sent),
    /// Cancel a call that is not needed any more.
    Cancel {
        /// Count of the call within its query.
        attempt: u16,
        /// Target it was sent to.
        target: TargetId,
    },
}

/// One call of the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Count of the call within its query.
    pub attempt: u16,
    /// Why it is sent.
    pub reason: Reason,
    /// Target.
    pub target: TargetId,
    /// Shard.
    pub shard: ShardIx,
    /// When it was decided.
    pub at: Time,
}

/// State of one query.
#[derive(Debug)]
pub struct Query {
    spec: Spec,
    snapshot: Snapshot,
    slots: Vec<Slot>,
    /// Shard of each attempt.
    shards: Vec<u16>,
    /// First attempt of the plan in force; replies to earlier ones are not
    /// merged.
    plan: usize,
    replanned: bool,
    /// Whether only a few shards are asked until one of them answers.
    probing: bool,
    ran: bool,
}

/// What a query needs from its entry to decide.
pub struct Context<'a, R: Rng> {
    /// What was seen of the targets.
    pub fleet: &'a Fleet,
    /// Budget of hedges and retries.
    pub budget: &'a Budget,
    /// Learned hedge delays.
    pub hedges: &'a Hedges,
    /// Service as configured now.
    pub current: Option<&'a Arc<Service>>,
    /// Whether a target may get new work now.
    pub usable: &'a dyn Fn(TargetId) -> bool,
    /// What is known of the request's fingerprint.
    pub level: Level,
    /// Source of random choices.
    pub rng: &'a mut R,
}

impl Query {
    /// Query that pins `snapshot`; zero lets the first reply pin it.
    #[must_use]
    pub fn new(spec: Spec, snapshot: Snapshot) -> Self {
        let mut made = Self {
            slots: Vec::new(),
            shards: Vec::with_capacity(spec.service.shards.len()),
            snapshot,
            spec,
            plan: 0,
            replanned: false,
            probing: false,
            ran: false,
        };
        made.reset();
        made
    }

    fn reset(&mut self) {
        self.slots.clear();
        self.slots
            .resize_with(self.spec.service.shards.len(), Slot::default);
        let careful = !self.spec.proven || self.snapshot == Snapshot(0);
        self.probing = self.is_search() && self.slots.len() > 1 && careful;
        self.plan = self.shards.len();
    }

    fn is_search(&self) -> bool {
        self.spec.kind == CallKind::Search
    }

    fn end(&self) -> Time {
        self.spec.deadline - MARGIN
    }

    /// Snapshot pinned; calls carry it.
    #[must_use]
    pub const fn snapshot(&self) -> Snapshot {
        self.snapshot
    }

    /// Shard map pinned; calls carry it.
    #[must_use]
    pub fn map(&self) -> MapRev {
        self.spec.service.map
    }

    /// Whether some target answered the request, so that it crashes not all.
    #[must_use]
    pub const fn proven(&self) -> bool {
        self.spec.proven
    }

    /// Calls sent so far.
    #[must_use]
    pub fn attempts(&self) -> u16 {
        u16::try_from(self.shards.len()).unwrap_or(u16::MAX)
    }

    /// Sends the first attempts.
    pub fn start<R: Rng>(&mut self, now: Time, cx: &mut Context<'_, R>) -> Vec<Action> {
        cx.budget.earn(self.slots.len());
        let mut actions = Vec::with_capacity(self.slots.len());
        self.launch(Reason::First, now, cx, &mut actions);
        actions
    }

    /// Asks all shards that were not asked, or a few of them while probing.
    fn launch<R: Rng>(
        &mut self,
        reason: Reason,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        let count = self.slots.len();
        let mut first = 0;
        if self.probing {
            first = cx.rng.random_range(0..count);
        }
        let pinned = self.snapshot != Snapshot(0) && !self.is_suspect(cx);
        let most = if pinned { MOST_FIRST } else { 1 };
        for step in 0..count {
            let shard = (first + step) % count;
            if !self.slots[shard].is_held() {
                continue;
            }
            let sent = self.send(shard, reason, now, cx, actions);
            if !sent && cx.level != Level::Banned {
                self.pause(shard, now, cx);
            }
            if sent && self.probing && self.open() >= most {
                return;
            }
        }
    }

    fn send<R: Rng>(
        &mut self,
        shard: usize,
        reason: Reason,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let slot = &mut self.slots[shard];
        slot.again = None;
        if cx.level == Level::Banned {
            slot.failure = Some(Failure::Marked);
            return false;
        }
        let fresh: Vec<_> = self.spec.service.shards[shard]
            .iter()
            .copied()
            .filter(|id| (cx.usable)(*id) && !slot.tried.contains(id))
            .collect();
        let target = cx.fleet.choose(now, &fresh, self.snapshot, cx.rng);
        let room = self.shards.len() < usize::from(u16::MAX);
        let Some(target) = target.filter(|_| room && now < self.spec.deadline - MARGIN) else {
            slot.failure.get_or_insert(Failure::NoConnection);
            return false;
        };
        let sent = Sent {
            attempt: u16::try_from(self.shards.len()).unwrap_or(u16::MAX),
            reason,
            target,
            shard: ShardIx(u16::try_from(shard).unwrap_or(u16::MAX)),
            at: now,
        };
        self.shards.push(sent.shard.0);
        slot.tried.push(target);
        slot.attempts += 1;
        slot.open.push(sent);
        slot.hedge = None;
        if self.spec.kind != CallKind::Once {
            let delay = cx.hedges.delay(sent.shard, self.spec.hedge);
            slot.hedge = Some(now + delay);
        }
        cx.fleet.seen(target).sent();
        actions.push(Action::Send(sent));
        true
    }

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
                self.on_reply(shard, reply, now, cx, &mut actions);
            }
            Err(error) => {
                seen.failed(now, took, error.failure, &done.report);
                if error.failure == Failure::SnapshotGone {
                    seen.lacks(self.snapshot);
                }
                if error.failure == Failure::Busy {
                    cx.budget.note_overload(now);
                }
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
        if self.probing && self.open() == 0 {
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

    fn pause<R: Rng>(&mut self, shard: usize, now: Time, cx: &mut Context<'_, R>) {
        let jitter = cx.rng.random_range(0.0..1.0);
        let end = self.end();
        self.slots[shard].pause(now, end, jitter);
    }

    /// A suspect that no target answered runs on one target at a time.
    fn is_suspect<R: Rng>(&self, cx: &Context<'_, R>) -> bool {
        cx.level != Level::Clear && !self.spec.proven
    }

    fn open(&self) -> usize {
        self.slots.iter().map(|slot| slot.open.len()).sum()
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
    fn must_replan<R: Rng>(&self, shard: usize, failure: Failure, cx: &Context<'_, R>) -> bool {
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
    fn replan<R: Rng>(&mut self, now: Time, cx: &mut Context<'_, R>, actions: &mut Vec<Action>) {
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
                slot.hedge = Some(now + HEDGE_AGAIN);
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
        let most = if self.is_suspect(cx) { 1 } else { MOST_FIRST };
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
        if !self.slots[shard].may_send() || self.slots[shard].open.is_empty() {
            self.slots[shard].hedge = None;
            return;
        }
        if self.is_suspect(cx) {
            return;
        }
        if self.probing {
            if self.open() < MOST_FIRST {
                self.launch(Reason::First, now, cx, actions);
            }
            return;
        }
        let unproven = !self.spec.proven && self.slots[shard].open.len() >= MOST_FIRST;
        let marked = cx.level != Level::Clear;
        let off = cx.budget.is_overloaded(now) || unproven || marked;
        if off || !self.has_idle(shard, now, cx) {
            return;
        }
        if cx.budget.spend() && !self.send(shard, Reason::Hedge, now, cx, actions) {
            cx.budget.refund();
        }
    }

    /// Whether some replica that was not tried has no calls queued.
    fn has_idle<R: Rng>(&self, shard: usize, now: Time, cx: &Context<'_, R>) -> bool {
        let tried = &self.slots[shard].tried;
        let idle = |id: &TargetId| !tried.contains(id) && !cx.fleet.seen(*id).is_full(now);
        self.spec.service.shards[shard].iter().any(idle)
    }

    /// Point at which something must be decided without a reply.
    #[must_use]
    pub fn wake_at(&self, now: Time) -> Time {
        let mut wake = self.end();
        for slot in &self.slots {
            if let Some(at) = slot.wake_at() {
                wake = wake.min(at);
            }
        }
        let patience = self.patience_end();
        if self.is_partial_accepted() && patience > now {
            wake = wake.min(patience);
        }
        wake.max(now)
    }

    fn is_partial_accepted(&self) -> bool {
        (1..100).contains(&self.spec.least)
    }

    /// Point at which an answer with enough coverage waits no longer.
    fn patience_end(&self) -> Time {
        let sent = self.slots.iter().filter(|s| !s.is_settled());
        let last = sent.filter_map(|s| s.open.iter().map(|o| o.at).min()).max();
        match last {
            Some(last) if !self.probing => last + self.spec.hedge * PATIENCE,
            _ => self.end(),
        }
    }

    /// The verdict, once every shard is settled, enough of them are, too many
    /// failed, or time has run out.
    pub fn verdict(&mut self, now: Time) -> Option<Verdict> {
        let total = self.slots.len();
        let failed = self.slots.iter().filter(|s| s.is_failed()).count();
        let settled = self.slots.iter().filter(|s| s.is_settled()).count();
        let reached = settled - failed;
        let hopeless = !self.covers(total - failed, total);
        let patient =
            self.is_partial_accepted() && self.covers(reached, total) && now >= self.patience_end();
        let done = settled == total || hopeless || patient || now >= self.end();
        if !done {
            return None;
        }
        Some(if self.covers(reached, total) {
            Verdict::Answer(self.merge(reached, total))
        } else {
            self.refuse(reached, total)
        })
    }

    fn covers(&self, reached: usize, total: usize) -> bool {
        reached > 0 && reached * 100 >= usize::from(self.spec.least) * total
    }

    fn refuse(&self, reached: usize, total: usize) -> Verdict {
        let mut ran = Ran::NotRun;
        if self.ran || self.open() > 0 {
            ran = Ran::Unknown;
        }
        let missing = self.slots.iter().filter(|s| s.reply.is_none());
        let failures = missing.map(|s| s.failure.unwrap_or(Failure::TimedOut));
        Verdict::Refused {
            ran,
            failure: failures
                .max_by_key(|f| weight(*f))
                .unwrap_or(Failure::TimedOut),
            reached: (reached, total),
        }
    }

    fn merge(&mut self, reached: usize, total: usize) -> Merged {
        let mut merged = Merged {
            snapshot: self.snapshot,
            reached,
            total,
            ..Merged::default()
        };
        for (shard, slot) in self.slots.iter_mut().enumerate() {
            match slot.reply.take() {
                Some((lots, body)) => {
                    merged.lots.extend(lots);
                    merged.body = body;
                }
                None => merged.missing.push(Missing {
                    shard: ShardIx(u16::try_from(shard).unwrap_or(u16::MAX)),
                    failure: slot.failure.unwrap_or(Failure::TimedOut),
                }),
            }
        }
        merged.finish(self.spec.limit);
        merged
    }
}

/// Whether another attempt cannot end better.
const fn is_final(failure: Failure) -> bool {
    matches!(failure, Failure::Marked | Failure::Expired)
}

/// Whether such a failure, when not run, cost its target nothing, so that
/// another attempt is no extra load.
const fn is_unsent(failure: Failure) -> bool {
    matches!(
        failure,
        Failure::NotOwner
            | Failure::DomainOut
            | Failure::NoConnection
            | Failure::StaleEpoch
            | Failure::Draining
    )
}
