//! Answers to callers: a target's own reply, a merged one, or our refusal.

use std::time::Duration;

use bytes::Bytes;
use heatherrun_ports::http_reply::{Reply, plain, respond};
use heatherrun_routing::merge;
use heatherrun_routing::scatter::Cause;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};

use crate::state::State;

/// Headers that concern one connection only, and the length that the server
/// writes itself.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that concern one connection only.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

/// Passes a target's reply on as it came.
#[must_use]
pub fn pass(reply: Response<Bytes>) -> Reply {
    let (mut head, body) = reply.into_parts();
    strip(&mut head.headers);
    let mut answer = respond(head.status, body);
    *answer.headers_mut() = head.headers;
    answer
}

/// Merges parts into one answer of at most `records` records.
#[must_use]
pub fn merged(state: &State, parts: &[Response<Bytes>], missing: usize, records: usize) -> Reply {
    let body = merge::greatest(parts.iter().map(Response::body), records);
    let signature = |part: &Response<Bytes>| {
        let head = (state.site.reply)(part.status(), part.headers());
        head.signature.unwrap_or_default().to_owned()
    };
    let signatures: Vec<_> = parts.iter().map(signature).collect();
    let mut answer = respond(StatusCode::OK, body);
    (state.site.merged)(answer.headers_mut(), &signatures, missing);
    answer
}

/// Refuses a request that no target ran, nor will; the caller may come again
/// after `again`.
#[must_use]
pub fn not_run(why: &str, again: Duration) -> Reply {
    let text = format!("not run: {why}; come again after the time in Retry-After");
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, &text);
    let again = format!("{:.3}", again.as_secs_f64());
    if let Ok(again) = HeaderValue::from_str(&again) {
        answer.headers_mut().insert(header::RETRY_AFTER, again);
    }
    answer
}

/// Says that the request may have run and has no answer.
#[must_use]
pub fn unknown(cause: Cause) -> Reply {
    let status = match cause {
        Cause::Late => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let text = format!("no answer: {}; it may have run", cause.name());
    plain(status, &text)
}
