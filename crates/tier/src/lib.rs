//! Drivers that run the policy code on the runtime's clock. Sockets, the
//! store and the targets are reached through the ports of the kernel, so that
//! the daemon and the experiments run the same code.
//!
//! A request passes through these modules in order: [`entry`] accepts it from
//! a caller, `request` validates it, `claim` claims a once-only request at the
//! holder of its record, `query_driver` sends its calls to owners in
//! `batches`, and [`owner`] forwards each call to a target, whose limit and
//! queue are in `owned_target`. [`node`] combines entry, owner, control side
//! and view; [`operate`] serves the operators' calls. [`once`] keeps the
//! records of once-only requests, [`suspects`] those of crash-causing
//! requests, and [`outcome`] reports how each request ended to [`burn`], logs
//! and metrics.

pub mod addresses;
mod batches;
pub mod burn;
mod claim;
pub mod control;
pub mod entry;
pub mod marks;
pub mod node;
pub mod once;
pub mod operate;
pub mod outcome;
mod owned_target;
pub mod owner;
mod query_driver;
pub mod refuse;
mod request;
pub mod suspects;
pub mod trace;
