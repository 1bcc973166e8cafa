//! The fault matrix: every fault at every step of a request and of a control
//! action, run on the paused clock, with the tier's promises checked.
//!
//! In the order of a run: [`cell`] names a step and a fault, [`world`] builds
//! a small tier over fakes, [`hook`] injects the fault when the step is
//! reached, [`journal`] keeps what happened, [`promise`] judges it, and
//! [`table`] prints the outcome of all cells.

pub mod cell;
pub mod hook;
pub mod journal;
pub mod promise;
pub mod run;
pub mod table;
pub mod world;
