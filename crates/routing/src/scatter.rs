//! State machine of one request: one call to each shard, hedges and retries
//! within the plan's limits, and the decision when the request is answered or
//! fails. A request to a single service counts as a request to one shard.
//!
//! [`Scatter`] stores no replies: it identifies calls by index, and the code
//! that drives it keeps their replies.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, Repeat};

use crate::choice::Hold;
use crate::plan::Plan;
use crate::target::Target;

/// Delay before another attempt to choose a target, after a call that found all
/// targets at their concurrency limit or a hedge that could not be sent.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(4);

/// Delay before targets that refused a call are tried again. A target with a
/// full queue completes about a quarter of it in this time.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Delay before another attempt to hedge while no target replies.
const SILENCE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of refused or unsent calls of one shard that may be followed
/// by another call. They are not counted as attempts.
const MAX_UNEXECUTED_CALLS: u16 = 3;

/// Tolerance for rounding errors when the share of answered shards is compared
/// with the minimum.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Index of a call within its request, in the order of sending.
pub type CallIx = usize;

/// Index of a shard within its request.
pub type RequestShard = usize;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The reply is the part of the answer for its shard.
    Part,
    /// The request could not be sent to the target.
    NotSent,
    /// The target reported that it did not run the request.
    NotRun,
    /// The target replied with a failure.
    Failed,
    /// The request was sent and no reply came; the target may have run it.
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

/// Why a shard is missing from an answer, or why a request has no answer. The
/// causes are ordered: of several, the greatest is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// No known target may serve the request.
    NoTarget,
    /// All targets are at their concurrency limit.
    AtCapacity,
    /// All targets want no calls for some time.
    Quiet,
    /// All targets take a limited rate, and this node's share of it is used up.
    Limited,
    /// The request could not be sent to a target.
    NotSent,
    /// A target refused the request without running it.
    Refused,
    /// The deadline passed.
    Late,
    /// A target replied with a failure.
    Failed,
    /// No reply came to a call that a target may have run.
    Lost,
}

impl From<Hold> for Cause {
    fn from(hold: Hold) -> Self {
        match hold {
            Hold::Quiet => Self::Quiet,
            Hold::Rate => Self::Limited,
        }
    }
}

impl Cause {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoTarget => "no-target",
            Self::AtCapacity => "no-room",
            Self::Quiet => "quiet",
            Self::Limited => "limited",
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
    /// First call of its shard, also when it had to wait for spare capacity.
    First,
    /// Sent concurrently with an overdue call.
    Hedge,
    /// Sent after a call that failed, was refused or could not be sent.
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

/// A call that the driver must send.
#[derive(Clone, Debug)]
pub struct CallToSend {
    /// Index of the call.
    pub call: CallIx,
    /// Index of the shard.
    pub shard: RequestShard,
    /// Target to send the call to.
    pub target: Arc<Target>,
    /// Why the call is sent.
    pub reason: Reason,
}

/// Final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answer made of the replies to these calls, one entry per shard; `None`
    /// marks a missing shard.
    Answer(Vec<Option<CallIx>>),
    /// The request failed.
    None {
        /// Whether it is certain that no target ran or will run any part of the
        /// request.
        not_run: bool,
        /// Why there is no answer.
        cause: Cause,
    },
}

impl Verdict {
    /// Why there is no answer; `None` if there is one.
    #[must_use]
    pub const fn cause(&self) -> Option<Cause> {
        match self {
            Self::Answer(_) => None,
            Self::None { cause, .. } => Some(*cause),
        }
    }

    /// The verdict on a request that another node may have run as well.
    #[must_use]
    pub fn or_lost(self) -> Self {
        match self {
            Self::Answer(_) => self,
            Self::None { cause, .. } => Self::None {
                not_run: false,
                cause: cause.max(Cause::Lost),
            },
        }
    }
}

/// Result of choosing a target for a call.
pub enum TargetChoice {
    /// The target to send the call to.
    Target(Arc<Target>),
    /// All targets that may serve the request are at their concurrency limit.
    AtCapacity,
    /// No target that may serve the request may be sent a call before this time.
    Held(Time, Hold),
    /// No target may serve the request.
    NoTarget,
}

/// Callbacks into the state of the node that [`Scatter`] needs for its
/// decisions.
pub struct Context<'a> {
    /// Chooses a target of the shard that is not among those already tried.
    pub choose: &'a dyn Fn(RequestShard, &[Name]) -> TargetChoice,
    /// Consumes one extra call to the shard from the budget; false when the
    /// budget is exhausted.
    pub take_extra: &'a dyn Fn(RequestShard) -> bool,
    /// Delay after which a call to the target is overdue and is hedged.
    pub hedge_delay: &'a dyn Fn(&Target) -> Duration,
    /// Records that a call to the target is overdue; false if another target is
    /// not to be called now, since nobody replies.
    pub record_overdue: &'a dyn Fn(&Target) -> bool,
}

#[derive(Clone, Debug)]
struct InFlightCall {
    call: CallIx,
    target: Arc<Target>,
    sent_at: Time,
}

/// Progress of one shard of the request.
#[derive(Debug, Default)]
struct ShardState {
    /// Targets that were sent a call and are not chosen again.
    tried: Vec<Name>,
    /// Targets among `tried` that refused the call without running it.
    refused_by: Vec<Name>,
    in_flight: Vec<InFlightCall>,
    /// Calls that ran or may have run and returned no part.
    executed: u16,
    /// Calls that were refused or not sent.
    unexecuted: u16,
    /// Whether a call has reached a target; any further call counts against the
    /// budget of extra calls.
    reached_target: bool,
    /// When the call in flight is overdue and is hedged.
    hedge_at: Option<Time>,
    /// When another attempt to send a call is made.
    retry_at: Option<Time>,
    /// Call whose reply is the part of the answer for this shard.
    part: Option<CallIx>,
    /// Greatest cause of failure so far.
    cause: Option<Cause>,
    /// When the first of its targets may be sent a call, and why none may now.
    held: Option<(Time, Hold)>,
}

impl ShardState {
    /// Whether the shard may still get a part.
    const fn is_pending(&self) -> bool {
        self.part.is_none() && (!self.in_flight.is_empty() || self.retry_at.is_some())
    }
}

/// State of one request. The driver reports events to it and sends the calls
/// that it returns.
#[derive(Debug)]
pub struct Scatter {
    plan: Plan,
    shards: Vec<ShardState>,
    /// Shard of each call, in the order of sending.
    calls: Vec<RequestShard>,
    hedge_count: usize,
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

    /// Shards without a part, each with the cause; a shard with a call still in
    /// flight is reported as [`Cause::Late`].
    pub fn missing(&self) -> impl Iterator<Item = (RequestShard, Cause)> {
        let missing = self.shards.iter().enumerate();
        let missing = missing.filter(|(_, shard)| shard.part.is_none());
        missing.map(|(ix, shard)| {
            let has_in_flight = !shard.in_flight.is_empty();
            let cause = shard.cause.filter(|_| !has_in_flight);
            (ix, cause.unwrap_or(Cause::Late))
        })
    }

    /// Starts the request: returns the first call to each shard, or none if too
    /// few shards have a target for an answer. Such a request is refused as not
    /// run, so that its caller may come back.
    pub fn start(&mut self, now: Time, cx: &Context<'_>) -> Vec<CallToSend> {
        let mut calls_to_send = Vec::with_capacity(self.shards.len());
        for ix in 0..self.shards.len() {
            self.try_send(now, ix, Reason::First, cx, &mut calls_to_send);
        }
        let pending = self.shards.iter().filter(|s| s.is_pending()).count();
        if !self.meets_min_share(pending) {
            for call in calls_to_send.drain(..) {
                call.target.record_call_end();
            }
            self.withdraw();
        }
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
        let ended_call = shard.in_flight.iter().position(|c| c.call == call);
        let ended_call = ended_call.map(|position| shard.in_flight.remove(position));
        if ended_call.is_none() || shard.part.is_some() {
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
                shard
                    .refused_by
                    .extend(ended_call.map(|c| Arc::clone(&c.target.entry.id)));
                shard.reached_target = true;
            }
            _ => {
                shard.executed += 1;
                shard.reached_target = true;
            }
        }
        if self.may_send(ix) {
            self.try_send(now, ix, Reason::Retry, cx, &mut calls_to_send);
        }
        calls_to_send
    }

    /// Whether the plan allows one more call to the shard.
    fn may_send(&self, ix: RequestShard) -> bool {
        let shard = &self.shards[ix];
        if self.is_closed || shard.unexecuted > MAX_UNEXECUTED_CALLS {
            return false;
        }
        let in_flight = u16::try_from(shard.in_flight.len()).unwrap_or(u16::MAX);
        match self.plan.repeat {
            Repeat::Once => shard.executed == 0 && in_flight == 0,
            Repeat::Idempotent => shard.executed + in_flight < self.plan.attempts,
        }
    }

    /// Sends a call of the shard to a target that was not tried, or schedules
    /// another attempt while no target is available.
    fn try_send(
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
        let target = match (cx.choose)(ix, &shard.tried) {
            TargetChoice::Target(target) => target,
            TargetChoice::AtCapacity if now < self.plan.capacity_by => {
                shard.retry_at = Some(now + CAPACITY_RETRY_DELAY);
                return;
            }
            TargetChoice::AtCapacity => {
                shard.cause.get_or_insert(Cause::AtCapacity);
                return;
            }
            TargetChoice::Held(until, _) if until < self.plan.capacity_by => {
                shard.retry_at = Some(until.max(now + CAPACITY_RETRY_DELAY));
                return;
            }
            TargetChoice::Held(until, hold) => {
                shard.cause.get_or_insert(hold.into());
                shard.held = Some((until, hold));
                return;
            }
            TargetChoice::NoTarget
                if !shard.refused_by.is_empty()
                    && now + REFUSAL_RETRY_DELAY < self.plan.capacity_by =>
            {
                // Only targets that refused the call are left, and their queues
                // get shorter soon: allow them again.
                let refused = std::mem::take(&mut shard.refused_by);
                shard.tried.retain(|id| !refused.contains(id));
                shard.retry_at = Some(now + REFUSAL_RETRY_DELAY);
                return;
            }
            TargetChoice::NoTarget => {
                shard.cause.get_or_insert(Cause::NoTarget);
                return;
            }
        };
        if shard.reached_target && !(cx.take_extra)(ix) {
            return;
        }
        self.send(now, ix, target, reason, cx, calls_to_send);
    }

    fn send(
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
                self.try_send(now, ix, reason, cx, &mut calls_to_send);
            }
            if self.shards[ix].hedge_at.is_some_and(|at| now >= at) {
                self.hedge(now, ix, cx, &mut calls_to_send);
            }
        }
        calls_to_send
    }

    /// Records the overdue calls of the shard and hedges if the plan, the
    /// budget and the load of the next target allow it.
    fn hedge(
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
                if (cx.take_extra)(ix) {
                    self.send(now, ix, target, Reason::Hedge, cx, calls_to_send);
                } else {
                    shard.hedge_at = retry_at;
                }
            }
            TargetChoice::Target(_) | TargetChoice::AtCapacity => shard.hedge_at = retry_at,
        }
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

    /// Final outcome of the request; `None` while it is undecided.
    ///
    /// An answer with enough shards is given once no shard is pending or the
    /// time to answer has come; a failure once too few shards can still answer,
    /// or at the deadline.
    #[must_use]
    pub fn verdict(&self, now: Time) -> Option<Verdict> {
        let total = self.shards.len();
        let answered = self.shards.iter().filter(|s| s.part.is_some()).count();
        let pending = self.shards.iter().filter(|s| s.is_pending()).count();
        let enough = answered > 0 && self.meets_min_share(answered);
        let expired = now >= self.plan.end;
        let may_answer = pending == 0 || now >= self.plan.answer_by;
        let is_whole = answered > 0 && answered == total;
        if is_whole || (enough && (may_answer || expired)) {
            return Some(Verdict::Answer(
                self.shards.iter().map(|s| s.part).collect(),
            ));
        }
        let cannot_answer = pending == 0 || !self.meets_min_share(answered + pending);
        (expired || cannot_answer).then(|| self.failure(cannot_answer && !expired))
    }

    /// When enough of the shards whose targets may not be sent calls now have
    /// one that may, and why not now; `None` when that is not what the request
    /// lacks.
    #[must_use]
    pub fn held(&self) -> Option<(Time, Hold)> {
        let missing = self.shards.iter().filter(|s| s.part.is_none());
        let mut holds: Vec<_> = missing.filter_map(|s| s.held).collect();
        holds.sort_unstable();
        let available = self.shards.len() - holds.len();
        let needed = (1..=holds.len()).find(|n| self.meets_min_share(available + n))?;
        if self.meets_min_share(available) {
            return None;
        }
        holds.get(needed - 1).copied()
    }

    /// Whether this number of answered shards makes an answer.
    fn meets_min_share(&self, answered: usize) -> bool {
        #[expect(
            clippy::cast_precision_loss,
            reason = "the number of shards is far below 2^52"
        )]
        let share = answered as f64 / self.shards.len().max(1) as f64;
        share + SHARE_TOLERANCE >= self.plan.min_share
    }

    /// Failure of the request, before its deadline or at it.
    fn failure(&self, before_deadline: bool) -> Verdict {
        let not_run = !self.may_have_run();
        let cause = self.shards.iter().filter(|s| s.part.is_none());
        let cause = cause.filter_map(|s| s.cause).max();
        let cause = match cause {
            Some(cause) if before_deadline => cause,
            Some(cause) if not_run => cause,
            _ => Cause::Late,
        };
        Verdict::None { not_run, cause }
    }
}
