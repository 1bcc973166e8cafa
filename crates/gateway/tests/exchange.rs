//! Tests of messages to a node of an older build, which does not know them.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use heatherrun_gateway::peer_clients::PeerClients;
use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::routes::NodeEntry;
use heatherrun_ports::peer::frames;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{context, serde_transport};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

const TIMEOUT: Duration = Duration::from_secs(2);

/// The calls of the older build, as far as this test uses them, in its order.
#[tarpc::service]
trait OldRelay {
    async fn changes(request: ());
    async fn join(node: NodeEntry) -> Vec<NodeEntry>;
    async fn report_suspicion(suspicion: Suspicion);
    async fn forward(request: ());
}

#[derive(Clone)]
struct OldNode;

impl OldRelay for OldNode {
    async fn changes(self, _: context::Context, (): ()) {}
    async fn join(self, _: context::Context, node: NodeEntry) -> Vec<NodeEntry> {
        vec![node]
    }
    async fn report_suspicion(self, _: context::Context, _: Suspicion) {}
    async fn forward(self, _: context::Context, (): ()) {}
}

/// Starts a node that speaks the older build's calls; aborting its task closes
/// its connections.
async fn start_old_node() -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let transport = serde_transport::new(frames(stream), Bincode::default());
            let channel = BaseChannel::with_defaults(transport);
            let responses = channel.execute(OldNode.serve());
            connections.spawn(responses.for_each(|response| response));
        }
    });
    (address, task)
}

fn node(address: SocketAddr) -> NodeEntry {
    NodeEntry {
        name: "front-1".into(),
        callers: address,
        peers: address,
        domain: "near-a".into(),
        region: "near".into(),
        power: 0.25,
        busy: false,
    }
}

/// Guards against calls of the older build failing because a newer call was
/// sent to the same node.
#[tokio::test]
async fn exchange_with_old_node_leaves_its_other_calls_alone() {
    let (address, _task) = start_old_node().await;
    let (peers, others) = (PeerClients::default(), PeerClients::default());
    let joined = peers.join(address, node(address)).await;
    assert_eq!(joined, Some(vec![node(address)]));
    let reply = others.exchange(address, vec![1, 2, 3], TIMEOUT).await;
    assert_eq!(reply, None);
    let joined = peers.join(address, node(address)).await;
    assert_eq!(joined, Some(vec![node(address)]));
}

/// Guards against connections that are kept for all nodes there ever were, while
/// nodes are replaced by others with new addresses.
#[tokio::test]
async fn connections_of_nodes_that_left_are_forgotten() {
    let peers = PeerClients::default();
    for _ in 0..20 {
        let (address, task) = start_old_node().await;
        let joined = peers.join(address, node(address)).await;
        assert_eq!(joined, Some(vec![node(address)]));
        assert!(
            peers.connection_count() <= 2,
            "{}",
            peers.connection_count()
        );
        task.abort();
        let _ = task.await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
