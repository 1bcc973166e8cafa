//! Bounds the lines about single requests, each kind apart, so that a flood of
//! one kind does not take the room of another.

use std::sync::atomic::{AtomicU64, Ordering};

use heatherrun_kernel::Time;

/// Microseconds of one second.
const SECOND: u64 = 1_000_000;

/// Kinds of lines about single requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request has no answer.
    Failed,
    /// An answer lacks shards.
    Partial,
    /// A call brought no part.
    Call,
    /// A request was turned away before any call.
    Turned,
}

/// Each kind with its name and the lines that are written in a second at the
/// most. A node of a quarter core serves some 60 requests a second: each
/// failed one has its line, also at several times that load.
const LIMITS: [(&str, u64); 4] = [
    ("request.failed", 400),
    ("request.partial", 100),
    ("call.failed", 200),
    ("request.turned-away", 100),
];

/// Lines of one kind in one second.
#[derive(Debug, Default)]
struct Count {
    second: AtomicU64,
    lines: AtomicU64,
    left_out: AtomicU64,
}

/// Counts of all kinds.
#[derive(Debug, Default)]
pub struct Throttle {
    counts: [Count; LIMITS.len()],
}

impl Throttle {
    /// Whether one more line of this kind may be written now.
    pub fn allows(&self, now: Time, kind: Kind) -> bool {
        let count = &self.counts[kind as usize];
        let second = now.0 / SECOND;
        if count.second.swap(second, Ordering::Relaxed) != second {
            count.lines.store(0, Ordering::Relaxed);
        }
        let allowed = count.lines.fetch_add(1, Ordering::Relaxed) < LIMITS[kind as usize].1;
        if !allowed {
            count.left_out.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Lines left out since this was last asked, by the name of their kind.
    pub fn take_left_out(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counts = self.counts.iter().zip(LIMITS);
        counts.filter_map(|(count, (name, _))| {
            let lines = count.left_out.swap(0, Ordering::Relaxed);
            (lines > 0).then_some((name, lines))
        })
    }

    /// Tells of lines left out.
    pub fn tell(&self) {
        for (kind, lines) in self.take_left_out() {
            log::warn!(kind, lines; "log.limited");
        }
    }
}
