//! Selects the entry nodes whose addresses are announced to a caller.

use std::net::SocketAddr;

use heatherrun_kernel::routes::NodeEntry;
use heatherrun_kernel::site::DirectoryQuery;

/// Minimum number of near nodes announced to a caller, if there are that many: a
/// caller that knows one node has none left when it fails.
const MIN_NODES: usize = 2;

/// Maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// Maximum number of near nodes in an answer.
const MAX_NEAR_NODES: usize = 48;

/// Minimum power of a strong node, as a share of the most powerful node at the
/// same distance. Weak nodes are announced last: a search is split into tens of
/// calls, which take a large part of its objective on a weak node.
const MIN_POWER_SHARE: f64 = 0.5;

/// Maximum number of nodes of other failure domains in the caller's region that
/// are announced beside the near ones, and of nodes of other regions. A caller
/// picks one address at random, so each costs callers some of their latency.
const REGION_NODES: usize = 2;
const FAR_NODES: usize = 1;

/// Node with its distance from the caller (same failure domain, same region,
/// elsewhere) and whether it is weak.
type Ranked<'a> = (u8, bool, &'a NodeEntry);

/// Addresses of the nodes for a caller, none of them twice: a caller that counts
/// the addresses that failed would never see that all have. Near nodes come
/// first, strong before weak; only as many groups of equal distance and strength
/// are taken as give the minimum number of nodes. Some nodes of other failure
/// domains follow, so that a caller whose domain or region is lost need not ask
/// for others: those that it would ask are lost too. `turn` differs between
/// answers and spreads callers over these nodes.
#[must_use]
pub fn addresses<'a>(
    nodes: impl Iterator<Item = &'a NodeEntry>,
    request: &DirectoryQuery,
    turn: usize,
) -> Vec<SocketAddr> {
    let ranked = rank(nodes, request);
    let (near, rest) = ranked.split_at(near_count(&ranked));
    let is_known = |node: &NodeEntry| near.iter().any(|(.., n)| n.domain == node.domain);
    let near_addresses = near.iter().take(MAX_NEAR_NODES).map(|(.., n)| n.callers);
    let mut addresses: Vec<SocketAddr> = near_addresses.collect();
    for (distance, most) in [(1, REGION_NODES), (2, FAR_NODES)] {
        let others = rest.iter().filter(|(d, ..)| *d == distance);
        let others: Vec<_> = others.filter(|(.., n)| !is_known(n)).collect();
        let turned = others.iter().cycle().skip(turn % others.len().max(1));
        let turned = turned.take(most.min(others.len()));
        addresses.extend(turned.map(|(.., node)| node.callers));
    }
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

/// All nodes by distance, strong before weak, then by address.
fn rank<'a>(
    nodes: impl Iterator<Item = &'a NodeEntry>,
    request: &DirectoryQuery,
) -> Vec<Ranked<'a>> {
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
    let is_weak = |distance: u8, node: &NodeEntry| {
        node.power < max_power[usize::from(distance)] * MIN_POWER_SHARE
    };
    let ranked = nodes.into_iter().map(|(d, n)| (d, is_weak(d, n), n));
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_unstable_by_key(|(distance, is_weak, node)| (*distance, *is_weak, node.callers));
    ranked.dedup_by_key(|(.., node)| node.callers);
    ranked
}

/// Number of near nodes: the first groups of equal distance and strength that
/// give the minimum number.
fn near_count(ranked: &[Ranked<'_>]) -> usize {
    let mut near = 0;
    let mut last_group = (0, false);
    for (distance, is_weak, _) in ranked {
        if (*distance, *is_weak) != last_group && near >= MIN_NODES {
            break;
        }
        last_group = (*distance, *is_weak);
        near += 1;
    }
    near
}
