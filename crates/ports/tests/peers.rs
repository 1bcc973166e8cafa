//! Contract tests of the messages between nodes, over real sockets.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::start_tier;
use heatherrun_kernel::message::{Batch, BatchCall, CallError, CallKind, Cancel, Class, Collect};
use heatherrun_kernel::message::{Failure, Ran, Reason};
use heatherrun_kernel::port::PeerError;
use heatherrun_kernel::{Epoch, MapRev, QueryId, Revision, ServiceId, ShardIx, Snapshot, TargetId};
use heatherrun_ports::peer_client::peers;
use heatherrun_standins::local::LocalTier;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Batch with one call to each of `targets`.
fn batch(seq: u64, targets: &[(TargetId, ShardIx, Epoch)], body: Vec<u8>) -> Batch {
    let mut calls = Vec::new();
    for (index, (target, shard, epoch)) in targets.iter().enumerate() {
        calls.push(BatchCall {
            attempt: u16::try_from(index).unwrap(),
            reason: Reason::First,
            target: *target,
            shard: *shard,
            epoch: *epoch,
        });
    }
    Batch {
        query: QueryId { entry: 9, seq },
        trace: format!("trace-{seq}"),
        service: ServiceId::from_name("lotes"),
        kind: CallKind::Search,
        class: Class::Normal,
        snapshot: Snapshot(1),
        map: MapRev(0),
        time_left: Duration::from_secs(20),
        flush: Duration::from_secs(10),
        revision: Revision(0),
        fingerprint: seq,
        confirmed: true,
        body: body.into(),
        calls,
    }
}

/// Peer address of the tier's only node, and the targets of `lotes` that it owns.
fn owned_targets(tier: &LocalTier) -> (SocketAddr, Vec<(TargetId, ShardIx, Epoch)>) {
    let node = &tier.nodes[0].node;
    let view = node.view.load();
    let service = ServiceId::from_name("lotes");
    let mut owned = Vec::new();
    for target in view.targets.values() {
        if target.service == service {
            owned.push((target.id, target.shard, view.owners[&target.id].epoch));
        }
    }
    (node.info.peers, owned)
}

/// Starts a peer that accepts `count` connections and never reads or replies.
async fn start_unresponsive_peer(count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open_connections = Vec::new();
        for _ in 0..count {
            let (stream, _) = listener.accept().await.unwrap();
            open_connections.push(stream);
        }
        tokio::time::sleep(Duration::from_mins(1)).await;
    });
    address
}

#[tokio::test]
async fn search_no_listener_is_not_sent() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let result = (peers().search)((address, batch(1, &[], Vec::new()))).await;
    assert_eq!(result, Err(PeerError::NotSent));
}

#[tokio::test]
async fn search_connection_lost_after_send_is_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 16]).await;
    });
    let result = (peers().search)((address, batch(1, &[], Vec::new()))).await;
    assert_eq!(result, Err(PeerError::NoAnswer));
}

#[tokio::test]
async fn search_unresponsive_peer_is_no_answer_after_deadline() {
    let address = start_unresponsive_peer(4).await;
    let mut short_batch = batch(1, &[], Vec::new());
    short_batch.time_left = Duration::from_millis(50);
    let result = (peers().search)((address, short_batch)).await;
    assert_eq!(result, Err(PeerError::NoAnswer));
}

#[tokio::test]
async fn search_after_connection_loss_reconnects() {
    let tier = start_tier(1).await;
    let (address, targets) = owned_targets(&tier);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = listener.local_addr().unwrap();
    tokio::spawn(async move {
        // The relay closes each connection after 300 ms, about one exchange.
        while let Ok((mut client, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut server = tokio::net::TcpStream::connect(address).await.unwrap();
                let relaying = tokio::io::copy_bidirectional(&mut client, &mut server);
                let _ = tokio::time::timeout(Duration::from_millis(300), relaying).await;
            });
        }
    });
    let port = peers();
    let mut answered = 0;
    for seq in 0..8 {
        let result = (port.search)((relay, batch(seq, &targets[..1], b"q".to_vec()))).await;
        answered += usize::from(result.is_ok());
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(answered >= 4, "{answered} of 8 answered");
}

#[tokio::test]
async fn search_large_batch_is_answered_completely() {
    let tier = start_tier(1).await;
    let (address, targets) = owned_targets(&tier);
    let body = vec![b'x'; 200_000];
    let result = (peers().search)((address, batch(1, &targets, body.clone()))).await;
    let reply = result.unwrap();
    assert_eq!(reply.done.len(), targets.len());
    for done in reply.done {
        assert_eq!(done.result.unwrap().body, body);
    }
}

#[tokio::test]
async fn search_after_oversized_batch_still_works() {
    let tier = start_tier(1).await;
    let (address, targets) = owned_targets(&tier);
    let port = peers();
    let oversized = batch(1, &targets, vec![b'x'; 17 << 20]);
    let result = (port.search)((address, oversized)).await;
    assert!(result.is_err(), "{result:?}");
    for seq in 2..6 {
        let result = (port.search)((address, batch(seq, &targets[..1], b"q".to_vec()))).await;
        assert_eq!(result.unwrap().done.len(), 1);
    }
}

#[tokio::test]
async fn search_epoch_newer_than_owner_is_not_run() {
    let tier = start_tier(1).await;
    let (address, mut targets) = owned_targets(&tier);
    targets.truncate(1);
    targets[0].2 = Epoch(u64::MAX);
    let result = (peers().search)((address, batch(1, &targets, b"q".to_vec()))).await;
    let done = result.unwrap().done.remove(0);
    assert_eq!(done.result, Err(CallError::not_run(Failure::StaleEpoch)));
}

#[tokio::test]
async fn search_unknown_target_is_not_run() {
    let tier = start_tier(1).await;
    let (address, _) = owned_targets(&tier);
    let unknown = [(TargetId(1), ShardIx(0), Epoch(1))];
    let result = (peers().search)((address, batch(1, &unknown, b"q".to_vec()))).await;
    let done = result.unwrap().done.remove(0);
    assert_eq!(done.result.unwrap_err().ran, Ran::NotRun);
}

#[tokio::test]
async fn search_owner_killed_during_batch_is_no_answer() {
    let mut tier = start_tier(1).await;
    for local in &tier.searchers {
        local
            .searcher
            .change(|s| s.service = Duration::from_secs(15));
    }
    let (address, targets) = owned_targets(&tier);
    let searching = tokio::spawn((peers().search)((
        address,
        batch(1, &targets, b"q".to_vec()),
    )));
    let arrived = |tier: &LocalTier| {
        let counts = tier.searchers.iter().map(|s| s.searcher.counts().arrived);
        counts.sum::<u64>()
    };
    while arrived(&tier) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tier.nodes[0].kill();
    assert_eq!(searching.await.unwrap(), Err(PeerError::NoAnswer));
}

#[tokio::test]
async fn collect_and_cancel_unknown_batch_are_answered() {
    let tier = start_tier(1).await;
    let (address, _) = owned_targets(&tier);
    let query = QueryId { entry: 1, seq: 99 };
    let collect = Collect {
        query,
        first: 0,
        flush: Duration::ZERO,
    };
    let reply = (peers().collect)((address, collect)).await.unwrap();
    assert!(reply.done.is_empty() && reply.pending == 0);
    let cancel = Cancel {
        query,
        attempts: Vec::new(),
    };
    assert_eq!((peers().cancel)((address, cancel)).await, Ok(()));
}
