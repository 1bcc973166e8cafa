//! HTTP server with bounded headers, bodies and times, and graceful shutdown.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Longest time in which a request's headers must arrive.
const HEADER_TIME: Duration = Duration::from_secs(5);

/// Longest time in which a request's body must arrive.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Bytes of headers and read buffer at the most, per connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Headers of one request at the most.
const MOST_HEADERS: usize = 64;

/// A request whose body has been read.
#[derive(Debug)]
pub struct Received {
    /// Method and path with query, headers.
    pub head: http::request::Parts,
    /// Body.
    pub body: Bytes,
}

/// Response with a body in memory.
pub type Reply = Response<Full<Bytes>>;

/// Serves `listener` until `stop` turns true, then finishes open requests.
///
/// `answer` is called with each request whose body has at most `most` bytes.
pub async fn serve<F>(
    listener: TcpListener,
    most: usize,
    mut stop: watch::Receiver<bool>,
    answer: impl Fn(Received, SocketAddr) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stop.wait_for(|stopped| *stopped) => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let answer = answer.clone();
            async move { Ok::<_, Infallible>(receive(request, from, most, answer).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIME)
            .max_buf_size(BUFFER_BYTES)
            .max_headers(MOST_HEADERS)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(graceful.watch(connection));
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn receive<F: Future<Output = Reply>>(
    request: Request<Incoming>,
    from: SocketAddr,
    most: usize,
    answer: impl Fn(Received, SocketAddr) -> F,
) -> Reply {
    let (head, body) = request.into_parts();
    let read = Limited::new(body, most).collect();
    match tokio::time::timeout(BODY_TIME, read).await {
        Ok(Ok(body)) => {
            let body = body.to_bytes();
            answer(Received { head, body }, from).await
        }
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
        }
        Ok(Err(_)) => plain(StatusCode::BAD_REQUEST, "body cut"),
        Err(_) => plain(StatusCode::REQUEST_TIMEOUT, "body too slow"),
    }
}

/// Response of one line of text.
#[must_use]
pub fn plain(status: StatusCode, text: &str) -> Reply {
    respond(status, Bytes::copy_from_slice(text.as_bytes()))
}

/// Response with the JSON form of `value`.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => respond(status, Bytes::from(body)),
        Err(e) => plain(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Response with a body.
#[must_use]
pub fn respond(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply
}
