//! Limits the calls of this node to a target that refuses some of them.
//!
//! Load: targets whose queues are full, or half of the targets rejecting 60% of
//! calls at random. Each rejected call delays its request and costs an extra
//! call of the budget. A target has credit for refusals, which each refusal
//! uses and each accepted call restores. Without credit it is sent one call at a
//! time, after a pause that doubles with each refusal: requests for its shard
//! then wait instead of being rejected one after the other.
//!
//! Refusals come back much sooner than answers, so a limit on concurrent calls
//! that shrank with each of them would starve a target which rejects at random.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;

/// Maximum number of refusals in credit: about a round of calls.
const MAX_CREDIT: u32 = 16;

/// Refusals that one accepted call pays for. A target that accepts 40% of calls
/// refuses 1.5 for each accepted one and must not lose its credit by that, also
/// while the refusals, which come back sooner, are counted first.
const CREDIT_PER_ACCEPTED: u32 = 3;

/// Pause after a refusal that is not covered by credit, and how often it
/// doubles. A target must not be idle for much longer than a call takes.
const PAUSE: Duration = Duration::from_millis(10);
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// Limit of one target, learnt from its refusals.
#[derive(Debug, Default)]
pub struct RefusalLimit {
    /// Refusals that used credit which was not restored.
    used: AtomicU32,
    /// Pauses since the latest accepted call.
    pauses: AtomicU32,
    /// End of the pause.
    resume_at: AtomicU64,
}

impl RefusalLimit {
    /// Records that the target refused a call.
    pub fn record_refusal(&self, now: Time) {
        let used = self.used.load(Ordering::Relaxed) + 1;
        self.used.store(used.min(MAX_CREDIT), Ordering::Relaxed);
        if used < MAX_CREDIT || now < self.resume_at() {
            return;
        }
        let pauses = self.pauses.load(Ordering::Relaxed);
        let pause = PAUSE * 2_u32.pow(pauses.min(MAX_PAUSE_DOUBLINGS));
        self.pauses.store(pauses + 1, Ordering::Relaxed);
        self.resume_at.store((now + pause).0, Ordering::Relaxed);
    }

    /// Records that the target ran a call.
    pub fn record_accepted(&self) {
        let used = self.used.load(Ordering::Relaxed);
        if used == 0 {
            return;
        }
        let used = used.saturating_sub(CREDIT_PER_ACCEPTED);
        self.used.store(used, Ordering::Relaxed);
        self.pauses.store(0, Ordering::Relaxed);
        self.resume_at.store(0, Ordering::Relaxed);
    }

    /// Maximum number of calls of this node in flight to the target.
    #[must_use]
    pub fn max_calls(&self) -> u32 {
        if self.used.load(Ordering::Relaxed) < MAX_CREDIT {
            u32::MAX
        } else {
            1
        }
    }

    /// Earliest time of the next call; in the past without a pause.
    #[must_use]
    pub fn resume_at(&self) -> Time {
        Time(self.resume_at.load(Ordering::Relaxed))
    }
}
