//! One request from its first calls to its answer: one call to each shard it
//! needs, hedges and retries within their bounds, and the point at which what
//! is there is answered. A request to a single service has one shard.
//!
//! [`Scatter`] holds no reply: it names calls by number, and its driver keeps
//! what they returned.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, Repeat};

use crate::plan::Plan;
use crate::target::Target;

/// Time after which a call that found no room, or no target for a hedge, is
/// tried again.
const AGAIN: Duration = Duration::from_millis(4);

/// Time after which targets that refused a call are tried again: a quarter of
/// a full queue is done by then.
const REFUSED_AGAIN: Duration = Duration::from_millis(20);

/// Calls beyond the attempts that run which may be refused or not sent, for
/// one shard.
const MOST_UNRUN: u16 = 3;

/// Slack against rounding when shares are compared.
const ROUNDING: f64 = 1e-9;

/// Number of a call within its request.
pub type CallIx = usize;

/// Number of a shard within its request.
pub type SlotIx = usize;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Its reply is a part of the answer.
    Part,
    /// Nothing was sent.
    NotSent,
    /// The target said that it did not run it.
    NotRun,
    /// The target answered with a failure.
    Failed,
    /// It was sent and no reply came; it may have run.
    Lost,
}

impl CallEnd {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Part => "part",
            Self::NotSent => "not-sent",
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Lost => "lost",
        }
    }
}

/// Why a shard is missing, or a request without answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// No target is known that may be sent it.
    NoTarget,
    /// All targets are at their limit.
    NoRoom,
    /// No target could be reached.
    NotSent,
    /// Targets refused it without running it.
    Refused,
    /// Time ran out.
    Late,
    /// A target answered with a failure.
    Failed,
    /// A reply was lost.
    Lost,
}

impl Cause {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoTarget => "no-target",
            Self::NoRoom => "no-room",
            Self::NotSent => "not-sent",
            Self::Refused => "refused",
            Self::Late => "late",
            Self::Failed => "failed",
            Self::Lost => "lost",
        }
    }
}

/// Why a call is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The first one of its shard.
    First,
    /// Beside a slow one.
    Hedge,
    /// After a failed one.
    Retry,
}

impl Reason {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
        }
    }
}

/// A call to send.
#[derive(Clone, Debug)]
pub struct Send {
    /// Number.
    pub call: CallIx,
    /// Shard.
    pub slot: SlotIx,
    /// Target.
    pub target: Arc<Target>,
    /// Why.
    pub reason: Reason,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// These calls, by shard, hold its parts; `None` is a missing shard.
    Answer(Vec<Option<CallIx>>),
    /// There is no answer.
    None {
        /// Whether no target ran any part, nor will.
        not_run: bool,
        /// Why.
        cause: Cause,
    },
}

/// Outcome of a search for a target.
pub enum Chosen {
    /// This one.
    Target(Arc<Target>),
    /// There are some, all at their limit.
    NoRoom,
    /// None may be sent the request.
    NoTarget,
}

/// What a request needs from its node to decide.
pub struct Context<'a> {
    /// A target of the shard that is not among those tried.
    pub choose: &'a dyn Fn(SlotIx, &[Name]) -> Chosen,
    /// Takes one extra call to the shard from the budget.
    pub take_extra: &'a dyn Fn(SlotIx) -> bool,
    /// Delay after which a call to the target is hedged.
    pub delay: &'a dyn Fn(&Target) -> Duration,
}

#[derive(Clone, Debug)]
struct Open {
    call: CallIx,
    target: Arc<Target>,
    sent: Time,
}

#[derive(Debug, Default)]
struct Slot {
    tried: Vec<Name>,
    /// Those of them that refused it without running it.
    refused: Vec<Name>,
    open: Vec<Open>,
    /// Calls that ran or may have run, without a part.
    ran: u16,
    /// Calls that were refused or not sent.
    unrun: u16,
    /// Whether a call reached a target: the next one is extra.
    arrived: bool,
    hedge_at: Option<Time>,
    again_at: Option<Time>,
    part: Option<CallIx>,
    cause: Option<Cause>,
}

impl Slot {
    const fn is_waiting(&self) -> bool {
        self.part.is_none() && (!self.open.is_empty() || self.again_at.is_some())
    }
}

/// State of one request.
#[derive(Debug)]
pub struct Scatter {
    plan: Plan,
    slots: Vec<Slot>,
    calls: Vec<SlotIx>,
    hedges: usize,
}

impl Scatter {
    /// Request to `shards` shards.
    #[must_use]
    pub fn new(plan: Plan, shards: usize) -> Self {
        let mut slots = Vec::new();
        slots.resize_with(shards, Slot::default);
        Self {
            plan,
            slots,
            calls: Vec::with_capacity(shards),
            hedges: 0,
        }
    }

    /// Ends the request at `end` if it would last longer.
    pub fn end_by(&mut self, end: Time) {
        let plan = &mut self.plan;
        plan.end = plan.end.min(end);
        plan.answer_by = plan.answer_by.min(end);
        plan.room_by = plan.room_by.min(end);
    }

    /// Calls sent so far.
    #[must_use]
    pub const fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Calls sent beside slow ones so far.
    #[must_use]
    pub const fn hedges(&self) -> usize {
        self.hedges
    }

    /// Shards without a part, each with the reason; one that still waits for
    /// a reply is late.
    pub fn missing(&self) -> impl Iterator<Item = (SlotIx, Cause)> {
        let missing = self.slots.iter().enumerate();
        let missing = missing.filter(|(_, slot)| slot.part.is_none());
        missing.map(|(ix, slot)| {
            let waits = !slot.open.is_empty();
            let cause = slot.cause.filter(|_| !waits);
            (ix, cause.unwrap_or(Cause::Late))
        })
    }

    /// Sends the first calls.
    pub fn start(&mut self, now: Time, cx: &Context<'_>) -> Vec<Send> {
        let mut sends = Vec::with_capacity(self.slots.len());
        for slot in 0..self.slots.len() {
            self.launch(now, slot, Reason::First, cx, &mut sends);
        }
        sends
    }

    /// Takes the end of a call.
    pub fn ended(&mut self, now: Time, call: CallIx, end: CallEnd, cx: &Context<'_>) -> Vec<Send> {
        let mut sends = Vec::new();
        let Some(&ix) = self.calls.get(call) else {
            return sends;
        };
        let slot = &mut self.slots[ix];
        let ended = slot.open.iter().position(|o| o.call == call);
        let ended = ended.map(|at| slot.open.remove(at));
        if ended.is_none() || slot.part.is_some() {
            return sends;
        }
        let cause = match end {
            CallEnd::Part => {
                slot.part = Some(call);
                slot.hedge_at = None;
                slot.again_at = None;
                return sends;
            }
            CallEnd::NotSent => Cause::NotSent,
            CallEnd::NotRun => Cause::Refused,
            CallEnd::Failed => Cause::Failed,
            CallEnd::Lost => Cause::Lost,
        };
        slot.cause = Some(slot.cause.map_or(cause, |old| old.max(cause)));
        match end {
            CallEnd::NotSent => slot.unrun += 1,
            CallEnd::NotRun => {
                slot.unrun += 1;
                slot.refused
                    .extend(ended.map(|o| Arc::clone(&o.target.entry.id)));
                slot.arrived = true;
            }
            _ => {
                slot.ran += 1;
                slot.arrived = true;
            }
        }
        if self.may_send(ix) {
            self.launch(now, ix, Reason::Retry, cx, &mut sends);
        }
        sends
    }

    /// Whether one more call of the shard keeps within the attempts.
    fn may_send(&self, ix: SlotIx) -> bool {
        let slot = &self.slots[ix];
        if slot.unrun > MOST_UNRUN {
            return false;
        }
        let open = u16::try_from(slot.open.len()).unwrap_or(u16::MAX);
        match self.plan.repeat {
            Repeat::Once => slot.ran == 0 && open == 0,
            Repeat::Idempotent => slot.ran + open < self.plan.attempts,
        }
    }

    /// Sends a call of the shard to a target that was not tried, or puts it
    /// off until there is room.
    fn launch(
        &mut self,
        now: Time,
        ix: SlotIx,
        reason: Reason,
        cx: &Context<'_>,
        sends: &mut Vec<Send>,
    ) {
        let slot = &mut self.slots[ix];
        slot.again_at = None;
        if now >= self.plan.end {
            slot.cause = Some(Cause::Late);
            return;
        }
        let target = match (cx.choose)(ix, &slot.tried) {
            Chosen::Target(target) => target,
            Chosen::NoRoom if now < self.plan.room_by => {
                slot.again_at = Some(now + AGAIN);
                return;
            }
            Chosen::NoRoom => {
                slot.cause.get_or_insert(Cause::NoRoom);
                return;
            }
            Chosen::NoTarget
                if !slot.refused.is_empty() && now + REFUSED_AGAIN < self.plan.room_by =>
            {
                // All that are left refused it: their queues are shorter soon.
                let refused = std::mem::take(&mut slot.refused);
                slot.tried.retain(|id| !refused.contains(id));
                slot.again_at = Some(now + REFUSED_AGAIN);
                return;
            }
            Chosen::NoTarget => {
                slot.cause.get_or_insert(Cause::NoTarget);
                return;
            }
        };
        if slot.arrived && !(cx.take_extra)(ix) {
            return;
        }
        self.send(now, ix, target, reason, cx, sends);
    }

    fn send(
        &mut self,
        now: Time,
        ix: SlotIx,
        target: Arc<Target>,
        reason: Reason,
        cx: &Context<'_>,
        sends: &mut Vec<Send>,
    ) {
        let slot = &mut self.slots[ix];
        let call = self.calls.len();
        self.calls.push(ix);
        self.hedges += usize::from(reason == Reason::Hedge);
        slot.tried.push(Arc::clone(&target.entry.id));
        slot.hedge_at = None;
        if self.plan.repeat == Repeat::Idempotent && reason != Reason::Hedge {
            slot.hedge_at = Some(now + (cx.delay)(&target));
        }
        slot.open.push(Open {
            call,
            target: Arc::clone(&target),
            sent: now,
        });
        target.sent(now);
        sends.push(Send {
            call,
            slot: ix,
            target,
            reason,
        });
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: Time, cx: &Context<'_>) -> Vec<Send> {
        let mut sends = Vec::new();
        for ix in 0..self.slots.len() {
            if self.slots[ix].again_at.is_some_and(|at| now >= at) {
                let first = !self.slots[ix].arrived;
                let reason = if first { Reason::First } else { Reason::Retry };
                self.launch(now, ix, reason, cx, &mut sends);
            }
            if self.slots[ix].hedge_at.is_some_and(|at| now >= at) {
                self.hedge(now, ix, cx, &mut sends);
            }
        }
        sends
    }

    fn hedge(&mut self, now: Time, ix: SlotIx, cx: &Context<'_>, sends: &mut Vec<Send>) {
        let room = self.may_send(ix);
        let slot = &mut self.slots[ix];
        slot.hedge_at = None;
        for open in &slot.open {
            open.target.overdue(now, open.sent);
        }
        if !room || slot.open.is_empty() {
            return;
        }
        let again = Some(now + AGAIN);
        match (cx.choose)(ix, &slot.tried) {
            Chosen::NoTarget => {}
            Chosen::Target(target) if !target.is_queueing(now) && !target.is_avoided(now) => {
                // The first call counts as arrived once it is overdue.
                slot.arrived = true;
                if (cx.take_extra)(ix) {
                    self.send(now, ix, target, Reason::Hedge, cx, sends);
                } else {
                    slot.hedge_at = again;
                }
            }
            Chosen::Target(_) | Chosen::NoRoom => slot.hedge_at = again,
        }
    }

    /// When [`Scatter::tick`] or [`Scatter::verdict`] must be asked again.
    #[must_use]
    pub fn wake_at(&self, now: Time) -> Time {
        let mut wake = self.plan.end;
        if now < self.plan.answer_by {
            wake = wake.min(self.plan.answer_by);
        }
        for slot in &self.slots {
            if slot.part.is_some() {
                continue;
            }
            for at in [slot.hedge_at, slot.again_at].into_iter().flatten() {
                wake = wake.min(at);
            }
        }
        wake
    }

    /// The answer, once it is certain.
    #[must_use]
    pub fn verdict(&self, now: Time) -> Option<Verdict> {
        let total = self.slots.len();
        let done = self.slots.iter().filter(|s| s.part.is_some()).count();
        let waiting = self.slots.iter().filter(|s| s.is_waiting()).count();
        let enough = done > 0 && self.is_enough(done);
        let late = now >= self.plan.end;
        let settled = waiting == 0 || now >= self.plan.answer_by;
        if done == total || (enough && (settled || late)) {
            return Some(Verdict::Answer(self.slots.iter().map(|s| s.part).collect()));
        }
        let hopeless = waiting == 0 || !self.is_enough(done + waiting);
        (late || hopeless).then(|| self.no_answer(hopeless && !late))
    }

    fn is_enough(&self, shards: usize) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "shards are few")]
        let share = shards as f64 / self.slots.len().max(1) as f64;
        share + ROUNDING >= self.plan.least
    }

    fn no_answer(&self, early: bool) -> Verdict {
        let ran = |s: &Slot| s.part.is_some() || s.ran > 0 || !s.open.is_empty();
        let not_run = !self.slots.iter().any(ran);
        let cause = self.slots.iter().filter(|s| s.part.is_none());
        let cause = cause.filter_map(|s| s.cause).max();
        let cause = match cause {
            Some(cause) if early => cause,
            Some(cause) if not_run => cause,
            _ => Cause::Late,
        };
        Verdict::None { not_run, cause }
    }
}
