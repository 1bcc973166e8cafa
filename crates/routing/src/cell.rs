//! Which nodes serve callers. The others are in reserve: they are not announced
//! and hold no share of what all nodes divide among themselves.

use std::collections::{BTreeMap, HashSet};

use heatherrun_kernel::routes::{Name, NodeEntry};

use crate::members::rank_key;

/// Power of the nodes of a failure domain that serve, in cores of the usual
/// speed, not counting busy ones.
const CELL_POWER: f64 = 1.5;

/// Minimum number of nodes of a failure domain that serve: a caller that knows
/// one node has none left when it fails.
const MIN_CELL_NODES: usize = 2;

/// Part of the connections that a target accepts by which the number of serving
/// nodes is limited: each needs at least one connection to each target.
const CONNECTIONS_SHARE: f64 = 0.45;

/// Names of the nodes that serve: in each failure domain the strongest ones, as
/// many as [`CELL_POWER`] takes. Busy nodes do not count towards the power, so
/// the cell grows before requests are refused.
///
/// `connections` is the lowest number that a target accepts from all nodes.
#[must_use]
pub fn serving(nodes: &[NodeEntry], connections: u16) -> HashSet<Name> {
    let mut domains: BTreeMap<&Name, Vec<&NodeEntry>> = BTreeMap::new();
    for node in nodes {
        domains.entry(&node.domain).or_default().push(node);
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a u16, not negative"
    )]
    let max_nodes = (f64::from(connections) * CONNECTIONS_SHARE) as usize;
    let max_per_domain = (max_nodes / domains.len().max(1)).max(1);
    let mut serving = HashSet::new();
    for nodes in domains.values_mut() {
        nodes.sort_by_cached_key(|n| rank_key(n));
        let mut spare_power = 0.0;
        for (count, node) in nodes.iter().enumerate().take(max_per_domain) {
            if count >= MIN_CELL_NODES && spare_power >= CELL_POWER {
                break;
            }
            serving.insert(Name::clone(&node.name));
            if !node.busy {
                spare_power += node.power;
            }
        }
    }
    serving
}
