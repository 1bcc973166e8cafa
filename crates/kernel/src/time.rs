//! Points in time on the runtime's clock, which tests pause and advance.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Microseconds since the clock of this process started.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The latest point in time.
    pub const MAX: Self = Self(u64::MAX);

    /// Point `millis` milliseconds after the start of the clock.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Time passed since `earlier`, zero when that lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time left until this point, zero when it has passed at `now`.
    #[must_use]
    pub const fn left(self, now: Self) -> Duration {
        self.since(now)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}us", self.0)
    }
}

/// Whole microseconds of `span`.
#[must_use]
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// The runtime's monotonic clock, counted from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: tokio::time::Instant,
}

impl Clock {
    /// Starts counting now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            base: tokio::time::Instant::now(),
        }
    }

    /// The present.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(micros(self.base.elapsed()))
    }

    /// The runtime's instant at `time`.
    #[must_use]
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        self.base + Duration::from_micros(time.0)
    }

    /// Sleeps until `time`.
    pub async fn sleep_until(&self, time: Time) {
        tokio::time::sleep_until(self.instant(time)).await;
    }
}
