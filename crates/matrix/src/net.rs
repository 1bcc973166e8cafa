//! Ports that join the nodes, the targets and the store of a world, and
//! report each step they reach to the hook.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use heatherrun_fakes::searcher::Searcher;
use heatherrun_fakes::store::Store;
use heatherrun_kernel::control::{ControlAnswer, ControlRequest, LogEntry};
use heatherrun_kernel::message::{Batch, BatchReply, CallError, CallResult, Failure, TargetCall};
use heatherrun_kernel::message::{Ran, TargetReport, Warmth};
use heatherrun_kernel::port::{PeerError, Peers, Platform, StoreCall, StoreError, StoreReply};
use heatherrun_kernel::port::{Targets, async_fn};
use heatherrun_kernel::{CallId, Clock, DomainId, TargetId};
use heatherrun_tier::node::Node;
use tokio::sync::oneshot;

use crate::cell::{Fault, Step};
use crate::gate::Gate;
use crate::hook::{Hook, MARKED, Place};
use crate::journal::{Journal, Run};

/// One-way delay of every message.
const HOP: Duration = Duration::from_millis(2);

/// Delay of a late message: past the deadline of a request.
const LATE: Duration = Duration::from_millis(700);

/// Delay of a late control message.
const LATE_CONTROL: Duration = Duration::from_secs(3);

/// Prefix of the keys of the configuration.
const CONFIG: &str = "config/";

/// One target and where it is.
#[derive(Clone)]
pub struct Spot {
    /// Target.
    pub searcher: Searcher,
    /// Failure domain.
    pub domain: DomainId,
    /// Set when the target says it is leaving, though it still runs calls.
    pub leaving: Arc<std::sync::atomic::AtomicBool>,
    /// Whether it answers from its newest snapshot, whatever was asked for.
    pub newest: bool,
}

/// Injects a fault that is not of a message.
pub type Inject = Arc<dyn Fn(Fault, Place) + Send + Sync>;

/// Everything that the links join.
pub struct Net {
    /// Clock of the run.
    pub clock: Clock,
    /// Hook that the links report to.
    pub hook: Hook,
    /// Journal of the run.
    pub journal: Journal,
    /// Store.
    pub store: Store,
    /// Targets.
    pub targets: HashMap<TargetId, Spot>,
    /// Gates of the nodes.
    pub gates: Vec<Gate>,
    /// Nodes that were started.
    nodes: Mutex<HashMap<SocketAddr, (usize, Arc<Node>)>>,
    inject: Mutex<Option<Inject>>,
    running: Mutex<HashMap<CallId, oneshot::Sender<()>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn marked(body: &[u8]) -> bool {
    body.starts_with(MARKED.as_bytes())
}

impl Net {
    /// Net of `nodes` nodes over `store` and `targets`.
    #[must_use]
    pub fn new(store: Store, targets: HashMap<TargetId, Spot>, nodes: usize) -> Arc<Self> {
        Arc::new(Self {
            clock: Clock::start(),
            hook: Hook::default(),
            journal: Journal::default(),
            store,
            targets,
            gates: (0..nodes).map(|_| Gate::default()).collect(),
            nodes: Mutex::default(),
            inject: Mutex::default(),
            running: Mutex::default(),
        })
    }

    /// Makes a node reachable.
    pub fn join(&self, index: usize, node: &Arc<Node>) {
        let reach = (index, Arc::clone(node));
        lock(&self.nodes).insert(node.info.peers, reach);
    }

    /// Sets how faults that are not of a message are injected.
    pub fn set_inject(&self, inject: Inject) {
        *lock(&self.inject) = Some(inject);
    }

    /// Reports a step; returns a fault of the message itself.
    pub fn reach(&self, step: Step, place: Place) -> Option<Fault> {
        let fault = self.hook.reach(step, place)?;
        if fault.is_message() {
            return Some(fault);
        }
        let inject = lock(&self.inject).clone();
        if let Some(inject) = inject {
            inject(fault, place);
        }
        None
    }

    fn peer(&self, address: SocketAddr) -> Option<(usize, Arc<Node>)> {
        lock(&self.nodes).get(&address).cloned()
    }

    /// Port to targets of node `from`.
    #[must_use]
    pub fn targets(self: &Arc<Self>, from: usize) -> Targets {
        let (calls, cancels) = (Arc::clone(self), Arc::clone(self));
        let reports = Arc::clone(self);
        Targets {
            call: async_fn(move |(_, call)| {
                let net = Arc::clone(&calls);
                async move { net.call(from, call).await }
            }),
            cancel: async_fn(move |(_, _, id)| {
                let net = Arc::clone(&cancels);
                async move {
                    tokio::time::sleep(HOP).await;
                    lock(&net.running).remove(&id);
                }
            }),
            report: async_fn(move |(_, target)| {
                let net = Arc::clone(&reports);
                async move { net.report(target).await }
            }),
        }
    }

    async fn report(&self, target: TargetId) -> Option<TargetReport> {
        tokio::time::sleep(HOP * 2).await;
        let spot = self.targets.get(&target)?;
        let mut report = spot.searcher.report();
        if spot.leaving.load(std::sync::atomic::Ordering::Relaxed) {
            report.warmth = Warmth::Draining;
        }
        Some(report)
    }

    async fn call(&self, from: usize, call: TargetCall) -> CallResult {
        let lost = CallError::unknown(Failure::ConnectionLost);
        let Some(target) = self.targets.get(&call.target) else {
            return Err(CallError::not_run(Failure::NoConnection));
        };
        let end = self.clock.now() + call.time_left;
        let place = Place {
            node: from,
            target: Some(call.target),
        };
        let is_marked = marked(&call.body);
        if is_marked {
            match self.reach(Step::SentToTarget, place) {
                Some(Fault::Lost | Fault::Cut) => return Err(lost),
                Some(Fault::Late) => tokio::time::sleep(LATE).await,
                _ => {}
            }
        }
        self.gates[from].pass().await.map_err(|_| lost)?;
        // As the adapter: the time is looked at right before the send.
        if self.clock.now() >= end {
            return Err(CallError::not_run(Failure::Expired));
        }
        tokio::time::sleep(HOP).await;
        let mut result = self.run(target, call, place, is_marked).await;
        if is_marked {
            result = self.spoil(result, place).await;
        }
        tokio::time::sleep(HOP).await;
        self.gates[from].pass().await.map_err(|_| lost)?;
        result
    }

    async fn run(
        &self,
        target: &Spot,
        call: TargetCall,
        place: Place,
        is_marked: bool,
    ) -> CallResult {
        let (tell, cancelled) = oneshot::channel::<()>();
        lock(&self.running).insert(call.id, tell);
        let (id, time_left) = (call.id, call.time_left);
        let at = self.clock.now();
        let text = String::from_utf8_lossy(&call.body).into_owned();
        let working = target.searcher.call(call);
        tokio::pin!(working);
        if is_marked {
            // One look lets the call arrive before the step counts as reached.
            if let Some(early) = futures::FutureExt::now_or_never(working.as_mut()) {
                lock(&self.running).remove(&id);
                return early;
            }
            let _ = self.reach(Step::Running, place);
        }
        let result = tokio::select! {
            biased;
            result = working => result,
            _ = cancelled => Err(CallError::unknown(Failure::Cancelled)),
            () = tokio::time::sleep(time_left) => Err(CallError::unknown(Failure::TimedOut)),
        };
        lock(&self.running).remove(&id);
        if !matches!(result, Err(error) if error.ran == Ran::NotRun) {
            self.journal.lock().runs.push(Run {
                at,
                target: place.target.unwrap_or_default(),
                domain: target.domain,
                text,
            });
        }
        label(result, target)
    }

    async fn spoil(&self, result: CallResult, place: Place) -> CallResult {
        match self.reach(Step::Replied, place) {
            Some(Fault::Lost) => Err(CallError::unknown(Failure::ConnectionLost)),
            Some(Fault::Crossed | Fault::Cut) => Err(CallError::unknown(Failure::BadReply)),
            Some(Fault::Late) => {
                tokio::time::sleep(LATE).await;
                result
            }
            _ => result,
        }
    }

    /// Port to peers of node `from`.
    #[must_use]
    pub fn peers(self: &Arc<Self>, from: usize) -> Peers {
        let nets = [(); 4].map(|()| Arc::clone(self));
        let [searches, collects, cancels, controls] = nets;
        Peers {
            search: async_fn(move |(address, batch)| {
                let net = Arc::clone(&searches);
                async move { net.search(from, address, batch).await }
            }),
            collect: async_fn(move |(address, collect)| {
                let net = Arc::clone(&collects);
                async move {
                    net.exchange(from, address, |node| async move {
                        node.owner.collect(collect).await
                    })
                    .await
                }
            }),
            cancel: async_fn(move |(address, cancel)| {
                let net = Arc::clone(&cancels);
                async move {
                    net.exchange(from, address, |node| async move {
                        node.owner.cancel(cancel).await;
                    })
                    .await
                }
            }),
            control: async_fn(move |(address, ask)| {
                let net = Arc::clone(&controls);
                async move { net.control(from, address, ask).await }
            }),
        }
    }

    /// Delivers one message and its answer.
    async fn exchange<T, F: Future<Output = T>>(
        &self,
        from: usize,
        address: SocketAddr,
        work: impl FnOnce(Arc<Node>) -> F,
    ) -> Result<T, PeerError> {
        let refused = |_| PeerError::NotSent;
        self.gates[from].pass().await.map_err(refused)?;
        let (to, node) = self.peer(address).ok_or(PeerError::NotSent)?;
        if self.gates[to].is_gone() {
            return Err(PeerError::NotSent);
        }
        tokio::time::sleep(HOP).await;
        let lost = |_| PeerError::NoAnswer;
        self.gates[to].pass().await.map_err(lost)?;
        let answer = tokio::select! {
            biased;
            () = self.gates[to].gone() => return Err(PeerError::NoAnswer),
            answer = work(node) => answer,
        };
        self.gates[to].pass().await.map_err(lost)?;
        tokio::time::sleep(HOP).await;
        self.gates[from].pass().await.map_err(lost)?;
        Ok(answer)
    }

    async fn search(
        &self,
        from: usize,
        address: SocketAddr,
        batch: Batch,
    ) -> Result<BatchReply, PeerError> {
        let to = self.peer(address).map_or(from, |(to, _)| to);
        let (there, back) = (
            Place {
                node: to,
                target: batch.calls.first().map(|c| c.target),
            },
            Place {
                node: to,
                target: None,
            },
        );
        let is_marked = marked(&batch.body);
        if is_marked {
            match self.reach(Step::SentToOwner, there) {
                Some(Fault::Lost | Fault::Cut) => return Err(PeerError::NoAnswer),
                Some(Fault::Late) => tokio::time::sleep(LATE).await,
                _ => {}
            }
        }
        let answer = self
            .exchange(from, address, |node| async move {
                node.owner.search(batch).await
            })
            .await;
        if is_marked {
            match self.reach(Step::Returned, back) {
                Some(Fault::Lost | Fault::Cut) => return Err(PeerError::NoAnswer),
                Some(Fault::Late) => tokio::time::sleep(LATE).await,
                _ => {}
            }
        }
        answer
    }

    async fn control(
        &self,
        from: usize,
        address: SocketAddr,
        request: ControlRequest,
    ) -> Result<ControlAnswer, PeerError> {
        let place = Place {
            node: from,
            target: None,
        };
        let leaving = matches!(&request, ControlRequest::Heartbeat(heartbeat) if heartbeat.leaving);
        let mut again = None;
        if leaving {
            match self.reach(Step::RightReleased, place) {
                Some(Fault::Lost | Fault::Cut) => return Err(PeerError::NoAnswer),
                Some(Fault::Late) => tokio::time::sleep(LATE_CONTROL).await,
                Some(Fault::Doubled) => again = Some(request.clone()),
                _ => {}
            }
        }
        let answer = self.tell(from, address, request).await;
        if let Some(request) = again {
            let _ = self.tell(from, address, request).await;
        }
        let fault = match &answer {
            Ok(ControlAnswer::Heartbeat(heartbeat_answer)) => {
                let config =
                    |item: &LogEntry| matches!(item, LogEntry::Config(_) | LogEntry::Patch(_));
                let relayed = heartbeat_answer.update.items.iter().any(config);
                let first = heartbeat_answer
                    .grants
                    .as_ref()
                    .is_some_and(|grants| !grants.is_empty());
                let step = match (relayed, first) {
                    (true, _) => Step::Relayed,
                    (false, true) => Step::RightTaken,
                    (false, false) => Step::RightRenewed,
                };
                self.reach(step, place)
            }
            _ => None,
        };
        match fault {
            Some(Fault::Lost | Fault::Cut) => Err(PeerError::NoAnswer),
            Some(Fault::Late) => {
                tokio::time::sleep(LATE_CONTROL).await;
                answer
            }
            _ => answer,
        }
    }

    async fn tell(
        &self,
        from: usize,
        address: SocketAddr,
        request: ControlRequest,
    ) -> Result<ControlAnswer, PeerError> {
        self.exchange(from, address, |node| async move { node.answer(&request) })
            .await
    }

    /// Port to the platform of node `from`.
    #[must_use]
    pub fn platform(self: &Arc<Self>, from: usize) -> Platform {
        let net = Arc::clone(self);
        Platform {
            call: async_fn(move |call| {
                let net = Arc::clone(&net);
                async move { net.store_call(from, call).await.into() }
            }),
        }
    }

    async fn store_call(&self, from: usize, call: StoreCall) -> Result<StoreReply, StoreError> {
        let place = Place {
            node: from,
            target: None,
        };
        self.gates[from]
            .pass()
            .await
            .map_err(|_| StoreError::Unavailable)?;
        let config = |key: &str| key.starts_with(CONFIG);
        let write = matches!(&call, StoreCall::Swap { key, .. } if config(key));
        let watch = matches!(&call, StoreCall::Watch { .. });
        if write {
            match self.reach(Step::Written, place) {
                Some(Fault::Lost | Fault::Cut) => return Err(StoreError::NoAnswer),
                Some(Fault::Late) => tokio::time::sleep(LATE_CONTROL).await,
                Some(Fault::Doubled) => {
                    let _ = self.store.call(call.clone()).await;
                }
                _ => {}
            }
        }
        tokio::time::sleep(HOP).await;
        let answer = self.store.call(call).await;
        tokio::time::sleep(HOP).await;
        let changed = |kv: &heatherrun_kernel::port::KeyValue| config(&kv.key);
        let fault = match &answer {
            Ok(StoreReply::Swapped(_)) if write => self.reach(Step::Acknowledged, place),
            Ok(StoreReply::Changes(keys, _)) if watch && keys.iter().any(changed) => {
                self.reach(Step::Watched, place)
            }
            _ => None,
        };
        match fault {
            Some(Fault::Lost | Fault::Cut) => return Err(StoreError::NoAnswer),
            Some(Fault::Late) => tokio::time::sleep(LATE_CONTROL).await,
            _ => {}
        }
        self.gates[from]
            .pass()
            .await
            .map_err(|_| StoreError::NoAnswer)?;
        answer
    }
}

/// Labels lots with their snapshot, and tells when the target leaves.
fn label(result: CallResult, target: &Spot) -> CallResult {
    let mut reply = result?;
    if target.newest {
        reply.snapshot = reply.report.newest;
    }
    for lot in &mut reply.lots {
        lot.id = format!("{}@{}", lot.id, reply.snapshot);
    }
    if target.leaving.load(std::sync::atomic::Ordering::Relaxed) {
        reply.report.warmth = Warmth::Draining;
    }
    Ok(reply)
}
