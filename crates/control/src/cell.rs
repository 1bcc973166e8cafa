//! The cell of a service: the nodes that serve it. A small tier serves every
//! service on every node; in a large one each service has a stable subset,
//! spread over failure domains, so that a node keeps a bounded part of the
//! configuration.

use std::collections::{BTreeMap, BTreeSet};

use heatherrun_kernel::{DomainId, NodeId, ServiceId, TargetId};

use crate::rendezvous;

/// A tier of this many nodes or fewer serves everything everywhere.
pub const WHOLE: usize = 24;

/// Nodes that serve a service for each of its targets, in per cent.
const PER_TARGET: usize = 25;

/// Fewest nodes in a cell.
const LEAST: usize = 12;

/// Nodes by failure domain.
pub type Nodes = BTreeMap<DomainId, Vec<NodeId>>;

/// Nodes that serve `service`, which has `targets` targets.
#[must_use]
pub fn members(service: ServiceId, targets: usize, nodes: &Nodes) -> BTreeSet<NodeId> {
    let total: usize = nodes.values().map(Vec::len).sum();
    if total <= WHOLE {
        return nodes.values().flatten().copied().collect();
    }
    let size = (targets * PER_TARGET / 100).clamp(LEAST, total);
    let each = size.div_ceil(nodes.len().max(1));
    let mut cell = BTreeSet::new();
    for live in nodes.values() {
        let mut ranked = live.clone();
        let weight = |n: &NodeId| rendezvous::weight(TargetId(service.0), *n);
        ranked.sort_by_key(|n| std::cmp::Reverse(weight(n)));
        cell.extend(ranked.into_iter().take(each));
    }
    cell
}
