//! Detects requests that crash targets and keeps all nodes from sending them
//! again.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::{CallId, QueryId, Time};
use heatherrun_routing::crash_detector::CrashDetector;
use heatherrun_routing::target::Target;
use http::{Method, Uri};
use tokio::sync::mpsc::{self, Receiver, Sender};
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of suspicions queued for the other nodes.
const MAX_QUEUED_SUSPICIONS: usize = 256;

/// Maximum number of refusals whose meaning is open; further ones are passed
/// over, since the store tells of the end as well.
const MAX_REFUSALS: usize = 256;

/// Crash-causing requests known to this node.
#[derive(Debug)]
pub struct CrashTracker {
    detector: Mutex<CrashDetector>,
    /// Set with the first record; until then requests skip the lock.
    has_records: AtomicBool,
    /// Hash of this node's name.
    node_hash: u64,
    call_seq: AtomicU64,
    /// Targets that refused connections, which counts as their end once this
    /// node's links are known to work.
    refusals: Mutex<Vec<Arc<Target>>>,
    /// Whether there are any; until then replies skip the lock.
    has_refusals: AtomicBool,
    /// Suspicions to be sent to the other nodes.
    outbox: Sender<Suspicion>,
}

impl CrashTracker {
    /// Creates an empty tracker. `node_hash` distinguishes the calls of this
    /// node from those of others. The receiver yields the suspicions to be
    /// sent to the other nodes.
    #[must_use]
    pub fn new(node_hash: u64) -> (Self, Receiver<Suspicion>) {
        let (outbox, suspicions) = mpsc::channel(MAX_QUEUED_SUSPICIONS);
        let tracker = Self {
            detector: Mutex::default(),
            has_records: AtomicBool::new(false),
            node_hash,
            call_seq: AtomicU64::new(0),
            refusals: Mutex::default(),
            has_refusals: AtomicBool::new(false),
            outbox,
        };
        (tracker, suspicions)
    }

    fn lock(&self) -> MutexGuard<'_, CrashDetector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_records(&self) -> bool {
        self.has_records.load(Ordering::Relaxed)
    }

    /// Whether the request must not be sent to any target now.
    /// `is_trial_node` says whether this node runs the trials of the banned
    /// request with the given fingerprint.
    pub fn is_refused(
        &self,
        now: Time,
        fingerprint: impl Fn() -> u64,
        is_trial_node: impl Fn(u64) -> bool,
    ) -> bool {
        if !self.has_records() {
            return false;
        }
        let fingerprint = fingerprint();
        self.lock()
            .rejects(now, fingerprint, || is_trial_node(fingerprint))
    }

    /// Records that the connection of a call to `target` was lost.
    pub fn record_lost_call(&self, now: Time, fingerprint: u64, target: &Target) {
        let seq = self.call_seq.fetch_add(1, Ordering::Relaxed);
        let query = QueryId {
            entry: self.node_hash,
            seq,
        };
        self.has_records.store(true, Ordering::Relaxed);
        self.lock()
            .record_loss(now, fingerprint, target, CallId { query, attempt: 0 });
    }

    /// Records that `target` refused a connection: it ended, unless this node has
    /// lost its links.
    pub fn record_refusal(&self, target: &Arc<Target>) {
        if !self.has_records() {
            return;
        }
        let mut refusals = self.lock_refusals();
        if refusals.len() < MAX_REFUSALS {
            refusals.push(Arc::clone(target));
            self.has_refusals.store(true, Ordering::Release);
        }
    }

    /// Records that a target replied or accepted a connection: the links work,
    /// so those that refused connections before have ended.
    pub fn confirm_refusals(&self, now: Time) {
        if !self.has_refusals.load(Ordering::Acquire) {
            return;
        }
        for target in self.take_refusals() {
            self.record_target_end(now, &target);
        }
    }

    /// Forgets the refusals: the links were lost.
    pub fn forget_refusals(&self) {
        drop(self.take_refusals());
    }

    fn take_refusals(&self) -> Vec<Arc<Target>> {
        let mut refusals = self.lock_refusals();
        self.has_refusals.store(false, Ordering::Release);
        std::mem::take(&mut *refusals)
    }

    fn lock_refusals(&self) -> MutexGuard<'_, Vec<Arc<Target>>> {
        self.refusals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that `target` ended, and queues the suspicions that follow from
    /// its lost calls.
    pub fn record_target_end(&self, now: Time, target: &Target) {
        if !self.has_records() {
            return;
        }
        let suspicions = self.lock().record_target_end(now, target);
        for suspicion in suspicions {
            let (fingerprint, id) = (suspicion.fingerprint, &*target.entry.id);
            log::warn!(print = fingerprint, target = id; "request.crashed-target");
            self.enqueue(suspicion);
        }
    }

    /// Records that a target answered the request, which clears suspicions
    /// against it.
    pub fn record_answer(&self, now: Time, fingerprint: impl Fn() -> u64) {
        if !self.has_records() {
            return;
        }
        let cleared = self.lock().record_success(now, fingerprint());
        if let Some(suspicion) = cleared {
            log::info!(print = suspicion.fingerprint; "request.cleared");
            self.enqueue(suspicion);
        }
    }

    /// Applies a suspicion or clearing that another node reported.
    pub fn apply_suspicion(&self, now: Time, suspicion: Suspicion) {
        self.has_records.store(true, Ordering::Relaxed);
        let (fingerprint, cleared) = (suspicion.fingerprint, suspicion.cleared);
        if self.lock().apply_suspicion(now, suspicion) {
            log::info!(print = fingerprint, cleared; "request.marks-told");
        }
    }

    /// Queues a suspicion for the other nodes; drops it when the queue is
    /// full.
    fn enqueue(&self, suspicion: Suspicion) {
        if self.outbox.try_send(suspicion).is_err() {
            log::warn!(print = suspicion.fingerprint, most = MAX_QUEUED_SUSPICIONS; "request.marks-untold");
        }
    }
}

/// Fingerprint of a request of a team, equal for all attempts of a caller.
#[must_use]
pub fn request_fingerprint(method: &Method, uri: &Uri, team: Option<&str>, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(method.as_str().as_bytes());
    hash.update(uri.path_and_query().map_or("/", |p| p.as_str()).as_bytes());
    if let Some(team) = team {
        // Zero bytes occur in no header, so that the parts stay apart.
        hash.update(b"\0");
        hash.update(team.as_bytes());
        hash.update(b"\0");
    }
    hash.update(body);
    hash.digest()
}
