//! HTTP connections that are kept and reused, at most so many per address.
//!
//! A connection is used by one call at a time. A call that is given up drops
//! its connection with it, so that no later call can read its reply.

use std::{
    collections::HashMap,
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use heatherrun_kernel::port::StoreError;
use http::{HeaderMap, HeaderName, Request, Response};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::Instant;

pub use crate::http_exchange::Whose;
use crate::http_exchange::{self, Sent};

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

/// Part of the time that a peer keeps an idle connection in which it is not
/// used any more, so that a request does not cross the peer's close.
const KEEP_MARGIN: Duration = Duration::from_millis(500);

/// Failure of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("no connection; the request was not sent")]
    NotSent,
    /// Nothing listens at the address.
    #[error("connection refused; the request was not sent")]
    Refused,
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

impl From<ExchangeError> for StoreError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent
            | ExchangeError::Refused
            | ExchangeError::Full
            | ExchangeError::Expired => Self::Unavailable,
            ExchangeError::Lost | ExchangeError::TimedOut | ExchangeError::BadReply => {
                Self::NoAnswer
            }
        }
    }
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
    stream: TcpStream,
    used: Instant,
    /// Idle time after which it is not used any more.
    keep: Duration,
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
    /// whole reply. The connection is kept only if `whose` finds that the reply
    /// belongs to the request.
    ///
    /// # Errors
    /// [`ExchangeError`] tells whether the request may have run.
    pub async fn exchange(
        &self,
        route: Route,
        request: Request<Bytes>,
        whose: impl Fn(&Response<Bytes>) -> Whose,
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
            let sent = http_exchange::send(&mut link.stream, &request, route.reply, &whose);
            let Ok(sent) = tokio::time::timeout_at(end, sent).await else {
                // A connection that went silent seldom does so alone.
                pool.lock().clear();
                return Err(ExchangeError::TimedOut);
            };
            match sent {
                Sent::Unsent if kept => {}
                Sent::Unsent => return Err(ExchangeError::NotSent),
                Sent::Failed(error) => return Err(error),
                Sent::Replied(reply, keeps) => {
                    if keeps && !self.unkept {
                        link.keep = keep(reply.headers()).unwrap_or(IDLE_TIME);
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

/// Time for which the peer says that it keeps the connection when idle.
fn keep(headers: &HeaderMap) -> Option<Duration> {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = value.split(',').map(str::trim);
    let secs = parts.find_map(|p| p.strip_prefix("timeout="))?;
    let time = Duration::from_secs(secs.trim().parse().ok()?);
    Some(time.saturating_sub(KEEP_MARGIN).min(IDLE_TIME))
}

impl Link {
    /// Whether the connection can carry a request: the peer has neither
    /// closed it nor sent anything unasked.
    fn is_fresh(&self) -> bool {
        let quiet = self.stream.try_read(&mut [0]);
        let quiet = quiet.is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        quiet && self.used.elapsed() < self.keep
    }
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, Vec<Link>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection, or a new one when there is none; true when idle.
    async fn take(self: &Arc<Self>, route: Route) -> Result<(Link, bool), ExchangeError> {
        loop {
            let Some(link) = self.lock().pop() else {
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
            idle.retain(|link| link.used.elapsed() < link.keep);
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
    let connected = TcpStream::connect(address).await;
    let stream = connected.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => ExchangeError::Refused,
        _ => ExchangeError::NotSent,
    })?;
    set_options(&stream);
    Ok(Link {
        stream,
        used: Instant::now(),
        keep: IDLE_TIME,
        _place: place,
    })
}
