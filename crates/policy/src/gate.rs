//! Per-target gate, the only place that counts the calls in flight on a target.
//! It decides which calls are sent, which wait in a queue and which are refused
//! without being sent.

use std::{collections::BTreeMap, time::Duration};

use heatherrun_kernel::message::{CallResult, Class, Failure, OwnerReport, TargetReport, Warmth};
use heatherrun_kernel::{CallId, Time};

use crate::limit::{CallSample, Limit};

/// Maximum number of queued calls per call that may be in flight.
const QUEUE_FACTOR: usize = 4;

/// Minimum queue capacity, which applies to targets with a small limit.
const MIN_QUEUE_LENGTH: usize = 4;

/// Delay before the report of a target that began to drain is read for the
/// first time.
const INITIAL_PROBE_DELAY: Duration = Duration::from_secs(10);

/// Upper bound of the delay between two such reads, which doubles each time.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(80);

/// Request to send a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendRequest {
    /// Identifier of the call.
    pub id: CallId,
    /// Priority class; urgent calls are sent first.
    pub class: Class,
    /// Time at which the caller gives up.
    pub deadline: Time,
}

/// Decision of the gate on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// The call now counts as in flight and must be sent.
    Send,
    /// The call is queued; [`Gate::next_decision`] returns it later.
    Wait,
    /// The call is refused and was not run.
    Refuse(Failure),
}

/// Configured bounds of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Number of calls that the target runs at the same time when warm.
    pub slots: u16,
    /// Maximum number of calls in flight, including those on the wire.
    pub max_calls: u16,
}

#[derive(Clone, Copy, Debug)]
struct InFlightCall {
    sent_at: Time,
    start_load: usize,
}

#[derive(Clone, Copy, Debug)]
struct Drain {
    probe_at: Time,
    probe_delay: Duration,
}

/// Order of the queue: class (most urgent first), deadline, and the call itself
/// as a tie-breaker.
type QueueKey = (u8, Time, CallId);

/// Limit, calls in flight and queue of one target.
#[derive(Debug)]
pub struct Gate {
    limit: Limit,
    share: u8,
    in_flight: BTreeMap<CallId, InFlightCall>,
    queue: BTreeMap<QueueKey, SendRequest>,
    evicted: Vec<CallId>,
    report: TargetReport,
    drain: Option<Drain>,
}

impl Gate {
    /// Creates the gate of a target, which starts cold.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            limit: Limit::new(bounds.slots, bounds.max_calls),
            share: 100,
            in_flight: BTreeMap::new(),
            queue: BTreeMap::new(),
            evicted: Vec::new(),
            report: TargetReport::default(),
            drain: None,
        }
    }

    /// Number of calls that may be in flight now.
    #[must_use]
    pub fn limit(&self) -> u16 {
        self.limit.current(self.share)
    }

    /// Number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Sets the share of the limit that may be used, in per cent.
    pub const fn set_share(&mut self, share: u8) {
        self.share = share;
    }

    /// Applies newly configured bounds; the calls in flight stay counted.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.limit.set_bounds(bounds.slots, bounds.max_calls);
    }

    /// Resets the limit to that of a cold target.
    pub fn reset_to_cold(&mut self) {
        self.limit.reset_to_cold();
    }

    /// Load report that is sent to entries.
    #[must_use]
    pub fn report(&self) -> OwnerReport {
        let mut target = self.report;
        if self.limit.is_cold() && target.warmth == Warmth::Warm {
            target.warmth = Warmth::Cold;
        }
        OwnerReport {
            in_flight: u16::try_from(self.in_flight.len()).unwrap_or(u16::MAX),
            queued: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            limit: self.limit(),
            target,
        }
    }

    /// Requests to send one call.
    pub fn request_send(&mut self, now: Time, request: SendRequest) -> SendDecision {
        if request.deadline <= now {
            return SendDecision::Refuse(Failure::Expired);
        }
        if self.drain.is_some() {
            return SendDecision::Refuse(Failure::Draining);
        }
        if self.limit() == 0 {
            return SendDecision::Refuse(Failure::NotOwner);
        }
        let overdue = self.overdue(now);
        self.limit.check_latency_jump(overdue);
        if self.queue.is_empty() && self.may_send_now(now) {
            self.record_send(now, request.id);
            return SendDecision::Send;
        }
        self.enqueue(now, request)
    }

    fn enqueue(&mut self, now: Time, request: SendRequest) -> SendDecision {
        let key = (u8::MAX - request.class as u8, request.deadline, request.id);
        let calls_ahead = self.queue.range(..key).count();
        let calls_ahead = u32::try_from(calls_ahead).unwrap_or(u32::MAX);
        let expected_wait = self
            .limit
            .release_interval(self.share)
            .saturating_mul(calls_ahead + 1);
        let base_latency = self.limit.base_latency().unwrap_or_default();
        if request.deadline.time_left(now) < expected_wait + base_latency {
            return SendDecision::Refuse(Failure::Busy);
        }
        if self.queue.len() >= self.max_queued() {
            let last_key = self.queue.last_key_value().map(|(key, _)| *key);
            let Some(last_key) = last_key.filter(|last_key| last_key.0 > key.0) else {
                return SendDecision::Refuse(Failure::Busy);
            };
            self.queue.remove(&last_key);
            self.evicted.push(last_key.2);
        }
        self.queue.insert(key, request);
        SendDecision::Wait
    }

    fn max_queued(&self) -> usize {
        (usize::from(self.limit()) * QUEUE_FACTOR).max(MIN_QUEUE_LENGTH)
    }

    /// Number of calls in flight that have been waiting much longer than calls
    /// usually take.
    fn overdue(&self, now: Time) -> usize {
        let is_slow =
            |call: &&InFlightCall| self.limit.is_slow(now.since(call.sent_at), call.start_load);
        self.in_flight.values().filter(is_slow).count()
    }

    fn may_send_now(&mut self, now: Time) -> bool {
        let below_limit = self.in_flight.len() < usize::from(self.limit());
        below_limit && (self.limit.try_take_token(now) || self.in_flight.is_empty())
    }

    fn record_send(&mut self, now: Time, id: CallId) {
        let call = InFlightCall {
            sent_at: now,
            start_load: self.in_flight.len() + 1,
        };
        self.in_flight.insert(id, call);
    }

    /// Returns the next queued call with the decision on it: `Ok` when it now
    /// counts as in flight and must be sent, otherwise the reason for its
    /// refusal. `None` when nothing can be decided yet.
    pub fn next_decision(&mut self, now: Time) -> Option<(CallId, Result<(), Failure>)> {
        if let Some(id) = self.evicted.pop() {
            return Some((id, Err(Failure::Busy)));
        }
        let (_, next_call) = self.queue.first_key_value()?;
        let next_call = *next_call;
        let decision = if self.drain.is_some() {
            Err(Failure::Draining)
        } else if self.limit() == 0 {
            Err(Failure::NotOwner)
        } else if next_call.deadline <= now {
            Err(Failure::Expired)
        } else if self.may_send_now(now) {
            Ok(())
        } else {
            return None;
        };
        self.queue.pop_first();
        if decision.is_ok() {
            self.record_send(now, next_call.id);
        }
        Some((next_call.id, decision))
    }

    /// Time at which [`Gate::next_decision`] may return a call even if no call
    /// ends before.
    #[must_use]
    pub fn wake_at(&self) -> Option<Time> {
        let below_limit = self.in_flight.len() < usize::from(self.limit());
        let needs_token = below_limit && !self.queue.is_empty();
        needs_token.then(|| self.limit.next_token_at())
    }

    /// Removes a call from the queue; false when it is not queued.
    pub fn remove_queued(&mut self, id: CallId) -> bool {
        let queued_before = self.queue.len();
        self.queue.retain(|_, request| request.id != id);
        self.queue.len() < queued_before
    }

    /// Removes a call from those in flight because it was not sent after all.
    pub fn cancel_send(&mut self, id: CallId) {
        self.in_flight.remove(&id);
    }

    /// Records the end of a call in flight and adapts the limit.
    pub fn record_end(&mut self, now: Time, id: CallId, result: &CallResult) {
        let in_flight = self.in_flight.len();
        let Some(call) = self.in_flight.remove(&id) else {
            return;
        };
        let latency = now.since(call.sent_at);
        match result {
            Ok(reply) => {
                self.report = reply.report;
                self.limit.record_completed(CallSample {
                    latency,
                    start_load: call.start_load,
                    end_load: in_flight,
                    warmth: reply.report.warmth,
                    reported_calls: reply.report.busy,
                });
                self.update_drain(now, reply.report.warmth == Warmth::Draining);
            }
            Err(error) => {
                self.limit
                    .record_failure(error.failure, latency, call.start_load);
                if error.failure == Failure::Draining {
                    self.update_drain(now, true);
                }
            }
        }
        let overdue = self.overdue(now);
        self.limit.check_latency_jump(overdue);
    }

    /// Whether the report of a draining target should be read now. Reports are
    /// read instead of sending a trial call, because a target that is leaving
    /// must get no new call.
    pub fn probe_due(&mut self, now: Time) -> bool {
        let Some(drain) = &mut self.drain else {
            return false;
        };
        let is_due = now >= drain.probe_at;
        if is_due {
            drain.probe_delay = (drain.probe_delay * 2).min(MAX_PROBE_DELAY);
            drain.probe_at = now + drain.probe_delay;
        }
        is_due
    }

    /// Applies a report that was read from the target without a call. A report
    /// alone never makes a target warm.
    pub fn apply_report(&mut self, now: Time, report: &TargetReport) {
        self.update_drain(now, report.warmth == Warmth::Draining);
        if report.warmth == Warmth::Cold {
            self.limit.reset_to_cold();
        }
        if self.drain.is_none() {
            self.report = *report;
        }
    }

    fn update_drain(&mut self, now: Time, draining: bool) {
        if !draining {
            if self.drain.take().is_some() {
                self.limit.reset_to_cold();
            }
            return;
        }
        self.report.warmth = Warmth::Draining;
        let probe_delay = match self.drain {
            Some(drain) if now < drain.probe_at => return,
            Some(drain) => (drain.probe_delay * 2).min(MAX_PROBE_DELAY),
            None => INITIAL_PROBE_DELAY,
        };
        self.drain = Some(Drain {
            probe_at: now + probe_delay,
            probe_delay,
        });
    }
}
