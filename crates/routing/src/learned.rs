//! What is learned of routes and services, kept over versions of the
//! configuration.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_kernel::time::micros;
use heatherrun_policy::hedge::Quantile;

use crate::extra::{ExtraBound, ExtraWindow};
use crate::target::{Distance, Target};

/// Delay after which a call is hedged while none is learned, as a part of the
/// route's objective.
const FIRST_DIVISOR: u32 = 4;

/// Shortest hedge delay.
const LEAST: Duration = Duration::from_millis(4);

/// Latest hedge, as a part of the objective: a hedge must be able to win.
const LATEST_DIVISOR: u32 = 3;

/// Latencies of one route, apart for near and far targets.
#[derive(Debug, Default)]
pub struct RouteLatency {
    near: Quantile,
    far: Quantile,
}

impl RouteLatency {
    const fn of(&self, distance: Distance) -> &Quantile {
        match distance {
            Distance::Far => &self.far,
            Distance::Domain | Distance::Region => &self.near,
        }
    }

    /// Notes the latency of a call.
    pub fn note(&self, distance: Distance, took: Duration) {
        self.of(distance).note(micros(took));
    }

    /// Delay after which a call to `target` is hedged.
    #[must_use]
    pub fn delay(&self, target: &Target, objective: Duration) -> Duration {
        let learned = self.of(target.distance).get();
        if learned == 0 {
            return objective / FIRST_DIVISOR;
        }
        let most = (objective / LATEST_DIVISOR).max(LEAST);
        Duration::from_micros(learned).clamp(LEAST, most)
    }
}

/// Everything learned.
#[derive(Debug, Default)]
pub struct Learned {
    routes: Mutex<HashMap<Name, Arc<RouteLatency>>>,
    extra: Mutex<HashMap<Name, ExtraWindow>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Learned {
    /// Latencies of the route.
    #[must_use]
    pub fn route(&self, name: &Name) -> Arc<RouteLatency> {
        let mut routes = lock(&self.routes);
        Arc::clone(routes.entry(Arc::clone(name)).or_default())
    }

    /// Notes one request to each of `services`.
    pub fn request<'a>(
        &self,
        now: Time,
        services: impl Iterator<Item = &'a Name>,
        bound: &ExtraBound,
    ) {
        let mut extra = lock(&self.extra);
        for service in services {
            let window = extra.entry(Arc::clone(service)).or_default();
            window.request(now, bound);
        }
    }

    /// Takes one extra call to `service`, if there is one; `part` of the
    /// slack is this node's.
    pub fn take_extra(&self, now: Time, service: &Name, bound: &ExtraBound, part: f64) -> bool {
        let mut extra = lock(&self.extra);
        let window = extra.entry(Arc::clone(service)).or_default();
        window.take(now, bound, part)
    }

    /// Forgets routes and services that the configuration does not name.
    pub fn retain(&self, route: impl Fn(&Name) -> bool, service: impl Fn(&Name) -> bool) {
        lock(&self.routes).retain(|name, _| route(name));
        lock(&self.extra).retain(|name, _| service(name));
    }
}
