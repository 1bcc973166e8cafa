//! One caller's request from its arrival to its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Destination, Name, Route};
use heatherrun_kernel::time::micros;
use heatherrun_ports::http_reply::{Fault, Reply, plain};
use heatherrun_ports::http_server::Received;
use heatherrun_routing::choice::{self, Choice, Choices};
use heatherrun_routing::crashers;
use heatherrun_routing::fleet::Services;
use heatherrun_routing::plan::Plan;
use heatherrun_routing::scatter::{CallIx, Cause, Chosen, Context, Scatter, Send, SlotIx, Verdict};
use heatherrun_routing::table::Table;
use heatherrun_routing::target::Target;
use http::{Response, StatusCode, header};

use crate::calls::{self, Ended, Outgoing};
use crate::crash_tracker;
use crate::log_throttle::Kind;
use crate::reply;
use crate::state::State;

/// Time that calls which are not needed any more may still take. A connection
/// that is closed costs its target a new one; one that waits longer than a
/// searcher's pause is not worth keeping.
const LOSER_TIME: Duration = Duration::from_millis(300);

/// When callers come again that were refused for want of a configuration.
const AGAIN_UNREADY: Duration = Duration::from_millis(300);

/// When callers come again that no target could take.
const AGAIN_REFUSED: Duration = Duration::from_millis(150);

/// When callers come again whose request crashes its targets: it is tried
/// again then.
const AGAIN_BANNED: Duration = crashers::TRIAL_TIME;

/// Shards without a part that one log line names.
const MOST_NAMED: usize = 12;

/// Answers one request.
pub async fn answer(state: Arc<State>, received: Result<Received, Fault>) -> Reply {
    let start = state.clock.now();
    let received = match received {
        Ok(received) => received,
        Err(fault) => return fault.reply(),
    };
    let Some(table) = state.table.load_full() else {
        state.metrics.turned_away("unready");
        return reply::not_run("no configuration is known yet", AGAIN_UNREADY);
    };
    if received.body.len() > table.config().callers.body_bytes {
        return Fault::LongBody.reply();
    }
    let uri = &received.head.uri;
    let host = received.head.headers.get(header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).or_else(|| uri.host());
    let id = (state.site.caller)(&received.head.headers).id;
    let id = id.unwrap_or_default();
    let Some(route) = table.route(host.unwrap_or_default(), uri.path()) else {
        let (host, path) = (host.unwrap_or_default(), uri.path());
        state.metrics.turned_away("no-route");
        if state.throttle.allows(start, Kind::Turned) {
            log::info!(id, host, path, version = table.config().version; "request.no-route");
        }
        return plain(StatusCode::NOT_FOUND, "no route for this host and path");
    };
    let print = || crash_tracker::print(&received.head.method, uri, &received.body);
    let tries = |print| state.tries_banned(print);
    if state.crashes.refuses(start, print, tries) {
        state.metrics.turned_away("crashes-targets");
        let (route, print) = (&*route.name, print());
        if state.throttle.allows(start, Kind::Turned) {
            log::info!(id, route, print; "request.banned");
        }
        return reply::not_run("the request crashes its targets", AGAIN_BANNED);
    }
    let route = route.clone();
    let serving = Serving::new(state, &table, route, received, start);
    serving.run().await
}

/// One request being served.
struct Serving {
    state: Arc<State>,
    table: Arc<Table>,
    route: Route,
    /// Services that are sent it, one for each shard.
    shards: Vec<Name>,
    /// Records of a merged answer; none for a single service.
    records: Option<usize>,
    plan: Plan,
    out: Arc<Outgoing>,
    start: Time,
}

impl Serving {
    fn new(
        state: Arc<State>,
        table: &Arc<Table>,
        route: Route,
        received: Received,
        start: Time,
    ) -> Self {
        let (shards, records) = match &route.to {
            Destination::Service(service) => (vec![Arc::clone(service)], None),
            Destination::Split(parts) => {
                let part = table.part(parts).map(|p| Arc::clone(&p.service));
                (part.into_iter().collect(), None)
            }
            Destination::Shards {
                services, records, ..
            } => (services.clone(), Some(*records)),
        };
        let head = (state.site.caller)(&received.head.headers);
        let left = head.left.unwrap_or(route.timeout);
        let plan = Plan::of(&route, start, left);
        let out = Outgoing {
            id: head.id.unwrap_or_default().to_owned(),
            end: plan.end,
            is_part: records.is_some(),
            latency: state.learned.route(&route.name),
            ..outgoing(&state, received)
        };
        Self {
            state,
            table: Arc::clone(table),
            route,
            shards,
            records,
            plan,
            out: Arc::new(out),
            start,
        }
    }

    async fn run(self) -> Reply {
        let state = &self.state;
        let now = state.clock.now();
        state
            .learned
            .request(now, self.shards.iter(), &state.terms.load().extra);
        let mut scatter = Scatter::new(self.plan.clone(), self.shards.len());
        let mut calls = FuturesUnordered::new();
        let mut replies: Vec<Option<Response<Bytes>>> = Vec::with_capacity(self.shards.len());
        let mut stop = state.stop_end();
        if let Some(end) = *stop.borrow_and_update() {
            scatter.end_by(end);
        }
        let mut sends = self.decide(|cx| scatter.start(now, cx));
        let verdict = loop {
            for send in sends.drain(..) {
                replies.push(None);
                calls.push(self.call(send));
            }
            let now = state.clock.now();
            if let Some(verdict) = scatter.verdict(now) {
                break verdict;
            }
            let wake = scatter.wake_at(now);
            tokio::select! {
                biased;
                Some(Ended { call, end, reply }) = calls.next() => {
                    replies[call] = reply;
                    let now = state.clock.now();
                    sends = self.decide(|cx| scatter.ended(now, call, end, cx));
                }
                Ok(()) = stop.changed() => {
                    if let Some(end) = *stop.borrow_and_update() {
                        scatter.end_by(end);
                    }
                }
                () = state.clock.sleep_until(wake) => {
                    let now = state.clock.now();
                    sends = self.decide(|cx| scatter.tick(now, cx));
                }
            }
        };
        if !calls.is_empty() {
            tokio::spawn(async move {
                let rest = calls.for_each(|_| std::future::ready(()));
                let _ = tokio::time::timeout(LOSER_TIME, rest).await;
            });
        }
        self.conclude(&scatter, verdict, replies)
    }

    fn call(&self, send: Send) -> impl Future<Output = Ended> + std::marker::Send + 'static {
        let connections = usize::from(self.room(&send.target));
        calls::call(
            Arc::clone(&self.state),
            Arc::clone(&self.out),
            send,
            connections,
        )
    }

    /// Calls of this node that one target takes at once.
    fn room(&self, target: &Target) -> u16 {
        let service = self.table.service(&target.entry.service);
        let connections = service.map_or(1, |s| s.connections);
        self.state.shares.load().room(&target.region, connections)
    }

    /// Runs a decision with what it needs to know.
    fn decide<R>(&self, decision: impl FnOnce(&Context<'_>) -> R) -> R {
        let state = &*self.state;
        let now = state.clock.now();
        let services = state.services.load();
        let out = state.out.load();
        let choices = Choices {
            regions: &self.route.regions,
            is_out: &|domain| out.contains(domain),
            cold_room: &|target| self.cold_room(now, target),
            room: &|target| u32::from(self.room(target)),
        };
        let context = Context {
            choose: &|slot, tried| self.choose(now, &services, slot, tried, &choices),
            take_extra: &|slot| {
                let service = &self.shards[slot];
                state.learned.take_extra(
                    now,
                    service,
                    &state.terms.load().extra,
                    state.shares.load().whole,
                )
            },
            delay: &|target| self.out.latency.delay(target, self.route.objective),
        };
        decision(&context)
    }

    fn choose(
        &self,
        now: Time,
        services: &Services,
        slot: SlotIx,
        tried: &[Name],
        choices: &Choices<'_>,
    ) -> Chosen {
        let targets = services.get(&self.shards[slot]).map_or(&[][..], |t| t);
        match choice::choose(now, targets, tried, choices) {
            Choice::Target(target) => Chosen::Target(Arc::clone(target)),
            Choice::NoRoom => Chosen::NoRoom,
            Choice::NoTarget => Chosen::NoTarget,
        }
    }

    /// Whether this node's share of what a cold target bears has one more.
    fn cold_room(&self, now: Time, target: &Target) -> bool {
        let service = self.table.service(&target.entry.service);
        let Some(cold) = service.and_then(|s| s.cold) else {
            return true;
        };
        target.take_cold(now, cold.per_sec * self.state.shares.load().whole)
    }

    /// Answers with what came back.
    fn conclude(
        &self,
        scatter: &Scatter,
        verdict: Verdict,
        replies: Vec<Option<Response<Bytes>>>,
    ) -> Reply {
        match verdict {
            Verdict::Answer(chosen) => self.succeed(scatter, &chosen, replies),
            Verdict::None { not_run, cause } => self.fail(scatter, not_run, cause, replies),
        }
    }

    /// The answer made of the chosen calls' replies.
    fn succeed(
        &self,
        scatter: &Scatter,
        chosen: &[Option<CallIx>],
        mut replies: Vec<Option<Response<Bytes>>>,
    ) -> Reply {
        let parts = chosen.iter().flatten();
        let mut parts: Vec<_> = parts.filter_map(|ix| replies[*ix].take()).collect();
        let missing = chosen.len() - parts.len();
        let now = self.state.clock.now();
        let took = now.since(self.start);
        self.state.metrics.answered(&self.route.name, took, missing);
        self.state.crashes.answered(now, || self.out.print());
        let (id, route) = (self.out.id.as_str(), &*self.route.name);
        let (version, calls) = (self.table.config().version, scatter.calls());
        log::debug!(id, route, version, calls, missing; "request.answered");
        if missing > 0 && self.state.throttle.allows(now, Kind::Partial) {
            log::info!(
                id, route, version, shards = chosen.len(), calls, hedges = scatter.hedges(),
                missing = self.missing(scatter).as_str(), took_us = micros(took); "request.partial"
            );
        }
        match self.records {
            Some(records) => reply::merged(&self.state, &parts, missing, records),
            None => match parts.pop() {
                Some(part) => reply::pass(part),
                None => reply::unknown(Cause::Lost),
            },
        }
    }

    /// Services without a part and why, as "service:reason", for a log line.
    fn missing(&self, scatter: &Scatter) -> String {
        let mut text = String::new();
        for (count, (slot, cause)) in scatter.missing().enumerate() {
            if count == MOST_NAMED {
                text.push_str(",..");
                break;
            }
            if count > 0 {
                text.push(',');
            }
            text.push_str(&self.shards[slot]);
            text.push(':');
            text.push_str(cause.name());
        }
        text
    }

    /// The refusal of a request that has no answer.
    fn fail(
        &self,
        scatter: &Scatter,
        not_run: bool,
        cause: Cause,
        mut replies: Vec<Option<Response<Bytes>>>,
    ) -> Reply {
        let now = self.state.clock.now();
        let took = now.since(self.start);
        let name = &self.route.name;
        self.state.metrics.failed(name, not_run, cause.name());
        if self.state.throttle.allows(now, Kind::Failed) {
            let (id, route) = (self.out.id.as_str(), &*self.route.name);
            let (version, calls) = (self.table.config().version, scatter.calls());
            log::info!(
                id, route, version, shards = self.shards.len(), calls,
                hedges = scatter.hedges(), missing = self.missing(scatter).as_str(), not_run,
                cause = cause.name(), left_us = micros(self.plan.end.left(self.start)),
                took_us = micros(took); "request.failed"
            );
        }
        if not_run {
            return reply::not_run(cause.name(), AGAIN_REFUSED);
        }
        let own = match self.records {
            None => self.own_failure(&mut replies),
            Some(_) => None,
        };
        own.map_or_else(|| reply::unknown(cause), reply::pass)
    }

    /// A target's own failure, which says more than ours.
    fn own_failure(&self, replies: &mut [Option<Response<Bytes>>]) -> Option<Response<Bytes>> {
        let ran = |r: &Response<Bytes>| {
            !(self.state.site.reply)(r.status(), r.headers()).not_run && !r.status().is_success()
        };
        let found = replies.iter_mut().find(|r| r.as_ref().is_some_and(&ran));
        found.and_then(Option::take)
    }
}

/// What is passed on of a caller's request.
fn outgoing(state: &State, received: Received) -> Outgoing {
    let mut headers = received.head.headers;
    reply::strip(&mut headers);
    let own = headers.keys().filter(|n| (state.site.is_own)(n.as_str()));
    for name in own.cloned().collect::<Vec<_>>() {
        headers.remove(name);
    }
    let uri = received.head.uri;
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    Outgoing {
        id: String::new(),
        method: received.head.method,
        uri: path.parse().unwrap_or_default(),
        headers,
        body: received.body,
        is_part: false,
        end: Time::default(),
        latency: Arc::default(),
    }
}
