//! Logging and metrics of the daemon.

pub mod logging;
pub mod metrics;
