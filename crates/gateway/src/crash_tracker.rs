//! Keeps requests that crash targets from being sent again, by any node.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::{CallId, QueryId, Time};
use heatherrun_routing::crashers::Crashers;
use heatherrun_routing::target::Target;
use http::{Method, Uri};
use tokio::sync::mpsc::{self, Receiver, Sender};
use xxhash_rust::xxh3::Xxh3;

/// Findings that wait to be told to other nodes.
const MOST_WAITING: usize = 256;

/// What this node knows of requests that crash targets.
#[derive(Debug)]
pub struct Crashes {
    known: Mutex<Crashers>,
    /// Whether anything is known: requests ask no lock until then.
    any: AtomicBool,
    node: u64,
    calls: AtomicU64,
    tell: Sender<Suspicion>,
}

impl Crashes {
    /// Nothing known; `node` tells this node's calls from others'. Findings
    /// for other nodes come out of the receiver.
    #[must_use]
    pub fn new(node: u64) -> (Self, Receiver<Suspicion>) {
        let (tell, told) = mpsc::channel(MOST_WAITING);
        let made = Self {
            known: Mutex::default(),
            any: AtomicBool::new(false),
            node,
            calls: AtomicU64::new(0),
            tell,
        };
        (made, told)
    }

    fn lock(&self) -> MutexGuard<'_, Crashers> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_any(&self) -> bool {
        self.any.load(Ordering::Relaxed)
    }

    /// Whether the request must not be sent to any target now; `tries` says
    /// whether this node is the one that tries banned requests.
    pub fn refuses(&self, now: Time, print: impl Fn() -> u64, tries: impl Fn(u64) -> bool) -> bool {
        if !self.has_any() {
            return false;
        }
        let print = print();
        self.lock().refuses(now, print, || tries(print))
    }

    /// Notes that the connection of a call to `target` was lost.
    pub fn lost(&self, now: Time, print: u64, target: &Target) {
        let seq = self.calls.fetch_add(1, Ordering::Relaxed);
        let query = QueryId {
            entry: self.node,
            seq,
        };
        self.any.store(true, Ordering::Relaxed);
        self.lock()
            .lost(now, print, target, CallId { query, attempt: 0 });
    }

    /// Notes that `target` ended.
    pub fn ended(&self, now: Time, target: &Target) {
        if !self.has_any() {
            return;
        }
        let told = self.lock().ended(now, target);
        for suspicion in told {
            let (print, id) = (suspicion.print, &*target.entry.id);
            log::warn!(print, target = id; "request.crashed-target");
            self.pass_on(suspicion);
        }
    }

    /// Notes that some target answered the request.
    pub fn answered(&self, now: Time, print: impl Fn() -> u64) {
        if !self.has_any() {
            return;
        }
        let cleared = self.lock().answered(now, print());
        if let Some(suspicion) = cleared {
            log::info!(print = suspicion.print; "request.cleared");
            self.pass_on(suspicion);
        }
    }

    /// Takes what another node found out.
    pub fn told(&self, now: Time, suspicion: Suspicion) {
        self.any.store(true, Ordering::Relaxed);
        let (print, cleared) = (suspicion.print, suspicion.cleared);
        if self.lock().told(now, suspicion) {
            log::info!(print, cleared; "request.marks-told");
        }
    }

    fn pass_on(&self, suspicion: Suspicion) {
        if self.tell.try_send(suspicion).is_err() {
            log::warn!(print = suspicion.print, most = MOST_WAITING; "request.marks-untold");
        }
    }
}

/// Fingerprint of a request: the same for each attempt of a caller.
#[must_use]
pub fn print(method: &Method, uri: &Uri, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(method.as_str().as_bytes());
    hash.update(uri.path_and_query().map_or("/", |p| p.as_str()).as_bytes());
    hash.update(body);
    hash.digest()
}
