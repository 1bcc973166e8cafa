//! The outcome of a query: one answer merged from replies of one snapshot, or
//! a refusal that tells whether anything ran.

use std::collections::HashSet;

use heatherrun_kernel::message::{Failure, Lot, Ran};
use heatherrun_kernel::{ShardIx, Snapshot};

/// One shard that is not covered, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing {
    /// Shard.
    pub shard: ShardIx,
    /// Why its last attempt failed.
    pub failure: Failure,
}

/// What load cost a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strain {
    /// Nothing.
    None,
    /// Part of its answer.
    Part,
    /// All of it.
    Refused,
}

/// The outcome of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// An answer from one snapshot.
    Answer(Merged),
    /// No answer that the caller accepts.
    Refused {
        /// Whether any call may have run.
        ran: Ran,
        /// The failure that weighs most.
        failure: Failure,
        /// Shards reached and wanted.
        reached: (usize, usize),
    },
}

impl Verdict {
    /// What the verdict says of the load behind the entry.
    #[must_use]
    pub fn strain(&self) -> Strain {
        let is_load = |failure| matches!(failure, Failure::Busy | Failure::Expired);
        match self {
            Self::Refused { failure, .. } if is_load(*failure) => Strain::Refused,
            Self::Answer(m) if m.missing.iter().any(|m| is_load(m.failure)) => Strain::Part,
            _ => Strain::None,
        }
    }
}

/// A merged answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merged {
    /// Lots, best first, none twice.
    pub lots: Vec<Lot>,
    /// Body of a request's answer.
    pub body: Vec<u8>,
    /// Snapshot of every merged reply.
    pub snapshot: Snapshot,
    /// Shards reached.
    pub reached: usize,
    /// Shards in all.
    pub total: usize,
    /// Shards not covered.
    pub missing: Vec<Missing>,
}

impl Merged {
    /// Puts the lots in order, drops repeats, and keeps the best `limit`.
    pub(crate) fn finish(&mut self, limit: usize) {
        self.lots.sort_by(|a, b| {
            let by_score = b.score.total_cmp(&a.score);
            by_score.then_with(|| a.id.cmp(&b.id))
        });
        let mut ids = HashSet::new();
        self.lots.retain(|lot| ids.insert(lot.id.clone()));
        self.lots.truncate(limit);
    }
}

/// Weight of a failure when several shards failed for different reasons.
pub(crate) const fn weight(failure: Failure) -> u8 {
    match failure {
        Failure::Marked => 4,
        Failure::Busy => 3,
        Failure::Expired | Failure::TimedOut => 1,
        _ => 2,
    }
}
