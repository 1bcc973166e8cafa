//! Which nodes a caller is told to use.

use std::net::SocketAddr;

use heatherrun_kernel::routes::NodeEntry;
use heatherrun_kernel::site::DirectoryAsk;

/// Nodes a caller is told of at least, if there are so many: with one, a lost
/// node would leave it none.
const LEAST: usize = 2;

/// Nodes a caller is told of at the most.
const MOST: usize = 64;

/// Addresses for a caller, near ones alone when these are enough.
#[must_use]
pub fn addresses<'a>(
    nodes: impl Iterator<Item = &'a NodeEntry>,
    ask: &DirectoryAsk,
) -> Vec<SocketAddr> {
    let rank = |n: &NodeEntry| {
        if *n.domain == *ask.domain {
            0
        } else {
            1 + u8::from(*n.region != *ask.region)
        }
    };
    let mut ranked: Vec<_> = nodes.map(|n| (rank(n), n.callers)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    let mut found: Vec<SocketAddr> = Vec::new();
    let mut last = 0;
    for (rank, address) in ranked {
        if rank != last && found.len() >= LEAST {
            break;
        }
        last = rank;
        found.push(address);
    }
    found.truncate(MOST);
    found
}
