//! Clients of the RPC service of the other nodes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::routes::NodeEntry;
use heatherrun_ports::peer::frames;
use tarpc::client::NewClient;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};
use tokio::net::TcpStream;

use crate::forward::message::{ForwardReply, ForwardedRequest};
use crate::relay::{ChangesReply, ChangesRequest, RelayClient};

/// Maximum wait for the reply of another node. A node in another region takes
/// about 45 ms; even at a fifth of its speed it replies in time.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Context of an RPC whose deadline is `timeout` from now.
fn rpc_context(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// Why a forwarded request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ForwardError {
    /// The node cannot be reached.
    #[error("no connection to the node; ask another one")]
    NotSent,
    /// No answer came.
    #[error("no answer of the node; the request may have run")]
    Lost,
}

/// Connection to another node.
#[derive(Clone)]
struct PeerConnection {
    client: RelayClient,
    /// Set when the connection has ended.
    ended: Arc<AtomicBool>,
}

/// RPC clients of the other nodes, by address.
#[derive(Default)]
pub struct PeerClients {
    connections: Mutex<HashMap<SocketAddr, PeerConnection>>,
}

impl PeerClients {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerConnection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Forwards a request to the node at `address`.
    ///
    /// # Errors
    /// The [`ForwardError`] says whether the request may have run.
    pub async fn forward(
        &self,
        address: SocketAddr,
        request: ForwardedRequest,
        timeout: Duration,
    ) -> Result<ForwardReply, ForwardError> {
        let connecting = tokio::time::timeout(REPLY_TIMEOUT.min(timeout), self.client(address));
        let client = connecting.await.ok().flatten();
        let client = client.ok_or(ForwardError::NotSent)?;
        let answer = client.forward(rpc_context(timeout), request).await;
        answer.map_err(|e| {
            log::info!(peer:% = address, reason:% = e; "forward.lost");
            self.lock().remove(&address);
            ForwardError::Lost
        })
    }

    /// Requests changes from the node at `address`; `None` when it does not
    /// reply within `timeout`.
    pub async fn fetch_changes(
        &self,
        address: SocketAddr,
        request: ChangesRequest,
        timeout: Duration,
    ) -> Option<ChangesReply> {
        self.call(address, timeout, async move |client| {
            client.changes(rpc_context(timeout), request).await.ok()
        })
        .await
    }

    /// Asks the seed at `address` for the nodes of the domain of `own`; `None`
    /// when it does not reply in time.
    pub async fn join(&self, address: SocketAddr, own: NodeEntry) -> Option<Vec<NodeEntry>> {
        self.call(address, REPLY_TIMEOUT, async move |client| {
            client.join(rpc_context(REPLY_TIMEOUT), own).await.ok()
        })
        .await
    }

    /// Reports a suspicion to the node at `address`; false when it does not
    /// reply in time.
    pub async fn send_suspicion(&self, address: SocketAddr, suspicion: Suspicion) -> bool {
        let sent = self.call(address, REPLY_TIMEOUT, async move |client| {
            let context = rpc_context(REPLY_TIMEOUT);
            client.report_suspicion(context, suspicion).await.ok()
        });
        sent.await.is_some()
    }

    /// Sends an extensible message to the node at `address`; `None` when it does
    /// not reply within `timeout`.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Option<Vec<u8>> {
        self.call(address, timeout, async move |client| {
            client.exchange(rpc_context(timeout), message).await.ok()
        })
        .await
    }

    /// Calls the node at `address`; without a reply in time its connection is
    /// closed.
    async fn call<T>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl AsyncFnOnce(RelayClient) -> Option<T>,
    ) -> Option<T> {
        let calling = async { call(self.client(address).await?).await };
        let reply = tokio::time::timeout(timeout, calling).await.ok().flatten();
        if reply.is_none() {
            self.lock().remove(&address);
        }
        reply
    }

    /// Number of connections that are kept, ended ones included until the next
    /// one is opened.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.lock().len()
    }

    /// Closes the connections to all nodes but these.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        self.lock().retain(|a, _| addresses.contains(a));
    }

    /// Returns the client for `address`, connecting first if there is none.
    async fn client(&self, address: SocketAddr) -> Option<RelayClient> {
        let existing = self.lock().get(&address).cloned();
        match existing {
            Some(known) if !known.ended.load(Ordering::Acquire) => Some(known.client),
            _ => self.connect(address).await,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<RelayClient> {
        let stream = TcpStream::connect(address).await.ok()?;
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let NewClient { client, dispatch } = RelayClient::new(client::Config::default(), transport);
        let ended = Arc::<AtomicBool>::default();
        let connection = PeerConnection {
            client: client.clone(),
            ended: Arc::clone(&ended),
        };
        tokio::spawn(async move {
            // Those who wait for a reply learn of an error from their calls.
            let _ = dispatch.await;
            ended.store(true, Ordering::Release);
        });
        let mut connections = self.lock();
        // Nodes that left are not called again; their connections have ended.
        connections.retain(|_, c| !c.ended.load(Ordering::Acquire));
        connections.insert(address, connection);
        Some(client)
    }
}
