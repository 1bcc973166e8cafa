//! Contract tests of the HTTP interface for operators, over real sockets, and
//! tests of the HTTP library `oxhttp`. Its client is used for operator calls; its
//! server is not used, because it does not refuse connections over its limit.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::{exchange, expand, parse_cases, start_tier};
use heatherrun_schema::v1::{self, Operator};
use heatherrun_standins::script::{Act, Script};
use oxhttp::model::{Body, Request, Response, Uri};

#[tokio::test]
async fn serve_bad_calls_are_refused() {
    let tier = start_tier(1).await;
    let revision_before = tier.nodes[0].node.view.load().revision;
    let mut failures = Vec::new();
    for case in parse_cases(include_str!("cases/operators.txt")) {
        let [name, request_line, body, status, text_part] = case.as_slice() else {
            panic!("expected five fields: {case:?}");
        };
        let body = expand(body);
        let head = format!("{request_line} HTTP/1.1\r\nHost: tier\r\nConnection: close\r\n");
        let mut request = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        request.extend(body);
        let response = exchange(tier.nodes[0].operators, &request).await;
        let text = String::from_utf8_lossy(&response.body);
        if response.status.to_string() != *status || !text.contains(text_part.as_str()) {
            failures.push(format!("{name}: {} {text}", response.status));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    assert_eq!(tier.nodes[0].node.view.load().revision, revision_before);
}

#[tokio::test]
async fn apply_stale_revision_is_refused() {
    let tier = start_tier(1).await;
    let request = v1::ApplyRequest {
        config: Some(v1::TierConfig::default()),
        base: 1,
        ..v1::ApplyRequest::default()
    };
    let answer = tier.nodes[0].node.apply(request).await;
    assert!(!answer.is_ok_and(|a| a.accepted));
}

/// Sends one operator call with `oxhttp`, as the operators' client does, and
/// returns the status and body.
async fn send_call(address: SocketAddr) -> Result<(u16, Vec<u8>), String> {
    let sending = tokio::task::spawn_blocking(move || {
        let uri: Uri = format!("http://{address}/operator/Status").parse().unwrap();
        let request = Request::post(uri).body(Body::from("{}")).unwrap();
        let client = oxhttp::Client::new().with_global_timeout(Duration::from_secs(5));
        let response = client.request(request).map_err(|e| e.to_string())?;
        let status = response.status().as_u16();
        let body = response.into_body().to_vec().map_err(|e| e.to_string())?;
        Ok((status, body))
    });
    sending.await.unwrap()
}

#[tokio::test]
async fn oxhttp_client_calls_operator_port() {
    let tier = start_tier(1).await;
    let (status, body) = send_call(tier.nodes[0].operators).await.unwrap();
    assert_eq!(status, 200);
    let answer: v1::StatusAnswer = serde_json::from_slice(&body).unwrap();
    assert_eq!(answer.node, "entry-0");
}

#[tokio::test]
async fn oxhttp_client_truncated_response_is_an_error() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n";
    let acts = [
        Act::Reset,
        Act::ResetUnread,
        Act::WriteClose(String::new()),
        Act::WriteClose("HTTP/1.1 200".to_owned()),
        Act::WriteClose(format!("{head}{{")),
    ];
    for act in acts {
        let script = Script::start([act.clone()]).await.unwrap();
        let response = send_call(script.address).await;
        assert!(response.is_err(), "{act:?}: {response:?}");
    }
}

#[tokio::test]
async fn oxhttp_client_opens_a_connection_per_request() {
    let reply = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".to_owned();
    let script = Script::start([Act::Write(reply)]).await.unwrap();
    for _ in 0..3 {
        send_call(script.address).await.unwrap();
    }
    assert_eq!((script.requests(), script.accepted()), (3, 3));
}

/// Starts an `oxhttp` server that allows one concurrent connection.
fn start_oxhttp_server() -> SocketAddr {
    let free_port = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free_port.local_addr().unwrap();
    drop(free_port);
    let server = oxhttp::Server::new(|_| Response::new(Body::from("{}")))
        .bind(address)
        .with_max_concurrent_connections(1)
        .with_global_timeout(Duration::from_secs(20));
    server.spawn().unwrap();
    address
}

#[test]
fn oxhttp_server_connection_over_limit_gets_no_response() {
    let address = start_oxhttp_server();
    let mut first = TcpStream::connect(address).unwrap();
    first.write_all(b"POST /sea").unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let mut second = TcpStream::connect(address).unwrap();
    second
        .write_all(b"GET / HTTP/1.1\r\nHost: t\r\n\r\n")
        .unwrap();
    second
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let response = second.read(&mut [0; 64]);
    assert!(response.is_err(), "{response:?}");
}
