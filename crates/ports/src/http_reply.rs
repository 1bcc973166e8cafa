//! Responses with a body in memory, and the one JSON form of every refusal
//! that the server itself makes.

use std::fmt::Write as _;

use bytes::Bytes;
use heatherrun_schema::v1;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

/// Response with a body in memory.
pub type Reply = Response<Full<Bytes>>;

/// Time after which a refused caller may come again, in milliseconds.
const RETRY_MS: u32 = 500;

/// Why the server did not take a request; none of these was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The first line or a header is not HTTP.
    BadHead,
    /// The headers are too many or too long.
    LongHead,
    /// The path is too long.
    LongPath,
    /// The headers took too long to arrive.
    SlowHead,
    /// The body is too long.
    LongBody,
    /// The body was cut.
    CutBody,
    /// The body took too long to arrive.
    SlowBody,
    /// The server has no place for another connection.
    Full,
}

impl Fault {
    /// Status that goes with the fault.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadHead | Self::CutBody => StatusCode::BAD_REQUEST,
            Self::LongHead => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::LongPath => StatusCode::URI_TOO_LONG,
            Self::SlowHead | Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::LongBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Full => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Refusal that tells the caller what to do.
    #[must_use]
    pub fn refusal(self) -> v1::Refusal {
        let (kind, detail, remedy) = match self {
            Self::BadHead => ("malformed", "not an HTTP request", "send HTTP/1.1"),
            Self::LongHead => ("headers-too-large", "headers", "send fewer headers"),
            Self::LongPath => ("path-too-long", "path", "send a shorter path"),
            Self::SlowHead => ("slow-request", "headers", "send headers at once"),
            Self::LongBody => ("body-too-large", "body", "send a shorter body"),
            Self::CutBody => ("malformed", "body cut", "send the whole body"),
            Self::SlowBody => ("slow-request", "body", "send the body at once"),
            Self::Full => (
                "overloaded",
                "no place for another connection",
                "come again after retry_ms or ask another address",
            ),
        };
        v1::Refusal {
            ran: v1::Ran::NotRun as i32,
            kind: kind.to_owned(),
            detail: detail.to_owned(),
            remedy: remedy.to_owned(),
            retry_ms: if self == Self::Full { RETRY_MS } else { 0 },
            ..v1::Refusal::default()
        }
    }

    /// Response of the refusal, after which the connection closes.
    #[must_use]
    pub fn reply(self) -> Reply {
        let mut reply = refuse(self.status(), &self.refusal());
        close_after(&mut reply);
        reply
    }
}

/// Marks a response that is not to be sent; the connection closes instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[error("the connection closes without a response")]
pub struct Aborted;

/// Response that closes the connection without a byte, as a crash does.
#[must_use]
pub fn abort() -> Reply {
    let mut reply = respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
    reply.extensions_mut().insert(Aborted);
    reply
}

/// Response with a refusal, and when to come again.
#[must_use]
pub fn refuse(status: StatusCode, refused: &v1::Refusal) -> Reply {
    let mut reply = json(status, refused);
    if refused.retry_ms > 0 {
        let secs = refused.retry_ms.div_ceil(1_000);
        reply.headers_mut().insert(RETRY_AFTER, secs.into());
    }
    reply
}

/// Tells the peer that the connection closes after this response.
pub fn close_after(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}

/// Response of one line of text.
#[must_use]
pub fn plain(status: StatusCode, text: &str) -> Reply {
    respond(status, Bytes::copy_from_slice(text.as_bytes()))
}

/// Response with the JSON form of `value`.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut reply = respond(status, Bytes::from(body));
            let json = HeaderValue::from_static("application/json");
            reply.headers_mut().insert(CONTENT_TYPE, json);
            reply
        }
        Err(e) => plain(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Response with a body.
#[must_use]
pub fn respond(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply
}

/// Bytes of a response that is written without the HTTP library.
#[must_use]
pub(crate) fn raw(fault: Fault) -> Bytes {
    let (status, refused) = (fault.status(), fault.refusal());
    let body = serde_json::to_string(&refused).unwrap_or_default();
    let mut head = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/json\r\nconnection: close\r\n",
        status.as_u16(),
        status.canonical_reason().unwrap_or_default(),
    );
    if refused.retry_ms > 0 {
        let _ = write!(
            head,
            "retry-after: {}\r\n",
            refused.retry_ms.div_ceil(1_000)
        );
    }
    Bytes::from(format!(
        "{head}content-length: {}\r\n\r\n{body}",
        body.len()
    ))
}
