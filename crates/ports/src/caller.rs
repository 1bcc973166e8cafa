//! Callers over HTTP and JSON: addresses, search and request.

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

/// Longest body of a caller's request, in bytes.
const BODY_BYTES: usize = 256 * 1024;

/// Other addresses named by a refusal at the most.
const MOST_OTHERS: usize = 4;

/// Refusal whose caller is served better elsewhere.
const ELSEWHERE: [&str; 5] = [
    "overloaded",
    "unavailable",
    "no-target",
    "stale-view",
    "stopping",
];

type Refused = Box<v1::Refusal>;

/// Limits of the server for callers.
#[must_use]
pub const fn limits() -> Limits {
    Limits::new(BODY_BYTES)
}

/// Serves callers until the phase is [`Phase::Close`].
pub async fn serve(listener: TcpListener, node: Arc<Node>, phase: watch::Receiver<Phase>) {
    serve_within(listener, limits(), node, phase).await;
}

/// Serves callers as [`serve`] does, within `limits`.
pub async fn serve_within(
    listener: TcpListener,
    limits: Limits,
    node: Arc<Node>,
    phase: watch::Receiver<Phase>,
) {
    http_server::serve(listener, limits, phase, move |received, _| {
        let node = Arc::clone(&node);
        async move {
            match received {
                Ok(received) => answer(&node, &received).await,
                Err(fault) => refuse_fault(&node, fault),
            }
        }
    })
    .await;
}

async fn answer(node: &Node, received: &Received) -> Reply {
    let path = received.head.uri.path();
    let result = match (&received.head.method, path) {
        (&Method::POST, "/search") => search(node, received).await,
        (&Method::POST, "/request") => request(node, received).await,
        (&Method::GET, "/addresses") => ask_addresses(node, received),
        (method, "/search" | "/request" | "/addresses") => {
            let detail = format!("{path} does not take {method}");
            Err(refuse::not_run("wrong-method", detail, REMEDY_PATH))
        }
        (method, path) => {
            let detail = format!("{method} {path} is not served");
            Err(refuse::not_run("unknown-path", detail, REMEDY_PATH))
        }
    };
    result.unwrap_or_else(|refused| refuse_with(node, *refused))
}

/// What the server takes.
const REMEDY_PATH: &str = "use POST /search, POST /request or GET /addresses";

async fn search(node: &Node, received: &Received) -> Result<Reply, Refused> {
    let ask: v1::SearchRequest = parse(&received.body)?;
    check_deadline(ask.deadline_ms, &received.body)?;
    let answer = node.entry.search(ask).await?;
    Ok(json(StatusCode::OK, &answer))
}

async fn request(node: &Node, received: &Received) -> Result<Reply, Refused> {
    let ask: v1::PoolRequest = parse(&received.body)?;
    check_deadline(ask.deadline_ms, &received.body)?;
    let answer = node.entry.request(ask).await?;
    Ok(json(StatusCode::OK, &answer))
}

fn ask_addresses(node: &Node, received: &Received) -> Result<Reply, Refused> {
    let view = node.view.load();
    let mut asked = "";
    for pair in received.head.uri.query().unwrap_or_default().split('&') {
        let Some(name) = pair.strip_prefix("service=") else {
            continue;
        };
        if view.service(name).is_none() {
            let detail = format!("no service named {name:?}");
            return Err(refuse::not_run("unknown-service", detail, "check the name"));
        }
        asked = name;
    }
    Ok(json(StatusCode::OK, &node.addresses(asked)))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    const REMEDY: &str = "send the JSON form of the type in the schema";
    if body.is_empty() {
        return Err(refuse::not_run("malformed", "the body is empty", REMEDY));
    }
    heatherrun_schema::decode(body).map_err(|e| refuse::not_run("malformed", e.to_string(), REMEDY))
}

/// Key that names a deadline.
const DEADLINE_KEY: &[u8] = b"\"deadline_ms\"";

#[derive(Deserialize)]
struct Named {
    deadline_ms: Option<u32>,
}

/// Refuses a deadline of zero that the caller named; one left out is the
/// service's own.
fn check_deadline(deadline_ms: u32, body: &[u8]) -> Result<(), Refused> {
    let mut windows = body.windows(DEADLINE_KEY.len());
    if deadline_ms > 0 || !windows.any(|w| w == DEADLINE_KEY) {
        return Ok(());
    }
    let named: Named = parse(body)?;
    if named.deadline_ms.is_none() {
        return Ok(());
    }
    Err(refuse::not_run(
        "bad-deadline",
        "deadline_ms is zero",
        "name a deadline above zero, or leave it out",
    ))
}

fn refuse_fault(node: &Node, fault: Fault) -> Reply {
    let mut refused = fault.refusal();
    add_others(node, &mut refused);
    http_reply::refuse(fault.status(), &refused)
}

fn refuse_with(node: &Node, mut refused: v1::Refusal) -> Reply {
    let status = match refused.kind.as_str() {
        "malformed" | "bad-deadline" | "wrong-kind" | "bad-id" => StatusCode::BAD_REQUEST,
        "unknown-service" | "unknown-path" => StatusCode::NOT_FOUND,
        "wrong-method" => StatusCode::METHOD_NOT_ALLOWED,
        "conflict" => StatusCode::CONFLICT,
        "timeout" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    add_others(node, &mut refused);
    http_reply::refuse(status, &refused)
}

/// Names other addresses where they help.
fn add_others(node: &Node, refused: &mut v1::Refusal) {
    if !refused.others.is_empty() || !ELSEWHERE.contains(&refused.kind.as_str()) {
        return;
    }
    let own = node.info.callers.to_string();
    let known = addresses(&node.view.load(), node.keep_secs).addresses;
    let others = known.into_iter().map(|a| a.address).filter(|a| *a != own);
    refused.others = others.take(MOST_OTHERS).collect();
}
