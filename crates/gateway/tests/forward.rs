//! Tests of the form in which requests are forwarded to other nodes.

use bytes::Bytes;
use heatherrun_gateway::calls::OutgoingRequest;
use heatherrun_gateway::forward::Forwarder;
use heatherrun_gateway::forward::message::{ForwardedRequest, Terms};
use http::{HeaderMap, HeaderValue, Method};

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

#[test]
fn into_received_keeps_method_path_headers_and_body() {
    let mut headers = HeaderMap::new();
    headers.append("host", HeaderValue::from_static("a.example"));
    headers.append("x-twice", HeaderValue::from_static("1"));
    headers.append("x-twice", HeaderValue::from_bytes(b"\xff").unwrap());
    let outgoing = OutgoingRequest {
        id: "r-1".to_owned(),
        method: Method::PATCH,
        uri: "/one/a%20b?q=%C3%A9&r=".parse().unwrap(),
        headers: headers.clone(),
        body: Bytes::from_static(&[0, 255, 10]),
        is_part: false,
        deadline: heatherrun_kernel::Time::default(),
        route_latency: std::sync::Arc::default(),
    };
    let sent = serde_json::to_vec(&ForwardedRequest::new(&outgoing, terms())).unwrap();
    let arrived: ForwardedRequest = serde_json::from_slice(&sent).unwrap();
    assert_eq!(arrived.terms, terms());
    let received = arrived.into_received().unwrap();
    assert_eq!(received.head.method, outgoing.method);
    assert_eq!(received.head.uri, outgoing.uri);
    assert_eq!(received.head.headers, headers);
    assert_eq!(received.body, outgoing.body);
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
