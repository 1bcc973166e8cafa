//! Lets a request start, wait or be refused by the load of its destination.
//!
//! The decisions are made in `heatherrun_routing::admission`. Its lock is held
//! for one event at a time and never while a request waits.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use futures::future::OptionFuture;
use heatherrun_kernel::routes::{Name, Team};
use heatherrun_kernel::{Clock, Time};
use heatherrun_ports::http_reply::Reply;
use heatherrun_routing::admission::{self, Answer, Arrival, Class, Controller, Decision, Ticket};
use heatherrun_routing::scatter::{CallEnd, Verdict};
use heatherrun_routing::target::Target;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use super::{ActiveRequest, Ended, Outcome};
use crate::calls::EndedCall;
use crate::log_throttle::LineKind;
use crate::metrics::Admission;
use crate::reply;
use crate::state::State;

/// Number of destinations from which unused ones are removed. Successive
/// configurations may name many over a node's lifetime.
const MAX_UNUSED: usize = 300;

/// Reason of refusals.
const NO_ROOM: &str = "the targets have no room";

/// Notifies a waiting request of its start.
type Waker = oneshot::Sender<()>;

/// Admission to the destinations of requests. Read without locks; the map is
/// replaced when a destination is added.
#[derive(Debug, Default)]
pub(crate) struct Destinations {
    /// Gates by the hash of the set of services.
    gates: ArcSwap<HashMap<u64, Arc<Gate>>>,
    /// Whether a reply had load figures.
    has_load: AtomicBool,
}

impl Destinations {
    /// Gate of the set of services, in any order; none if there are neither keys
    /// nor load figures.
    pub(super) fn gate(&self, requires_keys: bool, services: &[Name]) -> Option<Arc<Gate>> {
        let is_active = requires_keys || self.has_load.load(Ordering::Relaxed);
        is_active.then(|| self.find(services))
    }

    fn find(&self, services: &[Name]) -> Arc<Gate> {
        let hashes = services.iter().map(|s| xxh3_64(s.as_bytes()));
        let key = hashes.fold(0, u64::wrapping_add);
        if let Some(gate) = self.gates.load().get(&key) {
            return Arc::clone(gate);
        }
        let added = Arc::new(Gate {
            service: services.first().cloned().unwrap_or_default(),
            shards: services.len(),
            controller: Mutex::default(),
        });
        self.gates.rcu(|gates| {
            let mut gates = HashMap::clone(gates);
            if gates.len() >= MAX_UNUSED {
                gates.retain(|_, gate| Arc::strong_count(gate) > 1);
            }
            gates.entry(key).or_insert_with(|| Arc::clone(&added));
            gates
        });
        let gates = self.gates.load();
        gates.get(&key).map_or(added, Arc::clone)
    }
}

/// Admission to one destination.
#[derive(Debug)]
pub(crate) struct Gate {
    /// First of its services, and their number, for logs.
    service: Name,
    shards: usize,
    controller: Mutex<Controller<Waker>>,
}

impl Gate {
    fn lock(&self) -> MutexGuard<'_, Controller<Waker>> {
        self.controller
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an event, and starts waiting requests while there is room. A
    /// request that left meanwhile gives its place back itself.
    fn apply<R>(&self, now: Time, event: impl FnOnce(&mut Controller<Waker>) -> R) -> R {
        let mut controller = self.lock();
        let result = event(&mut controller);
        while let Some(waker) = controller.pop_ready(now) {
            let _ = waker.send(());
        }
        let change = controller.take_change();
        let (limit, in_progress) = (controller.limit(), controller.in_progress());
        drop(controller);
        let (service, shards) = (&*self.service, self.shards);
        match change {
            Some(true) => log::info!(
                service, shards, in_progress, limit:% = format_args!("{limit:.0}");
                "admission.limited"
            ),
            Some(false) => log::info!(service, shards, in_progress; "admission.open"),
            None => {}
        }
        result
    }

    /// Records a call that ended. A call that the target rejected counts as load
    /// unless the target says that it has free slots, is leaving or is another
    /// one.
    fn record_call(&self, state: &State, target: &Target, ended: &EndedCall) {
        let Some(reply) = &ended.reply else {
            return;
        };
        let is_loaded = if ended.end == CallEnd::NotRun {
            let head = (state.site.parse_reply)(reply.status(), reply.headers());
            let slots = u32::from(target.entry.slots);
            let has_free = head.load.is_some_and(|load| load.call_count() < slots);
            !head.misdirected && !head.is_leaving && !has_free
        } else {
            target.is_queueing(state.clock.now())
        };
        self.lock().record_call(&target.entry.service, is_loaded);
    }
}

/// Waits for a call and records what it tells of the load of its target.
pub(super) async fn observe_call(
    state: Arc<State>,
    gate: Option<Arc<Gate>>,
    target: Arc<Target>,
    call: impl Future<Output = EndedCall>,
) -> EndedCall {
    let ended = call.await;
    match (&gate, &ended.reply) {
        (Some(gate), _) => gate.record_call(&state, &target, &ended),
        (None, Some(reply)) => {
            let head = (state.site.parse_reply)(reply.status(), reply.headers());
            if head.load.is_some() {
                state.destinations.has_load.store(true, Ordering::Relaxed);
            }
        }
        (None, None) => {}
    }
    ended
}

/// Place of a started request; it is given back when dropped.
struct Place {
    gate: Arc<Gate>,
    clock: Clock,
    started: Time,
    answer: Option<Answer>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.gate
            .apply(now, |c| c.end(now, self.started, self.answer));
    }
}

/// A request that waits. When it is dropped before it starts, as when its caller
/// leaves, it is removed.
struct Waiter<'a> {
    request: &'a ActiveRequest,
    gate: Arc<Gate>,
    ticket: Option<Ticket>,
}

impl Waiter<'_> {
    /// Leaves the queue; its place if it has been started meanwhile.
    fn leave(&mut self) -> Option<Place> {
        let ticket = self.ticket.take()?;
        let state = &self.request.state;
        state.metrics.add_waiting(self.request.route.priority, -1);
        let has_left = self.gate.lock().leave(ticket);
        (!has_left).then(|| self.request.place(&self.gate))
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.leave();
    }
}

impl ActiveRequest {
    /// Serves the request here once there is room for it.
    pub(super) async fn run_admitted(&self) -> Ended {
        let mut place = match self.admit().await {
            Ok(place) => place,
            Err(refusal) => return Ended::Refused(*refusal),
        };
        let ended = self.run_here().await;
        if let (Some(place), Ended::Here(outcome)) = (&mut place, &ended) {
            place.answer = Some(self.admission_answer(outcome, place.started));
        }
        ended
    }

    /// Waits until the request may start. The refusal if there is no room; no
    /// place where admission is not active.
    async fn admit(&self) -> Result<Option<Place>, Box<Reply>> {
        let state = &self.state;
        let Some(gate) = &self.gate else {
            return Ok(None);
        };
        let now = state.clock.now();
        let (decision, woken) = self.decide(gate, now);
        let priority = self.route.priority;
        let place = match decision {
            Decision::Start => Some(self.place(gate)),
            Decision::Wait(ticket, until) => {
                state.metrics.add_waiting(priority, 1);
                let mut waiter = Waiter {
                    request: self,
                    gate: Arc::clone(gate),
                    ticket: Some(ticket),
                };
                tokio::select! {
                    biased;
                    Some(_) = OptionFuture::from(woken) => {}
                    () = state.clock.sleep_until(until) => {}
                    () = self.stop_ended() => {}
                }
                waiter.leave()
            }
            Decision::Refuse => None,
        };
        let Some(place) = place else {
            return Err(Box::new(self.refuse_admission(gate)));
        };
        let outcome = match decision {
            Decision::Wait(..) => Admission::Waited,
            Decision::Start | Decision::Refuse => Admission::Started,
        };
        state.metrics.record_admission(priority, outcome);
        Ok(Some(place))
    }

    fn decide(&self, gate: &Gate, now: Time) -> (Decision, Option<oneshot::Receiver<()>>) {
        let share = self.state.shares.load().total_share;
        let team_rate = self.team().and_then(|t| t.per_sec);
        let arrival = Arrival {
            class: Class {
                team: self.outgoing.team.clone(),
                priority: self.route.priority,
            },
            allowance: team_rate.map(|per_sec| per_sec * share),
            objective: self.route.objective,
            due: self.due(),
            end: self.plan.end,
        };
        let mut woken = None;
        let waker = || {
            let (waker, receiver) = oneshot::channel();
            woken = Some(receiver);
            waker
        };
        let decision = gate.apply(now, |c| c.arrive(now, arrival, waker));
        (decision, woken)
    }

    /// The caller's team, if the configuration names it.
    fn team(&self) -> Option<&Team> {
        let name = self.outgoing.team.as_ref()?;
        let teams = self.table.config().teams();
        teams.iter().find(|t| t.name == *name)
    }

    /// When an answer meets the objective at the latest.
    fn due(&self) -> Time {
        let objective = self.route.objective.saturating_sub(self.path.spent);
        self.start + objective
    }

    fn place(&self, gate: &Arc<Gate>) -> Place {
        Place {
            gate: Arc::clone(gate),
            clock: self.state.clock,
            started: self.state.clock.now(),
            answer: None,
        }
    }

    /// How the request ended, for its place.
    fn admission_answer(&self, outcome: &Outcome, started: Time) -> Answer {
        let now = self.state.clock.now();
        let is_whole = match &outcome.verdict {
            Verdict::Answer(chosen) => chosen.iter().all(Option::is_some),
            Verdict::None { .. } => false,
        };
        let objective = self.route.objective.as_secs_f64().max(f64::EPSILON);
        Answer {
            is_kept: is_whole && now <= self.due(),
            took_share: now.since(started).as_secs_f64() / objective,
        }
    }

    /// Refuses the request because there is no room for it.
    fn refuse_admission(&self, gate: &Gate) -> Reply {
        let (state, outgoing) = (&self.state, &self.outgoing);
        let now = state.clock.now();
        let priority = self.route.priority;
        state.metrics.record_admission(priority, Admission::Refused);
        state
            .metrics
            .record_failure(&self.route.name, true, "overload");
        if state.log_throttle.allows(now, LineKind::RejectedRequest) {
            let (waiting, limit) = {
                let controller = gate.lock();
                (controller.waiting(), controller.limit())
            };
            let (id, route) = (outgoing.id.as_str(), &*self.route.name);
            let team = outgoing.team.as_deref().unwrap_or_default();
            log::info!(
                id, route, team, priority, waiting, limit:% = format_args!("{limit:.0}");
                "request.no-room"
            );
        }
        let id_hash = match outgoing.id.as_bytes() {
            b"" => xxh3_64(&self.start.0.to_le_bytes()),
            id => xxh3_64(id),
        };
        reply::not_run(NO_ROOM, admission::retry_after(id_hash))
    }
}
