//! Which nodes a caller is told to use.

use std::net::SocketAddr;

use heatherrun_kernel::routes::NodeEntry;
use heatherrun_kernel::site::DirectoryAsk;

/// Nodes a caller is told of at least, if there are so many: with one, a lost
/// node would leave it none.
const LEAST: usize = 2;

/// Nodes a caller is told of at the most.
const MOST: usize = 64;

/// Power of a node, of the strongest one's at its distance, from which it is
/// named. A search is split into tens of calls, which on a weak node take a
/// large part of its objective.
const STRONG: f64 = 0.5;

/// Addresses for a caller: near and strong nodes alone when these are enough.
#[must_use]
pub fn addresses<'a>(
    nodes: impl Iterator<Item = &'a NodeEntry>,
    ask: &DirectoryAsk,
) -> Vec<SocketAddr> {
    let distance = |n: &NodeEntry| {
        if *n.domain == *ask.domain {
            0
        } else {
            1 + u8::from(*n.region != *ask.region)
        }
    };
    let nodes: Vec<_> = nodes.map(|n| (distance(n), n)).collect();
    let mut most = [0.0_f64; 3];
    for (distance, node) in &nodes {
        let most = &mut most[usize::from(*distance)];
        *most = most.max(node.power);
    }
    let mut ranked = Vec::with_capacity(nodes.len());
    for (distance, node) in nodes {
        let weak = node.power < most[usize::from(distance)] * STRONG;
        ranked.push((distance, weak, node.callers));
    }
    ranked.sort_unstable();
    ranked.dedup();
    let mut found: Vec<SocketAddr> = Vec::new();
    let mut last = (0, false);
    for (distance, weak, address) in ranked {
        if (distance, weak) != last && found.len() >= LEAST {
            break;
        }
        last = (distance, weak);
        found.push(address);
    }
    found.truncate(MOST);
    found
}
