//! Memory that the replies of one client may take while they arrive, so that
//! peers which send without end cannot use up the memory of the process.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum memory of all replies of one client, in bytes. Machines have 160 MB
/// and more.
const MAX_TOTAL_BYTES: usize = 32 << 20;

/// Memory that is granted at a time, in bytes. The first block of each reply is
/// not counted: nearly all replies fit into it.
const BLOCK_BYTES: usize = 64 * 1024;

/// Memory that the arriving replies of one client take.
#[derive(Debug, Default)]
pub(crate) struct ReplyMemory {
    granted: AtomicUsize,
}

impl ReplyMemory {
    /// Starts to count one reply.
    pub(crate) const fn reply(&self) -> ReplyGrant<'_> {
        ReplyGrant {
            memory: self,
            granted: 0,
        }
    }
}

/// Memory granted to one reply until dropped.
#[derive(Debug)]
pub(crate) struct ReplyGrant<'a> {
    memory: &'a ReplyMemory,
    granted: usize,
}

impl ReplyGrant<'_> {
    /// Whether the reply may take `bytes` in all.
    pub(crate) fn covers(&mut self, bytes: usize) -> bool {
        let needed = bytes.saturating_sub(BLOCK_BYTES);
        if needed <= self.granted {
            return true;
        }
        let more = (needed - self.granted).next_multiple_of(BLOCK_BYTES);
        let grant = |total: usize| total.checked_add(more).filter(|t| *t <= MAX_TOTAL_BYTES);
        let granted = self
            .memory
            .granted
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grant);
        if granted.is_ok() {
            self.granted += more;
        }
        granted.is_ok()
    }
}

impl Drop for ReplyGrant<'_> {
    fn drop(&mut self) {
        self.memory
            .granted
            .fetch_sub(self.granted, Ordering::Relaxed);
    }
}
