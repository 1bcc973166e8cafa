//! Marks of requests that are suspected of crashing the targets on which they
//! run. A request is identified by its fingerprint.

use std::{collections::HashMap, time::Duration};

use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::{CallId, ShardIx, TargetId, Time};

/// Default number of marks that ban a request.
pub const BAN_CRASH_COUNT: usize = 2;

/// Time for which a mark counts.
const MARK_TTL: Duration = Duration::from_mins(10);

/// Time within which lost calls on the same target are counted as one crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// Time after a fingerprint was cleared in which arriving marks are taken to be
/// older than the clearing and are ignored.
const CLEAR_TOMBSTONE_TTL: Duration = Duration::from_secs(10);

/// Maximum number of fingerprints; above it the one whose last mark is oldest
/// is dropped.
const MAX_FINGERPRINTS: usize = 10_000;

/// Suspicion level of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// No unexpired marks.
    Clear,
    /// Marked, but not banned: it may run on one target at a time.
    Suspect,
    /// It must not be run any more.
    Banned,
}

/// One crash of a target while the request ran on it.
#[derive(Clone, Copy, Debug)]
struct Mark {
    target: TargetId,
    shard: ShardIx,
    call: CallId,
    confirmed: bool,
    at: Time,
}

#[derive(Debug, Default)]
struct CrashHistory {
    marks: Vec<Mark>,
    cleared_at: Option<Time>,
}

/// One fingerprint as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MarkedFingerprint {
    /// Fingerprint of the service and the request body.
    pub fingerprint: u64,
    /// Number of crashes that count.
    pub crashes: usize,
    /// Time since the latest crash.
    pub age: Duration,
}

/// All fingerprints with marks.
#[derive(Debug)]
pub struct CrashMarks {
    fingerprints: HashMap<u64, CrashHistory>,
    /// Number of marks that ban a request.
    ban_threshold: usize,
}

impl Default for CrashMarks {
    fn default() -> Self {
        Self::new(BAN_CRASH_COUNT)
    }
}

impl CrashMarks {
    /// Creates an empty list; `ban_threshold` marks ban a fingerprint.
    #[must_use]
    pub fn new(ban_threshold: usize) -> Self {
        Self {
            fingerprints: HashMap::new(),
            ban_threshold,
        }
    }

    /// Records a suspicion; true when it was new and must be passed on to other
    /// nodes.
    pub fn record(&mut self, now: Time, suspicion: Suspicion) -> bool {
        if !self.fingerprints.contains_key(&suspicion.fingerprint) {
            self.evict_oldest(now);
        }
        let history = self.fingerprints.entry(suspicion.fingerprint).or_default();
        history.drop_expired(now);
        if suspicion.cleared {
            let is_new = history.cleared_at.is_none();
            history.marks.clear();
            history.cleared_at = Some(now);
            return is_new;
        }
        history.add_mark(now, suspicion)
    }

    fn evict_oldest(&mut self, now: Time) {
        if self.fingerprints.len() < MAX_FINGERPRINTS {
            return;
        }
        self.fingerprints
            .retain(|_, history| history.is_active(now));
        let oldest = self
            .fingerprints
            .iter()
            .min_by_key(|(_, history)| history.last_change());
        let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest.filter(|_| self.fingerprints.len() >= MAX_FINGERPRINTS) {
            self.fingerprints.remove(&oldest);
        }
    }

    /// Suspicion level of `fingerprint`.
    #[must_use]
    pub fn level(&self, now: Time, fingerprint: u64) -> Level {
        self.fingerprints
            .get(&fingerprint)
            .map_or(Level::Clear, |history| {
                history.level(now, self.ban_threshold)
            })
    }

    /// Whether there is no fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// Clears a fingerprint and returns the suspicion that propagates this to
    /// the other nodes. Marks made before the clearing that arrive late are
    /// ignored.
    pub fn clear(&mut self, now: Time, fingerprint: u64) -> Suspicion {
        let suspicion = Suspicion {
            fingerprint,
            target: TargetId::default(),
            shard: ShardIx::default(),
            call: CallId::default(),
            confirmed: false,
            cleared: true,
        };
        self.record(now, suspicion);
        suspicion
    }

    /// All fingerprints with unexpired marks, ordered by fingerprint.
    #[must_use]
    pub fn list(&self, now: Time) -> Vec<MarkedFingerprint> {
        let mut list = Vec::new();
        for (fingerprint, history) in &self.fingerprints {
            let crashes = history.active_marks(now).count();
            if crashes == 0 {
                continue;
            }
            list.push(MarkedFingerprint {
                fingerprint: *fingerprint,
                crashes,
                age: now.since(history.last_change()),
            });
        }
        list.sort_by_key(|marked| marked.fingerprint);
        list
    }
}

impl CrashHistory {
    fn add_mark(&mut self, now: Time, suspicion: Suspicion) -> bool {
        if self
            .cleared_at
            .is_some_and(|at| now.since(at) < CLEAR_TOMBSTONE_TTL)
        {
            return false;
        }
        for mark in &self.marks {
            let same_crash =
                mark.target == suspicion.target && now.since(mark.at) < SAME_CRASH_WINDOW;
            if same_crash || mark.call == suspicion.call {
                return false;
            }
        }
        self.cleared_at = None;
        self.marks.push(Mark {
            target: suspicion.target,
            shard: suspicion.shard,
            call: suspicion.call,
            confirmed: suspicion.confirmed,
            at: now,
        });
        true
    }

    fn drop_expired(&mut self, now: Time) {
        self.marks.retain(|mark| now.since(mark.at) < MARK_TTL);
        self.cleared_at = self.cleared_at.filter(|at| now.since(*at) < MARK_TTL);
    }

    fn active_marks(&self, now: Time) -> impl Iterator<Item = &Mark> {
        self.marks
            .iter()
            .filter(move |mark| now.since(mark.at) < MARK_TTL)
    }

    fn last_change(&self) -> Time {
        let marks = self.marks.iter().map(|mark| mark.at);
        marks.chain(self.cleared_at).max().unwrap_or_default()
    }

    fn is_active(&self, now: Time) -> bool {
        now.since(self.last_change()) < MARK_TTL
    }

    /// Suspicion level by the number of crashes. For a request that has
    /// succeeded on some shard, crashes ban it only if they all happened on the
    /// same shard, so that the loss of a whole rack bans no harmless request.
    fn level(&self, now: Time, ban_threshold: usize) -> Level {
        let mut total = 0;
        let mut unconfirmed = 0;
        for mark in self.active_marks(now) {
            let same_shard = self
                .active_marks(now)
                .filter(|other| other.shard == mark.shard)
                .count();
            if same_shard >= ban_threshold {
                return Level::Banned;
            }
            total += 1;
            unconfirmed += usize::from(!mark.confirmed);
        }
        match total {
            _ if unconfirmed >= ban_threshold => Level::Banned,
            0 => Level::Clear,
            _ => Level::Suspect,
        }
    }
}
