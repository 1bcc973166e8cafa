//! Prints the outcome of all cells, steps down and faults across.

use std::fmt::Write as _;

use crate::cell::{Cell, Fault, Step};
use crate::promise::Promise;

/// Outcome of one cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The cell ran and every promise held; how the marked requests ended.
    Held(String),
    /// The cell ran and broke promises.
    Broke(Vec<Promise>),
    /// The step was not reached, so the cell proves nothing.
    Missed,
    /// The cell cannot occur.
    Never,
}

impl Outcome {
    /// Short form for the table.
    fn short(&self) -> String {
        match self {
            Self::Held(how) => how.clone(),
            Self::Broke(promises) => format!("BROKE {promises:?}"),
            Self::Missed => "MISSED".to_owned(),
            Self::Never => "-".to_owned(),
        }
    }
}

/// Table of all outcomes.
#[must_use]
pub fn table(outcome: impl Fn(Cell) -> Outcome) -> String {
    let mut text = format!("{:<15}", "");
    for fault in Fault::ALL {
        let _ = write!(text, "{:<13}", fault.name());
    }
    text.push('\n');
    for step in Step::ALL {
        let _ = write!(text, "{:<15}", step.name());
        for fault in Fault::ALL {
            let _ = write!(text, "{:<13}", outcome(Cell { step, fault }).short());
        }
        text.push('\n');
    }
    text
}
