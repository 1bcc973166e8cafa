//! Responses with a body in memory, and the JSON refusals that the HTTP server
//! itself sends.

use std::fmt::Write as _;

use bytes::Bytes;
use futures::FutureExt;
use heatherrun_schema::v1;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Collected, Full};
use serde::Serialize;

/// HTTP response whose body is in memory.
pub type Reply = Response<Full<Bytes>>;

/// Delay before retrying, in milliseconds, suggested to a caller that was
/// refused for lack of connections or memory.
const OVERLOAD_RETRY_MS: u32 = 500;

/// Why the server rejected a request; a rejected request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The request line or a header is not valid HTTP.
    BadHead,
    /// The headers are too many or too long.
    LongHead,
    /// The path is too long.
    LongPath,
    /// The headers took too long to arrive.
    SlowHead,
    /// The body is too long.
    LongBody,
    /// The body was truncated.
    TruncatedBody,
    /// The body took too long to arrive.
    SlowBody,
    /// The server's connection limit is reached.
    TooManyConnections,
    /// The bodies of all requests take too much memory.
    NoMemory,
}

impl Fault {
    /// HTTP status for the fault.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadHead | Self::TruncatedBody => StatusCode::BAD_REQUEST,
            Self::LongHead => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::LongPath => StatusCode::URI_TOO_LONG,
            Self::SlowHead | Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::LongBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooManyConnections | Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Refusal with a remedy for the caller.
    #[must_use]
    pub fn refusal(self) -> v1::Refusal {
        let (kind, detail, remedy) = match self {
            Self::BadHead => ("malformed", "not a valid HTTP request", "send HTTP/1.1"),
            Self::LongHead => (
                "headers-too-large",
                "headers too large",
                "send fewer headers",
            ),
            Self::LongPath => ("path-too-long", "path too long", "send a shorter path"),
            Self::SlowHead => (
                "slow-request",
                "headers arrived too slowly",
                "send the headers faster",
            ),
            Self::LongBody => ("body-too-large", "body too large", "send a shorter body"),
            Self::TruncatedBody => ("malformed", "body truncated", "send the whole body"),
            Self::SlowBody => (
                "slow-request",
                "body arrived too slowly",
                "send the body faster",
            ),
            Self::TooManyConnections => (
                "overloaded",
                "connection limit reached",
                "retry after retry_ms or use another address",
            ),
            Self::NoMemory => (
                "overloaded",
                "request bodies take too much memory",
                "retry after retry_ms or use another address",
            ),
        };
        v1::Refusal {
            ran: v1::Ran::NotRun as i32,
            kind: kind.to_owned(),
            detail: detail.to_owned(),
            remedy: remedy.to_owned(),
            retry_ms: if matches!(self, Self::TooManyConnections | Self::NoMemory) {
                OVERLOAD_RETRY_MS
            } else {
                0
            },
            ..v1::Refusal::default()
        }
    }

    /// Response with the refusal; the connection closes after it.
    #[must_use]
    pub fn reply(self) -> Reply {
        let mut reply = refusal_response(self.status(), &self.refusal());
        set_connection_close(&mut reply);
        reply
    }
}

/// Response extension: the response is not sent and the connection closes
/// instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[error("the connection closes without a response")]
pub struct Aborted;

/// Response that closes the connection without sending a byte, to simulate a
/// crash.
#[must_use]
pub fn abort() -> Reply {
    let mut reply = respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
    reply.extensions_mut().insert(Aborted);
    reply
}

/// Response with a refusal and, if the refusal has one, its retry delay as
/// `Retry-After`.
#[must_use]
pub fn refusal_response(status: StatusCode, refusal: &v1::Refusal) -> Reply {
    let mut reply = json(status, refusal);
    if refusal.retry_ms > 0 {
        let secs = refusal.retry_ms.div_ceil(1_000);
        reply.headers_mut().insert(RETRY_AFTER, secs.into());
    }
    reply
}

/// Adds `Connection: close` to the response.
pub fn set_connection_close(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}

/// Response with a plain-text body.
#[must_use]
pub fn plain(status: StatusCode, text: &str) -> Reply {
    respond(status, Bytes::copy_from_slice(text.as_bytes()))
}

/// Response with `value` serialized as JSON.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut reply = respond(status, Bytes::from(body));
            let content_type = HeaderValue::from_static("application/json");
            reply.headers_mut().insert(CONTENT_TYPE, content_type);
            reply
        }
        Err(e) => plain(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Takes the body out of a response.
#[must_use]
pub fn split_body(reply: Reply) -> (http::response::Parts, Bytes) {
    let (head, body) = reply.into_parts();
    let whole = body.collect().now_or_never().and_then(Result::ok);
    (head, whole.map(Collected::to_bytes).unwrap_or_default())
}

/// Response with a status and a body.
#[must_use]
pub fn respond(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply
}

/// Encodes the refusal for `fault` as a complete HTTP response, to be written
/// without the HTTP library.
#[must_use]
pub(crate) fn encode_refusal(fault: Fault) -> Bytes {
    let (status, refusal) = (fault.status(), fault.refusal());
    let body = serde_json::to_string(&refusal).unwrap_or_default();
    let mut head = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/json\r\nconnection: close\r\n",
        status.as_u16(),
        status.canonical_reason().unwrap_or_default(),
    );
    if refusal.retry_ms > 0 {
        let _ = write!(
            head,
            "retry-after: {}\r\n",
            refusal.retry_ms.div_ceil(1_000)
        );
    }
    Bytes::from(format!(
        "{head}content-length: {}\r\n\r\n{body}",
        body.len()
    ))
}
