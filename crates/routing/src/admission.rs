//! Decides which requests to one destination start, wait or are refused when
//! its targets have less room than its callers ask for.
//!
//! [`limit`] bounds the requests in progress, and [`fairness`] orders those that
//! wait. Without evidence of overload every request starts at once.

pub mod fairness;
pub mod limit;

use std::time::Duration;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;

pub use fairness::Class;
pub use limit::Answer;

use fairness::Fairness;
use limit::{INITIAL_LIMIT, Limit};

/// Divisor of the objective that gives the longest wait: a refusal must reach the
/// caller within a quarter of the objective.
const WAIT_DIVISOR: u32 = 5;

/// One of this many starts is reserved for the class that is furthest behind.
/// All classes together are guaranteed a quarter of the starts at most, so that a
/// third is enough also while the counts lag.
const RESERVED_INTERVAL: u32 = 3;

/// Most requests that wait, which bounds the time to choose among them.
const MAX_WAITING: usize = 512;

/// Weight of a slower answer in the shortest time to an answer.
const SLOWER_WEIGHT: f64 = 0.01;

/// Bounds of `Retry-After` of refused requests, in milliseconds.
const MIN_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 600;

/// Identifies a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(u64);

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Class of the request.
    pub class: Class,
    /// Requests per second that the team may send to this node; none without a
    /// limit.
    pub allowance: Option<f64>,
    /// Latency objective.
    pub objective: Duration,
    /// When an answer would meet the objective at the latest.
    pub due: Time,
    /// When the caller stops waiting.
    pub end: Time,
}

/// What happens to a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It starts.
    Start,
    /// It waits, until this time at the latest.
    Wait(Ticket, Time),
    /// It is refused.
    Refuse,
}

#[derive(Debug)]
struct Waiting<W> {
    ticket: Ticket,
    arrival: Arrival,
    until: Time,
    waker: W,
}

/// Position among the waiting requests; the lowest is started first.
type Order = (bool, u8, u32, Time);

/// Admission to one destination. `W` notifies a waiting request of its start.
#[derive(Debug)]
pub struct Controller<W> {
    limit: Limit,
    fairness: Fairness,
    in_progress: u32,
    queue: Vec<Waiting<W>>,
    next_ticket: u64,
    /// Starts since the last reserved one.
    unreserved: u32,
    /// Shortest recent time from the start to an answer, over all routes: with the
    /// mean, requests of the most urgent route would count as late.
    least_took: Duration,
    /// Whether the limit was below the initial one when last asked.
    was_limited: bool,
}

impl<W> Default for Controller<W> {
    fn default() -> Self {
        Self {
            limit: Limit::default(),
            fairness: Fairness::default(),
            in_progress: 0,
            queue: Vec::new(),
            next_ticket: 0,
            unreserved: 0,
            least_took: Duration::ZERO,
            was_limited: false,
        }
    }
}

impl<W> Controller<W> {
    /// Decides on a request. [`Self::pop_ready`] must follow.
    pub fn arrive(&mut self, now: Time, arrival: Arrival, waker: impl FnOnce() -> W) -> Decision {
        self.advance(now);
        self.fairness.record_arrival(now, &arrival.class);
        if self.queue.is_empty() && self.limit.has_room(self.in_progress) {
            self.start(now, &arrival.class);
            return Decision::Start;
        }
        let longest = arrival.objective / WAIT_DIVISOR;
        if self.queue.len() >= MAX_WAITING || self.is_too_long(now, &arrival, longest) {
            return Decision::Refuse;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let until = (now + longest).min(arrival.end);
        self.queue.push(Waiting {
            ticket,
            arrival,
            until,
            waker: waker(),
        });
        Decision::Wait(ticket, until)
    }

    /// Whether the requests ahead take longer than this one may wait. A class
    /// that is behind and of which none waits may wait in any case, since only
    /// waiting requests can use its reserved starts.
    fn is_too_long(&self, now: Time, arrival: &Arrival, longest: Duration) -> bool {
        let order = self.order(now, arrival);
        let is_ahead = |w: &&Waiting<W>| self.order(now, &w.arrival) <= order;
        let ahead = self.queue.iter().filter(is_ahead).count();
        let per_sec = match self.limit.end_rate() {
            rate if rate > 0.0 => rate,
            // Before the first window: a queue as long as the limit.
            _ => self.limit.value() / longest.as_secs_f64().max(f64::EPSILON),
        };
        let starts = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        if f64::from(starts) <= per_sec * longest.as_secs_f64() {
            return false;
        }
        let waits = self.queue.iter().any(|w| w.arrival.class == arrival.class);
        waits || self.fairness.behind_share(now, &arrival.class).is_none()
    }

    /// Those that can still meet their objective first, then by priority, by use
    /// of the team and by time left.
    fn order(&self, now: Time, arrival: &Arrival) -> Order {
        let is_late = now + self.least_took > arrival.due;
        let team = arrival.class.team.as_ref();
        let usage = self.fairness.usage(now, team, arrival.allowance);
        (is_late, arrival.class.priority, usage, arrival.due)
    }

    /// Starts the next waiting request if there is room, and returns its waker.
    /// Call it after each other event until it returns none.
    pub fn pop_ready(&mut self, now: Time) -> Option<W> {
        if self.queue.is_empty() || !self.limit.has_room(self.in_progress) {
            return None;
        }
        let ix = self.next_ix(now)?;
        let next = self.queue.swap_remove(ix);
        self.start(now, &next.arrival.class);
        Some(next.waker)
    }

    /// Index of the next request to start. Requests past their wait are left to
    /// their timers.
    fn next_ix(&mut self, now: Time) -> Option<usize> {
        let waiting = || {
            self.queue
                .iter()
                .enumerate()
                .filter(|(_, w)| now <= w.until)
        };
        if self.unreserved + 1 >= RESERVED_INTERVAL {
            let behind = waiting().filter_map(|(ix, w)| {
                let share = self.fairness.behind_share(now, &w.arrival.class)?;
                Some((share, w.arrival.due, ix))
            });
            let furthest = behind.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            if let Some((_, _, ix)) = furthest {
                self.unreserved = 0;
                return Some(ix);
            }
        }
        let next = waiting().min_by_key(|(_, w)| self.order(now, &w.arrival));
        let ix = next.map(|(ix, _)| ix);
        self.unreserved += u32::from(ix.is_some());
        ix
    }

    fn start(&mut self, now: Time, class: &Class) {
        self.in_progress += 1;
        self.limit.record_start(self.in_progress);
        self.fairness.record_start(now, class);
    }

    /// Removes a request that waits no longer; false if it has been started, in
    /// which case it is in progress.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        let found = self.queue.iter().position(|w| w.ticket == ticket);
        found.map(|ix| self.queue.swap_remove(ix)).is_some()
    }

    /// Records the end of a request started at `started`; no answer if its caller
    /// left. [`Self::pop_ready`] must follow.
    pub fn end(&mut self, now: Time, started: Time, answer: Option<Answer>) {
        self.in_progress = self.in_progress.saturating_sub(1);
        if answer.is_some_and(|a| a.is_kept) {
            let took = now.since(started);
            let slower = took.saturating_sub(self.least_took);
            self.least_took = took.min(self.least_took + slower.mul_f64(SLOWER_WEIGHT));
        }
        self.limit.record_end(started, answer);
        self.advance(now);
    }

    /// Records a call that ended; see [`Limit::record_call`].
    pub fn record_call(&mut self, service: &Name, is_loaded: bool) {
        self.limit.record_call(service, is_loaded);
    }

    fn advance(&mut self, now: Time) {
        if self.limit.advance(now, self.in_progress) {
            self.fairness.prune(now);
        }
    }

    /// Whether the limit is below the initial one, if that changed since the last
    /// call.
    pub fn take_change(&mut self) -> Option<bool> {
        let is_limited = self.limit.value() < INITIAL_LIMIT;
        let has_changed = std::mem::replace(&mut self.was_limited, is_limited) != is_limited;
        has_changed.then_some(is_limited)
    }

    /// Requests in progress.
    #[must_use]
    pub const fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Requests that wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that may be in progress.
    #[must_use]
    pub const fn limit(&self) -> f64 {
        self.limit.value()
    }
}

/// `Retry-After` of a refused request, spread by the hash of its id so that
/// callers do not return together.
#[must_use]
pub const fn retry_after(id_hash: u64) -> Duration {
    Duration::from_millis(MIN_RETRY_MS + id_hash % (MAX_RETRY_MS - MIN_RETRY_MS + 1))
}
