//! Driver of the marks of crash-causing requests: shared by entry and owner
//! of one node, and told to peers.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use heatherrun_kernel::control::{Ask, Suspicion};
use heatherrun_kernel::port::Peers;
use heatherrun_kernel::view::Standing;
use heatherrun_kernel::{Clock, NodeId, ViewCell};
use heatherrun_policy::marks::{Level, Marked, Marks};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

/// Peers that each node tells what is new to it.
const FAN_OUT: usize = 8;

/// Tells peers what is new here.
pub type TellFn = Box<dyn Fn(Vec<Suspicion>) + Send + Sync>;

/// The marks known to one node.
pub struct Suspects {
    clock: Clock,
    known: AtomicBool,
    marks: Mutex<Marks>,
    tell: OnceLock<TellFn>,
}

impl Suspects {
    /// No marks.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            known: AtomicBool::new(false),
            marks: Mutex::default(),
            tell: OnceLock::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Marks> {
        self.marks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how peers are told; only the first call counts.
    pub fn set_tell(&self, tell: TellFn) {
        let _ = self.tell.set(tell);
    }

    fn tell(&self, new: Vec<Suspicion>) {
        if let Some(tell) = self.tell.get()
            && !new.is_empty()
        {
            tell(new);
        }
    }

    /// What is known of `print`; takes no lock while there are no marks.
    #[must_use]
    pub fn level(&self, print: u64) -> Level {
        if !self.known.load(Ordering::Acquire) {
            return Level::Clear;
        }
        self.lock().level(self.clock.now(), print)
    }

    /// Takes suspicions; those that are new are told to peers.
    pub fn note(&self, told: &[Suspicion]) {
        if told.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut marks = self.lock();
        let mut new = told.to_vec();
        new.retain(|one| marks.note(now, *one));
        self.known.store(true, Ordering::Release);
        drop(marks);
        for one in &new {
            log::warn!(print:% = format_args!("{:016x}", one.print), target:% = one.target, cleared = one.cleared; "suspect.noted");
        }
        self.tell(new);
    }

    /// Clears a fingerprint here and, by way of peers, everywhere.
    pub fn clear(&self, print: u64) {
        let told = self.lock().clear(self.clock.now(), print);
        self.known.store(true, Ordering::Release);
        self.tell(vec![told]);
    }

    /// All fingerprints with marks that count.
    #[must_use]
    pub fn list(&self) -> Vec<Marked> {
        self.lock().list(self.clock.now())
    }
}

/// Tells a few peers by control messages; each passes on what is new to it,
/// so that all learn of it within a few hops.
#[must_use]
pub fn tell_peers(me: NodeId, view: Arc<ViewCell>, peers: Peers, seed: u64) -> TellFn {
    let rng = Mutex::new(SmallRng::seed_from_u64(seed));
    Box::new(move |new| {
        let mut rng = rng.lock().unwrap_or_else(PoisonError::into_inner);
        for address in others(me, &view, &mut *rng) {
            tokio::spawn((peers.control)((address, Ask::Suspect(new.clone()))));
        }
    })
}

fn others(me: NodeId, view: &ViewCell, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let view = view.load();
    let heard = view
        .nodes
        .values()
        .filter(|m| m.info.id != me && m.standing != Standing::Silent);
    heard.map(|m| m.info.peers).sample(rng, FAN_OUT)
}
