//! Calls to a daemon over HTTP.

use std::{io, time::Duration};

use heatherrun_schema::CallError;
use oxhttp::Client;
use oxhttp::model::{Body, Request, Uri};

/// Timeout of one call, from connecting to the end of the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends `call` with `body` to the daemon whose operator address is `node`.
///
/// # Errors
/// [`CallError`] whose variant says whether the daemon may have received the
/// call.
pub fn send(node: &str, call: &str, body: &[u8]) -> Result<Vec<u8>, CallError> {
    let unreached = |reason: &str| CallError::Unreached(format!("{node}: {reason}"));
    let lost = |reason: &str| CallError::Transport(format!("{node}: {reason}"));
    let uri: Uri = format!("http://{node}/operator/{call}")
        .parse()
        .map_err(|_| unreached("not an operator address; write it like 10.0.0.1:7003"))?;
    let request = Request::post(uri)
        .body(Body::from(body.to_vec()))
        .map_err(|e| unreached(&e.to_string()))?;
    let client = Client::new().with_global_timeout(CALL_TIMEOUT);
    let response = match client.request(request) {
        Ok(response) => response,
        Err(e) if is_unreached(&e) => return Err(unreached(&e.to_string())),
        Err(e) => return Err(lost(&e.to_string())),
    };
    let status = response.status();
    let body = response
        .into_body()
        .to_vec()
        .map_err(|e| lost(&e.to_string()))?;
    if status.is_success() {
        return Ok(body);
    }
    let reason = String::from_utf8_lossy(&body).into_owned();
    Err(CallError::Refused(reason))
}

/// Whether the error shows that no connection was made, so that the daemon
/// can't have received the call.
fn is_unreached(error: &io::Error) -> bool {
    use io::ErrorKind as Kind;
    matches!(
        error.kind(),
        Kind::ConnectionRefused
            | Kind::HostUnreachable
            | Kind::NetworkUnreachable
            | Kind::AddrNotAvailable
            | Kind::InvalidInput
    )
}
