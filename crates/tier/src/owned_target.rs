//! One target on the side of its owner: the gate, which limits the calls in
//! flight, and the calls that wait for a place at the target.

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
use heatherrun_policy::gate::{Bounds, Gate, SendDecision, SendRequest};
use heatherrun_policy::recent_success::RecentSuccesses;
use tokio::sync::oneshot;

/// Timeout for reading a target's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(50);

/// Notifies a waiting call that it may be sent, or why not.
type TurnSender = oneshot::Sender<Result<(), Failure>>;

/// Receiving end of a [`TurnSender`].
type TurnReceiver = oneshot::Receiver<Result<(), Failure>>;

/// One target with its gate and its waiting calls.
pub(crate) struct OwnedTarget {
    clock: Clock,
    target: ArcSwap<Target>,
    state: Mutex<GateState>,
    /// Fingerprints of requests that succeeded on this target recently.
    pub recent_successes: RecentSuccesses,
    /// Epoch of the right for which the target's report was last read.
    report_epoch: AtomicU64,
    /// Held while the report is read.
    report_lock: tokio::sync::Mutex<()>,
}

struct GateState {
    gate: Gate,
    waiters: HashMap<CallId, TurnSender>,
}

impl OwnedTarget {
    /// Target that starts cold, that is with a low limit.
    pub fn new(clock: Clock, target: Arc<Target>) -> Self {
        let state = GateState {
            gate: Gate::new(gate_bounds(&target)),
            waiters: HashMap::new(),
        };
        Self {
            clock,
            target: ArcSwap::new(target),
            state: Mutex::new(state),
            recent_successes: RecentSuccesses::default(),
            report_epoch: AtomicU64::new(0),
            report_lock: tokio::sync::Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adopts the current configuration of the target. False if its address
    /// changed: another address is another process, which needs a new state.
    pub fn update_config(&self, target: &Arc<Target>) -> bool {
        let current = self.target.load();
        if Arc::ptr_eq(&current, target) || **current == **target {
            return true;
        }
        if current.address != target.address {
            return false;
        }
        self.lock().gate.set_bounds(gate_bounds(target));
        self.target.store(Arc::clone(target));
        true
    }

    /// Current configuration of the target.
    pub fn target(&self) -> Arc<Target> {
        self.target.load_full()
    }

    /// Address of the target and its number of connections.
    pub fn endpoint(&self) -> Endpoint {
        let target = self.target.load();
        Endpoint {
            address: target.address,
            connections: target.connections,
        }
    }

    /// Load of the target, as reported to entries.
    pub fn report(&self) -> OwnerReport {
        self.lock().gate.report()
    }

    /// Reads the target's report before the first call in a new epoch. An owner
    /// that is new, or that gets the target back, thus starts slowly and sends
    /// no work to a target that is leaving.
    pub async fn prepare_epoch(&self, targets: &Targets, epoch: Epoch) {
        if self.report_epoch.load(Ordering::Acquire) == epoch.0 {
            return;
        }
        let _guard = self.report_lock.lock().await;
        if self.report_epoch.load(Ordering::Acquire) == epoch.0 {
            return;
        }
        self.lock().gate.reset_to_cold();
        self.read_report(targets).await;
        self.report_epoch.store(epoch.0, Ordering::Release);
    }

    /// Whether the report of a draining target should be read now.
    pub fn report_due(&self) -> bool {
        self.lock().gate.probe_due(self.clock.now())
    }

    /// Reads the target's report.
    pub async fn read_report(&self, targets: &Targets) {
        let id = self.target.load().id;
        let reading = (targets.report)((self.endpoint(), id));
        if let Ok(Some(report)) = tokio::time::timeout(REPORT_TIMEOUT, reading).await {
            let mut state = self.lock();
            state.gate.apply_report(self.clock.now(), &report);
            self.admit_waiting(&mut state);
        }
    }

    /// Waits until a call may be sent to the target. This owner may use `share`
    /// per cent of the target's limit.
    pub async fn acquire_place(&self, request: SendRequest, share: u8) -> Result<(), CallError> {
        let turn = {
            let mut state = self.lock();
            state.gate.set_share(share);
            let decision = state.gate.request_send(self.clock.now(), request);
            match decision {
                SendDecision::Send => return Ok(()),
                SendDecision::Refuse(failure) => return Err(CallError::not_run(failure)),
                SendDecision::Wait => {
                    let (sender, turn) = oneshot::channel();
                    state.waiters.insert(request.id, sender);
                    self.admit_waiting(&mut state);
                    turn
                }
            }
        };
        self.wait_for_turn(request, turn)
            .await
            .map_err(CallError::not_run)
    }

    /// Waits for this call's turn. Also wakes when the gate may admit a call
    /// though none has ended, since sending is paced.
    async fn wait_for_turn(
        &self,
        request: SendRequest,
        mut turn: TurnReceiver,
    ) -> Result<(), Failure> {
        loop {
            let wake_time = self.lock().gate.wake_at().unwrap_or(Time::MAX);
            tokio::select! {
                biased;
                admitted = &mut turn => return admitted.unwrap_or(Err(Failure::Cancelled)),
                () = self.clock.sleep_until(request.deadline.min(wake_time)) => {}
            }
            if self.clock.now() >= request.deadline {
                return Err(self.expire(request.id));
            }
            self.admit_waiting(&mut self.lock());
        }
    }

    /// Stops waiting at the deadline. If the call was admitted at the same
    /// moment, its place is released.
    fn expire(&self, id: CallId) -> Failure {
        let mut state = self.lock();
        state.waiters.remove(&id);
        if !state.gate.remove_queued(id) {
            state.gate.cancel_send(id);
            self.admit_waiting(&mut state);
        }
        Failure::Expired
    }

    /// Removes a waiting call; false if it was not waiting.
    pub fn remove_waiting(&self, id: CallId) -> bool {
        let mut state = self.lock();
        state.waiters.remove(&id);
        state.gate.remove_queued(id)
    }

    /// Releases the place of a call that was admitted but not sent.
    pub fn release_unsent(&self, id: CallId) {
        let mut state = self.lock();
        state.gate.cancel_send(id);
        self.admit_waiting(&mut state);
    }

    /// Records the end of a call and admits waiting calls.
    pub fn record_end(&self, id: CallId, result: &CallResult) {
        let mut state = self.lock();
        state.gate.record_end(self.clock.now(), id, result);
        self.admit_waiting(&mut state);
    }

    /// Admits waiting calls as far as the gate allows. A call whose waiter has
    /// gone gives its place back.
    fn admit_waiting(&self, state: &mut GateState) {
        let now: Time = self.clock.now();
        while let Some((next, decision)) = state.gate.next_decision(now) {
            let notified = state
                .waiters
                .remove(&next)
                .map(|sender| sender.send(decision));
            if decision.is_ok() && notified != Some(Ok(())) {
                state.gate.cancel_send(next);
            }
        }
    }
}

/// Bounds on the calls in flight: at most half of the connections, so that the
/// next owner finds the other half free. Within them the gate learns the
/// capacity of the target.
fn gate_bounds(target: &Target) -> Bounds {
    Bounds {
        slots: target.slots,
        max_calls: (target.connections / 2).max(1),
    }
}
