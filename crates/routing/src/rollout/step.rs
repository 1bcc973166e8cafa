//! The next step of the decider for one service: a state or a status to write.
//! The state is written first, so that whoever takes over publishes the same.

use std::time::Duration;

use heatherrun_kernel::routes::{Name, RolloutOrder, RolloutStatus};

use super::Limits;
use super::state::{FORMAT, Phase, RolloutState};
use super::verdict::Fault;

/// Time between the order and its discovery by the decider, at most: nodes read
/// the store every second.
const ORDER_DELAY: Duration = Duration::from_secs(1);

/// Parts of `Limits::share` by the part of the duration that has passed. The
/// rest and the slack are left for calls that pass a change of the state.
const RAMP: [(f64, f64); 3] = [(0.0, 0.25), (0.15, 0.5), (0.3, 0.8)];

/// Part of the duration from which a version with enough answers is moved to,
/// and from which one with fewer is. Later judgement sees more, but the rest is
/// needed for the move.
const JUDGE_AT: f64 = 0.6;
const JUDGE_BY: f64 = 0.75;

/// Number of answers that is enough at [`JUDGE_AT`].
const ENOUGH_ANSWERS: u64 = 30;

/// Part of the duration from which an order is given up whose version has no
/// target.
const GIVE_UP_AT: f64 = 0.9;

/// Minimum time in the phase `move`: a version that is bad under load shows it
/// meanwhile.
const MIN_MOVE: Duration = Duration::from_secs(1);

/// Time in the phase `move` after which nodes that do not report are not waited
/// for.
const MAX_MOVE: Duration = Duration::from_secs(3);

/// Time before the deadline at which the status must be written.
const DEADLINE_MARGIN: Duration = Duration::from_millis(700);

/// Interval at which the elapsed time is written for a successor.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of banned versions that are kept.
const MAX_BANNED: usize = 8;

/// Calls in flight to old targets, as the nodes report them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OldCalls {
    /// All serving nodes follow the phase `move` and have none.
    None,
    /// A node has some.
    Some,
    /// A serving node has not reported since the phase began.
    #[default]
    Unknown,
}

/// What the decider knows of one service.
#[derive(Clone, Debug, Default)]
pub struct Input<'a> {
    /// The order, with its store revision; none when it was withdrawn.
    pub order: Option<(&'a RolloutOrder, u64)>,
    /// The latest state.
    pub state: Option<&'a RolloutState>,
    /// The published status.
    pub status: Option<&'a RolloutStatus>,
    /// Time since the decider learned of the order.
    pub order_age: Duration,
    /// Time since the order of the state.
    pub elapsed: Duration,
    /// Time since the state's phase began, as far as the decider knows.
    pub in_phase: Duration,
    /// Whether the store lacks the state, since it came back from a copy.
    pub is_unstored: bool,
    /// What is wrong with the version.
    pub fault: Option<Fault>,
    /// Number of answers of the version.
    pub answers: u64,
    /// Whether the version has a target that accepts calls.
    pub has_new: bool,
    /// Calls in flight to old targets.
    pub old_calls: OldCalls,
    /// Highest number of a state that a node follows.
    pub max_seq: u64,
}

/// What to write next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing.
    None,
    /// A state, and why it differs from the last one.
    Write(RolloutState, &'static str),
    /// A status.
    Publish(RolloutStatus),
}

/// Returns the next step. It depends on nothing else, so each decider takes the
/// same one.
#[must_use]
pub fn next(input: &Input<'_>, limits: &Limits) -> Step {
    let Some(state) = input.state else {
        return match input.order {
            Some((order, revision)) => begin(input, order, revision, limits),
            None => Step::None,
        };
    };
    if input.max_seq > state.seq || input.is_unstored {
        // The store came back from a copy. Nodes follow only states with a higher
        // number than those that they know.
        let renumbered = RolloutState {
            seq: state.seq.max(input.max_seq) + 1,
            elapsed_ms: millis(input.elapsed),
            ..state.clone()
        };
        return Step::Write(renumbered, "renumbered");
    }
    if !state.phase.is_final()
        && let Some(step) = advance(input, state, limits)
    {
        return step;
    }
    let wanted = state.status();
    if input.status != Some(&wanted) {
        return Step::Publish(wanted);
    }
    match input.order {
        Some((order, revision)) if state.phase.is_final() && is_other(state, order, revision) => {
            begin(input, order, revision, limits)
        }
        _ => Step::None,
    }
}

/// Whether a decider is needed: the order is not decided, or the status does not
/// say so yet.
#[must_use]
pub fn has_work(
    order: Option<(&RolloutOrder, u64)>,
    state: Option<&RolloutState>,
    status: Option<&RolloutStatus>,
) -> bool {
    let Some(state) = state else {
        return order.is_some();
    };
    let is_new = order.is_some_and(|(order, revision)| is_other(state, order, revision));
    is_new || !state.phase.is_final() || status != Some(&state.status())
}

/// Whether the order is another one than that of a decided state.
fn is_other(state: &RolloutState, order: &RolloutOrder, revision: u64) -> bool {
    state.version != order.version || revision > state.revision
}

/// First state of an order.
fn begin(input: &Input<'_>, order: &RolloutOrder, revision: u64, limits: &Limits) -> Step {
    let mut banned = Vec::new();
    let seq = input.state.map_or(0, |s| s.seq).max(input.max_seq) + 1;
    if let Some(state) = input.state {
        banned.clone_from(&state.banned);
        if state.phase == Phase::RolledBack {
            banned.push(Name::clone(&state.version));
        }
    }
    banned.retain(|version| *version != order.version);
    banned.sort_unstable();
    banned.dedup();
    banned.truncate(MAX_BANNED);
    let state = RolloutState {
        v: FORMAT,
        version: Name::clone(&order.version),
        revision,
        duration_ms: millis(order.duration),
        seq,
        began: seq,
        phase: Phase::Ramp,
        share: limits.share * RAMP[0].1,
        elapsed_ms: millis(input.order_age + ORDER_DELAY),
        banned,
    };
    Step::Write(state, "ordered")
}

/// Next state of an undecided order; `None` if nothing changes.
fn advance(input: &Input<'_>, state: &RolloutState, limits: &Limits) -> Option<Step> {
    let seq = state.seq.max(input.max_seq) + 1;
    let update = RolloutState {
        seq,
        elapsed_ms: millis(input.elapsed),
        ..state.clone()
    };
    let to = |phase, reason| {
        let update = update.clone();
        Some(Step::Write(RolloutState { phase, ..update }, reason))
    };
    let Some((order, revision)) = input.order else {
        return to(Phase::RolledBack, "withdrawn");
    };
    if order.version != state.version {
        return to(Phase::RolledBack, "replaced");
    }
    if let Some(fault) = input.fault {
        return to(Phase::RolledBack, fault.name());
    }
    if revision != state.revision || millis(order.duration) != state.duration_ms {
        let repeated = RolloutState {
            revision,
            duration_ms: millis(order.duration),
            ..update
        };
        return Some(Step::Write(repeated, "repeated"));
    }
    let passed = input.elapsed.as_secs_f64() / order.duration.as_secs_f64().max(0.001);
    if state.phase == Phase::Move {
        let left = order.duration.saturating_sub(input.elapsed);
        let is_over = match input.old_calls {
            OldCalls::None => true,
            OldCalls::Some => left <= DEADLINE_MARGIN,
            OldCalls::Unknown => left <= DEADLINE_MARGIN || input.in_phase >= MAX_MOVE,
        };
        if !input.has_new && input.in_phase >= MAX_MOVE {
            return to(Phase::RolledBack, "no-targets");
        }
        if input.has_new && is_over && input.in_phase >= MIN_MOVE {
            return to(Phase::Succeeded, "moved");
        }
        return None;
    }
    let is_due = passed >= JUDGE_BY || (passed >= JUDGE_AT && input.answers >= ENOUGH_ANSWERS);
    if is_due && input.has_new {
        return to(Phase::Move, "good");
    }
    if passed >= GIVE_UP_AT && !input.has_new {
        return to(Phase::RolledBack, "no-targets");
    }
    let reached = RAMP.iter().rev().find(|(from, _)| passed >= *from);
    let share = limits.share * reached.map_or(0.0, |(_, share)| *share);
    let written = Duration::from_millis(state.elapsed_ms);
    let is_old = input.elapsed >= written + WRITE_INTERVAL;
    #[expect(clippy::float_cmp, reason = "computed from the same constants")]
    let is_changed = share != state.share;
    (is_changed || is_old).then_some(Step::Write(RolloutState { share, ..update }, "ramp"))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
