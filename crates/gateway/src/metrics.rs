//! Counters and latencies of one node, fetched as text.
//!
//! Labels take few values: names of the configuration, of failure domains, of
//! outcomes and reasons, never names of requests.

use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use heatherrun_kernel::routes::Name;
use heatherrun_routing::scatter::{CallEnd, Reason};
use prometheus::core::Collector;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of latency buckets, in seconds.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.15, 0.3, 0.5, 1.0, 2.0, 5.0,
];

/// Names of the configuration that have series of their own; a configuration
/// may come with many routes in its life, and each series takes some 300 bytes.
const MOST_NAMES: usize = 300;

/// Name of all others in labels.
const OTHER: &str = "other";

/// Counters and latencies.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    answers: HistogramVec,
    calls: IntCounterVec,
    replies: HistogramVec,
    names: Mutex<HashSet<Name>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let made = "names and buckets are constants that the library accepts";
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect(made)
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            HistogramVec::new(opts, labels).expect(made)
        };
        let metrics = Self {
            registry: Registry::new(),
            requests: counter(
                "heatherrun_requests_total",
                "requests, by route, outcome and reason",
                &["route", "outcome", "reason"],
            ),
            answers: histogram(
                "heatherrun_answer_seconds",
                "time to an answer, by route",
                &["route"],
            ),
            calls: counter(
                "heatherrun_calls_total",
                "calls to targets, by service, the target's failure domain, end and reason",
                &["service", "domain", "end", "reason"],
            ),
            replies: histogram(
                "heatherrun_reply_seconds",
                "time to the reply of a target, by its failure domain",
                &["domain"],
            ),
            names: Mutex::default(),
        };
        let all: [Box<dyn Collector>; 4] = [
            Box::new(metrics.requests.clone()),
            Box::new(metrics.answers.clone()),
            Box::new(metrics.calls.clone()),
            Box::new(metrics.replies.clone()),
        ];
        for collector in all {
            metrics.registry.register(collector).expect(made);
        }
        metrics
    }
}

impl Metrics {
    /// Counts an answer that lacks `missing` shards.
    pub fn answered(&self, route: &Name, took: Duration, missing: usize) {
        let outcome = if missing == 0 { "whole" } else { "partial" };
        let route = self.label(route);
        let requests = self.requests.with_label_values(&[route, outcome, ""]);
        requests.inc();
        let answers = self.answers.with_label_values(&[route]);
        answers.observe(took.as_secs_f64());
    }

    /// Counts a request without answer, `not_run` or perhaps run.
    pub fn failed(&self, route: &Name, not_run: bool, reason: &str) {
        let outcome = if not_run { "not-run" } else { "unknown" };
        let route = self.label(route);
        let requests = self.requests.with_label_values(&[route, outcome, reason]);
        requests.inc();
    }

    /// Counts a request that was turned away before any call.
    pub fn turned_away(&self, reason: &str) {
        let requests = self.requests.with_label_values(&["", "not-run", reason]);
        requests.inc();
    }

    /// Counts a call that ended.
    pub fn called(&self, call: &Called<'_>) {
        let labels = [
            self.label(call.service),
            call.domain,
            call.end.name(),
            call.reason.name(),
        ];
        self.calls.with_label_values(&labels).inc();
        if call.end == CallEnd::Part {
            let replies = self.replies.with_label_values(&[call.domain]);
            replies.observe(call.took.as_secs_f64());
        }
    }

    /// The name, or that of all others when many have series.
    fn label<'a>(&self, name: &'a Name) -> &'a str {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        if names.contains(name) {
            return name;
        }
        if names.len() >= MOST_NAMES {
            return OTHER;
        }
        names.insert(Name::clone(name));
        name
    }

    /// All counters and latencies as text.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(reason:% = e; "metrics.unwritten");
        }
        text
    }
}

/// A call that ended.
#[derive(Clone, Copy, Debug)]
pub struct Called<'a> {
    /// Service of its target.
    pub service: &'a Name,
    /// Failure domain of its target.
    pub domain: &'a str,
    /// End.
    pub end: CallEnd,
    /// Why it was sent.
    pub reason: Reason,
    /// Time from its send.
    pub took: Duration,
}
