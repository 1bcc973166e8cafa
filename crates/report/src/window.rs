//! Burn rates over several windows.
//!
//! An objective of 99% allows 1% of bad events: the error budget. The burn
//! rate is the share of bad events over the share allowed, so a rate of 1
//! spends the budget of a window exactly by its end.

use heatherrun_schema::v1;

use crate::history::Counts;
use crate::objective::Objective;

/// Windows, in seconds, the shortest first.
pub const WINDOWS: [u64; 7] = [300, 1_800, 3_600, 7_200, 21_600, 86_400, 259_200];

/// Window over which the budget is held, in seconds.
pub const BUDGET_SECS: u64 = 259_200;

/// Parts per million that make a whole.
const WHOLE_PPM: u32 = 1_000_000;

/// Share of bad events over the share that `target_ppm` allows; zero without
/// events.
#[must_use]
pub fn burn_rate(counts: Counts, target_ppm: u32) -> f64 {
    if counts.total == 0 {
        return 0.0;
    }
    // An objective of all has no budget: it counts as one part per million.
    let allowed = WHOLE_PPM.saturating_sub(target_ppm).max(1);
    let bad = ratio(counts.bad(), counts.total);
    bad * f64::from(WHOLE_PPM) / f64::from(allowed)
}

/// `part` over `whole`.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Burn of one objective over one window, of which `covered` seconds have
/// data.
#[must_use]
pub fn burn(
    objective: Objective,
    target_ppm: u32,
    window: u64,
    covered: u64,
    counts: Counts,
) -> v1::BurnWindow {
    let rate = burn_rate(counts, target_ppm);
    v1::BurnWindow {
        objective: objective.name().to_owned(),
        window_secs: window,
        covered_secs: covered.min(window),
        good: counts.good,
        total: counts.total,
        burn_rate: rate,
        budget_left: 1.0 - rate,
        target_ppm,
    }
}
