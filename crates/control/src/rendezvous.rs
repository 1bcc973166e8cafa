//! Rendezvous hashing: selects the owner of a unit among candidate nodes.

use heatherrun_kernel::{NodeId, TargetId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `node` for `target`; the node with the highest weight owns it.
#[must_use]
pub fn weight(target: TargetId, node: NodeId) -> u64 {
    xxh3_64_with_seed(&target.0.to_le_bytes(), node.0)
}

/// Returns the node with the highest weight for `target`; the greater id wins a
/// tie.
pub fn choose(target: TargetId, nodes: impl IntoIterator<Item = NodeId>) -> Option<NodeId> {
    nodes
        .into_iter()
        .max_by_key(|node| (weight(target, *node), *node))
}
