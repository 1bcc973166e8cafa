//! Statistics of routes and services, kept across versions of the
//! configuration: latencies for hedge delays, and counts of extra calls.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_kernel::time::micros;
use heatherrun_policy::hedge::Quantile;

use crate::extra_calls::{ExtraCallLimit, ExtraCallWindow};
use crate::target::{Distance, Target};

/// Divisor of the route's objective that gives the hedge delay before any
/// latency is recorded.
const INITIAL_DELAY_DIVISOR: u32 = 4;

/// Minimum hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(4);

/// Divisor of the route's objective that gives the maximum hedge delay: a hedge
/// needs time left to win.
const MAX_DELAY_DIVISOR: u32 = 3;

/// Inverse weight of a shorter time in the longest time that callers wait.
const LONGEST_WAIT_DIVISOR: u64 = 256;

/// Latency quantiles of one route: of calls to near and far targets, and of this
/// node's own work from the point of answer until the answer is ready.
#[derive(Debug, Default)]
pub struct RouteLatency {
    near: Quantile,
    far: Quantile,
    answer_delay: Quantile,
    /// Longest time that callers wait, in microseconds.
    longest_wait: AtomicU64,
}

impl RouteLatency {
    const fn quantile(&self, distance: Distance) -> &Quantile {
        match distance {
            Distance::Far => &self.far,
            Distance::Domain | Distance::Region => &self.near,
        }
    }

    /// Records the latency of a call to a target at `distance`.
    pub fn record(&self, distance: Distance, took: Duration) {
        self.quantile(distance).record_latency(micros(took));
    }

    /// Records how long a caller still waits; returns the longest time that
    /// callers wait. It sinks slowly towards shorter ones, so that one caller with
    /// a far longer time does not hide what the others have spent for good.
    pub fn record_wait(&self, remaining: Duration) -> Duration {
        let remaining = micros(remaining);
        let longest = self.longest_wait.load(Ordering::Relaxed).max(remaining);
        let next = longest - (longest - remaining) / LONGEST_WAIT_DIVISOR;
        self.longest_wait.store(next, Ordering::Relaxed);
        Duration::from_micros(longest)
    }

    /// Records how long after the point of answer an answer was ready.
    pub fn record_answer_delay(&self, took: Duration) {
        self.answer_delay.record_latency(micros(took));
    }

    /// Time from the point of answer until nearly all answers are ready.
    #[must_use]
    pub fn answer_delay(&self) -> Duration {
        Duration::from_micros(self.answer_delay.estimate_us())
    }

    /// Delay after which a call to `target` is hedged, for a route with the
    /// given latency objective. A target that reports that it is slow now is
    /// given at least its expected latency.
    #[must_use]
    pub fn hedge_delay(&self, now: Time, target: &Target, objective: Duration) -> Duration {
        let estimated_micros = self.quantile(target.distance).estimate_us();
        if estimated_micros == 0 {
            return objective / INITIAL_DELAY_DIVISOR;
        }
        let max_delay = (objective / MAX_DELAY_DIVISOR).max(MIN_HEDGE_DELAY);
        let expected_micros = if target.pace.is_slow(now) {
            target.paced_micros(now)
        } else {
            0
        };
        let delay_micros = estimated_micros.max(expected_micros);
        Duration::from_micros(delay_micros).clamp(MIN_HEDGE_DELAY, max_delay)
    }
}

/// Statistics of all routes and services.
#[derive(Debug, Default)]
pub struct RouteStats {
    latencies: Mutex<HashMap<Name, Arc<RouteLatency>>>,
    extra_calls: Mutex<HashMap<Name, ExtraCallWindow>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RouteStats {
    /// Latency quantiles of the route.
    #[must_use]
    pub fn route(&self, name: &Name) -> Arc<RouteLatency> {
        let mut latencies = lock(&self.latencies);
        Arc::clone(latencies.entry(Arc::clone(name)).or_default())
    }

    /// Records one request to each of `services`.
    pub fn record_requests<'a>(
        &self,
        now: Time,
        services: impl Iterator<Item = &'a Name>,
        limit: &ExtraCallLimit,
    ) {
        let mut windows = lock(&self.extra_calls);
        for service in services {
            let window = windows.entry(Arc::clone(service)).or_default();
            window.record_request(now, limit);
        }
    }

    /// Consumes one extra call to `service` from the budget; false if it is
    /// exhausted. `node_share` is the share of the slack that this node may
    /// use, and `usable_share` the part of the budget that calls of this kind may
    /// use.
    pub fn take_extra(
        &self,
        now: Time,
        service: &Name,
        limit: &ExtraCallLimit,
        node_share: f64,
        usable_share: f64,
    ) -> bool {
        let mut windows = lock(&self.extra_calls);
        let window = windows.entry(Arc::clone(service)).or_default();
        window.try_take(now, limit, node_share, usable_share)
    }

    /// Removes the routes and services for which the predicates return false
    /// because the configuration no longer names them.
    pub fn retain(&self, keep_route: impl Fn(&Name) -> bool, keep_service: impl Fn(&Name) -> bool) {
        lock(&self.latencies).retain(|name, _| keep_route(name));
        lock(&self.extra_calls).retain(|name, _| keep_service(name));
    }
}
