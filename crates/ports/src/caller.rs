//! HTTP and JSON interface for callers: `POST /search`, `POST /request` and
//! `GET /addresses`.

use std::sync::Arc;

use heatherrun_schema::v1;
use heatherrun_tier::addresses::addresses;
use heatherrun_tier::node::Node;
use heatherrun_tier::refuse;
use http::{Method, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http_reply::{self, Fault, Reply, json};
use crate::http_server::{self, Limits, Phase, Received};

/// Maximum size of a caller's request body, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Maximum number of other addresses that a refusal lists.
const MAX_OTHER_ADDRESSES: usize = 4;

/// Kinds of refusal that list other addresses, because another node may be able
/// to serve the request.
const RETRY_ELSEWHERE_KINDS: [&str; 5] = [
    "overloaded",
    "unavailable",
    "no-target",
    "stale-view",
    "stopping",
];

type BoxedRefusal = Box<v1::Refusal>;

/// Default limits of the server for callers.
#[must_use]
pub const fn limits() -> Limits {
    Limits::new(MAX_BODY_BYTES)
}

/// Serves callers until the phase is [`Phase::Close`].
pub async fn serve(
    listener: TcpListener,
    limits: Limits,
    node: Arc<Node>,
    phase: watch::Receiver<Phase>,
) {
    http_server::serve(listener, limits, phase, move |received, _| {
        let node = Arc::clone(&node);
        async move {
            match received {
                Ok(received) => handle_request(&node, &received).await,
                Err(fault) => fault_reply(&node, fault),
            }
        }
    })
    .await;
}

/// Routes a request by path and method.
async fn handle_request(node: &Node, received: &Received) -> Reply {
    let path = received.head.uri.path();
    let result = match (&received.head.method, path) {
        (&Method::POST, "/search") => search(node, received).await,
        (&Method::POST, "/request") => request(node, received).await,
        (&Method::GET, "/addresses") => list_addresses(node, received),
        (method, "/search" | "/request" | "/addresses") => {
            let detail = format!("{path} does not support {method}");
            Err(refuse::not_run("wrong-method", detail, PATH_REMEDY))
        }
        (method, path) => {
            let detail = format!("no endpoint for {method} {path}");
            Err(refuse::not_run("unknown-path", detail, PATH_REMEDY))
        }
    };
    result.unwrap_or_else(|refusal| refusal_reply(node, *refusal))
}

/// Remedy for an unknown path or a wrong method.
const PATH_REMEDY: &str = "use POST /search, POST /request or GET /addresses";

async fn search(node: &Node, received: &Received) -> Result<Reply, BoxedRefusal> {
    let search_request: v1::SearchRequest = parse(&received.body)?;
    check_deadline(search_request.deadline_ms, &received.body)?;
    let answer = node.entry.search(search_request).await?;
    Ok(json(StatusCode::OK, &answer))
}

async fn request(node: &Node, received: &Received) -> Result<Reply, BoxedRefusal> {
    let pool_request: v1::PoolRequest = parse(&received.body)?;
    check_deadline(pool_request.deadline_ms, &received.body)?;
    let answer = node.entry.request(pool_request).await?;
    Ok(json(StatusCode::OK, &answer))
}

fn list_addresses(node: &Node, received: &Received) -> Result<Reply, BoxedRefusal> {
    let view = node.view.load();
    let mut service = "";
    for pair in received.head.uri.query().unwrap_or_default().split('&') {
        let Some(name) = pair.strip_prefix("service=") else {
            continue;
        };
        if view.service(name).is_none() {
            let detail = format!("no service named {name:?}");
            return Err(refuse::not_run(
                "unknown-service",
                detail,
                "check the service name",
            ));
        }
        service = name;
    }
    Ok(json(StatusCode::OK, &node.addresses(service)))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, BoxedRefusal> {
    const REMEDY: &str = "send JSON that matches the message type in the schema";
    if body.is_empty() {
        return Err(refuse::not_run("malformed", "the body is empty", REMEDY));
    }
    heatherrun_schema::decode(body).map_err(|e| refuse::not_run("malformed", e.to_string(), REMEDY))
}

/// JSON key of the deadline, with its quotes.
const DEADLINE_KEY: &[u8] = b"\"deadline_ms\"";

/// The deadline field of a request, where zero and absent differ.
#[derive(Deserialize)]
struct DeadlineField {
    deadline_ms: Option<u32>,
}

/// Rejects an explicit deadline of zero. The schema decodes an absent deadline
/// as zero too; that one stands for the service's default.
///
/// Searching for the key first avoids parsing the body again in most cases.
fn check_deadline(deadline_ms: u32, body: &[u8]) -> Result<(), BoxedRefusal> {
    let mut windows = body.windows(DEADLINE_KEY.len());
    if deadline_ms > 0 || !windows.any(|w| w == DEADLINE_KEY) {
        return Ok(());
    }
    let field: DeadlineField = parse(body)?;
    if field.deadline_ms.is_none() {
        return Ok(());
    }
    Err(refuse::not_run(
        "bad-deadline",
        "deadline_ms is zero",
        "set a deadline above zero, or omit it",
    ))
}

/// Response for a request that the HTTP server rejected.
fn fault_reply(node: &Node, fault: Fault) -> Reply {
    let mut refusal = fault.refusal();
    add_other_addresses(node, &mut refusal);
    http_reply::refusal_response(fault.status(), &refusal)
}

/// Response for a refusal, with the status that fits its kind.
fn refusal_reply(node: &Node, mut refusal: v1::Refusal) -> Reply {
    let status = match refusal.kind.as_str() {
        "malformed" | "bad-deadline" | "wrong-kind" | "bad-id" => StatusCode::BAD_REQUEST,
        "unknown-service" | "unknown-path" => StatusCode::NOT_FOUND,
        "wrong-method" => StatusCode::METHOD_NOT_ALLOWED,
        "conflict" => StatusCode::CONFLICT,
        "timeout" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    add_other_addresses(node, &mut refusal);
    http_reply::refusal_response(status, &refusal)
}

/// Lists other nodes' addresses in a refusal whose kind is in
/// [`RETRY_ELSEWHERE_KINDS`], unless it already lists some.
fn add_other_addresses(node: &Node, refusal: &mut v1::Refusal) {
    if !refusal.others.is_empty() || !RETRY_ELSEWHERE_KINDS.contains(&refusal.kind.as_str()) {
        return;
    }
    let own_address = node.info.callers.to_string();
    let known = addresses(&node.view.load(), node.keep_secs).addresses;
    let others = known
        .into_iter()
        .map(|a| a.address)
        .filter(|a| *a != own_address);
    refusal.others = others.take(MAX_OTHER_ADDRESSES).collect();
}
