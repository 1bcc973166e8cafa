//! Decisions on routed requests: which route applies, which targets are called,
//! when a call is hedged or retried, and what the caller receives.
//!
//! The code is deterministic and does no I/O: an event and the current time
//! come in, actions come out. It opens no socket and reads no clock.

pub mod admission;
pub mod cell;
pub mod choice;
pub mod crash_detector;
pub mod directory;
pub mod extra_calls;
pub mod feed;
pub mod fleet;
pub mod links;
pub mod listing;
pub mod members;
pub mod merge;
pub mod pace;
pub mod pacer;
pub mod plan;
pub mod quota;
pub mod ramp;
pub mod refusals;
pub mod rollout;
pub mod route_stats;
pub mod scatter;
pub mod shares;
pub mod silence;
pub mod table;
pub mod target;
pub mod teams;
