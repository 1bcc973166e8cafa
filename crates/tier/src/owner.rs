//! Driver of the owner's side: the only code that sends calls to the targets
//! this node owns.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use crossbeam::queue::SegQueue;
use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::message::{
    Batch, BatchCall, BatchReply, CallError, CallOutcome, CallResult, Cancel, Collect, Failure,
    OwnerReport, TargetCall,
};
use heatherrun_kernel::port::Targets;
use heatherrun_kernel::{CallId, Clock, Epoch, QueryId, TargetId, Time, ViewCell};
use heatherrun_policy::gate::SendRequest;
use heatherrun_policy::marks::Level;
use tokio::sync::Notify;

use crate::outcome;
use crate::owned_target::OwnedTarget;
use crate::suspects::Suspects;

/// Time for which the outcomes of a batch are kept after its deadline.
const UNFETCHED_BATCH_TTL: Duration = Duration::from_millis(500);

/// Number of batches after which expired ones are removed.
const SWEEP_INTERVAL_BATCHES: u64 = 256;

/// Time reserved for the way back from the target: its deadline is this much
/// earlier.
const RETURN_TIME_RESERVE: Duration = Duration::from_millis(1);

/// This node's right to send to one target, or to hold one partition of
/// once-only records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Right {
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Share of the target's limit that this node may use, in per cent.
    pub share: u8,
    /// Unix time in milliseconds since which this node, or earlier holders that
    /// handed their records over, held the right without a gap.
    pub since: u64,
}

/// Looks up this node's right to a target at a point in time.
pub type RightFn = Arc<dyn Fn(TargetId, Time) -> Option<Right> + Send + Sync>;

/// Identifies a batch by its query and its first attempt.
type BatchKey = (QueryId, u16);

/// A batch with calls that are pending or outcomes that are not fetched.
struct OpenBatch {
    expires: Time,
    outcomes: SegQueue<CallOutcome>,
    marks: SegQueue<Suspicion>,
    outcome_added: Notify,
    /// True when each outcome must be notified at once, not only the last one.
    notify_each: AtomicBool,
    calls: Mutex<BTreeMap<u16, PendingCall>>,
}

impl OpenBatch {
    /// Records the outcome of a call. The lock on `calls` orders this with
    /// [`Owner::await_outcomes`], which either finds the outcome or is notified.
    fn record_done(&self, done: CallOutcome) {
        let attempt = done.attempt;
        self.outcomes.push(done);
        let pending = {
            let mut calls = lock(&self.calls);
            calls.remove(&attempt);
            calls.len()
        };
        if pending == 0 || self.notify_each.load(Ordering::Acquire) {
            self.outcome_added.notify_one();
        }
    }
}

/// One call of a batch without an outcome.
#[derive(Clone, Copy)]
struct PendingCall {
    target: TargetId,
    cancelled: bool,
}

/// One call with its batch, while it waits or runs.
struct CallRun<'a> {
    batch: &'a Batch,
    call: BatchCall,
    open_batch: &'a OpenBatch,
    deadline: Time,
}

impl CallRun<'_> {
    fn id(&self) -> CallId {
        CallId {
            query: self.batch.query,
            attempt: self.call.attempt,
        }
    }

    fn log_sent(&self, owned_target: &OwnedTarget) {
        if log::log_enabled!(log::Level::Debug) {
            let (id, target) = (self.batch.trace.as_str(), owned_target.target());
            let (target, attempt) = (target.name.as_str(), self.call.attempt);
            log::debug!(id, target, attempt, shard = self.call.shard.0; "call.sent");
        }
    }

    fn log_ended(&self, owned_target: &OwnedTarget, result: &CallResult) {
        if log::log_enabled!(log::Level::Debug) {
            let (id, target) = (self.batch.trace.as_str(), owned_target.target());
            let (target, attempt) = (target.name.as_str(), self.call.attempt);
            let outcome = outcome::outcome_label(result);
            log::debug!(id, target, attempt, outcome = outcome.as_str(); "call.ended");
        }
    }

    fn is_cancelled(&self) -> bool {
        let calls = lock(&self.open_batch.calls);
        calls.get(&self.call.attempt).is_none_or(|p| p.cancelled)
    }
}

/// Sends calls to the targets this node owns.
pub struct Owner {
    clock: Clock,
    view: Arc<ViewCell>,
    targets: Targets,
    right_fn: RightFn,
    suspects: Arc<Suspects>,
    target_states: ArcSwap<HashMap<TargetId, Arc<OwnedTarget>>>,
    open_batches: Mutex<BTreeMap<BatchKey, Arc<OpenBatch>>>,
    batch_count: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Owner {
    /// Owner that sends calls through `targets`, to those targets for which
    /// `right_fn` returns a right.
    #[must_use]
    pub fn new(
        clock: Clock,
        view: Arc<ViewCell>,
        targets: Targets,
        right_fn: RightFn,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            view,
            targets,
            right_fn,
            suspects: Arc::new(Suspects::new(clock)),
            target_states: ArcSwap::default(),
            open_batches: Mutex::default(),
            batch_count: AtomicU64::new(0),
        })
    }

    /// Marks of crash-causing requests known to this node.
    #[must_use]
    pub const fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// Function that looks up this node's rights.
    #[must_use]
    pub const fn right_fn(&self) -> &RightFn {
        &self.right_fn
    }

    /// Sends the calls of a batch. Returns when all are done, or after the flush
    /// time of the batch with those that are.
    pub async fn search(self: &Arc<Self>, batch: Batch) -> BatchReply {
        let deadline = self.clock.now() + batch.time_left;
        let flush = self.clock.now() + batch.flush;
        let key = batch_key(&batch);
        let open_batch = self.register_batch(&batch, deadline);
        let batch = Arc::new(batch);
        for call in batch.calls.iter().copied() {
            let owner = Arc::clone(self);
            let (batch, open_batch) = (Arc::clone(&batch), Arc::clone(&open_batch));
            tokio::spawn(async move {
                let run = CallRun {
                    batch: &batch,
                    call,
                    open_batch: &open_batch,
                    deadline,
                };
                let done = owner.run_call(&run).await;
                open_batch.record_done(done);
            });
        }
        self.await_outcomes(key, &open_batch, flush).await
    }

    /// Registers a batch, and from time to time removes expired ones.
    fn register_batch(&self, batch: &Batch, deadline: Time) -> Arc<OpenBatch> {
        let pending = |c: &BatchCall| {
            let pending = PendingCall {
                target: c.target,
                cancelled: false,
            };
            (c.attempt, pending)
        };
        let open_batch = Arc::new(OpenBatch {
            expires: deadline + UNFETCHED_BATCH_TTL,
            outcomes: SegQueue::new(),
            marks: SegQueue::new(),
            outcome_added: Notify::new(),
            notify_each: AtomicBool::new(false),
            calls: Mutex::new(batch.calls.iter().map(pending).collect()),
        });
        let mut all = lock(&self.open_batches);
        let count = self.batch_count.fetch_add(1, Ordering::Relaxed);
        if count.is_multiple_of(SWEEP_INTERVAL_BATCHES) {
            let now = self.clock.now();
            all.retain(|_, open_batch| open_batch.expires > now);
        }
        all.insert(batch_key(batch), Arc::clone(&open_batch));
        open_batch
    }

    /// Returns outcomes of calls that were pending in the last reply.
    pub async fn collect(&self, collect: Collect) -> BatchReply {
        let flush = self.clock.now() + collect.flush;
        let key = (collect.query, collect.first);
        let open_batch = lock(&self.open_batches).get(&key).cloned();
        match open_batch {
            Some(open_batch) => self.await_outcomes(key, &open_batch, flush).await,
            None => BatchReply::default(),
        }
    }

    /// Waits until all calls are done, or until `flush` has passed and at least
    /// one call is done.
    async fn await_outcomes(
        &self,
        key: BatchKey,
        open_batch: &OpenBatch,
        flush: Time,
    ) -> BatchReply {
        let mut reply = BatchReply::default();
        loop {
            let flush_passed = self.clock.now() >= flush;
            open_batch
                .notify_each
                .store(flush_passed, Ordering::Release);
            let pending = lock(&open_batch.calls).len();
            while let Some(done) = open_batch.outcomes.pop() {
                reply.done.push(done);
            }
            reply.pending = u16::try_from(pending).unwrap_or(u16::MAX);
            if pending == 0 || (flush_passed && !reply.done.is_empty()) {
                break;
            }
            tokio::select! {
                biased;
                () = open_batch.outcome_added.notified() => {}
                () = self.clock.sleep_until(flush), if !flush_passed => {}
            }
        }
        while let Some(mark) = open_batch.marks.pop() {
            reply.marks.push(mark);
        }
        reply.revision = self.view.load().revision;
        if reply.pending == 0 {
            lock(&self.open_batches).remove(&key);
        }
        reply
    }

    /// Cancels calls that are waiting or running.
    pub async fn cancel(&self, cancel: Cancel) {
        let batches = (cancel.query, 0)..=(cancel.query, u16::MAX);
        let mut calls = Vec::new();
        for open_batch in lock(&self.open_batches)
            .range(batches)
            .map(|(_, open_batch)| open_batch)
        {
            for (attempt, pending) in lock(&open_batch.calls).iter_mut() {
                if cancel.attempts.is_empty() || cancel.attempts.contains(attempt) {
                    pending.cancelled = true;
                    calls.push((*attempt, pending.target));
                }
            }
        }
        for (attempt, target) in calls {
            let id = CallId {
                query: cancel.query,
                attempt,
            };
            self.cancel_call(id, target).await;
        }
    }

    async fn cancel_call(&self, id: CallId, target: TargetId) {
        let Some(owned_target) = self.target_states.load().get(&target).cloned() else {
            return;
        };
        if !owned_target.remove_waiting(id) {
            (self.targets.cancel)((owned_target.endpoint(), target, id)).await;
        }
    }

    async fn run_call(self: &Arc<Self>, run: &CallRun<'_>) -> CallOutcome {
        let start = self.clock.now();
        let mut report = OwnerReport::default();
        let result = match self.owned_target(run.call.target) {
            None => Err(CallError::not_run(Failure::NotOwner)),
            Some((owned_target, right)) => {
                let result = self.call_target(&owned_target, run, right).await;
                report = owned_target.report();
                result
            }
        };
        CallOutcome {
            attempt: run.call.attempt,
            result,
            took: self.clock.now().since(start),
            report,
        }
    }

    async fn call_target(
        self: &Arc<Self>,
        owned_target: &Arc<OwnedTarget>,
        run: &CallRun<'_>,
        right: Right,
    ) -> CallResult {
        let id = run.id();
        let send_request = SendRequest {
            id,
            class: run.batch.class,
            deadline: run.deadline,
        };
        owned_target.prepare_epoch(&self.targets, right.epoch).await;
        let admitted = owned_target.acquire_place(send_request, right.share).await;
        if admitted.is_err() && owned_target.report_due() {
            let (owner, owned_target) = (Arc::clone(self), Arc::clone(owned_target));
            tokio::spawn(async move { owned_target.read_report(&owner.targets).await });
        }
        admitted?;
        let right = match self.check_before_send(owned_target, run) {
            Ok(right) => right,
            Err(failure) => {
                owned_target.release_unsent(id);
                return Err(CallError::not_run(failure));
            }
        };
        let time_left = run.deadline.time_left(self.clock.now());
        let request = TargetCall {
            id,
            target: run.call.target,
            service: run.batch.service,
            shard: run.call.shard,
            kind: run.batch.kind,
            snapshot: run.batch.snapshot,
            map: run.batch.map,
            epoch: right.epoch,
            time_left: time_left.saturating_sub(RETURN_TIME_RESERVE),
            body: Arc::clone(&run.batch.body),
        };
        run.log_sent(owned_target);
        let result = (self.targets.call)((owned_target.endpoint(), request)).await;
        run.log_ended(owned_target, &result);
        self.record_result(owned_target, run, &result);
        if matches!(&result, Err(e) if e.failure == Failure::TimedOut) {
            self.cancel_timed_out(owned_target, run, result.clone());
        } else {
            owned_target.record_end(id, &result);
        }
        result
    }

    /// Cancels a call that timed out at its target, and releases its place only
    /// then, since the call may still run there.
    fn cancel_timed_out(
        self: &Arc<Self>,
        owned_target: &Arc<OwnedTarget>,
        run: &CallRun<'_>,
        result: CallResult,
    ) {
        let owner = Arc::clone(self);
        let owned_target = Arc::clone(owned_target);
        let (id, target) = (run.id(), run.call.target);
        tokio::spawn(async move {
            (owner.targets.cancel)((owned_target.endpoint(), target, id)).await;
            owned_target.record_end(id, &result);
        });
    }

    /// Records what the result says about the request's fingerprint: a success,
    /// or the suspicion of a crash if the connection was lost. A request that
    /// succeeded on this target recently is not suspected.
    fn record_result(&self, owned_target: &OwnedTarget, run: &CallRun<'_>, result: &CallResult) {
        let fingerprint = run.batch.fingerprint;
        let now = self.clock.now();
        let failure = match result {
            Ok(_) => return owned_target.recent_successes.record(now, fingerprint),
            Err(error) => error.failure,
        };
        if failure != Failure::ConnectionLost
            || owned_target.recent_successes.contains(now, fingerprint)
        {
            return;
        }
        let mark = Suspicion {
            fingerprint,
            target: run.call.target,
            shard: run.call.shard,
            call: run.id(),
            confirmed: run.batch.confirmed,
            cleared: false,
        };
        run.open_batch.marks.push(mark);
        self.suspects.note(&[mark]);
    }

    /// Last check before a call is sent, against the current view and time.
    fn check_before_send(
        &self,
        owned_target: &OwnedTarget,
        run: &CallRun<'_>,
    ) -> Result<Right, Failure> {
        let now = self.clock.now();
        if run.is_cancelled() {
            return Err(Failure::Cancelled);
        }
        if run.deadline <= now + RETURN_TIME_RESERVE {
            return Err(Failure::Expired);
        }
        if self.suspects.level(run.batch.fingerprint) == Level::Banned {
            return Err(Failure::Marked);
        }
        let view = self.view.load();
        let id = run.call.target;
        let target = view.targets.get(&id).ok_or(Failure::NotOwner)?;
        if !view.is_in_service(target) || !owned_target.update_config(target) {
            return Err(Failure::DomainOut);
        }
        let right = (self.right_fn)(id, now).ok_or(Failure::NotOwner)?;
        if run.call.epoch > right.epoch {
            return Err(Failure::StaleEpoch);
        }
        Ok(right)
    }

    /// State of a target that this node owns, and the right to it.
    fn owned_target(&self, id: TargetId) -> Option<(Arc<OwnedTarget>, Right)> {
        let right = (self.right_fn)(id, self.clock.now())?;
        let view = self.view.load();
        let target = view.targets.get(&id)?;
        if let Some(owned_target) = self.target_states.load().get(&id)
            && owned_target.update_config(target)
        {
            return Some((Arc::clone(owned_target), right));
        }
        let created = Arc::new(OwnedTarget::new(self.clock, Arc::clone(target)));
        self.target_states.rcu(|old| {
            let mut next = HashMap::clone(old);
            let current = next.entry(id).or_insert_with(|| Arc::clone(&created));
            if !current.update_config(target) {
                *current = Arc::clone(&created);
            }
            next
        });
        let owned_target = self.target_states.load().get(&id).cloned();
        owned_target.map(|owned_target| (owned_target, right))
    }

    /// Load of each target to which this node has sent calls.
    #[must_use]
    pub fn reports(&self) -> Vec<(TargetId, OwnerReport)> {
        let states = self.target_states.load();
        states
            .iter()
            .map(|(id, owned_target)| (*id, owned_target.report()))
            .collect()
    }

    /// Number of batches with pending calls or outcomes that are not fetched.
    #[must_use]
    pub fn open_batch_count(&self) -> usize {
        let now = self.clock.now();
        let mut all = lock(&self.open_batches);
        all.retain(|_, open_batch| open_batch.expires > now);
        all.len()
    }
}

fn batch_key(batch: &Batch) -> BatchKey {
    (batch.query, batch.calls.first().map_or(0, |c| c.attempt))
}
