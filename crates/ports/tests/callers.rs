//! Contract tests of the HTTP interface for callers, over real sockets.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{Exchange, exchange, expand, parse_cases, start_tier};
use heatherrun_ports::caller;
use heatherrun_ports::http_server::{Limits, Phase};
use heatherrun_schema::v1;
use heatherrun_standins::local::LocalTier;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

fn parse_refusal(response: &Exchange) -> v1::Refusal {
    serde_json::from_slice(&response.body).unwrap_or_else(|e| panic!("{e}: {response:?}"))
}

/// Builds a raw request; `request_line` lacks the HTTP version. No content length
/// is added to a chunked request.
fn raw_request(request_line: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut request = format!("{request_line} HTTP/1.1\r\nHost: tier\r\n{headers}").into_bytes();
    let chunked = headers.starts_with("Transfer-Encoding");
    if !chunked {
        request.extend(format!("Content-Length: {}\r\n", body.len()).into_bytes());
    }
    request.extend(b"Connection: close\r\n\r\n");
    request.extend(body);
    request
}

/// Serves callers of the tier's first node on another port with `limits`.
async fn serve_with_limits(tier: &LocalTier, limits: Limits) -> (SocketAddr, watch::Sender<Phase>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (phase, phase_receiver) = watch::channel(Phase::Serve);
    let node = Arc::clone(&tier.nodes[0].node);
    tokio::spawn(caller::serve(listener, limits, node, phase_receiver));
    (address, phase)
}

fn search_request() -> Vec<u8> {
    raw_request(
        "POST /search",
        "",
        br#"{"service":"lotes","query":"kernels"}"#,
    )
}

#[tokio::test]
async fn serve_bad_requests_are_refused() {
    let tier = start_tier(1).await;
    let mut failures = Vec::new();
    for case in parse_cases(include_str!("cases/callers.txt")) {
        let [name, request_line, headers, body, status, kind] = case.as_slice() else {
            panic!("expected six fields: {case:?}");
        };
        let headers = String::from_utf8(expand(headers)).unwrap();
        let request = raw_request(request_line, &headers, &expand(body));
        let response = exchange(tier.nodes[0].callers, &request).await;
        if response.status.to_string() != *status {
            failures.push(format!("{name}: {response:?}"));
            continue;
        }
        let refusal = parse_refusal(&response);
        let not_run = refusal.ran() == v1::Ran::NotRun;
        if refusal.kind != *kind || !not_run || refusal.remedy.is_empty() {
            failures.push(format!("{name}: {refusal:?}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[tokio::test]
async fn serve_search_answers_with_coverage() {
    let tier = start_tier(1).await;
    let response = exchange(tier.nodes[0].callers, &search_request()).await;
    assert_eq!(response.status, 200, "{response:?}");
    let answer: v1::SearchAnswer = serde_json::from_slice(&response.body).unwrap();
    let coverage = answer.coverage.unwrap();
    assert_eq!((coverage.reached, coverage.total), (4, 4));
}

#[tokio::test]
async fn serve_addresses_lists_every_node() {
    let tier = start_tier(2).await;
    let request = raw_request("GET /addresses?service=lotes", "", b"");
    let response = exchange(tier.nodes[1].callers, &request).await;
    let answer: v1::AddressesAnswer = serde_json::from_slice(&response.body).unwrap();
    let mut listed: Vec<_> = answer.addresses.iter().map(|a| a.address.clone()).collect();
    listed.sort();
    let mut expected: Vec<_> = tier.nodes.iter().map(|n| n.callers.to_string()).collect();
    expected.sort();
    assert_eq!(listed, expected);
    assert!(answer.keep_secs > 0);
}

#[tokio::test]
async fn serve_slow_head_is_refused() {
    let tier = start_tier(1).await;
    let mut limits = caller::limits();
    limits.head_time = Duration::from_millis(200);
    let (address, _phase) = serve_with_limits(&tier, limits).await;
    let response = exchange(address, b"POST /search HTTP/1.1\r\nHost: t").await;
    assert_eq!(response.status, 408, "{response:?}");
    assert_eq!(parse_refusal(&response).kind, "slow-request");
}

#[tokio::test]
async fn serve_slow_body_is_refused() {
    let tier = start_tier(1).await;
    let mut limits = caller::limits();
    limits.body_time = Duration::from_millis(200);
    let (address, _phase) = serve_with_limits(&tier, limits).await;
    let response = exchange(
        address,
        b"POST /search HTTP/1.1\r\nHost: t\r\nContent-Length: 40\r\n\r\n{",
    )
    .await;
    assert_eq!(response.status, 408, "{response:?}");
    assert_eq!(parse_refusal(&response).kind, "slow-request");
}

#[tokio::test]
async fn serve_idle_connection_closes() {
    let tier = start_tier(1).await;
    let mut limits = caller::limits();
    limits.head_time = Duration::from_millis(200);
    let (address, _phase) = serve_with_limits(&tier, limits).await;
    let mut idle = TcpStream::connect(address).await.unwrap();
    let mut input = Vec::new();
    idle.read_to_end(&mut input).await.unwrap();
    assert!(input.is_empty(), "{}", String::from_utf8_lossy(&input));
}

#[tokio::test]
async fn serve_connection_over_limit_is_refused() {
    let tier = start_tier(1).await;
    let mut limits = caller::limits();
    limits.connections = 3;
    let (address, _phase) = serve_with_limits(&tier, limits).await;
    let mut open_connections = Vec::new();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(b"POST /sea").await.unwrap();
        open_connections.push(stream);
    }
    let response = exchange(address, &search_request()).await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(parse_refusal(&response).kind, "overloaded");
    assert!(response.head.contains("retry-after"), "{response:?}");
    open_connections.clear();
    for _ in 0..100 {
        let response = exchange(address, &search_request()).await;
        if response.status == 200 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("closed connections still count against the limit");
}

#[tokio::test]
async fn serve_caller_not_reading_is_disconnected() {
    let tier = start_tier(1).await;
    let mut limits = caller::limits();
    limits.connections = 1;
    limits.body_time = Duration::from_millis(200);
    let (address, _phase) = serve_with_limits(&tier, limits).await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (_unread, mut writer) = stream.into_split();
    // The responses exceed the socket buffers, so writing them stalls.
    let requests = b"GET /addresses HTTP/1.1\r\nHost: t\r\n\r\n".repeat(200_000);
    tokio::spawn(async move { writer.write_all(&requests).await });
    for _ in 0..500 {
        let response = exchange(address, &search_request()).await;
        if response.status == 200 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("a connection that reads nothing still counts against the limit");
}

#[tokio::test]
async fn serve_pipelined_requests_are_answered_in_order() {
    let tier = start_tier(1).await;
    let mut stream = TcpStream::connect(tier.nodes[0].callers).await.unwrap();
    let mut requests = Vec::new();
    for id in ["one", "two", "three"] {
        let body = format!(r#"{{"service":"lotes","query":"k","id":"{id}"}}"#);
        let head = "POST /search HTTP/1.1\r\nHost: tier\r\n";
        requests.extend(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes());
    }
    requests.extend(raw_request("GET /addresses", "", b""));
    stream.write_all(&requests).await.unwrap();
    let mut input = Vec::new();
    stream.read_to_end(&mut input).await.unwrap();
    let text = String::from_utf8(input).unwrap();
    let position = |needle: &str| text.find(needle).unwrap_or_else(|| panic!("{text}"));
    assert!(position("\"id\":\"one\"") < position("\"id\":\"two\""));
    assert!(position("\"id\":\"two\"") < position("\"id\":\"three\""));
    assert!(position("\"id\":\"three\"") < position("keep_secs"));
}

#[tokio::test]
async fn serve_truncated_body_runs_nothing() {
    let tier = start_tier(1).await;
    let mut stream = TcpStream::connect(tier.nodes[0].callers).await.unwrap();
    let head = b"POST /search HTTP/1.1\r\nHost: t\r\nContent-Length: 40\r\n\r\n{\"service\":";
    stream.write_all(head).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut input = Vec::new();
    let _ = stream.read_to_end(&mut input).await;
    let arrived: u64 = tier
        .searchers
        .iter()
        .map(|s| s.searcher.counts().arrived)
        .sum();
    assert_eq!(arrived, 0);
}
