//! HTTP server with graceful shutdown and limits on connections, headers,
//! bodies and the time that each may take.

use std::{
    net::SocketAddr,
    panic::AssertUnwindSafe,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::FutureExt;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::http_io::GuardedStream;
use crate::http_reply::{Aborted, Fault, Reply, plain, set_connection_close};

/// Maximum size of the read buffer of a connection, and so of a request's head,
/// in bytes.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

/// Maximum number of connections over the limit that are sent a refusal at the
/// same time; further ones are closed without a response.
const MAX_CONCURRENT_REFUSALS: usize = 64;

/// Maximum wait, while the server closes, for the first request of a connection
/// that has sent none yet.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which, while the server closes, a kept connection is still read: a
/// request may be on its way.
const KEPT_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time to keep reading from a peer after the last response while the
/// server closes. A response is in transit for some tens of milliseconds; a
/// longer wait would let idle peers use up the time limit of the stop.
const CLOSING_LINGER_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limits on what a server accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum number of connections open at the same time.
    pub connections: usize,
    /// Maximum time for the headers of a request to arrive.
    pub head_time: Duration,
    /// Maximum time for the body of a request to arrive, and maximum time that a
    /// peer may read no byte of a response.
    pub body_time: Duration,
}

impl Limits {
    /// Default limits with bodies of at most `body` bytes.
    #[must_use]
    pub const fn new(body: usize) -> Self {
        Self {
            body,
            connections: 2_048,
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(10),
        }
    }
}

/// Lifecycle phase of a server, in chronological order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Serves requests and keeps connections open.
    #[default]
    Serve,
    /// Serves requests and closes each connection after its next response.
    Leave,
    /// Accepts no more connections; finishes the requests in flight.
    Close,
}

/// A number that the handler keeps for all requests of a connection, among the
/// extensions of a request's head; zero at first.
#[derive(Clone, Debug, Default)]
pub struct ConnectionNote(pub Arc<AtomicU64>);

/// A request whose body has been read completely.
#[derive(Debug)]
pub struct Received {
    /// Method, URI and headers.
    pub head: http::request::Parts,
    /// Complete body.
    pub body: Bytes,
}

/// State shared by all connections of one server.
struct Shared<H> {
    limits: Limits,
    phase: watch::Receiver<Phase>,
    handler: H,
}

/// Serves `listener` until the phase is [`Phase::Close`], then finishes the
/// requests in flight and returns.
///
/// `handler` is called with each request, or with the fault for which the
/// server rejected it, and with the address of the peer.
pub async fn serve<F>(
    listener: TcpListener,
    limits: Limits,
    mut phase: watch::Receiver<Phase>,
    handler: impl Fn(Result<Received, Fault>, SocketAddr) -> F + Send + Sync + 'static,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let connection_slots = Arc::new(Semaphore::new(limits.connections));
    let refusal_slots = Arc::new(Semaphore::new(MAX_CONCURRENT_REFUSALS));
    let shared = Arc::new(Shared {
        limits,
        phase: phase.clone(),
        handler,
    });
    loop {
        let accepted = tokio::select! {
            biased;
            _ = phase.wait_for(|p| *p == Phase::Close) => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        start_connection(&shared, &connection_slots, &refusal_slots, stream, peer);
    }
    // Connections that the kernel has already accepted are still served.
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        start_connection(&shared, &connection_slots, &refusal_slots, stream, peer);
    }
    drop(listener);
    // All slots are free only when every connection has closed.
    let all_slots = u32::try_from(limits.connections).unwrap_or(u32::MAX);
    let _ = connection_slots.acquire_many(all_slots).await;
}

/// Serves a connection if a connection slot is free, and refuses it otherwise.
fn start_connection<F, H>(
    shared: &Arc<Shared<H>>,
    connection_slots: &Arc<Semaphore>,
    refusal_slots: &Arc<Semaphore>,
    stream: TcpStream,
    peer: SocketAddr,
) where
    F: Future<Output = Reply> + Send + 'static,
    H: Fn(Result<Received, Fault>, SocketAddr) -> F + Send + Sync + 'static,
{
    let _ = stream.set_nodelay(true);
    let io = GuardedStream::new(stream, shared.limits.body_time);
    if let Ok(slot) = Arc::clone(connection_slots).try_acquire_owned() {
        tokio::spawn(serve_connection(Arc::clone(shared), io, peer, slot));
    } else if let Ok(slot) = Arc::clone(refusal_slots).try_acquire_owned() {
        tokio::spawn(refuse_connection(io, slot));
    }
}

/// Refuses a connection over the limit and closes it.
async fn refuse_connection(mut io: GuardedStream, slot: OwnedSemaphorePermit) {
    io.refuse(Fault::TooManyConnections).await;
    io.linger().await;
    drop(slot);
}

/// Serves one connection until it closes.
async fn serve_connection<F, H>(
    shared: Arc<Shared<H>>,
    io: GuardedStream,
    peer: SocketAddr,
    slot: OwnedSemaphorePermit,
) where
    F: Future<Output = Reply> + Send + 'static,
    H: Fn(Result<Received, Fault>, SocketAddr) -> F + Send + Sync + 'static,
{
    let request_count = Arc::new(AtomicU64::new(0));
    let reply_count = Arc::new(AtomicU64::new(0));
    let (service_shared, counter) = (Arc::clone(&shared), Arc::clone(&request_count));
    let replies = Arc::clone(&reply_count);
    let note = ConnectionNote::default();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(note.clone());
        counter.fetch_add(1, Ordering::AcqRel);
        let (shared, replies) = (Arc::clone(&service_shared), Arc::clone(&replies));
        async move {
            let reply = handle_request(&shared, request, peer).await;
            replies.fetch_add(1, Ordering::AcqRel);
            reply
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.limits.head_time)
        .max_buf_size(MAX_BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(io), service);
    let mut phase = shared.phase.clone();
    let mut result = tokio::select! {
        biased;
        result = &mut connection => Some(result),
        _ = phase.wait_for(|p| *p == Phase::Close) => None,
    };
    let mut is_idle = false;
    if result.is_none() {
        let requests_before = request_count.load(Ordering::Acquire);
        let wait = if requests_before == 0 {
            FIRST_REQUEST_TIMEOUT
        } else {
            KEPT_REQUEST_TIMEOUT
        };
        result = tokio::time::timeout(wait, &mut connection).await.ok();
        is_idle = result.is_none()
            && request_count.load(Ordering::Acquire) == requests_before
            && reply_count.load(Ordering::Acquire) == requests_before;
    }
    let result = if let Some(result) = result {
        result
    } else {
        Pin::new(&mut connection).graceful_shutdown();
        (&mut connection).await
    };
    let parts = connection.into_parts();
    let mut io = parts.io.into_inner();
    // A partial head is refused; a connection that sent nothing just closes.
    if result.is_err_and(|e| e.is_timeout()) && !parts.read_buf.is_empty() {
        io.refuse(Fault::SlowHead).await;
    }
    if is_idle {
        // No response is on its way, and a request that still comes is not to
        // be read: the reset tells its sender so.
        return;
    }
    let closing_linger = async {
        let _ = phase.wait_for(|p| *p == Phase::Close).await;
        tokio::time::sleep(CLOSING_LINGER_TIMEOUT).await;
    };
    tokio::select! {
        () = io.linger() => {}
        () = closing_linger => {}
    }
    drop(slot);
}

/// Reply to a request whose handler failed: whether it ran is unknown.
fn internal_error() -> Reply {
    plain(
        StatusCode::INTERNAL_SERVER_ERROR,
        "internal error; the request may have run",
    )
}

/// Reads the body within the limits and passes the request or its fault to the
/// handler.
async fn handle_request<F, H>(
    shared: &Shared<H>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Result<Reply, Aborted>
where
    F: Future<Output = Reply>,
    H: Fn(Result<Received, Fault>, SocketAddr) -> F,
{
    let (head, body) = request.into_parts();
    let declared_bytes = body.size_hint().lower();
    let read_body = Limited::new(body, shared.limits.body).collect();
    let received = if declared_bytes > shared.limits.body as u64 {
        // The declared length suffices to reject the body without reading it.
        Err(Fault::LongBody)
    } else {
        match tokio::time::timeout(shared.limits.body_time, read_body).await {
            Ok(Ok(body)) => Ok(Received {
                head,
                body: body.to_bytes(),
            }),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Fault::LongBody),
            Ok(Err(_)) => Err(Fault::TruncatedBody),
            Err(_) => Err(Fault::SlowBody),
        }
    };
    let is_fault = received.is_err();
    let handling = AssertUnwindSafe(async { (shared.handler)(received, peer).await });
    let mut reply = handling.catch_unwind().await.unwrap_or_else(|_| {
        log::error!(peer:% = peer; "request.handler-panicked");
        internal_error()
    });
    if is_fault || *shared.phase.borrow() != Phase::Serve {
        set_connection_close(&mut reply);
    }
    match reply.extensions().get::<Aborted>() {
        Some(aborted) => Err(*aborted),
        None => Ok(reply),
    }
}
