//! One target as its owner uses it: the gate, and the calls that wait at it.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use heatherrun_kernel::message::{CallError, CallResult, Failure, OwnerReport};
use heatherrun_kernel::port::{Endpoint, Targets};
use heatherrun_kernel::view::Target;
use heatherrun_kernel::{CallId, Clock, Epoch, Time};
use heatherrun_policy::gate::{Ask, Bounds, Gate, Step};
use heatherrun_policy::proof::Proofs;
use tokio::sync::oneshot;

/// Longest wait for a target's report.
const PROBE_TIME: Duration = Duration::from_millis(50);

/// Tells a waiting call that it may be sent, or why not.
type Turn = oneshot::Sender<Result<(), Failure>>;

/// The other end of a [`Turn`].
type Waiting = oneshot::Receiver<Result<(), Failure>>;

/// One target with its gate.
pub(crate) struct Lane {
    clock: Clock,
    target: ArcSwap<Target>,
    state: Mutex<State>,
    /// Fingerprints that succeeded on this target.
    pub proofs: Proofs,
    /// Generation of the right under which the target's report was read.
    asked: AtomicU64,
    /// Held while the report is read.
    asking: tokio::sync::Mutex<()>,
}

struct State {
    gate: Gate,
    waiting: HashMap<CallId, Turn>,
}

impl Lane {
    /// Lane of a target that starts cold.
    pub fn new(clock: Clock, target: Arc<Target>) -> Self {
        let state = State {
            gate: Gate::new(bounds(&target)),
            waiting: HashMap::new(),
        };
        Self {
            clock,
            target: ArcSwap::new(target),
            state: Mutex::new(state),
            proofs: Proofs::default(),
            asked: AtomicU64::new(0),
            asking: tokio::sync::Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the lane is the one of `target` as configured now. New limits
    /// are taken; another address is another process.
    pub fn follow(&self, target: &Arc<Target>) -> bool {
        let known = self.target.load();
        if Arc::ptr_eq(&known, target) || **known == **target {
            return true;
        }
        if known.address != target.address {
            return false;
        }
        self.lock().gate.rebound(bounds(target));
        self.target.store(Arc::clone(target));
        true
    }

    /// Target as configured now.
    pub fn target(&self) -> Arc<Target> {
        self.target.load_full()
    }

    /// Where and how the target is reached.
    pub fn endpoint(&self) -> Endpoint {
        let target = self.target.load();
        Endpoint {
            address: target.address,
            connections: target.connections,
        }
    }

    /// Load of the target.
    pub fn report(&self) -> OwnerReport {
        self.lock().gate.report()
    }

    /// Reads the target's report before the first call under a new right, so
    /// that a new owner, or one that held the target before, starts slowly and
    /// gives no work to a target that is leaving.
    pub async fn ready(&self, targets: &Targets, epoch: Epoch) {
        if self.asked.load(Ordering::Acquire) == epoch.0 {
            return;
        }
        let _asking = self.asking.lock().await;
        if self.asked.load(Ordering::Acquire) == epoch.0 {
            return;
        }
        self.lock().gate.turn_cold();
        self.probe(targets).await;
        self.asked.store(epoch.0, Ordering::Release);
    }

    /// Whether the report of a draining target should be read now.
    pub fn probe_due(&self) -> bool {
        self.lock().gate.probe_due(self.clock.now())
    }

    /// Reads the target's report.
    pub async fn probe(&self, targets: &Targets) {
        let id = self.target.load().id;
        let asked = (targets.report)((self.endpoint(), id));
        if let Ok(Some(report)) = tokio::time::timeout(PROBE_TIME, asked).await {
            let mut state = self.lock();
            state.gate.reported(self.clock.now(), &report);
            self.advance(&mut state);
        }
    }

    /// Waits for a place on the target, of whose limit `share` per cent may
    /// be used.
    pub async fn enter(&self, ask: Ask, share: u8) -> Result<(), CallError> {
        let turn = {
            let mut state = self.lock();
            state.gate.set_share(share);
            let step = state.gate.ask(self.clock.now(), ask);
            match step {
                Step::Send => return Ok(()),
                Step::Refuse(failure) => return Err(CallError::not_run(failure)),
                Step::Wait => {
                    let (tell, turn) = oneshot::channel();
                    state.waiting.insert(ask.id, tell);
                    self.advance(&mut state);
                    turn
                }
            }
        };
        self.wait(ask, turn).await.map_err(CallError::not_run)
    }

    /// Waits for the turn, and lets calls go that wait for their pace alone.
    async fn wait(&self, ask: Ask, mut turn: Waiting) -> Result<(), Failure> {
        loop {
            let wake = self.lock().gate.wake_at().unwrap_or(Time::MAX);
            tokio::select! {
                biased;
                told = &mut turn => return told.unwrap_or(Err(Failure::Cancelled)),
                () = self.clock.sleep_until(ask.deadline.min(wake)) => {}
            }
            if self.clock.now() >= ask.deadline {
                return Err(self.give_up(ask.id));
            }
            self.advance(&mut self.lock());
        }
    }

    /// Stops waiting; the turn may have come at the same moment.
    fn give_up(&self, id: CallId) -> Failure {
        let mut state = self.lock();
        state.waiting.remove(&id);
        if !state.gate.withdraw(id) {
            state.gate.unsent(id);
            self.advance(&mut state);
        }
        Failure::Expired
    }

    /// Takes a waiting call out; false when it does not wait.
    pub fn withdraw(&self, id: CallId) -> bool {
        let mut state = self.lock();
        state.waiting.remove(&id);
        state.gate.withdraw(id)
    }

    /// Gives back the place of a call that was not sent after all.
    pub fn unsent(&self, id: CallId) {
        let mut state = self.lock();
        state.gate.unsent(id);
        self.advance(&mut state);
    }

    /// Notes the end of a call and lets waiting ones go.
    pub fn leave(&self, id: CallId, result: &CallResult) {
        let mut state = self.lock();
        state.gate.ended(self.clock.now(), id, result);
        self.advance(&mut state);
    }

    fn advance(&self, state: &mut State) {
        let now: Time = self.clock.now();
        while let Some((next, verdict)) = state.gate.next(now) {
            let told = state.waiting.remove(&next).map(|tell| tell.send(verdict));
            if verdict.is_ok() && told != Some(Ok(())) {
                state.gate.unsent(next);
            }
        }
    }
}

/// Calls in flight at the most: half of the connections, so that a successor
/// finds the other half free. What the target bears is found by the gate.
fn bounds(target: &Target) -> Bounds {
    Bounds {
        slots: target.slots,
        most: (target.connections / 2).max(1),
    }
}
