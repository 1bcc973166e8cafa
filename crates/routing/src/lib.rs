//! Decisions on routed requests: which route applies, which targets are called,
//! when a call is hedged or retried, and what the caller receives.
//!
//! The code is deterministic and does no I/O: an event and the current time
//! come in, actions come out. It opens no socket and reads no clock.

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
