//! Contract of the interface to operators, on real sockets, and of the HTTP
//! library on the ports: `oxhttp` where it passes, `hyper` where it does not.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::{cases, exchange, expand, tier};
use heatherrun_schema::v1::{self, Operator};
use heatherrun_standins::script::{Act, Script};
use oxhttp::model::{Body, Request, Response, Uri};

#[tokio::test]
async fn serve_bad_calls_refuses() {
    let tier = tier(1).await;
    let before = tier.nodes[0].node.view.load().revision;
    let mut wrong = Vec::new();
    for case in cases(include_str!("cases/operators.txt")) {
        let [name, target, body, status, part] = case.as_slice() else {
            panic!("five fields wanted: {case:?}");
        };
        let body = expand(body);
        let head = format!("{target} HTTP/1.1\r\nHost: tier\r\nConnection: close\r\n");
        let mut request = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        request.extend(body);
        let got = exchange(tier.nodes[0].operators, &request).await;
        let text = String::from_utf8_lossy(&got.body);
        if got.status.to_string() != *status || !text.contains(part.as_str()) {
            wrong.push(format!("{name}: {} {text}", got.status));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    assert_eq!(tier.nodes[0].node.view.load().revision, before);
}

#[tokio::test]
async fn apply_on_stale_revision_is_refused() {
    let tier = tier(1).await;
    let request = v1::ApplyRequest {
        config: Some(v1::TierConfig::default()),
        base: 1,
        ..v1::ApplyRequest::default()
    };
    let answer = tier.nodes[0].node.apply(request).await;
    assert!(!answer.is_ok_and(|a| a.accepted));
}

/// Status and body of one call by `oxhttp`, as the operators' client sends it.
async fn call(address: SocketAddr) -> Result<(u16, Vec<u8>), String> {
    let sent = tokio::task::spawn_blocking(move || {
        let uri: Uri = format!("http://{address}/operator/Status").parse().unwrap();
        let request = Request::post(uri).body(Body::from("{}")).unwrap();
        let client = oxhttp::Client::new().with_global_timeout(Duration::from_secs(5));
        let response = client.request(request).map_err(|e| e.to_string())?;
        let status = response.status().as_u16();
        let body = response.into_body().to_vec().map_err(|e| e.to_string())?;
        Ok((status, body))
    });
    sent.await.unwrap()
}

#[tokio::test]
async fn oxhttp_client_calls_an_operator_port() {
    let tier = tier(1).await;
    let (status, body) = call(tier.nodes[0].operators).await.unwrap();
    assert_eq!(status, 200);
    let answer: v1::StatusAnswer = serde_json::from_slice(&body).unwrap();
    assert_eq!(answer.node, "entry-0");
}

#[tokio::test]
async fn oxhttp_client_tells_cut_answers() {
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
        let got = call(script.address).await;
        assert!(got.is_err(), "{act:?}: {got:?}");
    }
}

#[tokio::test]
async fn oxhttp_client_keeps_no_connection() {
    let reply = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".to_owned();
    let script = Script::start([Act::Write(reply)]).await.unwrap();
    for _ in 0..3 {
        call(script.address).await.unwrap();
    }
    assert_eq!((script.requests(), script.accepted()), (3, 3));
}

/// Server of the library with at most one connection.
fn oxhttp_server() -> SocketAddr {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let server = oxhttp::Server::new(|_| Response::new(Body::from("{}")))
        .bind(address)
        .with_max_concurrent_connections(1)
        .with_global_timeout(Duration::from_secs(20));
    server.spawn().unwrap();
    address
}

#[test]
fn oxhttp_server_leaves_a_connection_over_the_limit_without_an_answer() {
    let address = oxhttp_server();
    let mut held = TcpStream::connect(address).unwrap();
    held.write_all(b"POST /sea").unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let mut second = TcpStream::connect(address).unwrap();
    second
        .write_all(b"GET / HTTP/1.1\r\nHost: t\r\n\r\n")
        .unwrap();
    second
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let got = second.read(&mut [0; 64]);
    assert!(got.is_err(), "{got:?}");
}
