//! Serves routed requests: connects the decisions of `heatherrun-routing` to
//! callers, targets, the store and other nodes.
//!
//! A request passes through [`serve`] and [`calls`]. [`store_sync`] and
//! [`relay`] bring changes from the store or from another node into [`state`],
//! and [`roster`] publishes the nodes of a failure domain in the store.
//! [`crash_tracker`] withholds requests that crash targets. While [`link_probe`]
//! finds no way to the targets, [`forward`] sends requests to other nodes.
//! [`gateway`] starts and stops a node.

pub mod calls;
pub mod crash_tracker;
pub mod endpoints;
pub mod exchange;
pub mod forward;
pub mod gateway;
pub mod join;
pub mod link_probe;
pub mod log_throttle;
pub mod metrics;
pub mod peer_clients;
pub mod quota;
pub mod relay;
pub mod reply;
pub mod rollout;
pub mod roster;
pub mod serve;
pub mod state;
pub mod store_sync;
pub mod supervise;
pub mod target_ramp;
