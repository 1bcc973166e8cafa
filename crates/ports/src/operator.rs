//! HTTP and JSON interface for operators.

use std::sync::Arc;

use heatherrun_schema::{CallError, v1};
use heatherrun_tier::node::Node;
use http::{Method, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http_reply::{plain, respond};
use crate::http_server::{self, Limits, Phase};

/// Maximum size of the body of an operator's call, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Name of the call that applies a configuration.
const APPLY_CALL: &str = "Apply";

/// Path prefix of all calls; the name of the call follows.
pub const PATH_PREFIX: &str = "/operator/";

/// Default limits of the server for operators.
#[must_use]
pub const fn limits() -> Limits {
    Limits::new(MAX_BODY_BYTES)
}

/// Serves operators until the phase is [`Phase::Close`].
pub async fn serve(
    listener: TcpListener,
    limits: Limits,
    node: Arc<Node>,
    phase: watch::Receiver<Phase>,
) {
    http_server::serve(listener, limits, phase, move |received, _| {
        let node = Arc::clone(&node);
        async move {
            let received = match received {
                Ok(received) => received,
                Err(fault) => return fault.reply(),
            };
            if received.head.method != Method::POST {
                return plain(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "send operator calls as POST requests",
                );
            }
            let path = received.head.uri.path();
            let call = path.strip_prefix(PATH_PREFIX).unwrap_or(path);
            let result = match check_config(call, &received.body) {
                Ok(()) => v1::dispatch(node.as_ref(), call, &received.body).await,
                Err(fault) => Err(fault),
            };
            match result {
                Ok(body) => respond(StatusCode::OK, body.into()),
                Err(e @ CallError::UnknownCall(_)) => plain(StatusCode::NOT_FOUND, &e.to_string()),
                Err(e @ CallError::Malformed(_)) => plain(StatusCode::BAD_REQUEST, &e.to_string()),
                Err(e) => plain(StatusCode::CONFLICT, &e.to_string()),
            }
        }
    })
    .await;
}

/// Validates the configuration of an `Apply` call as `heatherrun check` does,
/// because other clients may not have done so.
fn check_config(call: &str, body: &[u8]) -> Result<(), CallError> {
    if call != APPLY_CALL {
        return Ok(());
    }
    let request: v1::ApplyRequest = heatherrun_schema::decode(body)?;
    let Some(config) = request.config else {
        let reason = "the request holds no configuration; send the complete configuration";
        return Err(CallError::Refused(reason.to_owned()));
    };
    heatherrun_settings::check_tier(&config).map_err(|e| CallError::Refused(e.to_string()))
}
