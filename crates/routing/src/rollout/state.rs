//! State of one order, as it is kept in the store for all nodes and for the next
//! decider.

use heatherrun_kernel::routes::{Name, RolloutOutcome, RolloutStatus};
use serde::{Deserialize, Serialize};

/// Format of [`RolloutState`]. Fields may be added without a new one.
pub const FORMAT: u32 = 1;

/// Phase of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The version receives a share of the calls.
    Ramp,
    /// The version was judged good and receives all calls; old targets finish
    /// theirs.
    Move,
    /// The roll-out is complete.
    Succeeded,
    /// The version receives no calls.
    RolledBack,
}

impl Phase {
    /// Whether the order is decided.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::RolledBack)
    }

    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ramp => "ramp",
            Self::Move => "move",
            Self::Succeeded => "succeeded",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// State of the order for one service. Missing fields are zero or empty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RolloutState {
    /// Format; see [`FORMAT`].
    pub v: u32,
    /// Version that the order names.
    pub version: Name,
    /// Store revision of the order.
    #[serde(default)]
    pub revision: u64,
    /// Time from the order to its deadline, in milliseconds.
    #[serde(default)]
    pub duration_ms: u64,
    /// Number of this state; a later state of the service has a higher one, also
    /// when the store came back from an older copy.
    pub seq: u64,
    /// Number of the first state of this order.
    #[serde(default)]
    pub began: u64,
    /// Phase.
    pub phase: Phase,
    /// Share of a node's calls that the version may receive during the ramp.
    #[serde(default)]
    pub share: f64,
    /// Time since the order when this was written, in milliseconds.
    #[serde(default)]
    pub elapsed_ms: u64,
    /// Versions of earlier orders that were rolled back.
    #[serde(default)]
    pub banned: Vec<Name>,
}

impl RolloutState {
    /// Status for operators.
    #[must_use]
    pub fn status(&self) -> RolloutStatus {
        RolloutStatus {
            outcome: match self.phase {
                Phase::Ramp | Phase::Move => RolloutOutcome::Running,
                Phase::Succeeded => RolloutOutcome::Succeeded,
                Phase::RolledBack => RolloutOutcome::RolledBack,
            },
            version: Name::clone(&self.version),
        }
    }

    /// Reads a state; `None` if it is malformed or of an unknown format.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let state: Self = serde_json::from_slice(value).ok()?;
        (state.v == FORMAT).then_some(state)
    }
}
