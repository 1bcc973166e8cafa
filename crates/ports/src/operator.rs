//! Operators' calls over HTTP and JSON.

use std::sync::Arc;

use heatherrun_schema::{CallError, v1};
use heatherrun_tier::node::Node;
use http::{Method, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http_reply::{plain, respond};
use crate::http_server::{self, Limits, Phase};

/// Longest body of an operator's call, in bytes.
const BODY_BYTES: usize = 8 << 20;

/// Call that writes a configuration.
const APPLY: &str = "Apply";

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
                if received.head.method != Method::POST {
                    return plain(
                        StatusCode::METHOD_NOT_ALLOWED,
                        "send operator calls by POST",
                    );
                }
                let path = received.head.uri.path();
                let call = path.strip_prefix(PATH).unwrap_or(path);
                let answer = match check(call, &received.body) {
                    Ok(()) => v1::dispatch(node.as_ref(), call, &received.body).await,
                    Err(fault) => Err(fault),
                };
                match answer {
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

/// Checks a configuration to apply as `heatherrun check` does, since other
/// clients may not have.
fn check(call: &str, body: &[u8]) -> Result<(), CallError> {
    if call != APPLY {
        return Ok(());
    }
    let request: v1::ApplyRequest = heatherrun_schema::decode(body)?;
    let Some(config) = request.config else {
        let reason = "the request holds no configuration; send the whole one";
        return Err(CallError::Refused(reason.to_owned()));
    };
    heatherrun_settings::check_tier(&config).map_err(|e| CallError::Refused(e.to_string()))
}
