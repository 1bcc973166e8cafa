//! Callers over HTTP and JSON: addresses, search and request.

use std::sync::Arc;

use heatherrun_schema::v1;
use heatherrun_tier::addresses::addresses;
use heatherrun_tier::node::Node;
use heatherrun_tier::refuse;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http_server::{self, Received, Reply, json};

/// Longest body of a caller's request, in bytes.
const BODY_BYTES: usize = 256 * 1024;

/// Serves callers until `stop` turns true.
pub async fn serve(listener: TcpListener, node: Arc<Node>, stop: watch::Receiver<bool>) {
    http_server::serve(listener, BODY_BYTES, stop, move |received, _| {
        let node = Arc::clone(&node);
        async move { answer(&node, received).await }
    })
    .await;
}

async fn answer(node: &Node, received: Received) -> Reply {
    let result = match (&received.head.method, received.head.uri.path()) {
        (&Method::POST, "/search") => match parse(&received) {
            Ok(ask) => node
                .entry
                .search(ask)
                .await
                .map(|a| json(StatusCode::OK, &a)),
            Err(refused) => Err(refused),
        },
        (&Method::POST, "/request") => match parse(&received) {
            Ok(ask) => node
                .entry
                .request(ask)
                .await
                .map(|a| json(StatusCode::OK, &a)),
            Err(refused) => Err(refused),
        },
        (&Method::GET, "/addresses") => Ok(json(
            StatusCode::OK,
            &addresses(&node.view.load(), node.keep_secs),
        )),
        (method, path) => {
            let detail = format!("{method} {path} is not served");
            let remedy = "use POST /search, POST /request or GET /addresses";
            Err(refuse::not_run("unknown-path", detail, remedy))
        }
    };
    result.unwrap_or_else(|refused| refuse_with(&refused))
}

fn parse<T: DeserializeOwned>(received: &Received) -> Result<T, Box<v1::Refusal>> {
    heatherrun_schema::decode(&received.body)
        .map_err(|e| refuse::not_run("malformed", e.to_string(), "send the JSON of the schema"))
}

fn refuse_with(refused: &v1::Refusal) -> Reply {
    let status = match refused.kind.as_str() {
        "malformed" | "bad-deadline" | "wrong-kind" => StatusCode::BAD_REQUEST,
        "unknown-service" | "unknown-path" => StatusCode::NOT_FOUND,
        "timeout" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut reply = json(status, refused);
    if refused.retry_ms > 0 {
        let secs = refused.retry_ms.div_ceil(1_000);
        reply
            .headers_mut()
            .insert(http::header::RETRY_AFTER, secs.into());
    }
    reply
}
