//! Contact of a node with the granter of one group of teams.

use std::time::Duration;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;

use super::SILENT_AFTER;

/// Contact with the granter of one group.
#[derive(Debug, Default)]
pub struct Contact {
    granter: Option<Name>,
    /// When the last answered message was sent to any granter, and to this one.
    answered: Option<Time>,
    answered_here: Option<Time>,
    /// When the last answered message was sent to an earlier granter.
    left: Option<Time>,
}

impl Contact {
    /// The granter.
    #[must_use]
    pub fn granter(&self) -> Option<&Name> {
        self.granter.as_ref()
    }

    /// Sets the granter; true if it is another one than before.
    pub fn set_granter(&mut self, granter: Option<&Name>) -> bool {
        if self.granter.as_ref() == granter {
            return false;
        }
        self.left = self.left.max(self.answered_here.take());
        self.granter = granter.cloned();
        true
    }

    /// Records that the granter answered the message sent at `sent`.
    pub fn record_answer(&mut self, sent: Time) {
        self.answered = self.answered.max(Some(sent));
        self.answered_here = self.answered_here.max(Some(sent));
    }

    /// When the last answered message was sent.
    #[must_use]
    pub const fn answered(&self) -> Option<Time> {
        self.answered
    }

    /// Time since the last answered message, which the granter is told. `None`
    /// while an earlier granter may still count this node: both together must
    /// not fill their buckets for it.
    #[must_use]
    pub fn silent_for(&self, now: Time) -> Option<Duration> {
        if self.left.is_some_and(|at| now.since(at) < LEFT_TIME) {
            return None;
        }
        self.answered_here.map(|at| now.since(at))
    }
}

/// Time for which an earlier granter counts this node: it may have received the
/// last answered message later than it was sent.
const LEFT_TIME: Duration = SILENT_AFTER.saturating_add(super::REPLY_TIMEOUT);
