//! Service-level burn, tables and plots.
//!
//! On a node, [`recorder`] counts the outcome of each request, [`history`]
//! keeps the counts by minute, and [`window`] computes burn rates from them.
//! For an operator, [`merge`] adds the answers of several nodes, [`alert`]
//! evaluates the alert rules on them, and [`text`] and [`page`] format them;
//! both register as plug-ins. [`story`] reconstructs the course of one request
//! from log lines.

pub mod alert;
pub mod history;
pub mod merge;
pub mod objective;
pub mod page;
mod plot;
pub mod plugins;
pub mod recorder;
pub mod story;
pub mod table;
pub mod text;
pub mod units;
pub mod window;

pub use objective::Objective;
pub use recorder::{Blame, Event, Recorder};
pub use table::Table;
