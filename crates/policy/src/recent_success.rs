//! Fingerprints of requests that succeeded recently, in a lock-free hash table
//! of fixed size.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;

/// Number of slots of the table. Fingerprints that map to the same slot
/// overwrite each other.
const TABLE_SIZE: usize = 4_096;

/// Length of a period. A success counts for the rest of its period and the
/// whole next one, so for at least this long.
const SUCCESS_PERIOD: Duration = Duration::from_mins(1);

/// Bits of a slot that hold the number of the period.
const PERIOD_BITS: u32 = 16;

/// Table of recent successes by fingerprint.
#[derive(Debug)]
pub struct RecentSuccesses {
    table: Box<[AtomicU64]>,
}

impl Default for RecentSuccesses {
    fn default() -> Self {
        let mut table = Vec::new();
        table.resize_with(TABLE_SIZE, AtomicU64::default);
        Self {
            table: table.into_boxed_slice(),
        }
    }
}

fn period(now: Time) -> u64 {
    Duration::from_micros(now.0).as_secs() / SUCCESS_PERIOD.as_secs() + 1
}

fn table_entry(fingerprint: u64, period: u64) -> u64 {
    (fingerprint << PERIOD_BITS) | (period & ((1 << PERIOD_BITS) - 1))
}

impl RecentSuccesses {
    fn slot(&self, fingerprint: u64) -> &AtomicU64 {
        let high_bits = usize::try_from(fingerprint >> 40).unwrap_or(0);
        &self.table[high_bits % TABLE_SIZE]
    }

    /// Records a success of the request.
    pub fn record(&self, now: Time, fingerprint: u64) {
        let entry = table_entry(fingerprint, period(now));
        let slot = self.slot(fingerprint);
        if slot.load(Ordering::Relaxed) != entry {
            slot.store(entry, Ordering::Relaxed);
        }
    }

    /// Whether the request succeeded in this period or the previous one.
    #[must_use]
    pub fn contains(&self, now: Time, fingerprint: u64) -> bool {
        let entry = self.slot(fingerprint).load(Ordering::Relaxed);
        let period = period(now);
        entry == table_entry(fingerprint, period) || entry == table_entry(fingerprint, period - 1)
    }
}
