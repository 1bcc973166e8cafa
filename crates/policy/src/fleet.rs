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
use heatherrun_kernel::message::OwnerReport;
use heatherrun_kernel::time::micros;
use heatherrun_kernel::{Snapshot, TargetId};
use rand::{Rng, RngExt};

/// Weight of one observation in the moving averages, as a divisor.
const SMOOTHING: u64 = 8;

/// Latency assumed of a target that was never asked, in microseconds.
const FRESH_US: u64 = 1_000;

/// What one entry has seen of one target.
#[derive(Debug, Default)]
pub struct Seen {
    latency_us: AtomicU64,
    open: AtomicU32,
    waiting: AtomicU32,
    limit: AtomicU32,
    oldest: AtomicU64,
    newest: AtomicU64,
}

impl Seen {
    /// Estimated time until a new call would be answered, in microseconds.
    fn cost(&self) -> u64 {
        let latency = match self.latency_us.load(Ordering::Relaxed) {
            0 => FRESH_US,
            known => known,
        };
        let limit = u64::from(self.limit.load(Ordering::Relaxed).max(1));
        let waiting = u64::from(self.waiting.load(Ordering::Relaxed));
        let open = u64::from(self.open.load(Ordering::Relaxed));
        latency + latency * (waiting + open) / limit
    }

    /// Counts a call sent.
    pub fn sent(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call ended; `took` is none when it brought no reply.
    pub fn ended(&self, took: Option<Duration>, report: Option<&OwnerReport>) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        if let Some(took) = took {
            let old = self.latency_us.load(Ordering::Relaxed);
            let new = match old {
                0 => micros(took),
                old => old - old / SMOOTHING + micros(took) / SMOOTHING,
            };
            self.latency_us.store(new.max(1), Ordering::Relaxed);
        }
        if let Some(report) = report {
            self.note(report);
        }
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

    /// Chooses one of `candidates`: the cheaper of two taken at random.
    pub fn choose(
        &self,
        candidates: &[TargetId],
        snapshot: Snapshot,
        rng: &mut impl Rng,
    ) -> Option<TargetId> {
        let holding: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|id| self.seen(*id).may_hold(snapshot))
            .collect();
        let pool = if holding.is_empty() {
            candidates
        } else {
            &holding
        };
        if pool.is_empty() {
            return None;
        }
        let a = pool[rng.random_range(0..pool.len())];
        let b = pool[rng.random_range(0..pool.len())];
        let cheaper = self.seen(a).cost() <= self.seen(b).cost();
        Some(if cheaper { a } else { b })
    }

    /// Newest snapshot that every shard has some replica for; zero when a
    /// shard's snapshots are not known yet.
    #[must_use]
    pub fn common_snapshot(&self, shards: &[Vec<TargetId>]) -> Snapshot {
        let newest = |shard: &Vec<TargetId>| shard.iter().map(|id| self.seen(*id).newest()).max();
        let common = shards.iter().filter_map(newest).min();
        common.unwrap_or_default()
    }
}
