//! Slow start of one target by its answers: a limit on the concurrent calls of
//! this node that finds out what a target takes which is new or has recovered.
//!
//! The window of concurrent calls starts small, doubles with each round of
//! answers about as fast as those of the other targets of the service, and
//! halves when they are over twice as slow or the target rejects calls. The
//! slow start ends when the window reaches the usual limit. It needs the load
//! that replies report, and does not apply to targets without it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::time::micros;

use crate::target::{Distance, Target};

/// Value of [`Ramp::window`] before the first choice among the targets of its
/// service.
const UNDECIDED: u32 = 0;

/// Value of [`Ramp::window`] outside a slow start.
const OPEN: u32 = u32::MAX;

/// How long a target must be in trouble, or out of service, before its return
/// is a recovery. Regular pauses last up to 250 ms and their queues are worked
/// off soon after.
const MIN_TROUBLE: Duration = Duration::from_millis(800);

/// Number of signs of trouble without a good answer between them before a
/// return is a recovery: with few calls, two slow ones may be seconds apart.
const MIN_SIGNS: u32 = 5;

/// Signs that a call without an answer counts for: a silent target is sent few
/// calls.
const UNANSWERED_SIGNS: u32 = 2;

/// Answers over this factor of the latency of the others are slow.
const SLOW_FACTOR: u64 = 2;

/// Mean latency of a round, in percent of the others, up to which the window
/// doubles.
const GOOD_PERCENT: u64 = 150;

/// Shortest round. Nodes notice a return up to some 100 ms apart; the first ones
/// must not have grown far when the others send their first calls. Six
/// doublings take less than a second.
const MIN_ROUND: Duration = Duration::from_millis(100);

/// Tolerance in microseconds when latencies of targets are compared: that of the
/// network and of the timers of the machines.
const TOLERANCE_MICROS: u64 = 3_000;

/// Why a slow start began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Why {
    /// The target, or this incarnation of it, is new.
    New,
    /// It was silent, failed, rejected calls or was slow for some time.
    Recovered,
    /// It or its failure domain was out of service.
    Back,
}

impl Why {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Recovered => "recovered",
            Self::Back => "back",
        }
    }

    const fn from_code(code: u8) -> Self {
        match code {
            0 => Self::New,
            1 => Self::Recovered,
            _ => Self::Back,
        }
    }
}

/// Reply of a target to a call.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// When the call was sent.
    pub sent_at: Time,
    /// Whether it was rejected, or failed.
    pub is_rejected: bool,
    /// Whether more calls wait at the target than it runs.
    pub is_crowded: bool,
    /// Latency expected of the other targets, in microseconds; `None` if there
    /// are none to compare with.
    pub others: Option<u64>,
    /// Limit on concurrent calls that applies outside a slow start.
    pub usual: u32,
}

/// Change of a slow start that is to be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RampChange {
    /// Whether it began and had not been reported yet.
    pub began: bool,
    /// Whether it ended.
    pub ended: bool,
    /// Why it began.
    pub why: Why,
    /// Window now, or the usual limit at the end.
    pub calls: u32,
    /// Time since it began.
    pub lasted: Duration,
}

/// Slow start of one target at this node. All methods take a shared reference;
/// the fields are atomics without ordering between them.
#[derive(Debug, Default)]
pub struct Ramp {
    /// Concurrent calls allowed, [`OPEN`] or [`UNDECIDED`].
    window: AtomicU32,
    /// Number and summed latency, in microseconds, of the answers of the round.
    answers: AtomicU32,
    sum: AtomicU64,
    /// When the round began.
    round_from: AtomicU64,
    /// Answers to calls sent before this time do not count.
    counted_from: AtomicU64,
    /// When the slow start began, and the code of its cause.
    began: AtomicU64,
    why: AtomicU8,
    /// Whether its begin was reported.
    is_reported: AtomicBool,
    /// First sign of trouble since the last good answer, and the number of
    /// signs; zero when there is none.
    trouble_since: AtomicU64,
    signs: AtomicU32,
    /// Since when the target has not been available to any request; zero when
    /// it is.
    absent_since: AtomicU64,
}

impl Ramp {
    /// Limit on concurrent calls, at most `usual`. Begins a slow start if one is
    /// due, with a window of `start` calls. `reports_load` says whether targets of
    /// the service report their load.
    pub fn limit(
        &self,
        now: Time,
        usual: u32,
        start: u32,
        reports_load: impl FnOnce() -> bool,
    ) -> u32 {
        let window = self.window.load(Ordering::Relaxed);
        let absent_since = self.absent_since.load(Ordering::Relaxed);
        if absent_since > 0 {
            self.absent_since.store(0, Ordering::Relaxed);
        }
        let was_absent = absent_since > 0 && now.since(Time(absent_since)) >= MIN_TROUBLE;
        let why = if window == UNDECIDED {
            Why::New
        } else if was_absent {
            Why::Back
        } else if window > start && self.is_long_trouble(now) {
            Why::Recovered
        } else {
            return window.min(usual);
        };
        if start < usual && reports_load() {
            self.begin(now, why, start);
            start
        } else {
            self.window.store(OPEN, Ordering::Relaxed);
            usual
        }
    }

    /// Records that the target is not available to any request.
    pub fn record_absent(&self, now: Time) {
        if self.absent_since.load(Ordering::Relaxed) == 0 {
            self.absent_since.store(now.0, Ordering::Relaxed);
        }
    }

    /// Records that a call sent at `sent_at` is overdue.
    pub fn record_overdue(&self, sent_at: Time) {
        self.record_signs(sent_at, UNANSWERED_SIGNS);
    }

    /// Records a call that failed without an answer.
    pub fn record_failure(&self, now: Time) {
        self.record_signs(now, UNANSWERED_SIGNS);
        if self.is_active() {
            self.halve(now);
        }
    }

    /// Records the answer to a call; returns what is to be reported.
    pub fn record_answer(&self, now: Time, answer: &Answer) -> Option<RampChange> {
        let took = micros(now.since(answer.sent_at));
        let slow_from = answer.others.map(|o| o * SLOW_FACTOR + TOLERANCE_MICROS);
        if answer.is_rejected || slow_from.is_some_and(|from| took > from) {
            self.record_signs(now, 1);
        } else {
            self.record_good();
        }
        if !self.is_active() {
            return None;
        }
        let counts = answer.sent_at.0 >= self.counted_from.load(Ordering::Relaxed);
        if counts && answer.is_rejected {
            self.halve(now);
        } else if counts {
            self.count_answer(now, took, slow_from, answer);
        }
        self.take_change(now, answer.usual)
    }

    /// Ends a slow start, since the target does not report its load.
    pub fn release(&self) {
        if self.is_active() {
            self.window.store(OPEN, Ordering::Relaxed);
        }
        self.record_good();
    }

    /// Whether the target is in a slow start.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !matches!(self.window.load(Ordering::Relaxed), UNDECIDED | OPEN)
    }

    fn count_answer(&self, now: Time, took: u64, slow_from: Option<u64>, answer: &Answer) {
        let window = self.window.load(Ordering::Relaxed);
        let sum = self.sum.fetch_add(took, Ordering::Relaxed) + took;
        let count = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        // The round can no longer be other than slow.
        let expected_count = u64::from(window.max(count));
        if slow_from.is_some_and(|from| sum > from.saturating_mul(expected_count)) {
            self.halve(now);
            return;
        }
        let round_from = Time(self.round_from.load(Ordering::Relaxed));
        if count < window || now.since(round_from) < MIN_ROUND {
            return;
        }
        self.begin_round(now);
        let good_until = answer
            .others
            .map(|o| o * GOOD_PERCENT / 100 + TOLERANCE_MICROS);
        let is_good = good_until.is_none_or(|until| sum / u64::from(count) <= until);
        if is_good && !answer.is_crowded {
            self.replace_window(window, window.saturating_mul(2).min(OPEN - 1));
        }
    }

    /// Ends the slow start if the window has reached the usual limit.
    fn take_change(&self, now: Time, usual: u32) -> Option<RampChange> {
        let window = self.window.load(Ordering::Relaxed);
        let ended = window >= usual && self.replace_window(window, OPEN);
        let began = !self.is_reported.swap(true, Ordering::Relaxed);
        (began || ended).then(|| RampChange {
            began,
            ended,
            why: Why::from_code(self.why.load(Ordering::Relaxed)),
            calls: window.min(usual),
            lasted: now.since(Time(self.began.load(Ordering::Relaxed))),
        })
    }

    fn begin(&self, now: Time, why: Why, start: u32) {
        self.began.store(now.0, Ordering::Relaxed);
        self.why.store(why as u8, Ordering::Relaxed);
        self.is_reported.store(false, Ordering::Relaxed);
        self.counted_from.store(now.0, Ordering::Relaxed);
        self.begin_round(now);
        self.window.store(start, Ordering::Relaxed);
    }

    fn halve(&self, now: Time) {
        let window = self.window.load(Ordering::Relaxed);
        self.replace_window(window, (window / 2).max(1));
        self.counted_from.store(now.0, Ordering::Relaxed);
        self.begin_round(now);
    }

    /// Replaces the window unless another answer has changed it.
    fn replace_window(&self, old: u32, new: u32) -> bool {
        let (success, failure) = (Ordering::Relaxed, Ordering::Relaxed);
        let replaced = self.window.compare_exchange(old, new, success, failure);
        replaced.is_ok()
    }

    fn begin_round(&self, now: Time) {
        self.round_from.store(now.0, Ordering::Relaxed);
        self.answers.store(0, Ordering::Relaxed);
        self.sum.store(0, Ordering::Relaxed);
    }

    fn record_signs(&self, since: Time, count: u32) {
        if self.signs.fetch_add(count, Ordering::Relaxed) == 0 {
            self.trouble_since.store(since.0, Ordering::Relaxed);
        }
    }

    /// A good answer ends the trouble.
    fn record_good(&self) {
        if self.signs.load(Ordering::Relaxed) > 0 {
            self.signs.store(0, Ordering::Relaxed);
        }
    }

    fn is_long_trouble(&self, now: Time) -> bool {
        let since = Time(self.trouble_since.load(Ordering::Relaxed));
        self.signs.load(Ordering::Relaxed) >= MIN_SIGNS && now.since(since) >= MIN_TROUBLE
    }
}

/// Mean latency expected of the other targets of the service, in microseconds:
/// those as far away as `target` that reply; `None` without any.
#[must_use]
pub fn others_micros(now: Time, target: &Target, targets: &[Arc<Target>]) -> Option<u64> {
    let is_far = |t: &Target| t.distance == Distance::Far;
    let mut sum = 0;
    let mut count = 0;
    for other in targets {
        let is_comparable = other.entry.id != target.entry.id
            && is_far(other) == is_far(target)
            && other.last_reply() > Time::default()
            && !other.is_avoided(now);
        if is_comparable {
            sum += other.expected_micros(now);
            count += 1;
        }
    }
    (count > 0).then(|| sum / count)
}
