//! Spaces out the calls of one node to a target that takes a limited rate from
//! all nodes together: one in its slow start, or one that names a limit.
//!
//! Each node has a share of the rate, which may be less than one call a second.
//! It may send one call in each slot; slots follow each other at equal
//! intervals. Unused slots close soon, since slots that many nodes keep would
//! all be used at once when the target is suddenly needed, and the first slots
//! of the nodes are spread over the interval.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::time::micros;

/// How long an unused slot stays open.
const SLOT_LENGTH: Duration = Duration::from_millis(250);

/// Maximum interval between two slots. A node that never calls a target never
/// learns that it takes more; the slots of many nodes must not add up to much.
const MAX_INTERVAL: Duration = Duration::from_mins(10);

/// Interval and phase of the slots of one node at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    interval: Duration,
    /// Delay of the first slot, less than the interval.
    phase: Duration,
}

impl Pace {
    /// Pace of `per_sec` calls a second. `offset` is the position of the first
    /// slot in the interval, from 0 to 1, and differs between nodes. Without any
    /// share of the rate there is one slot each [`MAX_INTERVAL`].
    #[must_use]
    pub fn new(per_sec: f64, offset: f64) -> Self {
        let max_secs = MAX_INTERVAL.as_secs_f64();
        let interval = if per_sec > 0.0 {
            Duration::from_secs_f64((1.0 / per_sec).min(max_secs))
        } else {
            MAX_INTERVAL
        };
        let phase = interval.mul_f64(offset.clamp(0.0, 1.0));
        Self { interval, phase }
    }
}

/// Slots of one target; all methods take a shared reference.
#[derive(Debug, Default)]
pub struct Pacer {
    /// Start of the first slot that is not used yet; zero before the first one.
    next: AtomicU64,
}

impl Pacer {
    /// When the next call may be sent; `now` while a slot is open.
    #[must_use]
    pub fn next_call(&self, now: Time, pace: Pace) -> Time {
        let slot = self.slot(now, pace);
        if slot > now {
            slot
        } else if now.since(slot) <= SLOT_LENGTH {
            now
        } else {
            slot + pace.interval
        }
    }

    /// Uses the open slot. Two requests that look at the same moment may both
    /// find it open.
    pub fn record_call(&self, now: Time, pace: Pace) {
        let following = self.slot(now, pace) + pace.interval;
        self.next.fetch_max(following.0, Ordering::Relaxed);
    }

    /// Start of the latest slot that has begun, or else of the first one.
    fn slot(&self, now: Time, pace: Pace) -> Time {
        let first = (now + pace.phase).0.max(1);
        let unset = self
            .next
            .compare_exchange(0, first, Ordering::Relaxed, Ordering::Relaxed);
        let next = unset.map_or_else(Time, |_| Time(first));
        // A slower pace may have been in force when the slot was set.
        let next = next.min(now + pace.interval);
        let interval = micros(pace.interval).max(1);
        let passed = micros(now.since(next)) / interval;
        Time(next.0.saturating_add(passed.saturating_mul(interval)))
    }
}
