//! Statistics of the targets as one entry observes them, and the choice among
//! replicas.

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
const LATENCY_SMOOTHING: u64 = 8;

/// Latency assumed for a target without observations, in microseconds.
const INITIAL_LATENCY_US: u64 = 1_000;

/// Half-life of a latency estimate that no call updates: the part above the
/// latency of an unobserved target is halved each time, so that a slow target
/// is eventually tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);

/// Number of halvings after which the estimate equals that of an unobserved
/// target.
const MAX_HALVINGS: u64 = 20;

/// Time during which a target is avoided after it rejected a call for overload.
const BUSY_AVOID_WINDOW: Duration = Duration::from_millis(20);

/// Time during which a target is avoided after a failure that is expected to
/// last, such as draining or a lost connection.
const FAILURE_AVOID_WINDOW: Duration = Duration::from_millis(500);

/// Statistics of one target as one entry observes them.
#[derive(Debug, Default)]
pub struct TargetStats {
    latency_us: AtomicU64,
    updated_at: AtomicU64,
    avoid_until: AtomicU64,
    open_calls: AtomicU32,
    owner_calls: AtomicU32,
    owner_limit: AtomicU32,
    oldest_snapshot: AtomicU64,
    newest_snapshot: AtomicU64,
}

impl TargetStats {
    /// Estimated time until the reply to a new call, in microseconds.
    fn expected_us(&self, now: Time) -> u64 {
        let latency_us = self.latency_us(now);
        let limit = u64::from(self.owner_limit.load(Ordering::Relaxed).max(1));
        let mut owner_calls = u64::from(self.owner_calls.load(Ordering::Relaxed));
        if self.is_stale(now) {
            owner_calls = 0;
        }
        let open_calls = u64::from(self.open_calls.load(Ordering::Relaxed));
        latency_us + latency_us * (owner_calls + open_calls) / limit
    }

    fn age_us(&self, now: Time) -> u64 {
        micros(now.since(Time(self.updated_at.load(Ordering::Relaxed))))
    }

    fn is_stale(&self, now: Time) -> bool {
        self.age_us(now) > micros(LATENCY_HALF_LIFE)
    }

    fn latency_us(&self, now: Time) -> u64 {
        let known = self.latency_us.load(Ordering::Relaxed);
        if known == 0 {
            return INITIAL_LATENCY_US;
        }
        if known <= INITIAL_LATENCY_US {
            return known;
        }
        let halvings = (self.age_us(now) / micros(LATENCY_HALF_LIFE)).min(MAX_HALVINGS);
        INITIAL_LATENCY_US + ((known - INITIAL_LATENCY_US) >> halvings)
    }

    /// Whether the target rejected or failed a call recently.
    fn is_avoided(&self, now: Time) -> bool {
        now.0 < self.avoid_until.load(Ordering::Relaxed)
    }

    /// Whether more calls wait in the queue of the target's owner than may be
    /// in flight.
    #[must_use]
    pub fn has_long_queue(&self, now: Time) -> bool {
        let owner_calls = self.owner_calls.load(Ordering::Relaxed);
        let limit = self.owner_limit.load(Ordering::Relaxed);
        limit > 0 && owner_calls > limit * 2 && !self.is_stale(now)
    }

    /// Counts a call that was sent.
    pub fn count_sent(&self) {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that was cancelled after `waited`. Its latency would have
    /// been longer, so it can only raise the estimate.
    pub fn count_cancelled(&self, now: Time, waited: Duration) {
        self.open_calls.fetch_sub(1, Ordering::Relaxed);
        if micros(waited) > self.latency_us.load(Ordering::Relaxed) {
            self.update_latency(now, waited);
        }
    }

    /// Counts a call that returned a reply.
    pub fn count_reply(&self, now: Time, latency: Duration, report: &OwnerReport) {
        self.open_calls.fetch_sub(1, Ordering::Relaxed);
        self.update_latency(now, latency);
        self.apply_report(report);
    }

    /// Counts a call that failed.
    pub fn count_failure(
        &self,
        now: Time,
        waited: Duration,
        failure: Failure,
        report: &OwnerReport,
    ) {
        self.open_calls.fetch_sub(1, Ordering::Relaxed);
        if report.limit > 0 {
            self.apply_report(report);
        }
        let avoid_window = match failure {
            Failure::Busy => BUSY_AVOID_WINDOW,
            Failure::Draining
            | Failure::DomainOut
            | Failure::NoConnection
            | Failure::ConnectionLost
            | Failure::PeerLost => FAILURE_AVOID_WINDOW,
            Failure::TimedOut | Failure::Expired => {
                self.update_latency(now, waited);
                return;
            }
            _ => return,
        };
        self.avoid_until
            .fetch_max((now + avoid_window).0, Ordering::Relaxed);
    }

    fn update_latency(&self, now: Time, latency: Duration) {
        let old = self.latency_us.load(Ordering::Relaxed);
        let new = match old {
            0 => micros(latency),
            _ if self.is_stale(now) => u64::midpoint(old, micros(latency)),
            _ => old - old / LATENCY_SMOOTHING + micros(latency) / LATENCY_SMOOTHING,
        };
        self.latency_us.store(new.max(1), Ordering::Relaxed);
        self.updated_at.store(now.0, Ordering::Relaxed);
    }

    fn apply_report(&self, report: &OwnerReport) {
        let owner_calls = u32::from(report.in_flight) + u32::from(report.queued);
        self.owner_calls.store(owner_calls, Ordering::Relaxed);
        self.owner_limit
            .store(u32::from(report.limit), Ordering::Relaxed);
        if report.target.newest > Snapshot(0) {
            self.oldest_snapshot
                .store(report.target.oldest.0, Ordering::Relaxed);
            self.newest_snapshot
                .store(report.target.newest.0, Ordering::Relaxed);
        }
    }

    /// Records that the target does not hold `snapshot`. If it reported that
    /// snapshot or a newer one before, it has replaced it by a newer one.
    pub fn exclude_snapshot(&self, snapshot: Snapshot) {
        if snapshot.0 != 0 && self.newest_snapshot.load(Ordering::Relaxed) >= snapshot.0 {
            let next = snapshot.0 + 1;
            self.oldest_snapshot.fetch_max(next, Ordering::Relaxed);
            self.newest_snapshot.fetch_max(next, Ordering::Relaxed);
        }
    }

    /// Oldest snapshot that the target reported.
    #[must_use]
    pub fn oldest_snapshot(&self) -> Snapshot {
        Snapshot(self.oldest_snapshot.load(Ordering::Relaxed))
    }

    /// Newest snapshot that the target reported; zero before its first report.
    #[must_use]
    pub fn newest_snapshot(&self) -> Snapshot {
        Snapshot(self.newest_snapshot.load(Ordering::Relaxed))
    }

    /// Whether the target may hold `snapshot`, as far as this entry knows.
    #[must_use]
    pub fn may_hold(&self, snapshot: Snapshot) -> bool {
        let newest = self.newest_snapshot.load(Ordering::Relaxed);
        let oldest = self.oldest_snapshot.load(Ordering::Relaxed);
        snapshot.0 == 0 || newest == 0 || (oldest..=newest).contains(&snapshot.0)
    }
}

/// Statistics of all targets that one entry calls.
#[derive(Debug, Default)]
pub struct Fleet {
    targets: ArcSwap<HashMap<TargetId, Arc<TargetStats>>>,
}

impl Fleet {
    /// Statistics of `target`; created empty on first use.
    #[must_use]
    pub fn stats(&self, target: TargetId) -> Arc<TargetStats> {
        if let Some(stats) = self.targets.load().get(&target) {
            return Arc::clone(stats);
        }
        self.targets.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.entry(target).or_default();
            next
        });
        Arc::clone(&self.targets.load()[&target])
    }

    /// Removes the statistics of targets for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(TargetId) -> bool) {
        self.targets.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.retain(|id, _| keep(*id));
            next
        });
    }

    /// Chooses one of `candidates` by the power of two choices: of two random
    /// ones it takes the one with the shorter expected time. Targets that may
    /// hold `snapshot` and did not fail recently are preferred.
    pub fn choose_replica(
        &self,
        now: Time,
        candidates: &[TargetId],
        snapshot: Snapshot,
        rng: &mut impl Rng,
    ) -> Option<TargetId> {
        let known: Vec<_> = candidates.iter().map(|id| (*id, self.stats(*id))).collect();
        let holding = |(_, stats): &&(TargetId, Arc<TargetStats>)| stats.may_hold(snapshot);
        let ready = |(_, stats): &&(TargetId, Arc<TargetStats>)| !stats.is_avoided(now);
        let mut pool: Vec<_> = known.iter().filter(holding).filter(ready).collect();
        if pool.is_empty() {
            pool = known.iter().filter(holding).collect();
        }
        if pool.is_empty() {
            pool = known.iter().collect();
        }
        if pool.is_empty() {
            return None;
        }
        let first = rng.random_range(0..pool.len());
        let mut second = first;
        if pool.len() > 1 {
            second = (first + rng.random_range(1..pool.len())) % pool.len();
        }
        let first_cheaper = pool[first].1.expected_us(now) <= pool[second].1.expected_us(now);
        Some(if first_cheaper {
            pool[first].0
        } else {
            pool[second].0
        })
    }

    /// Newest snapshot that all replicas of all shards hold, or if there is
    /// none, the newest that some replica of each shard holds. Zero while the
    /// snapshots of some shard are unknown.
    #[must_use]
    pub fn common_snapshot(&self, shards: &[Vec<TargetId>]) -> Snapshot {
        let mut everywhere = Snapshot(u64::MAX);
        let mut somewhere = Snapshot(u64::MAX);
        let mut latest_oldest = Snapshot(0);
        for shard in shards {
            let mut shard_newest = Snapshot(0);
            let mut shard_oldest = Snapshot(u64::MAX);
            for id in shard {
                let stats = self.stats(*id);
                if stats.newest_snapshot() == Snapshot(0) {
                    continue;
                }
                shard_newest = shard_newest.max(stats.newest_snapshot());
                shard_oldest = shard_oldest.min(stats.oldest_snapshot());
                everywhere = everywhere.min(stats.newest_snapshot());
            }
            somewhere = somewhere.min(shard_newest);
            latest_oldest = latest_oldest.max(shard_oldest);
        }
        if shards.is_empty() || somewhere == Snapshot(0) {
            return Snapshot(0);
        }
        if everywhere >= latest_oldest {
            everywhere
        } else {
            somewhere
        }
    }
}
