//! The one place that counts the calls in flight on one target.

use std::{collections::BTreeMap, time::Duration};

use heatherrun_kernel::message::{CallResult, Class, Failure, OwnerReport, TargetReport, Warmth};
use heatherrun_kernel::{CallId, Time};

/// Calls that may be in flight on a target of which nothing is known.
const FIRST_LIMIT: f64 = 1.0;

/// Factor by which a refusal or a jump of latency cuts the limit.
const CUT: f64 = 0.5;

/// Calls that may wait for each call that may be in flight.
const QUEUE_FACTOR: usize = 4;

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

/// Limit, calls in flight and queue of one target.
#[derive(Debug)]
pub struct Gate {
    most: f64,
    limit: f64,
    flying: BTreeMap<CallId, Time>,
    queue: BTreeMap<(u8, Time, CallId), Ask>,
    report: TargetReport,
    latency: Option<Duration>,
}

impl Gate {
    /// Gate of a target that starts cold and never gets more than `most`
    /// calls at once.
    #[must_use]
    pub fn new(most: u16) -> Self {
        Self {
            most: f64::from(most.max(1)),
            limit: FIRST_LIMIT,
            flying: BTreeMap::new(),
            queue: BTreeMap::new(),
            report: TargetReport::default(),
            latency: None,
        }
    }

    /// Calls that may be in flight now.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn limit(&self) -> u16 {
        self.limit as u16
    }

    /// Load as told to entries.
    #[must_use]
    pub fn report(&self) -> OwnerReport {
        OwnerReport {
            in_flight: u16::try_from(self.flying.len()).unwrap_or(u16::MAX),
            queued: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            limit: self.limit(),
            target: self.report,
        }
    }

    /// Asks for a place for one call.
    pub fn ask(&mut self, now: Time, ask: Ask) -> Step {
        if self.report.warmth == Warmth::Draining {
            return Step::Refuse(Failure::Draining);
        }
        if ask.deadline <= now {
            return Step::Refuse(Failure::Expired);
        }
        if self.has_place() && self.queue.is_empty() {
            self.flying.insert(ask.id, now);
            return Step::Send;
        }
        if self.queue.len() >= usize::from(self.limit()) * QUEUE_FACTOR {
            return Step::Refuse(Failure::Busy);
        }
        let rank = u8::MAX - ask.class as u8;
        self.queue.insert((rank, ask.deadline, ask.id), ask);
        Step::Wait
    }

    fn has_place(&self) -> bool {
        self.flying.len() < usize::from(self.limit())
    }

    /// The next waiting call to send, now in flight.
    pub fn next(&mut self, now: Time) -> Option<CallId> {
        while self.has_place() {
            let (_, ask) = self.queue.pop_first()?;
            if ask.deadline <= now {
                continue;
            }
            self.flying.insert(ask.id, now);
            return Some(ask.id);
        }
        None
    }

    /// Takes a waiting call out; false when it does not wait.
    pub fn withdraw(&mut self, id: CallId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|_, ask| ask.id != id);
        self.queue.len() < before
    }

    /// Notes the end of a call in flight and adapts the limit.
    pub fn ended(&mut self, now: Time, id: CallId, result: &CallResult) {
        let Some(sent) = self.flying.remove(&id) else {
            return;
        };
        match result {
            Ok(reply) => {
                self.report = reply.report;
                self.grow(now.since(sent));
            }
            Err(error) => self.shrink(error.failure),
        }
        if self.report.warmth == Warmth::Cold {
            self.limit = FIRST_LIMIT;
        }
    }

    fn grow(&mut self, took: Duration) {
        let usual = self.latency.unwrap_or(took);
        self.latency = Some(usual * 7 / 8 + took / 8);
        self.limit = (self.limit + 1.0 / self.limit).min(self.most);
    }

    fn shrink(&mut self, failure: Failure) {
        match failure {
            Failure::Busy => self.limit = (self.limit * CUT).max(FIRST_LIMIT),
            Failure::ConnectionLost | Failure::NoConnection => self.limit = FIRST_LIMIT,
            Failure::Draining => self.report.warmth = Warmth::Draining,
            _ => {}
        }
    }
}
