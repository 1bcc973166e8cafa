//! One target as this node knows it: what it says of itself, and what was
//! seen of its replies.

use std::{
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, TargetEntry};
use heatherrun_kernel::time::micros;

/// Weight of one reply in the mean latency, as a divisor.
const SMOOTHING: u64 = 6;

/// The same for a reply that is later than expected: a slow turn must show in
/// a few replies.
const RISE: u64 = 3;

/// Factor over the expected latency, and microseconds beyond it, at which one
/// reply is cut: one that waited for a pause is no sign of a slow turn, several
/// late ones in a row are.
const MOST_JUMP: u64 = 3;
const JUMP_ROOM: u64 = 5_000;

/// Time after which what was seen of a target counts half as much. A target
/// that is avoided for its latency is tried again that way.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Time a target is avoided after a call to it was overdue. The users' pages
/// name pauses of 200 ms.
const STALL: Duration = Duration::from_millis(210);

/// The same in microseconds.
const STALL_MICROS: u64 = 210_000;

/// Time a target is avoided after a failure, doubled with each one in a row.
const REST: Duration = Duration::from_millis(250);

/// Time a target is avoided after it refused a call: some of its queue is
/// done by then.
const REFUSED_REST: Duration = Duration::from_millis(30);

/// Time for which a report of running and waiting calls says something.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// Running and waiting calls for each slot from which calls wait for long.
const QUEUEING: u32 = 2;

/// Weight of one call in the share of failed ones, as a divisor.
const FAILING_SMOOTHING: u64 = 8;

/// Longest time between two calls to a cold target, in seconds.
const MOST_COLD_GAP: f64 = 60.0;

/// Longest time that a failing target is avoided.
const MOST_REST: Duration = Duration::from_secs(2);

/// How far a target is from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same failure domain.
    Domain,
    /// Same region.
    Region,
    /// Another region.
    Far,
}

/// Where a target stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Region; empty when its failure domain is not known.
    pub region: Name,
    /// How far it is.
    pub distance: Distance,
}

impl Distance {
    /// Latency expected of a target nothing is known of.
    const fn first_guess(self) -> Duration {
        match self {
            Self::Domain => Duration::from_millis(4),
            Self::Region => Duration::from_millis(7),
            Self::Far => Duration::from_millis(24),
        }
    }
}

/// One incarnation of a target.
#[derive(Debug)]
pub struct Target {
    /// What it registered.
    pub entry: TargetEntry,
    /// Region it stands in.
    pub region: Name,
    /// How far it is.
    pub distance: Distance,
    reports: AtomicU64,
    draining: AtomicBool,
    gone: AtomicBool,
    cold_until: AtomicU64,
    in_flight: AtomicU32,
    /// Mean latency in microseconds; zero while unknown.
    latency: AtomicU64,
    /// When the mean was last moved.
    noted: AtomicU64,
    replied: AtomicU64,
    avoid_until: AtomicU64,
    failures: AtomicU32,
    /// Spans in a row in which it answered nothing.
    silent: AtomicU32,
    /// When it was last sent a call.
    tried_at: AtomicU64,
    /// Calls, of a thousand, that failed lately, and when that was noted.
    failing: AtomicU64,
    failing_at: AtomicU64,
    /// When a cold target may be sent its next call.
    cold_next: AtomicU64,
    /// Calls running and waiting as it last reported.
    busy: AtomicU32,
}

impl Target {
    /// Target of which nothing was seen.
    #[must_use]
    pub fn new(now: Time, entry: TargetEntry, place: Place) -> Self {
        let made = Self {
            region: place.region,
            distance: place.distance,
            reports: AtomicU64::new(entry.report),
            draining: AtomicBool::new(entry.draining),
            gone: AtomicBool::new(false),
            cold_until: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            latency: AtomicU64::new(0),
            noted: AtomicU64::new(0),
            replied: AtomicU64::new(0),
            avoid_until: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            silent: AtomicU32::new(0),
            tried_at: AtomicU64::new(0),
            failing: AtomicU64::new(0),
            failing_at: AtomicU64::new(0),
            cold_next: AtomicU64::new(0),
            busy: AtomicU32::new(0),
            entry,
        };
        made.set_warmup(now, made.entry.warmup);
        made
    }

    /// Takes a newer report of the same incarnation.
    pub fn report(&self, now: Time, entry: &TargetEntry) {
        self.reports.store(entry.report, Ordering::Relaxed);
        self.draining.store(entry.draining, Ordering::Relaxed);
        self.set_warmup(now, entry.warmup);
    }

    /// Count of its newest report.
    #[must_use]
    pub fn reports(&self) -> u64 {
        self.reports.load(Ordering::Relaxed)
    }

    fn set_warmup(&self, now: Time, left: Duration) {
        let until = if left.is_zero() { 0 } else { (now + left).0 };
        self.cold_until.store(until, Ordering::Relaxed);
    }

    /// Notes that it left or that another has its address.
    pub fn set_gone(&self) {
        self.gone.store(true, Ordering::Relaxed);
    }

    /// Notes that it said it leaves.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether it takes new work at all.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.draining.load(Ordering::Relaxed) && !self.gone.load(Ordering::Relaxed)
    }

    /// Whether it is in its slow start.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now.0 < self.cold_until.load(Ordering::Relaxed)
    }

    /// Whether a call was overdue or failed there lately, or one that finds
    /// out whether it answers again is on its way.
    #[must_use]
    pub fn is_avoided(&self, now: Time) -> bool {
        let doubted = self.silent.load(Ordering::Relaxed) > 0;
        let until = self.avoid_until.load(Ordering::Relaxed);
        now.0 < until || (doubted && now.0 < self.tried_at.load(Ordering::Relaxed) + STALL_MICROS)
    }

    /// Calls of this node in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Calls running and waiting there as it last reported.
    #[must_use]
    pub fn busy(&self) -> u32 {
        self.busy.load(Ordering::Relaxed)
    }

    /// Whether calls wait there for about as long as one takes, as it last
    /// reported.
    #[must_use]
    pub fn is_queueing(&self, now: Time) -> bool {
        let age = now.since(Time(self.replied.load(Ordering::Relaxed)));
        age < REPORT_TIME && self.busy() >= u32::from(self.entry.slots) * QUEUEING
    }

    /// When it last answered a call; zero when it never did.
    #[must_use]
    pub fn replied_at(&self) -> Time {
        Time(self.replied.load(Ordering::Relaxed))
    }

    /// Notes a call on its way.
    pub fn sent(&self, now: Time) {
        self.tried_at.store(now.0, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a call is not in flight any more.
    pub fn ended(&self) {
        let step = |n: u32| Some(n.saturating_sub(1));
        let _ = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }

    /// Notes a reply after `took`, with the calls it says to have.
    pub fn replied(&self, now: Time, took: Duration, busy: Option<u32>) {
        self.failures.store(0, Ordering::Relaxed);
        self.silent.store(0, Ordering::Relaxed);
        self.avoid_until.store(0, Ordering::Relaxed);
        self.replied.store(now.0, Ordering::Relaxed);
        if let Some(busy) = busy {
            self.busy.store(busy, Ordering::Relaxed);
        }
        self.note_failing(now, false);
        self.move_mean(now, took);
    }

    /// Notes that a call sent at `sent` is overdue: the target may stand
    /// still, unless it answered another call since.
    ///
    /// A target that stays silent is tried with one call at a time, each time
    /// after twice the span.
    pub fn overdue(&self, now: Time, sent: Time) {
        if self.replied.load(Ordering::Relaxed) > sent.0 {
            return;
        }
        if self.is_avoided(now) {
            return;
        }
        let silent = self.silent.fetch_add(1, Ordering::Relaxed).min(8);
        let span = (STALL * 2_u32.pow(silent)).min(MOST_REST);
        self.avoid_until.store((sent + span).0, Ordering::Relaxed);
        self.lower_bound(now, now.since(sent));
    }

    /// Notes that a call had no reply after `took`, which is at least its
    /// latency.
    pub fn lower_bound(&self, now: Time, took: Duration) {
        if micros(took) > self.expected(now) {
            self.move_mean(now, took);
        }
    }

    /// Notes that it refused a call without running it.
    pub fn refused(&self, now: Time, busy: Option<u32>) {
        self.replied.store(now.0, Ordering::Relaxed);
        if let Some(busy) = busy {
            self.busy.store(busy, Ordering::Relaxed);
        }
        self.note_failing(now, true);
        let until = (now + REFUSED_REST).0;
        self.avoid_until.fetch_max(until, Ordering::Relaxed);
    }

    /// Notes that it answered a call with a failure.
    pub fn answered_failure(&self, now: Time, took: Duration, busy: Option<u32>) {
        self.replied(now, took, busy);
        self.note_failing(now, true);
    }

    /// Calls, of a thousand, that it failed lately.
    #[must_use]
    pub fn failing_permille(&self, now: Time) -> u64 {
        let share = self.failing.load(Ordering::Relaxed);
        let age = now.since(Time(self.failing_at.load(Ordering::Relaxed)));
        let halves = u32::try_from(age.as_millis() / HALF_LIFE.as_millis()).unwrap_or(u32::MAX);
        share.checked_shr(halves).unwrap_or(0)
    }

    fn note_failing(&self, now: Time, failed: bool) {
        let old = self.failing_permille(now);
        let goal = if failed { 1_000 } else { 0 };
        let new = (old * (FAILING_SMOOTHING - 1) + goal) / FAILING_SMOOTHING;
        self.failing.store(new, Ordering::Relaxed);
        self.failing_at.store(now.0, Ordering::Relaxed);
    }

    /// Takes one call from what a cold target bears, of which this node's
    /// share is `per_sec` calls a second.
    pub fn take_cold(&self, now: Time, per_sec: f64) -> bool {
        if per_sec <= 0.0 {
            return false;
        }
        let gap = Duration::from_secs_f64((1.0 / per_sec).min(MOST_COLD_GAP));
        let next = self.cold_next.load(Ordering::Relaxed);
        if now.0 < next {
            return false;
        }
        let then = (now + gap).0;
        let swapped =
            self.cold_next
                .compare_exchange(next, then, Ordering::Relaxed, Ordering::Relaxed);
        swapped.is_ok()
    }

    /// Notes a failure; a target that keeps failing is avoided for longer.
    pub fn failed(&self, now: Time) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(8);
        let rest = (REST * 2_u32.pow(failures)).min(MOST_REST);
        self.avoid_until.store((now + rest).0, Ordering::Relaxed);
    }

    fn move_mean(&self, now: Time, took: Duration) {
        let old = self.latency.load(Ordering::Relaxed);
        let took = micros(took).max(1);
        let new = if old == 0 {
            took
        } else {
            let old = self.expected(now);
            let took = took.min(old * MOST_JUMP + JUMP_ROOM);
            let weight = if took > old { RISE } else { SMOOTHING };
            (old * (weight - 1) + took) / weight
        };
        self.latency.store(new.max(1), Ordering::Relaxed);
        self.noted.store(now.0, Ordering::Relaxed);
    }

    /// Latency expected of a call, in microseconds.
    #[must_use]
    pub fn expected(&self, now: Time) -> u64 {
        let guess = micros(self.distance.first_guess());
        let mean = self.latency.load(Ordering::Relaxed);
        if mean <= guess {
            return if mean == 0 { guess } else { mean };
        }
        let age = now.since(Time(self.noted.load(Ordering::Relaxed)));
        let halves = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "microseconds of one call")]
        let excess = (mean - guess) as f64 * 0.5_f64.powf(halves);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative and at most the mean"
        )]
        let excess = excess as u64;
        guess + excess
    }
}
