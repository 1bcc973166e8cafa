//! Counters and latencies of one node, fetched as text.
//!
//! Labels take few values: outcomes and reasons, never names of requests.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use prometheus::{Encoder, Histogram, HistogramOpts, IntCounterVec, Opts, Registry, TextEncoder};

/// Lines about single requests that are logged in a second at the most.
const LINES: u64 = 200;

/// Upper bounds of latency buckets, in seconds.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.15, 0.3, 0.5, 1.0, 2.0, 5.0,
];

/// Counters and latencies.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    answered: IntCounterVec,
    refused: IntCounterVec,
    took: Histogram,
    dropped: AtomicU64,
    lines: Mutex<(Option<Instant>, u64)>,
}

impl Default for Metrics {
    fn default() -> Self {
        let answered = Opts::new(
            "heatherrun_answered_total",
            "requests answered, by coverage",
        );
        let refused = Opts::new(
            "heatherrun_refused_total",
            "requests without answer, by cause",
        );
        let took = HistogramOpts::new("heatherrun_answer_seconds", "time to an answer");
        let made = "names and buckets are constants that the library accepts";
        let metrics = Self {
            registry: Registry::new(),
            answered: IntCounterVec::new(answered, &["coverage"]).expect(made),
            refused: IntCounterVec::new(refused, &["cause"]).expect(made),
            took: Histogram::with_opts(took.buckets(BUCKETS.to_vec())).expect(made),
            dropped: AtomicU64::new(0),
            lines: Mutex::default(),
        };
        let all: [Box<dyn prometheus::core::Collector>; 3] = [
            Box::new(metrics.answered.clone()),
            Box::new(metrics.refused.clone()),
            Box::new(metrics.took.clone()),
        ];
        for collector in all {
            metrics.registry.register(collector).expect(made);
        }
        metrics
    }
}

impl Metrics {
    /// Counts an answer that lacks `missing` shards.
    pub fn answered(&self, took: Duration, missing: usize) {
        let coverage = if missing == 0 { "whole" } else { "partial" };
        self.answered.with_label_values(&[coverage]).inc();
        self.took.observe(took.as_secs_f64());
    }

    /// Counts a request without answer.
    pub fn refused(&self, cause: &str) {
        self.refused.with_label_values(&[cause]).inc();
    }

    /// Whether one more line about a single request may be logged; what is
    /// left out is counted and told once a second.
    pub fn may_log(&self) -> bool {
        let now = Instant::now();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let begun = lines.0.is_some_and(|t| now - t < Duration::from_secs(1));
        if !begun {
            *lines = (Some(now), 0);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                log::warn!(lines = dropped; "log.dropped");
            }
        }
        lines.1 += 1;
        let room = lines.1 <= LINES;
        if !room {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        room
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
