//! Admission at the entry: how many requests a node works on at once, and
//! which class is shed first. Refusals for load behind the entry lower the
//! number, so that work is shed before any of it is sent.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::message::Class;

use crate::answer::Strain;

/// Places by which the limit is counted, for fractions of one.
const UNIT: u32 = 256;

/// Places that are always open.
const LEAST_PLACES: u32 = 8;

/// Part of the requests in work that an overload leaves, in per cent.
const KEPT_PERCENT: u32 = 90;

/// Least time between two such cuts.
const CUT_SPAN: Duration = Duration::from_millis(20);

/// Weight of one request in the share of those that lost a part, as a divisor.
const PART_SMOOTHING: u32 = 16;

/// Requests of which one loses a part to load when places are cut.
const MANY_PARTS: u32 = 4;

/// Part of the places open to a class, in per cent.
const fn share(class: Class) -> u32 {
    match class {
        Class::Batch => 70,
        Class::Normal => 90,
        Class::Urgent => 100,
    }
}

/// Count of requests in work at one node.
#[derive(Debug)]
pub struct Admission {
    most: u32,
    /// Places open now, in [`UNIT`]s.
    limit: AtomicU32,
    cut_at: AtomicU64,
    taken: AtomicU32,
    /// Share of requests that lost a part to load, in [`UNIT`]s.
    parts_lost: AtomicU32,
}

/// One place; dropping it gives it back.
#[derive(Debug)]
pub struct Place<'a> {
    admission: &'a Admission,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.admission.taken.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Admission {
    /// Admission of at most `places` requests at once.
    #[must_use]
    pub const fn new(places: u32) -> Self {
        Self {
            most: places,
            limit: AtomicU32::new(places * UNIT),
            cut_at: AtomicU64::new(0),
            taken: AtomicU32::new(0),
            parts_lost: AtomicU32::new(0),
        }
    }

    /// Takes a place for a request of `class`, if one is open to it.
    pub fn enter(&self, class: Class) -> Option<Place<'_>> {
        let open = (self.places() * share(class) / 100).max(1);
        let step = |taken: u32| (taken < open).then_some(taken + 1);
        self.taken
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, step)
            .is_ok()
            .then(|| Place { admission: self })
    }

    /// Notes what load cost a request.
    ///
    /// Past what targets bear, nearly all requests are answered and few are
    /// whole, so parts lost count once they are many. One slow replica costs
    /// a part now and then, and calls for no shedding.
    pub fn note(&self, now: Time, strain: Strain) {
        let torn = self.note_part(strain == Strain::Part);
        if strain == Strain::Refused || torn {
            self.cut(now);
            return;
        }
        let taken = self.taken();
        let step = |limit: u32| {
            let used = (taken + 1) * 2 >= limit / UNIT;
            let grown = limit + UNIT * UNIT / limit.max(UNIT) + 1;
            used.then_some(grown.min(self.most * UNIT))
        };
        let _ = self
            .limit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }

    /// Notes whether a request lost a part; true while many of them do.
    fn note_part(&self, lost: bool) -> bool {
        let goal = if lost { UNIT } else { 0 };
        let step = |old: u32| Some((old * (PART_SMOOTHING - 1) + goal) / PART_SMOOTHING);
        let old = self
            .parts_lost
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        lost && old.is_ok_and(|share| share >= UNIT / MANY_PARTS)
    }

    fn cut(&self, now: Time) {
        let last = self.cut_at.load(Ordering::Relaxed);
        if last != 0 && now < Time(last) + CUT_SPAN {
            return;
        }
        self.cut_at.store(now.0, Ordering::Relaxed);
        let taken = self.taken();
        let step = |limit: u32| {
            let used = limit.min(taken * UNIT) / 100 * KEPT_PERCENT;
            Some(used.max(LEAST_PLACES.min(self.most) * UNIT))
        };
        let _ = self
            .limit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }

    /// Requests that may be in work now.
    #[must_use]
    pub fn places(&self) -> u32 {
        self.limit.load(Ordering::Relaxed) / UNIT
    }

    /// Requests in work.
    #[must_use]
    pub fn taken(&self) -> u32 {
        self.taken.load(Ordering::Acquire)
    }

    /// Load in per cent of the places.
    #[must_use]
    pub fn load(&self) -> u8 {
        u8::try_from(self.taken() * 100 / self.places().max(1)).unwrap_or(u8::MAX)
    }
}
