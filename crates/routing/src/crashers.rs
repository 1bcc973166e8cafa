//! Requests that crash the targets that run them.
//!
//! A lost connection alone says little: answers get lost, and targets end for
//! other reasons. A loss becomes a mark once its target is known to have
//! ended and has answered nothing since the loss. A success of the same
//! request takes its marks back: a request that crashes its targets never
//! succeeds.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::{CallId, ShardIx, TargetId, Time};
use heatherrun_policy::marks::{Level, Marks};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::target::Target;

/// Crashes after which a request is not sent any more. The users' pages let
/// one request crash three searchers.
const MOST_CRASHES: usize = 3;

/// Time within which the end of a target explains a loss: a searcher's entry
/// lapses after some 3.6 s of silence and is read within 2 s more.
const EXPLAINED: Duration = Duration::from_secs(6);

/// Replies that came in before a crash are read within this time after it.
const STILL_READ: Duration = Duration::from_millis(20);

/// Time between two trials of a banned request. The users' pages let three
/// more of it reach searchers; a day of theirs takes a minute.
pub const TRIAL_TIME: Duration = Duration::from_secs(30);

/// Losses, and banned requests, kept at the most; of losses the oldest goes
/// first.
const MOST_KEPT: usize = 1_000;

/// One call whose connection was lost while it ran.
#[derive(Clone, Copy, Debug)]
struct Loss {
    print: u64,
    target: TargetId,
    call: CallId,
    at: Time,
}

/// What is known of requests that crash their targets.
#[derive(Debug)]
pub struct Crashers {
    marks: Marks,
    losses: VecDeque<Loss>,
    /// Banned requests, and since when they are refused without a trial.
    refused: HashMap<u64, Time>,
}

impl Default for Crashers {
    fn default() -> Self {
        Self {
            marks: Marks::new(MOST_CRASHES),
            losses: VecDeque::new(),
            refused: HashMap::new(),
        }
    }
}

impl Crashers {
    /// Whether the request must not be sent to any target now. The one node
    /// that `tries` banned requests lets one through after each
    /// [`TRIAL_TIME`]: targets may have ended for a reason of their own, and
    /// the ban ends with a success.
    pub fn refuses(&mut self, now: Time, print: u64, tries: impl Fn() -> bool) -> bool {
        if self.marks.level(now, print) != Level::Banned {
            return false;
        }
        if self.refused.len() >= MOST_KEPT {
            self.refused.clear();
        }
        let since = self.refused.entry(print).or_insert(now);
        if now.since(*since) < TRIAL_TIME || !tries() {
            return true;
        }
        *since = now;
        false
    }

    /// Notes that the connection of a call to `target` was lost.
    pub fn lost(&mut self, now: Time, print: u64, target: &Target, call: CallId) {
        while self.losses.len() >= MOST_KEPT {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss {
            print,
            target: incarnation(target),
            call,
            at: now,
        });
    }

    /// Notes that `target` ended; the marks are for all nodes.
    pub fn ended(&mut self, now: Time, target: &Target) -> Vec<Suspicion> {
        let last_reply = target.replied_at();
        let target = incarnation(target);
        let mut told = Vec::new();
        self.losses.retain(|loss| {
            if now.since(loss.at) > EXPLAINED {
                return false;
            }
            if loss.target != target {
                return true;
            }
            let lived_on = last_reply > loss.at + STILL_READ;
            if !lived_on {
                told.push(suspicion(loss));
            }
            false
        });
        told.retain(|suspicion| self.marks.note(now, *suspicion));
        told
    }

    /// Notes that some target answered the request; the clearing, if there
    /// was anything to clear, is for all nodes.
    pub fn answered(&mut self, now: Time, print: u64) -> Option<Suspicion> {
        self.losses.retain(|loss| loss.print != print);
        let marked = self.marks.level(now, print) != Level::Clear;
        marked.then(|| self.marks.clear(now, print))
    }

    /// Takes what another node found out; true when it was new.
    pub fn told(&mut self, now: Time, suspicion: Suspicion) -> bool {
        self.marks.note(now, suspicion)
    }
}

/// One incarnation of a target, by name and start.
fn incarnation(target: &Target) -> TargetId {
    let entry = &target.entry;
    TargetId(xxh3_64_with_seed(entry.id.as_bytes(), entry.born))
}

fn suspicion(loss: &Loss) -> Suspicion {
    Suspicion {
        print: loss.print,
        target: loss.target,
        shard: ShardIx::default(),
        call: loss.call,
        proven: false,
        cleared: false,
    }
}
