//! Counters and latency histograms of one node, in the Prometheus text format.
//!
//! Labels have few values: names from the configuration, failure domains,
//! outcomes and reasons, never request ids.

use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use heatherrun_kernel::routes::Name;
use heatherrun_routing::scatter::{CallEnd, Reason};
use prometheus::core::Collector;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_SECS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.15, 0.3, 0.5, 1.0, 2.0, 5.0,
];

/// Maximum number of configured names that get series of their own. Successive
/// configurations may name many routes over a node's lifetime, and each series
/// takes about 300 bytes.
const MAX_LABEL_NAMES: usize = 300;

/// Label value shared by the names beyond [`MAX_LABEL_NAMES`].
const OVERFLOW_LABEL: &str = "other";

/// Label values of priorities; the last one is shared by all lower priorities.
const PRIORITY_LABELS: [&str; 5] = ["0", "1", "2", "3", "4+"];

fn priority_label(priority: u8) -> &'static str {
    PRIORITY_LABELS[usize::from(priority).min(PRIORITY_LABELS.len() - 1)]
}

/// What the load of its destination meant for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It started at once.
    Started,
    /// It started after a wait.
    Waited,
    /// It was refused.
    Refused,
}

impl Admission {
    const fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Waited => "waited",
            Self::Refused => "refused",
        }
    }
}

/// Metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    answer_seconds: HistogramVec,
    calls: IntCounterVec,
    reply_seconds: HistogramVec,
    limited_calls: IntCounterVec,
    ramps: IntCounterVec,
    links_down: IntGauge,
    forwards: IntCounterVec,
    quota: IntCounterVec,
    admissions: IntCounterVec,
    waiting: IntGaugeVec,
    rollout_calls: IntCounterVec,
    shortages: IntCounterVec,
    memory: IntGaugeVec,
    /// Configured names that have series of their own.
    label_names: Mutex<HashSet<Name>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let valid = "metric names and buckets are valid constants";
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect(valid)
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECS.to_vec());
            HistogramVec::new(opts, labels).expect(valid)
        };
        let metrics = Self {
            registry: Registry::new(),
            requests: counter(
                "heatherrun_requests_total",
                "requests, by route, outcome and reason",
                &["route", "outcome", "reason"],
            ),
            answer_seconds: histogram(
                "heatherrun_answer_seconds",
                "time to an answer, by route",
                &["route"],
            ),
            calls: counter(
                "heatherrun_calls_total",
                "calls to targets, by service, the target's failure domain, end and reason",
                &["service", "domain", "end", "reason"],
            ),
            reply_seconds: histogram(
                "heatherrun_reply_seconds",
                "time to the reply of a target, by its failure domain",
                &["domain"],
            ),
            limited_calls: counter(
                "heatherrun_limited_calls_total",
                "calls to targets that name a limit, by service and reason",
                &["service", "reason"],
            ),
            ramps: counter(
                "heatherrun_target_ramps_total",
                "slow starts of targets that began or ended, by service and step",
                &["service", "step"],
            ),
            links_down: IntGauge::new(
                "heatherrun_links_down",
                "1 while this node reaches no target",
            )
            .expect(valid),
            forwards: counter(
                "heatherrun_forwards_total",
                "requests forwarded to other nodes, by end",
                &["end"],
            ),
            quota: counter(
                "heatherrun_quota_total",
                "requests of teams with a limit, by team and what decided",
                &["team", "by"],
            ),
            admissions: counter(
                "heatherrun_admissions_total",
                "requests that were admitted or refused by load, by priority",
                &["priority", "outcome"],
            ),
            waiting: IntGaugeVec::new(
                Opts::new(
                    "heatherrun_waiting_requests",
                    "requests that wait for room at their targets, by priority",
                ),
                &["priority"],
            )
            .expect(valid),
            rollout_calls: counter(
                "heatherrun_rollout_calls_total",
                "calls during a roll-out, by service and version: new or old",
                &["service", "version"],
            ),
            shortages: counter(
                "heatherrun_shortages_total",
                "connections and bodies refused or closed for lack of room, by kind",
                &["kind"],
            ),
            memory: IntGaugeVec::new(
                Opts::new(
                    "heatherrun_memory_bytes",
                    "memory granted to bodies of requests and to replies of targets",
                ),
                &["part"],
            )
            .expect(valid),
            label_names: Mutex::default(),
        };
        metrics.register_all().expect(valid);
        metrics
    }
}

impl Metrics {
    fn register_all(&self) -> prometheus::Result<()> {
        let collectors: [Box<dyn Collector>; 14] = [
            Box::new(self.requests.clone()),
            Box::new(self.answer_seconds.clone()),
            Box::new(self.calls.clone()),
            Box::new(self.reply_seconds.clone()),
            Box::new(self.limited_calls.clone()),
            Box::new(self.ramps.clone()),
            Box::new(self.links_down.clone()),
            Box::new(self.forwards.clone()),
            Box::new(self.quota.clone()),
            Box::new(self.admissions.clone()),
            Box::new(self.waiting.clone()),
            Box::new(self.rollout_calls.clone()),
            Box::new(self.shortages.clone()),
            Box::new(self.memory.clone()),
        ];
        for collector in collectors {
            self.registry.register(collector)?;
        }
        Ok(())
    }

    /// Records an answer in which `missing` shards are missing.
    pub fn record_answer(&self, route: &Name, elapsed: Duration, missing: usize) {
        let outcome = if missing == 0 { "whole" } else { "partial" };
        let route = self.label(route);
        let requests = self.requests.with_label_values(&[route, outcome, ""]);
        requests.inc();
        let answer_seconds = self.answer_seconds.with_label_values(&[route]);
        answer_seconds.observe(elapsed.as_secs_f64());
    }

    /// Records a request that got no answer. `not_run` says that no target ran
    /// it; otherwise one may have.
    pub fn record_failure(&self, route: &Name, not_run: bool, reason: &str) {
        let outcome = if not_run { "not-run" } else { "unknown" };
        let route = self.label(route);
        let requests = self.requests.with_label_values(&[route, outcome, reason]);
        requests.inc();
    }

    /// Records a request that was rejected before any call was sent.
    pub fn record_rejection(&self, reason: &str) {
        let requests = self.requests.with_label_values(&["", "not-run", reason]);
        requests.inc();
    }

    /// Records a call that ended.
    pub fn record_call(&self, call: &CallSample<'_>) {
        let labels = [
            self.label(call.service),
            call.domain,
            call.end.name(),
            call.reason.name(),
        ];
        self.calls.with_label_values(&labels).inc();
        if call.end == CallEnd::Part {
            let reply_seconds = self.reply_seconds.with_label_values(&[call.domain]);
            reply_seconds.observe(call.elapsed.as_secs_f64());
        }
    }

    /// Records a call to a target that names a limit.
    pub fn record_limited_call(&self, service: &Name, reason: Reason) {
        let labels = [self.label(service), reason.name()];
        self.limited_calls.with_label_values(&labels).inc();
    }

    /// Records that the slow start of a target began or ended.
    pub fn record_ramp(&self, service: &Name, step: &str) {
        let labels = [self.label(service), step];
        self.ramps.with_label_values(&labels).inc();
    }

    /// Records whether this node reaches no target.
    pub fn set_links_down(&self, is_down: bool) {
        self.links_down.set(i64::from(is_down));
    }

    /// Records a request that was forwarded to other nodes, and its end.
    pub fn record_forward(&self, end: &str) {
        self.forwards.with_label_values(&[end]).inc();
    }

    /// Records a request of a team with a limit, and what decided on it.
    pub fn record_quota(&self, team: &Name, by: &str) {
        let labels = [self.label(team), by];
        self.quota.with_label_values(&labels).inc();
    }

    /// Records whether a request of this priority was admitted.
    pub fn record_admission(&self, priority: u8, outcome: Admission) {
        let labels = [priority_label(priority), outcome.name()];
        self.admissions.with_label_values(&labels).inc();
    }

    /// Adds to the number of requests of this priority that wait for room.
    pub fn add_waiting(&self, priority: u8, change: i64) {
        let waiting = self.waiting.with_label_values(&[priority_label(priority)]);
        waiting.add(change);
    }

    /// Records a call that is sent during a roll-out of its service.
    pub fn record_rollout_call(&self, service: &Name, is_new: bool) {
        let version = if is_new { "new" } else { "old" };
        let labels = [self.label(service), version];
        self.rollout_calls.with_label_values(&labels).inc();
    }

    /// Records the number of shortages of a kind so far.
    pub fn set_shortages(&self, kind: &str, count: u64) {
        let counter = self.shortages.with_label_values(&[kind]);
        counter.inc_by(count.saturating_sub(counter.get()));
    }

    /// Records the memory that is granted to a part.
    pub fn set_memory(&self, part: &str, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.memory.with_label_values(&[part]).set(bytes);
    }

    /// Label value for `name`: the name itself, or the shared one once
    /// [`MAX_LABEL_NAMES`] others have series.
    fn label<'a>(&self, name: &'a Name) -> &'a str {
        let mut label_names = self
            .label_names
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if label_names.contains(name) {
            return name;
        }
        if label_names.len() >= MAX_LABEL_NAMES {
            return OVERFLOW_LABEL;
        }
        label_names.insert(Name::clone(name));
        name
    }

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(reason:% = e; "metrics.unwritten");
        }
        text
    }
}

/// Labels and latency of a call that ended.
#[derive(Clone, Copy, Debug)]
pub struct CallSample<'a> {
    /// Service of the target.
    pub service: &'a Name,
    /// Failure domain of the target.
    pub domain: &'a str,
    /// How the call ended.
    pub end: CallEnd,
    /// Why the call was sent.
    pub reason: Reason,
    /// Time from the start of the call to its end.
    pub elapsed: Duration,
}
