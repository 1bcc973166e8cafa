//! HTTP server with bounded connections, headers, bodies and times, and
//! graceful shutdown.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::FutureExt;
use http::Request;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::http_io::Guarded;
use crate::http_reply::{Aborted, Fault, Reply, close_after};

/// Bytes of headers and read buffer at the most, per connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Headers of one request at the most.
const MOST_HEADERS: usize = 64;

/// Connections at the most that are refused at the same time.
const MOST_REFUSED: usize = 64;

/// Wait for the first request of a connection accepted as the port closes.
const FIRST_TIME: Duration = Duration::from_secs(1);

/// Longest wait for a peer that still sends after the last response, while the
/// server closes: a response is on its way for some tens of milliseconds, and
/// an idle peer must not take the rest of a stop's time.
const CLOSING_LINGER: Duration = Duration::from_millis(250);

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What a server accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest body, in bytes.
    pub body: usize,
    /// Connections open at the same time.
    pub connections: usize,
    /// Longest time in which a request's headers must arrive.
    pub head_time: Duration,
    /// Longest time in which a request's body must arrive, and for which a
    /// peer may take no byte of a response.
    pub body_time: Duration,
}

impl Limits {
    /// Limits for bodies of at most `body` bytes.
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

/// Phase of a server's life, in the order in which they follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Serves and keeps connections.
    #[default]
    Serve,
    /// Serves, and closes each connection after its next response.
    Leave,
    /// Accepts no more; finishes what is open.
    Close,
}

/// A request whose body has been read.
#[derive(Debug)]
pub struct Received {
    /// Method and path with query, headers.
    pub head: http::request::Parts,
    /// Body.
    pub body: Bytes,
}

/// What all connections of one server share.
struct Shared<A> {
    limits: Limits,
    phase: watch::Receiver<Phase>,
    answer: A,
}

/// Serves `listener` until the phase is [`Phase::Close`], then finishes open
/// requests and returns.
///
/// `answer` is called with each request, or with the fault for which the
/// server did not take it.
pub async fn serve<F>(
    listener: TcpListener,
    limits: Limits,
    mut phase: watch::Receiver<Phase>,
    answer: impl Fn(Result<Received, Fault>, SocketAddr) -> F + Send + Sync + 'static,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let places = Arc::new(Semaphore::new(limits.connections));
    let refused = Arc::new(Semaphore::new(MOST_REFUSED));
    let shared = Arc::new(Shared {
        limits,
        phase: phase.clone(),
        answer,
    });
    loop {
        let accepted = tokio::select! {
            biased;
            _ = phase.wait_for(|p| *p == Phase::Close) => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        start(&shared, &places, &refused, stream, from);
    }
    while let Some(Ok((stream, from))) = listener.accept().now_or_never() {
        start(&shared, &places, &refused, stream, from);
    }
    drop(listener);
    let all = u32::try_from(limits.connections).unwrap_or(u32::MAX);
    let _ = places.acquire_many(all).await;
}

/// Starts a connection if there is a place, and refuses it otherwise.
fn start<F, A>(
    shared: &Arc<Shared<A>>,
    places: &Arc<Semaphore>,
    refused: &Arc<Semaphore>,
    stream: TcpStream,
    from: SocketAddr,
) where
    F: Future<Output = Reply> + Send + 'static,
    A: Fn(Result<Received, Fault>, SocketAddr) -> F + Send + Sync + 'static,
{
    let _ = stream.set_nodelay(true);
    let io = Guarded::new(stream, shared.limits.body_time);
    if let Ok(place) = Arc::clone(places).try_acquire_owned() {
        tokio::spawn(connection(Arc::clone(shared), io, from, place));
    } else if let Ok(place) = Arc::clone(refused).try_acquire_owned() {
        tokio::spawn(refuse(io, place));
    }
}

async fn refuse(mut io: Guarded, place: OwnedSemaphorePermit) {
    io.refuse(Fault::Full).await;
    io.linger().await;
    drop(place);
}

/// Serves one connection until it closes.
async fn connection<F, A>(
    shared: Arc<Shared<A>>,
    io: Guarded,
    from: SocketAddr,
    place: OwnedSemaphorePermit,
) where
    F: Future<Output = Reply> + Send + 'static,
    A: Fn(Result<Received, Fault>, SocketAddr) -> F + Send + Sync + 'static,
{
    let count = Arc::new(AtomicU64::new(0));
    let (own, seen) = (Arc::clone(&shared), Arc::clone(&count));
    let service = service_fn(move |request| {
        seen.fetch_add(1, Ordering::AcqRel);
        let shared = Arc::clone(&own);
        async move { receive(&shared, request, from).await }
    });
    let mut served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.limits.head_time)
        .max_buf_size(BUFFER_BYTES)
        .max_headers(MOST_HEADERS)
        .serve_connection(TokioIo::new(io), service);
    let mut phase = shared.phase.clone();
    let mut ended = tokio::select! {
        biased;
        ended = &mut served => Some(ended),
        _ = phase.wait_for(|p| *p == Phase::Close) => None,
    };
    if ended.is_none() && count.load(Ordering::Acquire) == 0 {
        ended = tokio::time::timeout(FIRST_TIME, &mut served).await.ok();
    }
    let ended = if let Some(ended) = ended {
        ended
    } else {
        Pin::new(&mut served).graceful_shutdown();
        (&mut served).await
    };
    let parts = served.into_parts();
    let mut io = parts.io.into_inner();
    if ended.is_err_and(|e| e.is_timeout()) && !parts.read_buf.is_empty() {
        io.refuse(Fault::SlowHead).await;
    }
    let closing = async {
        let _ = phase.wait_for(|p| *p == Phase::Close).await;
        tokio::time::sleep(CLOSING_LINGER).await;
    };
    tokio::select! {
        () = io.linger() => {}
        () = closing => {}
    }
    drop(place);
}

async fn receive<F, A>(
    shared: &Shared<A>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Result<Reply, Aborted>
where
    F: Future<Output = Reply>,
    A: Fn(Result<Received, Fault>, SocketAddr) -> F,
{
    let (head, body) = request.into_parts();
    let declared = body.size_hint().lower();
    let read = Limited::new(body, shared.limits.body).collect();
    let received = if declared > shared.limits.body as u64 {
        // The declared length tells at once; waiting for the bytes tells no more.
        Err(Fault::LongBody)
    } else {
        match tokio::time::timeout(shared.limits.body_time, read).await {
            Ok(Ok(body)) => Ok(Received {
                head,
                body: body.to_bytes(),
            }),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Fault::LongBody),
            Ok(Err(_)) => Err(Fault::CutBody),
            Err(_) => Err(Fault::SlowBody),
        }
    };
    let faulty = received.is_err();
    let mut reply = (shared.answer)(received, from).await;
    if faulty || *shared.phase.borrow() != Phase::Serve {
        close_after(&mut reply);
    }
    match reply.extensions().get::<Aborted>() {
        Some(aborted) => Err(*aborted),
        None => Ok(reply),
    }
}
