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

/// Length of a body in these tests; all bodies together have memory for one.
const BODY_BYTES: usize = 64 * 1_024;

/// A server that replies with the length of the body, and its phase.
struct Server {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    serving: tokio::task::JoinHandle<()>,
}

async fn start_server(connections: usize) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (phase, phase_receiver) = watch::channel(Phase::Serve);
    let hour = Duration::from_hours(1);
    let limits = Limits {
        body: BODY_BYTES,
        body_memory: BODY_BYTES,
        connections,
        head_time: hour,
        body_time: hour,
    };
    let serving = http_server::serve(listener, limits, phase_receiver, |received, _| async {
        match received {
            Ok(received) => plain(StatusCode::OK, &received.body.len().to_string()),
            Err(fault) => fault.reply(),
        }
    });
    Server {
        address,
        phase,
        serving: tokio::spawn(serving),
    }
}

/// A request that closes its connection, up to this byte of its body.
async fn send_body(address: SocketAddr, bytes: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'b'; bytes]).await.unwrap();
    stream
}

/// Waits until the server has read what was sent, and a connection counts as
/// stalled or idle.
async fn wait_stalled() {
    tokio::time::sleep(Duration::from_millis(1_200)).await;
}

#[tokio::test]
async fn serve_stalled_body_makes_room() {
    let server = start_server(8).await;
    let mut stalled = send_body(server.address, BODY_BYTES - 5).await;
    wait_stalled().await;
    let mut whole = send_body(server.address, BODY_BYTES).await;
    let reply = read_all(&mut whole).await;
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(reply.ends_with("65536"), "{reply}");
    let refusal = read_all(&mut stalled).await;
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("retry-after"), "{refusal}");
}

/// One that is about to finish keeps its memory before one that lacks more, and a
/// small one is served beside both.
#[tokio::test]
async fn serve_body_that_lacks_more_is_refused() {
    let server = start_server(8).await;
    let mut almost = send_body(server.address, BODY_BYTES - 5).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut half = send_body(server.address, BODY_BYTES / 2).await;
    let refusal = read_all(&mut half).await;
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    let client = Client::default();
    assert_eq!(get_status(&client, server.address, "/").await, 200);
    almost.write_all(b"bbbbb").await.unwrap();
    let reply = read_all(&mut almost).await;
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
}

/// Guards against a body that arrived steadily, but lost its memory as stalled one
/// second after its buffer had last grown.
#[tokio::test]
async fn serve_body_that_arrives_slowly_keeps_its_memory() {
    const PIECES: usize = 4;
    let server = start_server(8).await;
    let mut slow = send_body(server.address, BODY_BYTES / PIECES).await;
    for piece in 1..PIECES {
        tokio::time::sleep(Duration::from_millis(600)).await;
        slow.write_all(&vec![b'b'; BODY_BYTES / PIECES])
            .await
            .unwrap();
        if piece == PIECES - 2 {
            let mut other = send_body(server.address, BODY_BYTES).await;
            let refusal = read_all(&mut other).await;
            assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
        }
    }
    let reply = read_all(&mut slow).await;
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
}

#[tokio::test]
async fn serve_connections_without_progress_make_room() {
    let server = start_server(3).await;
    let mut head = TcpStream::connect(server.address).await.unwrap();
    head.write_all(b"POST / HTTP/1.1\r\nhost:").await.unwrap();
    let mut silent = TcpStream::connect(server.address).await.unwrap();
    let _body = send_body(server.address, BODY_BYTES - 5).await;
    wait_stalled().await;
    for _ in 0..6 {
        let retrying = async {
            // A refused caller comes back.
            while get_status(&Client::default(), server.address, "/").await != 200 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let result = tokio::time::timeout(Duration::from_secs(20), retrying).await;
        assert!(result.is_ok(), "no connection made room");
    }
    let refusal = read_all(&mut head).await;
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert_eq!(read_all(&mut silent).await, "");
}

/// A request on a connection that has been idle is served as before while there
/// are fewer connections than the limit.
#[tokio::test]
async fn serve_idle_connection_below_the_limit_stays() {
    let server = start_server(3).await;
    let client = Client::default();
    assert_eq!(get_status(&client, server.address, "/").await, 200);
    wait_stalled().await;
    let other = Client::default();
    assert_eq!(get_status(&other, server.address, "/").await, 200);
    assert_eq!(get_status(&client, server.address, "/").await, 200);
    assert_eq!(client.connections(server.address), 1);
}

/// Guards against a planned stop that waited for the rest of heads and bodies for
/// as long as these may take.
#[tokio::test]
async fn serve_close_does_not_wait_for_stalled_clients() {
    let server = start_server(8).await;
    let mut head = TcpStream::connect(server.address).await.unwrap();
    head.write_all(b"POST / HTTP/1.1\r\nhost:").await.unwrap();
    let body = send_body(server.address, BODY_BYTES - 5).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    server.phase.send_replace(Phase::Close);
    let ended = tokio::time::timeout(Duration::from_secs(20), server.serving).await;
    assert!(ended.is_ok(), "still serving");
    drop((head, body));
}
