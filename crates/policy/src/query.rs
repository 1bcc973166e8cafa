//! State machine of one query, from the first calls to the verdict: which calls
//! are sent, hedged or retried, and which replies are merged.
//!
//! A search whose fingerprint has not succeeded recently, or whose snapshot is
//! unknown, is first sent to a few shards only (the probing phase). The first
//! reply pins the snapshot and confirms that the search does not crash its
//! target; after it the calls for the remaining shards are sent.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::message::{CallKind, Failure, Reason};
use heatherrun_kernel::view::Service;
use heatherrun_kernel::{MapRev, ShardIx, Snapshot, TargetId, Time};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use crate::answer::{Merged, Missing, Verdict};
use crate::marks::Level;
use crate::shard_state::ShardState;
use crate::{budget::Budget, fleet::Fleet, hedge::Hedges};

mod outcome;
mod timer;
mod verdict;

/// Time reserved before the deadline for merging the replies and returning the
/// answer to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(2);

/// Maximum number of targets that run a request at the same time before one of
/// them has replied.
const MAX_PROBE_CALLS: usize = 2;

/// Delay before a hedge that the budget or the load did not allow is attempted
/// again.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Time, as a multiple of the hedge delay, for which an answer that already has
/// enough coverage waits for a shard.
const PARTIAL_WAIT_FACTOR: u32 = 4;

/// The parameters of a query.
#[derive(Clone, Debug)]
pub struct QuerySpec {
    /// Service configuration pinned for the query.
    pub service: Arc<Service>,
    /// Kind of request, which decides how its calls may be repeated.
    pub kind: CallKind,
    /// Time at which the caller gives up.
    pub deadline: Time,
    /// Maximum number of lots (search results) in the answer.
    pub limit: usize,
    /// Minimum coverage of an accepted answer, in per cent. Zero waits for full
    /// coverage until the deadline and then accepts any coverage.
    pub min_coverage: u8,
    /// Hedge delay used until one has been learned from observed latencies.
    pub hedge_delay: Duration,
    /// Whether the request is known not to crash its targets.
    pub confirmed: bool,
    /// Fingerprint of the service and the request body.
    pub fingerprint: u64,
}

impl QuerySpec {
    /// Restricts `untried` to the targets on which an unconfirmed request may
    /// be tried. The fingerprint selects the same few replicas of a shard on
    /// all entries, so a crash-causing request that reaches all entries at the
    /// same time crashes only these.
    ///
    /// A search needs no such restriction because it probes a few shards first.
    /// A suspect request gets no other target even when none of the selected
    /// ones is left: the second one may have crashed already, with its mark
    /// still on the way.
    fn trial_targets(&self, shard: usize, untried: Vec<TargetId>, level: Level) -> Vec<TargetId> {
        let replicas = &self.service.shards[shard];
        if self.confirmed || self.kind == CallKind::Search || replicas.len() <= MAX_PROBE_CALLS {
            return untried;
        }
        let mut ranked = replicas.clone();
        ranked.sort_unstable_by_key(|id| xxh3_64_with_seed(&id.0.to_le_bytes(), self.fingerprint));
        ranked.truncate(MAX_PROBE_CALLS);
        let trial_set: Vec<_> = untried
            .iter()
            .copied()
            .filter(|id| ranked.contains(id))
            .collect();
        if trial_set.is_empty() && level == Level::Clear {
            return untried;
        }
        trial_set
    }
}

/// What the caller of the state machine must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a call through the target's owner.
    Send(SentCall),
    /// Cancel a call whose reply is no longer needed.
    Cancel {
        /// Sequence number of the call within its query.
        attempt: u16,
        /// Target that received the call.
        target: TargetId,
    },
}

/// One call of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentCall {
    /// Sequence number of the call within its query.
    pub attempt: u16,
    /// Reason for the call: first attempt, hedge or retry.
    pub reason: Reason,
    /// Target that receives the call.
    pub target: TargetId,
    /// Shard that the call covers.
    pub shard: ShardIx,
    /// Time of the decision to send it.
    pub sent_at: Time,
}

/// State of one query.
#[derive(Debug)]
pub struct Query {
    spec: QuerySpec,
    snapshot: Snapshot,
    shard_states: Vec<ShardState>,
    /// Shard of each attempt, indexed by attempt number.
    attempt_shards: Vec<u16>,
    /// Number of the first attempt of the current plan; replies to earlier
    /// attempts are discarded.
    plan_start: usize,
    replanned: bool,
    /// Whether the query is in the probing phase, in which only a few shards
    /// receive calls until one of them replies.
    probing: bool,
    may_have_run: bool,
}

/// State of the entry that the decisions of a query depend on.
pub struct Context<'a, R: Rng> {
    /// Statistics of the targets.
    pub fleet: &'a Fleet,
    /// Budget for hedges and retries.
    pub budget: &'a Budget,
    /// Learned hedge delays.
    pub hedges: &'a Hedges,
    /// Current configuration of the service.
    pub current: Option<&'a Arc<Service>>,
    /// Whether a target may receive new calls.
    pub is_usable: &'a dyn Fn(TargetId) -> bool,
    /// Suspicion level of the request's fingerprint.
    pub level: Level,
    /// Source of random choices.
    pub rng: &'a mut R,
}

impl Query {
    /// Creates a query on `snapshot`; with zero the first reply pins the
    /// snapshot.
    #[must_use]
    pub fn new(spec: QuerySpec, snapshot: Snapshot) -> Self {
        let mut query = Self {
            shard_states: Vec::new(),
            attempt_shards: Vec::with_capacity(spec.service.shards.len()),
            snapshot,
            spec,
            plan_start: 0,
            replanned: false,
            probing: false,
            may_have_run: false,
        };
        query.reset();
        query
    }

    fn reset(&mut self) {
        self.shard_states.clear();
        self.shard_states
            .resize_with(self.spec.service.shards.len(), ShardState::default);
        let needs_probe = !self.spec.confirmed || self.snapshot == Snapshot(0);
        self.probing = self.is_search() && self.shard_states.len() > 1 && needs_probe;
        self.plan_start = self.attempt_shards.len();
    }

    fn is_search(&self) -> bool {
        self.spec.kind == CallKind::Search
    }

    fn answer_deadline(&self) -> Time {
        self.spec.deadline - ANSWER_MARGIN
    }

    /// Pinned snapshot, sent with each call.
    #[must_use]
    pub const fn snapshot(&self) -> Snapshot {
        self.snapshot
    }

    /// Revision of the pinned shard map, sent with each call.
    #[must_use]
    pub fn map(&self) -> MapRev {
        self.spec.service.map
    }

    /// Whether the request is known to have succeeded on some target, in this
    /// query or shortly before.
    #[must_use]
    pub const fn is_confirmed(&self) -> bool {
        self.spec.confirmed
    }

    /// Number of calls sent so far.
    #[must_use]
    pub fn attempts(&self) -> u16 {
        u16::try_from(self.attempt_shards.len()).unwrap_or(u16::MAX)
    }

    /// Sends the first calls.
    pub fn start<R: Rng>(&mut self, now: Time, cx: &mut Context<'_, R>) -> Vec<Action> {
        cx.budget.add_credit(self.shard_states.len());
        let mut actions = Vec::with_capacity(self.shard_states.len());
        self.send_pending(Reason::First, now, cx, &mut actions);
        actions
    }

    /// Sends a call for each shard that has none yet; while probing, only until
    /// the allowed number of calls is in flight.
    fn send_pending<R: Rng>(
        &mut self,
        reason: Reason,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) {
        let shard_count = self.shard_states.len();
        let mut start_shard = 0;
        if self.probing {
            start_shard = cx.rng.random_range(0..shard_count);
        }
        // With no snapshot pinned, two calls in flight could be answered from
        // different snapshots.
        let mut max_open = self.max_open_calls(cx);
        if self.snapshot == Snapshot(0) {
            max_open = max_open.min(self.open_calls() + 1);
        }
        for offset in 0..shard_count {
            let shard = (start_shard + offset) % shard_count;
            if !self.shard_states[shard].is_pending() {
                continue;
            }
            let sent = self.send_call(shard, reason, now, cx, actions);
            if !sent && cx.level != Level::Banned {
                self.schedule_retry(shard, now, cx);
            }
            if self.probing && self.open_calls() >= max_open {
                return;
            }
        }
    }

    fn send_call<R: Rng>(
        &mut self,
        shard: usize,
        reason: Reason,
        now: Time,
        cx: &mut Context<'_, R>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let shard_ix = shard_index(shard);
        let state = &mut self.shard_states[shard];
        state.retry_at = None;
        if cx.level == Level::Banned {
            state.failure = Some(Failure::Marked);
            return false;
        }
        let untried: Vec<_> = self.spec.service.shards[shard]
            .iter()
            .copied()
            .filter(|id| (cx.is_usable)(*id) && !state.tried.contains(id))
            .collect();
        let untried = self.spec.trial_targets(shard, untried, cx.level);
        let state = &mut self.shard_states[shard];
        let target = cx
            .fleet
            .choose_replica(now, &untried, self.snapshot, cx.rng);
        let attempts_left = self.attempt_shards.len() < usize::from(u16::MAX);
        let Some(target) =
            target.filter(|_| attempts_left && now < self.spec.deadline - ANSWER_MARGIN)
        else {
            state.failure.get_or_insert(Failure::NoConnection);
            return false;
        };
        let sent = SentCall {
            attempt: u16::try_from(self.attempt_shards.len()).unwrap_or(u16::MAX),
            reason,
            target,
            shard: shard_ix,
            sent_at: now,
        };
        self.attempt_shards.push(sent.shard.0);
        state.tried.push(target);
        state.attempts += 1;
        state.open_calls.push(sent);
        state.hedge_at = None;
        if self.spec.kind != CallKind::Once {
            let delay = cx.hedges.delay(sent.shard, self.spec.hedge_delay);
            state.hedge_at = Some(now + delay);
        }
        cx.fleet.stats(target).count_sent();
        actions.push(Action::Send(sent));
        true
    }

    fn schedule_retry<R: Rng>(&mut self, shard: usize, now: Time, cx: &mut Context<'_, R>) {
        let jitter = cx.rng.random_range(0.0..1.0);
        let latest = self.answer_deadline();
        self.shard_states[shard].schedule_retry(now, latest, jitter);
    }

    /// Maximum number of calls in flight before some target has replied.
    fn max_open_calls<R: Rng>(&self, cx: &Context<'_, R>) -> usize {
        if self.is_suspect(cx) {
            1
        } else {
            MAX_PROBE_CALLS
        }
    }

    /// Whether the request has a mark and no target has replied to it; such a
    /// request runs on one target at a time.
    fn is_suspect<R: Rng>(&self, cx: &Context<'_, R>) -> bool {
        cx.level != Level::Clear && !self.spec.confirmed
    }

    fn open_calls(&self) -> usize {
        self.shard_states
            .iter()
            .map(|state| state.open_calls.len())
            .sum()
    }
}

fn shard_index(shard: usize) -> ShardIx {
    ShardIx(u16::try_from(shard).unwrap_or(u16::MAX))
}
