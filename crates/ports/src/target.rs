//! Targets over HTTP: pooled connections, a deadline and an identifier on
//! each call, cancellation.

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

/// Longest reply of a target, in bytes.
const REPLY_BYTES: usize = 4 << 20;

/// Headers of a call, with room for those the library adds.
const HEADERS: usize = 10;

/// Connections kept free for cancellations.
const SPARE: usize = 1;

/// Longest wait for a target's report.
const REPORT_TIME: Duration = Duration::from_millis(200);

/// Longest wait for the answer to a cancellation.
const CANCEL_TIME: Duration = Duration::from_millis(200);

/// The port to targets over HTTP.
#[must_use]
pub fn targets() -> Targets {
    targets_over(Client::default())
}

/// The port to targets over HTTP that keeps no connection; for comparison.
#[must_use]
pub fn unkept_targets() -> Targets {
    targets_over(Client::unkept())
}

fn targets_over(client: Client) -> Targets {
    let client = Arc::new(client);
    let (canceller, reader) = (Arc::clone(&client), Arc::clone(&client));
    Targets {
        call: async_fn(move |(endpoint, call)| {
            let client = Arc::clone(&client);
            async move { send(&client, endpoint, call).await }
        }),
        cancel: async_fn(move |(endpoint, target, id)| {
            let client = Arc::clone(&canceller);
            async move { cancel(&client, endpoint, target, id).await }
        }),
        report: async_fn(move |(endpoint, _)| {
            let client = Arc::clone(&reader);
            async move { report(&client, endpoint).await }
        }),
    }
}

async fn send(client: &Client, endpoint: Endpoint, call: TargetCall) -> CallResult {
    if call.left.is_zero() {
        return Err(CallError::not_run(Failure::Expired));
    }
    let id = name(call.id);
    let request = encode(&call, &id);
    let route = Route {
        address: endpoint.address,
        connections: share(endpoint).saturating_sub(SPARE).max(1),
        reply: REPLY_BYTES,
        left: call.left,
    };
    let sent = client.exchange(route, request, |reply| repeats(reply, &id));
    match sent.await {
        Ok(reply) => decode(&reply),
        Err(ExchangeError::NotSent | ExchangeError::Refused | ExchangeError::Full) => {
            Err(CallError::not_run(Failure::NoConnection))
        }
        Err(ExchangeError::Expired) => Err(CallError::not_run(Failure::Expired)),
        Err(ExchangeError::Lost) => Err(CallError::unknown(Failure::ConnectionLost)),
        Err(ExchangeError::TimedOut) => Err(CallError::unknown(Failure::TimedOut)),
        Err(ExchangeError::BadReply) => Err(CallError::unknown(Failure::BadReply)),
    }
}

/// Connections that this node may open: half of what the target accepts, so
/// that a successor's fit beside them during a take-over.
fn share(endpoint: Endpoint) -> usize {
    usize::from(endpoint.connections / 2).max(1)
}

/// Identifier of a call as a header's value.
fn name(id: CallId) -> HeaderValue {
    let text = HeaderValue::try_from(id.to_string());
    text.unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// A reply repeats the identifier of its call.
fn repeats(reply: &Response<Bytes>, id: &HeaderValue) -> Whose {
    if reply.headers().get(&wire::CALL) == Some(id) {
        Whose::Own
    } else {
        Whose::Crossed
    }
}

/// Request to a target's path with the identifier of a call.
fn post(path: &'static str, id: &HeaderValue, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    let mut headers = HeaderMap::with_capacity(HEADERS);
    headers.insert(HOST, HeaderValue::from_static("target"));
    headers.insert(wire::CALL.clone(), id.clone());
    *request.headers_mut() = headers;
    request
}

fn encode(call: &TargetCall, id: &HeaderValue) -> Request<Bytes> {
    let kind = match call.kind {
        CallKind::Search => "search",
        CallKind::Repeatable => "repeatable",
        CallKind::Once => "once",
    };
    let mut request = post("/call", id, Bytes::copy_from_slice(&call.body));
    let headers = request.headers_mut();
    headers.insert(wire::KIND.clone(), HeaderValue::from_static(kind));
    headers.insert(wire::SERVICE.clone(), call.service.0.into());
    headers.insert(wire::SHARD.clone(), call.shard.0.into());
    headers.insert(wire::SNAPSHOT.clone(), call.snapshot.0.into());
    headers.insert(wire::MAP.clone(), call.map.0.into());
    headers.insert(wire::EPOCH.clone(), call.epoch.0.into());
    headers.insert(wire::LEFT.clone(), micros(call.left).into());
    request
}

fn decode(reply: &Response<Bytes>) -> CallResult {
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

/// Reads the reason of a refusal from its header.
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

/// Names the reason of a refusal for its header.
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

async fn cancel(client: &Client, endpoint: Endpoint, _target: TargetId, id: CallId) {
    let request = post("/cancel", &name(id), Bytes::new());
    let route = Route {
        address: endpoint.address,
        connections: share(endpoint),
        reply: REPLY_BYTES,
        left: CANCEL_TIME,
    };
    let _ = client.exchange(route, request, |_| Whose::Own).await;
}

async fn report(client: &Client, endpoint: Endpoint) -> Option<TargetReport> {
    let request = post("/report", &HeaderValue::from_static("0"), Bytes::new());
    let route = Route {
        address: endpoint.address,
        connections: share(endpoint),
        reply: REPLY_BYTES,
        left: REPORT_TIME,
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
