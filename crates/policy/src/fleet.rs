//! What one entry has seen of the targets, and the choice among replicas.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use heatherrun_kernel::message::{Failure, OwnerReport};
use heatherrun_kernel::time::micros;
use heatherrun_kernel::{Snapshot, TargetId, Time};
use rand::{Rng, RngExt};

/// Weight of one observation in the moving averages, as a divisor.
const SMOOTHING: u64 = 8;

/// Latency assumed of a target that was never asked, in microseconds.
const FRESH_US: u64 = 1_000;

/// Time in which an estimate that no call renews loses half of its excess
/// over that of a target never asked, so that the target is tried again.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Halvings after which nothing is left of an estimate.
const MOST_HALVINGS: u64 = 20;

/// Time for which a target is passed over after a refusal for load.
const BUSY_SPAN: Duration = Duration::from_millis(20);

/// Time for which a target is passed over after a failure that lasts, such
/// as a drain or a lost connection.
const GONE_SPAN: Duration = Duration::from_millis(500);

/// What one entry has seen of one target.
#[derive(Debug, Default)]
pub struct Seen {
    latency_us: AtomicU64,
    updated: AtomicU64,
    avoid_until: AtomicU64,
    open: AtomicU32,
    waiting: AtomicU32,
    limit: AtomicU32,
    oldest: AtomicU64,
    newest: AtomicU64,
}

impl Seen {
    /// Estimated time until a new call would be answered, in microseconds.
    fn cost(&self, now: Time) -> u64 {
        let latency = self.latency(now);
        let limit = u64::from(self.limit.load(Ordering::Relaxed).max(1));
        let mut waiting = u64::from(self.waiting.load(Ordering::Relaxed));
        if self.is_stale(now) {
            waiting = 0;
        }
        let open = u64::from(self.open.load(Ordering::Relaxed));
        latency + latency * (waiting + open) / limit
    }

    fn age(&self, now: Time) -> u64 {
        micros(now.since(Time(self.updated.load(Ordering::Relaxed))))
    }

    fn is_stale(&self, now: Time) -> bool {
        self.age(now) > micros(HALF_LIFE)
    }

    fn latency(&self, now: Time) -> u64 {
        let known = self.latency_us.load(Ordering::Relaxed);
        if known == 0 {
            return FRESH_US;
        }
        if known <= FRESH_US {
            return known;
        }
        let halvings = (self.age(now) / micros(HALF_LIFE)).min(MOST_HALVINGS);
        FRESH_US + ((known - FRESH_US) >> halvings)
    }

    /// Whether the target refused or failed a moment ago.
    fn is_avoided(&self, now: Time) -> bool {
        now.0 < self.avoid_until.load(Ordering::Relaxed)
    }

    /// Whether more calls queue at the target's owner than are in flight.
    #[must_use]
    pub fn is_full(&self, now: Time) -> bool {
        let waiting = self.waiting.load(Ordering::Relaxed);
        let limit = self.limit.load(Ordering::Relaxed);
        limit > 0 && waiting > limit * 2 && !self.is_stale(now)
    }

    /// Counts a call sent.
    pub fn sent(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that was cancelled after `waited`, which its latency
    /// exceeds.
    pub fn cancelled(&self, now: Time, waited: Duration) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        if micros(waited) > self.latency_us.load(Ordering::Relaxed) {
            self.average(now, waited);
        }
    }

    /// Counts a call that brought a reply.
    pub fn replied(&self, now: Time, took: Duration, report: &OwnerReport) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        self.average(now, took);
        self.note(report);
    }

    /// Counts a call that failed.
    pub fn failed(&self, now: Time, waited: Duration, failure: Failure, report: &OwnerReport) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        if report.limit > 0 {
            self.note(report);
        }
        let span = match failure {
            Failure::Busy => BUSY_SPAN,
            Failure::Draining
            | Failure::DomainOut
            | Failure::NoConnection
            | Failure::ConnectionLost
            | Failure::PeerLost => GONE_SPAN,
            Failure::TimedOut | Failure::Expired => {
                self.average(now, waited);
                return;
            }
            _ => return,
        };
        self.avoid_until
            .fetch_max((now + span).0, Ordering::Relaxed);
    }

    fn average(&self, now: Time, took: Duration) {
        let old = self.latency_us.load(Ordering::Relaxed);
        let new = match old {
            0 => micros(took),
            _ if self.is_stale(now) => u64::midpoint(old, micros(took)),
            _ => old - old / SMOOTHING + micros(took) / SMOOTHING,
        };
        self.latency_us.store(new.max(1), Ordering::Relaxed);
        self.updated.store(now.0, Ordering::Relaxed);
    }

    fn note(&self, report: &OwnerReport) {
        let waiting = u32::from(report.in_flight) + u32::from(report.queued);
        self.waiting.store(waiting, Ordering::Relaxed);
        self.limit.store(u32::from(report.limit), Ordering::Relaxed);
        if report.target.newest > Snapshot(0) {
            self.oldest.store(report.target.oldest.0, Ordering::Relaxed);
            self.newest.store(report.target.newest.0, Ordering::Relaxed);
        }
    }

    /// Notes that the target does not hold `snapshot`. One that held it has
    /// moved on to a newer one.
    pub fn lacks(&self, snapshot: Snapshot) {
        if snapshot.0 != 0 && self.newest.load(Ordering::Relaxed) >= snapshot.0 {
            let next = snapshot.0 + 1;
            self.oldest.fetch_max(next, Ordering::Relaxed);
            self.newest.fetch_max(next, Ordering::Relaxed);
        }
    }

    /// Oldest snapshot that the target reported.
    #[must_use]
    pub fn oldest(&self) -> Snapshot {
        Snapshot(self.oldest.load(Ordering::Relaxed))
    }

    /// Newest snapshot that the target reported; zero when it never did.
    #[must_use]
    pub fn newest(&self) -> Snapshot {
        Snapshot(self.newest.load(Ordering::Relaxed))
    }

    /// Whether the target may hold `snapshot` as far as known here.
    #[must_use]
    pub fn may_hold(&self, snapshot: Snapshot) -> bool {
        let newest = self.newest.load(Ordering::Relaxed);
        let oldest = self.oldest.load(Ordering::Relaxed);
        snapshot.0 == 0 || newest == 0 || (oldest..=newest).contains(&snapshot.0)
    }
}

/// What one entry has seen of all targets it calls.
#[derive(Debug, Default)]
pub struct Fleet {
    seen: ArcSwap<HashMap<TargetId, Arc<Seen>>>,
}

impl Fleet {
    /// What was seen of `target`; starts empty.
    #[must_use]
    pub fn seen(&self, target: TargetId) -> Arc<Seen> {
        if let Some(seen) = self.seen.load().get(&target) {
            return Arc::clone(seen);
        }
        self.seen.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.entry(target).or_default();
            next
        });
        Arc::clone(&self.seen.load()[&target])
    }

    /// Forgets targets for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(TargetId) -> bool) {
        self.seen.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.retain(|id, _| keep(*id));
            next
        });
    }

    /// Chooses one of `candidates`: the cheaper of two taken at random,
    /// among those that may hold `snapshot` and did not fail a moment ago.
    pub fn choose(
        &self,
        now: Time,
        candidates: &[TargetId],
        snapshot: Snapshot,
        rng: &mut impl Rng,
    ) -> Option<TargetId> {
        let seen: Vec<_> = candidates.iter().map(|id| (*id, self.seen(*id))).collect();
        let holding = |(_, s): &&(TargetId, Arc<Seen>)| s.may_hold(snapshot);
        let ready = |(_, s): &&(TargetId, Arc<Seen>)| !s.is_avoided(now);
        let mut pool: Vec<_> = seen.iter().filter(holding).filter(ready).collect();
        if pool.is_empty() {
            pool = seen.iter().filter(holding).collect();
        }
        if pool.is_empty() {
            pool = seen.iter().collect();
        }
        if pool.is_empty() {
            return None;
        }
        let a = rng.random_range(0..pool.len());
        let mut b = a;
        if pool.len() > 1 {
            b = (a + rng.random_range(1..pool.len())) % pool.len();
        }
        let cheaper = pool[a].1.cost(now) <= pool[b].1.cost(now);
        Some(if cheaper { pool[a].0 } else { pool[b].0 })
    }

    /// Newest snapshot that all replicas of all shards hold; failing that the
    /// newest that some replica of each shard holds. Zero when a shard's
    /// snapshots are not known yet.
    #[must_use]
    pub fn common_snapshot(&self, shards: &[Vec<TargetId>]) -> Snapshot {
        let mut everywhere = Snapshot(u64::MAX);
        let mut somewhere = Snapshot(u64::MAX);
        let mut oldest = Snapshot(0);
        for shard in shards {
            let mut newest = Snapshot(0);
            let mut first = Snapshot(u64::MAX);
            for id in shard {
                let seen = self.seen(*id);
                if seen.newest() == Snapshot(0) {
                    continue;
                }
                newest = newest.max(seen.newest());
                first = first.min(seen.oldest());
                everywhere = everywhere.min(seen.newest());
            }
            somewhere = somewhere.min(newest);
            oldest = oldest.max(first);
        }
        if shards.is_empty() || somewhere == Snapshot(0) {
            return Snapshot(0);
        }
        if everywhere >= oldest {
            everywhere
        } else {
            somewhere
        }
    }
}
