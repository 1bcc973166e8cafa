//! One call to one target, from its send to the end that the decisions see.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use heatherrun_kernel::Time;
use heatherrun_kernel::time::micros;
use heatherrun_ports::http_client::{ExchangeError, Route, Whose};
use heatherrun_routing::learned::RouteLatency;
use heatherrun_routing::scatter::{CallEnd, CallIx, Send};
use heatherrun_routing::target::Target;
use http::{HeaderMap, Method, Request, Response, Uri};

use crate::crash_tracker;
use crate::log_throttle::Kind;
use crate::metrics::Called;
use crate::state::State;

/// Longest reply of a target, in bytes.
const REPLY_BYTES: usize = 8 << 20;

/// What is sent to each target of one request.
#[derive(Debug)]
pub struct Outgoing {
    /// Name of the request.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the reply is one of several parts.
    pub is_part: bool,
    /// Point at which the caller gives up.
    pub end: Time,
    /// Latencies of the route.
    pub latency: Arc<RouteLatency>,
}

impl Outgoing {
    /// Fingerprint of the request.
    #[must_use]
    pub fn print(&self) -> u64 {
        crash_tracker::print(&self.method, &self.uri, &self.body)
    }
}

/// How a call ended, and what came back.
#[derive(Debug)]
pub struct Ended {
    /// Number.
    pub call: CallIx,
    /// End.
    pub end: CallEnd,
    /// Reply, also one of a failure.
    pub reply: Option<Response<Bytes>>,
}

/// Counts a call in flight until it ends or is dropped.
struct Flight {
    state: Arc<State>,
    target: Arc<Target>,
    sent: Time,
    ended: bool,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.target.ended();
        if !self.ended {
            let now = self.state.clock.now();
            self.target.lower_bound(now, now.since(self.sent));
        }
    }
}

/// Sends one call and waits for its end. Dropping it closes its connection.
pub async fn call(state: Arc<State>, out: Arc<Outgoing>, send: Send, connections: usize) -> Ended {
    let begun = state.clock.now();
    let mut flight = Flight {
        state: Arc::clone(&state),
        target: Arc::clone(&send.target),
        sent: begun,
        ended: false,
    };
    let left = out.end.left(begun);
    let route = Route {
        address: send.target.entry.address,
        connections,
        reply: REPLY_BYTES,
        left,
    };
    let request = request(&state, &out, &send.target, left);
    let whose = |reply: &Response<Bytes>| {
        let head = (state.site.reply)(reply.status(), reply.headers());
        if head.id.is_none_or(|id| id == out.id) {
            Whose::Own
        } else {
            Whose::Earlier
        }
    };
    let exchanged = state.targets.exchange(route, request, whose).await;
    flight.ended = true;
    let now = state.clock.now();
    let (end, reply) = match exchanged {
        Ok(reply) => {
            let end = judge(&state, &out, &send.target, &reply, now.since(begun));
            (end, Some(reply))
        }
        Err(error) => {
            let end = failed(&send.target, now, error);
            note_end(&state, &out, &send.target, now, error);
            (end, None)
        }
    };
    let took = now.since(begun);
    let entry = &send.target.entry;
    state.metrics.called(&Called {
        service: &entry.service,
        domain: &entry.domain,
        end,
        reason: send.reason,
        took,
    });
    if end != CallEnd::Part && state.throttle.allows(now, Kind::Call) {
        log_end(&out, &send, end, reply.as_ref(), took);
    }
    Ended {
        call: send.call,
        end,
        reply,
    }
}

fn request(state: &State, out: &Outgoing, target: &Target, left: Duration) -> Request<Bytes> {
    let mut request = Request::new(out.body.clone());
    *request.method_mut() = out.method.clone();
    *request.uri_mut() = out.uri.clone();
    *request.headers_mut() = out.headers.clone();
    (state.site.call)(request.headers_mut(), left, &target.entry.id);
    request
}

/// What a whole reply means.
fn judge(
    state: &State,
    out: &Outgoing,
    target: &Target,
    reply: &Response<Bytes>,
    took: Duration,
) -> CallEnd {
    let now = state.clock.now();
    let head = (state.site.reply)(reply.status(), reply.headers());
    if head.moved {
        target.set_gone();
        return CallEnd::NotRun;
    }
    if head.not_run {
        target.refused(now, head.busy);
        return CallEnd::NotRun;
    }
    let status = reply.status();
    if status.is_server_error() {
        target.answered_failure(now, took, head.busy);
        return CallEnd::Failed;
    }
    let encoded = reply.headers().contains_key(http::header::CONTENT_ENCODING);
    let unsigned = status.is_success() && (head.signature.is_none() || encoded);
    if unsigned || (out.is_part && !status.is_success()) {
        target.answered_failure(now, took, head.busy);
        return CallEnd::Failed;
    }
    target.replied(now, took, head.busy);
    out.latency.note(target.distance, took);
    CallEnd::Part
}

fn failed(target: &Target, now: Time, error: ExchangeError) -> CallEnd {
    match error {
        // No room or no time here says nothing of the target.
        ExchangeError::Full | ExchangeError::Expired => CallEnd::NotSent,
        ExchangeError::NotSent | ExchangeError::Refused => {
            target.failed(now);
            CallEnd::NotSent
        }
        ExchangeError::Lost | ExchangeError::TimedOut | ExchangeError::BadReply => {
            target.failed(now);
            CallEnd::Lost
        }
    }
}

/// Notes what the error says of a request that may crash its targets.
fn note_end(state: &State, out: &Outgoing, target: &Target, now: Time, error: ExchangeError) {
    match error {
        ExchangeError::Lost => state.crashes.lost(now, out.print(), target),
        ExchangeError::Refused => state.crashes.ended(now, target),
        _ => {}
    }
}

fn log_end(
    out: &Outgoing,
    send: &Send,
    end: CallEnd,
    reply: Option<&Response<Bytes>>,
    took: Duration,
) {
    let status = reply.map_or(0, |r| r.status().as_u16());
    let entry = &send.target.entry;
    log::info!(
        id = out.id.as_str(), target = &*entry.id, service = &*entry.service,
        reason = send.reason.name(), end = end.name(), status, took_us = micros(took);
        "call.failed"
    );
}
