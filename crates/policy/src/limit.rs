//! Adaptive limit of the calls in flight on one target, derived from
//! observations only: latency, rejections, lost connections and the target's
//! reports.
//!
//! A target starts cold with a limit of one. Completed calls raise the limit
//! and calls that queue at the target lower it. Any sign that the target has
//! become cold resets the limit immediately.

use std::{collections::VecDeque, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::control::limit_part;
use heatherrun_kernel::message::{Failure, Warmth};

/// Capacity of a warm target in calls per slot: one running in the slot and one
/// waiting for it.
pub const CALLS_PER_SLOT: u16 = 2;

/// Ratio of the capacity of a warm target to that of a cold one.
const COLD_DIVISOR: u16 = 10;

/// Number of calls that must complete before the limit of a cold target grows.
const WARMUP_CALLS: u32 = 8;

/// Multiple of the expected latency above which a call counts as slow.
const SLOW_FACTOR: u32 = 3;

/// Number of latest calls among which slow ones are counted to detect a latency
/// jump.
const JUMP_WINDOW_CALLS: usize = 8;

/// Number of slow calls that make a latency jump. It is above one because a
/// single straggler is no sign of a cold target.
const JUMP_SLOW_CALLS: usize = 4;

/// Factor by which the token rate exceeds the average rate of sends that the
/// limit allows.
const PACING_FACTOR: f64 = 1.25;

/// Margin added to the wait for a token to compensate for rounding.
const TOKEN_WAIT_MARGIN: Duration = Duration::from_micros(1);

/// Weight of one call in the moving averages, as a divisor.
const AVERAGE_SMOOTHING: u32 = 32;

/// The same for the fast average that is used to estimate waiting times.
const FAST_SMOOTHING: u32 = 8;

/// Mean number of calls reported by the target above which its reports are
/// trusted.
const MIN_REPORTED_CALLS: f64 = 0.25;

/// Growth of the base latency with each slow call, as a divisor, so that a
/// target which stays slow is eventually no longer considered slow.
const SLOW_DRIFT_DIVISOR: u32 = 50;

/// Observation of one completed call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallSample {
    /// Time from the send to the reply.
    pub latency: Duration,
    /// Number of calls in flight when it was sent, itself included.
    pub start_load: usize,
    /// Number of calls in flight when it ended, itself included.
    pub end_load: usize,
    /// State that the target reported.
    pub warmth: Warmth,
    /// Number of calls in its slots and its queue, as the target reported.
    pub reported_calls: u16,
}

/// Adaptive limit of one target.
#[derive(Debug)]
pub(crate) struct Limit {
    slots: u16,
    maximum: f64,
    /// Calls that may be in flight, with the fraction gained so far.
    allowed: f64,
    /// Calls that must still complete before the limit of a cold target grows.
    warmup_left: u32,
    /// Mean latency of calls that found a free slot at the target.
    base_latency: Option<Duration>,
    /// Mean latency of all calls except slow ones.
    mean_latency: Duration,
    /// Mean latency of all calls, which follows changes quickly.
    fast_latency: Duration,
    /// Mean number of calls in flight that are on the wire, not at the target.
    wire_calls: f64,
    /// Mean number of calls at the target, as it reports.
    reported_calls: f64,
    /// Whether each of the latest calls was slow.
    recent_slow: VecDeque<bool>,
    tokens: f64,
    refilled_at: Time,
    /// Whether a send was delayed for lack of a token since the limit was last
    /// adapted.
    paced: bool,
}

impl Limit {
    /// Creates the limit of a cold target with `slots`; it never exceeds
    /// `maximum`.
    pub fn new(slots: u16, maximum: u16) -> Self {
        let slots = slots.max(1);
        let mut limit = Self {
            slots,
            maximum: f64::from(maximum.max(1)),
            allowed: 1.0,
            warmup_left: WARMUP_CALLS,
            base_latency: None,
            mean_latency: Duration::ZERO,
            fast_latency: Duration::ZERO,
            wire_calls: 0.0,
            reported_calls: 0.0,
            recent_slow: VecDeque::with_capacity(JUMP_WINDOW_CALLS),
            tokens: f64::from(slots * CALLS_PER_SLOT),
            refilled_at: Time::default(),
            paced: false,
        };
        limit.reset_to_cold();
        limit
    }

    /// Applies new bounds from the configuration.
    pub fn set_bounds(&mut self, slots: u16, maximum: u16) {
        self.slots = slots.max(1);
        self.maximum = f64::from(maximum.max(1));
        self.allowed = self.allowed.min(self.maximum);
    }

    /// Number of calls that a warm target can hold, running and waiting.
    fn capacity(&self) -> f64 {
        f64::from(self.slots * CALLS_PER_SLOT)
    }

    /// Upper bound of the limit: the capacity of the target plus, if many calls
    /// are reliably known to be on the wire, these calls. The reports of a
    /// target that answers all the time but reports no calls are not trusted.
    fn ceiling(&self) -> f64 {
        let mut ceiling = self.capacity();
        if self.wire_calls >= f64::from(self.slots) && self.reported_calls > MIN_REPORTED_CALLS {
            ceiling += self.wire_calls;
        }
        ceiling.min(self.maximum)
    }

    /// Resets the limit to that of a cold target.
    pub fn reset_to_cold(&mut self) {
        let capacity = self.slots * CALLS_PER_SLOT;
        self.allowed = f64::from((capacity / COLD_DIVISOR).max(1)).min(self.maximum);
        self.warmup_left = WARMUP_CALLS;
        self.recent_slow.clear();
    }

    /// Whether the target is in slow start.
    pub fn is_cold(&self) -> bool {
        self.warmup_left > 0
    }

    /// Current limit, of which `share` per cent may be used.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn current(&self, share: u8) -> u16 {
        limit_part((self.allowed as u16).max(1), share)
    }

    /// Latency of calls that found a free slot; `None` before the first reply.
    pub fn base_latency(&self) -> Option<Duration> {
        self.base_latency
    }

    /// Expected interval between two calls that end and free capacity.
    pub fn release_interval(&self, share: u8) -> Duration {
        let turnover = self.fast_latency.max(self.base_latency.unwrap_or_default());
        turnover / u32::from(self.current(share).max(1))
    }

    /// Whether a call is slow that took or has been waiting for `latency` and
    /// was sent as number `start_load` of the calls in flight.
    pub fn is_slow(&self, latency: Duration, start_load: usize) -> bool {
        let Some(base_latency) = self.base_latency else {
            return false;
        };
        let start_load = u16::try_from(start_load).unwrap_or(u16::MAX);
        let calls_per_slot = f64::from(start_load) / f64::from(self.slots);
        let expected = base_latency.mul_f64(calls_per_slot.clamp(1.0, f64::from(CALLS_PER_SLOT)));
        latency > expected * SLOW_FACTOR
    }

    /// Takes one token for a send; false when none is available. More calls
    /// than the capacity are in flight only to a target with a long round trip,
    /// most of them on the wire. The tokens space them out so that they do not
    /// arrive at the same time.
    pub fn try_take_token(&mut self, now: Time) -> bool {
        let capacity = self.capacity();
        let base_latency = self.base_latency.unwrap_or_default().as_secs_f64();
        if self.allowed <= capacity || base_latency <= 0.0 {
            self.tokens = capacity;
            self.refilled_at = now;
            return true;
        }
        let rate = self.allowed / base_latency * PACING_FACTOR;
        let gain = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + gain).min(capacity - f64::from(self.slots) / 2.0);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.paced = true;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Time at which the next token is available.
    pub fn next_token_at(&self) -> Time {
        let base_latency = self.base_latency.unwrap_or_default();
        let missing_tokens = (1.0 - self.tokens).max(0.0);
        self.refilled_at
            + base_latency.mul_f64(missing_tokens / (self.allowed * PACING_FACTOR))
            + TOKEN_WAIT_MARGIN
    }

    /// Records a completed call.
    pub fn record_completed(&mut self, sample: CallSample) {
        let slow = self.is_slow(sample.latency, sample.start_load);
        self.update_latency(sample, slow);
        self.update_wire_calls(sample);
        self.record_speed(slow, 0);
        if sample.warmth == Warmth::Cold {
            self.reset_to_cold();
            return;
        }
        if slow {
            return;
        }
        if self.warmup_left > 0 {
            self.warmup_left -= 1;
            return;
        }
        self.adapt(sample.end_load);
        self.paced = false;
    }

    /// Records whether one call was slow. `overdue` is the number of calls in
    /// flight that are slow already; several slow calls together are a latency
    /// jump.
    pub fn record_speed(&mut self, slow: bool, overdue: usize) {
        if self.recent_slow.len() == JUMP_WINDOW_CALLS {
            self.recent_slow.pop_front();
        }
        self.recent_slow.push_back(slow);
        self.check_latency_jump(overdue);
    }

    /// Resets the limit if the recent slow calls and the `overdue` calls in
    /// flight together make a latency jump.
    pub fn check_latency_jump(&mut self, overdue: usize) {
        let slow = self.recent_slow.iter().filter(|is_slow| **is_slow).count();
        if slow + overdue >= JUMP_SLOW_CALLS && !self.is_cold() {
            self.reset_to_cold();
        }
    }

    fn update_wire_calls(&mut self, sample: CallSample) {
        let in_flight = u16::try_from(sample.end_load).unwrap_or(u16::MAX);
        let wire = f64::from(in_flight.saturating_sub(sample.reported_calls));
        self.wire_calls += (wire - self.wire_calls) / f64::from(AVERAGE_SMOOTHING);
        self.reported_calls +=
            (f64::from(sample.reported_calls) - self.reported_calls) / f64::from(AVERAGE_SMOOTHING);
    }

    fn update_latency(&mut self, sample: CallSample, slow: bool) {
        self.fast_latency = moving_average(self.fast_latency, sample.latency, FAST_SMOOTHING);
        let Some(base_latency) = self.base_latency else {
            self.base_latency = Some(sample.latency);
            self.mean_latency = sample.latency;
            return;
        };
        if slow {
            self.base_latency = Some(base_latency + base_latency / SLOW_DRIFT_DIVISOR);
            return;
        }
        if sample.start_load <= usize::from(self.slots) {
            self.base_latency = Some(moving_average(
                base_latency,
                sample.latency,
                AVERAGE_SMOOTHING,
            ));
        }
        self.mean_latency = moving_average(self.mean_latency, sample.latency, AVERAGE_SMOOTHING);
    }

    /// Raises the limit while it is used up and no calls queue at the target,
    /// and lowers it when they do.
    fn adapt(&mut self, in_flight: usize) {
        let slots = f64::from(self.slots);
        if self.allowed < slots {
            if self.is_limit_used(in_flight) {
                self.allowed = (self.allowed + 1.0 / self.allowed).min(self.ceiling());
            }
            return;
        }
        let queued_calls = self.queued_calls();
        if queued_calls > slots / 2.0 {
            self.allowed = (self.allowed - 1.0 / self.allowed).max(slots.min(self.maximum));
        } else if queued_calls < slots / 4.0 && self.is_limit_used(in_flight) {
            self.allowed += 1.0 / self.allowed;
        }
        self.allowed = self.allowed.min(self.ceiling());
    }

    fn is_limit_used(&self, in_flight: usize) -> bool {
        self.paced || in_flight + 1 >= usize::from(self.current(100))
    }

    /// Estimated number of calls queued at the target, from the ratio of the
    /// mean latency to that of calls that found a free slot.
    fn queued_calls(&self) -> f64 {
        let base_latency = self.base_latency.unwrap_or_default().as_secs_f64();
        let recent = self.mean_latency.as_secs_f64();
        if recent <= base_latency {
            return 0.0;
        }
        self.allowed * (1.0 - base_latency / recent)
    }

    /// Records the failure of a call. A rejection or a lost connection resets
    /// the limit immediately; a slow call counts towards a latency jump.
    pub fn record_failure(&mut self, failure: Failure, latency: Duration, start_load: usize) {
        match failure {
            Failure::Busy | Failure::ConnectionLost | Failure::NoConnection => self.reset_to_cold(),
            Failure::TimedOut => self.record_speed(true, 0),
            Failure::Cancelled if self.is_slow(latency, start_load) => self.record_speed(true, 0),
            _ => {}
        }
    }
}

fn moving_average(old: Duration, new: Duration, divisor: u32) -> Duration {
    old.saturating_sub(old / divisor) + new / divisor
}
