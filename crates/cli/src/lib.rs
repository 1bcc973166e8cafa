//! The operators' command-line client.
//!
//! [`args`] parses the command line, [`command`] runs a command against a
//! [`Session`] and returns a [`Reply`], and [`transport`] sends calls to a
//! daemon over HTTP. Commands return their output instead of printing it, so
//! that tests can compare it.

pub mod args;
pub mod command;
mod history;
mod local;
mod reply;
pub mod session;
mod show;
pub mod transport;
mod write;

pub use reply::{Exit, Reply};
pub use session::Session;
