//! Decisions on routed requests: which route a request takes, which targets
//! are sent it, when it is hedged or repeated, and what answer it gets.
//!
//! Everything here is plain code: state, an event and the time in, actions
//! out. It opens no socket and reads no clock.

pub mod choice;
pub mod crashers;
pub mod directory;
pub mod extra;
pub mod feed;
pub mod fleet;
pub mod learned;
pub mod merge;
pub mod plan;
pub mod scatter;
pub mod share;
pub mod table;
pub mod target;
