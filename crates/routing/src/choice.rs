//! Chooses the target of one call.

use std::sync::Arc;

use heatherrun_kernel::Time;

use crate::target::{Distance, Target};
use heatherrun_kernel::routes::Name;

/// Expected latency added to a target that is avoided, in microseconds: any
/// other target goes first.
const AVOIDED: u64 = 10_000_000;

/// The same for a cold target.
const COLD: u64 = 1_000_000;

/// Expected latency added for each thousandth of the calls that a target
/// fails, in microseconds: a failed call costs a retry of some 50 ms.
const FAILING: u64 = 100;

/// Latency that a target in another region must gain to be chosen, in
/// microseconds: bytes between regions cost.
const FAR: u64 = 30_000;

/// What bounds the choice.
pub struct Choices<'a> {
    /// Regions that may serve the request; empty for all.
    pub regions: &'a [Name],
    /// Whether operators took a failure domain out.
    pub is_out: &'a dyn Fn(&str) -> bool,
    /// Takes one call from what a cold target bears now.
    pub cold_room: &'a dyn Fn(&Target) -> bool,
    /// Calls of this node that one target takes at once.
    pub room: &'a dyn Fn(&Target) -> u32,
}

/// What was chosen.
#[derive(Debug)]
pub enum Choice<'a> {
    /// Target with the least expected wait.
    Target(&'a Arc<Target>),
    /// All targets are at their limit.
    NoRoom,
    /// No target may be sent the request.
    NoTarget,
}

/// Target with the least expected wait among those not in `tried`.
#[must_use]
pub fn choose<'a>(
    now: Time,
    targets: &'a [Arc<Target>],
    tried: &[Name],
    choices: &Choices<'_>,
) -> Choice<'a> {
    let mut best: Option<(u64, &Arc<Target>)> = None;
    let mut full = false;
    for target in targets {
        if tried.contains(&target.entry.id) || !may_serve(target, choices) {
            continue;
        }
        if target.in_flight() >= (choices.room)(target) {
            full = true;
            continue;
        }
        let score = score(now, target);
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, target));
        }
    }
    match best {
        // A cold target has the worst score: all others are full or gone.
        Some((_, target)) if target.is_cold(now) && !(choices.cold_room)(target) => Choice::NoRoom,
        Some((_, target)) => Choice::Target(target),
        None if full => Choice::NoRoom,
        None => Choice::NoTarget,
    }
}

/// Whether the target may be sent new work of the request at all.
#[must_use]
pub fn may_serve(target: &Target, choices: &Choices<'_>) -> bool {
    let domain = &target.entry.domain;
    if !target.is_open() || (choices.is_out)(domain) {
        return false;
    }
    choices.regions.is_empty() || choices.regions.contains(&target.region)
}

/// Expected wait in microseconds, with what speaks against the target.
fn score(now: Time, target: &Target) -> u64 {
    let expected = target.expected(now);
    let slots = u64::from(target.entry.slots.max(1));
    let here = u64::from(target.in_flight());
    let there = u64::from(target.busy());
    let mut score = expected + expected * here.max(there) / slots + here;
    score += target.failing_permille(now) * FAILING;
    if target.distance == Distance::Far {
        score += FAR;
    }
    if target.is_avoided(now) {
        score += AVOIDED;
    }
    if target.is_cold(now) {
        score += COLD;
    }
    score
}
