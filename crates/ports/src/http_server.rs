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
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::capacity::{Capacity, Shortage};
use crate::http_body::BodyReader;
use crate::http_connections::{Admitted, Close, Connection, Connections, Stage};
use crate::http_io::GuardedStream;
use crate::http_reply::{Aborted, Fault, Reply, plain, set_connection_close};

/// Maximum size of the read buffer of a connection, and so of a request's head,
/// in bytes.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

/// Maximum number of connections over the limit that are sent a refusal at the
/// same time, and the part of the limit that it is at most; further ones are
/// closed without a response.
const MAX_CONCURRENT_REFUSALS: usize = 64;
const REFUSALS_DIVISOR: usize = 16;

/// Maximum wait, while the server closes, for the first request of a connection
/// that has sent none yet.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which, while the server closes, a kept connection is still read: a
/// request may be on its way.
const KEPT_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time to keep reading from a peer after the last response while the
/// server closes, or while others need the connection. A response is in transit
/// for some tens of milliseconds; a longer wait would let idle peers use up the
/// time limit of the stop.
const CLOSING_LINGER_TIMEOUT: Duration = Duration::from_millis(250);

/// Size of the kernel's buffer for unread bytes of a connection: it counts as
/// memory of the process.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limits on what a server accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum memory of all request bodies, in bytes. The start of each is not
    /// counted.
    pub body_memory: usize,
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
            body_memory: 32 << 20,
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
    capacity: Arc<Capacity>,
    connections: Arc<Connections>,
    refusal_slots: Arc<Semaphore>,
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
    phase: watch::Receiver<Phase>,
    handler: impl Fn(Result<Received, Fault>, SocketAddr) -> F + Send + Sync + 'static,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let capacity = Arc::new(Capacity::new(&limits));
    serve_within(listener, limits, capacity, phase, handler).await;
}

/// Serves like [`serve`], within a capacity that may change meanwhile; it replaces
/// the number of connections and the memory of bodies in `limits`.
pub async fn serve_within<F>(
    listener: TcpListener,
    limits: Limits,
    capacity: Arc<Capacity>,
    mut phase: watch::Receiver<Phase>,
    handler: impl Fn(Result<Received, Fault>, SocketAddr) -> F + Send + Sync + 'static,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    // Accepted sockets inherit the size.
    if let Err(e) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!(reason:% = e; "socket.options");
    }
    let connections = Arc::<Connections>::default();
    let refusals = (capacity.connections() / REFUSALS_DIVISOR).clamp(1, MAX_CONCURRENT_REFUSALS);
    let shared = Arc::new(Shared {
        limits,
        capacity: Arc::clone(&capacity),
        connections: Arc::clone(&connections),
        refusal_slots: Arc::new(Semaphore::new(refusals)),
        phase: phase.clone(),
        handler,
    });
    loop {
        let accepted = tokio::select! {
            biased;
            _ = phase.wait_for(|p| *p == Phase::Close) => break,
            accepted = listener.accept() => accepted,
            () = capacity.replies_short() => {
                connections.close_unread();
                continue;
            }
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        start_connection(&shared, stream, peer);
    }
    // Connections that the kernel has already accepted are still served.
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        start_connection(&shared, stream, peer);
    }
    drop(listener);
    connections.all_closed().await;
}

/// Serves a connection if there is room for it, and refuses it otherwise.
fn start_connection<F, H>(shared: &Arc<Shared<H>>, stream: TcpStream, peer: SocketAddr)
where
    F: Future<Output = Reply> + Send + 'static,
    H: Fn(Result<Received, Fault>, SocketAddr) -> F + Send + Sync + 'static,
{
    let _ = stream.set_nodelay(true);
    let io = GuardedStream::new(stream, shared.limits.body_time);
    let limit = shared.capacity.connections();
    if let Some(admitted) = shared.connections.admit(limit) {
        if admitted.replaces {
            shared.capacity.record(Shortage::ConnectionClosed);
        }
        let io = io.observed_by(Arc::clone(&admitted.connection));
        tokio::spawn(serve_connection(Arc::clone(shared), io, peer, admitted));
        return;
    }
    shared.capacity.record(Shortage::ConnectionRefused);
    if let Ok(slot) = Arc::clone(&shared.refusal_slots).try_acquire_owned() {
        tokio::spawn(refuse_connection(io, slot));
    }
}

/// Refuses a connection over the limit and closes it.
async fn refuse_connection(mut io: GuardedStream, slot: OwnedSemaphorePermit) {
    io.refuse(Fault::TooManyConnections).await;
    io.linger().await;
    drop(slot);
}

/// How the HTTP library's part of a connection ended.
enum Ended {
    /// It closed the connection, or failed.
    Done(hyper::Result<()>),
    /// It waits for a request that is not to be read any more.
    Idle,
    /// The client does not read its answer, and others need the room.
    Abandoned,
}

/// Serves one connection until it closes.
async fn serve_connection<F, H>(
    shared: Arc<Shared<H>>,
    io: GuardedStream,
    peer: SocketAddr,
    admitted: Admitted,
) where
    F: Future<Output = Reply> + Send + 'static,
    H: Fn(Result<Received, Fault>, SocketAddr) -> F + Send + Sync + 'static,
{
    let counts = Arc::<RequestCounts>::default();
    let (service_shared, service_counts) = (Arc::clone(&shared), Arc::clone(&counts));
    let connection = Arc::clone(&admitted.connection);
    let note = ConnectionNote::default();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(note.clone());
        service_counts.started.fetch_add(1, Ordering::AcqRel);
        let (shared, counts) = (Arc::clone(&service_shared), Arc::clone(&service_counts));
        let connection = Arc::clone(&connection);
        async move {
            let reply = handle_request(&shared, &connection, request, peer).await;
            counts.replied.fetch_add(1, Ordering::AcqRel);
            connection.set_stage(Stage::Idle);
            reply
        }
    });
    let mut http = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.limits.head_time)
        .max_buf_size(MAX_BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(io), service);
    let connection = &*admitted.connection;
    let mut phase = shared.phase.clone();
    let server_closes = async {
        let _ = phase.wait_for(|p| *p == Phase::Close).await;
    };
    let ended = tokio::select! {
        biased;
        result = &mut http => Ended::Done(result),
        () = connection.closes(Close::Connection) => {
            if connection.is_unread() {
                Ended::Abandoned
            } else {
                finish(&mut http, &counts, connection, Duration::ZERO).await
            }
        }
        () = server_closes => {
            let wait = if counts.started.load(Ordering::Acquire) == 0 {
                FIRST_REQUEST_TIMEOUT
            } else {
                KEPT_REQUEST_TIMEOUT
            };
            finish(&mut http, &counts, connection, wait).await
        }
    };
    let parts = http.into_parts();
    let mut io = parts.io.into_inner();
    let result = match ended {
        Ended::Done(result) => result,
        Ended::Abandoned => return,
        Ended::Idle => {
            // No response is on its way, and a request that still comes is not
            // to be read: the reset tells its sender so.
            if connection.is_closing() && !parts.read_buf.is_empty() {
                io.refuse(Fault::TooManyConnections).await;
                let _ = tokio::time::timeout(CLOSING_LINGER_TIMEOUT, io.linger()).await;
            }
            return;
        }
    };
    // A partial head is refused; a connection that sent nothing just closes.
    if result.is_err_and(|e| e.is_timeout()) && !parts.read_buf.is_empty() {
        io.refuse(Fault::SlowHead).await;
    }
    let closing_linger = async {
        if !connection.is_closing() {
            let _ = phase.wait_for(|p| *p == Phase::Close).await;
        }
        tokio::time::sleep(CLOSING_LINGER_TIMEOUT).await;
    };
    tokio::select! {
        () = io.linger() => {}
        () = closing_linger => {}
    }
    drop(admitted);
}

/// Requests of one connection.
#[derive(Debug, Default)]
struct RequestCounts {
    started: AtomicU64,
    replied: AtomicU64,
}

impl RequestCounts {
    fn load(&self) -> (u64, u64) {
        let started = self.started.load(Ordering::Acquire);
        (started, self.replied.load(Ordering::Acquire))
    }
}

/// Ends the connection after the requests in flight and those that begin within
/// `wait`.
async fn finish<S>(
    mut http: &mut http1::Connection<TokioIo<GuardedStream>, S>,
    counts: &RequestCounts,
    connection: &Connection,
    wait: Duration,
) -> Ended
where
    S: hyper::service::HttpService<Incoming, ResBody = http_body_util::Full<Bytes>>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let before = counts.load();
    if let Ok(result) = tokio::time::timeout(wait, &mut http).await {
        return Ended::Done(result);
    }
    let is_idle = counts.load() == before && before.0 == before.1;
    Pin::new(&mut *http).graceful_shutdown();
    if is_idle && connection.is_without_request() {
        // An idle connection closes at once; for the rest of a head, the library
        // would wait on.
        let _ = http.now_or_never();
        return Ended::Idle;
    }
    Ended::Done(http.await)
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
    connection: &Connection,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Result<Reply, Aborted>
where
    F: Future<Output = Reply>,
    H: Fn(Result<Received, Fault>, SocketAddr) -> F,
{
    let (head, body) = request.into_parts();
    let reader = BodyReader {
        max_bytes: shared.capacity.max_body().min(shared.limits.body),
        max_time: shared.limits.body_time,
        budget: shared.capacity.bodies(),
        connections: &shared.connections,
        connection,
        phase: shared.phase.clone(),
    };
    let received = reader.read(body).await;
    connection.set_stage(Stage::Running);
    if received == Err(Fault::NoMemory) {
        shared.capacity.record(Shortage::BodyRefused);
    }
    let is_fault = received.is_err();
    let received = received.map(|body| Received { head, body });
    let handling = AssertUnwindSafe(async { (shared.handler)(received, peer).await });
    let mut reply = handling.catch_unwind().await.unwrap_or_else(|_| {
        log::error!(peer:% = peer; "request.handler-panicked");
        internal_error()
    });
    if is_fault || connection.is_closing() || *shared.phase.borrow() != Phase::Serve {
        set_connection_close(&mut reply);
    }
    match reply.extensions().get::<Aborted>() {
        Some(aborted) => Err(*aborted),
        None => Ok(reply),
    }
}
