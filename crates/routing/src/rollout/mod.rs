//! Roll-out of one service's version: the [`state`] of an order, the
//! [`exposure`] of the version at one node, the [`evidence`] about it from all
//! nodes, the [`verdict`] on it, the next [`step`] of the decider, and the
//! [`policy`] that says which versions a call may go to.

pub mod evidence;
pub mod exposure;
pub mod policy;
pub mod state;
pub mod step;
pub mod verdict;

/// Limits on the exposure of a version under test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum share of a service's requests that the version receives, from 0
    /// to 1.
    pub share: f64,
    /// Number of requests that it may receive in addition.
    pub slack: u32,
}
