//! HTTP connections that are kept and reused, at most so many per address.
//!
//! A connection is driven by the task that uses it. A call that is given up
//! drops its connection with it, so that no later call can read its reply.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures::FutureExt;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Longest wait for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Time after which an unused connection closes.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Time after which bytes that a peer does not acknowledge end a connection.
const SILENT_TIME: Duration = Duration::from_secs(3);

/// Idle time after which the kernel asks whether the peer is there, and the
/// time between two such questions.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);

/// Unanswered questions that end a connection.
const KEEPALIVE_TRIES: u32 = 2;

/// Bytes of a reply's headers and read buffer at the most.
const BUFFER_BYTES: usize = 64 * 1024;

/// Failure of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("no connection; the request was not sent")]
    NotSent,
    /// All connections to the address are in use.
    #[error("no free connection; the request was not sent")]
    Full,
    /// Time ran out before a byte of the request was sent.
    #[error("no connection in time; the request was not sent")]
    Expired,
    /// The connection was lost after the request was sent.
    #[error("connection lost; the request may have run")]
    Lost,
    /// Time ran out after the request was sent.
    #[error("no reply in time; the request may have run")]
    TimedOut,
    /// The reply was cut, too long, or not the one asked for.
    #[error("reply cut, too long or crossed; the request may have run")]
    BadReply,
}

/// Where and within what bounds a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// Address.
    pub address: SocketAddr,
    /// Connections to the address open at once.
    pub connections: usize,
    /// Longest reply, in bytes.
    pub reply: usize,
    /// Time until the reply must be there.
    pub left: Duration,
}

/// One open connection; it closes when dropped.
struct Link {
    sender: SendRequest<Full<Bytes>>,
    connection: Box<Connection<TokioIo<TcpStream>, Full<Bytes>>>,
    used: Instant,
    _place: Place,
}

/// A place counted for one connection, open or in the making.
struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

#[derive(Default)]
struct Pool {
    idle: Mutex<Vec<Link>>,
    count: Arc<AtomicUsize>,
    swept: AtomicBool,
}

/// Pools of connections by address; finding one takes no lock.
#[derive(Default)]
pub struct Client {
    pools: ArcSwap<HashMap<SocketAddr, Arc<Pool>>>,
    unkept: bool,
}

impl Client {
    /// Client that closes each connection after its first reply.
    #[must_use]
    pub fn unkept() -> Self {
        Self {
            unkept: true,
            ..Self::default()
        }
    }

    /// Sends a request over an idle connection or a new one, and reads the
    /// whole reply. The connection is kept only if `own` finds that the reply
    /// belongs to the request.
    ///
    /// # Errors
    /// [`ExchangeError`] tells whether the request may have run.
    pub async fn exchange(
        &self,
        route: Route,
        mut request: Request<Full<Bytes>>,
        own: impl Fn(&Response<Bytes>) -> bool,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let pool = self.pool(route.address);
        let end = Instant::now() + route.left;
        loop {
            let taken = tokio::time::timeout_at(end, pool.take(route)).await;
            let (mut link, kept) = taken.map_err(|_| ExchangeError::Expired)??;
            // The process may have stood still while a connection was made.
            if Instant::now() >= end {
                return Err(ExchangeError::Expired);
            }
            let sent = tokio::time::timeout_at(end, link.send(request, route.reply)).await;
            let Ok(sent) = sent else {
                // A connection that went silent seldom does so alone.
                pool.lock().clear();
                return Err(ExchangeError::TimedOut);
            };
            match sent {
                Sent::Unsent(again) if kept => request = again,
                Sent::Unsent(_) => return Err(ExchangeError::NotSent),
                Sent::Failed(error) => return Err(error),
                Sent::Replied(reply) => {
                    if !own(&reply) {
                        return Err(ExchangeError::BadReply);
                    }
                    if !self.unkept {
                        pool.put_back(link);
                    }
                    return Ok(reply);
                }
            }
        }
    }

    /// Connections open to `address`.
    #[must_use]
    pub fn connections(&self, address: SocketAddr) -> usize {
        let pools = self.pools.load();
        let count = |pool: &Arc<Pool>| pool.count.load(Ordering::Acquire);
        pools.get(&address).map_or(0, count)
    }

    fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        if let Some(pool) = self.pools.load().get(&address) {
            return Arc::clone(pool);
        }
        let made = Arc::<Pool>::default();
        self.pools.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.entry(address).or_insert_with(|| Arc::clone(&made));
            next
        });
        self.pools.load().get(&address).map_or(made, Arc::clone)
    }
}

/// What became of a request on one connection.
enum Sent {
    /// The whole reply.
    Replied(Response<Bytes>),
    /// No byte of the request was sent.
    Unsent(Request<Full<Bytes>>),
    /// The request may have run.
    Failed(ExchangeError),
}

impl Link {
    /// Whether the connection can carry a request: the peer has neither
    /// closed it nor sent anything unasked.
    fn is_fresh(&mut self) -> bool {
        (&mut *self.connection).now_or_never().is_none() && self.sender.is_ready()
    }

    async fn send(&mut self, request: Request<Full<Bytes>>, most: usize) -> Sent {
        let Self {
            sender, connection, ..
        } = self;
        let exchange = exchange(sender, request, most);
        tokio::pin!(exchange);
        tokio::select! {
            biased;
            sent = &mut exchange => return sent,
            _ = connection => {}
        }
        exchange.await
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    most: usize,
) -> Sent {
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut e) => {
            return match e.take_message() {
                Some(request) => Sent::Unsent(request),
                None => Sent::Failed(lost_or_bad(e.error())),
            };
        }
    };
    let (head, body) = response.into_parts();
    if body.size_hint().lower() > most as u64 {
        return Sent::Failed(ExchangeError::BadReply);
    }
    match Limited::new(body, most).collect().await {
        Ok(body) => Sent::Replied(Response::from_parts(head, body.to_bytes())),
        Err(_) => Sent::Failed(ExchangeError::BadReply),
    }
}

fn lost_or_bad(error: &hyper::Error) -> ExchangeError {
    if error.is_parse() {
        ExchangeError::BadReply
    } else {
        ExchangeError::Lost
    }
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, Vec<Link>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection, or a new one when there is none; true when idle.
    async fn take(self: &Arc<Self>, route: Route) -> Result<(Link, bool), ExchangeError> {
        loop {
            let Some(mut link) = self.lock().pop() else {
                break;
            };
            if link.is_fresh() {
                return Ok((link, true));
            }
        }
        let step = |open: usize| (open < route.connections).then_some(open + 1);
        self.count
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, step)
            .map_err(|_| ExchangeError::Full)?;
        let place = Place(Arc::clone(&self.count));
        let connecting = tokio::time::timeout(CONNECT_TIME, connect(route.address, place));
        let link = connecting.await.map_err(|_| ExchangeError::NotSent)??;
        Ok((link, false))
    }

    /// Keeps a connection whose reply has been read whole.
    fn put_back(self: &Arc<Self>, mut link: Link) {
        if (&mut *link.connection).now_or_never().is_some() {
            return;
        }
        link.used = Instant::now();
        self.lock().push(link);
        if !self.swept.swap(true, Ordering::AcqRel) {
            tokio::spawn(Arc::clone(self).close_unused());
        }
    }

    /// Closes connections that stay unused, until none is idle.
    async fn close_unused(self: Arc<Self>) {
        loop {
            tokio::time::sleep(IDLE_TIME).await;
            let mut idle = self.lock();
            idle.retain(|link| link.used.elapsed() < IDLE_TIME);
            if idle.is_empty() {
                self.swept.store(false, Ordering::Release);
                return;
            }
        }
    }
}

/// Makes a peer that vanished without a reset known: the kernel gives up on
/// bytes that it does not acknowledge and asks after it while the connection
/// is idle.
fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let alive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME)
        .with_retries(KEEPALIVE_TRIES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(SILENT_TIME)))
        .and_then(|()| socket.set_tcp_keepalive(&alive));
    if let Err(e) = set {
        log::debug!(reason:% = e; "socket.options");
    }
}

async fn connect(address: SocketAddr, place: Place) -> Result<Link, ExchangeError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| ExchangeError::NotSent)?;
    set_options(&stream);
    let made = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = made.map_err(|_| ExchangeError::NotSent)?;
    Ok(Link {
        sender,
        connection: Box::new(connection),
        used: Instant::now(),
        _place: place,
    })
}
