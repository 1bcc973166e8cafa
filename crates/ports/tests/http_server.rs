//! Tests of the HTTP server on its own, over real sockets.

use heatherrun_ports::http_client::{Client, Route, Whose};
use heatherrun_ports::http_reply::plain;
use heatherrun_ports::http_server::{self, Limits, Phase};
use http::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Sends a GET request over the client's connection to `address`.
async fn get_status(client: &Client, address: SocketAddr, path: &str) -> StatusCode {
    let route = Route {
        address,
        connections: 1,
        reply: 1 << 16,
        left: Duration::from_secs(10),
        id_hash: 0,
        keeps: true,
    };
    let request = Request::get(path).body(bytes::Bytes::new()).unwrap();
    let reply = client.exchange(route, request, |_| Whose::Own).await;
    reply.unwrap().status()
}

#[tokio::test]
async fn serve_handler_panics_answer_only_their_own_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_phase, phase_receiver) = watch::channel(Phase::Serve);
    tokio::spawn(http_server::serve(
        listener,
        Limits::new(1 << 16),
        phase_receiver,
        |received, _| async move {
            let path = received.unwrap().head.uri.path().to_owned();
            assert!(path != "/panics", "a fault of the handler");
            plain(StatusCode::OK, "fine")
        },
    ));
    let client = Client::default();
    assert_eq!(get_status(&client, address, "/fine").await, 200);
    assert_eq!(get_status(&client, address, "/panics").await, 500);
    assert_eq!(get_status(&client, address, "/fine").await, 200);
    assert_eq!(client.connections(address), 1);
}

/// A request without a body.
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Reads until the other side closes the connection.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut text)).await;
    String::from_utf8_lossy(&text).into_owned()
}

/// A planned stop under load: requests are on their way on kept connections when
/// the server closes. None that it reads is cut off.
#[tokio::test]
async fn serve_requests_sent_as_the_server_closes_are_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (phase, phase_receiver) = watch::channel(Phase::Serve);
    let server = tokio::spawn(http_server::serve(
        listener,
        Limits::new(1 << 16),
        phase_receiver,
        |_, _| async move { plain(StatusCode::OK, "fine") },
    ));
    let mut callers = Vec::new();
    for _ in 0..40 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(REQUEST).await.unwrap();
        let mut first = [0; 512];
        assert!(stream.read(&mut first).await.unwrap() > 0);
        callers.push(stream);
    }
    phase.send_replace(Phase::Leave);
    phase.send_replace(Phase::Close);
    // The connections learn of the close before the requests arrive.
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
    for stream in &mut callers {
        let _ = stream.write_all(REQUEST).await;
    }
    for mut stream in callers {
        let reply = read_all(&mut stream).await;
        assert!(
            reply.starts_with("HTTP/1.1 200") && reply.ends_with("fine"),
            "{reply:?}"
        );
        assert!(reply.to_lowercase().contains("connection: close"));
    }
    server.await.unwrap();
}
