//! Client side of the messages between nodes, over `tarpc` and TCP.
//!
//! Each peer has several connections for requests, so that a long message does
//! not delay others, and a separate one for control messages.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use heatherrun_kernel::control::ControlRequest;
use heatherrun_kernel::message::{Batch, Cancel, Collect};
use heatherrun_kernel::port::{PeerError, Peers, async_fn};
use heatherrun_kernel::registry::{Make, Plugin, inventory};
use tarpc::client::{self, NewClient, RpcError};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{context, serde_transport};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::peer::{PeerClient, frames};

/// Maximum time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time allowed for a search reply beyond the deadline of the search itself.
const SEARCH_REPLY_GRACE: Duration = Duration::from_millis(200);

/// Maximum wait for the rest of a batch; the entry gives up earlier, at its
/// caller's deadline.
const COLLECT_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum wait for the reply to a control message or a cancellation.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of connections to one peer for searches, collects and cancellations.
const REQUEST_CONNECTIONS: usize = 2;

/// A connection to a peer.
struct Connection {
    client: PeerClient,
    /// Set when the connection was lost or must not carry new messages.
    closed: Arc<AtomicBool>,
}

/// Holds at most one connection, opened on first use and again after a loss.
#[derive(Default)]
struct Slot {
    connection: ArcSwapOption<Connection>,
    /// Held while connecting, so that only one connection is opened.
    connect_lock: Mutex<()>,
}

/// Connections to one peer.
#[derive(Default)]
struct PeerConnections {
    requests: [Slot; REQUEST_CONNECTIONS],
    control: Slot,
    /// Counter that selects the request slots in turn.
    next_slot: AtomicUsize,
}

/// Connections by address of the peer; finding a peer takes no lock.
#[derive(Default)]
struct ConnectionTable {
    peers: ArcSwap<HashMap<SocketAddr, Arc<PeerConnections>>>,
}

impl ConnectionTable {
    /// Returns the connections of a peer, adding the peer on first use.
    fn peer(&self, address: SocketAddr) -> Arc<PeerConnections> {
        if let Some(known) = self.peers.load().get(&address) {
            return Arc::clone(known);
        }
        let created = Arc::<PeerConnections>::default();
        self.peers.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.entry(address).or_insert_with(|| Arc::clone(&created));
            next
        });
        self.peers.load().get(&address).map_or(created, Arc::clone)
    }
}

impl PeerConnections {
    /// Selects a request slot by round robin.
    fn next_request_slot(&self) -> &Slot {
        let index = self.next_slot.fetch_add(1, Ordering::Relaxed);
        &self.requests[index % REQUEST_CONNECTIONS]
    }
}

impl Slot {
    /// The current connection, unless it is closed.
    fn current(&self) -> Option<Arc<Connection>> {
        let connection = self.connection.load_full();
        connection.filter(|connection| !connection.closed.load(Ordering::Acquire))
    }

    /// Returns the current connection or opens a new one. On failure, nothing
    /// has been sent.
    async fn connect(&self, address: SocketAddr) -> Result<Arc<Connection>, PeerError> {
        if let Some(connection) = self.current() {
            return Ok(connection);
        }
        let _guard = self.connect_lock.lock().await;
        if let Some(connection) = self.current() {
            return Ok(connection);
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| PeerError::NotSent)?;
        let created = Arc::new(Connection::start(stream.map_err(|_| PeerError::NotSent)?));
        self.connection.store(Some(Arc::clone(&created)));
        Ok(created)
    }
}

impl Connection {
    /// Spawns the task that exchanges messages over `stream`.
    fn start(stream: TcpStream) -> Self {
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let NewClient { client, dispatch } = PeerClient::new(client::Config::default(), transport);
        let closed = Arc::new(AtomicBool::new(false));
        let closed_flag = Arc::clone(&closed);
        tokio::spawn(async move {
            let _ = dispatch.await;
            closed_flag.store(true, Ordering::Release);
        });
        Self { client, closed }
    }

    /// Converts the result of a message. `tarpc` does not report whether a
    /// message was sent, so after any failure on an open connection the peer
    /// may have handled it: [`PeerError::NoAnswer`]. A connection whose reply
    /// timed out is not used for new messages.
    fn convert_result<T>(&self, result: Result<T, RpcError>) -> Result<T, PeerError> {
        result.map_err(|error| {
            log::debug!(error:?; "peer.no-answer");
            if matches!(error, RpcError::DeadlineExceeded) {
                self.closed.store(true, Ordering::Release);
            }
            PeerError::NoAnswer
        })
    }
}

/// Request context whose deadline is `timeout` from now.
fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + timeout;
    context
}

/// Port to peers over `tarpc` and TCP.
#[must_use]
pub fn peers() -> Peers {
    let table = Arc::new(ConnectionTable::default());
    let (search_table, collect_table, cancel_table, control_table) = (
        Arc::clone(&table),
        Arc::clone(&table),
        Arc::clone(&table),
        table,
    );
    Peers {
        search: async_fn(move |(address, batch): (SocketAddr, Batch)| {
            let peer = search_table.peer(address);
            async move {
                let connection = peer.next_request_slot().connect(address).await?;
                let context = context_with_timeout(batch.time_left + SEARCH_REPLY_GRACE);
                connection.convert_result(connection.client.search(context, batch).await)
            }
        }),
        collect: async_fn(move |(address, collect): (SocketAddr, Collect)| {
            let peer = collect_table.peer(address);
            async move {
                let connection = peer.next_request_slot().connect(address).await?;
                let context = context_with_timeout(COLLECT_TIMEOUT);
                connection.convert_result(connection.client.collect(context, collect).await)
            }
        }),
        cancel: async_fn(move |(address, cancel): (SocketAddr, Cancel)| {
            let peer = cancel_table.peer(address);
            async move {
                let connection = peer.next_request_slot().connect(address).await?;
                let context = context_with_timeout(CONTROL_TIMEOUT);
                connection.convert_result(connection.client.cancel(context, cancel).await)
            }
        }),
        control: async_fn(move |(address, message): (SocketAddr, ControlRequest)| {
            let peer = control_table.peer(address);
            async move {
                let connection = peer.control.connect(address).await?;
                let context = context_with_timeout(CONTROL_TIMEOUT);
                let result = connection.client.control(context, message).await;
                connection.convert_result(result)
            }
        }),
    }
}

inventory::submit! {
    Plugin {
        name: "tarpc",
        about: "messages to other nodes by tarpc over TCP",
        make: Make::Peers(peers),
    }
}
