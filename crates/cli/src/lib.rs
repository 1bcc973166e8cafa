//! The operators' command-line client.
//!
//! [`args`] holds the commands, [`command`] runs one against a [`Session`] and
//! returns what to print and the exit code, [`transport`] carries calls to a
//! daemon. Commands print nothing themselves, so that tests can compare.

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
