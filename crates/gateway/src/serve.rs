//! Serves one caller's request, from its arrival to its reply: here, or
//! [`elsewhere`].

mod admit;
mod answer;
mod authenticate;
mod caller_path;
mod context;
mod elsewhere;

pub(crate) use admit::Destinations;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Destination, Name, Route};
use heatherrun_ports::http_reply::{Fault, Reply, plain};
use heatherrun_ports::http_server::Received;
use heatherrun_routing::crash_detector;
use heatherrun_routing::links::Phase;
use heatherrun_routing::plan::{CallerPath, Plan};
use heatherrun_routing::scatter::{CallToSend, Scatter, Verdict};
use heatherrun_routing::table::RouteTable;
use http::{Response, StatusCode, header};

use self::admit::Gate;
use crate::calls::{self, EndedCall, OutgoingRequest};
use crate::crash_tracker;
use crate::forward::Forwarded;
use crate::forward::message::{CHARGED, ForwardReply, ForwardedRequest, Terms};
use crate::log_throttle::LineKind;
use crate::quota::{Credit, charge_team};
use crate::reply;
use crate::rollout;
use crate::state::State;

/// Time for which calls that are no longer needed may still run. Closing a
/// connection costs its target a new one, but a call that takes longer than a
/// searcher's pause is not worth waiting for.
const UNNEEDED_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// `Retry-After` of requests refused because no configuration is known.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` of banned requests: the interval between trials of one.
const BANNED_RETRY_AFTER: Duration = crash_detector::TRIAL_INTERVAL;

/// Handles one request of a caller.
pub async fn handle_request(state: Arc<State>, received: Result<Received, Fault>) -> Reply {
    match received {
        Ok(received) => serve_request(state, received, None).await,
        Err(fault) => fault.reply(),
    }
}

/// Handles one request that another node forwards.
pub async fn handle_forwarded(state: Arc<State>, request: ForwardedRequest) -> ForwardReply {
    let terms = request.terms;
    let table = state.route_table.load();
    let is_current = table
        .as_ref()
        .is_some_and(|t| t.config().version >= terms.version);
    let is_outdated =
        table.as_ref().is_some_and(|t| t.requires_keys()) && state.is_outdated(state.clock.now());
    let is_able =
        is_current && !is_outdated && state.is_ready() && state.links.phase() == Phase::Up;
    let counted = state.forwarder.accept().filter(|_| is_able);
    if counted.is_none() {
        return ForwardReply::Unable;
    }
    let mut received = match request.into_received() {
        Ok(received) => received,
        Err(e) => {
            log::warn!(reason:% = e; "forward.malformed");
            return ForwardReply::Unable;
        }
    };
    let Some(body) = state.capacity.hold_body(received.body) else {
        return ForwardReply::Unable;
    };
    received.body = body;
    let reply = serve_request(Arc::clone(&state), received, Some(terms)).await;
    ForwardReply::new(reply)
}

/// Handles one request of a caller, under these terms if another node forwarded
/// it.
async fn serve_request(state: Arc<State>, received: Received, terms: Option<Terms>) -> Reply {
    let start = state.clock.now();
    let Some(table) = state.route_table.load_full() else {
        state.metrics.record_rejection("unready");
        return reply::not_run("no configuration received yet", UNREADY_RETRY_AFTER);
    };
    if received.body.len() > table.config().callers.body_bytes {
        return Fault::LongBody.reply();
    }
    let uri = &received.head.uri;
    let host = received.head.headers.get(header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).or_else(|| uri.host());
    let head = (state.site.parse_caller)(&received.head.headers);
    let id = head.id.unwrap_or_default();
    let Some(route) = table.route(host.unwrap_or_default(), uri.path()) else {
        let (host, path) = (host.unwrap_or_default(), uri.path());
        state.metrics.record_rejection("no-route");
        if state.log_throttle.allows(start, LineKind::RejectedRequest) {
            log::info!(id, host, path, version = table.config().version; "request.no-route");
        }
        return plain(StatusCode::NOT_FOUND, "no route for this host and path");
    };
    let (route, team) = match authenticate::authorize(&state, &table, route, &head, start) {
        Ok(authorized) => authorized,
        Err(refusal) => return *refusal,
    };
    let authorized = team;
    let team = team.map(|t| Arc::clone(&t.name));
    let fingerprint = || {
        let method = &received.head.method;
        crash_tracker::request_fingerprint(method, uri, team.as_deref(), &received.body)
    };
    let is_trial_node = |fingerprint| state.is_trial_node(fingerprint);
    if state
        .crash_tracker
        .is_refused(start, fingerprint, is_trial_node)
    {
        state.metrics.record_rejection("crashes-targets");
        let (route, fingerprint) = (&*route.name, fingerprint());
        if state.log_throttle.allows(start, LineKind::RejectedRequest) {
            log::info!(id, route, print = fingerprint; "request.banned");
        }
        return reply::not_run(
            "the request is banned because it crashes targets",
            BANNED_RETRY_AFTER,
        );
    }
    let is_charged = authenticate::is_charged(terms, &received.head.headers);
    let mut credit = Credit::default();
    if let Some(team) = authorized.filter(|_| !is_charged) {
        match charge_team(&state, team, id, start, route.objective).await {
            Ok(taken) => credit = taken,
            Err(refusal) => return *refusal,
        }
    }
    let request = ActiveRequest::new(state, &table, route, team, received, start, terms);
    let request = ActiveRequest { credit, ..request };
    request.run().await
}

/// How a request that was started here ended.
enum Ended {
    /// This node has decided on it.
    Here(Outcome),
    /// Another node replied.
    Elsewhere(Reply),
    /// It was refused before it started.
    Refused(Reply),
}

/// What a request has come to at this node.
struct Outcome {
    scatter: Scatter,
    verdict: Verdict,
    /// Replies by call index.
    replies: Vec<Option<Response<Bytes>>>,
}

/// A request while it is being served.
struct ActiveRequest {
    state: Arc<State>,
    table: Arc<RouteTable>,
    /// The route with the priority and the regions of the team.
    route: Route,
    /// Services that the request is sent to, one for each shard; a
    /// [`RequestShard`](heatherrun_routing::scatter::RequestShard) is an index into this list.
    shards: Vec<Name>,
    /// Maximum number of records in a merged answer; `None` when the request
    /// goes to a single service.
    max_records: Option<usize>,
    plan: Plan,
    path: CallerPath,
    /// Terms under which another node forwarded the request; none if its caller
    /// sent it to this node.
    terms: Option<Terms>,
    outgoing: Arc<OutgoingRequest>,
    /// What it took of its team's quota.
    credit: Credit,
    /// Admission to the destination; none where it is not active.
    gate: Option<Arc<Gate>>,
    start: Time,
}

impl ActiveRequest {
    fn new(
        state: Arc<State>,
        table: &Arc<RouteTable>,
        route: Route,
        team: Option<Name>,
        received: Received,
        start: Time,
        terms: Option<Terms>,
    ) -> Self {
        let (shards, max_records) = match &route.to {
            Destination::Service(service) => (vec![Arc::clone(service)], None),
            Destination::Split(parts) => {
                let part = table.choose_part(parts).map(|p| Arc::clone(&p.service));
                (part.into_iter().collect(), None)
            }
            Destination::Shards {
                services,
                max_records,
                ..
            } => (services.clone(), Some(*max_records)),
        };
        let head = (state.site.parse_caller)(&received.head.headers);
        let route_latency = state.route_stats.route(&route.name);
        let time_left = terms.map(|t| Duration::from_micros(t.time_left));
        let time_left = time_left.or(head.time_left);
        let path = match (terms, time_left) {
            (Some(terms), _) => terms.path(),
            (None, Some(time_left)) => {
                caller_path::observe(&received, &route, time_left, &route_latency)
            }
            (None, None) => CallerPath::default(),
        };
        let time_left = time_left.unwrap_or(route.timeout);
        let mut plan = Plan::new(&route, start, time_left, path, route_latency.answer_delay());
        if let Some(terms) = terms {
            plan.attempts = plan.attempts.min(terms.attempts);
            plan.is_repeat = terms.is_repeat;
        }
        let outgoing = OutgoingRequest {
            id: head.id.unwrap_or_default().to_owned(),
            deadline: plan.end,
            is_part: max_records.is_some(),
            route_latency,
            team,
            ..outgoing_request(&state, table.requires_keys(), received)
        };
        let gate = state.destinations.gate(table.requires_keys(), &shards);
        Self {
            gate,
            state,
            table: Arc::clone(table),
            route,
            shards,
            max_records,
            plan,
            path,
            terms,
            outgoing: Arc::new(outgoing),
            credit: Credit::default(),
            start,
        }
    }

    /// Serves the request here or, if this node has lost its links, at another
    /// one, and returns the reply to the caller.
    async fn run(self) -> Reply {
        let links = &self.state.links;
        if self.terms.is_none() && !links.admits(self.start) {
            let forwarded = tokio::select! {
                forwarded = self.forward(self.plan.attempts, false, false) => forwarded,
                () = self.stop_ended() => Forwarded::Lost,
            };
            match forwarded {
                Forwarded::Unable if links.phase() != Phase::Down => {}
                forwarded => return self.build_forwarded(forwarded),
            }
        }
        match self.run_admitted().await {
            Ended::Here(outcome) => self.build_reply(outcome),
            Ended::Elsewhere(reply) | Ended::Refused(reply) => reply,
        }
    }

    /// Sends calls, hedges and retries until there is a verdict, or until another
    /// node has replied.
    async fn run_here(&self) -> Ended {
        let state = &self.state;
        let now = state.clock.now();
        if self.terms.is_none_or(|t| !t.is_counted) {
            state.route_stats.record_requests(
                now,
                self.shards.iter(),
                &state.deployment.load().extra_call_limit,
            );
        }
        let mut scatter = Scatter::new(self.plan.clone(), self.shards.len());
        let mut calls = FuturesUnordered::new();
        // The request at another node; at most one.
        let mut forwards = FuturesUnordered::new();
        let mut was_lost = false;
        // Replies by call index.
        let mut replies: Vec<Option<Response<Bytes>>> = Vec::with_capacity(self.shards.len());
        let mut wakes = state.wakes();
        let mut link_changes = state.link_changes();
        let mut stop_end = state.stop_end();
        if let Some(end) = *stop_end.borrow_and_update() {
            scatter.limit_deadline(end);
        }
        let mut calls_to_send = self.with_context(|cx| scatter.start(now, cx));
        let verdict = loop {
            for call_to_send in calls_to_send.drain(..) {
                replies.push(None);
                calls.push(self.start_call(call_to_send));
            }
            let now = state.clock.now();
            if let Some(verdict) = scatter.verdict(now) {
                if let Some(cause) = verdict.cause() {
                    forwards.extend(self.forward_started(&mut scatter, Some(cause)));
                }
                let is_waiting = !forwards.is_empty() && now < scatter.end();
                if verdict.cause().is_none() || !is_waiting {
                    break verdict;
                }
            }
            let wake_at = scatter.wake_at(now);
            tokio::select! {
                biased;
                Some(EndedCall { call, end, reply }) = calls.next() => {
                    replies[call] = reply;
                    let now = state.clock.now();
                    calls_to_send = self.with_context(|cx| scatter.call_ended(now, call, end, cx));
                }
                Ok(()) = stop_end.changed() => {
                    if let Some(end) = *stop_end.borrow_and_update() {
                        scatter.limit_deadline(end);
                    }
                }
                Some(forwarded) = forwards.next() => match forwarded {
                    Forwarded::Reply(reply) => return Ended::Elsewhere(reply),
                    Forwarded::Lost => was_lost = true,
                    Forwarded::Unable => {}
                },
                Ok(()) = link_changes.changed() => {
                    forwards.extend(self.forward_started(&mut scatter, None));
                }
                Ok(()) = wakes.changed() => {
                    let now = state.clock.now();
                    calls_to_send = self.with_context(|cx| scatter.tick(now, cx));
                }
                () = state.clock.sleep_until(wake_at) => {
                    let now = state.clock.now();
                    calls_to_send = self.with_context(|cx| scatter.tick(now, cx));
                }
            }
        };
        if !calls.is_empty() {
            // The reply to a call that tries a silent shard may be slow.
            let time_left = scatter.end().time_left(state.clock.now());
            let timeout = if scatter.is_trying_silent() {
                time_left.max(UNNEEDED_CALL_TIMEOUT)
            } else {
                UNNEEDED_CALL_TIMEOUT
            };
            tokio::spawn(async move {
                let unneeded = calls.for_each(|_| std::future::ready(()));
                let _ = tokio::time::timeout(timeout, unneeded).await;
            });
        }
        // Another node may run a request that is still there.
        was_lost |= !forwards.is_empty();
        drop(forwards);
        Ended::Here(Outcome {
            verdict: if was_lost { verdict.or_lost() } else { verdict },
            scatter,
            replies,
        })
    }

    fn start_call(
        &self,
        call_to_send: CallToSend,
    ) -> impl Future<Output = EndedCall> + std::marker::Send + 'static {
        let target = &call_to_send.target;
        let now = self.state.clock.now();
        if let Some(pace) = self.pace(now, target) {
            target.pacer.record_call(now, pace);
        }
        let max_connections = usize::from(self.max_calls(target));
        let observer = rollout::observe(&self.state, &self.route.name, target);
        let (state, target) = (Arc::clone(&self.state), Arc::clone(target));
        let outgoing = Arc::clone(&self.outgoing);
        let call = calls::send_call(Arc::clone(&state), outgoing, call_to_send, max_connections);
        let call = admit::observe_call(state, self.gate.clone(), target, call);
        async move {
            let ended = call.await;
            if let Some(observer) = observer {
                observer.record_end(&ended);
            }
            ended
        }
    }
}

/// Builds the request for the targets from a caller's request, without the
/// headers that concern only the caller's connection or this tier. The id, the
/// team, the deadline and the fields about the route are left for the caller to set.
fn outgoing_request(state: &State, requires_keys: bool, received: Received) -> OutgoingRequest {
    let mut headers = received.head.headers;
    headers.remove(CHARGED);
    let credential = requires_keys
        .then(|| authenticate::credential(state.site, &headers))
        .flatten();
    reply::strip_connection_headers(&mut headers);
    let tier_headers = headers
        .keys()
        .filter(|n| (state.site.is_reserved)(n.as_str(), requires_keys));
    for name in tier_headers.cloned().collect::<Vec<_>>() {
        headers.remove(name);
    }
    let uri = received.head.uri;
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    OutgoingRequest {
        id: String::new(),
        method: received.head.method,
        uri: path.parse().unwrap_or_default(),
        headers,
        body: received.body,
        team: None,
        credential,
        is_part: false,
        deadline: Time::default(),
        route_latency: Arc::default(),
    }
}
