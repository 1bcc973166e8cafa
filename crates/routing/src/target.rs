//! One target as this node knows it: the state that it reports of itself, and
//! the latency, load and failures observed in its replies.

mod limit;

use std::{
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, TargetEntry};
use heatherrun_kernel::time::micros;

use crate::pace::TargetPace;
use crate::pacer::Pacer;
use crate::ramp::Ramp;
use crate::refusals::RefusalLimit;

pub use self::limit::LimitChange;

/// Inverse weight of one reply in the moving average of the latency.
const LATENCY_WEIGHT_DIVISOR: u64 = 6;

/// Inverse weight of a reply that is later than expected: a slow period must
/// show within a few replies.
const RISING_LATENCY_DIVISOR: u64 = 3;

/// Limit on the latency recorded for one reply: this factor over the expected
/// latency plus a margin in microseconds. A single reply delayed by a pause
/// does not mean that the target is slow; several late replies in a row do.
const MAX_LATENCY_FACTOR: u64 = 3;
const LATENCY_MARGIN_MICROS: u64 = 5_000;

/// Half-life of the observed latency and failure rate. A target that is avoided
/// for its latency is thus tried again after some time.
pub(crate) const OBSERVATION_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// How long a target is avoided after a call to it was overdue; doubled for
/// each consecutive overdue period. Searchers pause for up to 200
/// ms.
const OVERDUE_BACKOFF: Duration = Duration::from_millis(210);

/// [`OVERDUE_BACKOFF`] in microseconds.
const OVERDUE_BACKOFF_MICROS: u64 = 210_000;

/// How long a target is avoided after a failed call; doubled for each
/// consecutive failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);

/// How long a target is avoided after it refused a call: part of its queue is
/// done by then.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(30);

/// Failed calls and overdue periods in a row after which a target is silent, and
/// the shortest time without a reply: longer than two pauses of a searcher.
const SILENT_AFTER: u32 = 2;
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// How long a reported number of running and queued calls is considered
/// current.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(100);

/// Running and queued calls per slot at which a call waits about as long as one
/// call takes.
const QUEUED_CALLS_PER_SLOT: u32 = 2;

/// Inverse weight of one call in the moving average of the failure rate.
const FAILURE_WEIGHT_DIVISOR: u64 = 8;

/// Maximum time for which a target is left alone at its own wish. A longer one
/// is taken for a mistake.
const MAX_QUIET_TIME: Duration = Duration::from_mins(1);

/// Maximum time that a failing or unresponsive target is avoided.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Value of [`Target::limit`] of a target that named no limit.
const NO_LIMIT: u64 = u64::MAX;

/// Network distance of a target from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same failure domain.
    Domain,
    /// Same region.
    Region,
    /// Another region.
    Far,
}

/// Location of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Region; empty when its failure domain is not known.
    pub region: Name,
    /// Distance from this node.
    pub distance: Distance,
}

/// What a target said of itself in replies, and only there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// End of the time in which it wants no calls from this node.
    pub quiet_until: Time,
    /// Limit that it named, in thousandths of a call per second, and when the
    /// call was sent that it last named it to.
    limit: Option<(u64, Time)>,
    /// Whether its replies report its load; holds for later incarnations too.
    pub reports_load: bool,
}

impl Distance {
    /// Expected latency of a target without observed replies.
    const fn initial_latency(self) -> Duration {
        match self {
            Self::Domain => Duration::from_millis(4),
            Self::Region => Duration::from_millis(7),
            Self::Far => Duration::from_millis(24),
        }
    }
}

/// One incarnation of a target: a target that restarts gets a new one. All
/// methods take a shared reference, and the counters are atomics without
/// ordering between them.
#[derive(Debug)]
pub struct Target {
    /// Entry that the target registered.
    pub entry: TargetEntry,
    /// Region of the target; empty when unknown.
    pub region: Name,
    /// Distance from this node.
    pub distance: Distance,
    /// Slots for the calls of this node while the target takes a limited rate.
    pub pacer: Pacer,
    /// Limit learnt from its refusals.
    pub refusals: RefusalLimit,
    /// Load and pace that its replies report.
    pub pace: TargetPace,
    /// Slow start by its answers.
    pub ramp: Ramp,
    /// Sequence number of the newest report.
    report_count: AtomicU64,
    draining: AtomicBool,
    /// Whether its replies said that it is leaving. Unlike `draining`, a report
    /// does not reset it: the registry may be behind.
    leaving: AtomicBool,
    /// End of the time in which it wants no calls from this node.
    quiet_until: AtomicU64,
    /// Whether this incarnation ended.
    gone: AtomicBool,
    /// End of the slow start.
    cold_until: AtomicU64,
    in_flight: AtomicU32,
    /// Mean latency in microseconds; zero before the first reply.
    mean_latency: AtomicU64,
    /// When the mean latency was last updated.
    latency_at: AtomicU64,
    /// When it last replied, in microseconds like all times here.
    last_reply: AtomicU64,
    /// End of the time in which it is avoided.
    avoid_until: AtomicU64,
    /// Consecutive failed calls.
    failures: AtomicU32,
    /// Consecutive overdue periods without any reply.
    overdue_periods: AtomicU32,
    /// When a call was last sent to it.
    last_sent: AtomicU64,
    /// Recent failures per thousand calls, and when that was last updated. It
    /// decays with time.
    failure_permille: AtomicU64,
    failure_at: AtomicU64,
    /// Running and queued calls as the target last reported.
    reported_load: AtomicU32,
    /// Rate that it takes from all nodes together, in thousandths of a call per
    /// second; [`NO_LIMIT`] if it named none.
    limit: AtomicU64,
    /// When the latest call was sent to which it named the limit.
    limit_sent: AtomicU64,
}

impl Target {
    /// Creates a target without observed replies.
    #[must_use]
    pub fn new(now: Time, entry: TargetEntry, location: Location) -> Self {
        let target = Self {
            region: location.region,
            distance: location.distance,
            pacer: Pacer::default(),
            refusals: RefusalLimit::default(),
            pace: TargetPace::default(),
            ramp: Ramp::default(),
            report_count: AtomicU64::new(entry.report_seq),
            draining: AtomicBool::new(entry.draining),
            leaving: AtomicBool::new(false),
            quiet_until: AtomicU64::new(0),
            gone: AtomicBool::new(false),
            cold_until: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            mean_latency: AtomicU64::new(0),
            latency_at: AtomicU64::new(0),
            last_reply: AtomicU64::new(0),
            avoid_until: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            overdue_periods: AtomicU32::new(0),
            last_sent: AtomicU64::new(0),
            failure_permille: AtomicU64::new(0),
            failure_at: AtomicU64::new(0),
            reported_load: AtomicU32::new(0),
            limit: AtomicU64::new(NO_LIMIT),
            limit_sent: AtomicU64::new(0),
            entry,
        };
        target.set_warmup(now, target.entry.warmup);
        target
    }

    /// Applies a newer report of the same incarnation.
    pub fn report(&self, now: Time, entry: &TargetEntry) {
        self.report_count.store(entry.report_seq, Ordering::Relaxed);
        self.draining.store(entry.draining, Ordering::Relaxed);
        self.set_warmup(now, entry.warmup);
    }

    /// Sequence number of its newest report.
    #[must_use]
    pub fn report_count(&self) -> u64 {
        self.report_count.load(Ordering::Relaxed)
    }

    fn set_warmup(&self, now: Time, remaining: Duration) {
        let until = if remaining.is_zero() {
            0
        } else {
            (now + remaining).0
        };
        self.cold_until.store(until, Ordering::Relaxed);
    }

    /// Marks the target as gone: it left, or another target has its address.
    pub fn set_gone(&self) {
        self.gone.store(true, Ordering::Relaxed);
    }

    /// Records that a reply said that the target is leaving; true the first
    /// time.
    pub fn record_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::Relaxed)
    }

    /// Records that the target refused a call and wants none for `wanted`.
    pub fn record_quiet(&self, now: Time, wanted: Duration) {
        let until = now + wanted.min(MAX_QUIET_TIME);
        self.quiet_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Takes over what an earlier object of the same incarnation was told in
    /// replies.
    pub fn inherit(&self, told: &Told) {
        self.leaving.store(told.is_leaving, Ordering::Relaxed);
        self.quiet_until
            .store(told.quiet_until.0, Ordering::Relaxed);
        if let Some((limit, sent_at)) = told.limit {
            self.limit.store(limit, Ordering::Relaxed);
            self.limit_sent.store(sent_at.0, Ordering::Relaxed);
        }
    }

    /// What the target said of itself in replies.
    #[must_use]
    pub fn told(&self) -> Told {
        Told {
            is_leaving: self.leaving.load(Ordering::Relaxed),
            quiet_until: Time(self.quiet_until.load(Ordering::Relaxed)),
            reports_load: self.pace.reports_load(),
            limit: self.named_limit().map(|limit| {
                let sent_at = self.limit_sent.load(Ordering::Relaxed);
                (limit, Time(sent_at))
            }),
        }
    }

    /// Whether the target may be sent new calls: it is neither draining,
    /// leaving nor gone.
    #[must_use]
    pub fn accepts_calls(&self) -> bool {
        let flags = [&self.draining, &self.leaving, &self.gone];
        !flags.iter().any(|flag| flag.load(Ordering::Relaxed))
    }

    /// End of the time in which the target wants no calls from this node;
    /// `None` when it takes them.
    #[must_use]
    pub fn quiet_until(&self, now: Time) -> Option<Time> {
        let until = Time(self.quiet_until.load(Ordering::Relaxed));
        (now < until).then_some(until)
    }

    /// Whether the target is cold, that is, in its slow start.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now.0 < self.cold_until.load(Ordering::Relaxed)
    }

    /// Whether the target is avoided: a recent call was overdue, failed or was
    /// refused, or the target is unresponsive and a call that probes it is in
    /// flight.
    #[must_use]
    pub fn is_avoided(&self, now: Time) -> bool {
        let is_unresponsive = self.overdue_periods.load(Ordering::Relaxed) > 0;
        let until = self.avoid_until.load(Ordering::Relaxed);
        now.0 < until
            || (is_unresponsive
                && now.0 < self.last_sent.load(Ordering::Relaxed) + OVERDUE_BACKOFF_MICROS)
    }

    /// Whether the target is silent: several calls in a row had no reply.
    #[must_use]
    pub fn is_silent(&self, now: Time) -> bool {
        let periods = self.overdue_periods.load(Ordering::Relaxed);
        let unanswered = periods.saturating_add(self.failures.load(Ordering::Relaxed));
        unanswered >= SILENT_AFTER && now.since(self.last_reply()) >= MIN_SILENCE
    }

    /// When a call was last sent to it; zero if none was.
    #[must_use]
    pub fn last_sent(&self) -> Time {
        Time(self.last_sent.load(Ordering::Relaxed))
    }

    /// Number of calls of this node in flight to the target.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Number of running and queued calls that the target last reported.
    #[must_use]
    pub fn reported_load(&self) -> u32 {
        self.reported_load.load(Ordering::Relaxed)
    }

    /// Whether the last report is current and says that calls wait at the
    /// target for about as long as one call takes.
    #[must_use]
    pub fn is_queueing(&self, now: Time) -> bool {
        let age = now.since(Time(self.last_reply.load(Ordering::Relaxed)));
        age < LOAD_REPORT_TTL
            && self.reported_load() >= u32::from(self.entry.slots) * QUEUED_CALLS_PER_SLOT
    }

    /// When the target last replied to a call; zero if it never did.
    #[must_use]
    pub fn last_reply(&self) -> Time {
        Time(self.last_reply.load(Ordering::Relaxed))
    }

    /// Records that a call is sent.
    pub fn record_sent(&self, now: Time) {
        self.last_sent.store(now.0, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a call is no longer in flight.
    pub fn record_call_end(&self) {
        let decrement = |n: u32| Some(n.saturating_sub(1));
        let _ = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
    }

    /// Records a reply after `took`, with the number of running and queued
    /// calls if the target reported it.
    pub fn record_reply(&self, now: Time, took: Duration, reported_load: Option<u32>) {
        self.failures.store(0, Ordering::Relaxed);
        self.overdue_periods.store(0, Ordering::Relaxed);
        self.avoid_until.store(0, Ordering::Relaxed);
        self.last_reply.store(now.0, Ordering::Relaxed);
        if let Some(reported_load) = reported_load {
            self.reported_load.store(reported_load, Ordering::Relaxed);
        }
        self.record_outcome(now, false);
        self.refusals.record_accepted();
        self.update_latency(now, took);
    }

    /// Records that a call sent at `sent_at` is overdue: the target may be
    /// stalled, unless it has replied to another call since.
    ///
    /// An unresponsive target is probed with one call at a time, at intervals
    /// that double each time.
    pub fn record_overdue(&self, now: Time, sent_at: Time) {
        if self.last_reply.load(Ordering::Relaxed) > sent_at.0 {
            return;
        }
        self.ramp.record_overdue(sent_at);
        if self.is_avoided(now) {
            return;
        }
        let periods = self.overdue_periods.fetch_add(1, Ordering::Relaxed).min(8);
        let backoff = (OVERDUE_BACKOFF * 2_u32.pow(periods)).min(MAX_BACKOFF);
        self.avoid_until
            .store((sent_at + backoff).0, Ordering::Relaxed);
        self.record_min_latency(now, now.since(sent_at));
    }

    /// Records that a call had no reply within `took`, a lower bound of its
    /// latency.
    pub fn record_min_latency(&self, now: Time, took: Duration) {
        if micros(took) > self.expected_micros(now) {
            self.update_latency(now, took);
        }
    }

    /// Records that the target refused a call without running it.
    pub fn record_refusal(&self, now: Time, reported_load: Option<u32>) {
        self.last_reply.store(now.0, Ordering::Relaxed);
        if let Some(reported_load) = reported_load {
            self.reported_load.store(reported_load, Ordering::Relaxed);
        }
        self.record_outcome(now, true);
        self.refusals.record_refusal(now);
        let until = (now + REFUSAL_BACKOFF).0;
        self.avoid_until.fetch_max(until, Ordering::Relaxed);
    }

    /// Records that the target replied to a call with a failure.
    pub fn record_failed_reply(&self, now: Time, took: Duration, reported_load: Option<u32>) {
        self.record_reply(now, took, reported_load);
        self.record_outcome(now, true);
    }

    /// Recent failures per thousand calls.
    #[must_use]
    pub fn failure_permille(&self, now: Time) -> u64 {
        let permille = self.failure_permille.load(Ordering::Relaxed);
        let age = now.since(Time(self.failure_at.load(Ordering::Relaxed)));
        let half_lives =
            u32::try_from(age.as_millis() / OBSERVATION_HALF_LIFE.as_millis()).unwrap_or(u32::MAX);
        permille.checked_shr(half_lives).unwrap_or(0)
    }

    fn record_outcome(&self, now: Time, failed: bool) {
        let old = self.failure_permille(now);
        let sample = if failed { 1_000 } else { 0 };
        let new = (old * (FAILURE_WEIGHT_DIVISOR - 1) + sample) / FAILURE_WEIGHT_DIVISOR;
        self.failure_permille.store(new, Ordering::Relaxed);
        self.failure_at.store(now.0, Ordering::Relaxed);
    }

    /// Records a failed call; a target is avoided for longer with each
    /// consecutive failure.
    pub fn record_failure(&self, now: Time) {
        self.ramp.record_failure(now);
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(8);
        let backoff = (FAILURE_BACKOFF * 2_u32.pow(failures)).min(MAX_BACKOFF);
        self.avoid_until.store((now + backoff).0, Ordering::Relaxed);
    }

    fn update_latency(&self, now: Time, took: Duration) {
        let old = self.mean_latency.load(Ordering::Relaxed);
        let took = micros(took).max(1);
        let new = if old == 0 {
            took
        } else {
            let old = self.expected_micros(now);
            let took = took.min(old * MAX_LATENCY_FACTOR + LATENCY_MARGIN_MICROS);
            let divisor = if took > old {
                RISING_LATENCY_DIVISOR
            } else {
                LATENCY_WEIGHT_DIVISOR
            };
            (old * (divisor - 1) + took) / divisor
        };
        self.mean_latency.store(new.max(1), Ordering::Relaxed);
        self.latency_at.store(now.0, Ordering::Relaxed);
    }

    /// Expected latency in microseconds of a call at the pace that is reported
    /// now; the same as [`Target::expected_micros`] without a reported pace.
    #[must_use]
    pub fn paced_micros(&self, now: Time) -> u64 {
        self.pace.scale(now, self.expected_micros(now))
    }

    /// Expected latency of a call in microseconds. A mean above the initial
    /// estimate decays towards it with the half-life.
    #[must_use]
    pub fn expected_micros(&self, now: Time) -> u64 {
        let initial = micros(self.distance.initial_latency());
        let mean = self.mean_latency.load(Ordering::Relaxed);
        if mean <= initial {
            return if mean == 0 { initial } else { mean };
        }
        let age = now.since(Time(self.latency_at.load(Ordering::Relaxed)));
        let half_lives = age.as_secs_f64() / OBSERVATION_HALF_LIFE.as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "microseconds of one call")]
        let excess = (mean - initial) as f64 * 0.5_f64.powf(half_lives);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative and at most the mean"
        )]
        let excess = excess as u64;
        initial + excess
    }
}
