//! The one place that counts the calls in flight on one target: who is sent,
//! who waits, and who is refused before the send.

use std::{collections::BTreeMap, time::Duration};

use heatherrun_kernel::message::{CallResult, Class, Failure, OwnerReport, TargetReport, Warmth};
use heatherrun_kernel::{CallId, Time};

use crate::limit::{Limit, Seen};

/// Calls that may wait for each call that may be in flight.
const QUEUE_FACTOR: usize = 4;

/// Calls that may wait at a target with a small limit.
const LEAST_QUEUE: usize = 4;

/// Time after which a draining target is tried with one call.
const DRAIN_PROBE: Duration = Duration::from_secs(10);

/// Longest time between two such tries.
const MOST_PROBE: Duration = Duration::from_secs(80);

/// A call that asks for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Call.
    pub id: CallId,
    /// Class; urgent calls go first.
    pub class: Class,
    /// Point at which the caller gives up.
    pub deadline: Time,
}

/// What becomes of a call that asks for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is in flight now and must be sent.
    Send,
    /// It waits; [`Gate::next`] returns it later.
    Wait,
    /// It is refused and was not run.
    Refuse(Failure),
}

/// What a gate bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Calls that the target runs at the same time when warm.
    pub slots: u16,
    /// Calls in flight at the most, on the wire ones included.
    pub most: u16,
}

#[derive(Clone, Copy, Debug)]
struct Flight {
    sent: Time,
    beside: usize,
}

#[derive(Clone, Copy, Debug)]
struct Drain {
    probe_at: Time,
    wait: Duration,
}

/// Urgency, deadline, and the call itself to tell equals apart.
type Key = (u8, Time, CallId);

/// Limit, calls in flight and queue of one target.
#[derive(Debug)]
pub struct Gate {
    limit: Limit,
    share: u8,
    flying: BTreeMap<CallId, Flight>,
    queue: BTreeMap<Key, Ask>,
    evicted: Vec<CallId>,
    report: TargetReport,
    drain: Option<Drain>,
}

impl Gate {
    /// Gate of a target that starts cold.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            limit: Limit::new(bounds.slots, bounds.most),
            share: 100,
            flying: BTreeMap::new(),
            queue: BTreeMap::new(),
            evicted: Vec::new(),
            report: TargetReport::default(),
            drain: None,
        }
    }

    /// Calls that may be in flight now.
    #[must_use]
    pub fn limit(&self) -> u16 {
        self.limit.now(self.share)
    }

    /// Calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flying.len()
    }

    /// Sets the part of the limit that may be used, in per cent.
    pub const fn set_share(&mut self, share: u8) {
        self.share = share;
    }

    /// Takes bounds as configured anew; what is in flight stays counted.
    pub fn rebound(&mut self, bounds: Bounds) {
        self.limit.rebound(bounds.slots, bounds.most);
    }

    /// Sets the limit back to that of a cold target.
    pub fn turn_cold(&mut self) {
        self.limit.turn_cold();
    }

    /// Load as told to entries.
    #[must_use]
    pub fn report(&self) -> OwnerReport {
        let mut target = self.report;
        if self.limit.is_cold() && target.warmth == Warmth::Warm {
            target.warmth = Warmth::Cold;
        }
        OwnerReport {
            in_flight: u16::try_from(self.flying.len()).unwrap_or(u16::MAX),
            queued: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            limit: self.limit(),
            target,
        }
    }

    /// Asks for a place for one call.
    pub fn ask(&mut self, now: Time, ask: Ask) -> Step {
        if ask.deadline <= now {
            return Step::Refuse(Failure::Expired);
        }
        if self.drain.is_some() {
            return Step::Refuse(Failure::Draining);
        }
        if self.limit() == 0 {
            return Step::Refuse(Failure::NotOwner);
        }
        let overdue = self.overdue(now);
        self.limit.check_jump(overdue);
        if self.queue.is_empty() && self.has_place(now) {
            self.take_off(now, ask.id);
            return Step::Send;
        }
        self.enqueue(now, ask)
    }

    fn enqueue(&mut self, now: Time, ask: Ask) -> Step {
        let key = (u8::MAX - ask.class as u8, ask.deadline, ask.id);
        let ahead = self.queue.range(..key).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let wait = self.limit.turn(self.share).saturating_mul(ahead + 1);
        let usual = self.limit.usual().unwrap_or_default();
        if ask.deadline.left(now) < wait + usual {
            return Step::Refuse(Failure::Busy);
        }
        if self.queue.len() >= self.most_queued() {
            let last = self.queue.last_key_value().map(|(key, _)| *key);
            let Some(last) = last.filter(|last| last.0 > key.0) else {
                return Step::Refuse(Failure::Busy);
            };
            self.queue.remove(&last);
            self.evicted.push(last.2);
        }
        self.queue.insert(key, ask);
        Step::Wait
    }

    fn most_queued(&self) -> usize {
        (usize::from(self.limit()) * QUEUE_FACTOR).max(LEAST_QUEUE)
    }

    /// Calls in flight that take longer than calls usually do by far.
    fn overdue(&self, now: Time) -> usize {
        let slow = |f: &&Flight| self.limit.is_slow(now.since(f.sent), f.beside);
        self.flying.values().filter(slow).count()
    }

    fn has_place(&mut self, now: Time) -> bool {
        let open = self.flying.len() < usize::from(self.limit());
        open && (self.limit.pace(now) || self.flying.is_empty())
    }

    fn take_off(&mut self, now: Time, id: CallId) {
        let flight = Flight {
            sent: now,
            beside: self.flying.len() + 1,
        };
        self.flying.insert(id, flight);
    }

    /// The next waiting call that is in flight now and must be sent, or that
    /// is refused.
    pub fn next(&mut self, now: Time) -> Option<(CallId, Result<(), Failure>)> {
        if let Some(id) = self.evicted.pop() {
            return Some((id, Err(Failure::Busy)));
        }
        let (_, first) = self.queue.first_key_value()?;
        let first = *first;
        let verdict = if self.drain.is_some() {
            Err(Failure::Draining)
        } else if self.limit() == 0 {
            Err(Failure::NotOwner)
        } else if first.deadline <= now {
            Err(Failure::Expired)
        } else if self.has_place(now) {
            Ok(())
        } else {
            return None;
        };
        self.queue.pop_first();
        if verdict.is_ok() {
            self.take_off(now, first.id);
        }
        Some((first.id, verdict))
    }

    /// When [`Gate::next`] may return a call though none ended meanwhile.
    #[must_use]
    pub fn wake_at(&self) -> Option<Time> {
        let open = self.flying.len() < usize::from(self.limit());
        let paced = open && !self.queue.is_empty();
        paced.then(|| self.limit.token_at())
    }

    /// Takes a waiting call out; false when it does not wait.
    pub fn withdraw(&mut self, id: CallId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|_, ask| ask.id != id);
        self.queue.len() < before
    }

    /// Gives back the place of a call that was not sent after all.
    pub fn unsent(&mut self, id: CallId) {
        self.flying.remove(&id);
    }

    /// Notes the end of a call in flight and adapts the limit.
    pub fn ended(&mut self, now: Time, id: CallId, result: &CallResult) {
        let flying = self.flying.len();
        let Some(flight) = self.flying.remove(&id) else {
            return;
        };
        let took = now.since(flight.sent);
        match result {
            Ok(reply) => {
                self.report = reply.report;
                self.limit.completed(Seen {
                    took,
                    beside: flight.beside,
                    flying,
                    warmth: reply.report.warmth,
                    busy: reply.report.busy,
                });
                self.note_drain(now, reply.report.warmth == Warmth::Draining);
            }
            Err(error) => {
                self.limit.failed(error.failure, took, flight.beside);
                if error.failure == Failure::Draining {
                    self.note_drain(now, true);
                }
            }
        }
        let overdue = self.overdue(now);
        self.limit.check_jump(overdue);
    }

    /// Whether the report of a draining target should be read now. A target
    /// that leaves gets no call to find out whether it came back.
    pub fn probe_due(&mut self, now: Time) -> bool {
        let Some(drain) = &mut self.drain else {
            return false;
        };
        let due = now >= drain.probe_at;
        if due {
            drain.wait = (drain.wait * 2).min(MOST_PROBE);
            drain.probe_at = now + drain.wait;
        }
        due
    }

    /// Takes what the target reports without a call. A report never makes a
    /// target warm.
    pub fn reported(&mut self, now: Time, report: &TargetReport) {
        self.note_drain(now, report.warmth == Warmth::Draining);
        if report.warmth == Warmth::Cold {
            self.limit.turn_cold();
        }
        if self.drain.is_none() {
            self.report = *report;
        }
    }

    fn note_drain(&mut self, now: Time, draining: bool) {
        if !draining {
            if self.drain.take().is_some() {
                self.limit.turn_cold();
            }
            return;
        }
        self.report.warmth = Warmth::Draining;
        let wait = match self.drain {
            Some(drain) if now < drain.probe_at => return,
            Some(drain) => (drain.wait * 2).min(MOST_PROBE),
            None => DRAIN_PROBE,
        };
        self.drain = Some(Drain {
            probe_at: now + wait,
            wait,
        });
    }
}
