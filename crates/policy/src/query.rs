//! One query from its plan to its verdict: which calls to send, which to
//! hedge or repeat, and which replies may be merged.
//!
//! A search whose fingerprint is not known to be harmless, or whose snapshot
//! is not known, goes to one shard first. The reply pins the snapshot and
//! proves that the search does not crash its target; then all other shards
//! are asked.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::message::{CallKind, Failure, Reason};
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{MapRev, ShardIx, Snapshot, TargetId, Time};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use crate::answer::{Merged, Missing, Verdict};
use crate::marks::Level;
use crate::slot::Slot;
use crate::{budget::Budget, fleet::Fleet, hedge::Hedges};

mod outcome;
mod timer;
mod verdict;

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
    /// Fingerprint of service and body.
    pub print: u64,
}

impl Spec {
    /// Targets on which a request that is not proven is tried: all entries
    /// try the same few of a shard, so that one sent to all of them at the
    /// same moment crashes no more than these.
    ///
    /// A search asks one shard first and needs no such choice. A suspect goes
    /// to no other target: the second one may have crashed already, and the
    /// mark is on its way.
    fn trial(&self, shard: usize, fresh: Vec<TargetId>, level: Level) -> Vec<TargetId> {
        let all = &self.service.shards[shard];
        if self.proven || self.kind == CallKind::Search || all.len() <= MOST_FIRST {
            return fresh;
        }
        let mut ranked = all.clone();
        ranked.sort_unstable_by_key(|id| xxh3_64_with_seed(&id.0.to_le_bytes(), self.print));
        ranked.truncate(MOST_FIRST);
        let few: Vec<_> = fresh
            .iter()
            .copied()
            .filter(|id| ranked.contains(id))
            .collect();
        if few.is_empty() && level == Level::Clear {
            return fresh;
        }
        few
    }
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

    /// Asks all shards that were not asked, or one more while probing.
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
        // Two first replies could come from two snapshots.
        let mut most = self.most_open(cx);
        if self.snapshot == Snapshot(0) {
            most = most.min(self.open() + 1);
        }
        for step in 0..count {
            let shard = (first + step) % count;
            if !self.slots[shard].is_held() {
                continue;
            }
            let sent = self.send(shard, reason, now, cx, actions);
            if !sent && cx.level != Level::Banned {
                self.pause(shard, now, cx);
            }
            if self.probing && self.open() >= most {
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
        let ix = index(shard);
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
        let fresh = self.spec.trial(shard, fresh, cx.level);
        let slot = &mut self.slots[shard];
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
            shard: ix,
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

    fn pause<R: Rng>(&mut self, shard: usize, now: Time, cx: &mut Context<'_, R>) {
        let jitter = cx.rng.random_range(0.0..1.0);
        let end = self.end();
        self.slots[shard].pause(now, end, jitter);
    }

    /// Calls that may be open before some target answered the request.
    fn most_open<R: Rng>(&self, cx: &Context<'_, R>) -> usize {
        if self.is_suspect(cx) { 1 } else { MOST_FIRST }
    }

    /// A suspect that no target answered runs on one target at a time.
    fn is_suspect<R: Rng>(&self, cx: &Context<'_, R>) -> bool {
        cx.level != Level::Clear && !self.spec.proven
    }

    fn open(&self) -> usize {
        self.slots.iter().map(|slot| slot.open.len()).sum()
    }
}

fn index(shard: usize) -> ShardIx {
    ShardIx(u16::try_from(shard).unwrap_or(u16::MAX))
}
