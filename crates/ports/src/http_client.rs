//! HTTP client with a bounded pool of keep-alive connections per address.
//!
//! A connection carries one request at a time. Cancelling a request drops its
//! connection, so that no later request can read the reply.

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
use crate::http_exchange::{self, SendOutcome};
use crate::memory::MemoryBudget;

/// Memory of all replies of a client that sets none, in bytes.
const DEFAULT_REPLY_MEMORY: usize = 32 << 20;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that sent bytes may stay unacknowledged before the kernel closes the
/// connection (`TCP_USER_TIMEOUT`).
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time before the first TCP keepalive probe, and the interval between
/// probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Unanswered TCP keepalive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Time before the peer's announced idle timeout at which a connection is no
/// longer reused, so that a request does not race with the peer's close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// Number of pools from which those without a connection are removed: peers come
/// and go with new addresses.
const MAX_UNUSED_POOLS: usize = 2_048;

/// Failure of one request/reply exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("no connection; the request was not sent")]
    NotSent,
    /// Nothing listens at the address.
    #[error("connection refused; the request was not sent")]
    Refused,
    /// The connection limit of the address is reached.
    #[error("connection limit reached; the request was not sent")]
    Full,
    /// The deadline passed before a byte of the request was sent.
    #[error("deadline passed before sending; the request was not sent")]
    Expired,
    /// The caller no longer allowed the request when a connection was ready.
    #[error("the request was withdrawn before sending; it was not sent")]
    Withdrawn,
    /// The connection was lost after the request was sent.
    #[error("connection lost; the request may have run")]
    Lost,
    /// The deadline passed after the request was sent.
    #[error("deadline passed before a reply; the request may have run")]
    TimedOut,
    /// The reply was truncated, malformed, too long, or belongs to another
    /// request.
    #[error("reply truncated, too long or of another request; the request may have run")]
    BadReply,
    /// All replies that arrive at the same time take too much memory.
    #[error("replies take too much memory; the request may have run; lower the size of replies")]
    NoMemory,
}

impl From<ExchangeError> for StoreError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent
            | ExchangeError::Refused
            | ExchangeError::Full
            | ExchangeError::Expired
            | ExchangeError::Withdrawn => Self::Unavailable,
            ExchangeError::Lost
            | ExchangeError::TimedOut
            | ExchangeError::BadReply
            | ExchangeError::NoMemory => Self::NoAnswer,
        }
    }
}

/// Address and limits for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Maximum number of connections open to the address at once.
    pub connections: usize,
    /// Maximum size of the reply body, in bytes.
    pub reply: usize,
    /// Time left until the whole reply must have arrived.
    pub left: Duration,
    /// Hash of an id that the reply repeats; zero for none. Two requests with
    /// the same id never follow each other on a connection, since a late second
    /// reply to the first would pass for the reply to the second.
    pub id_hash: u64,
    /// Whether the connection may be kept for later requests.
    pub keeps: bool,
}

/// An open connection; it closes when dropped.
struct Connection {
    stream: TcpStream,
    last_used: Instant,
    /// Idle time after which it is no longer reused.
    idle_timeout: Duration,
    /// [`Route::id_hash`] of the last request.
    id_hash: u64,
    _slot: ConnectionSlot,
}

/// Counts one open or connecting connection against the limit of its pool
/// until dropped.
struct ConnectionSlot(Arc<AtomicUsize>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Connections to one address.
#[derive(Default)]
struct Pool {
    idle: Mutex<Vec<Connection>>,
    /// Open and connecting connections, idle ones included.
    connection_count: Arc<AtomicUsize>,
    /// Whether the task that closes expired idle connections runs.
    sweeper_running: AtomicBool,
}

/// HTTP client with one connection pool per address; finding a pool takes no
/// lock.
pub struct Client {
    pools: ArcSwap<HashMap<SocketAddr, Arc<Pool>>>,
    reply_memory: Arc<MemoryBudget>,
    reuse_disabled: bool,
}

impl Default for Client {
    fn default() -> Self {
        Self::new(MemoryBudget::new(DEFAULT_REPLY_MEMORY))
    }
}

impl Client {
    /// Creates a client whose replies take at most this memory, from the time
    /// that they arrive until the last copy is dropped.
    #[must_use]
    pub fn new(reply_memory: Arc<MemoryBudget>) -> Self {
        Self {
            pools: ArcSwap::default(),
            reply_memory,
            reuse_disabled: false,
        }
    }

    /// Creates a client that closes each connection after its first reply.
    #[must_use]
    pub fn unkept() -> Self {
        Self {
            reuse_disabled: true,
            ..Self::default()
        }
    }

    /// Sends a request over an idle or a new connection and reads the whole
    /// reply. The connection is reused only if `classify_reply` attributes the
    /// reply to this request.
    ///
    /// # Errors
    /// The [`ExchangeError`] says whether the request may have run.
    pub async fn exchange(
        &self,
        route: Route,
        request: Request<Bytes>,
        classify_reply: impl Fn(&Response<Bytes>) -> Whose,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.exchange_if(route, request, || true, classify_reply)
            .await
    }

    /// Like [`Client::exchange`], but asks `may_send` right before the request
    /// is sent, when a connection is ready.
    ///
    /// # Errors
    /// [`ExchangeError::Withdrawn`] when `may_send` returned false, otherwise
    /// as [`Client::exchange`].
    pub async fn exchange_if(
        &self,
        route: Route,
        request: Request<Bytes>,
        may_send: impl Fn() -> bool,
        classify_reply: impl Fn(&Response<Bytes>) -> Whose,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let pool = self.pool(route.address);
        let deadline = Instant::now() + route.left;
        loop {
            let acquired = tokio::time::timeout_at(deadline, pool.acquire(route)).await;
            let (mut connection, reused) = acquired.map_err(|_| ExchangeError::Expired)??;
            // The process may have been paused while connecting.
            if Instant::now() >= deadline {
                return Err(ExchangeError::Expired);
            }
            if !may_send() {
                if reused {
                    pool.release(connection);
                }
                return Err(ExchangeError::Withdrawn);
            }
            connection.id_hash = route.id_hash;
            let sending = http_exchange::send(
                &mut connection.stream,
                &request,
                route.reply,
                &self.reply_memory,
                |reply| match classify_reply(reply) {
                    Whose::Unnamed if reused => Whose::Crossed,
                    Whose::Unnamed => Whose::Own,
                    whose => whose,
                },
            );
            let Ok(sent) = tokio::time::timeout_at(deadline, sending).await else {
                // If one connection is unresponsive, the pool's other
                // connections to this peer usually are too.
                pool.lock_idle().clear();
                return Err(ExchangeError::TimedOut);
            };
            match sent {
                // The peer closed the idle connection: try another one.
                SendOutcome::NotSent if reused => {}
                SendOutcome::NotSent => return Err(ExchangeError::NotSent),
                SendOutcome::Failed(error) => return Err(error),
                SendOutcome::Replied(reply, reusable) => {
                    let is_over = pool.connection_count.load(Ordering::Acquire) > route.connections;
                    if reusable && route.keeps && !is_over && !self.reuse_disabled {
                        connection.idle_timeout =
                            keep_alive_timeout(reply.headers()).unwrap_or(IDLE_TIMEOUT);
                        pool.release(connection);
                    }
                    return Ok(reply);
                }
            }
        }
    }

    /// Number of open and connecting connections to `address`.
    #[must_use]
    pub fn connections(&self, address: SocketAddr) -> usize {
        let pools = self.pools.load();
        let count = |pool: &Arc<Pool>| pool.connection_count.load(Ordering::Acquire);
        pools.get(&address).map_or(0, count)
    }

    /// Returns the pool of `address`, creating it on first use.
    fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        if let Some(pool) = self.pools.load().get(&address) {
            return Arc::clone(pool);
        }
        let created = Arc::<Pool>::default();
        self.pools.rcu(|old| {
            let mut next = HashMap::clone(old);
            if next.len() >= MAX_UNUSED_POOLS {
                next.retain(|_, pool| pool.connection_count.load(Ordering::Acquire) > 0);
            }
            next.entry(address).or_insert_with(|| Arc::clone(&created));
            next
        });
        self.pools.load().get(&address).map_or(created, Arc::clone)
    }
}

/// Idle timeout from the peer's `Keep-Alive` header, less a margin and at most
/// [`IDLE_TIMEOUT`].
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = value.split(',').map(str::trim);
    let secs = parts.find_map(|p| p.strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(secs.trim().parse().ok()?);
    Some(timeout.saturating_sub(KEEP_ALIVE_MARGIN).min(IDLE_TIMEOUT))
}

impl Connection {
    /// Whether the connection can carry another request: it has not been idle
    /// for too long, and the peer has neither closed it nor sent unsolicited
    /// bytes.
    fn is_reusable(&self, id_hash: u64) -> bool {
        if id_hash != 0 && id_hash == self.id_hash {
            return false;
        }
        let read = self.stream.try_read(&mut [0]);
        let nothing_received = read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        nothing_received && self.last_used.elapsed() < self.idle_timeout
    }
}

impl Pool {
    fn lock_idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an idle connection and `true`, or a new one and `false` when no
    /// idle connection is reusable.
    async fn acquire(self: &Arc<Self>, route: Route) -> Result<(Connection, bool), ExchangeError> {
        loop {
            let Some(connection) = self.lock_idle().pop() else {
                break;
            };
            if connection.is_reusable(route.id_hash) {
                return Ok((connection, true));
            }
        }
        let reserve = |open: usize| (open < route.connections).then_some(open + 1);
        self.connection_count
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, reserve)
            .map_err(|_| ExchangeError::Full)?;
        let slot = ConnectionSlot(Arc::clone(&self.connection_count));
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(route.address, slot));
        let connection = connecting.await.map_err(|_| ExchangeError::NotSent)??;
        Ok((connection, false))
    }

    /// Returns a connection whose reply has been read completely to the pool.
    fn release(self: &Arc<Self>, mut connection: Connection) {
        connection.last_used = Instant::now();
        self.lock_idle().push(connection);
        if !self.sweeper_running.swap(true, Ordering::AcqRel) {
            tokio::spawn(Arc::clone(self).close_expired());
        }
    }

    /// Periodically closes connections past their idle timeout; returns when no
    /// idle connection is left.
    async fn close_expired(self: Arc<Self>) {
        loop {
            tokio::time::sleep(IDLE_TIMEOUT).await;
            let mut idle = self.lock_idle();
            idle.retain(|connection| connection.last_used.elapsed() < connection.idle_timeout);
            if idle.is_empty() {
                self.sweeper_running.store(false, Ordering::Release);
                return;
            }
        }
    }
}

/// Sets the TCP options that detect a peer which disappeared without a reset:
/// a timeout for unacknowledged bytes, and keepalive probes while the
/// connection is idle.
fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(e) = result {
        log::debug!(reason:% = e; "socket.options");
    }
}

async fn connect(address: SocketAddr, slot: ConnectionSlot) -> Result<Connection, ExchangeError> {
    let connected = TcpStream::connect(address).await;
    let stream = connected.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => ExchangeError::Refused,
        _ => ExchangeError::NotSent,
    })?;
    set_socket_options(&stream);
    Ok(Connection {
        stream,
        last_used: Instant::now(),
        idle_timeout: IDLE_TIMEOUT,
        id_hash: 0,
        _slot: slot,
    })
}
