//! Shares of this node in limits that hold for all nodes together: connections
//! to targets, the slack of the budget of extra calls, and the capacity of cold
//! targets. Shares are proportional to the power of the nodes, as is the number
//! of callers.

use heatherrun_kernel::routes::{Name, NodeEntry};

/// Shares of a target's connections for the nodes of its region and for all
/// other nodes. The rest is left for nodes that are not known yet.
const SAME_REGION_SHARE: f64 = 0.5;
const OTHER_REGIONS_SHARE: f64 = 0.45;

/// Shares of this node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Share in the connections to a target, by region of the target.
    regions: Vec<(Name, f64)>,
    /// Share in limits that hold for all nodes together.
    pub total_share: f64,
}

impl Shares {
    /// Shares of `this_node` among `nodes`, which may or may not include it.
    #[must_use]
    pub fn new(this_node: &NodeEntry, nodes: &[NodeEntry], regions: &[Name]) -> Self {
        let others = || nodes.iter().filter(|n| n.name != this_node.name);
        let total_power = |region: &Name, same_region: bool| -> f64 {
            let in_group = others().filter(|n| (n.region == *region) == same_region);
            in_group.map(|n| n.power).sum::<f64>() + this_node.power
        };
        let share = |region: &Name| {
            if *region == this_node.region {
                SAME_REGION_SHARE * this_node.power / total_power(region, true)
            } else {
                OTHER_REGIONS_SHARE * this_node.power / total_power(region, false)
            }
        };
        let regions = regions.iter().map(|r| (Name::clone(r), share(r)));
        let total: f64 = others().map(|n| n.power).sum::<f64>() + this_node.power;
        Self {
            regions: regions.collect(),
            total_share: this_node.power / total,
        }
    }

    /// Maximum number of concurrent calls of this node to a target of `region`
    /// that accepts `connections` in all; at least one.
    #[must_use]
    pub fn max_calls(&self, region: &Name, connections: u16) -> u16 {
        let share = self.regions.iter().find(|(name, _)| name == region);
        let share = share.map_or(0.0, |(_, share)| *share);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a u16, not negative"
        )]
        let max_calls = (f64::from(connections) * share) as u16;
        max_calls.max(1)
    }
}
