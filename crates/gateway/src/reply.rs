//! Replies to callers: a target's own reply, a merged reply, or a refusal.

use std::time::Duration;

use bytes::Bytes;
use heatherrun_ports::http_reply::{Reply, plain, respond};
use heatherrun_routing::merge;
use heatherrun_routing::scatter::Cause;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};

use crate::state::State;

/// Hop-by-hop headers that are never forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

/// Removes the hop-by-hop headers, including those named in `Connection`, and
/// the content length, which the server sets itself.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

/// Forwards a target's reply unchanged, except for its connection headers.
#[must_use]
pub fn forward(reply: Response<Bytes>) -> Reply {
    let (mut head, body) = reply.into_parts();
    strip_connection_headers(&mut head.headers);
    let mut forwarded = respond(head.status, body);
    *forwarded.headers_mut() = head.headers;
    forwarded
}

/// Merges the replies of the shards into one with at most `max_records`
/// records; `missing` shards have no part in it.
#[must_use]
pub fn merge_parts(
    state: &State,
    parts: &[Response<Bytes>],
    missing: usize,
    max_records: usize,
) -> Reply {
    let body = merge::merge_greatest(parts.iter().map(Response::body), max_records);
    let signature = |part: &Response<Bytes>| {
        let head = (state.site.parse_reply)(part.status(), part.headers());
        head.signature.unwrap_or_default().to_owned()
    };
    let signatures: Vec<_> = parts.iter().map(signature).collect();
    let mut merged = respond(StatusCode::OK, body);
    (state.site.write_merged)(merged.headers_mut(), &signatures, missing);
    merged
}

/// Refuses a request that no target ran or will run; the caller may retry
/// after `retry_after`.
#[must_use]
pub fn not_run(reason: &str, retry_after: Duration) -> Reply {
    let text = format!("not run: {reason}; retry after the time in Retry-After");
    let refusal = plain(StatusCode::SERVICE_UNAVAILABLE, &text);
    with_retry_after(refusal, retry_after)
}

/// Refuses a request of a team that is over its quota, which has credit again
/// after `retry_after`.
#[must_use]
pub fn over_quota(retry_after: Duration) -> Reply {
    let text = "not run: the team is over its quota; retry after the time in Retry-After";
    with_retry_after(plain(StatusCode::TOO_MANY_REQUESTS, text), retry_after)
}

fn with_retry_after(mut refusal: Reply, retry_after: Duration) -> Reply {
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        refusal.headers_mut().insert(header::RETRY_AFTER, value);
    }
    refusal
}

/// Rejects a request that lacks a known key.
#[must_use]
pub fn unauthorized() -> Reply {
    let text = "not run: the route needs a known key; send Authorization: Bearer KEY";
    let mut refusal = plain(StatusCode::UNAUTHORIZED, text);
    let scheme = HeaderValue::from_static("Bearer");
    refusal
        .headers_mut()
        .insert(header::WWW_AUTHENTICATE, scheme);
    refusal
}

/// Reports that a request got no answer although a target may have run it.
#[must_use]
pub fn outcome_unknown(cause: Cause) -> Reply {
    let status = match cause {
        Cause::Late => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let text = format!("no answer: {}; the request may have run", cause.name());
    plain(status, &text)
}
