//! Drivers that run the decisions on the runtime's clock. Sockets, the store
//! and the targets come in through the ports of the kernel, so that the same
//! code runs in the daemon and in experiments.
//!
//! In the order of a request: [`entry`] takes it from a caller, `request` checks
//! it, `claim` asks for a once-only one, `drive` runs it by `batches` to owners,
//! and [`owner`] sends its calls to targets, each by its `lane`. [`node`] holds both together with the view;
//! [`operate`] serves the operators' calls. [`once`] keeps the records of
//! once-only requests, [`suspects`] the marks of crash-causing ones, and
//! [`outcome`] tells what each request came to, for [`burn`], logs and metrics.

pub mod addresses;
mod batches;
pub mod burn;
mod claim;
pub mod control;
mod drive;
pub mod entry;
mod lane;
pub mod marks;
pub mod node;
pub mod once;
pub mod operate;
pub mod outcome;
pub mod owner;
pub mod refuse;
mod request;
pub mod suspects;
pub mod trace;
