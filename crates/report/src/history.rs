//! Counts of good and all events by minute, kept for the longest window.

use std::collections::VecDeque;

/// Length of one bucket, in seconds.
pub const BUCKET_SECS: u64 = 60;

/// Buckets kept: three days.
pub const BUCKETS: u64 = 3 * 24 * 60;

/// Good events and all events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Good ones.
    pub good: u64,
    /// All.
    pub total: u64,
}

impl Counts {
    /// Adds `other`.
    pub const fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Events that were not good.
    #[must_use]
    pub const fn bad(self) -> u64 {
        self.total.saturating_sub(self.good)
    }
}

/// Counts by minute; minutes without events take no room.
#[derive(Clone, Debug, Default)]
pub struct History {
    buckets: VecDeque<(u64, Counts)>,
}

impl History {
    /// Adds `counts` to bucket `minute`; buckets older than the longest
    /// window go.
    pub fn add(&mut self, minute: u64, counts: Counts) {
        if counts.total == 0 {
            return;
        }
        let at = self.buckets.partition_point(|(m, _)| *m < minute);
        match self.buckets.get_mut(at) {
            Some((m, kept)) if *m == minute => kept.add(counts),
            _ => self.buckets.insert(at, (minute, counts)),
        }
        let newest = self.buckets.back().map_or(0, |(m, _)| *m);
        while self
            .buckets
            .front()
            .is_some_and(|(m, _)| m + BUCKETS <= newest)
        {
            self.buckets.pop_front();
        }
    }

    /// Sum over the `secs` that end with bucket `now`, which counts whole.
    #[must_use]
    pub fn window(&self, now: u64, secs: u64) -> Counts {
        let mut sum = Counts::default();
        for (minute, counts) in self.buckets.iter().rev() {
            if minute + secs / BUCKET_SECS <= now {
                break;
            }
            if *minute <= now {
                sum.add(*counts);
            }
        }
        sum
    }

    /// Sums of the last `count` spans of `secs` each, the newest last.
    #[must_use]
    pub fn series(&self, now: u64, secs: u64, count: usize) -> Vec<Counts> {
        let mut made = vec![Counts::default(); count];
        for (minute, counts) in self.buckets.iter().rev() {
            let Some(age) = now.checked_sub(*minute) else {
                continue;
            };
            let back = usize::try_from(age * BUCKET_SECS / secs).unwrap_or(usize::MAX);
            if back >= count {
                break;
            }
            made[count - 1 - back].add(*counts);
        }
        made
    }
}
