//! Admission control at the entry: limits how many requests are processed at
//! once and which class is shed first. Overload of the targets behind the entry
//! lowers the limit, so that requests are shed before any of their calls are
//! sent.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::message::Class;

use crate::answer::LoadImpact;

/// Fixed-point units of one place, so that the limit can change by fractions of
/// a place.
const PLACE_UNITS: u32 = 256;

/// Number of places that a cut never closes.
const MIN_PLACES: u32 = 8;

/// Share of the requests in progress that remain admitted after a cut, in per
/// cent.
const CUT_KEPT_PERCENT: u32 = 90;

/// Minimum interval between two cuts.
const MIN_CUT_INTERVAL: Duration = Duration::from_millis(20);

/// Weight of one request in the moving average of the share of partial answers,
/// as a divisor.
const PARTIAL_SMOOTHING: u32 = 16;

/// Share of partial answers due to overload from which places are cut, as a
/// divisor.
const PARTIAL_CUT_DIVISOR: u32 = 4;

/// Share of the places open to a class, in per cent.
const fn class_percent(class: Class) -> u32 {
    match class {
        Class::Batch => 70,
        Class::Normal => 90,
        Class::Urgent => 100,
    }
}

/// Counter and limit of the requests in progress at one node.
#[derive(Debug)]
pub struct Admission {
    max_places: u32,
    /// Places open now, in fractions of 1 / [`PLACE_UNITS`].
    limit: AtomicU32,
    last_cut: AtomicU64,
    occupied: AtomicU32,
    /// Share of requests with a partial answer due to overload, in fractions of
    /// 1 / [`PLACE_UNITS`].
    partial_share: AtomicU32,
}

/// An occupied place, released on drop.
#[derive(Debug)]
pub struct AdmissionPlace<'a> {
    admission: &'a Admission,
}

impl Drop for AdmissionPlace<'_> {
    fn drop(&mut self) {
        self.admission.occupied.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Admission {
    /// Creates an admission control for at most `max_places` requests at once.
    #[must_use]
    pub const fn new(max_places: u32) -> Self {
        Self {
            max_places,
            limit: AtomicU32::new(max_places * PLACE_UNITS),
            last_cut: AtomicU64::new(0),
            occupied: AtomicU32::new(0),
            partial_share: AtomicU32::new(0),
        }
    }

    /// Occupies a place for a request of `class`, if one is open to that class.
    pub fn try_enter(&self, class: Class) -> Option<AdmissionPlace<'_>> {
        let max_occupied = (self.open_places() * class_percent(class) / 100).max(1);
        let update = |occupied: u32| (occupied < max_occupied).then_some(occupied + 1);
        self.occupied
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, update)
            .is_ok()
            .then(|| AdmissionPlace { admission: self })
    }

    /// Records how overload affected a request and adapts the limit.
    ///
    /// When targets are loaded beyond their capacity, nearly all requests are
    /// answered but few answers are complete. Partial answers therefore lead to
    /// a cut only once they are frequent: a single slow replica causes a few of
    /// them and is no reason to shed requests.
    pub fn record_impact(&self, now: Time, impact: LoadImpact) {
        let many_partial = self.record_partial(impact == LoadImpact::Partial);
        if impact == LoadImpact::Refused || many_partial {
            self.cut_places(now);
            return;
        }
        let occupied = self.occupied();
        let update = |limit: u32| {
            let is_used = (occupied + 1) * 2 >= limit / PLACE_UNITS;
            let grown = limit + PLACE_UNITS * PLACE_UNITS / limit.max(PLACE_UNITS) + 1;
            is_used.then_some(grown.min(self.max_places * PLACE_UNITS))
        };
        let _ = self
            .limit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Records whether a request got a partial answer; true if it did and
    /// partial answers are frequent.
    fn record_partial(&self, is_partial: bool) -> bool {
        let sample = if is_partial { PLACE_UNITS } else { 0 };
        let update = |old: u32| Some((old * (PARTIAL_SMOOTHING - 1) + sample) / PARTIAL_SMOOTHING);
        let old = self
            .partial_share
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
        is_partial
            && old.is_ok_and(|partial_share| partial_share >= PLACE_UNITS / PARTIAL_CUT_DIVISOR)
    }

    fn cut_places(&self, now: Time) {
        let last_cut = self.last_cut.load(Ordering::Relaxed);
        if last_cut != 0 && now < Time(last_cut) + MIN_CUT_INTERVAL {
            return;
        }
        self.last_cut.store(now.0, Ordering::Relaxed);
        let occupied = self.occupied();
        let update = |limit: u32| {
            let kept = limit.min(occupied * PLACE_UNITS) / 100 * CUT_KEPT_PERCENT;
            Some(kept.max(MIN_PLACES.min(self.max_places) * PLACE_UNITS))
        };
        let _ = self
            .limit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Number of requests that may be in progress now.
    #[must_use]
    pub fn open_places(&self) -> u32 {
        self.limit.load(Ordering::Relaxed) / PLACE_UNITS
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        self.occupied.load(Ordering::Acquire)
    }

    /// Load, in per cent of the open places.
    #[must_use]
    pub fn load(&self) -> u8 {
        u8::try_from(self.occupied() * 100 / self.open_places().max(1)).unwrap_or(u8::MAX)
    }
}
