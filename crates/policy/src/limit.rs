//! The number of calls that may be in flight on one target, found from what
//! was observed of it: latency, refusals, lost connections and its reports.
//!
//! A target starts cold at a limit of one. Completed calls raise the limit;
//! calls that queue at the target hold it; any sign of a cold turn sets it
//! back to one at once.

use std::{collections::VecDeque, time::Duration};

use heatherrun_kernel::Time;
use heatherrun_kernel::control::part;
use heatherrun_kernel::message::{Failure, Warmth};

/// Calls in flight that a warm target bears for each of its slots: those in
/// the slots and as many that wait there.
pub const BEARS_FACTOR: u16 = 2;

/// Part of a warm target's calls that a cold one bears, as a divisor.
const COLD_DIVISOR: u16 = 10;

/// Calls that must complete before a cold target gets more.
const COLD_WORK: u32 = 8;

/// Factor over the usual latency from which a call counts as slow.
const SLOW_FACTOR: u32 = 3;

/// Latest calls looked at for a jump of latency.
const RECENT: usize = 8;

/// Slow ones among the latest calls that make a jump. A lone straggler does
/// not.
const JUMP: usize = 4;

/// Factor by which sends to a far target may come faster than its limit makes
/// them on average.
const PACE: f64 = 1.25;

/// Added to the wait for a token, against rounding.
const LEAST_WAIT: Duration = Duration::from_micros(1);

/// Weight of one call in the moving averages, as a divisor.
const SMOOTHING: u32 = 32;

/// The same for the average by which waits are estimated.
const QUICK_SMOOTHING: u32 = 8;

/// Mean count of reported calls above which the reports are believed.
const BELIEVED_BUSY: f64 = 0.25;

/// Growth of the usual latency with each slow call, as a divisor. A target
/// that stays slow is usual at last.
const DRIFT: u32 = 50;

/// One completed or overdue call as the limit sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seen {
    /// Time from the send to the reply.
    pub took: Duration,
    /// Calls in flight when it was sent, itself included.
    pub beside: usize,
    /// Calls in flight when it ended, itself included.
    pub flying: usize,
    /// What the target reports of itself.
    pub warmth: Warmth,
    /// Calls that the target reports in its slots and its queue.
    pub busy: u16,
}

/// Adaptive limit of one target.
#[derive(Debug)]
pub(crate) struct Limit {
    slots: u16,
    most: f64,
    /// Calls that may be in flight, with the fraction that grows.
    allowed: f64,
    /// Completed calls still wanted before a cold target gets more.
    work: u32,
    /// Mean latency of calls that found a free slot.
    usual: Option<Duration>,
    /// Mean latency of all calls but slow ones.
    recent: Duration,
    /// Mean latency of all calls, quick to follow.
    whole: Duration,
    /// Mean count of calls in flight that are not at the target.
    wire: f64,
    /// Mean count of calls at the target as it reports them.
    busy: f64,
    /// Whether each of the latest calls was slow.
    slow: VecDeque<bool>,
    tokens: f64,
    filled: Time,
    /// Whether a send was put off for want of a token since a call ended.
    paced: bool,
}

impl Limit {
    /// Limit of a cold target with `slots`; never more than `most`.
    pub fn new(slots: u16, most: u16) -> Self {
        let slots = slots.max(1);
        let mut made = Self {
            slots,
            most: f64::from(most.max(1)),
            allowed: 1.0,
            work: COLD_WORK,
            usual: None,
            recent: Duration::ZERO,
            whole: Duration::ZERO,
            wire: 0.0,
            busy: 0.0,
            slow: VecDeque::with_capacity(RECENT),
            tokens: f64::from(slots * BEARS_FACTOR),
            filled: Time::default(),
            paced: false,
        };
        made.turn_cold();
        made
    }

    /// Takes new bounds.
    pub fn rebound(&mut self, slots: u16, most: u16) {
        self.slots = slots.max(1);
        self.most = f64::from(most.max(1));
        self.allowed = self.allowed.min(self.most);
    }

    /// Calls that a warm target bears at its place.
    fn bears(&self) -> f64 {
        f64::from(self.slots * BEARS_FACTOR)
    }

    /// Calls in flight at the most: what the target bears at its place and,
    /// when many calls are on the wire for certain, these as well. A target
    /// that answers all the time and reports no calls is not believed.
    fn cap(&self) -> f64 {
        let mut cap = self.bears();
        if self.wire >= f64::from(self.slots) && self.busy > BELIEVED_BUSY {
            cap += self.wire;
        }
        cap.min(self.most)
    }

    /// Sets the limit back to what a cold target bears.
    pub fn turn_cold(&mut self) {
        let bears = self.slots * BEARS_FACTOR;
        self.allowed = f64::from((bears / COLD_DIVISOR).max(1)).min(self.most);
        self.work = COLD_WORK;
        self.slow.clear();
    }

    /// Whether the target is in its slow start.
    pub fn is_cold(&self) -> bool {
        self.work > 0
    }

    /// Limit, of which `share` per cent may be used.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn now(&self, share: u8) -> u16 {
        part((self.allowed as u16).max(1), share)
    }

    /// Latency of calls as they usually take.
    pub fn usual(&self) -> Option<Duration> {
        self.usual
    }

    /// Expected time between two places that come free.
    pub fn turn(&self, share: u8) -> Duration {
        let took = self.whole.max(self.usual.unwrap_or_default());
        took / u32::from(self.now(share).max(1))
    }

    /// Whether a call that took or waits this long is slow, with `beside`
    /// calls in flight when it was sent.
    pub fn is_slow(&self, took: Duration, beside: usize) -> bool {
        let Some(usual) = self.usual else {
            return false;
        };
        let beside = u16::try_from(beside).unwrap_or(u16::MAX);
        let queued = f64::from(beside) / f64::from(self.slots);
        let expected = usual.mul_f64(queued.clamp(1.0, f64::from(BEARS_FACTOR)));
        took > expected * SLOW_FACTOR
    }

    /// Takes one token for a send. More calls than the target bears at its
    /// place are in flight only to a far one, most of them on the wire;
    /// tokens spread these so that they do not arrive together.
    pub fn pace(&mut self, now: Time) -> bool {
        let bears = self.bears();
        let usual = self.usual.unwrap_or_default().as_secs_f64();
        if self.allowed <= bears || usual <= 0.0 {
            self.tokens = bears;
            self.filled = now;
            return true;
        }
        let rate = self.allowed / usual * PACE;
        let gain = now.since(self.filled).as_secs_f64() * rate;
        self.tokens = (self.tokens + gain).min(bears - f64::from(self.slots) / 2.0);
        self.filled = now;
        if self.tokens < 1.0 {
            self.paced = true;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// When the next token is there.
    pub fn token_at(&self) -> Time {
        let usual = self.usual.unwrap_or_default();
        let missing = (1.0 - self.tokens).max(0.0);
        self.filled + usual.mul_f64(missing / (self.allowed * PACE)) + LEAST_WAIT
    }

    /// Notes a completed call.
    pub fn completed(&mut self, seen: Seen) {
        let slow = self.is_slow(seen.took, seen.beside);
        self.average(seen, slow);
        self.average_wire(seen);
        self.note_speed(slow, 0);
        if seen.warmth == Warmth::Cold {
            self.turn_cold();
            return;
        }
        if slow {
            return;
        }
        if self.work > 0 {
            self.work -= 1;
            return;
        }
        self.adapt(seen.flying);
        self.paced = false;
    }

    /// Notes whether one call was slow while `overdue` others in flight are
    /// slow already; several at once are a jump of latency.
    pub fn note_speed(&mut self, slow: bool, overdue: usize) {
        if self.slow.len() == RECENT {
            self.slow.pop_front();
        }
        self.slow.push_back(slow);
        self.check_jump(overdue);
    }

    /// Looks for a jump of latency; `overdue` calls in flight are slow
    /// already.
    pub fn check_jump(&mut self, overdue: usize) {
        let slow = self.slow.iter().filter(|slow| **slow).count();
        if slow + overdue >= JUMP && !self.is_cold() {
            self.turn_cold();
        }
    }

    fn average_wire(&mut self, seen: Seen) {
        let flying = u16::try_from(seen.flying).unwrap_or(u16::MAX);
        let wire = f64::from(flying.saturating_sub(seen.busy));
        self.wire += (wire - self.wire) / f64::from(SMOOTHING);
        self.busy += (f64::from(seen.busy) - self.busy) / f64::from(SMOOTHING);
    }

    fn average(&mut self, seen: Seen, slow: bool) {
        self.whole = smooth(self.whole, seen.took, QUICK_SMOOTHING);
        let Some(usual) = self.usual else {
            self.usual = Some(seen.took);
            self.recent = seen.took;
            return;
        };
        if slow {
            self.usual = Some(usual + usual / DRIFT);
            return;
        }
        if seen.beside <= usize::from(self.slots) {
            self.usual = Some(smooth(usual, seen.took, SMOOTHING));
        }
        self.recent = smooth(self.recent, seen.took, SMOOTHING);
    }

    /// Raises the limit while it is used and calls do not queue at the
    /// target, lowers it when they do.
    fn adapt(&mut self, flying: usize) {
        let slots = f64::from(self.slots);
        if self.allowed < slots {
            if self.is_used(flying) {
                self.allowed = (self.allowed + 1.0 / self.allowed).min(self.cap());
            }
            return;
        }
        let queue = self.queue();
        if queue > slots / 2.0 {
            self.allowed = (self.allowed - 1.0 / self.allowed).max(slots.min(self.most));
        } else if queue < slots / 4.0 && self.is_used(flying) {
            self.allowed += 1.0 / self.allowed;
        }
        self.allowed = self.allowed.min(self.cap());
    }

    fn is_used(&self, flying: usize) -> bool {
        self.paced || flying + 1 >= usize::from(self.now(100))
    }

    /// Calls that wait at the target, by how much longer calls take than
    /// those that found a free slot.
    fn queue(&self) -> f64 {
        let usual = self.usual.unwrap_or_default().as_secs_f64();
        let recent = self.recent.as_secs_f64();
        if recent <= usual {
            return 0.0;
        }
        self.allowed * (1.0 - usual / recent)
    }

    /// Notes the failure of a call; each sign of a cold turn counts at once.
    pub fn failed(&mut self, failure: Failure, took: Duration, beside: usize) {
        match failure {
            Failure::Busy | Failure::ConnectionLost | Failure::NoConnection => self.turn_cold(),
            Failure::TimedOut => self.note_speed(true, 0),
            Failure::Cancelled if self.is_slow(took, beside) => self.note_speed(true, 0),
            _ => {}
        }
    }
}

fn smooth(old: Duration, new: Duration, divisor: u32) -> Duration {
    old.saturating_sub(old / divisor) + new / divisor
}
