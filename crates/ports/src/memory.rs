//! Memory and file descriptors of a process, divided among what others can make
//! it hold.
//!
//! Bodies of requests and replies of targets are counted against a
//! [`MemoryBudget`] each, from their first block until the last copy is dropped.
//! Connections are limited in number, by the memory that each may take besides.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Share of the memory for the bodies of requests, in per cent.
const BODIES_PERCENT: usize = 20;

/// Share of the memory for the replies of targets, in per cent.
const REPLIES_PERCENT: usize = 20;

/// Share of the memory for the connections of callers, in per cent. The rest is
/// for other ports, the copy of the store, queues and the program.
const CONNECTIONS_PERCENT: usize = 25;

/// Memory that a connection may take besides what is counted: a head of 16 KiB,
/// the start of a body, unread bytes in the kernel, and its task.
const CONNECTION_BYTES: usize = 48 * 1_024;

/// Descriptors that are kept free of sockets.
const RESERVED_FDS: usize = 200;

/// Shares of the other descriptors for connections of callers, of other nodes and
/// to the directory, and to each further port, in per cent. The rest is for
/// connections to targets, nodes and the store.
const CALLERS_PERCENT: usize = 50;
const PEERS_PERCENT: usize = 20;
const LOOKUPS_PERCENT: usize = 8;
const CHECKS_PERCENT: usize = 2;

/// Length up to which the memory of a body is part of its connection's and not
/// counted, in bytes: requests that are so small are never refused for it.
pub(crate) const FREE_BODY_BYTES: usize = 8 * 1_024;

/// Memory that is granted at a time, in bytes.
const BLOCK_BYTES: usize = 16 * 1_024;

/// Bytes per MB.
const MB: usize = 1_000_000;

/// Parts of a process's memory and descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Division {
    /// Memory for the bodies of requests, in bytes.
    pub bodies: usize,
    /// Memory for the replies of targets, in bytes.
    pub replies: usize,
    /// Maximum number of connections of callers.
    pub callers: usize,
    /// Maximum number of connections of other nodes.
    pub peers: usize,
    /// Maximum number of connections to the directory.
    pub lookups: usize,
    /// Maximum number of connections to each further port.
    pub checks: usize,
}

impl Division {
    /// Divides the memory, in MB, and the descriptors of a process.
    #[must_use]
    pub fn new(memory_mb: u32, max_fds: u32) -> Self {
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX / MB) * MB;
        let max_fds = usize::try_from(max_fds).unwrap_or(usize::MAX);
        let sockets = max_fds.saturating_sub(RESERVED_FDS);
        let share = |percent: usize| (sockets * percent / 100).max(1);
        let fitting = memory / 100 * CONNECTIONS_PERCENT / CONNECTION_BYTES;
        Self {
            bodies: memory / 100 * BODIES_PERCENT,
            replies: memory / 100 * REPLIES_PERCENT,
            callers: share(CALLERS_PERCENT).min(fitting),
            peers: share(PEERS_PERCENT),
            lookups: share(LOOKUPS_PERCENT),
            checks: share(CHECKS_PERCENT),
        }
    }
}

/// Memory that may be held for one purpose.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: AtomicUsize,
    granted: AtomicUsize,
    /// Wakes those that wait for memory when some is released.
    released: Notify,
    /// Wakes the one that can make room when some was refused.
    short: Notify,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit: AtomicUsize::new(limit),
            granted: AtomicUsize::new(0),
            released: Notify::new(),
            short: Notify::new(),
        })
    }

    /// Changes the limit. What was granted stays granted.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Memory that is granted now, in bytes.
    #[must_use]
    pub fn granted(&self) -> usize {
        self.granted.load(Ordering::Relaxed)
    }

    /// Completes when memory is released after this call.
    pub(crate) fn released(&self) -> Notified<'_> {
        self.released.notified()
    }

    /// Completes when memory was refused.
    pub(crate) async fn short(&self) {
        self.short.notified().await;
    }

    fn take(&self, bytes: usize) -> bool {
        let limit = self.limit.load(Ordering::Relaxed);
        let grant = |granted: usize| granted.checked_add(bytes).filter(|sum| *sum <= limit);
        self.granted
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grant)
            .is_ok()
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.granted.fetch_sub(bytes, Ordering::Relaxed);
            self.released.notify_waiters();
        }
    }
}

/// Memory granted out of a budget until dropped.
#[derive(Debug)]
pub struct MemoryGrant {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryGrant {
    /// Creates a grant of nothing.
    #[must_use]
    pub fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            bytes: 0,
        }
    }

    /// Memory that is granted, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether the grant covers `bytes` in all, for which it grows if there is
    /// memory left.
    #[must_use]
    pub fn cover(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let more = (bytes - self.bytes).next_multiple_of(BLOCK_BYTES);
        let granted = self.budget.take(more);
        if granted {
            self.bytes += more;
        } else {
            self.budget.short.notify_one();
        }
        granted
    }

    /// Returns what is granted beyond `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let kept = bytes.next_multiple_of(BLOCK_BYTES).min(self.bytes);
        self.budget.release(self.bytes - kept);
        self.bytes = kept;
    }

    /// Keeps the grant until the last copy of `data` is dropped.
    #[must_use]
    pub fn hold(self, data: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(Held { data, _grant: self })
    }
}

impl Drop for MemoryGrant {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// Bytes with the grant of the memory that they take.
struct Held<T> {
    data: T,
    _grant: MemoryGrant,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}
