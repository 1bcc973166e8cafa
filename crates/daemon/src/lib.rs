//! What the daemon adds around a node: log lines and metrics.

pub mod logging;
pub mod metrics;
