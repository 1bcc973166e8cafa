//! Pace of one target, that is, how long work takes on its machine now, as this
//! node knows it from the load that replies report.
//!
//! The pace changes many times a second and is known only from replies, so each
//! report counts less with its age and the estimate returns to the usual pace.
//! A target is not called to learn its pace.

use std::{
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::site::TargetLoad;
use xxhash_rust::xxh3::xxh3_64;

use crate::target::OBSERVATION_HALF_LIFE;

/// Half-life of a reported pace: machines are shared, and their pace changes
/// several times a second.
const PACE_HALF_LIFE: Duration = Duration::from_millis(300);

/// Usual pace in percent.
const USUAL_PERCENT: f64 = 100.0;

/// Pace in percent from which a target is known to be slow. Smaller
/// differences do not show among the latencies of single calls.
const SLOW_PERCENT: f64 = 120.0;

/// Unit of [`TargetPace::mean`]: hundredths of a percent, so that small
/// differences do not vanish in rounding.
const MEAN_UNITS: f64 = 100.0;

/// Weights of one reply in the mean pace while the pace rises and falls, as for
/// the expected latency, which it accompanies.
const RISING_WEIGHT: f64 = 1.0 / 3.0;
const FALLING_WEIGHT: f64 = 1.0 / 6.0;

/// Bounds of the factor by which the pace changes an expected latency. It
/// exceeds them only when the two means differ by chance.
const FACTOR_RANGE: (f64, f64) = (0.1, 10.0);

/// Load and pace that one target last reported. All methods take a shared
/// reference; the fields are atomics without ordering between them.
#[derive(Debug, Default)]
pub struct TargetPace {
    /// Whether replies of the target, or of an earlier incarnation, report load.
    reports_load: AtomicBool,
    /// Last reported number of waiting calls and of slots.
    waiting: AtomicU32,
    slots: AtomicU32,
    /// Last reported pace in percent; zero when the last report had none.
    latest: AtomicU32,
    /// Mean pace of the calls that the expected latency is derived from, in
    /// units of 1 / [`MEAN_UNITS`] percent.
    mean: AtomicU32,
    /// When the pace was last reported.
    at: AtomicU64,
}

impl TargetPace {
    /// Records the load that a reply reports.
    pub fn record(&self, now: Time, load: &TargetLoad) {
        self.reports_load.store(true, Ordering::Relaxed);
        self.waiting.store(load.waiting, Ordering::Relaxed);
        self.slots.store(load.slots, Ordering::Relaxed);
        let Some(pace) = load.pace else {
            self.latest.store(0, Ordering::Relaxed);
            return;
        };
        let sample = f64::from(pace);
        let mean = if self.latest.load(Ordering::Relaxed) == 0 {
            sample
        } else {
            let old = self.mean_percent(now);
            let weight = if sample > old {
                RISING_WEIGHT
            } else {
                FALLING_WEIGHT
            };
            old + (sample - old) * weight
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 1 and 10,000 percent"
        )]
        let mean = (mean * MEAN_UNITS) as u32;
        self.mean.store(mean, Ordering::Relaxed);
        self.at.store(now.0, Ordering::Relaxed);
        self.latest.store(u32::from(pace), Ordering::Relaxed);
    }

    /// Records a reply that reports no load.
    pub fn record_none(&self) {
        if self.reports_load() {
            self.reports_load.store(false, Ordering::Relaxed);
            self.latest.store(0, Ordering::Relaxed);
        }
    }

    /// Records that an earlier incarnation reported its load.
    pub fn expect_load(&self) {
        self.reports_load.store(true, Ordering::Relaxed);
    }

    /// Whether replies report the load of the target.
    #[must_use]
    pub fn reports_load(&self) -> bool {
        self.reports_load.load(Ordering::Relaxed)
    }

    /// Number of slots that the target last reported; `None` if it never did.
    #[must_use]
    pub fn slots(&self) -> Option<u32> {
        let slots = self.slots.load(Ordering::Relaxed);
        (slots > 0).then_some(slots)
    }

    /// Whether more calls waited than ran when the target last reported.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > self.slots.load(Ordering::Relaxed)
    }

    /// Estimate of the pace now, in percent of the usual; `None` if the target
    /// does not report it.
    #[must_use]
    pub fn percent(&self, now: Time) -> Option<f64> {
        let latest = self.latest.load(Ordering::Relaxed);
        (latest > 0).then(|| self.decayed(now, f64::from(latest), PACE_HALF_LIFE))
    }

    /// Whether the target is known to be slow now.
    #[must_use]
    pub fn is_slow(&self, now: Time) -> bool {
        self.percent(now).is_some_and(|pace| pace >= SLOW_PERCENT)
    }

    /// Scales a latency in microseconds, expected from earlier calls, from the
    /// pace of those calls to the pace now. The same value if no pace is known.
    #[must_use]
    pub fn scale(&self, now: Time, latency: u64) -> u64 {
        let Some(percent) = self.percent(now) else {
            return latency;
        };
        let (min, max) = FACTOR_RANGE;
        let factor = (percent / self.mean_percent(now)).clamp(min, max);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a latency in microseconds, not negative"
        )]
        let scaled = (latency as f64 * factor) as u64;
        scaled
    }

    /// Mean pace of the earlier calls. It returns to the usual as fast as the
    /// expected latency does.
    fn mean_percent(&self, now: Time) -> f64 {
        let mean = f64::from(self.mean.load(Ordering::Relaxed)) / MEAN_UNITS;
        self.decayed(now, mean, OBSERVATION_HALF_LIFE).max(1.0)
    }

    fn decayed(&self, now: Time, percent: f64, half_life: Duration) -> f64 {
        let age = now.since(Time(self.at.load(Ordering::Relaxed)));
        let half_lives = age.as_secs_f64() / half_life.as_secs_f64();
        USUAL_PERCENT + (percent - USUAL_PERCENT) * (-half_lives).exp2()
    }
}

/// Pseudo-random numbers for the choice among near-equal targets. Hashes of a
/// counter: a sequence of equal steps would choose the same target of a shard
/// many times in a row where the number of shards is near a multiple of its
/// period.
#[derive(Debug, Default)]
pub struct Draws(AtomicU64);

impl Draws {
    /// Creates the sequence of one node; `seed` differs between nodes.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    /// The next number.
    pub fn draw(&self) -> u64 {
        xxh3_64(&self.0.fetch_add(1, Ordering::Relaxed).to_le_bytes())
    }
}
