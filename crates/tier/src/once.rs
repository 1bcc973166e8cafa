//! Driver of the records of once-only requests, in the partitions that this
//! node holds.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use heatherrun_kernel::control::{Claim, ClaimAnswer, OutcomeReport};
use heatherrun_kernel::message::OnceRecords;
use heatherrun_kernel::time::micros;
use heatherrun_kernel::{Clock, Epoch, ONCE_PARTITIONS, TargetId, ViewCell};
use heatherrun_policy::once::{ClaimTimes, Records};
use xxhash_rust::xxh3::xxh3_64;

use crate::owner::{Right, RightFn};

/// Time for which an id is remembered when the service does not set it.
const DEFAULT_ONCE_WINDOW: Duration = Duration::from_mins(10);

/// Id of a once-only request: `<unix ms>-<random>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceId<'a> {
    /// The id as the caller wrote it.
    pub text: &'a str,
    /// When it was issued, in Unix milliseconds.
    pub issued_ms: u64,
}

impl<'a> OnceId<'a> {
    /// Parses an id; none if it does not contain its issue time.
    #[must_use]
    pub fn parse(text: &'a str) -> Option<Self> {
        let (issued_ms, random) = text.split_once('-')?;
        if random.is_empty() {
            return None;
        }
        let issued_ms = issued_ms.parse().ok()?;
        Some(Self { text, issued_ms })
    }

    /// Partition of `service` that holds the record of the id.
    #[must_use]
    pub fn partition(&self, service: &str) -> TargetId {
        let hash = xxh3_64(self.text.as_bytes()) % u64::from(ONCE_PARTITIONS);
        TargetId::from_partition(service, u16::try_from(hash).unwrap_or(0))
    }
}

/// One partition as held by this node.
#[derive(Default)]
struct Partition {
    records: Records,
    /// Epoch in which the records were exported to the next holder; claims are
    /// no longer granted in it.
    exported_epoch: Option<Epoch>,
    /// For records imported from the previous holder: its epoch, and the Unix
    /// time in milliseconds since which they are complete.
    imported: Option<(Epoch, u64)>,
}

/// The partitions that this node holds or held.
pub struct OnceStore {
    clock: Clock,
    view: Arc<ViewCell>,
    /// Unix time at which the clock started, in milliseconds.
    started_ms: u64,
    right_fn: RightFn,
    partitions: Mutex<HashMap<TargetId, Partition>>,
}

impl OnceStore {
    /// Records of a process whose clock started at `started_ms`, in Unix
    /// milliseconds.
    #[must_use]
    pub fn new(clock: Clock, view: Arc<ViewCell>, started_ms: u64, right_fn: RightFn) -> Self {
        Self {
            clock,
            view,
            started_ms,
            right_fn,
            partitions: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, Partition>> {
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Current Unix time in milliseconds.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.started_ms + micros(Duration::from_micros(self.clock.now().0)) / 1_000
    }

    fn current_right(&self, unit: TargetId) -> Option<Right> {
        (self.right_fn)(unit, self.clock.now())
    }

    /// Time for which the service of partition `unit` remembers ids, in
    /// milliseconds.
    fn service_window_ms(&self, unit: TargetId) -> u64 {
        let view = self.view.load();
        for service in view.services.values() {
            let partitions =
                || (0..ONCE_PARTITIONS).map(|n| TargetId::from_partition(&service.name, n));
            if !service.sharded && partitions().any(|p| p == unit) {
                return once_window_ms(service.limits.once_secs);
            }
        }
        once_window_ms(0)
    }

    /// Answers a claim. The answer is valid only if this node held the partition
    /// both before and after the lookup, so the right is checked twice.
    #[must_use]
    pub fn claim(&self, claim: &Claim) -> ClaimAnswer {
        let Some(right) = self.current_right(claim.unit) else {
            return ClaimAnswer::NotHolder;
        };
        let window = self.service_window_ms(claim.unit);
        let mut all = self.lock();
        let partition = all.entry(claim.unit).or_default();
        if partition.exported_epoch == Some(right.epoch) {
            return ClaimAnswer::NotHolder;
        }
        let times = ClaimTimes {
            now: self.unix_ms(),
            recorded_since: partition.complete_since(right),
            window,
        };
        let answer = partition.records.claim(times, claim);
        let epoch_after = self.current_right(claim.unit).map(|now| now.epoch);
        if epoch_after != Some(right.epoch) {
            return ClaimAnswer::NotHolder;
        }
        answer
    }

    /// Records how a granted request ended.
    pub fn record_outcome(&self, report: &OutcomeReport) {
        if let Some(partition) = self.lock().get_mut(&report.unit) {
            partition.records.record_outcome(report);
        }
    }

    /// Returns the records of `unit` for the next holder, and stops answering
    /// claims for it in the current epoch. None if this node does not hold it.
    #[must_use]
    pub fn export(&self, unit: TargetId) -> Option<OnceRecords> {
        let right = self.current_right(unit)?;
        let mut all = self.lock();
        let partition = all.entry(unit).or_default();
        partition.exported_epoch = Some(right.epoch);
        let since = partition.complete_since(right);
        Some(partition.records.export(unit, right.epoch, since))
    }

    /// Adds the records that the previous holder of their partition exported.
    pub fn import(&self, exported: OnceRecords) {
        let mut all = self.lock();
        let partition = all.entry(exported.unit).or_default();
        partition.imported = Some((exported.epoch, exported.since));
        partition.records.import(exported.records);
    }

    /// Number of records in each partition.
    #[must_use]
    pub fn record_counts(&self) -> Vec<(TargetId, usize)> {
        let all = self.lock();
        all.iter().map(|(u, p)| (*u, p.records.len())).collect()
    }
}

impl Partition {
    /// Unix time in milliseconds since which the records are complete. Imported
    /// records extend it if no other node held the partition in between.
    fn complete_since(&self, right: Right) -> u64 {
        match self.imported {
            Some((epoch, since)) if right.epoch.0 == epoch.0 + 1 => since.min(right.since),
            _ => right.since,
        }
    }
}

/// Time for which an id is remembered, in milliseconds.
#[must_use]
pub fn once_window_ms(once_secs: u32) -> u64 {
    match once_secs {
        0 => micros(DEFAULT_ONCE_WINDOW) / 1_000,
        secs => u64::from(secs) * 1_000,
    }
}
