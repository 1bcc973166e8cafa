//! Contract of the interface to callers, on real sockets.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{Exchange, cases, exchange, expand, tier};
use heatherrun_ports::caller;
use heatherrun_ports::http_server::{Limits, Phase};
use heatherrun_schema::v1;
use heatherrun_standins::local::LocalTier;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

fn refusal(got: &Exchange) -> v1::Refusal {
    serde_json::from_slice(&got.body).unwrap_or_else(|e| panic!("{e}: {got:?}"))
}

fn raw(target: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut request = format!("{target} HTTP/1.1\r\nHost: tier\r\n{headers}").into_bytes();
    let chunked = headers.starts_with("Transfer-Encoding");
    if !chunked {
        request.extend(format!("Content-Length: {}\r\n", body.len()).into_bytes());
    }
    request.extend(b"Connection: close\r\n\r\n");
    request.extend(body);
    request
}

/// Serves callers of the tier's first node within other limits.
async fn within(tier: &LocalTier, limits: Limits) -> (SocketAddr, watch::Sender<Phase>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (phase, phases) = watch::channel(Phase::Serve);
    let node = Arc::clone(&tier.nodes[0].node);
    tokio::spawn(caller::serve_within(listener, limits, node, phases));
    (address, phase)
}

fn search() -> Vec<u8> {
    raw(
        "POST /search",
        "",
        br#"{"service":"lotes","query":"kernels"}"#,
    )
}

#[tokio::test]
async fn serve_bad_requests_refuses() {
    let tier = tier(1).await;
    let mut wrong = Vec::new();
    for case in cases(include_str!("cases/callers.txt")) {
        let [name, target, headers, body, status, kind] = case.as_slice() else {
            panic!("six fields wanted: {case:?}");
        };
        let headers = String::from_utf8(expand(headers)).unwrap();
        let request = raw(target, &headers, &expand(body));
        let got = exchange(tier.nodes[0].callers, &request).await;
        if got.status.to_string() != *status {
            wrong.push(format!("{name}: {got:?}"));
            continue;
        }
        let refused = refusal(&got);
        let not_run = refused.ran() == v1::Ran::NotRun;
        if refused.kind != *kind || !not_run || refused.remedy.is_empty() {
            wrong.push(format!("{name}: {refused:?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[tokio::test]
async fn serve_search_answers_with_coverage() {
    let tier = tier(1).await;
    let got = exchange(tier.nodes[0].callers, &search()).await;
    assert_eq!(got.status, 200, "{got:?}");
    let answer: v1::SearchAnswer = serde_json::from_slice(&got.body).unwrap();
    let coverage = answer.coverage.unwrap();
    assert_eq!((coverage.reached, coverage.total), (4, 4));
}

#[tokio::test]
async fn serve_addresses_names_every_node() {
    let tier = tier(2).await;
    let request = raw("GET /addresses?service=lotes", "", b"");
    let got = exchange(tier.nodes[1].callers, &request).await;
    let answer: v1::AddressesAnswer = serde_json::from_slice(&got.body).unwrap();
    let mut named: Vec<_> = answer.addresses.iter().map(|a| a.address.clone()).collect();
    named.sort();
    let mut all: Vec<_> = tier.nodes.iter().map(|n| n.callers.to_string()).collect();
    all.sort();
    assert_eq!(named, all);
    assert!(answer.keep_secs > 0);
}

#[tokio::test]
async fn serve_slow_head_refuses() {
    let tier = tier(1).await;
    let mut limits = caller::limits();
    limits.head_time = Duration::from_millis(200);
    let (address, _phase) = within(&tier, limits).await;
    let got = exchange(address, b"POST /search HTTP/1.1\r\nHost: t").await;
    assert_eq!(got.status, 408, "{got:?}");
    assert_eq!(refusal(&got).kind, "slow-request");
}

#[tokio::test]
async fn serve_slow_body_refuses() {
    let tier = tier(1).await;
    let mut limits = caller::limits();
    limits.body_time = Duration::from_millis(200);
    let (address, _phase) = within(&tier, limits).await;
    let got = exchange(
        address,
        b"POST /search HTTP/1.1\r\nHost: t\r\nContent-Length: 40\r\n\r\n{",
    )
    .await;
    assert_eq!(got.status, 408, "{got:?}");
    assert_eq!(refusal(&got).kind, "slow-request");
}

#[tokio::test]
async fn serve_silent_connection_closes() {
    let tier = tier(1).await;
    let mut limits = caller::limits();
    limits.head_time = Duration::from_millis(200);
    let (address, _phase) = within(&tier, limits).await;
    let mut silent = TcpStream::connect(address).await.unwrap();
    let mut input = Vec::new();
    silent.read_to_end(&mut input).await.unwrap();
    assert!(input.is_empty(), "{}", String::from_utf8_lossy(&input));
}

#[tokio::test]
async fn serve_connections_over_limit_refuses() {
    let tier = tier(1).await;
    let mut limits = caller::limits();
    limits.connections = 3;
    let (address, _phase) = within(&tier, limits).await;
    let mut held = Vec::new();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(b"POST /sea").await.unwrap();
        held.push(stream);
    }
    let got = exchange(address, &search()).await;
    assert_eq!(got.status, 503, "{got:?}");
    assert_eq!(refusal(&got).kind, "overloaded");
    assert!(got.head.contains("retry-after"), "{got:?}");
    held.clear();
    for _ in 0..100 {
        let got = exchange(address, &search()).await;
        if got.status == 200 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("places of closed connections were not given back");
}

#[tokio::test]
async fn serve_caller_that_reads_nothing_loses_its_place() {
    let tier = tier(1).await;
    let mut limits = caller::limits();
    limits.connections = 1;
    limits.body_time = Duration::from_millis(200);
    let (address, _phase) = within(&tier, limits).await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (_unread, mut writer) = stream.into_split();
    let asked = b"GET /addresses HTTP/1.1\r\nHost: t\r\n\r\n".repeat(200_000);
    tokio::spawn(async move { writer.write_all(&asked).await });
    for _ in 0..500 {
        let got = exchange(address, &search()).await;
        if got.status == 200 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("a connection that reads nothing keeps its place");
}

#[tokio::test]
async fn serve_pipelined_answers_in_order() {
    let tier = tier(1).await;
    let mut stream = TcpStream::connect(tier.nodes[0].callers).await.unwrap();
    let mut sent = Vec::new();
    for id in ["one", "two", "three"] {
        let body = format!(r#"{{"service":"lotes","query":"k","id":"{id}"}}"#);
        let head = "POST /search HTTP/1.1\r\nHost: tier\r\n";
        sent.extend(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes());
    }
    sent.extend(raw("GET /addresses", "", b""));
    stream.write_all(&sent).await.unwrap();
    let mut input = Vec::new();
    stream.read_to_end(&mut input).await.unwrap();
    let text = String::from_utf8(input).unwrap();
    let at = |needle: &str| text.find(needle).unwrap_or_else(|| panic!("{text}"));
    assert!(at("\"id\":\"one\"") < at("\"id\":\"two\""));
    assert!(at("\"id\":\"two\"") < at("\"id\":\"three\""));
    assert!(at("\"id\":\"three\"") < at("keep_secs"));
}

#[tokio::test]
async fn serve_cut_body_runs_nothing() {
    let tier = tier(1).await;
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
