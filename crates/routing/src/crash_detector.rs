//! Detects crash-causing requests: requests that crash the targets that run
//! them.
//!
//! A lost connection alone says little: replies get lost, and targets end for
//! other reasons. A loss becomes a mark against the request once its target is
//! known to have ended and has replied to nothing since the loss. A successful
//! reply to the same request removes its marks: a request that crashes its
//! targets never succeeds.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::{CallId, ShardIx, TargetId, Time};
use heatherrun_policy::marks::{CrashMarks, Level};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::target::Target;

/// Number of crashes after which a request is banned. One request may crash
/// three searchers.
const MAX_CRASHES: usize = 3;

/// Maximum time from a lost connection to the end of its target for which the
/// end explains the loss: a searcher's entry lapses about 3.6 s after its last
/// report and is read within 2 s more.
const LOSS_EXPLANATION_WINDOW: Duration = Duration::from_secs(6);

/// Time after a loss in which replies that were received before it may still be
/// read.
const BUFFERED_REPLY_WINDOW: Duration = Duration::from_millis(20);

/// Interval between two trials of a banned request. After the ban at most three
/// more of it may reach searchers within one minute.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of losses kept, the oldest of which are dropped first, and of
/// banned requests kept.
const MAX_TRACKED_ENTRIES: usize = 1_000;

/// A call whose connection was lost while it ran.
#[derive(Clone, Copy, Debug)]
struct Loss {
    fingerprint: u64,
    target: TargetId,
    call: CallId,
    at: Time,
}

/// State of the detection of crash-causing requests.
#[derive(Debug)]
pub struct CrashDetector {
    marks: CrashMarks,
    losses: VecDeque<Loss>,
    /// Banned requests, by fingerprint, with the time of the last trial or else
    /// of the first rejection.
    rejected_since: HashMap<u64, Time>,
}

impl Default for CrashDetector {
    fn default() -> Self {
        Self {
            marks: CrashMarks::new(MAX_CRASHES),
            losses: VecDeque::new(),
            rejected_since: HashMap::new(),
        }
    }
}

impl CrashDetector {
    /// Whether the request must not be sent to any target now.
    ///
    /// One node, for which `runs_trials` returns true, lets a banned request
    /// through once every [`TRIAL_INTERVAL`]: the targets may have ended for an
    /// unrelated reason, and the ban ends with a successful reply.
    pub fn rejects(&mut self, now: Time, fingerprint: u64, runs_trials: impl Fn() -> bool) -> bool {
        if self.marks.level(now, fingerprint) != Level::Banned {
            return false;
        }
        if self.rejected_since.len() >= MAX_TRACKED_ENTRIES {
            self.rejected_since.clear();
        }
        let since = self.rejected_since.entry(fingerprint).or_insert(now);
        if now.since(*since) < TRIAL_INTERVAL || !runs_trials() {
            return true;
        }
        *since = now;
        false
    }

    /// Records that the connection of a call to `target` was lost.
    pub fn record_loss(&mut self, now: Time, fingerprint: u64, target: &Target, call: CallId) {
        while self.losses.len() >= MAX_TRACKED_ENTRIES {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss {
            fingerprint,
            target: incarnation_id(target),
            call,
            at: now,
        });
    }

    /// Records that `target` ended; returns the new marks, to be propagated to
    /// all nodes.
    pub fn record_target_end(&mut self, now: Time, target: &Target) -> Vec<Suspicion> {
        let last_reply = target.last_reply();
        let target = incarnation_id(target);
        let mut new_marks = Vec::new();
        self.losses.retain(|loss| {
            if now.since(loss.at) > LOSS_EXPLANATION_WINDOW {
                return false;
            }
            if loss.target != target {
                return true;
            }
            let replied_since = last_reply > loss.at + BUFFERED_REPLY_WINDOW;
            if !replied_since {
                new_marks.push(suspicion(loss));
            }
            false
        });
        new_marks.retain(|suspicion| self.marks.record(now, *suspicion));
        new_marks
    }

    /// Records that the request succeeded; returns the clearing of its
    /// marks, if it had any, to be propagated to all nodes.
    pub fn record_success(&mut self, now: Time, fingerprint: u64) -> Option<Suspicion> {
        self.losses.retain(|loss| loss.fingerprint != fingerprint);
        let had_marks = self.marks.level(now, fingerprint) != Level::Clear;
        had_marks.then(|| self.marks.clear(now, fingerprint))
    }

    /// Applies a mark or a clearing from another node; true if it was new.
    pub fn apply_suspicion(&mut self, now: Time, suspicion: Suspicion) -> bool {
        self.marks.record(now, suspicion)
    }
}

/// Identifier of one incarnation of a target: a hash of its name and start
/// time.
fn incarnation_id(target: &Target) -> TargetId {
    let entry = &target.entry;
    TargetId(xxh3_64_with_seed(entry.id.as_bytes(), entry.born))
}

fn suspicion(loss: &Loss) -> Suspicion {
    Suspicion {
        fingerprint: loss.fingerprint,
        target: loss.target,
        shard: ShardIx::default(),
        call: loss.call,
        confirmed: false,
        cleared: false,
    }
}
