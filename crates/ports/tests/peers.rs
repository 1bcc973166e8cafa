//! Contract of the interface between nodes, on real sockets.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::tier;
use heatherrun_kernel::message::{Batch, BatchCall, CallError, CallKind, Cancel, Class, Collect};
use heatherrun_kernel::message::{Failure, Ran, Reason};
use heatherrun_kernel::port::PeerError;
use heatherrun_kernel::{Epoch, MapRev, QueryId, Revision, ServiceId, ShardIx, Snapshot, TargetId};
use heatherrun_ports::peer_client::peers;
use heatherrun_standins::local::LocalTier;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Batch of one call for each of `targets`.
fn batch(seq: u64, targets: &[(TargetId, ShardIx, Epoch)], body: Vec<u8>) -> Batch {
    let mut calls = Vec::new();
    for (at, (target, shard, epoch)) in targets.iter().enumerate() {
        calls.push(BatchCall {
            attempt: u16::try_from(at).unwrap(),
            reason: Reason::First,
            target: *target,
            shard: *shard,
            epoch: *epoch,
        });
    }
    Batch {
        query: QueryId { entry: 9, seq },
        trace: format!("trace-{seq}"),
        service: ServiceId::of("lotes"),
        kind: CallKind::Search,
        class: Class::Normal,
        snapshot: Snapshot(1),
        map: MapRev(0),
        left: Duration::from_secs(20),
        flush: Duration::from_secs(10),
        revision: Revision(0),
        print: seq,
        proven: true,
        body: body.into(),
        calls,
    }
}

/// Address of the tier's only node for peers, and its targets of `lotes`.
fn owned(tier: &LocalTier) -> (SocketAddr, Vec<(TargetId, ShardIx, Epoch)>) {
    let node = &tier.nodes[0].node;
    let view = node.view.load();
    let service = ServiceId::of("lotes");
    let mut found = Vec::new();
    for target in view.targets.values() {
        if target.service == service {
            found.push((target.id, target.shard, view.owners[&target.id].epoch));
        }
    }
    (node.info.peers, found)
}

/// Listener that accepts `count` connections and reads what comes.
async fn silent(count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut held = Vec::new();
        for _ in 0..count {
            let (stream, _) = listener.accept().await.unwrap();
            held.push(stream);
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
    let got = (peers().search)((address, batch(1, &[], Vec::new()))).await;
    assert_eq!(got, Err(PeerError::NotSent));
}

#[tokio::test]
async fn search_peer_gone_after_the_send_is_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 16]).await;
    });
    let got = (peers().search)((address, batch(1, &[], Vec::new()))).await;
    assert_eq!(got, Err(PeerError::NoAnswer));
}

#[tokio::test]
async fn search_silent_peer_is_no_answer_after_its_time() {
    let address = silent(4).await;
    let mut late = batch(1, &[], Vec::new());
    late.left = Duration::from_millis(50);
    let got = (peers().search)((address, late)).await;
    assert_eq!(got, Err(PeerError::NoAnswer));
}

#[tokio::test]
async fn search_after_loss_connects_again() {
    let tier = tier(1).await;
    let (address, targets) = owned(&tier);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = listener.local_addr().unwrap();
    tokio::spawn(async move {
        // Each connection is cut after one exchange.
        while let Ok((mut near, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut far = tokio::net::TcpStream::connect(address).await.unwrap();
                let both = tokio::io::copy_bidirectional(&mut near, &mut far);
                let _ = tokio::time::timeout(Duration::from_millis(300), both).await;
            });
        }
    });
    let port = peers();
    let mut answered = 0;
    for seq in 0..8 {
        let got = (port.search)((relay, batch(seq, &targets[..1], b"q".to_vec()))).await;
        answered += usize::from(got.is_ok());
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(answered >= 4, "{answered} of 8 answered");
}

#[tokio::test]
async fn search_big_batch_is_answered_whole() {
    let tier = tier(1).await;
    let (address, targets) = owned(&tier);
    let body = vec![b'x'; 200_000];
    let got = (peers().search)((address, batch(1, &targets, body.clone()))).await;
    let reply = got.unwrap();
    assert_eq!(reply.done.len(), targets.len());
    for done in reply.done {
        assert_eq!(done.result.unwrap().body, body);
    }
}

#[tokio::test]
async fn search_batch_over_the_bound_fails_and_the_next_goes_on() {
    let tier = tier(1).await;
    let (address, targets) = owned(&tier);
    let port = peers();
    let over = batch(1, &targets, vec![b'x'; 17 << 20]);
    let got = (port.search)((address, over)).await;
    assert!(got.is_err(), "{got:?}");
    for seq in 2..6 {
        let got = (port.search)((address, batch(seq, &targets[..1], b"q".to_vec()))).await;
        assert_eq!(got.unwrap().done.len(), 1);
    }
}

#[tokio::test]
async fn search_newer_epoch_than_the_owners_is_not_run() {
    let tier = tier(1).await;
    let (address, mut targets) = owned(&tier);
    targets.truncate(1);
    targets[0].2 = Epoch(u64::MAX);
    let got = (peers().search)((address, batch(1, &targets, b"q".to_vec()))).await;
    let done = got.unwrap().done.remove(0);
    assert_eq!(done.result, Err(CallError::not_run(Failure::StaleEpoch)));
}

#[tokio::test]
async fn search_target_of_nobody_is_not_run() {
    let tier = tier(1).await;
    let (address, _) = owned(&tier);
    let unknown = [(TargetId(1), ShardIx(0), Epoch(1))];
    let got = (peers().search)((address, batch(1, &unknown, b"q".to_vec()))).await;
    let done = got.unwrap().done.remove(0);
    assert_eq!(done.result.unwrap_err().ran, Ran::NotRun);
}

#[tokio::test]
async fn search_owner_killed_in_mid_batch_is_no_answer() {
    let mut tier = tier(1).await;
    for local in &tier.searchers {
        local
            .searcher
            .change(|s| s.service = Duration::from_secs(15));
    }
    let (address, targets) = owned(&tier);
    let asked = tokio::spawn((peers().search)((
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
    assert_eq!(asked.await.unwrap(), Err(PeerError::NoAnswer));
}

#[tokio::test]
async fn collect_and_cancel_of_an_unknown_batch_are_answered() {
    let tier = tier(1).await;
    let (address, _) = owned(&tier);
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
