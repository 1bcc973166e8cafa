//! Requests that nodes forward to each other, and the replies.

use std::{fmt, time::Duration};

use bytes::Bytes;
use heatherrun_ports::http_reply::{Reply, respond, split_body};
use heatherrun_ports::http_server::Received;
use heatherrun_routing::plan::CallerPath;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::calls::OutgoingRequest;

/// Header that says that the forwarding node has charged the request to its
/// team. It is removed from callers' requests.
pub const CHARGED: HeaderName = HeaderName::from_static("heatherrun-charged");

/// What a forwarded request may still use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Time left for the whole request, in microseconds.
    pub time_left: u64,
    /// Time that its caller has spent, in microseconds; see [`CallerPath`].
    pub spent: u64,
    /// Round trip to the caller, in microseconds; zero when unknown.
    pub round_trip: u64,
    /// Maximum number of targets per shard that may still run it.
    pub attempts: u16,
    /// Whether the forwarding node has counted it towards the budget of extra
    /// calls.
    pub is_counted: bool,
    /// Whether calls have reached targets, so that all others are extra calls.
    pub is_repeat: bool,
    /// Version of the configuration in force at the forwarding node.
    pub version: u64,
}

impl Terms {
    /// Path of the caller.
    #[must_use]
    pub const fn path(&self) -> CallerPath {
        CallerPath {
            spent: Duration::from_micros(self.spent),
            round_trip: Duration::from_micros(self.round_trip),
        }
    }
}

/// A request that one node forwards to another. It carries the credential of its
/// caller, which the other node checks again.
#[derive(Clone, Serialize, Deserialize)]
pub struct ForwardedRequest {
    method: String,
    uri: String,
    headers: Vec<(String, Bytes)>,
    body: Bytes,
    /// What the request may still use.
    pub terms: Terms,
}

impl ForwardedRequest {
    /// Forwards `outgoing` under these terms.
    #[must_use]
    pub fn new(outgoing: &OutgoingRequest, terms: Terms) -> Self {
        let mut headers = encode_headers(&outgoing.headers);
        headers.extend(outgoing.credential.as_ref().map(encode_header));
        if outgoing.team.is_some() {
            headers.push((CHARGED.as_str().to_owned(), Bytes::from_static(b"1")));
        }
        Self {
            method: outgoing.method.to_string(),
            uri: outgoing.uri.to_string(),
            headers,
            body: outgoing.body.clone(),
            terms,
        }
    }

    /// The request as if its caller had sent it to this node.
    ///
    /// # Errors
    /// When a part of it is not valid HTTP.
    pub fn into_received(self) -> Result<Received, http::Error> {
        let request = Request::builder().method(&*self.method).uri(self.uri);
        let (mut head, ()) = request.body(())?.into_parts();
        head.headers = decode_headers(self.headers)?;
        Ok(Received {
            head,
            body: self.body,
        })
    }
}

/// Leaves out the values of the headers, since they include the credential.
impl fmt::Debug for ForwardedRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.headers.iter().map(|(name, _)| name).collect();
        f.debug_struct("ForwardedRequest")
            .field("method", &self.method)
            .field("uri", &self.uri)
            .field("headers", &names)
            .field("terms", &self.terms)
            .finish_non_exhaustive()
    }
}

/// Answer of a node to a forwarded request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ForwardReply {
    /// Reply for the caller.
    Reply {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(String, Bytes)>,
        /// Body.
        body: Bytes,
    },
    /// The node cannot serve it; no target ran it.
    Unable,
}

impl ForwardReply {
    /// Encodes the reply for the caller.
    #[must_use]
    pub fn new(reply: Reply) -> Self {
        let (head, body) = split_body(reply);
        Self::Reply {
            status: head.status.as_u16(),
            headers: encode_headers(&head.headers),
            body,
        }
    }

    /// Reply for the caller; `None` if the node is unable to serve it.
    pub(super) fn into_reply(self) -> Result<Option<Reply>, http::Error> {
        let Self::Reply {
            status,
            headers,
            body,
        } = self
        else {
            return Ok(None);
        };
        let mut reply = respond(StatusCode::from_u16(status)?, body);
        *reply.headers_mut() = decode_headers(headers)?;
        Ok(Some(reply))
    }
}

fn encode_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    headers.iter().map(encode_pair).collect()
}

fn encode_header((name, value): &(HeaderName, HeaderValue)) -> (String, Bytes) {
    encode_pair((name, value))
}

fn encode_pair((name, value): (&HeaderName, &HeaderValue)) -> (String, Bytes) {
    let value = Bytes::copy_from_slice(value.as_bytes());
    (name.as_str().to_owned(), value)
}

fn decode_headers(headers: Vec<(String, Bytes)>) -> Result<HeaderMap, http::Error> {
    let mut decoded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes())?;
        decoded.append(name, HeaderValue::from_maybe_shared(value)?);
    }
    Ok(decoded)
}
