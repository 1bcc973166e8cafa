//! Driver of the marks of crash-causing requests. Entry and owner of a node
//! share them, and the node propagates them to its peers.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use heatherrun_kernel::control::{ControlRequest, Suspicion};
use heatherrun_kernel::port::Peers;
use heatherrun_kernel::view::Availability;
use heatherrun_kernel::{Clock, NodeId, ViewCell};
use heatherrun_policy::marks::{CrashMarks, Level, MarkedFingerprint};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

/// Peers to which a node sends the suspicions that are new to it.
const GOSSIP_FANOUT: usize = 8;

/// Propagates suspicions that are new on this node to its peers.
pub type PropagateFn = Box<dyn Fn(Vec<Suspicion>) + Send + Sync>;

/// The marks known to one node. A mark is one crash of a target while it ran
/// the request with a given fingerprint.
pub struct Suspects {
    clock: Clock,
    ever_recorded: AtomicBool,
    marks: Mutex<CrashMarks>,
    propagate: OnceLock<PropagateFn>,
}

impl Suspects {
    /// Starts without marks.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            ever_recorded: AtomicBool::new(false),
            marks: Mutex::default(),
            propagate: OnceLock::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashMarks> {
        self.marks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how suspicions are propagated. Only the first call takes effect.
    pub fn set_propagate(&self, propagate: PropagateFn) {
        let _ = self.propagate.set(propagate);
    }

    fn propagate(&self, new: Vec<Suspicion>) {
        if let Some(propagate) = self.propagate.get()
            && !new.is_empty()
        {
            propagate(new);
        }
    }

    /// Whether requests with this fingerprint are suspect or banned. Takes no
    /// lock until a mark has been recorded.
    #[must_use]
    pub fn level(&self, fingerprint: u64) -> Level {
        if !self.ever_recorded.load(Ordering::Acquire) {
            return Level::Clear;
        }
        self.lock().level(self.clock.now(), fingerprint)
    }

    /// Records suspicions and propagates those that are new to peers.
    pub fn note(&self, suspicions: &[Suspicion]) {
        if suspicions.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut marks = self.lock();
        let mut new = suspicions.to_vec();
        new.retain(|suspicion| marks.record(now, *suspicion));
        self.ever_recorded.store(true, Ordering::Release);
        drop(marks);
        for suspicion in &new {
            log::warn!(print:% = format_args!("{:016x}", suspicion.fingerprint), target:% = suspicion.target, cleared = suspicion.cleared; "suspect.noted");
        }
        self.propagate(new);
    }

    /// Clears a fingerprint on this node and, through its peers, on all nodes.
    pub fn clear(&self, fingerprint: u64) {
        let cleared = self.lock().clear(self.clock.now(), fingerprint);
        self.ever_recorded.store(true, Ordering::Release);
        self.propagate(vec![cleared]);
    }

    /// All fingerprints with marks that have not expired.
    #[must_use]
    pub fn list(&self) -> Vec<MarkedFingerprint> {
        self.lock().list(self.clock.now())
    }
}

/// Sends new suspicions to a few random peers by control messages. Each peer
/// forwards those that are new to it, so that they reach all nodes within a
/// few hops.
#[must_use]
pub fn gossip_to_peers(
    own_id: NodeId,
    view: Arc<ViewCell>,
    peers: Peers,
    seed: u64,
) -> PropagateFn {
    let rng = Mutex::new(SmallRng::seed_from_u64(seed));
    Box::new(move |new| {
        let mut rng = rng.lock().unwrap_or_else(PoisonError::into_inner);
        for address in sample_peers(own_id, &view, &mut *rng) {
            tokio::spawn((peers.control)((
                address,
                ControlRequest::Suspect(new.clone()),
            )));
        }
    })
}

fn sample_peers(own_id: NodeId, view: &ViewCell, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let view = view.load();
    let responsive = view
        .nodes
        .values()
        .filter(|m| m.info.id != own_id && m.standing != Availability::Silent);
    responsive.map(|m| m.info.peers).sample(rng, GOSSIP_FANOUT)
}
