//! Experiments on the paused clock and over loopback sockets.
//!
//! A policy experiment runs the daemon's own entries and owners, joined by
//! [`links`] and facing in-memory searchers ([`cell`]). [`load`] offers
//! requests to them or to a [`baseline`], [`tally`] checks each answer
//! against what the searchers recorded, and [`table`] prints the figures.

pub mod args;
pub mod baseline;
pub mod cell;
pub mod cold;
pub mod crash;
pub mod links;
pub mod load;
pub mod nodes;
pub mod overload;
pub mod plan;
pub mod replan;
pub mod run;
pub mod table;
pub mod tail;
pub mod tally;
pub mod trial;
