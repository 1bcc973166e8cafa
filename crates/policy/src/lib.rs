//! Decisions on the path of a request: state, an event and the time go in,
//! actions come out. No socket, thread or store.
//!
//! In the order of a request: [`admission`] at the entry, [`query`] with
//! [`fleet`] (choice of replica), [`budget`] (hedges and retries), and
//! [`gate`] at the owner of a target. [`once`] keeps records of once-only
//! requests, [`marks`] of requests that crash targets.

pub mod admission;
pub mod answer;
pub mod budget;
pub mod fleet;
pub mod gate;
pub mod hedge;
mod limit;
pub mod marks;
pub mod once;
pub mod proof;
pub mod query;
mod slot;
