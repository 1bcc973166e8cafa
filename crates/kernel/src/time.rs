//! Points in time on the async runtime's clock, which tests can pause and
//! advance.

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
    /// The latest representable point in time.
    pub const MAX: Self = Self(u64::MAX);

    /// The point `millis` milliseconds after the start of the clock.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Duration since `earlier`; zero when `earlier` is in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Duration from `now` until this point; zero when it has passed.
    #[must_use]
    pub const fn time_left(self, now: Self) -> Duration {
        self.since(now)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

/// Number of whole microseconds in `duration`; saturates at [`u64::MAX`].
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Time since boot, the time for which the machine was suspended included.
fn boot_time() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}

/// A monotonic clock, counted from the start of the process.
///
/// The runtime's clock stands still while the machine is suspended, and tests
/// pause it. A clock made by [`Clock::start_boot`] counts suspensions, so that
/// what expires does so also on a machine that slept.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: tokio::time::Instant,
    /// Boot time at the start; none for the runtime's clock.
    boot_origin: Option<Duration>,
}

impl Clock {
    /// Starts a clock whose zero is the present moment.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
            boot_origin: None,
        }
    }

    /// Starts a clock whose zero is the present moment and which also counts
    /// the time for which the machine is suspended.
    #[must_use]
    pub fn start_boot() -> Self {
        Self {
            boot_origin: Some(boot_time()),
            ..Self::start()
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        let elapsed = match self.boot_origin {
            Some(origin) => boot_time().saturating_sub(origin),
            None => self.origin.elapsed(),
        };
        Time(micros(elapsed))
    }

    /// Time for which the machine has been suspended since the start; zero for
    /// the runtime's clock.
    #[must_use]
    pub fn suspended(&self) -> Duration {
        let running = self.origin.elapsed();
        let elapsed = self
            .boot_origin
            .map(|origin| boot_time().saturating_sub(origin));
        elapsed.unwrap_or(running).saturating_sub(running)
    }

    /// Converts `time` to an instant of the runtime's clock; one in the past to
    /// the present if the clock counts suspensions.
    #[must_use]
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        match self.boot_origin {
            Some(_) => tokio::time::Instant::now() + time.time_left(self.now()),
            None => self.origin + Duration::from_micros(time.0),
        }
    }

    /// Sleeps until `time`; returns at once when it has passed.
    pub async fn sleep_until(&self, time: Time) {
        tokio::time::sleep_until(self.instant(time)).await;
    }
}
