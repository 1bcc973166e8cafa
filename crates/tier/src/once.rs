//! Driver of once-only records: the partitions this node holds.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use heatherrun_kernel::control::{Claim, ClaimAnswer, Settle};
use heatherrun_kernel::message::OnceRecords;
use heatherrun_kernel::time::micros;
use heatherrun_kernel::{Clock, Epoch, ONCE_PARTITIONS, TargetId, ViewCell};
use heatherrun_policy::once::{Records, Times};
use xxhash_rust::xxh3::xxh3_64;

use crate::owner::{Right, RightFn};

/// Window in which an id is remembered when the service names none.
const WINDOW: Duration = Duration::from_mins(10);

/// An id of a once-only request: `<unix ms>-<random>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceId<'a> {
    /// The id as the caller wrote it.
    pub text: &'a str,
    /// When it was issued, in Unix milliseconds.
    pub issued: u64,
}

impl<'a> OnceId<'a> {
    /// Reads an id; none when it does not name its issue time.
    #[must_use]
    pub fn parse(text: &'a str) -> Option<Self> {
        let (issued, random) = text.split_once('-')?;
        if random.is_empty() {
            return None;
        }
        let issued = issued.parse().ok()?;
        Some(Self { text, issued })
    }

    /// Partition of `service` that keeps the id's record.
    #[must_use]
    pub fn unit(&self, service: &str) -> TargetId {
        let hash = xxh3_64(self.text.as_bytes()) % u64::from(ONCE_PARTITIONS);
        TargetId::of_partition(service, u16::try_from(hash).unwrap_or(0))
    }
}

/// One partition as kept by this node.
#[derive(Default)]
struct Partition {
    records: Records,
    /// Generation that the records were handed on from; claims under it are
    /// not answered any more.
    closed: Option<Epoch>,
    /// Generation and begin of records taken over from the last holder.
    taken: Option<(Epoch, u64)>,
}

/// The partitions this node holds or held.
pub struct Once {
    clock: Clock,
    view: Arc<ViewCell>,
    /// Unix time at the start of the clock, in milliseconds.
    base: u64,
    right: RightFn,
    partitions: Mutex<HashMap<TargetId, Partition>>,
}

impl Once {
    /// Records of a process whose clock started at `base`, in Unix
    /// milliseconds.
    #[must_use]
    pub fn new(clock: Clock, view: Arc<ViewCell>, base: u64, right: RightFn) -> Self {
        Self {
            clock,
            view,
            base,
            right,
            partitions: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, Partition>> {
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The present in Unix milliseconds.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.base + micros(Duration::from_micros(self.clock.now().0)) / 1_000
    }

    fn right(&self, unit: TargetId) -> Option<Right> {
        (self.right)(unit, self.clock.now())
    }

    /// Window of the service that `unit` belongs to, in milliseconds.
    fn window(&self, unit: TargetId) -> u64 {
        let view = self.view.load();
        for service in view.services.values() {
            let units = || (0..ONCE_PARTITIONS).map(|n| TargetId::of_partition(&service.name, n));
            if !service.sharded && units().any(|u| u == unit) {
                return window_ms(service.limits.once_secs);
            }
        }
        window_ms(0)
    }

    /// Answers a claim, if this node holds the partition before and after.
    #[must_use]
    pub fn claim(&self, claim: &Claim) -> ClaimAnswer {
        let Some(right) = self.right(claim.unit) else {
            return ClaimAnswer::NotHolder;
        };
        let window = self.window(claim.unit);
        let mut all = self.lock();
        let partition = all.entry(claim.unit).or_default();
        if partition.closed == Some(right.epoch) {
            return ClaimAnswer::NotHolder;
        }
        let times = Times {
            now: self.unix_ms(),
            since: partition.since(right),
            window,
        };
        let answer = partition.records.claim(times, claim);
        let still = self.right(claim.unit).map(|now| now.epoch);
        if still != Some(right.epoch) {
            return ClaimAnswer::NotHolder;
        }
        answer
    }

    /// Notes how a granted request ended.
    pub fn settle(&self, settle: &Settle) {
        if let Some(partition) = self.lock().get_mut(&settle.unit) {
            partition.records.settle(settle);
        }
    }

    /// Hands on the records of `unit` and stops answering for it under the
    /// right held now. None when this node does not hold it.
    #[must_use]
    pub fn export(&self, unit: TargetId) -> Option<OnceRecords> {
        let right = self.right(unit)?;
        let mut all = self.lock();
        let partition = all.entry(unit).or_default();
        partition.closed = Some(right.epoch);
        let since = partition.since(right);
        Some(partition.records.export(unit, right.epoch, since))
    }

    /// Takes records handed on by the last holder of their partition.
    pub fn import(&self, told: OnceRecords) {
        let mut all = self.lock();
        let partition = all.entry(told.unit).or_default();
        partition.taken = Some((told.epoch, told.since));
        partition.records.import(told.records);
    }

    /// Partitions with records, and how many each has.
    #[must_use]
    pub fn sizes(&self) -> Vec<(TargetId, usize)> {
        let all = self.lock();
        all.iter().map(|(u, p)| (*u, p.records.len())).collect()
    }
}

impl Partition {
    /// Begin of the records without a gap. Records taken over extend it when
    /// no holder stood between.
    fn since(&self, right: Right) -> u64 {
        match self.taken {
            Some((epoch, since)) if right.epoch.0 == epoch.0 + 1 => since.min(right.since),
            _ => right.since,
        }
    }
}

/// Window in which an id is remembered, in milliseconds.
#[must_use]
pub fn window_ms(once_secs: u32) -> u64 {
    match once_secs {
        0 => micros(WINDOW) / 1_000,
        secs => u64::from(secs) * 1_000,
    }
}
