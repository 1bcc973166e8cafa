//! One query from its plan to its verdict: which calls to send, which to
//! hedge or repeat, which replies to merge, and what the answer covers.

use std::{collections::HashSet, sync::Arc, time::Duration};

use heatherrun_kernel::message::{CallKind, Done, Failure, Lot, Ran, Reason};
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{MapRev, ShardIx, Snapshot, TargetId, Time};
use rand::Rng;

use crate::{budget::Budget, fleet::Fleet};

/// Time kept for merging and for the way back to the caller.
const MARGIN: Duration = Duration::from_millis(2);

/// Attempts for one shard at the most, the first included.
const MOST_ATTEMPTS: usize = 4;

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
    /// Least coverage that makes an answer, in per cent.
    pub least: u8,
    /// Delay after which a call is hedged.
    pub hedge: Duration,
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

/// One shard that is not covered, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing {
    /// Shard.
    pub shard: ShardIx,
    /// Why its last attempt failed.
    pub failure: Failure,
}

/// The outcome of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// An answer from one snapshot.
    Answer(Merged),
    /// No answer that the caller accepts.
    Refused {
        /// Whether any call may have run.
        ran: Ran,
        /// The failure that weighs most.
        failure: Failure,
        /// Shards reached and wanted.
        reached: (usize, usize),
    },
}

/// A merged answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merged {
    /// Lots, best first, none twice.
    pub lots: Vec<Lot>,
    /// Body of a request's answer.
    pub body: Vec<u8>,
    /// Snapshot of every merged reply.
    pub snapshot: Snapshot,
    /// Shards reached.
    pub reached: usize,
    /// Shards in all.
    pub total: usize,
    /// Shards not covered.
    pub missing: Vec<Missing>,
}

#[derive(Debug, Default)]
struct Slot {
    open: Vec<Sent>,
    tried: Vec<TargetId>,
    reply: Option<(Vec<Lot>, Vec<u8>)>,
    failure: Option<Failure>,
    unknown: bool,
}

impl Slot {
    fn settled(&self) -> bool {
        self.reply.is_some() || (self.open.is_empty() && self.failure.is_some())
    }
}

/// State of one query.
#[derive(Debug)]
pub struct Query {
    spec: Spec,
    snapshot: Snapshot,
    slots: Vec<Slot>,
    attempts: u16,
    replanned: bool,
    ran: bool,
}

/// What a query needs from its entry to decide.
pub struct Context<'a, R: Rng> {
    /// What was seen of the targets.
    pub fleet: &'a Fleet,
    /// Budget of hedges and retries.
    pub budget: &'a Budget,
    /// Whether a target may get new work now.
    pub usable: &'a dyn Fn(TargetId) -> bool,
    /// Source of random choices.
    pub rng: &'a mut R,
}

impl Query {
    /// Query that pins `snapshot`; zero lets the first reply pin it.
    #[must_use]
    pub fn new(spec: Spec, snapshot: Snapshot) -> Self {
        let mut slots = Vec::new();
        slots.resize_with(spec.service.shards.len(), Slot::default);
        Self {
            spec,
            snapshot,
            slots,
            attempts: 0,
            replanned: false,
            ran: false,
        }
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

    /// Calls sent so far.
    #[must_use]
    pub const fn attempts(&self) -> u16 {
        self.attempts
    }

    /// Sends the first attempt for each shard.
    pub fn start<R: Rng>(&mut self, now: Time, cx: &mut Context<'_, R>) -> Vec<Action> {
        cx.budget.earn(self.slots.len());
        let mut actions = Vec::with_capacity(self.slots.len());
        for shard in 0..self.slots.len() {
            self.send(shard, Reason::First, now, cx, &mut actions);
        }
        actions
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
        let fresh: Vec<_> = self.spec.service.shards[shard]
            .iter()
            .copied()
            .filter(|id| (cx.usable)(*id) && !slot.tried.contains(id))
            .collect();
        let Some(target) = cx.fleet.choose(&fresh, self.snapshot, cx.rng) else {
            slot.failure.get_or_insert(Failure::NoConnection);
            return false;
        };
        let sent = Sent {
            attempt: self.attempts,
            reason,
            target,
            shard: ShardIx(u16::try_from(shard).unwrap_or(u16::MAX)),
            at: now,
        };
        self.attempts += 1;
        slot.tried.push(target);
        slot.open.push(sent);
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
        let took = done.result.is_ok().then(|| now.since(sent.at));
        cx.fleet.seen(sent.target).ended(took, Some(&done.report));
        match done.result {
            Ok(reply) => {
                self.ran = true;
                if self.snapshot == Snapshot(0) && self.spec.kind == CallKind::Search {
                    self.snapshot = reply.snapshot;
                }
                let pinned = reply.snapshot == self.snapshot && reply.map == self.map();
                if self.spec.kind == CallKind::Search && !pinned {
                    self.replan(now, cx, &mut actions);
                    return actions;
                }
                let slot = &mut self.slots[shard];
                slot.reply.get_or_insert((reply.lots, reply.body));
                self.cancel_open(shard, cx, &mut actions);
            }
            Err(error) => {
                let slot = &mut self.slots[shard];
                slot.failure = Some(error.failure);
                slot.unknown |= error.ran == Ran::Unknown;
                if matches!(error.failure, Failure::SnapshotGone | Failure::MapChanged) {
                    self.replan(now, cx, &mut actions);
                } else if self.may_retry(shard, error.ran) && cx.budget.spend() {
                    self.send(shard, Reason::Retry, now, cx, &mut actions);
                }
            }
        }
        actions
    }

    fn take_open(&mut self, attempt: u16) -> Option<(usize, Sent)> {
        for (shard, slot) in self.slots.iter_mut().enumerate() {
            if let Some(at) = slot.open.iter().position(|sent| sent.attempt == attempt) {
                return Some((shard, slot.open.swap_remove(at)));
            }
        }
        None
    }

    fn may_retry(&self, shard: usize, ran: Ran) -> bool {
        let slot = &self.slots[shard];
        let repeatable = self.spec.kind != CallKind::Once || ran == Ran::NotRun;
        repeatable && slot.open.is_empty() && slot.tried.len() < MOST_ATTEMPTS
    }

    fn cancel_open<R: Rng>(
        &mut self,
        shard: usize,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        for sent in self.slots[shard].open.drain(..) {
            cx.fleet.seen(sent.target).ended(None, None);
            actions.push(Action::Cancel {
                attempt: sent.attempt,
                target: sent.target,
            });
        }
    }

    /// Starts over with the newest snapshot that all shards hold, once.
    fn replan<R: Rng>(&mut self, now: Time, cx: &mut Context<'_, R>, actions: &mut Vec<Action>) {
        if self.replanned {
            return;
        }
        self.replanned = true;
        self.snapshot = cx.fleet.common_snapshot(&self.spec.service.shards);
        for shard in 0..self.slots.len() {
            self.cancel_open(shard, cx, actions);
            self.slots[shard] = Slot::default();
            self.send(shard, Reason::Retry, now, cx, actions);
        }
    }

    /// Hedges calls that are slow; call it at [`Query::wake_at`].
    pub fn on_tick<R: Rng>(&mut self, now: Time, cx: &mut Context<'_, R>) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.spec.kind == CallKind::Once {
            return actions;
        }
        for shard in 0..self.slots.len() {
            let slot = &self.slots[shard];
            let [only] = slot.open.as_slice() else {
                continue;
            };
            let late = now.since(only.at) >= self.spec.hedge;
            if late && slot.tried.len() < MOST_ATTEMPTS && cx.budget.spend() {
                self.send(shard, Reason::Hedge, now, cx, &mut actions);
            }
        }
        actions
    }

    /// Point at which something must be decided without a reply.
    #[must_use]
    pub fn wake_at(&self, now: Time) -> Time {
        let end = self.spec.deadline - MARGIN;
        let mut wake = end;
        for slot in &self.slots {
            let [only] = slot.open.as_slice() else {
                continue;
            };
            let hedge = only.at + self.spec.hedge;
            if hedge > now && self.spec.kind != CallKind::Once {
                wake = wake.min(hedge);
            }
        }
        wake
    }

    /// The verdict, once every shard is settled or time has run out.
    pub fn verdict(&mut self, now: Time) -> Option<Verdict> {
        let late = now >= self.spec.deadline - MARGIN;
        if !late && !self.slots.iter().all(Slot::settled) {
            return None;
        }
        let total = self.slots.len();
        let reached = self.slots.iter().filter(|s| s.reply.is_some()).count();
        let enough = reached * 100 >= usize::from(self.spec.least) * total && reached > 0;
        Some(if enough {
            Verdict::Answer(self.merge(reached, total))
        } else {
            self.refuse(reached, total)
        })
    }

    fn refuse(&self, reached: usize, total: usize) -> Verdict {
        let sent = |s: &Slot| s.unknown || s.reply.is_some() || !s.open.is_empty();
        let ran = if self.ran || self.slots.iter().any(sent) {
            Ran::Unknown
        } else {
            Ran::NotRun
        };
        let failure = self.slots.iter().find_map(|s| match s.reply {
            None => Some(s.failure.unwrap_or(Failure::TimedOut)),
            Some(_) => None,
        });
        Verdict::Refused {
            ran,
            failure: failure.unwrap_or(Failure::TimedOut),
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
        merged.lots.sort_by(|a, b| b.score.total_cmp(&a.score));
        let mut ids = HashSet::new();
        merged.lots.retain(|lot| ids.insert(lot.id.clone()));
        merged.lots.truncate(self.spec.limit);
        merged
    }
}
