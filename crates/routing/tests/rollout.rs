//! Decisions on roll-outs: kinds of bad versions, trouble that is not the
//! version's, sizes of the fleet, and the limit on the exposure.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{at, entry, fixed_seed, location, ms};
use heatherrun_kernel::routes::{Name, RolloutOrder, RolloutOutcome, RolloutStatus, TargetEntry};
use heatherrun_routing::rollout::Limits;
use heatherrun_routing::rollout::evidence::{Counts, Evidence, bucket};
use heatherrun_routing::rollout::exposure::{Exposure, first_credit};
use heatherrun_routing::rollout::policy::{Policy, SUCCESS_TIME};
use heatherrun_routing::rollout::state::{Phase, RolloutState};
use heatherrun_routing::rollout::step::{Input, OldCalls, Step, next};
use heatherrun_routing::rollout::verdict::{Fault, find_fault};
use heatherrun_routing::target::{Distance, Target};
use proptest::prelude::*;

const LIMITS: Limits = Limits {
    share: 0.1,
    slack: 50,
};

/// Ticks of 250 ms of the shortest order until the version is moved to.
const TICKS: u64 = 28;

/// How the answers of a version differ from 40 ms.
#[derive(Clone, Copy)]
enum Kind {
    Good,
    /// Every n-th answer is a failure.
    Fails(u64),
    /// Every n-th answer takes this many milliseconds.
    Slow(u64, u64),
    /// As the second number says, from the tick of the first one.
    FailsFrom(u64, u64),
    SlowFrom(u64, u64),
    /// Answers in this many ticks in a row, every 16 ticks, take 200 ms longer.
    Pauses(u64),
}

impl Kind {
    /// The n-th answer: its latency in milliseconds, or none for a failure.
    fn answer(self, tick: u64, n: u64) -> Option<u64> {
        match self {
            Self::Fails(every) if n.is_multiple_of(every) => None,
            Self::FailsFrom(from, every) if tick >= from && n.is_multiple_of(every) => None,
            Self::Slow(every, latency) if n.is_multiple_of(every) => Some(latency),
            Self::SlowFrom(from, latency) if tick >= from => Some(latency),
            Self::Pauses(length) if tick % 16 < length => Some(240),
            _ => Some(40),
        }
    }
}

/// The fault found in an order at this many requests per second, of which the
/// version gets 8%, from this many nodes.
fn judge(new: Kind, old: Kind, per_sec: u64, nodes: u64) -> Option<Fault> {
    let mut evidence = Evidence::default();
    let mut sums = vec![[Counts::default(), Counts::default()]; usize::try_from(nodes).unwrap()];
    let mut sent = [0_u64; 2];
    for tick in 0..TICKS {
        let requests = per_sec * (tick + 1) / 4;
        let wanted = [requests * 8 / 100, requests - requests * 8 / 100];
        for (side, kind) in [new, old].into_iter().enumerate() {
            while sent[side] < wanted[side] {
                let node = usize::try_from(sent[side] % nodes).unwrap();
                let counts = &mut sums[node][side];
                sent[side] += 1;
                counts.calls += 1;
                match kind.answer(tick, sent[side]) {
                    Some(latency) => counts.latencies[bucket(ms(latency))] += 1,
                    None => counts.failures += 1,
                }
            }
        }
        for (ix, counts) in sums.iter().enumerate() {
            let name = Name::from(format!("node-{ix}"));
            for (side, counts) in counts.iter().enumerate() {
                evidence.report(&name, &Name::from("one"), side == 0, counts.clone());
            }
        }
        if let Some((_, fault)) = find_fault(&evidence) {
            // Of a slow version the first answers may be few enough for either.
            let is_slow = fault == Fault::PartlySlow;
            return Some(if is_slow { Fault::Slow } else { fault });
        }
        evidence.end_tick();
    }
    None
}

#[test]
fn find_fault_kinds_of_versions() {
    use Fault::{Fails, Slow};
    use Kind::Good;
    let cases = [
        ("good", Good, Good, 20, None),
        ("good, busy service", Good, Good, 1_000, None),
        ("fails always", Kind::Fails(1), Good, 20, Some(Fails)),
        ("fails a third", Kind::Fails(3), Good, 20, Some(Fails)),
        ("fails a tenth", Kind::Fails(10), Good, 200, Some(Fails)),
        ("turns bad", Kind::FailsFrom(16, 2), Good, 100, Some(Fails)),
        ("slow", Kind::Slow(1, 160), Good, 20, Some(Slow)),
        (
            "slow, busy service",
            Kind::Slow(1, 160),
            Good,
            1_000,
            Some(Slow),
        ),
        ("turns slow", Kind::SlowFrom(12, 200), Good, 200, Some(Slow)),
        ("a third slow", Kind::Slow(3, 300), Good, 200, Some(Slow)),
        (
            "both fail at times",
            Kind::Fails(30),
            Kind::Fails(30),
            400,
            None,
        ),
        ("pauses", Kind::Pauses(1), Good, 20, None),
        ("pauses, busy service", Kind::Pauses(2), Good, 1_000, None),
        (
            "both slow",
            Kind::SlowFrom(8, 400),
            Kind::SlowFrom(8, 400),
            200,
            None,
        ),
    ];
    for (name, new, old, per_sec, expected) in cases {
        for nodes in [1, 4, 20] {
            assert_eq!(
                judge(new, old, per_sec, nodes),
                expected,
                "{name}, {nodes} nodes"
            );
        }
    }
}

#[test]
fn find_fault_on_one_route_only() {
    let mut evidence = Evidence::default();
    let node = Name::from("node-1");
    let mut good = Counts::default();
    good.latencies[bucket(ms(40))] = 100;
    let bad = Counts {
        failures: 8,
        ..good.clone()
    };
    evidence.report(&node, &Name::from("a"), true, good.clone());
    evidence.report(&node, &Name::from("a"), false, good.clone());
    assert_eq!(find_fault(&evidence), None);
    evidence.report(&node, &Name::from("b"), true, bad);
    evidence.report(&node, &Name::from("b"), false, good);
    assert_eq!(find_fault(&evidence), Some((Name::from("b"), Fault::Fails)));
}

#[test]
fn report_restarted_node_counts_are_kept() {
    let mut evidence = Evidence::default();
    let (node, route) = (Name::from("node-1"), Name::from("one"));
    let counts = |failures| Counts {
        calls: failures,
        failures,
        ..Counts::default()
    };
    for failures in [3, 5, 1, 2] {
        evidence.report(&node, &route, true, counts(failures));
    }
    assert_eq!(evidence.new_answers(), 7);
}

fn order(version: &str) -> RolloutOrder {
    RolloutOrder {
        version: Name::from(version),
        duration: Duration::from_secs(10),
    }
}

fn state(phase: Phase) -> RolloutState {
    RolloutState {
        v: 1,
        version: Name::from("v2"),
        revision: 7,
        duration_ms: 10_000,
        seq: 4,
        began: 2,
        phase,
        share: LIMITS.share * 0.8,
        elapsed_ms: 7_000,
        banned: Vec::new(),
    }
}

fn status(outcome: RolloutOutcome) -> RolloutStatus {
    RolloutStatus {
        outcome,
        version: Name::from("v2"),
    }
}

/// Phase that the next step writes; none if it writes no state.
fn next_phase(input: &Input<'_>) -> Option<Phase> {
    match next(input, &LIMITS) {
        Step::Write(state, _) => Some(state.phase),
        _ => None,
    }
}

#[test]
fn next_phases_of_an_order() {
    let (ramp, moving) = (state(Phase::Ramp), state(Phase::Move));
    let order = order("v2");
    let input = |state, elapsed| Input {
        order: Some((&order, 7)),
        state: Some(state),
        elapsed: ms(elapsed),
        in_phase: ms(1_200),
        has_new: true,
        ..Input::default()
    };
    let enough = Input {
        answers: 30,
        ..input(&ramp, 6_000)
    };
    let gone = Input {
        has_new: false,
        ..input(&ramp, 9_000)
    };
    let bad = Input {
        fault: Some(Fault::Slow),
        ..input(&moving, 8_000)
    };
    let moved = |old_calls| Input {
        old_calls,
        ..input(&moving, 8_000)
    };
    let withdrawn = Input {
        order: None,
        ..input(&moving, 8_000)
    };
    assert_eq!(next_phase(&enough), Some(Phase::Move));
    assert_eq!(next_phase(&input(&ramp, 7_400)), None, "few answers");
    assert_eq!(next_phase(&input(&ramp, 7_500)), Some(Phase::Move));
    assert_eq!(next_phase(&gone), Some(Phase::RolledBack));
    assert_eq!(next_phase(&bad), Some(Phase::RolledBack));
    assert_eq!(next_phase(&withdrawn), Some(Phase::RolledBack));
    assert_eq!(next_phase(&moved(OldCalls::None)), Some(Phase::Succeeded));
    assert_eq!(next_phase(&moved(OldCalls::Some)), None);
    assert_eq!(next_phase(&moved(OldCalls::Unknown)), None);
    assert_eq!(next_phase(&input(&moving, 9_300)), Some(Phase::Succeeded));
}

#[test]
fn next_decided_order_is_published_and_not_begun_again() {
    let (done, order) = (state(Phase::RolledBack), order("v2"));
    let (running, rolled_back) = (
        status(RolloutOutcome::Running),
        status(RolloutOutcome::RolledBack),
    );
    let mut input = Input {
        order: Some((&order, 7)),
        state: Some(&done),
        status: Some(&running),
        ..Input::default()
    };
    assert_eq!(next(&input, &LIMITS), Step::Publish(rolled_back.clone()));
    input.status = Some(&rolled_back);
    assert_eq!(next(&input, &LIMITS), Step::None);
    input.order = Some((&order, 9));
    let Step::Write(repeated, _) = next(&input, &LIMITS) else {
        panic!("a later order is a new attempt");
    };
    assert_eq!(
        (repeated.seq, repeated.began, repeated.phase),
        (5, 5, Phase::Ramp)
    );
    input.order = Some((&order, 7));
    input.is_unstored = true;
    assert_eq!(
        next_phase(&input),
        Some(Phase::RolledBack),
        "a restored store lacks it"
    );
}

fn target(id: &str, version: &str) -> Arc<Target> {
    let entry = TargetEntry {
        version: Name::from(version),
        ..entry(id)
    };
    Arc::new(Target::new(at(0), entry, location(Distance::Domain)))
}

#[test]
fn group_targets_by_phase() {
    let (new, old) = (target("new", "v2"), target("old", "v1"));
    let both = [Arc::clone(&new), Arc::clone(&old)];
    let order = order("v2");
    let ids = |policy: &Policy, targets: &[Arc<Target>], takes_new, is_fresh| {
        let groups = policy.group(at(1), targets, |_| true, takes_new, is_fresh);
        groups
            .concat()
            .iter()
            .map(|t| t.entry.id.to_string())
            .collect::<Vec<_>>()
    };
    let policy =
        |state: Option<&RolloutState>| Policy::new(at(0), Some((&order, 7)), state, None).unwrap();
    let pending = policy(None);
    let (ramp, moving) = (
        policy(Some(&state(Phase::Ramp))),
        policy(Some(&state(Phase::Move))),
    );
    let (done, bad) = (
        policy(Some(&state(Phase::Succeeded))),
        policy(Some(&state(Phase::RolledBack))),
    );
    assert_eq!(ids(&pending, &both, false, true), ["old"]);
    assert_eq!(
        ids(&pending, &both[..1], false, false),
        ["new"],
        "no old target is left"
    );
    assert_eq!(ids(&ramp, &both, false, true), ["old"]);
    assert_eq!(ids(&ramp, &both, true, true), ["new", "old"]);
    assert_eq!(ids(&ramp, &both, true, false), ["old"], "stale view");
    assert_eq!(ids(&moving, &both, false, true), ["new"]);
    assert_eq!(ids(&moving, &both, false, false), ["old"], "stale view");
    assert_eq!(ids(&done, &both, false, false), ["new"]);
    assert!(
        !done.is_refused(at(0) + SUCCESS_TIME, &old),
        "a later release"
    );
    assert_eq!(ids(&bad, &both, true, true), ["old"]);
    assert!(bad.is_refused(at(1), &new));
    assert_eq!(Policy::new(at(0), None, None, None), None);
    let known = status(RolloutOutcome::RolledBack);
    let banned = Policy::new(at(0), None, None, Some(&known)).unwrap();
    assert_eq!(ids(&banned, &both, true, true), ["old"]);
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Whatever nodes restart, miss changes of the share or lose calls, all
    /// together send the version at most the highest share of their calls, and
    /// less than one call more each.
    #[test]
    fn allows_any_restart_and_loss_stays_within_share(
        credits in prop::collection::vec(0.0..1.0_f64, 1..20),
        steps in prop::collection::vec((0..20_usize, 0..40_u8), 1..3_000),
    ) {
        let mut nodes: Vec<_> = credits.iter().map(|c| (Exposure::new(*c), 0.0)).collect();
        let (mut new, mut old) = (0_u32, 0_u32);
        let mut published = 0.0_f64;
        for (node, action) in steps {
            let ix = node % nodes.len();
            let (exposure, share) = &mut nodes[ix];
            match action {
                0 => (*exposure, *share) = (Exposure::new(0.0), published),
                1 => published = (published + 0.02).min(LIMITS.share * 0.8),
                2..6 => *share = published,
                _ if exposure.allows(*share) => {
                    exposure.record_new();
                    new += 1;
                }
                // A call that is lost on the way to an old target is not counted.
                6..10 => {}
                _ => {
                    exposure.record_old();
                    old += 1;
                }
            }
        }
        let credit: f64 = credits.iter().sum();
        prop_assert!(f64::from(new) <= 0.8 * LIMITS.share * f64::from(new + old) + credit);
    }
}

/// Guards against a slack that the first calls of many nodes use up.
#[test]
fn first_credit_of_all_nodes_leaves_half_of_the_slack() {
    for serving in [1, 8, 25, 100, 300, 830] {
        let nodes = u32::try_from(serving).unwrap();
        let positions = (0..nodes).map(|n| f64::from(n + 1) / f64::from(nodes));
        let sum: f64 = positions.map(|at| first_credit(at, 50, serving)).sum();
        assert!(sum <= 25.0, "{serving} nodes: {sum}");
    }
}
