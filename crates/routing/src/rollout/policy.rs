//! Which versions a call may go to, as one node follows the order, the state and
//! the status of its service.

use std::sync::Arc;
use std::time::Duration;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, RolloutOrder, RolloutOutcome, RolloutStatus};

use super::state::{Phase, RolloutState};
use crate::target::Target;

/// Age of a node's view from which the version under test receives no calls of
/// it. A node in touch with the store or the decider is about a second behind.
pub const MAX_VIEW_AGE: Duration = Duration::from_secs(2);

/// Time after the success of an order in which old targets receive no calls.
/// They stop at once; later targets of another version are of a release.
pub const SUCCESS_TIME: Duration = Duration::from_secs(30);

/// How targets of the ordered version are treated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Versions have no effect, apart from banned ones.
    Any,
    /// The version receives this share of the calls.
    Share(f64),
    /// The version receives all calls, others only without a usable target of
    /// it.
    Move,
    /// The version receives all calls until this time.
    Succeeded(Time),
}

/// Versions of one service that calls may go to.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Version that the order names.
    pub version: Name,
    /// How its targets are treated.
    pub mode: Mode,
    /// Versions that receive no calls.
    pub banned: Vec<Name>,
}

/// Targets for one call, in two groups: the second one is used only if no target
/// of the first one is available.
pub type Groups = [Vec<Arc<Target>>; 2];

impl Policy {
    /// Derives the policy from what the node knows, with the revision of the
    /// order and the time since when the state has its phase; `None` when
    /// versions have no effect.
    #[must_use]
    pub fn new(
        phase_since: Time,
        order: Option<(&RolloutOrder, u64)>,
        state: Option<&RolloutState>,
        status: Option<&RolloutStatus>,
    ) -> Option<Self> {
        let mut banned = Vec::new();
        if let Some(status) = status.filter(|s| s.outcome == RolloutOutcome::RolledBack) {
            banned.push(Name::clone(&status.version));
        }
        if let Some(state) = state {
            banned.extend(state.banned.iter().cloned());
        }
        // A state of an earlier order says nothing about the present one, but
        // its version stays banned if it was rolled back.
        let current = state.filter(|state| {
            order.is_none_or(|(order, revision)| {
                state.version == order.version
                    && (revision <= state.revision || !state.phase.is_final())
            })
        });
        if let Some(state) = state.filter(|s| match current {
            Some(_) => s.phase == Phase::RolledBack,
            None => s.phase != Phase::Succeeded,
        }) {
            banned.push(Name::clone(&state.version));
        }
        let (version, mode) = match (order, current) {
            (_, Some(state)) => {
                let mode = match state.phase {
                    // Without its order it is about to be rolled back.
                    Phase::Ramp | Phase::Move if order.is_none() => Mode::Share(0.0),
                    Phase::Ramp => Mode::Share(state.share),
                    Phase::Move => Mode::Move,
                    Phase::Succeeded => Mode::Succeeded(phase_since + SUCCESS_TIME),
                    Phase::RolledBack => Mode::Any,
                };
                (&state.version, mode)
            }
            (Some((order, _)), None) => (&order.version, Mode::Share(0.0)),
            (None, None) => (&status?.version, Mode::Any),
        };
        if matches!(mode, Mode::Share(_) | Mode::Move)
            && current.is_some_and(|s| !s.phase.is_final())
        {
            banned.retain(|b| b != version);
        }
        let has_effect = mode != Mode::Any || !banned.is_empty();
        has_effect.then(|| Self {
            version: Name::clone(version),
            mode,
            banned,
        })
    }

    /// Whether a target is of the ordered version.
    #[must_use]
    pub fn is_new(&self, target: &Target) -> bool {
        target.entry.version == self.version
    }

    /// Whether the target must receive no calls: its version is banned, or it is
    /// old and the roll-out succeeded.
    #[must_use]
    pub fn is_refused(&self, now: Time, target: &Target) -> bool {
        let is_over = matches!(self.mode, Mode::Succeeded(until) if now < until);
        self.banned.contains(&target.entry.version) || (is_over && !self.is_new(target))
    }

    /// Groups the targets for a call. `is_usable` says whether a target may be
    /// sent calls of the request, `takes_new` whether this call is to go to the
    /// version under test, and `is_fresh` whether the node's view is recent.
    #[must_use]
    pub fn group(
        &self,
        now: Time,
        targets: &[Arc<Target>],
        is_usable: impl Fn(&Target) -> bool,
        takes_new: bool,
        is_fresh: bool,
    ) -> Groups {
        let allowed = targets.iter().filter(|t| !self.is_refused(now, t));
        let (new, old): (Vec<_>, Vec<_>) = allowed.cloned().partition(|t| self.is_new(t));
        let has_old = old.iter().any(|t| is_usable(t));
        let has_new = new.iter().any(|t| is_usable(t));
        match self.mode {
            Mode::Share(_) | Mode::Move if !has_old => [new, Vec::new()],
            Mode::Share(_) if takes_new && is_fresh => [new, old],
            Mode::Move if is_fresh && has_new => [new, Vec::new()],
            Mode::Share(_) | Mode::Move => [old, Vec::new()],
            Mode::Any | Mode::Succeeded(_) => [[new, old].concat(), Vec::new()],
        }
    }
}
