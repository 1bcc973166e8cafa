//! Capacity of a server, which may change while it serves, and what it did for
//! lack of it.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::time::Instant;

use crate::http_server::Limits;
use crate::memory::{FREE_BODY_BYTES, MemoryBudget, MemoryGrant};

/// Minimum interval between log lines about shortages.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a server does for lack of connections or memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// A new connection is refused.
    ConnectionRefused,
    /// A connection without a request, or whose client has stalled, is closed for
    /// a new one.
    ConnectionClosed,
    /// A request is refused whose body has not arrived completely.
    BodyRefused,
}

impl Shortage {
    /// All kinds, in the order of their values.
    pub const ALL: [Self; 3] = [
        Self::ConnectionRefused,
        Self::ConnectionClosed,
        Self::BodyRefused,
    ];

    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::ConnectionRefused => "connection-refused",
            Self::ConnectionClosed => "connection-closed",
            Self::BodyRefused => "body-refused",
        }
    }
}

/// Capacity of one server.
#[derive(Debug)]
pub struct Capacity {
    connections: AtomicUsize,
    max_body: AtomicUsize,
    bodies: Arc<MemoryBudget>,
    replies: Option<Arc<MemoryBudget>>,
    /// Number of shortages, by their kind.
    counts: [AtomicU64; Shortage::ALL.len()],
    logged_at: Mutex<Option<Instant>>,
}

impl Capacity {
    /// The capacity that `limits` allow.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        Self {
            connections: AtomicUsize::new(limits.connections),
            max_body: AtomicUsize::new(limits.body),
            bodies: MemoryBudget::new(limits.body_memory),
            replies: None,
            counts: Default::default(),
            logged_at: Mutex::default(),
        }
    }

    /// Counts answers against `replies` too: while that memory is short, clients
    /// that do not read their answers lose their connections.
    #[must_use]
    pub fn with_replies(self, replies: Arc<MemoryBudget>) -> Self {
        Self {
            replies: Some(replies),
            ..self
        }
    }

    /// Maximum number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Changes the maximum number of open connections.
    pub fn set_connections(&self, connections: usize) {
        self.connections.store(connections, Ordering::Relaxed);
    }

    /// Maximum length of a body, in bytes, beside that of the limits.
    #[must_use]
    pub fn max_body(&self) -> usize {
        self.max_body.load(Ordering::Relaxed)
    }

    /// Changes the maximum length of a body, in bytes.
    pub fn set_max_body(&self, max_body: usize) {
        self.max_body.store(max_body, Ordering::Relaxed);
    }

    /// Memory of all bodies.
    #[must_use]
    pub const fn bodies(&self) -> &Arc<MemoryBudget> {
        &self.bodies
    }

    /// Counts the memory of a complete body until the last copy of it is dropped;
    /// `None` if there is not enough.
    #[must_use]
    pub fn hold_body(&self, body: Bytes) -> Option<Bytes> {
        let counted = body.len().saturating_sub(FREE_BODY_BYTES);
        if counted == 0 {
            return Some(body);
        }
        let mut grant = MemoryGrant::new(&self.bodies);
        if grant.cover(counted) {
            return Some(grant.hold(body));
        }
        self.record(Shortage::BodyRefused);
        None
    }

    /// Number of shortages of this kind so far.
    #[must_use]
    pub fn count(&self, shortage: Shortage) -> u64 {
        self.counts[shortage as usize].load(Ordering::Relaxed)
    }

    /// Completes when there was no memory for an answer.
    pub(crate) async fn replies_short(&self) {
        match &self.replies {
            Some(replies) => replies.short().await,
            None => std::future::pending().await,
        }
    }

    /// Counts a shortage, and logs the numbers of all from time to time.
    pub(crate) fn record(&self, shortage: Shortage) {
        self.counts[shortage as usize].fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let mut logged_at = self
            .logged_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if logged_at.is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        *logged_at = Some(now);
        let [refused, closed, bodies] = Shortage::ALL.map(|kind| self.count(kind));
        log::warn!(
            refused, closed, bodies, body_bytes = self.bodies.granted(),
            connections = self.connections();
            "server.shortage"
        );
    }
}
