//! Driver of the owner's side: the only place that sends calls to the
//! targets this node owns.

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
    Batch, BatchCall, BatchReply, CallError, CallResult, Cancel, Collect, Done, Failure,
    OwnerReport, TargetCall,
};
use heatherrun_kernel::port::Targets;
use heatherrun_kernel::{CallId, Clock, Epoch, QueryId, TargetId, Time, ViewCell};
use heatherrun_policy::gate::Ask;
use heatherrun_policy::marks::Level;
use tokio::sync::Notify;

use crate::lane::Lane;
use crate::outcome;
use crate::suspects::Suspects;

/// Time that an unfetched batch is kept after its deadline.
const KEEP: Duration = Duration::from_millis(500);

/// Batches between two sweeps of those that nobody fetched.
const SWEEP_EVERY: u64 = 256;

/// Part of the time left that is kept for the way back from the target.
const HOP: Duration = Duration::from_millis(1);

/// This node's right to send to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Right {
    /// Generation.
    pub epoch: Epoch,
    /// Part of the target's limit that may be used, in per cent.
    pub share: u8,
    /// Since when this node, or those it took records over from, held the
    /// right without a gap, in Unix milliseconds.
    pub since: u64,
}

/// Looks up this node's right to a target at a point in time.
pub type RightFn = Arc<dyn Fn(TargetId, Time) -> Option<Right> + Send + Sync>;

/// A batch is named by its query and its first attempt.
type BatchKey = (QueryId, u16);

/// The calls of one batch on their way.
struct Open {
    until: Time,
    done: SegQueue<Done>,
    marks: SegQueue<Suspicion>,
    changed: Notify,
    /// True when each outcome is wanted at once, not only the last one.
    eager: AtomicBool,
    calls: Mutex<BTreeMap<u16, Pending>>,
}

impl Open {
    /// Takes the outcome of a call. The lock on `calls` orders this with
    /// [`Owner::drain`]: either it finds the outcome, or it is told.
    fn end(&self, done: Done) {
        let attempt = done.attempt;
        self.done.push(done);
        let pending = {
            let mut calls = lock(&self.calls);
            calls.remove(&attempt);
            calls.len()
        };
        if pending == 0 || self.eager.load(Ordering::Acquire) {
            self.changed.notify_one();
        }
    }
}

/// One call of a batch that is not done.
#[derive(Clone, Copy)]
struct Pending {
    target: TargetId,
    cancelled: bool,
}

/// One call on its way to its target.
struct Run<'a> {
    batch: &'a Batch,
    call: BatchCall,
    open: &'a Open,
    deadline: Time,
}

impl Run<'_> {
    fn id(&self) -> CallId {
        CallId {
            query: self.batch.query,
            attempt: self.call.attempt,
        }
    }

    fn log_sent(&self, lane: &Lane) {
        if log::log_enabled!(log::Level::Debug) {
            let (id, target) = (self.batch.trace.as_str(), lane.target());
            let (target, attempt) = (target.name.as_str(), self.call.attempt);
            log::debug!(id, target, attempt, shard = self.call.shard.0; "call.sent");
        }
    }

    fn log_ended(&self, lane: &Lane, result: &CallResult) {
        if log::log_enabled!(log::Level::Debug) {
            let (id, target) = (self.batch.trace.as_str(), lane.target());
            let (target, attempt) = (target.name.as_str(), self.call.attempt);
            let outcome = outcome::words_of(result);
            log::debug!(id, target, attempt, outcome = outcome.as_str(); "call.ended");
        }
    }

    fn is_cancelled(&self) -> bool {
        let calls = lock(&self.open.calls);
        calls.get(&self.call.attempt).is_none_or(|p| p.cancelled)
    }
}

/// Sends calls to the targets this node owns.
pub struct Owner {
    clock: Clock,
    view: Arc<ViewCell>,
    targets: Targets,
    right: RightFn,
    suspects: Arc<Suspects>,
    lanes: ArcSwap<HashMap<TargetId, Arc<Lane>>>,
    open: Mutex<BTreeMap<BatchKey, Arc<Open>>>,
    batches: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Owner {
    /// Owner that sends through `targets` what `right` allows.
    #[must_use]
    pub fn new(clock: Clock, view: Arc<ViewCell>, targets: Targets, right: RightFn) -> Arc<Self> {
        Arc::new(Self {
            clock,
            view,
            targets,
            right,
            suspects: Arc::new(Suspects::new(clock)),
            lanes: ArcSwap::default(),
            open: Mutex::default(),
            batches: AtomicU64::new(0),
        })
    }

    /// Marks of crash-causing requests known to this node.
    #[must_use]
    pub const fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// Looks up this node's rights.
    #[must_use]
    pub const fn right(&self) -> &RightFn {
        &self.right
    }

    /// Sends the calls of a batch; returns what is done after its flush time.
    pub async fn search(self: &Arc<Self>, batch: Batch) -> BatchReply {
        let deadline = self.clock.now() + batch.left;
        let flush = self.clock.now() + batch.flush;
        let key = batch_key(&batch);
        let open = self.enlist(&batch, deadline);
        let batch = Arc::new(batch);
        for call in batch.calls.iter().copied() {
            let owner = Arc::clone(self);
            let (batch, open) = (Arc::clone(&batch), Arc::clone(&open));
            tokio::spawn(async move {
                let run = Run {
                    batch: &batch,
                    call,
                    open: &open,
                    deadline,
                };
                let done = owner.run(&run).await;
                open.end(done);
            });
        }
        self.drain(key, &open, flush).await
    }

    fn enlist(&self, batch: &Batch, deadline: Time) -> Arc<Open> {
        let pending = |c: &BatchCall| {
            let pending = Pending {
                target: c.target,
                cancelled: false,
            };
            (c.attempt, pending)
        };
        let open = Arc::new(Open {
            until: deadline + KEEP,
            done: SegQueue::new(),
            marks: SegQueue::new(),
            changed: Notify::new(),
            eager: AtomicBool::new(false),
            calls: Mutex::new(batch.calls.iter().map(pending).collect()),
        });
        let mut all = lock(&self.open);
        let count = self.batches.fetch_add(1, Ordering::Relaxed);
        if count.is_multiple_of(SWEEP_EVERY) {
            let now = self.clock.now();
            all.retain(|_, open| open.until > now);
        }
        all.insert(batch_key(batch), Arc::clone(&open));
        open
    }

    /// Fetches outcomes of a batch that were pending.
    pub async fn collect(&self, collect: Collect) -> BatchReply {
        let flush = self.clock.now() + collect.flush;
        let key = (collect.query, collect.first);
        let open = lock(&self.open).get(&key).cloned();
        match open {
            Some(open) => self.drain(key, &open, flush).await,
            None => BatchReply::default(),
        }
    }

    /// Waits until all calls are done, or until `flush` and one of them is.
    async fn drain(&self, key: BatchKey, open: &Open, flush: Time) -> BatchReply {
        let mut reply = BatchReply::default();
        loop {
            let late = self.clock.now() >= flush;
            open.eager.store(late, Ordering::Release);
            let pending = lock(&open.calls).len();
            while let Some(done) = open.done.pop() {
                reply.done.push(done);
            }
            reply.pending = u16::try_from(pending).unwrap_or(u16::MAX);
            if pending == 0 || (late && !reply.done.is_empty()) {
                break;
            }
            tokio::select! {
                biased;
                () = open.changed.notified() => {}
                () = self.clock.sleep_until(flush), if !late => {}
            }
        }
        while let Some(mark) = open.marks.pop() {
            reply.marks.push(mark);
        }
        reply.revision = self.view.load().revision;
        if reply.pending == 0 {
            lock(&self.open).remove(&key);
        }
        reply
    }

    /// Cancels calls that wait or run.
    pub async fn cancel(&self, cancel: Cancel) {
        let batches = (cancel.query, 0)..=(cancel.query, u16::MAX);
        let mut calls = Vec::new();
        for open in lock(&self.open).range(batches).map(|(_, open)| open) {
            for (attempt, pending) in lock(&open.calls).iter_mut() {
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
            self.cancel_one(id, target).await;
        }
    }

    async fn cancel_one(&self, id: CallId, target: TargetId) {
        let Some(lane) = self.lanes.load().get(&target).cloned() else {
            return;
        };
        if !lane.withdraw(id) {
            (self.targets.cancel)((lane.endpoint(), target, id)).await;
        }
    }

    async fn run(self: &Arc<Self>, run: &Run<'_>) -> Done {
        let start = self.clock.now();
        let mut report = OwnerReport::default();
        let result = match self.lane(run.call.target) {
            None => Err(CallError::not_run(Failure::NotOwner)),
            Some((lane, right)) => {
                let result = self.run_in(&lane, run, right).await;
                report = lane.report();
                result
            }
        };
        Done {
            attempt: run.call.attempt,
            result,
            took: self.clock.now().since(start),
            report,
        }
    }

    async fn run_in(self: &Arc<Self>, lane: &Arc<Lane>, run: &Run<'_>, right: Right) -> CallResult {
        let id = run.id();
        let ask = Ask {
            id,
            class: run.batch.class,
            deadline: run.deadline,
        };
        lane.ready(&self.targets, right.epoch).await;
        let entered = lane.enter(ask, right.share).await;
        if entered.is_err() && lane.probe_due() {
            let (owner, lane) = (Arc::clone(self), Arc::clone(lane));
            tokio::spawn(async move { lane.probe(&owner.targets).await });
        }
        entered?;
        let right = match self.check(lane, run) {
            Ok(right) => right,
            Err(failure) => {
                lane.unsent(id);
                return Err(CallError::not_run(failure));
            }
        };
        let left = run.deadline.left(self.clock.now());
        let request = TargetCall {
            id,
            target: run.call.target,
            service: run.batch.service,
            shard: run.call.shard,
            kind: run.batch.kind,
            snapshot: run.batch.snapshot,
            map: run.batch.map,
            epoch: right.epoch,
            left: left.saturating_sub(HOP),
            body: Arc::clone(&run.batch.body),
        };
        run.log_sent(lane);
        let result = (self.targets.call)((lane.endpoint(), request)).await;
        run.log_ended(lane, &result);
        self.note(lane, run, &result);
        if matches!(&result, Err(e) if e.failure == Failure::TimedOut) {
            self.end_late(lane, run, result.clone());
        } else {
            lane.leave(id, &result);
        }
        result
    }

    /// Keeps the place of a call that timed out until its target was told to
    /// stop, since it may still run there.
    fn end_late(self: &Arc<Self>, lane: &Arc<Lane>, run: &Run<'_>, result: CallResult) {
        let owner = Arc::clone(self);
        let lane = Arc::clone(lane);
        let (id, target) = (run.id(), run.call.target);
        tokio::spawn(async move {
            (owner.targets.cancel)((lane.endpoint(), target, id)).await;
            lane.leave(id, &result);
        });
    }

    /// Notes what the outcome says of the request's fingerprint. A request
    /// that succeeded on this target a short while ago is not suspected.
    fn note(&self, lane: &Lane, run: &Run<'_>, result: &CallResult) {
        let print = run.batch.print;
        let now = self.clock.now();
        let failure = match result {
            Ok(_) => return lane.proofs.note(now, print),
            Err(error) => error.failure,
        };
        if failure != Failure::ConnectionLost || lane.proofs.holds(now, print) {
            return;
        }
        let mark = Suspicion {
            print,
            target: run.call.target,
            shard: run.call.shard,
            call: run.id(),
            proven: run.batch.proven,
            cleared: false,
        };
        run.open.marks.push(mark);
        self.suspects.note(&[mark]);
    }

    /// The last check before the send, on the view and time of this moment.
    fn check(&self, lane: &Lane, run: &Run<'_>) -> Result<Right, Failure> {
        let now = self.clock.now();
        if run.is_cancelled() {
            return Err(Failure::Cancelled);
        }
        if run.deadline <= now + HOP {
            return Err(Failure::Expired);
        }
        if self.suspects.level(run.batch.print) == Level::Banned {
            return Err(Failure::Marked);
        }
        let view = self.view.load();
        let id = run.call.target;
        let target = view.targets.get(&id).ok_or(Failure::NotOwner)?;
        if !view.admits(target) || !lane.follow(target) {
            return Err(Failure::DomainOut);
        }
        let right = (self.right)(id, now).ok_or(Failure::NotOwner)?;
        if run.call.epoch > right.epoch {
            return Err(Failure::StaleEpoch);
        }
        Ok(right)
    }

    /// The lane of a target that this node holds the right to.
    fn lane(&self, id: TargetId) -> Option<(Arc<Lane>, Right)> {
        let right = (self.right)(id, self.clock.now())?;
        let view = self.view.load();
        let target = view.targets.get(&id)?;
        if let Some(lane) = self.lanes.load().get(&id)
            && lane.follow(target)
        {
            return Some((Arc::clone(lane), right));
        }
        let made = Arc::new(Lane::new(self.clock, Arc::clone(target)));
        self.lanes.rcu(|old| {
            let mut next = HashMap::clone(old);
            let current = next.entry(id).or_insert_with(|| Arc::clone(&made));
            if !current.follow(target) {
                *current = Arc::clone(&made);
            }
            next
        });
        let lane = self.lanes.load().get(&id).cloned();
        lane.map(|lane| (lane, right))
    }

    /// Load of each target that this node has sent to.
    #[must_use]
    pub fn reports(&self) -> Vec<(TargetId, OwnerReport)> {
        let lanes = self.lanes.load();
        lanes
            .iter()
            .map(|(id, lane)| (*id, lane.report()))
            .collect()
    }

    /// Calls of batches that are not done.
    #[must_use]
    pub fn busy(&self) -> usize {
        let now = self.clock.now();
        let mut all = lock(&self.open);
        all.retain(|_, open| open.until > now);
        all.len()
    }
}

fn batch_key(batch: &Batch) -> BatchKey {
    (batch.query, batch.calls.first().map_or(0, |c| c.attempt))
}
