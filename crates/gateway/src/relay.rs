//! RPC between nodes over `tarpc`: changes of the store, the nodes that there
//! are, suspicions against crash-causing requests, and requests of a node that
//! has lost its links to the targets. It keeps the number of nodes that read the
//! store low, and a node that the store rejects still receives the changes.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::routes::NodeEntry;
use heatherrun_ports::peer::frames;
use heatherrun_routing::feed::{Delta, Position};
use heatherrun_routing::members::Report;
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{context, serde_transport};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::Receiver;

use crate::exchange;
use crate::forward::message::{ForwardReply, ForwardedRequest};
use crate::peer_clients::PeerClients;
use crate::serve;
use crate::state::State;

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Maximum number of connections from other nodes, whatever the settings allow.
const MAX_CONNECTIONS: usize = 1_024;

/// Request for what changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Position up to which the requesting node knows the store.
    pub after: Position,
    /// The requesting node, if it is below the requested one in the tree.
    pub report: Option<Report>,
    /// Number of suspicions received from the requested node so far.
    pub known_suspicions: u64,
}

/// Reply to [`Relay::changes`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangesReply {
    /// Items that changed after the requested position.
    pub delta: Delta,
    /// Time since the replying node last had all changes, in microseconds.
    pub age: u64,
    /// Whether the replying node knows the nodes below the requesting one.
    pub knows_below: bool,
    /// Suspicions after the known ones.
    pub suspicions: Vec<Suspicion>,
    /// Number of suspicions that the requesting node knows with these.
    pub suspicion_count: u64,
}

/// RPC service of each node for the other nodes.
#[tarpc::service]
pub trait Relay {
    /// Returns the items of the store that changed after a position.
    async fn changes(request: ChangesRequest) -> ChangesReply;
    /// Returns the known nodes of the domain of a node that starts.
    async fn join(node: NodeEntry) -> Vec<NodeEntry>;
    /// Reports a request that crashed a target, or that a request was cleared.
    async fn report_suspicion(suspicion: Suspicion);
    /// Serves a request of a node that has lost its links to the targets.
    async fn forward(request: ForwardedRequest) -> ForwardReply;
    /// Exchanges protobuf messages; see [`crate::exchange`]. It is the last
    /// call: calls are identified by position, which older nodes rely on.
    async fn exchange(message: Vec<u8>) -> Vec<u8>;
}

#[derive(Clone)]
struct RelayServer {
    state: Arc<State>,
}

impl Relay for RelayServer {
    async fn changes(self, _: context::Context, request: ChangesRequest) -> ChangesReply {
        let state = &self.state;
        let knows_below = request.report.is_none_or(|r| state.apply_report(r));
        let (delta, age) = state.changes_since(request.after);
        let (suspicions, suspicion_count) = state.suspicions_after(request.known_suspicions);
        ChangesReply {
            delta,
            age: heatherrun_kernel::time::micros(age),
            knows_below,
            suspicions,
            suspicion_count,
        }
    }

    async fn join(self, _: context::Context, node: NodeEntry) -> Vec<NodeEntry> {
        self.state.introduce(node)
    }

    async fn report_suspicion(self, _: context::Context, suspicion: Suspicion) {
        apply_suspicion(&self.state, suspicion);
    }

    async fn forward(self, _: context::Context, request: ForwardedRequest) -> ForwardReply {
        serve::handle_forwarded(self.state, request).await
    }

    async fn exchange(self, _: context::Context, message: Vec<u8>) -> Vec<u8> {
        exchange::handle(&self.state, &message)
    }
}

/// Applies a suspicion of another node, and keeps it for the nodes below.
pub fn apply_suspicion(state: &State, suspicion: Suspicion) {
    if state.keep_suspicion(suspicion) {
        let now = state.clock.now();
        state.crash_tracker.apply_suspicion(now, suspicion);
    }
}

/// Serves the other nodes on `listener`, over at most this many connections;
/// further ones are closed. Never returns. A malformed message closes its
/// connection.
pub async fn serve(listener: Arc<TcpListener>, connections: usize, state: Arc<State>) {
    let most = connections.min(MAX_CONNECTIONS);
    let slots = Arc::new(Semaphore::new(most));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            log::warn!(most; "peer.too-many-connections");
            continue;
        };
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let server = RelayServer {
            state: Arc::clone(&state),
        };
        tokio::spawn(async move {
            let channel = BaseChannel::with_defaults(transport);
            let responses = channel.execute(server.serve());
            responses
                .for_each(|response| async {
                    tokio::spawn(response);
                })
                .await;
            drop(slot);
        });
    }
}

/// Sends each suspicion from `suspicions` to the serving nodes and to those
/// that read the store, from which all others receive it; returns only when the
/// sender is dropped.
pub async fn broadcast_suspicions(
    state: Arc<State>,
    suspicions: Arc<tokio::sync::Mutex<Receiver<Suspicion>>>,
) {
    let mut suspicions = suspicions.lock().await;
    while let Some(suspicion) = suspicions.recv().await {
        state.keep_suspicion(suspicion);
        let peers = PeerClients::default();
        let receivers = state.suspicion_receivers();
        let sends = receivers
            .iter()
            .map(|a| peers.send_suspicion(*a, suspicion));
        let delivered = futures::future::join_all(sends).await;
        let undelivered = delivered.iter().filter(|delivered| !**delivered).count();
        if undelivered > 0 {
            log::warn!(print = suspicion.fingerprint, nodes = undelivered; "request.marks-untold");
        }
    }
}
