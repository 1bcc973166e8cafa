//! RPC between nodes over `tarpc`: changes of the store and suspicions against
//! crash-causing requests. It keeps the number of nodes that read the store
//! low, and a node that the store rejects still receives the changes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::StreamExt;
use heatherrun_kernel::control::Suspicion;
use heatherrun_ports::peer::frames;
use heatherrun_routing::feed::{Delta, Position};
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Receiver;

use crate::state::State;

/// Maximum wait for the reply of another node. A node in another region takes
/// about 45 ms; even at a fifth of its speed it replies in time.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Reply to [`Relay::changes`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangesReply {
    /// Items that changed after the requested position.
    pub delta: Delta,
    /// Time since the replying node last had all changes, in microseconds.
    pub age: u64,
}

/// RPC service of each node for the other nodes.
#[tarpc::service]
pub trait Relay {
    /// Returns the items of the store that changed after a position.
    async fn changes(after: Position) -> ChangesReply;
    /// Reports a request that crashed a target, or that a request was cleared.
    async fn report_suspicion(suspicion: Suspicion);
}

#[derive(Clone)]
struct RelayServer {
    state: Arc<State>,
}

impl Relay for RelayServer {
    async fn changes(self, _: context::Context, after: Position) -> ChangesReply {
        let (delta, age) = self.state.changes_since(after);
        ChangesReply {
            delta,
            age: heatherrun_kernel::time::micros(age),
        }
    }

    async fn report_suspicion(self, _: context::Context, suspicion: Suspicion) {
        let now = self.state.clock.now();
        self.state.crash_tracker.apply_suspicion(now, suspicion);
    }
}

/// Serves the other nodes on `listener`; never returns.
pub async fn serve(listener: TcpListener, state: Arc<State>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let server = RelayServer {
            state: Arc::clone(&state),
        };
        tokio::spawn(async move {
            let channel = BaseChannel::with_defaults(transport);
            let responses = channel.execute(server.serve());
            responses.for_each(|response| response).await;
        });
    }
}

/// Context of an RPC whose deadline is [`REPLY_TIMEOUT`] from now.
fn rpc_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + REPLY_TIMEOUT;
    context
}

/// Sends each suspicion from `suspicions` to all other nodes; returns only
/// when the sender is dropped.
pub async fn broadcast_suspicions(state: Arc<State>, mut suspicions: Receiver<Suspicion>) {
    let peers = PeerClients::default();
    while let Some(suspicion) = suspicions.recv().await {
        let nodes = state.nodes.load_full();
        let others = nodes.iter().filter(|n| n.name != state.own_entry.name);
        let sends = others.map(|n| peers.send_suspicion(n.peers, suspicion));
        let delivered = futures::future::join_all(sends).await;
        let undelivered = delivered.iter().filter(|delivered| !**delivered).count();
        if undelivered > 0 {
            log::warn!(print = suspicion.fingerprint, nodes = undelivered; "request.marks-untold");
        }
    }
}

/// RPC clients of the other nodes, by address.
#[derive(Default)]
pub struct PeerClients {
    clients: Mutex<HashMap<SocketAddr, RelayClient>>,
}

impl PeerClients {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, RelayClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests the changes after a position from the node at `address`;
    /// `None` when it does not reply in time.
    pub async fn fetch_changes(
        &self,
        address: SocketAddr,
        after: Position,
    ) -> Option<ChangesReply> {
        let result = tokio::time::timeout(REPLY_TIMEOUT, self.call_changes(address, after)).await;
        let reply = result.ok().flatten();
        if reply.is_none() {
            self.lock().remove(&address);
        }
        reply
    }

    async fn call_changes(&self, address: SocketAddr, after: Position) -> Option<ChangesReply> {
        let client = self.client(address).await?;
        client.changes(rpc_context(), after).await.ok()
    }

    /// Reports a suspicion to the node at `address`; false when it does not
    /// reply in time.
    pub async fn send_suspicion(&self, address: SocketAddr, suspicion: Suspicion) -> bool {
        let call = async {
            let client = self.client(address).await?;
            client.report_suspicion(rpc_context(), suspicion).await.ok()
        };
        let result = tokio::time::timeout(REPLY_TIMEOUT, call).await;
        let delivered = result.ok().flatten().is_some();
        if !delivered {
            self.lock().remove(&address);
        }
        delivered
    }

    /// Returns the client for `address`, connecting first if there is none.
    async fn client(&self, address: SocketAddr) -> Option<RelayClient> {
        let existing = self.lock().get(&address).cloned();
        match existing {
            Some(client) => Some(client),
            None => self.connect(address).await,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<RelayClient> {
        let stream = TcpStream::connect(address).await.ok()?;
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let client = RelayClient::new(client::Config::default(), transport).spawn();
        self.lock().insert(address, client.clone());
        Some(client)
    }
}
