//! Injects a cell's fault when its step is reached for the first time after
//! arming.

use std::sync::{Mutex, MutexGuard, PoisonError};

use heatherrun_kernel::TargetId;

use crate::cell::{Cell, Fault, Step};

/// Start of the text of requests at which request steps are hooked.
pub const MARKED: &str = "marked";

/// Where a step was reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Position of the node.
    pub node: usize,
    /// Target, where one is involved.
    pub target: Option<TargetId>,
}

/// State of the hook.
#[derive(Debug, Default)]
struct State {
    cell: Option<Cell>,
    fired: Option<Place>,
}

/// The hook at which all links report the steps they reach.
#[derive(Debug, Default)]
pub struct Hook {
    state: Mutex<State>,
}

impl Hook {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the step of `cell` from now on.
    pub fn arm(&self, cell: Cell) {
        self.lock().cell = Some(cell);
    }

    /// Reports that `step` is reached; returns the fault to apply now.
    pub fn reach(&self, step: Step, place: Place) -> Option<Fault> {
        let mut state = self.lock();
        let cell = state.cell.filter(|cell| cell.step == step)?;
        state.cell = None;
        state.fired = Some(place);
        Some(cell.fault)
    }

    /// Where the fault was injected; none when the step was not reached.
    #[must_use]
    pub fn fired(&self) -> Option<Place> {
        self.lock().fired
    }
}
