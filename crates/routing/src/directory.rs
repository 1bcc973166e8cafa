//! Selects the entry nodes whose addresses are announced to a caller.

use std::net::SocketAddr;

use heatherrun_kernel::routes::NodeEntry;
use heatherrun_kernel::site::DirectoryQuery;

/// Minimum number of nodes announced to a caller, if there are that many: a
/// caller that knows one node has none left when it fails.
const MIN_NODES: usize = 2;

/// Maximum number of nodes announced to a caller.
const MAX_NODES: usize = 64;

/// Minimum power of a strong node, as a share of the most powerful node at the
/// same distance. Weak nodes are announced last: a search is split into tens of
/// calls, which take a large part of its objective on a weak node.
const MIN_POWER_SHARE: f64 = 0.5;

/// Addresses of the nodes for a caller: nearest first, and strong before weak
/// at each distance. Only as many of these groups are returned as give the
/// minimum number of nodes.
#[must_use]
pub fn addresses<'a>(
    nodes: impl Iterator<Item = &'a NodeEntry>,
    request: &DirectoryQuery,
) -> Vec<SocketAddr> {
    let distance = |n: &NodeEntry| {
        if *n.domain == *request.domain {
            0
        } else {
            1 + u8::from(*n.region != *request.region)
        }
    };
    let nodes: Vec<_> = nodes.map(|n| (distance(n), n)).collect();
    let mut max_power = [0.0_f64; 3];
    for (distance, node) in &nodes {
        let max_power = &mut max_power[usize::from(*distance)];
        *max_power = max_power.max(node.power);
    }
    let mut ranked = Vec::with_capacity(nodes.len());
    for (distance, node) in nodes {
        let is_weak = node.power < max_power[usize::from(distance)] * MIN_POWER_SHARE;
        ranked.push((distance, is_weak, node.callers));
    }
    ranked.sort_unstable();
    ranked.dedup();
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut last_group = (0, false);
    for (distance, is_weak, address) in ranked {
        if (distance, is_weak) != last_group && addresses.len() >= MIN_NODES {
            break;
        }
        last_group = (distance, is_weak);
        addresses.push(address);
    }
    addresses.truncate(MAX_NODES);
    addresses
}
