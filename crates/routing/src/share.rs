//! Parts of what all nodes share that are this node's: connections to targets,
//! slack of a budget, what a cold target bears. Parts go by the nodes' power,
//! as callers do.

use heatherrun_kernel::routes::{Name, NodeEntry};

/// Share of a target's connections for the nodes of its region and for all
/// others. The rest is left for nodes that are not known yet.
const NEAR: f64 = 0.5;
const FAR: f64 = 0.45;

/// This node's parts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Part of each region's targets' connections.
    regions: Vec<(Name, f64)>,
    /// Part of what all nodes share.
    pub whole: f64,
}

impl Shares {
    /// Parts of `me` among `nodes`, which may or may not name it.
    #[must_use]
    pub fn of(me: &NodeEntry, nodes: &[NodeEntry], regions: &[Name]) -> Self {
        let others = || nodes.iter().filter(|n| n.name != me.name);
        let sum = |region: &Name, near: bool| -> f64 {
            let counted = others().filter(|n| (n.region == *region) == near);
            counted.map(|n| n.power).sum::<f64>() + me.power
        };
        let part = |region: &Name| {
            if *region == me.region {
                NEAR * me.power / sum(region, true)
            } else {
                FAR * me.power / sum(region, false)
            }
        };
        let regions = regions.iter().map(|r| (Name::clone(r), part(r)));
        let all: f64 = others().map(|n| n.power).sum::<f64>() + me.power;
        Self {
            regions: regions.collect(),
            whole: me.power / all,
        }
    }

    /// Calls at once to one target of `region` that accepts `connections`.
    #[must_use]
    pub fn room(&self, region: &Name, connections: u16) -> u16 {
        let part = self.regions.iter().find(|(name, _)| name == region);
        let part = part.map_or(0.0, |(_, part)| *part);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a u16, not negative"
        )]
        let room = (f64::from(connections) * part) as u16;
        room.max(1)
    }
}
