//! Whether the evidence shows a bad version: on some route it fails more often
//! than the old one, or takes several times longer.
//!
//! Lost and corrupted answers are not counted at all, since a link or a machine
//! may be the cause. Pauses of targets delay answers in clusters, so signs of
//! slowness must appear in several ticks.

use heatherrun_kernel::routes::Name;

use super::evidence::{Counts, Evidence, RECENT_TICKS, RouteEvidence, Series};

/// Failure rate that counts as usual even if the old version has none.
const USUAL_FAILURES: f64 = 0.004;

/// Share of slow answers that counts as usual: a pause of 200 ms every few
/// seconds delays a few per cent of them.
const USUAL_SLOW: f64 = 0.02;

/// Factor over the usual rate up to which a difference has no meaning.
const RATE_MARGIN: f64 = 1.5;

/// Probability of the evidence under a good version below which the version is
/// bad. It is tested some 40 times in an order.
const MAX_CHANCE: f64 = 0.002;

/// Minimum number of failures or slow answers for a verdict.
const MIN_FAILURES: u64 = 2;
const MIN_SLOW: u64 = 4;

/// Minimum number of answers of each version for a comparison of latencies.
const MIN_NEW: u64 = 6;
const MIN_OLD: u64 = 20;

/// Minimum number of ticks with slow answers of a slow version: a pause affects
/// at most two.
const MIN_SLOW_TICKS: usize = 3;

/// Distance of the medians, in buckets, from which the version is slow: 2.8
/// times the latency.
const SLOW_MEDIAN: usize = 3;

/// Distance of one answer from the old median, in buckets, from which it is
/// slow: four times the latency.
const SLOW_ANSWER: usize = 4;

/// Part of the ticks, in per cent, that contain slow answers of a version that
/// is slow; pauses affect less.
const SLOW_TICKS_PERCENT: usize = 40;

/// Added to the answers of the old version in its rates, so that a rate from few
/// of them is moderate.
const PRIOR_ANSWERS: f64 = 25.0;

/// Why a version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails more often.
    Fails,
    /// Most of its answers take longer.
    Slow,
    /// Some of its answers take much longer.
    PartlySlow,
}

impl Fault {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fails => "fails",
            Self::Slow => "slow",
            Self::PartlySlow => "partly-slow",
        }
    }
}

/// The first route on which the version is bad, and why; `None` if there is
/// none.
#[must_use]
pub fn find_fault(evidence: &Evidence) -> Option<(Name, Fault)> {
    let mut routes = evidence.routes();
    routes.find_map(|(name, route)| Some((Name::clone(name), route_fault(route)?)))
}

fn route_fault(route: &RouteEvidence) -> Option<Fault> {
    let (new, old) = (&route.new, &route.old);
    let recent = (new.recent(), baseline(old));
    if fails(&new.total, &old.total) || fails(&recent.0, &recent.1) {
        return Some(Fault::Fails);
    }
    if is_slow(new, &new.total, &old.total) || is_slow(new, &recent.0, &recent.1) {
        return Some(Fault::Slow);
    }
    is_partly_slow(new, &recent.0, &recent.1).then_some(Fault::PartlySlow)
}

/// Recent counts of the old version, or all of them if it had few answers.
fn baseline(old: &Series) -> Counts {
    let recent = old.recent();
    if recent.timed() < MIN_OLD {
        old.total.clone()
    } else {
        recent
    }
}

fn fails(new: &Counts, old: &Counts) -> bool {
    let usual = rate(old.failures, old.answers()).max(USUAL_FAILURES);
    new.failures >= MIN_FAILURES && is_unlikely(new.failures, new.answers(), usual)
}

fn is_slow(series: &Series, new: &Counts, old: &Counts) -> bool {
    if new.timed() < MIN_NEW || old.timed() < MIN_OLD {
        return false;
    }
    let Some((new, old)) = new.median().zip(old.median()) else {
        return false;
    };
    let bound = old + SLOW_MEDIAN;
    new >= bound && slow_ticks(series, bound) >= MIN_SLOW_TICKS
}

/// Number of recent ticks with an answer in this bucket or a slower one.
fn slow_ticks(series: &Series, bound: usize) -> usize {
    let ticks = series.ticks.iter();
    ticks.filter(|tick| tick.from_bucket(bound) > 0).count()
}

fn is_partly_slow(series: &Series, new: &Counts, old: &Counts) -> bool {
    let Some(median) = old.median().filter(|_| old.timed() >= MIN_OLD) else {
        return false;
    };
    let bound = median + SLOW_ANSWER;
    let slow = new.from_bucket(bound);
    let usual = rate(old.from_bucket(bound), old.timed()).max(USUAL_SLOW);
    slow >= MIN_SLOW
        && slow_ticks(series, bound) * 100 >= RECENT_TICKS * SLOW_TICKS_PERCENT
        && is_unlikely(slow, new.timed(), usual)
}

/// Rate of an event among the answers of the old version.
#[expect(
    clippy::cast_precision_loss,
    reason = "the number of answers is far below 2^52"
)]
fn rate(events: u64, answers: u64) -> f64 {
    (events as f64 + 0.5) / (answers as f64 + PRIOR_ANSWERS)
}

/// Whether so many events among the answers are unlikely at [`RATE_MARGIN`]
/// times this rate, by the Poisson distribution.
#[expect(
    clippy::cast_precision_loss,
    reason = "the number of answers is far below 2^52"
)]
fn is_unlikely(events: u64, answers: u64, rate: f64) -> bool {
    let mean = answers as f64 * rate * RATE_MARGIN;
    if events as f64 <= mean {
        return false;
    }
    if mean > 100.0 {
        // Near enough to the normal distribution, whose quantile this is.
        return events as f64 > mean + 3.1 * mean.sqrt();
    }
    let mut term = (-mean).exp();
    let mut below = 0.0;
    for k in 0..events {
        below += term;
        term *= mean / (k + 1) as f64;
    }
    1.0 - below < MAX_CHANCE
}
