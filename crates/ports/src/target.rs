//! Targets over HTTP: pooled connections, a deadline and an identifier on
//! each call, cancellation.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use heatherrun_kernel::message::{CallError, CallKind, CallResult, Failure, TargetCall};
use heatherrun_kernel::port::{Endpoint, Targets, async_fn};
use heatherrun_kernel::time::micros;
use heatherrun_kernel::{CallId, TargetId};
use http::{Request, Response, StatusCode};
use http_body_util::Full;

use crate::http_client::{Client, ExchangeError, Route};
use crate::wire;

/// Longest reply of a target, in bytes.
const REPLY_BYTES: usize = 4 << 20;

/// Connections kept free for cancellations.
const SPARE: usize = 1;

/// Longest wait for the answer to a cancellation.
const CANCEL_TIME: Duration = Duration::from_millis(200);

/// The port to targets over HTTP.
#[must_use]
pub fn targets() -> Targets {
    let client = Arc::new(Client::default());
    let canceller = Arc::clone(&client);
    Targets {
        call: async_fn(move |(endpoint, call)| {
            let client = Arc::clone(&client);
            async move { send(&client, endpoint, call).await }
        }),
        cancel: async_fn(move |(endpoint, target, id)| {
            let client = Arc::clone(&canceller);
            async move { cancel(&client, endpoint, target, id).await }
        }),
    }
}

async fn send(client: &Client, endpoint: Endpoint, call: TargetCall) -> CallResult {
    if call.left.is_zero() {
        return Err(CallError::not_run(Failure::Expired));
    }
    let id = call.id.to_string();
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
        Err(ExchangeError::NotSent) => Err(CallError::not_run(Failure::NoConnection)),
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

/// Whether a reply repeats the identifier of the call.
fn repeats(reply: &Response<Bytes>, id: &str) -> bool {
    let named = reply.headers().get(wire::CALL);
    named.is_some_and(|value| value.as_bytes() == id.as_bytes())
}

fn encode(call: &TargetCall, id: &str) -> Request<Full<Bytes>> {
    let kind = match call.kind {
        CallKind::Search => "search",
        CallKind::Repeatable => "repeatable",
        CallKind::Once => "once",
    };
    let body = Full::new(Bytes::copy_from_slice(&call.body));
    let built = Request::post("/call")
        .header(http::header::HOST, "target")
        .header(wire::CALL, id)
        .header(wire::KIND, kind)
        .header(wire::SERVICE, call.service.to_string())
        .header(wire::SHARD, call.shard.0)
        .header(wire::SNAPSHOT, call.snapshot.0)
        .header(wire::MAP, call.map.0)
        .header(wire::EPOCH, call.epoch.0)
        .header(wire::LEFT, micros(call.left))
        .body(body);
    built.unwrap_or_default()
}

fn decode(reply: &Response<Bytes>) -> CallResult {
    if reply.status() == StatusCode::OK {
        return wire::decode_reply(reply.body()).map_err(|_| CallError::unknown(Failure::BadReply));
    }
    let reason = reply.headers().get(wire::NOT_RUN);
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
    let request = Request::post("/cancel")
        .header(http::header::HOST, "target")
        .header(wire::CALL, id.to_string())
        .body(Full::default())
        .unwrap_or_default();
    let route = Route {
        address: endpoint.address,
        connections: share(endpoint),
        reply: REPLY_BYTES,
        left: CANCEL_TIME,
    };
    let _ = client.exchange(route, request, |_| true).await;
}
