//! The fault matrix: every fault at every step of a request and of a control
//! action, run on the paused clock, with the tier's promises checked.
//!
//! In the order of a run: [`cell`] names a step and a fault, [`world`] builds
//! a small tier over fakes, joined by [`net`] through a [`gate`] for each
//! node, [`hook`] injects the fault when the step is reached, [`callers`] send
//! requests, [`journal`] keeps what happened, [`promise`] judges it, and
//! [`table`] prints the outcome of all cells.

pub mod callers;
pub mod cell;
pub mod gate;
pub mod hook;
pub mod journal;
pub mod net;
pub mod promise;
pub mod run;
pub mod table;
pub mod world;
