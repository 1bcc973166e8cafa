//! Common budget for hedges and retries, as a share of the first attempts.
//! Hedges are also switched off while targets reject many calls for overload.

use std::sync::atomic::{AtomicI64, Ordering};

/// Credit that one extra call costs. A first attempt adds the configured
/// percentage of it.
const CALL_COST: i64 = 100;

/// Maximum number of extra calls that unused credit can pay for.
const MAX_SAVED_CALLS: i64 = 500;

/// Fixed-point representation of a share of 100 per cent; large enough to make
/// rounding errors negligible.
const FULL_SHARE: i64 = 1_000_000;

/// Share of calls rejected for overload above which no call is hedged.
const MAX_REFUSED_SHARE: i64 = FULL_SHARE / 20;

/// Weight of one call in the moving average of that share, as a divisor.
const SHARE_SMOOTHING: i64 = 64;

/// Credit for extra calls, and the share of calls rejected for overload.
#[derive(Debug)]
pub struct Budget {
    extra_percent: i64,
    credit: AtomicI64,
    refused_share: AtomicI64,
}

impl Budget {
    /// Creates a budget of `percent` extra calls per hundred first attempts.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            extra_percent: i64::from(percent),
            credit: AtomicI64::new(CALL_COST * MAX_SAVED_CALLS / 10),
            refused_share: AtomicI64::new(0),
        }
    }

    /// Adds the credit for `calls` first attempts.
    pub fn add_credit(&self, calls: usize) {
        let gain = self.extra_percent * i64::try_from(calls).unwrap_or(0);
        let update = |credit: i64| Some((credit + gain).min(CALL_COST * MAX_SAVED_CALLS));
        let _ = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Pays for one extra call; false when the credit does not suffice.
    pub fn try_spend(&self) -> bool {
        let update = |credit: i64| (credit >= CALL_COST).then_some(credit - CALL_COST);
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
            .is_ok()
    }

    /// Returns the credit of an extra call that was not sent.
    pub fn refund(&self) {
        self.credit.fetch_add(CALL_COST, Ordering::Relaxed);
    }

    /// Records whether a call was rejected for overload.
    pub fn record_call(&self, refused: bool) {
        let sample = if refused { FULL_SHARE } else { 0 };
        let update = |share: i64| Some(share + (sample - share) / SHARE_SMOOTHING);
        let _ = self
            .refused_share
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Whether hedges are switched off because of overload.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.refused_share.load(Ordering::Relaxed) > MAX_REFUSED_SHARE
    }
}
