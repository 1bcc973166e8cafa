//! Attempts of recent queries, kept in memory for `heatherrun explain`.

use crossbeam::queue::ArrayQueue;
use heatherrun_schema::v1;

/// Queries kept.
const KEPT: usize = 256;

/// Ring of the traces of recent queries.
#[derive(Debug)]
pub struct Traces {
    ring: ArrayQueue<v1::ExplainAnswer>,
}

impl Default for Traces {
    fn default() -> Self {
        Self {
            ring: ArrayQueue::new(KEPT),
        }
    }
}

impl Traces {
    /// Keeps one trace; the oldest one goes.
    pub fn keep(&self, trace: v1::ExplainAnswer) {
        self.ring.force_push(trace);
    }

    /// The newest trace with this id. Traces kept meanwhile may be reordered.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<v1::ExplainAnswer> {
        let mut found = None;
        for _ in 0..self.ring.len() {
            let Some(trace) = self.ring.pop() else {
                break;
            };
            if trace.id == id {
                found = Some(trace.clone());
            }
            self.ring.force_push(trace);
        }
        found
    }
}
