//! Asks the seeds for the nodes of this node's failure domain until a roster
//! lists this node. Nodes that start together find each other so.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::peer_clients::PeerClients;
use crate::state::State;

/// Interval between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between rounds while this node knows nothing.
const START_INTERVAL: Duration = Duration::from_millis(60);

/// Asks the seeds as long as no roster lists this node; never returns.
pub async fn run(state: Arc<State>) {
    let peers = PeerClients::default();
    loop {
        if state.is_listed() {
            peers.retain(&[]);
        } else {
            join_once(&state, &peers).await;
        }
        let delay = if state.position().is_start() {
            START_INTERVAL
        } else {
            ROUND_INTERVAL
        };
        tokio::time::sleep(delay).await;
    }
}

/// Asks the seeds, in an order that all nodes of this domain share, until one
/// replies.
async fn join_once(state: &State, peers: &PeerClients) {
    let own = state.own_node();
    let mut seeds = state.deployment.load().seeds.clone();
    seeds.sort_unstable_by_key(|s| xxh3_64(format!("{s}/{}", own.domain).as_bytes()));
    seeds.retain(|seed| *seed != own.peers);
    for seed in seeds {
        if let Some(nodes) = peers.join(seed, own.clone()).await {
            log::info!(seed:% = seed, nodes = nodes.len(); "member.joined");
            state.add_hints(nodes);
            return;
        }
        log::debug!(seed:% = seed; "member.seed-silent");
    }
}
