//! Requests suspected of crashing the targets that run them.

use std::{collections::HashMap, time::Duration};

use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::{CallId, ShardIx, TargetId, Time};

/// Marks after which a request is not attempted any more.
pub const MARKS: usize = 2;

/// Time that a mark counts.
const EXPIRY: Duration = Duration::from_mins(10);

/// Losses of calls on one target within this time are one crash.
const ONE_CRASH: Duration = Duration::from_secs(2);

/// Time after a clearing in which marks are taken for older than it.
const TOMBSTONE: Duration = Duration::from_secs(10);

/// Fingerprints kept; the one with the oldest mark goes first.
const MOST_PRINTS: usize = 10_000;

/// What is known of one fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// No mark counts.
    Clear,
    /// One crash: it may run on one target at a time.
    Suspect,
    /// No more attempts.
    Banned,
}

/// One crash while the request ran.
#[derive(Clone, Copy, Debug)]
struct Mark {
    target: TargetId,
    shard: ShardIx,
    call: CallId,
    proven: bool,
    at: Time,
}

#[derive(Debug, Default)]
struct Print {
    marks: Vec<Mark>,
    cleared: Option<Time>,
}

/// One fingerprint as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Marked {
    /// Fingerprint of service and body.
    pub print: u64,
    /// Crashes that count.
    pub crashes: usize,
    /// Time since the newest crash.
    pub age: Duration,
}

/// All fingerprints with marks.
#[derive(Debug)]
pub struct Marks {
    prints: HashMap<u64, Print>,
    /// Marks after which a request is not attempted any more.
    most: usize,
}

impl Default for Marks {
    fn default() -> Self {
        Self::new(MARKS)
    }
}

impl Marks {
    /// No marks; `most` of one fingerprint ban it.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            prints: HashMap::new(),
            most,
        }
    }

    /// Takes a suspicion; true when it was new and others should learn of it.
    pub fn note(&mut self, now: Time, told: Suspicion) -> bool {
        if !self.prints.contains_key(&told.print) {
            self.make_room(now);
        }
        let print = self.prints.entry(told.print).or_default();
        print.drop_old(now);
        if told.cleared {
            let new = print.cleared.is_none();
            print.marks.clear();
            print.cleared = Some(now);
            return new;
        }
        print.mark(now, told)
    }

    fn make_room(&mut self, now: Time) {
        if self.prints.len() < MOST_PRINTS {
            return;
        }
        self.prints.retain(|_, print| print.counts(now));
        let oldest = self.prints.iter().min_by_key(|(_, print)| print.newest());
        let oldest = oldest.map(|(print, _)| *print);
        if let Some(oldest) = oldest.filter(|_| self.prints.len() >= MOST_PRINTS) {
            self.prints.remove(&oldest);
        }
    }

    /// What is known of `print`.
    #[must_use]
    pub fn level(&self, now: Time, print: u64) -> Level {
        self.prints
            .get(&print)
            .map_or(Level::Clear, |print| print.level(now, self.most))
    }

    /// Whether no fingerprint has a mark.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prints.is_empty()
    }

    /// Clears a fingerprint; the suspicion tells the other nodes. Marks that
    /// were made before and arrive late do not count again.
    pub fn clear(&mut self, now: Time, print: u64) -> Suspicion {
        let told = Suspicion {
            print,
            target: TargetId::default(),
            shard: ShardIx::default(),
            call: CallId::default(),
            proven: false,
            cleared: true,
        };
        self.note(now, told);
        told
    }

    /// All fingerprints with marks that count, by fingerprint.
    #[must_use]
    pub fn list(&self, now: Time) -> Vec<Marked> {
        let mut all = Vec::new();
        for (print, known) in &self.prints {
            let crashes = known.fresh(now).count();
            if crashes == 0 {
                continue;
            }
            all.push(Marked {
                print: *print,
                crashes,
                age: now.since(known.newest()),
            });
        }
        all.sort_by_key(|m| m.print);
        all
    }
}

impl Print {
    fn mark(&mut self, now: Time, told: Suspicion) -> bool {
        if self.cleared.is_some_and(|at| now.since(at) < TOMBSTONE) {
            return false;
        }
        for mark in &self.marks {
            let same = mark.target == told.target && now.since(mark.at) < ONE_CRASH;
            if same || mark.call == told.call {
                return false;
            }
        }
        self.cleared = None;
        self.marks.push(Mark {
            target: told.target,
            shard: told.shard,
            call: told.call,
            proven: told.proven,
            at: now,
        });
        true
    }

    fn drop_old(&mut self, now: Time) {
        self.marks.retain(|mark| now.since(mark.at) < EXPIRY);
        self.cleared = self.cleared.filter(|at| now.since(*at) < EXPIRY);
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = &Mark> {
        self.marks.iter().filter(move |m| now.since(m.at) < EXPIRY)
    }

    fn newest(&self) -> Time {
        let marks = self.marks.iter().map(|m| m.at);
        marks.chain(self.cleared).max().unwrap_or_default()
    }

    fn counts(&self, now: Time) -> bool {
        now.since(self.newest()) < EXPIRY
    }

    /// A request that succeeded on some shard is banned only for crashes on
    /// one and the same other shard, so that a lost rack bans nothing.
    fn level(&self, now: Time, most: usize) -> Level {
        let mut total = 0;
        let mut unproven = 0;
        for mark in self.fresh(now) {
            let alike = self.fresh(now).filter(|m| m.shard == mark.shard).count();
            if alike >= most {
                return Level::Banned;
            }
            total += 1;
            unproven += usize::from(!mark.proven);
        }
        match total {
            _ if unproven >= most => Level::Banned,
            0 => Level::Clear,
            _ => Level::Suspect,
        }
    }
}
