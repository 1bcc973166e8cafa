//! One budget for hedges and retries: a share of first attempts. Many
//! refusals for load switch hedges off.

use std::sync::atomic::{AtomicI64, Ordering};

/// Cost of one extra call; a first attempt earns the budget's share of it.
const CALL_COST: i64 = 100;

/// Largest number of extra calls that may be saved up.
const SAVED_CALLS: i64 = 500;

/// Unit of the share of calls refused for load; large enough that rounding
/// does not matter.
const WHOLE: i64 = 1_000_000;

/// Share of calls refused for load above which no call is hedged.
const OVERLOAD: i64 = WHOLE / 20;

/// Weight of one call in that share, as a divisor.
const REFUSED_SMOOTHING: i64 = 64;

/// Budget of extra calls.
#[derive(Debug)]
pub struct Budget {
    percent: i64,
    saved: AtomicI64,
    refused: AtomicI64,
}

impl Budget {
    /// Budget of `percent` extra calls per hundred first attempts.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            percent: i64::from(percent),
            saved: AtomicI64::new(CALL_COST * SAVED_CALLS / 10),
            refused: AtomicI64::new(0),
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

    /// Notes whether a call was refused for load.
    pub fn note(&self, refused: bool) {
        let goal = if refused { WHOLE } else { 0 };
        let step = |old: i64| Some(old + (goal - old) / REFUSED_SMOOTHING);
        let _ = self
            .refused
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }

    /// Whether hedges are off for load.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.refused.load(Ordering::Relaxed) > OVERLOAD
    }
}
