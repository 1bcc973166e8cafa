//! Tests of the form in which requests are forwarded to other nodes.

use bytes::Bytes;
use heatherrun_gateway::calls::OutgoingRequest;
use heatherrun_gateway::crash_tracker::request_fingerprint;
use heatherrun_gateway::forward::Forwarder;
use heatherrun_gateway::forward::message::{ForwardedRequest, Terms};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

fn terms() -> Terms {
    Terms {
        time_left: 400_000,
        spent: 20_000,
        round_trip: 7_000,
        attempts: 1,
        is_counted: true,
        is_repeat: true,
        version: 9,
    }
}

fn outgoing(headers: HeaderMap) -> OutgoingRequest {
    OutgoingRequest {
        id: "r-1".to_owned(),
        method: Method::PATCH,
        uri: "/one/a%20b?q=%C3%A9&r=".parse().unwrap(),
        headers,
        body: Bytes::from_static(&[0, 255, 10]),
        team: None,
        credential: None,
        is_part: false,
        deadline: heatherrun_kernel::Time::default(),
        route_latency: std::sync::Arc::default(),
    }
}

#[test]
fn into_received_keeps_method_path_headers_and_body() {
    let mut headers = HeaderMap::new();
    headers.append("host", HeaderValue::from_static("a.example"));
    headers.append("x-twice", HeaderValue::from_static("1"));
    headers.append("x-twice", HeaderValue::from_bytes(b"\xff").unwrap());
    let outgoing = outgoing(headers.clone());
    let sent = serde_json::to_vec(&ForwardedRequest::new(&outgoing, terms())).unwrap();
    let arrived: ForwardedRequest = serde_json::from_slice(&sent).unwrap();
    assert_eq!(arrived.terms, terms());
    let received = arrived.into_received().unwrap();
    assert_eq!(received.head.method, outgoing.method);
    assert_eq!(received.head.uri, outgoing.uri);
    assert_eq!(received.head.headers, headers);
    assert_eq!(received.body, outgoing.body);
}

/// Guards against a forwarded request without its credential, and against a key
/// in the output of `Debug`.
#[test]
fn forwarded_request_has_credential_and_marker() {
    let name = HeaderName::from_static("x-key");
    let mut value = HeaderValue::from_static("secret-1");
    value.set_sensitive(true);
    let outgoing = OutgoingRequest {
        team: Some("red".into()),
        credential: Some((name, value)),
        ..outgoing(HeaderMap::new())
    };
    let forwarded = ForwardedRequest::new(&outgoing, terms());
    for text in [format!("{outgoing:?}"), format!("{forwarded:?}")] {
        assert!(!text.contains("secret-1"), "{text}");
    }
    let headers = forwarded.into_received().unwrap().head.headers;
    assert_eq!(headers["x-key"], "secret-1");
    assert_eq!(headers["heatherrun-charged"], "1");
}

/// Guards against a team whose requests are banned for those of another one.
#[test]
fn request_fingerprint_differs_by_team() {
    let uri = "/one/a".parse().unwrap();
    let of = |team| request_fingerprint(&Method::GET, &uri, team, b"body");
    assert_ne!(of(Some("red")), of(Some("blue")));
    assert_ne!(of(Some("red")), of(None));
}

/// Guards against a refused request that lowered the count of those in progress:
/// the limit grew with each one, and the count went below zero.
#[test]
fn retry_refused_requests_do_not_change_the_count() {
    let forwarder = Forwarder::default();
    for _ in 0..2 {
        let counted: Vec<_> = (0..16).map_while(|_| forwarder.retry()).collect();
        assert_eq!(counted.len(), 16);
        assert!((0..40).all(|_| forwarder.retry().is_none()));
    }
}
