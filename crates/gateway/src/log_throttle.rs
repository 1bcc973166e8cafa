//! Rate limits for log lines about single requests. Each kind of line has its
//! own limit, so that a flood of one kind does not suppress the others.

use std::sync::atomic::{AtomicU64, Ordering};

use heatherrun_kernel::Time;

/// Microseconds in one second.
const MICROS_PER_SEC: u64 = 1_000_000;

/// Kinds of log lines about single requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// A request got no answer.
    FailedRequest,
    /// An answer lacks shards.
    PartialAnswer,
    /// A call returned no part.
    FailedCall,
    /// A request was rejected before any call was sent.
    RejectedRequest,
    /// A target named a limit, another one or none.
    TargetLimit,
    /// A request was rejected for its credential.
    Unauthorized,
    /// A request that may have run got no answer with over half of its time
    /// left.
    EndedEarly,
    /// The slow start of a target began or ended.
    TargetRamp,
    /// A request was rejected because its team is over its quota.
    OverQuota,
}

/// Name and maximum number of lines per second of each kind, in the order of
/// [`LineKind`]. A node with a quarter of a core serves about 60 requests/s:
/// each failed one gets its line, even at several times that load.
const LINES_PER_SEC: [(&str, u64); 9] = [
    ("request.failed", 400),
    ("request.partial", 100),
    ("call.failed", 200),
    ("request.turned-away", 100),
    ("target.limit", 100),
    ("request.unauthorized", 50),
    ("request.ended-early", 400),
    ("target.ramp", 100),
    ("request.over-quota", 50),
];

/// Counts of one kind of line.
#[derive(Debug, Default)]
struct LineCount {
    /// Second in which `lines` were requested.
    second: AtomicU64,
    lines: AtomicU64,
    /// Lines suppressed since they were last reported.
    suppressed: AtomicU64,
}

/// Limits log lines about single requests, by kind and second.
#[derive(Debug, Default)]
pub struct LogThrottle {
    counts: [LineCount; LINES_PER_SEC.len()],
}

impl LogThrottle {
    /// Whether one more line of this kind may be logged now. Counts the line
    /// as logged or suppressed.
    pub fn allows(&self, now: Time, kind: LineKind) -> bool {
        let count = &self.counts[kind as usize];
        let second = now.0 / MICROS_PER_SEC;
        if count.second.swap(second, Ordering::Relaxed) != second {
            count.lines.store(0, Ordering::Relaxed);
        }
        let allowed = count.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_SEC[kind as usize].1;
        if !allowed {
            count.suppressed.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Returns the number of suppressed lines by the name of their kind, and
    /// resets it.
    pub fn take_suppressed(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counts = self.counts.iter().zip(LINES_PER_SEC);
        counts.filter_map(|(count, (name, _))| {
            let lines = count.suppressed.swap(0, Ordering::Relaxed);
            (lines > 0).then_some((name, lines))
        })
    }

    /// Logs how many lines were suppressed since the last call.
    pub fn log_suppressed(&self) {
        for (kind, lines) in self.take_suppressed() {
            log::warn!(kind, lines; "log.limited");
        }
    }
}
