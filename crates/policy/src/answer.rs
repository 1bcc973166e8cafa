//! Verdict of a query: one answer merged from replies of a single snapshot, or
//! a refusal that states whether any call may have run.

use std::collections::HashSet;

use heatherrun_kernel::message::{Failure, Lot, Ran};
use heatherrun_kernel::{ShardIx, Snapshot};

/// A shard that the answer does not cover, and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing {
    /// The shard that is not covered.
    pub shard: ShardIx,
    /// Failure of its last attempt.
    pub failure: Failure,
}

/// How overload behind the entry affected a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadImpact {
    /// Not at all.
    None,
    /// The answer lacks shards whose targets were overloaded.
    Partial,
    /// The request was refused.
    Refused,
}

/// Verdict of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// An answer merged from one snapshot.
    Answer(Merged),
    /// No answer with the accepted coverage.
    Refused {
        /// Whether any call may have run.
        ran: Ran,
        /// The most severe failure among the missing shards.
        failure: Failure,
        /// Number of shards that replied, and of all shards.
        coverage: (usize, usize),
    },
}

impl Verdict {
    /// How overload behind the entry affected the request.
    #[must_use]
    pub fn load_impact(&self) -> LoadImpact {
        let is_load = |failure| matches!(failure, Failure::Busy | Failure::Expired);
        match self {
            Self::Refused { failure, .. } if is_load(*failure) => LoadImpact::Refused,
            Self::Answer(merged) if merged.missing.iter().any(|shard| is_load(shard.failure)) => {
                LoadImpact::Partial
            }
            _ => LoadImpact::None,
        }
    }
}

/// A merged answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merged {
    /// Lots (search results) by descending score, without duplicates.
    pub lots: Vec<Lot>,
    /// Body of the reply, for a request that is not a search.
    pub body: Vec<u8>,
    /// Snapshot of all merged replies.
    pub snapshot: Snapshot,
    /// Number of shards covered.
    pub covered_shards: usize,
    /// Number of all shards.
    pub total: usize,
    /// Shards not covered.
    pub missing: Vec<Missing>,
}

impl Merged {
    /// Sorts the lots by descending score, drops duplicates and keeps the first
    /// `limit`.
    pub(crate) fn rank_lots(&mut self, limit: usize) {
        self.lots.sort_by(|a, b| {
            let by_score = b.score.total_cmp(&a.score);
            by_score.then_with(|| a.id.cmp(&b.id))
        });
        let mut ids = HashSet::new();
        self.lots.retain(|lot| ids.insert(lot.id.clone()));
        self.lots.truncate(limit);
    }
}

/// Severity of a failure; the highest one is reported when shards failed for
/// different reasons.
pub(crate) const fn severity(failure: Failure) -> u8 {
    match failure {
        Failure::Marked => 4,
        Failure::Busy => 3,
        Failure::Expired | Failure::TimedOut => 1,
        _ => 2,
    }
}
