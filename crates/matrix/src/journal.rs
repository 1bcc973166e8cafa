//! What happened in a run, as targets and callers saw it.

use std::sync::{Mutex, MutexGuard, PoisonError};

use heatherrun_kernel::{DomainId, Revision, TargetId, Time};
use heatherrun_schema::v1;

/// One call that a target began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// When it arrived.
    pub at: Time,
    /// Target.
    pub target: TargetId,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// Query text or request body.
    pub text: String,
}

/// How one request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// A merged answer.
    Answer(v1::SearchAnswer),
    /// The answer of a once-only request.
    Reply(v1::PoolAnswer),
    /// A refusal.
    Refused(v1::Refusal),
    /// The connection was lost; the caller knows nothing.
    Lost,
}

/// One sending of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Query text or request body.
    pub text: String,
    /// Entry it was sent to.
    pub node: usize,
    /// When it was sent.
    pub sent: Time,
    /// When it ended.
    pub ended: Time,
    /// How it ended.
    pub ending: Ending,
}

/// A configuration that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// When the operator was told.
    pub at: Time,
    /// Revision.
    pub revision: Revision,
}

/// Revision in force at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InForce {
    /// When it was looked at.
    pub at: Time,
    /// Node.
    pub node: usize,
    /// Revision.
    pub revision: Revision,
}

/// Everything that happened in one run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Calls that targets began to run.
    pub runs: Vec<Run>,
    /// Requests as their callers saw them.
    pub requests: Vec<Request>,
    /// Accepted configurations.
    pub accepted: Vec<Accepted>,
    /// Revisions in force, oldest first.
    pub in_force: Vec<InForce>,
    /// When a failure domain's take-out was accepted.
    pub domain_out: Option<(Time, DomainId)>,
    /// When a target began to drain.
    pub target_drain: Option<(Time, TargetId)>,
    /// When a node began its planned stop, and which.
    pub node_drain: Option<(Time, usize)>,
}

/// Journal of one run.
#[derive(Debug, Default)]
pub struct Journal {
    records: Mutex<Records>,
}

impl Journal {
    /// The records, to add to.
    pub fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
