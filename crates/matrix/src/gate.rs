//! Whether a node runs: up, standing still for a while, or gone. Everything
//! that reaches or leaves the node passes here.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// State of one node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    Paused(Instant),
    Killed,
}

/// The node is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// Gate of one node.
#[derive(Debug)]
pub struct Gate {
    state: watch::Sender<State>,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            state: watch::Sender::new(State::Up),
        }
    }
}

impl Gate {
    /// Ends the node.
    pub fn kill(&self) {
        self.state.send_replace(State::Killed);
    }

    /// Stops the node for `span`.
    pub fn pause(&self, span: Duration) {
        let end = Instant::now() + span;
        self.state.send_if_modified(|state| {
            let up = *state == State::Up;
            if up {
                *state = State::Paused(end);
            }
            up
        });
    }

    /// Whether the node is gone.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        *self.state.borrow() == State::Killed
    }

    /// Whether the node runs now.
    #[must_use]
    pub fn is_up(&self) -> bool {
        match *self.state.borrow() {
            State::Up => true,
            State::Paused(end) => Instant::now() >= end,
            State::Killed => false,
        }
    }

    /// Waits until the node runs.
    ///
    /// # Errors
    /// [`Gone`] when it never will.
    pub async fn pass(&self) -> Result<(), Gone> {
        let mut states = self.state.subscribe();
        loop {
            let state = *states.borrow_and_update();
            match state {
                State::Up => return Ok(()),
                State::Killed => return Err(Gone),
                State::Paused(end) if Instant::now() >= end => return Ok(()),
                State::Paused(end) => {
                    let _ = tokio::time::timeout_at(end, states.changed()).await;
                }
            }
        }
    }

    /// Waits until the node is gone.
    pub async fn gone(&self) {
        let mut states = self.state.subscribe();
        let _ = states.wait_for(|state| *state == State::Killed).await;
    }
}
