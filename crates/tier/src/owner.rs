//! Driver of the owner's side: the only place that sends calls to the
//! targets this node owns.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use crossbeam::queue::SegQueue;
use heatherrun_kernel::message::{
    Batch, BatchCall, BatchReply, CallError, CallResult, Cancel, Collect, Done, Failure,
    OwnerReport, TargetCall,
};
use heatherrun_kernel::port::{Endpoint, Targets};
use heatherrun_kernel::view::Target;
use heatherrun_kernel::{CallId, Clock, Epoch, QueryId, TargetId, Time, ViewCell};
use heatherrun_policy::gate::{Ask, Gate, Step};
use tokio::sync::{Notify, oneshot};

use crate::suspects::Suspects;

/// Time that an unfetched batch is kept after its deadline.
const KEEP: Duration = Duration::from_millis(500);

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

/// One target with its gate.
struct Lane {
    target: Arc<Target>,
    state: Mutex<LaneState>,
}

struct LaneState {
    gate: Gate,
    waiting: HashMap<CallId, oneshot::Sender<()>>,
}

/// A batch is named by its query and its first attempt.
type BatchKey = (QueryId, u16);

/// The calls of one batch on their way.
#[derive(Default)]
struct Open {
    done: SegQueue<Done>,
    changed: Notify,
    calls: Mutex<HashMap<u16, TargetId>>,
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
        let open = self.enlist(&batch);
        let key = batch_key(&batch);
        let batch = Arc::new(batch);
        let body = Arc::clone(&batch.body);
        for call in batch.calls.iter().copied() {
            let owner = Arc::clone(self);
            let (batch, body, open) = (Arc::clone(&batch), Arc::clone(&body), Arc::clone(&open));
            tokio::spawn(async move {
                let done = owner.run(&batch, call, body, deadline).await;
                let attempt = done.attempt;
                open.done.push(done);
                lock(&open.calls).remove(&attempt);
                open.changed.notify_one();
            });
        }
        self.spawn_expiry(key, deadline);
        self.drain(key, &open, flush).await
    }

    fn enlist(&self, batch: &Batch) -> Arc<Open> {
        let open = Arc::clone(lock(&self.open).entry(batch_key(batch)).or_default());
        lock(&open.calls).extend(batch.calls.iter().map(|c| (c.attempt, c.target)));
        open
    }

    fn spawn_expiry(self: &Arc<Self>, key: BatchKey, deadline: Time) {
        let owner = Arc::clone(self);
        tokio::spawn(async move {
            owner.clock.sleep_until(deadline + KEEP).await;
            lock(&owner.open).remove(&key);
        });
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
            while let Some(done) = open.done.pop() {
                reply.done.push(done);
            }
            let pending = lock(&open.calls).len();
            reply.pending = u16::try_from(pending).unwrap_or(u16::MAX);
            let late = self.clock.now() >= flush;
            if (pending == 0 && open.done.is_empty()) || (late && !reply.done.is_empty()) {
                break;
            }
            tokio::select! {
                biased;
                () = open.changed.notified() => {}
                () = self.clock.sleep_until(flush), if !late => {}
            }
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
            calls.extend(lock(&open.calls).iter().map(|(a, t)| (*a, *t)));
        }
        for (attempt, target) in calls {
            if !cancel.attempts.is_empty() && !cancel.attempts.contains(&attempt) {
                continue;
            }
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
        let withdrawn = {
            let mut state = lock(&lane.state);
            state.waiting.remove(&id);
            state.gate.withdraw(id)
        };
        if !withdrawn {
            (self.targets.cancel)((endpoint(&lane.target), target, id)).await;
        }
    }

    async fn run(&self, batch: &Batch, call: BatchCall, body: Arc<[u8]>, deadline: Time) -> Done {
        let start = self.clock.now();
        let mut report = OwnerReport::default();
        let result = match self.lane(call.target) {
            None => Err(CallError::not_run(Failure::NotOwner)),
            Some(lane) => {
                let result = self.run_in(&lane, batch, call, body, deadline).await;
                report = lock(&lane.state).gate.report();
                result
            }
        };
        Done {
            attempt: call.attempt,
            result,
            took: self.clock.now().since(start),
            report,
        }
    }

    async fn run_in(
        &self,
        lane: &Lane,
        batch: &Batch,
        call: BatchCall,
        body: Arc<[u8]>,
        deadline: Time,
    ) -> CallResult {
        let id = CallId {
            query: batch.query,
            attempt: call.attempt,
        };
        self.enter(lane, id, batch, deadline).await?;
        let result = match self.check(lane, call) {
            Err(failure) => Err(CallError::not_run(failure)),
            Ok(right) => {
                let request = TargetCall {
                    id,
                    target: call.target,
                    service: batch.service,
                    shard: call.shard,
                    kind: batch.kind,
                    snapshot: batch.snapshot,
                    map: batch.map,
                    epoch: right.epoch,
                    left: deadline.left(self.clock.now()),
                    body,
                };
                (self.targets.call)((endpoint(&lane.target), request)).await
            }
        };
        self.leave(lane, id, &result);
        result
    }

    /// Waits for a place on the target.
    async fn enter(
        &self,
        lane: &Lane,
        id: CallId,
        batch: &Batch,
        deadline: Time,
    ) -> Result<(), CallError> {
        let ask = Ask {
            id,
            class: batch.class,
            deadline,
        };
        let turn = {
            let mut state = lock(&lane.state);
            match state.gate.ask(self.clock.now(), ask) {
                Step::Send => return Ok(()),
                Step::Refuse(failure) => return Err(CallError::not_run(failure)),
                Step::Wait => {
                    let (tell, turn) = oneshot::channel();
                    state.waiting.insert(id, tell);
                    turn
                }
            }
        };
        tokio::select! {
            biased;
            told = turn => told.map_err(|_| CallError::not_run(Failure::Cancelled)),
            () = self.clock.sleep_until(deadline) => self.give_up(lane, id),
        }
    }

    /// Stops waiting; the turn may have come at the same moment.
    fn give_up(&self, lane: &Lane, id: CallId) -> Result<(), CallError> {
        let mut state = lock(&lane.state);
        state.waiting.remove(&id);
        if !state.gate.withdraw(id) {
            drop(state);
            let expired = Err(CallError::not_run(Failure::Expired));
            self.leave(lane, id, &expired);
        }
        Err(CallError::not_run(Failure::Expired))
    }

    /// The last check before the send, on the view and time of this moment.
    fn check(&self, lane: &Lane, call: BatchCall) -> Result<Right, Failure> {
        let view = self.view.load();
        let target = view.targets.get(&call.target).ok_or(Failure::NotOwner)?;
        if !view.admits(target) || !view.admits(&lane.target) {
            return Err(Failure::DomainOut);
        }
        let right = (self.right)(call.target, self.clock.now()).ok_or(Failure::NotOwner)?;
        if call.epoch > right.epoch {
            return Err(Failure::StaleEpoch);
        }
        Ok(right)
    }

    fn leave(&self, lane: &Lane, id: CallId, result: &CallResult) {
        let now = self.clock.now();
        let mut state = lock(&lane.state);
        state.gate.ended(now, id, result);
        while let Some(next) = state.gate.next(now) {
            let told = state.waiting.remove(&next).map(|tell| tell.send(()));
            if told != Some(Ok(())) {
                let gone = Err(CallError::not_run(Failure::Cancelled));
                state.gate.ended(now, next, &gone);
            }
        }
    }

    fn lane(&self, id: TargetId) -> Option<Arc<Lane>> {
        (self.right)(id, self.clock.now())?;
        let view = self.view.load();
        let target = view.targets.get(&id)?;
        if let Some(lane) = self.lanes.load().get(&id)
            && lane.target == *target
        {
            return Some(Arc::clone(lane));
        }
        let made = Arc::new(Lane {
            target: Arc::clone(target),
            state: Mutex::new(LaneState {
                gate: Gate::new(most_in_flight(target)),
                waiting: HashMap::new(),
            }),
        });
        self.lanes.rcu(|old| {
            let mut next = HashMap::clone(old);
            let current = next.entry(id).or_insert_with(|| Arc::clone(&made));
            if current.target != *target {
                *current = Arc::clone(&made);
            }
            next
        });
        self.lanes.load().get(&id).cloned()
    }

    /// Load of each target that this node has sent to.
    #[must_use]
    pub fn reports(&self) -> Vec<(TargetId, OwnerReport)> {
        let lanes = self.lanes.load();
        let report = |(id, lane): (&TargetId, &Arc<Lane>)| (*id, lock(&lane.state).gate.report());
        lanes.iter().map(report).collect()
    }

    /// Calls of batches that are not done.
    #[must_use]
    pub fn busy(&self) -> usize {
        lock(&self.open).len()
    }
}

fn batch_key(batch: &Batch) -> BatchKey {
    (batch.query, batch.calls.first().map_or(0, |c| c.attempt))
}

fn endpoint(target: &Target) -> Endpoint {
    Endpoint {
        address: target.address,
        connections: target.connections,
    }
}

/// Calls that may be in flight on a warm target: its slots and as many on
/// the wire, with half of its connections left for a successor.
fn most_in_flight(target: &Target) -> u16 {
    (target.slots * 2).min(target.connections / 2).max(1)
}
