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

/// Excess over the lowest score, in percent, up to which targets with a known
/// pace count as near-equal. If all nodes called the best one, they would
/// overload it before its replies show that.
const NEAR_EQUAL_PERCENT: u64 = 20;

/// Constraints on the choice of a target.
pub struct ChoiceConstraints<'a> {
    /// Regions that may serve the request; empty means any.
    pub regions: &'a [Name],
    /// Whether operators took the failure domain out of service.
    pub is_excluded: &'a dyn Fn(&str) -> bool,
    /// When this node may send the target its next call, if the target takes a
    /// limited rate; at most the current time if it may be sent now.
    pub next_call: &'a dyn Fn(&Target) -> Time,
    /// Maximum number of calls of this node in flight to the target outside a
    /// slow start.
    pub max_calls: &'a dyn Fn(&Target) -> u32,
    /// Share of this node in limits that hold for all nodes together.
    pub node_share: f64,
    /// Draws a number for the choice among near-equal targets.
    pub draw: &'a dyn Fn() -> u64,
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
    /// The target with the lowest score, or one that is near-equal to it.
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
/// score is the expected wait plus penalties. Where replies report a pace, the
/// choice among near-equal targets is random.
#[must_use]
pub fn choose<'a>(
    now: Time,
    targets: &'a [Arc<Target>],
    tried: &[Name],
    constraints: &ChoiceConstraints<'_>,
) -> Choice<'a> {
    let mut best: Option<(u64, &Arc<Target>)> = None;
    let mut paced: Vec<(u64, &Arc<Target>)> = Vec::new();
    let mut any_full = false;
    let mut held: Option<(Time, Hold)> = None;
    for target in targets {
        if tried.contains(&target.entry.id) || !is_in_regions(target, constraints) {
            continue;
        }
        if is_absent(target, constraints) {
            target.ramp.record_absent(now);
            continue;
        }
        if let Some(hold) = hold(now, target, constraints) {
            held = Some(held.map_or(hold, |first| first.min(hold)));
            continue;
        }
        if target.in_flight() >= max_calls(now, target, targets, constraints) {
            any_full = true;
            continue;
        }
        let score = score(now, target);
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, target));
        }
        if target.pace.percent(now).is_some() {
            paced.push((score, target));
        }
    }
    let best = best.map(|best| spread(best, &paced, constraints.draw));
    match (best, held) {
        (Some(target), _) => Choice::Target(target),
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
    !is_absent(target, constraints) && is_in_regions(target, constraints)
}

fn is_in_regions(target: &Target, constraints: &ChoiceConstraints<'_>) -> bool {
    constraints.regions.is_empty() || constraints.regions.contains(&target.region)
}

/// Whether the target is out of service for all requests.
fn is_absent(target: &Target, constraints: &ChoiceConstraints<'_>) -> bool {
    !target.accepts_calls() || (constraints.is_excluded)(&target.entry.domain)
}

/// Maximum number of calls of this node in flight to the target now. A slow start
/// begins with this node's share of its slots.
fn max_calls(
    now: Time,
    target: &Target,
    targets: &[Arc<Target>],
    constraints: &ChoiceConstraints<'_>,
) -> u32 {
    let usual = (constraints.max_calls)(target);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a u16, not negative"
    )]
    let start = (f64::from(slots(target)) * constraints.node_share) as u32;
    let reports_load = || targets.iter().any(|t| t.pace.reports_load());
    target.ramp.limit(now, usual, start.max(1), reports_load)
}

/// Number of calls that the target runs at a time; at least one.
fn slots(target: &Target) -> u32 {
    u32::from(target.entry.slots.max(1))
}

/// Chooses among the targets of `paced` that are near-equal to the best one; the
/// lower the score, the more often. The best one itself if its own pace is not
/// known, or if no target is free of a penalty that ranks it last.
fn spread<'a>(
    (lowest, best): (u64, &'a Arc<Target>),
    paced: &[(u64, &'a Arc<Target>)],
    draw: &dyn Fn() -> u64,
) -> &'a Arc<Target> {
    let is_far = |target: &Target| target.distance == Distance::Far;
    let limit = lowest + lowest * NEAR_EQUAL_PERCENT / 100;
    let weight = |(score, target): &(u64, &Arc<Target>)| {
        let is_near = *score <= limit && is_far(target) == is_far(best);
        if is_near { limit - score + 1 } else { 0 }
    };
    let has_pace = paced.iter().any(|(_, target)| Arc::ptr_eq(target, best));
    if !has_pace || paced.len() < 2 || lowest >= COLD_PENALTY_MICROS {
        return best;
    }
    let total: u64 = paced.iter().map(weight).sum();
    let point = (u128::from(draw()) * u128::from(total)) >> 64;
    let mut point = u64::try_from(point).unwrap_or_default();
    for candidate in paced {
        let weight = weight(candidate);
        if point < weight {
            return candidate.1;
        }
        point -= weight;
    }
    best
}

/// Expected wait in microseconds, plus penalties.
fn score(now: Time, target: &Target) -> u64 {
    let expected = target.paced_micros(now);
    let is_paced = target.pace.percent(now).is_some();
    let reported_slots = target.pace.slots().filter(|_| is_paced);
    let slots = u64::from(reported_slots.unwrap_or_else(|| slots(target)));
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
