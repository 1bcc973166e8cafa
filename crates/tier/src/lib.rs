//! Drivers that run the decisions on the runtime's clock. Sockets, the store
//! and the targets come in through the ports of the kernel, so that the same
//! code runs in the daemon and in experiments.
//!
//! In the order of a request: [`entry`] takes it from a caller, [`owner`]
//! sends its calls to targets. [`node`] holds both together with the view;
//! [`operate`] serves the operators' calls. [`once`] keeps the records of
//! once-only requests, [`suspects`] the marks of crash-causing ones.

pub mod addresses;
pub mod burn;
pub mod entry;
pub mod node;
pub mod once;
pub mod operate;
pub mod outcome;
pub mod owner;
pub mod refuse;
pub mod suspects;
pub mod trace;
