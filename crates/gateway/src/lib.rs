//! Serves routed requests: joins the decisions of `heatherrun-routing` to
//! callers, targets, the store and other nodes.
//!
//! A request goes through [`serve`] and [`calls`]; what a node knows comes by
//! [`store_sync`] and [`registration`] from the store, or by [`relay`] from another node,
//! into [`state`]. [`crash_tracker`] keeps requests that crash
//! targets away from them. [`gateway`] starts and stops a node.

pub mod calls;
pub mod crash_tracker;
pub mod endpoints;
pub mod gateway;
pub mod log_throttle;
pub mod metrics;
pub mod registration;
pub mod relay;
pub mod reply;
pub mod serve;
pub mod state;
pub mod store_sync;
