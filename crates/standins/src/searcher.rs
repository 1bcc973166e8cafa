//! A searcher on a socket.

use std::{collections::HashMap, sync::Arc, sync::Mutex, sync::PoisonError, time::Duration};

use bytes::Bytes;
use heatherrun_fakes::searcher::Searcher;
use heatherrun_kernel::message::{CallError, CallKind, Failure, TargetCall};
use heatherrun_kernel::{CallId, Epoch, MapRev, ServiceId, ShardIx, Snapshot, TargetId};
use heatherrun_ports::http_reply::{Reply, abort, respond};
use heatherrun_ports::http_server::{self, Limits, Phase, Received};
use heatherrun_ports::target::name_failure;
use heatherrun_ports::wire;
use http::{HeaderName, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// Longest body of a call, in bytes.
const BODY_BYTES: usize = 1 << 20;

type Running = Arc<Mutex<HashMap<String, oneshot::Sender<()>>>>;

/// How a searcher takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intake {
    /// Connections it accepts.
    pub connections: usize,
    /// Whether it refuses calls of an older epoch than it has seen.
    pub fenced: bool,
}

/// Serves `searcher` until the phase is [`Phase::Close`]. A call that the
/// searcher loses closes its connection.
pub async fn serve(
    listener: TcpListener,
    searcher: Searcher,
    intake: Intake,
    phase: watch::Receiver<Phase>,
) {
    let mut limits = Limits::new(BODY_BYTES);
    limits.connections = intake.connections;
    let running = Running::default();
    http_server::serve(listener, limits, phase, move |received, _| {
        let (searcher, running) = (searcher.clone(), Arc::clone(&running));
        async move {
            match received {
                Ok(received) => answer(&searcher, &running, received, intake).await,
                Err(fault) => fault.reply(),
            }
        }
    })
    .await;
}

fn header<'a>(received: &'a Received, name: &HeaderName) -> &'a str {
    let value = received.head.headers.get(name);
    value.and_then(|v| v.to_str().ok()).unwrap_or_default()
}

fn number(received: &Received, name: &HeaderName) -> u64 {
    header(received, name).parse().unwrap_or(0)
}

async fn answer(
    searcher: &Searcher,
    running: &Running,
    received: Received,
    intake: Intake,
) -> Reply {
    let id = header(&received, &wire::CALL).to_owned();
    if received.head.uri.path() == "/cancel" {
        let mut running = running.lock().unwrap_or_else(PoisonError::into_inner);
        running.remove(&id);
        return respond(StatusCode::OK, Bytes::new());
    }
    if received.head.uri.path() == "/report" {
        let body = serde_json::to_vec(&searcher.report()).unwrap_or_default();
        return respond(StatusCode::OK, body.into());
    }
    let mut call = parse(&received);
    if !intake.fenced {
        call.epoch = Epoch(0);
    }
    let (tell, cancelled) = oneshot::channel();
    running
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(id.clone(), tell);
    let result = tokio::select! {
        biased;
        result = searcher.call(call) => result,
        _ = cancelled => Err(CallError::unknown(Failure::Cancelled)),
    };
    running
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .remove(&id);
    let mut reply = match result {
        Ok(reply) => respond(
            StatusCode::OK,
            wire::encode_reply(reply).unwrap_or_default().into(),
        ),
        Err(CallError {
            failure: Failure::ConnectionLost | Failure::TimedOut,
            ..
        }) => return abort(),
        Err(error) => refuse(error),
    };
    if let Ok(value) = id.parse() {
        reply.headers_mut().insert(wire::CALL.clone(), value);
    }
    reply
}

fn refuse(error: CallError) -> Reply {
    let mut reply = respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    if let Ok(value) = name_failure(error.failure).parse() {
        reply.headers_mut().insert(wire::NOT_RUN.clone(), value);
    }
    reply
}

fn parse(received: &Received) -> TargetCall {
    let kind = match header(received, &wire::KIND) {
        "once" => CallKind::Once,
        "repeatable" => CallKind::Repeatable,
        _ => CallKind::Search,
    };
    TargetCall {
        id: CallId::default(),
        target: TargetId(0),
        service: ServiceId(0),
        shard: ShardIx(u16::try_from(number(received, &wire::SHARD)).unwrap_or(0)),
        kind,
        snapshot: Snapshot(number(received, &wire::SNAPSHOT)),
        map: MapRev(number(received, &wire::MAP)),
        epoch: Epoch(number(received, &wire::EPOCH)),
        time_left: Duration::from_micros(number(received, &wire::LEFT)),
        body: Arc::from(received.body.as_ref()),
    }
}
