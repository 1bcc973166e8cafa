//! Serves routed requests: joins the decisions of `heatherrun-routing` to
//! callers, targets, the store and other nodes.
//!
//! A request goes through [`serve`] and [`calls`]; what a node knows comes by
//! [`sync`] and [`member`] from the store, or by [`relay`] from another node,
//! into [`state`]. [`crashes`] keeps requests that crash
//! targets away from them. [`gateway`] starts and stops a node.

pub mod calls;
pub mod crashes;
pub mod doors;
pub mod gateway;
pub mod member;
pub mod metrics;
pub mod relay;
pub mod reply;
pub mod serve;
pub mod state;
pub mod sync;
pub mod throttle;
