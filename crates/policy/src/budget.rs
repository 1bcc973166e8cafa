//! One budget for hedges and retries: a share of first attempts. Refusals
//! for load switch hedges off for a while.

use std::{
    sync::atomic::{AtomicI64, AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;

/// Cost of one extra call; a first attempt earns the budget's share of it.
const CALL_COST: i64 = 100;

/// Largest number of extra calls that may be saved up.
const SAVED_CALLS: i64 = 50;

/// Time without hedges after a refusal for load.
const OVERLOAD_SPAN: Duration = Duration::from_millis(100);

/// Budget of extra calls.
#[derive(Debug)]
pub struct Budget {
    percent: i64,
    saved: AtomicI64,
    overload_until: AtomicU64,
}

impl Budget {
    /// Budget of `percent` extra calls per hundred first attempts.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            percent: i64::from(percent),
            saved: AtomicI64::new(CALL_COST * SAVED_CALLS / 10),
            overload_until: AtomicU64::new(0),
        }
    }

    /// Earns for `calls` first attempts.
    pub fn earn(&self, calls: usize) {
        let gain = self.percent * i64::try_from(calls).unwrap_or(0);
        let step = |saved: i64| Some((saved + gain).min(CALL_COST * SAVED_CALLS));
        let _ = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }

    /// Spends one extra call, if the budget has it.
    pub fn spend(&self) -> bool {
        let step = |saved: i64| (saved >= CALL_COST).then_some(saved - CALL_COST);
        self.saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .is_ok()
    }

    /// Gives back an extra call that was not sent.
    pub fn refund(&self) {
        self.saved.fetch_add(CALL_COST, Ordering::Relaxed);
    }

    /// Notes a refusal for load.
    pub fn note_overload(&self, now: Time) {
        let until = now + OVERLOAD_SPAN;
        self.overload_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Whether hedges are off for load.
    #[must_use]
    pub fn is_overloaded(&self, now: Time) -> bool {
        now.0 < self.overload_until.load(Ordering::Relaxed)
    }
}
