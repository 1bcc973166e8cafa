//! Socket servers around the in-memory stand-ins: searchers and the platform,
//! and [`local`], a whole tier in one process on loopback ports.

pub mod local;
pub mod node;
pub mod platform;
pub mod script;
pub mod searcher;
