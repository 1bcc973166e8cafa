//! Decision logic of the request path. The types here are state machines: they
//! receive an event and the current time, update their state and return
//! actions. They open no socket, start no thread and access no store.
//!
//! Modules in the order in which a request passes them: [`admission`] limits
//! the requests of an entry; [`query`] spreads a request over the shards and
//! merges one [`answer`], chooses replicas with [`fleet`], hedges after the
//! delays learned in [`hedge`] and pays for hedges and retries from [`budget`];
//! [`gate`] limits the calls in flight on one target at its owner. [`once`]
//! keeps the records of once-only requests, [`marks`] those of requests that
//! crash targets, and [`recent_success`] remembers requests that succeeded
//! recently.

pub mod admission;
pub mod answer;
pub mod budget;
pub mod fleet;
pub mod gate;
pub mod hedge;
mod limit;
pub mod marks;
pub mod once;
pub mod query;
pub mod recent_success;
mod shard_state;
