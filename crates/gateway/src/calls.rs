//! Sends one call to one target and classifies how it ended.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_kernel::site::StatedLimit;
use heatherrun_kernel::time::micros;
use heatherrun_ports::http_client::{ExchangeError, Route, Whose};
use heatherrun_routing::route_stats::RouteLatency;
use heatherrun_routing::scatter::{CallEnd, CallIx, CallToSend};
use heatherrun_routing::target::{LimitChange, Target};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri};
use xxhash_rust::xxh3::xxh3_64;

use crate::crash_tracker;
use crate::log_throttle::LineKind;
use crate::metrics::CallSample;
use crate::state::State;
use crate::target_ramp;

/// Maximum size of a target's reply.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// Maximum time from the decision to send a call until it is sent. A target may
/// be told half a second more than is left.
const MAX_SEND_DELAY: Duration = Duration::from_millis(400);

/// A caller's request in the form that is sent to each of its targets.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Request id given by the caller; empty without one.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub uri: Uri,
    /// Headers forwarded to the target.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Team of the caller; none without a known key.
    pub team: Option<Name>,
    /// Header with the caller's credential, for another node that serves the
    /// request; no target receives it.
    pub credential: Option<(HeaderName, HeaderValue)>,
    /// Whether the reply is merged with the replies of other shards.
    pub is_part: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Latencies measured on the route.
    pub route_latency: Arc<RouteLatency>,
}

impl OutgoingRequest {
    /// Fingerprint of the request.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        crash_tracker::request_fingerprint(
            &self.method,
            &self.uri,
            self.team.as_deref(),
            &self.body,
        )
    }

    /// Hash of the request id; zero without one.
    fn id_hash(&self) -> u64 {
        if self.id.is_empty() {
            0
        } else {
            xxh3_64(self.id.as_bytes())
        }
    }
}

/// A call that ended, with its outcome and reply.
#[derive(Debug)]
pub struct EndedCall {
    /// Index of the call within its request.
    pub call: CallIx,
    /// How the call ended.
    pub end: CallEnd,
    /// The target's reply, including an error reply; `None` when no reply
    /// arrived.
    pub reply: Option<Response<Bytes>>,
}

/// Decrements the target's count of calls in flight when the call ends or is
/// dropped.
struct InFlightGuard {
    state: Arc<State>,
    target: Arc<Target>,
    sent_at: Time,
    ended: bool,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.target.record_call_end();
        if !self.ended {
            let now = self.state.clock.now();
            self.target.record_min_latency(now, now.since(self.sent_at));
        }
    }
}

/// Sends one call and waits until it ends. Dropping the future closes the
/// connection of the call.
pub async fn send_call(
    state: Arc<State>,
    outgoing: Arc<OutgoingRequest>,
    call_to_send: CallToSend,
    max_connections: usize,
) -> EndedCall {
    let start = state.clock.now();
    let mut guard = InFlightGuard {
        state: Arc::clone(&state),
        target: Arc::clone(&call_to_send.target),
        sent_at: start,
        ended: false,
    };
    let time_left = outgoing.deadline.time_left(start);
    let route = Route {
        address: call_to_send.target.entry.address,
        connections: max_connections,
        reply: MAX_REPLY_BYTES,
        left: time_left,
        id_hash: outgoing.id_hash(),
        keeps: state.shares.load().is_serving(),
    };
    let request = build_request(&state, &outgoing, &call_to_send.target, time_left);
    let match_reply = |reply: &Response<Bytes>| {
        let head = (state.site.parse_reply)(reply.status(), reply.headers());
        match head.id {
            None => Whose::Unnamed,
            Some(id) if id == outgoing.id => Whose::Own,
            Some(_) => Whose::Earlier,
        }
    };
    // Connecting takes up to a second, in which the target may have begun to
    // leave or asked for quiet, or its domain may have been taken out. The time
    // left that the request names must not be too long either.
    let may_send = || {
        let (target, now) = (&call_to_send.target, state.clock.now());
        now.since(start) < MAX_SEND_DELAY
            && now < outgoing.deadline
            && target.accepts_calls()
            && target.quiet_until(now).is_none()
            && !state.out_domains.load().contains(&target.entry.domain)
            && !state.rollouts.is_refused(now, target)
    };
    let result = state
        .target_client
        .exchange_if(route, request, may_send, match_reply)
        .await;
    guard.ended = true;
    let now = state.clock.now();
    let (end, reply) = match result {
        Ok(reply) => {
            state.record_reply(now);
            let end = classify_reply(
                &state,
                &outgoing,
                &call_to_send.target,
                &reply,
                now.since(start),
            );
            let usual = u32::try_from(max_connections).unwrap_or(u32::MAX);
            target_ramp::record_answer(&state, &call_to_send.target, start, end, usual);
            (end, Some(reply))
        }
        Err(error) => {
            let end = record_failure(&state, &call_to_send.target, now, error);
            record_possible_crash(&state, &outgoing, &call_to_send.target, now, error);
            (end, None)
        }
    };
    let elapsed = now.since(start);
    if call_to_send.target.limit_per_sec().is_some() {
        let service = &call_to_send.target.entry.service;
        state
            .metrics
            .record_limited_call(service, call_to_send.reason);
    }
    let entry = &call_to_send.target.entry;
    state.metrics.record_call(&CallSample {
        service: &entry.service,
        domain: &entry.domain,
        end,
        reason: call_to_send.reason,
        elapsed,
    });
    if end != CallEnd::Part && state.log_throttle.allows(now, LineKind::FailedCall) {
        log_failed_call(&outgoing, &call_to_send, end, reply.as_ref(), elapsed);
    }
    EndedCall {
        call: call_to_send.call,
        end,
        reply,
    }
}

fn build_request(
    state: &State,
    outgoing: &OutgoingRequest,
    target: &Target,
    time_left: Duration,
) -> Request<Bytes> {
    let mut request = Request::new(outgoing.body.clone());
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let team = outgoing.team.as_deref();
    (state.site.write_call)(request.headers_mut(), time_left, &target.entry.id, team);
    request
}

/// Classifies a complete reply and records it on the target.
fn classify_reply(
    state: &State,
    outgoing: &OutgoingRequest,
    target: &Target,
    reply: &Response<Bytes>,
    elapsed: Duration,
) -> CallEnd {
    let now = state.clock.now();
    let head = (state.site.parse_reply)(reply.status(), reply.headers());
    if head.misdirected {
        target.set_gone();
        return CallEnd::NotRun;
    }
    if head.is_leaving && target.record_leaving() {
        let (id, service) = (&*target.entry.id, &*target.entry.service);
        log::info!(target = id, service; "target.leaving");
    }
    if let Some(wanted) = head.quiet_for {
        target.record_quiet(now, wanted);
        if state.log_throttle.allows(now, LineKind::FailedCall) {
            let (id, service) = (&*target.entry.id, &*target.entry.service);
            log::info!(id = outgoing.id.as_str(), target = id, service, wanted_us = micros(wanted); "target.quiet");
        }
    }
    record_limit(state, target, head.limit, now - elapsed);
    if let Some(load) = &head.load {
        target.pace.record(now, load);
    }
    let call_count = head.load.map(|load| load.call_count());
    if head.not_run {
        target.record_refusal(now, call_count);
        return CallEnd::NotRun;
    }
    let status = reply.status();
    if status.is_server_error() {
        target.record_failed_reply(now, elapsed, call_count);
        return CallEnd::Failed;
    }
    let encoded = reply.headers().contains_key(http::header::CONTENT_ENCODING);
    let unsigned = status.is_success() && (head.signature.is_none() || encoded);
    if unsigned || (outgoing.is_part && !status.is_success()) {
        target.record_failed_reply(now, elapsed, call_count);
        return CallEnd::Failed;
    }
    if head.load.is_none() {
        target.pace.record_none();
    }
    target.record_reply(now, elapsed, call_count);
    outgoing.route_latency.record(target.distance, elapsed);
    CallEnd::Part
}

/// Records what a reply to a call sent at `sent_at` says of the target's limit.
fn record_limit(state: &State, target: &Target, stated: StatedLimit, sent_at: Time) {
    let change = target.record_limit(sent_at, stated);
    let is_invalid = stated == StatedLimit::Invalid;
    if (change == LimitChange::None && !is_invalid)
        || !state
            .log_throttle
            .allows(state.clock.now(), LineKind::TargetLimit)
    {
        return;
    }
    let (id, service) = (&*target.entry.id, &*target.entry.service);
    match target.limit_per_sec() {
        _ if is_invalid => log::warn!(target = id, service; "target.limit-invalid"),
        Some(per_sec) => log::info!(target = id, service, per_sec; "target.limited"),
        None => log::info!(target = id, service; "target.limit-ended"),
    }
}

/// Maps a failed exchange to the end of its call, and records a failure on
/// the target if the target may have caused it.
fn record_failure(state: &State, target: &Target, now: Time, error: ExchangeError) -> CallEnd {
    match error {
        // The connection limit and the deadline are this node's own and say
        // nothing about the target.
        ExchangeError::Full | ExchangeError::Expired | ExchangeError::Withdrawn => CallEnd::NotSent,
        ExchangeError::NotSent | ExchangeError::Refused => {
            target.record_failure(now);
            state.record_silence(now, target);
            CallEnd::NotSent
        }
        ExchangeError::NoMemory => CallEnd::Lost,
        ExchangeError::Lost | ExchangeError::TimedOut => {
            target.record_failure(now);
            state.record_silence(now, target);
            CallEnd::Lost
        }
        ExchangeError::BadReply => {
            target.record_failure(now);
            CallEnd::Lost
        }
    }
}

/// Reports errors to the crash tracker that may mean that the target crashed.
fn record_possible_crash(
    state: &State,
    outgoing: &OutgoingRequest,
    target: &Arc<Target>,
    now: Time,
    error: ExchangeError,
) {
    match error {
        ExchangeError::Lost => {
            state
                .crash_tracker
                .record_lost_call(now, outgoing.fingerprint(), target);
        }
        ExchangeError::Refused => state.crash_tracker.record_refusal(target),
        _ => {}
    }
}

fn log_failed_call(
    outgoing: &OutgoingRequest,
    call_to_send: &CallToSend,
    end: CallEnd,
    reply: Option<&Response<Bytes>>,
    elapsed: Duration,
) {
    let status = reply.map_or(0, |r| r.status().as_u16());
    let entry = &call_to_send.target.entry;
    log::info!(
        id = outgoing.id.as_str(), target = &*entry.id, service = &*entry.service,
        reason = call_to_send.reason.name(), end = end.name(), status, took_us = micros(elapsed);
        "call.failed"
    );
}
