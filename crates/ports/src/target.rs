//! Client of targets over HTTP, with pooled connections and cancellation. Each
//! call carries a deadline and an identifier.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use heatherrun_kernel::message::{
    CallError, CallKind, CallResult, Failure, TargetCall, TargetReport,
};
use heatherrun_kernel::port::{Endpoint, Targets, async_fn};
use heatherrun_kernel::registry::{Make, Plugin, inventory};
use heatherrun_kernel::time::micros;
use heatherrun_kernel::{CallId, TargetId};
use http::header::{HOST, HeaderMap, HeaderValue};
use http::{Method, Request, Response, StatusCode, Uri};

use crate::http_client::{Client, ExchangeError, Route, Whose};
use crate::wire;

/// Maximum size of a target's reply, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Initial header capacity of a call, with spare capacity for headers that the
/// library adds.
const HEADER_CAPACITY: usize = 10;

/// Connections reserved for cancellations and reports.
const RESERVED_CONNECTIONS: usize = 1;

/// Maximum wait for a target's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum wait for the reply to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);

/// Port to targets over HTTP.
#[must_use]
pub fn targets() -> Targets {
    targets_over(Client::default())
}

/// Port to targets over HTTP that opens a connection for each call; the
/// benchmarks compare it with the pooled one.
#[must_use]
pub fn unkept_targets() -> Targets {
    targets_over(Client::unkept())
}

fn targets_over(client: Client) -> Targets {
    let client = Arc::new(client);
    let (cancel_client, report_client) = (Arc::clone(&client), Arc::clone(&client));
    Targets {
        call: async_fn(move |(endpoint, call)| {
            let client = Arc::clone(&client);
            async move { send_call(&client, endpoint, call).await }
        }),
        cancel: async_fn(move |(endpoint, target, id)| {
            let client = Arc::clone(&cancel_client);
            async move { cancel(&client, endpoint, target, id).await }
        }),
        report: async_fn(move |(endpoint, _)| {
            let client = Arc::clone(&report_client);
            async move { report(&client, endpoint).await }
        }),
    }
}

/// Sends one call and maps the result, including whether the call may have run.
async fn send_call(client: &Client, endpoint: Endpoint, call: TargetCall) -> CallResult {
    if call.time_left.is_zero() {
        return Err(CallError::not_run(Failure::Expired));
    }
    let id = call_id_header(call.id);
    let request = encode_call(&call, &id);
    let route = Route {
        address: endpoint.address,
        connections: connection_limit(endpoint)
            .saturating_sub(RESERVED_CONNECTIONS)
            .max(1),
        reply: MAX_REPLY_BYTES,
        left: call.time_left,
        id_hash: 0,
        keeps: true,
    };
    let sending = client.exchange(route, request, |reply| classify_reply(reply, &id));
    match sending.await {
        Ok(reply) => decode_call_reply(&reply),
        Err(
            ExchangeError::NotSent
            | ExchangeError::Refused
            | ExchangeError::Full
            | ExchangeError::Withdrawn,
        ) => Err(CallError::not_run(Failure::NoConnection)),
        Err(ExchangeError::Expired) => Err(CallError::not_run(Failure::Expired)),
        Err(ExchangeError::Lost) => Err(CallError::unknown(Failure::ConnectionLost)),
        Err(ExchangeError::TimedOut) => Err(CallError::unknown(Failure::TimedOut)),
        Err(ExchangeError::BadReply | ExchangeError::NoMemory) => {
            Err(CallError::unknown(Failure::BadReply))
        }
    }
}

/// Maximum number of connections that this node opens to a target: half of what
/// the target accepts, which leaves the other half to the next owner during a
/// change of ownership.
fn connection_limit(endpoint: Endpoint) -> usize {
    usize::from(endpoint.connections / 2).max(1)
}

/// Identifier of a call as a header value.
fn call_id_header(id: CallId) -> HeaderValue {
    let value = HeaderValue::try_from(id.to_string());
    value.unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Attributes a reply to the call with `id` if it repeats this identifier.
fn classify_reply(reply: &Response<Bytes>, id: &HeaderValue) -> Whose {
    if reply.headers().get(&wire::CALL) == Some(id) {
        Whose::Own
    } else {
        Whose::Crossed
    }
}

/// Builds a POST request to a target with the identifier of a call.
fn post_request(path: &'static str, id: &HeaderValue, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    let mut headers = HeaderMap::with_capacity(HEADER_CAPACITY);
    headers.insert(HOST, HeaderValue::from_static("target"));
    headers.insert(wire::CALL.clone(), id.clone());
    *request.headers_mut() = headers;
    request
}

/// Encodes a call, with its metadata in headers and its query as the body.
fn encode_call(call: &TargetCall, id: &HeaderValue) -> Request<Bytes> {
    let kind = match call.kind {
        CallKind::Search => "search",
        CallKind::Repeatable => "repeatable",
        CallKind::Once => "once",
    };
    let mut request = post_request("/call", id, Bytes::copy_from_slice(&call.body));
    let headers = request.headers_mut();
    headers.insert(wire::KIND.clone(), HeaderValue::from_static(kind));
    headers.insert(wire::SERVICE.clone(), call.service.0.into());
    headers.insert(wire::SHARD.clone(), call.shard.0.into());
    headers.insert(wire::SNAPSHOT.clone(), call.snapshot.0.into());
    headers.insert(wire::MAP.clone(), call.map.0.into());
    headers.insert(wire::EPOCH.clone(), call.epoch.0.into());
    headers.insert(wire::LEFT.clone(), micros(call.time_left).into());
    request
}

/// Decodes a reply or the failure that it reports. A cancelled call may already
/// have run; the other refusals come before a call runs.
fn decode_call_reply(reply: &Response<Bytes>) -> CallResult {
    if reply.status() == StatusCode::OK {
        return wire::decode_reply(reply.body()).map_err(|_| CallError::unknown(Failure::BadReply));
    }
    let reason = reply.headers().get(&wire::NOT_RUN);
    match reason.and_then(|v| parse_failure(v.to_str().ok()?)) {
        Some(Failure::Cancelled) => Err(CallError::unknown(Failure::Cancelled)),
        Some(failure) => Err(CallError::not_run(failure)),
        None => Err(CallError::unknown(Failure::BadReply)),
    }
}

/// Parses the value of the `heatherrun-not-run` header.
fn parse_failure(name: &str) -> Option<Failure> {
    Some(match name {
        "busy" => Failure::Busy,
        "draining" => Failure::Draining,
        "stale-epoch" => Failure::StaleEpoch,
        "snapshot-gone" => Failure::SnapshotGone,
        "map-changed" => Failure::MapChanged,
        "expired" => Failure::Expired,
        "cancelled" => Failure::Cancelled,
        _ => return None,
    })
}

/// Value of the `heatherrun-not-run` header for a failure.
#[must_use]
pub fn name_failure(failure: Failure) -> &'static str {
    match failure {
        Failure::Busy => "busy",
        Failure::Draining => "draining",
        Failure::StaleEpoch => "stale-epoch",
        Failure::SnapshotGone => "snapshot-gone",
        Failure::MapChanged => "map-changed",
        Failure::Expired => "expired",
        Failure::Cancelled => "cancelled",
        _ => "other",
    }
}

/// Asks a target to cancel a call and ignores the outcome.
async fn cancel(client: &Client, endpoint: Endpoint, _target: TargetId, id: CallId) {
    let request = post_request("/cancel", &call_id_header(id), Bytes::new());
    let route = Route {
        address: endpoint.address,
        connections: connection_limit(endpoint),
        reply: MAX_REPLY_BYTES,
        left: CANCEL_TIMEOUT,
        id_hash: 0,
        keeps: true,
    };
    let _ = client.exchange(route, request, |_| Whose::Own).await;
}

/// Fetches a target's report; `None` when it is unavailable or malformed.
async fn report(client: &Client, endpoint: Endpoint) -> Option<TargetReport> {
    let request = post_request("/report", &HeaderValue::from_static("0"), Bytes::new());
    let route = Route {
        address: endpoint.address,
        connections: connection_limit(endpoint),
        reply: MAX_REPLY_BYTES,
        left: REPORT_TIMEOUT,
        id_hash: 0,
        keeps: true,
    };
    let reply = client.exchange(route, request, |_| Whose::Own).await.ok()?;
    serde_json::from_slice(reply.body()).ok()
}

inventory::submit! {
    Plugin {
        name: "http",
        about: "calls to targets over HTTP, by pooled connections",
        make: Make::Targets(targets),
    }
}
