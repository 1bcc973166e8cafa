//! Sends the counts of this node to the node that decides, and follows the
//! states that it returns. They arrive sooner than through the store.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_kernel::time::micros;
use heatherrun_routing::rollout::policy::Mode;
use heatherrun_schema::v1::{
    PeerRequest, RolloutReceipt, RolloutReport, VersionSample, VersionState, VersionUse,
};

use super::{Followed, lock};
use crate::exchange::Exchange;
use crate::state::State;

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between reports while the version receives all calls: a bad one must
/// be found before it exceeds its share.
const MOVE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum wait for the decider's reply; after it the decider is not asked for a
/// while.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends reports while there is an order; never returns.
pub async fn run(state: Arc<State>) {
    let exchange = Exchange::default();
    let mut known = HashMap::new();
    loop {
        let followed = state.rollouts.all_followed();
        let is_moving = followed.values().any(|f| f.policy.mode == Mode::Move);
        let delay = if is_moving {
            MOVE_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        tokio::time::sleep(delay).await;
        let Some(report) = state.rollout_report(&mut known) else {
            continue;
        };
        send(&state, &exchange, report).await;
    }
}

async fn send(state: &Arc<State>, exchange: &Exchange, report: RolloutReport) {
    let own = &state.own_entry;
    let Some(decider) = state.rollouts.decider() else {
        return;
    };
    if decider.node == own.name {
        state.receive_rollout(&own.name, report);
        return;
    }
    let request = PeerRequest {
        node: own.name.to_string(),
        quota: None,
        rollout: Some(report),
    };
    let sent_at = state.clock.now();
    let reply = exchange
        .send(state, decider.peers, &request, REPLY_TIMEOUT)
        .await;
    let Some(receipt) = reply.and_then(|r| r.rollout).filter(|r| r.decides) else {
        return;
    };
    let now = state.clock.now();
    for version in &receipt.states {
        state
            .rollouts
            .follow_sent(now, &version.service, &version.value);
    }
    let age = Duration::from_micros(receipt.age_us);
    state.rollouts.record_fresh(sent_at - age);
}

impl State {
    /// Takes the report of a node. Only the decider uses it.
    pub fn receive_rollout(&self, node: &str, report: RolloutReport) -> RolloutReceipt {
        let now = self.clock.now();
        let rollouts = &self.rollouts;
        if now.0 >= rollouts.deciding_until.load(Ordering::Acquire) {
            return RolloutReceipt::default();
        }
        let views = lock(&rollouts.views).clone();
        let began = |service: &str| Some(views.get(service)?.state.as_ref()?.began);
        lock(&rollouts.inbox).receive(now, &Name::from(node), report, began);
        let states = views.iter().filter_map(|(service, view)| {
            let state = view.state.as_ref()?;
            Some(VersionState {
                service: service.to_string(),
                value: serde_json::to_vec(state).ok()?,
            })
        });
        RolloutReceipt {
            decides: true,
            age_us: micros(self.feed_age()),
            states: states.collect(),
        }
    }

    /// This node's report; none without an order, or in reserve without calls.
    /// `known` holds the numbers of the states at the last report: a request may
    /// still be choosing its target by the state before.
    fn rollout_report(&self, known: &mut HashMap<Name, u64>) -> Option<RolloutReport> {
        let followed = self.rollouts.all_followed();
        let mut report = RolloutReport::default();
        for (service, followed) in followed.iter() {
            let last = known.insert(Name::clone(service), followed.seq);
            let Some(attempt) = &followed.attempt else {
                continue;
            };
            for ((route, is_new), counts) in attempt.samples() {
                report.samples.push(VersionSample {
                    service: service.to_string(),
                    route: route.to_string(),
                    is_new,
                    calls: counts.calls,
                    failures: counts.failures,
                    latencies: counts.latencies.to_vec(),
                });
            }
            report.uses.push(VersionUse {
                service: service.to_string(),
                revision: last.unwrap_or_default().min(followed.seq),
                old_calls: self.old_calls(service, followed),
            });
        }
        known.retain(|service, _| followed.contains_key(service));
        let is_needed = self.shares.load().is_serving() || !report.samples.is_empty();
        (is_needed && !report.uses.is_empty()).then_some(report)
    }

    /// Calls of this node in flight to targets of other versions.
    fn old_calls(&self, service: &Name, followed: &Followed) -> u64 {
        let services = self.services.load();
        let targets = services.get(service).into_iter().flatten();
        let old = targets.filter(|target| !followed.policy.is_new(target));
        old.map(|target| u64::from(target.in_flight())).sum()
    }

    /// Whether a target of the version accepts calls.
    pub(super) fn has_version(&self, service: &Name, version: &Name) -> bool {
        let services = self.services.load();
        let mut targets = services.get(service).into_iter().flatten();
        targets.any(|t| t.entry.version == *version && t.accepts_calls())
    }

    /// Records until when this node decides on roll-outs.
    pub(super) fn set_deciding(&self, until: Time) {
        let rollouts = &self.rollouts;
        rollouts.deciding_until.store(until.0, Ordering::Release);
    }
}
