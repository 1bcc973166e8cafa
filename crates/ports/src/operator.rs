//! Operators' calls over HTTP and JSON.

use std::sync::Arc;

use heatherrun_schema::{CallError, v1};
use heatherrun_tier::node::Node;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http_reply::{plain, respond};
use crate::http_server::{self, Limits, Phase};

/// Longest body of an operator's call, in bytes.
const BODY_BYTES: usize = 8 << 20;

/// Path before the name of a call.
pub const PATH: &str = "/operator/";

/// Serves operators until the phase is [`Phase::Close`].
pub async fn serve(listener: TcpListener, node: Arc<Node>, phase: watch::Receiver<Phase>) {
    http_server::serve(
        listener,
        Limits::new(BODY_BYTES),
        phase,
        move |received, _| {
            let node = Arc::clone(&node);
            async move {
                let received = match received {
                    Ok(received) => received,
                    Err(fault) => return fault.reply(),
                };
                let path = received.head.uri.path();
                let call = path.strip_prefix(PATH).unwrap_or(path);
                match v1::dispatch(node.as_ref(), call, &received.body).await {
                    Ok(body) => respond(StatusCode::OK, body.into()),
                    Err(e @ CallError::UnknownCall(_)) => {
                        plain(StatusCode::NOT_FOUND, &e.to_string())
                    }
                    Err(e @ CallError::Malformed(_)) => {
                        plain(StatusCode::BAD_REQUEST, &e.to_string())
                    }
                    Err(e) => plain(StatusCode::CONFLICT, &e.to_string()),
                }
            }
        },
    )
    .await;
}
