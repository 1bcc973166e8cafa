//! Counts of good events and of all events by minute, kept for the length of
//! the longest window.

use std::collections::VecDeque;

/// Length of one bucket, in seconds.
pub const BUCKET_SECS: u64 = 60;

/// Number of buckets kept: three days.
pub const BUCKETS: u64 = 3 * 24 * 60;

/// Good events and all events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of good events.
    pub good: u64,
    /// Number of all events.
    pub total: u64,
}

impl Counts {
    /// Adds `other`.
    pub const fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Number of events that were not good.
    #[must_use]
    pub const fn bad(self) -> u64 {
        self.total.saturating_sub(self.good)
    }
}

/// Counts by minute; minutes without events use no memory.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Minute and its counts, in ascending order of minutes.
    buckets: VecDeque<(u64, Counts)>,
}

impl History {
    /// Adds `counts` to the bucket of `minute`, and removes buckets that are
    /// older than the longest window.
    pub fn add(&mut self, minute: u64, counts: Counts) {
        if counts.total == 0 {
            return;
        }
        let index = self.buckets.partition_point(|(m, _)| *m < minute);
        match self.buckets.get_mut(index) {
            Some((m, kept)) if *m == minute => kept.add(counts),
            _ => self.buckets.insert(index, (minute, counts)),
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

    /// Sum over the `secs` seconds that end with the bucket of minute `now`,
    /// which is included whole.
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

    /// Sums over the last `count` spans of `secs` seconds each, the newest
    /// last; `now` is the current minute.
    #[must_use]
    pub fn series(&self, now: u64, secs: u64, count: usize) -> Vec<Counts> {
        let mut sums = vec![Counts::default(); count];
        for (minute, counts) in self.buckets.iter().rev() {
            let Some(age) = now.checked_sub(*minute) else {
                continue;
            };
            let spans_back = usize::try_from(age * BUCKET_SECS / secs).unwrap_or(usize::MAX);
            if spans_back >= count {
                break;
            }
            sums[count - 1 - spans_back].add(*counts);
        }
        sums
    }
}
