//! Burn rates over several windows.
//!
//! An objective of 99% allows 1% of bad events: the error budget. The burn
//! rate is the share of bad events over the share allowed, so a rate of 1
//! spends the budget of a window exactly by its end.

use heatherrun_schema::v1;

use crate::history::Counts;
use crate::objective::Objective;

/// Lengths of the windows, in seconds, the shortest first.
pub const WINDOWS: [u64; 7] = [300, 1_800, 3_600, 7_200, 21_600, 86_400, 259_200];

/// Window for which the error budget is granted, in seconds (three days).
pub const BUDGET_SECS: u64 = 259_200;

/// 100% in parts per million.
const FULL_PPM: u32 = 1_000_000;

/// Share of bad events over the share that `target_ppm` allows; zero without
/// events.
#[must_use]
pub fn burn_rate(counts: Counts, target_ppm: u32) -> f64 {
    if counts.total == 0 {
        return 0.0;
    }
    // An objective of 100% allows no bad event. One part per million is used
    // instead, so that the rate stays finite.
    let allowed = FULL_PPM.saturating_sub(target_ppm).max(1);
    let bad = ratio(counts.bad(), counts.total);
    bad * f64::from(FULL_PPM) / f64::from(allowed)
}

/// `part` over `whole`; zero for 0 of 0.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Burn of one objective over a window of `window_secs`, of which
/// `covered_secs` have data.
#[must_use]
pub fn burn(
    objective: Objective,
    target_ppm: u32,
    window_secs: u64,
    covered_secs: u64,
    counts: Counts,
) -> v1::BurnWindow {
    let rate = burn_rate(counts, target_ppm);
    v1::BurnWindow {
        objective: objective.name().to_owned(),
        window_secs,
        covered_secs: covered_secs.min(window_secs),
        good: counts.good,
        total: counts.total,
        burn_rate: rate,
        budget_left: 1.0 - rate,
        target_ppm,
    }
}
