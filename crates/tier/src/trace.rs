//! Traces of recent queries, kept in memory for `heatherrun explain`. A
//! trace lists the attempts of a query.

use crossbeam::queue::ArrayQueue;
use heatherrun_schema::v1;

/// Traces kept in memory.
const MAX_TRACES: usize = 256;

/// Ring buffer of the traces of recent queries.
#[derive(Debug)]
pub struct Traces {
    ring: ArrayQueue<v1::ExplainAnswer>,
}

impl Default for Traces {
    fn default() -> Self {
        Self {
            ring: ArrayQueue::new(MAX_TRACES),
        }
    }
}

impl Traces {
    /// Adds a trace; when the ring is full the oldest trace is dropped.
    pub fn push(&self, trace: v1::ExplainAnswer) {
        self.ring.force_push(trace);
    }

    /// The newest trace with this id. The lookup rotates the ring, so traces
    /// added at the same time may end up in another order.
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
