//! Selection of the target for one call.

use std::sync::Arc;

use heatherrun_kernel::Time;

use crate::target::{Distance, Target};
use heatherrun_kernel::routes::Name;

/// Score penalty of a target that is avoided: it is chosen only after all
/// others. Scores and penalties are latencies in microseconds.
const AVOIDED_PENALTY_MICROS: u64 = 10_000_000;

/// Score penalty of a cold target: it is chosen after all warm targets that are
/// not avoided.
const COLD_PENALTY_MICROS: u64 = 1_000_000;

/// Score penalty for each thousandth of its calls that a target fails: a failed
/// call costs a retry of some 50 ms.
const FAILURE_PENALTY_MICROS: u64 = 100;

/// Score penalty of a target in another region: traffic between regions costs
/// money, so it must be faster by this much.
const FAR_PENALTY_MICROS: u64 = 30_000;

/// Constraints on the choice of a target.
pub struct ChoiceConstraints<'a> {
    /// Regions that may serve the request; empty means any.
    pub regions: &'a [Name],
    /// Whether operators took the failure domain out of service.
    pub is_excluded: &'a dyn Fn(&str) -> bool,
    /// When this node may send the target its next call, if the target takes a
    /// limited rate; at most the current time if it may be sent now.
    pub next_call: &'a dyn Fn(&Target) -> Time,
    /// Maximum number of calls of this node in flight to the target.
    pub max_calls: &'a dyn Fn(&Target) -> u32,
}

/// Why targets are sent no calls until some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hold {
    /// They want no calls.
    Quiet,
    /// They take a limited rate, and this node's share of it is used up.
    Rate,
}

/// Result of the choice.
#[derive(Debug)]
pub enum Choice<'a> {
    /// The target with the lowest score.
    Target(&'a Arc<Target>),
    /// All targets that may serve the request are at their limit.
    AtCapacity,
    /// No target that may serve the request may be sent a call now; the first
    /// of them may at this time.
    Held(Time, Hold),
    /// No target may serve the request.
    NoTarget,
}

/// Chooses the target with the lowest score among those not in `tried`. The
/// score is the expected wait plus penalties.
#[must_use]
pub fn choose<'a>(
    now: Time,
    targets: &'a [Arc<Target>],
    tried: &[Name],
    constraints: &ChoiceConstraints<'_>,
) -> Choice<'a> {
    let mut best: Option<(u64, &Arc<Target>)> = None;
    let mut any_full = false;
    let mut held: Option<(Time, Hold)> = None;
    for target in targets {
        if tried.contains(&target.entry.id) || !may_serve(target, constraints) {
            continue;
        }
        if let Some(hold) = hold(now, target, constraints) {
            held = Some(held.map_or(hold, |first| first.min(hold)));
            continue;
        }
        if target.in_flight() >= (constraints.max_calls)(target) {
            any_full = true;
            continue;
        }
        let score = score(now, target);
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, target));
        }
    }
    match (best, held) {
        (Some((_, target)), _) => Choice::Target(target),
        (None, _) if any_full => Choice::AtCapacity,
        (None, Some((until, reason))) => Choice::Held(until, reason),
        (None, None) => Choice::NoTarget,
    }
}

/// Until when the target may not be sent a call, and why; `None` if it may now.
fn hold(now: Time, target: &Target, constraints: &ChoiceConstraints<'_>) -> Option<(Time, Hold)> {
    if let Some(until) = target.quiet_until(now) {
        return Some((until, Hold::Quiet));
    }
    let next_call = (constraints.next_call)(target);
    (next_call > now).then_some((next_call, Hold::Rate))
}

/// Whether the target may be sent new calls of the request.
#[must_use]
pub fn may_serve(target: &Target, constraints: &ChoiceConstraints<'_>) -> bool {
    let domain = &target.entry.domain;
    if !target.accepts_calls() || (constraints.is_excluded)(domain) {
        return false;
    }
    constraints.regions.is_empty() || constraints.regions.contains(&target.region)
}

/// Expected wait in microseconds, plus penalties.
fn score(now: Time, target: &Target) -> u64 {
    let expected = target.expected_micros(now);
    let slots = u64::from(target.entry.slots.max(1));
    let own_calls = u64::from(target.in_flight());
    let reported_calls = u64::from(target.reported_load());
    let mut score = expected + expected * own_calls.max(reported_calls) / slots + own_calls;
    score += target.failure_permille(now) * FAILURE_PENALTY_MICROS;
    if target.distance == Distance::Far {
        score += FAR_PENALTY_MICROS;
    }
    if target.is_avoided(now) {
        score += AVOIDED_PENALTY_MICROS;
    }
    if target.is_cold(now) {
        score += COLD_PENALTY_MICROS;
    }
    score
}
