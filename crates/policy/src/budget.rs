//! One budget for hedges and retries: a share of first attempts. Refusals
//! for load that exceed a share too switch hedges off for a while; single
//! ones, as of one slow replica, do not.

use std::{
    sync::atomic::{AtomicI64, AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;

/// Cost of one extra call; a first attempt earns the budget's share of it.
const CALL_COST: i64 = 100;

/// Largest number of extra calls that may be saved up.
const SAVED_CALLS: i64 = 500;

/// Refusals for load that first attempts make up for, in per cent of them.
const REFUSED_PERCENT: i64 = 5;

/// Refusals beyond that share from which on hedges are off.
const OVERLOAD: i64 = 10;

/// Largest number of refusals that counts.
const MOST_REFUSED: i64 = 20;

/// Time without hedges after the last refusal of an overload.
const OVERLOAD_SPAN: Duration = Duration::from_millis(100);

/// Budget of extra calls.
#[derive(Debug)]
pub struct Budget {
    percent: i64,
    saved: AtomicI64,
    /// Refusals for load that first attempts have not made up for, in
    /// hundredths.
    refused: AtomicI64,
    overload_until: AtomicU64,
}

impl Budget {
    /// Budget of `percent` extra calls per hundred first attempts.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            percent: i64::from(percent),
            saved: AtomicI64::new(CALL_COST * SAVED_CALLS / 10),
            refused: AtomicI64::new(0),
            overload_until: AtomicU64::new(0),
        }
    }

    /// Earns for `calls` first attempts.
    pub fn earn(&self, calls: usize) {
        let calls = i64::try_from(calls).unwrap_or(0);
        let gain = self.percent * calls;
        let step = |saved: i64| Some((saved + gain).min(CALL_COST * SAVED_CALLS));
        let _ = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        self.forgive(calls);
    }

    fn forgive(&self, calls: i64) {
        let step = |refused: i64| (refused > 0).then(|| (refused - REFUSED_PERCENT * calls).max(0));
        let _ = self
            .refused
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
        let step = |refused: i64| Some((refused + CALL_COST).min(MOST_REFUSED * CALL_COST));
        let before = self
            .refused
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        if before.unwrap_or_default() + CALL_COST < OVERLOAD * CALL_COST {
            return;
        }
        let until = now + OVERLOAD_SPAN;
        self.overload_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Whether hedges are off for load.
    #[must_use]
    pub fn is_overloaded(&self, now: Time) -> bool {
        now.0 < self.overload_until.load(Ordering::Relaxed)
    }
}
