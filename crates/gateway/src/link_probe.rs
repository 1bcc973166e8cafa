//! Opens connections to targets while this node's links are suspect or down.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use heatherrun_routing::links::Phase;
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;

use crate::state::State;

/// Maximum time to open a connection. One to another region takes about 100 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of targets that are tried at the same time while the links are
/// suspect.
const CONCURRENT_PROBES: usize = 3;

/// Interval between two probes while the links are down.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which connections to other nodes are closed while the links are
/// up.
const RELEASE_INTERVAL: Duration = Duration::from_secs(10);

/// Tries the links whenever they are suspect or down; never returns.
pub async fn run(state: Arc<State>) {
    let mut changes = state.link_changes();
    loop {
        let count = match state.links.phase() {
            Phase::Suspect => CONCURRENT_PROBES,
            Phase::Down => 1,
            Phase::Up | Phase::Returning(_) => {
                let waiting = tokio::time::timeout(RELEASE_INTERVAL, changes.changed());
                if waiting.await.is_err() {
                    state.forwarder.release();
                }
                continue;
            }
        };
        let probes = draw_addresses(&state, count).into_iter();
        let is_reachable = futures::future::join_all(probes.map(is_reachable)).await;
        state.record_probe(state.clock.now(), is_reachable.contains(&true));
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Addresses of different targets, drawn from those of all services.
fn draw_addresses(state: &State, count: usize) -> Vec<SocketAddr> {
    let services = state.services.load();
    let targets = services.values().flatten();
    let drawn = targets.sample(&mut rand::rng(), count).into_iter();
    drawn.map(|target| target.entry.address).collect()
}

async fn is_reachable(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    matches!(connecting.await, Ok(Ok(_)))
}
