//! The planned stop of a node on real sockets, while requests keep arriving
//! on kept and on new connections.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{post, read, search, start};
use heatherrun_fakes::searcher::Settings;
use heatherrun_ports::http_client::{Client, ExchangeError};
use heatherrun_schema::v1;
use heatherrun_tier::node::Node;
use tokio::time::Instant;

/// Longest stop.
const LIMIT: Duration = Duration::from_mins(1);

/// What callers saw while the node stopped.
#[derive(Debug, Default)]
struct Seen {
    whole: usize,
    refused: Vec<v1::Refusal>,
    not_sent: usize,
    cut: Vec<ExchangeError>,
}

/// Time for which a caller keeps an address that it was offered.
const KEEP: Duration = Duration::from_secs(1);

/// Whether `asked` offers `address` to callers.
fn offers(asked: &Node, address: SocketAddr) -> bool {
    let answer = asked.addresses("lotes");
    let text = address.to_string();
    answer.addresses.iter().any(|a| a.address == text)
}

/// Sends searches until told to end, or until the address was not offered for
/// as long as it may be kept; on a connection that is kept, or each on a new
/// one. Callers who come later reach a closed port, as they must.
async fn call(asked: Arc<Node>, address: SocketAddr, kept: bool, end: Arc<AtomicBool>) -> Seen {
    let mut client = Client::default();
    let mut seen = Seen::default();
    let mut offered = Instant::now();
    while !end.load(Ordering::Acquire) && offered.elapsed() < KEEP {
        if offers(&asked, address) {
            offered = Instant::now();
        }
        if !kept {
            client = Client::default();
        }
        match post(&client, address, "/search", &search("kernels")).await {
            Err(
                ExchangeError::NotSent
                | ExchangeError::Refused
                | ExchangeError::Full
                | ExchangeError::Expired,
            ) => {
                seen.not_sent += 1;
            }
            Err(error) => seen.cut.push(error),
            Ok(reply) => match read::<v1::SearchAnswer>(&reply) {
                Ok(_) => seen.whole += 1,
                Err(refused) => seen.refused.push(*refused),
            },
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    seen
}

#[tokio::test]
async fn stop_while_requests_arrive_cuts_none() {
    let mut tier = start(3, 4, &Settings::default()).await;
    let (address, other) = (tier.nodes[0].callers, tier.nodes[1].callers);
    let asked = Arc::clone(&tier.nodes[1].node);
    let end = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for n in 0..4 {
        let (asked, end) = (Arc::clone(&asked), Arc::clone(&end));
        callers.push(tokio::spawn(call(asked, address, n % 2 == 0, end)));
    }
    let elsewhere = tokio::spawn(call(Arc::clone(&asked), other, true, Arc::clone(&end)));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let whole = tier.nodes[0].stop(LIMIT).await.unwrap();
    assert!(whole, "the hard limit passed first");
    end.store(true, Ordering::Release);
    for caller in callers {
        let seen = caller.await.unwrap();
        assert!(seen.cut.is_empty(), "{seen:?}");
        assert!(seen.whole > 0, "{seen:?}");
        for refused in &seen.refused {
            assert_eq!(refused.ran(), v1::Ran::NotRun, "{refused:?}");
            assert!(!refused.others.is_empty(), "{refused:?}");
        }
    }
    let seen = elsewhere.await.unwrap();
    assert!(seen.cut.is_empty() && seen.not_sent == 0, "{seen:?}");
    assert!(seen.whole > 0, "{seen:?}");
}

#[tokio::test]
async fn stop_idle_connection_closes_last() {
    let mut tier = start(2, 2, &Settings::default()).await;
    let address = tier.nodes[0].callers;
    let client = Client::default();
    let reply = post(&client, address, "/search", &search("kernels")).await;
    assert!(read::<v1::SearchAnswer>(&reply.unwrap()).is_ok());
    assert_eq!(client.connections(address), 1);
    assert!(tier.nodes[0].stop(LIMIT).await.unwrap());
    let gone = post(&client, address, "/search", &search("kernels")).await;
    assert_eq!(gone.unwrap_err(), ExchangeError::Refused);
}

#[tokio::test]
async fn stop_begun_node_is_not_offered() {
    let mut tier = start(3, 2, &Settings::default()).await;
    let address = tier.nodes[0].callers.to_string();
    let node = Arc::clone(&tier.nodes[1].node);
    assert!(tier.nodes[0].stop(LIMIT).await.unwrap());
    let offered = heatherrun_tier::addresses::addresses(&node.view.load(), 1);
    assert!(offered.addresses.iter().all(|a| a.address != address));
    assert!(!offered.addresses.is_empty());
}
