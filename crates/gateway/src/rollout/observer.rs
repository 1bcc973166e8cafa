//! Counts the calls of this node by version and route during an order.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_routing::rollout::evidence::{Counts, bucket};
use heatherrun_routing::rollout::exposure::Exposure;
use heatherrun_routing::scatter::CallEnd;
use heatherrun_routing::target::{Distance, Target};

use super::lock;
use crate::calls::EndedCall;
use crate::state::State;

/// Latency from which a call that got no answer counts as one that took this
/// long: calls that are no longer needed are dropped after 300 ms.
const MIN_ABANDONED: Duration = Duration::from_millis(300);

/// What this node counted of one order.
#[derive(Debug)]
pub struct Attempt {
    /// Number of the first state of the order.
    pub began: u64,
    /// Version that the order names.
    pub version: Name,
    /// Exposure of the version.
    pub exposure: Exposure,
    /// Counts by route, and whether they are of the ordered version. Locked once
    /// or twice a call while an order runs.
    samples: Mutex<BTreeMap<(Name, bool), Counts>>,
}

impl Attempt {
    /// Creates the counts of an order; `credit` is that of [`Exposure::new`].
    #[must_use]
    pub fn new(began: u64, version: &Name, credit: f64) -> Self {
        Self {
            began,
            version: Name::clone(version),
            exposure: Exposure::new(credit),
            samples: Mutex::default(),
        }
    }

    /// Copy of the counts.
    #[must_use]
    pub fn samples(&self) -> BTreeMap<(Name, bool), Counts> {
        lock(&self.samples).clone()
    }
}

/// Observes one call. Dropped without an end, the call was abandoned.
pub struct CallObserver {
    state: Arc<State>,
    attempt: Arc<Attempt>,
    route: Name,
    is_new: bool,
    /// Whether the latency is comparable: the target is warm, and not in another
    /// region.
    is_timed: bool,
    sent_at: Time,
    is_ended: bool,
}

/// Counts a call that is about to be sent, and observes how it ends; `None`
/// without an order for the target's service.
#[must_use]
pub fn observe(state: &Arc<State>, route: &Name, target: &Target) -> Option<CallObserver> {
    let followed = state.rollouts.followed(&target.entry.service)?;
    let attempt = followed.attempt.clone()?;
    let is_new = target.entry.version == attempt.version;
    if is_new {
        attempt.exposure.record_new();
    }
    state
        .metrics
        .record_rollout_call(&target.entry.service, is_new);
    let now = state.clock.now();
    let observer = CallObserver {
        state: Arc::clone(state),
        attempt,
        route: Name::clone(route),
        is_new,
        is_timed: target.distance != Distance::Far && !target.is_cold(now),
        sent_at: now,
        is_ended: false,
    };
    observer.count(|counts| counts.calls += 1);
    Some(observer)
}

impl CallObserver {
    /// Records how the call ended. Answers that another region delays are not
    /// compared, and lost or corrupted ones say nothing about the version.
    pub fn record_end(mut self, ended: &EndedCall) {
        self.is_ended = true;
        if ended.end == CallEnd::NotSent {
            return;
        }
        self.record_reached();
        let status = ended.reply.as_ref().map(http::Response::status);
        match ended.end {
            CallEnd::Failed if status.is_some_and(|s| s.is_server_error()) => {
                self.count(|counts| counts.failures += 1);
            }
            CallEnd::Part => self.record_latency(),
            CallEnd::Lost => self.record_abandoned(),
            _ => {}
        }
    }

    fn record_reached(&self) {
        if !self.is_new {
            self.attempt.exposure.record_old();
        }
    }

    fn record_latency(&self) {
        if self.is_timed {
            let latency = self.state.clock.now().since(self.sent_at);
            self.count(|counts| counts.latencies[bucket(latency)] += 1);
        }
    }

    fn record_abandoned(&self) {
        if self.state.clock.now().since(self.sent_at) >= MIN_ABANDONED {
            self.record_latency();
        }
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut samples = lock(&self.attempt.samples);
        let key = (Name::clone(&self.route), self.is_new);
        change(samples.entry(key).or_default());
    }
}

impl Drop for CallObserver {
    fn drop(&mut self) {
        if !self.is_ended {
            self.record_reached();
            self.record_abandoned();
        }
    }
}
