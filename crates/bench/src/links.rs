//! Ports that join the nodes of a cell in one process: each message sleeps
//! the one-way delay and is then given to the other side.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use heatherrun_fakes::searcher::{Searcher, whole};
use heatherrun_kernel::control::{ControlAnswer, ControlRequest};
use heatherrun_kernel::message::{CallError, CallResult, Failure, TargetCall};
use heatherrun_kernel::port::{AsyncFn, Peers, Targets, async_fn};
use heatherrun_kernel::{CallId, DomainId, TargetId};
use heatherrun_tier::owner::Owner;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::oneshot;

use crate::plan::{Delays, TICK};

/// One searcher and where it is.
#[derive(Clone)]
pub struct Place {
    /// Searcher.
    pub searcher: Searcher,
    /// Failure domain.
    pub domain: DomainId,
}

/// One node as its peers reach it.
#[derive(Clone)]
pub struct Reach {
    /// Failure domain.
    pub domain: DomainId,
    /// Owner.
    pub owner: Arc<Owner>,
    /// Answers control messages.
    pub control: AsyncFn<ControlRequest, ControlAnswer>,
}

/// Faults of the wire between owners and targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Part of the replies that repeat another call's identifier.
    pub crossed: f64,
    /// Part of the replies whose body is cut.
    pub cut: f64,
    /// Part of the replies that are late.
    pub late: f64,
    /// How late they are.
    pub delay: Duration,
}

/// All links of one cell.
pub struct Links {
    delays: Delays,
    rng: Mutex<SmallRng>,
    faults: Mutex<Faults>,
    targets: HashMap<TargetId, Place>,
    peers: OnceLock<HashMap<SocketAddr, Reach>>,
    running: Mutex<HashMap<(DomainId, CallId), oneshot::Sender<()>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Links {
    /// Links to `targets`; the peers follow with [`Links::join`].
    #[must_use]
    pub fn new(delays: Delays, targets: HashMap<TargetId, Place>, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            delays,
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            faults: Mutex::default(),
            targets,
            peers: OnceLock::new(),
            running: Mutex::default(),
        })
    }

    /// Sets how the nodes reach each other.
    pub fn join(&self, peers: HashMap<SocketAddr, Reach>) {
        let _ = self.peers.set(peers);
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    async fn hop(&self, from: DomainId, to: DomainId) {
        let mean = if from == to {
            self.delays.near
        } else {
            self.delays.far
        };
        let delay = whole(&mut lock(&self.rng), mean, TICK);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && lock(&self.rng).random_range(0.0..1.0) < share
    }

    /// Ports to targets of a node in `domain`.
    #[must_use]
    pub fn targets(self: &Arc<Self>, domain: DomainId) -> Targets {
        let (calls, cancels) = (Arc::clone(self), Arc::clone(self));
        let reports = Arc::clone(self);
        Targets {
            call: async_fn(move |(_, call)| {
                let links = Arc::clone(&calls);
                async move { links.call(domain, call).await }
            }),
            cancel: async_fn(move |(_, target, id)| {
                let links = Arc::clone(&cancels);
                async move { links.cancel(domain, target, id).await }
            }),
            report: async_fn(move |(_, target)| {
                let links = Arc::clone(&reports);
                async move {
                    let place = links.targets.get(&target)?;
                    links.hop(domain, place.domain).await;
                    let report = place.searcher.report();
                    links.hop(place.domain, domain).await;
                    Some(report)
                }
            }),
        }
    }

    async fn call(&self, from: DomainId, mut call: TargetCall) -> CallResult {
        let Some(place) = self.targets.get(&call.target) else {
            return Err(CallError::not_run(Failure::NoConnection));
        };
        let sent = tokio::time::Instant::now();
        let (tell, cancelled) = oneshot::channel();
        let key = (from, call.id);
        lock(&self.running).insert(key, tell);
        self.hop(from, place.domain).await;
        call.time_left = call.time_left.saturating_sub(sent.elapsed());
        let result = tokio::select! {
            biased;
            result = place.searcher.call(call) => result,
            Ok(()) = cancelled => Err(CallError::unknown(Failure::Cancelled)),
        };
        lock(&self.running).remove(&key);
        self.hop(place.domain, from).await;
        self.spoil(result).await
    }

    /// Applies the faults of the way back.
    async fn spoil(&self, result: CallResult) -> CallResult {
        let faults = *lock(&self.faults);
        if self.chance(faults.late) {
            tokio::time::sleep(faults.delay).await;
        }
        if result.is_ok() && (self.chance(faults.crossed) || self.chance(faults.cut)) {
            return Err(CallError::unknown(Failure::BadReply));
        }
        result
    }

    async fn cancel(&self, from: DomainId, target: TargetId, id: CallId) {
        let Some(place) = self.targets.get(&target) else {
            return;
        };
        self.hop(from, place.domain).await;
        if let Some(tell) = lock(&self.running).remove(&(from, id)) {
            let _ = tell.send(());
        }
    }

    /// Ports to peers of a node in `domain`.
    #[must_use]
    pub fn peers(self: &Arc<Self>, domain: DomainId) -> Peers {
        Peers {
            search: self.message(domain, |reach, batch| async move {
                reach.owner.search(batch).await
            }),
            collect: self.message(domain, |reach, collect| async move {
                reach.owner.collect(collect).await
            }),
            cancel: self.message(domain, |reach, cancel| async move {
                reach.owner.cancel(cancel).await;
            }),
            control: self.message(domain, |reach, request| (reach.control)(request)),
        }
    }

    fn message<In, Out, F>(
        self: &Arc<Self>,
        from: DomainId,
        act: impl Fn(Reach, In) -> F + Clone + Send + Sync + 'static,
    ) -> AsyncFn<(SocketAddr, In), Result<Out, heatherrun_kernel::port::PeerError>>
    where
        In: Send + 'static,
        Out: Send + 'static,
        F: Future<Output = Out> + Send + 'static,
    {
        let links = Arc::clone(self);
        async_fn(move |(address, message)| {
            let (links, act) = (Arc::clone(&links), act.clone());
            async move {
                let found = links.peers.get().and_then(|all| all.get(&address));
                let Some(reach) = found.cloned() else {
                    return Err(heatherrun_kernel::port::PeerError::NotSent);
                };
                links.hop(from, reach.domain).await;
                let to = reach.domain;
                let out = act(reach, message).await;
                links.hop(to, from).await;
                Ok(out)
            }
        })
    }
}
