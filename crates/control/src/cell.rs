//! The cell of a service: the nodes that serve it. In a small tier every node
//! serves every service. In a large one each service has a stable subset of
//! nodes, spread over failure domains, so that a node holds a bounded part of
//! the configuration.

use std::collections::{BTreeMap, BTreeSet};

use heatherrun_kernel::{DomainId, NodeId, ServiceId, TargetId};

use crate::rendezvous;

/// Maximum number of nodes of a tier in which every node serves every service.
pub const MAX_UNPARTITIONED_NODES: usize = 24;

/// Size of a cell as a percentage of the service's number of targets.
const NODES_PER_TARGET_PERCENT: usize = 25;

/// Minimum number of nodes in a cell.
const MIN_CELL_NODES: usize = 12;

/// Nodes by failure domain.
pub type Nodes = BTreeMap<DomainId, Vec<NodeId>>;

/// Returns the nodes that serve `service`; `targets` is its number of targets.
#[must_use]
pub fn members(service: ServiceId, targets: usize, nodes: &Nodes) -> BTreeSet<NodeId> {
    let total: usize = nodes.values().map(Vec::len).sum();
    if total <= MAX_UNPARTITIONED_NODES {
        return nodes.values().flatten().copied().collect();
    }
    let size = (targets * NODES_PER_TARGET_PERCENT / 100).clamp(MIN_CELL_NODES, total);
    let nodes_per_domain = size.div_ceil(nodes.len().max(1));
    let mut cell = BTreeSet::new();
    for candidates in nodes.values() {
        let mut ranked = candidates.clone();
        let weight = |n: &NodeId| rendezvous::weight(TargetId(service.0), *n);
        ranked.sort_by_key(|n| std::cmp::Reverse(weight(n)));
        cell.extend(ranked.into_iter().take(nodes_per_domain));
    }
    cell
}
