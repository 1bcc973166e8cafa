//! Tests of the choice of a target.

mod common;

use std::sync::Arc;

use common::{at, entry, location, ms, target};
use heatherrun_kernel::routes::Name;
use heatherrun_routing::choice::{Choice, ChoiceConstraints, Hold, choose};
use heatherrun_routing::target::{Distance, Target};

const NO_REGIONS: [Name; 0] = [];

fn unrestricted<'a>() -> ChoiceConstraints<'a> {
    ChoiceConstraints {
        regions: &NO_REGIONS,
        is_excluded: &|_| false,
        next_call: &|_| at(0),
        max_calls: &|_| 4,
        node_share: 1.0,
        draw: &|| 0,
    }
}

fn choose_id(
    targets: &[Arc<Target>],
    tried: &[Name],
    constraints: &ChoiceConstraints<'_>,
) -> String {
    match choose(at(10_000), targets, tried, constraints) {
        Choice::Target(target) => target.entry.id.to_string(),
        Choice::AtCapacity => "no-room".to_owned(),
        Choice::Held(until, Hold::Quiet) => format!("quiet until {until}"),
        Choice::Held(until, Hold::Rate) => format!("paced until {until}"),
        Choice::NoTarget => "no-target".to_owned(),
    }
}

#[test]
fn choose_prefers_near_target_until_it_is_slow() {
    let near = target("near", Distance::Domain);
    let far = target("far", Distance::Far);
    let targets = [Arc::clone(&far), Arc::clone(&near)];
    assert_eq!(choose_id(&targets, &[], &unrestricted()), "near");
    assert_eq!(
        choose_id(&targets, &[Name::from("near")], &unrestricted()),
        "far"
    );
    for call in 0..8 {
        near.record_reply(at(9_900 + call * 10), ms(150), None);
    }
    assert_eq!(choose_id(&targets, &[], &unrestricted()), "far");
}

#[test]
fn choose_ranks_avoided_after_cold_and_skips_unavailable_targets() {
    let names = ["avoided", "cold", "draining", "gone", "out", "good"];
    let make_target = |name: &&str| {
        let mut entry = entry(name);
        entry.draining = *name == "draining";
        if *name == "cold" {
            entry.warmup = ms(20_000);
        }
        if *name == "out" {
            entry.domain = Name::from("taken-out");
        }
        let target = Target::new(at(0), entry, location(Distance::Domain));
        if *name == "gone" {
            target.set_gone();
        }
        if *name == "avoided" {
            target.record_overdue(at(9_999), at(9_980));
        }
        Arc::new(target)
    };
    let targets: Vec<_> = names.iter().map(make_target).collect();
    let constraints = ChoiceConstraints {
        is_excluded: &|domain| domain == "taken-out",
        ..unrestricted()
    };
    assert_eq!(choose_id(&targets, &[], &constraints), "good");
    let mut tried = vec![Name::from("good")];
    assert_eq!(choose_id(&targets, &tried, &constraints), "cold");
    tried.push(Name::from("cold"));
    assert_eq!(choose_id(&targets, &tried, &constraints), "avoided");
    tried.push(Name::from("avoided"));
    assert_eq!(choose_id(&targets, &tried, &constraints), "no-target");
}

#[test]
fn choose_cold_target_without_capacity_is_not_chosen() {
    let mut entry = entry("cold");
    entry.warmup = ms(20_000);
    let cold = Arc::new(Target::new(at(0), entry, location(Distance::Domain)));
    let constraints = ChoiceConstraints {
        next_call: &|_| at(10_400),
        ..unrestricted()
    };
    let expected = format!("paced until {}", at(10_400));
    assert_eq!(choose_id(&[cold], &[], &constraints), expected);
}

#[test]
fn choose_distinguishes_full_targets_from_no_targets() {
    let only = target("a", Distance::Domain);
    for _ in 0..4 {
        only.record_sent(at(9_000));
    }
    assert_eq!(
        choose_id(&[Arc::clone(&only)], &[], &unrestricted()),
        "no-room"
    );
    only.record_call_end();
    assert_eq!(choose_id(&[only], &[], &unrestricted()), "a");
    assert_eq!(choose_id(&[], &[], &unrestricted()), "no-target");
}

#[test]
fn choose_keeps_to_regions_of_the_route() {
    let targets = [
        target("near", Distance::Domain),
        target("far", Distance::Far),
    ];
    let regions = [Name::from("far")];
    let constraints = ChoiceConstraints {
        regions: &regions,
        ..unrestricted()
    };
    assert_eq!(choose_id(&targets, &[], &constraints), "far");
}

#[test]
fn choose_prefers_far_target_over_failing_one() {
    let near = target("near", Distance::Domain);
    let far = target("far", Distance::Far);
    for call in 0..20 {
        near.record_failed_reply(at(9_000 + call * 50), ms(5), None);
    }
    assert_eq!(choose_id(&[near, far], &[], &unrestricted()), "far");
}

#[test]
fn choose_quiet_targets_are_left_alone() {
    let targets = ["a", "b"].map(|id| target(id, Distance::Domain));
    targets[0].record_quiet(at(9_000), ms(5_000));
    assert_eq!(choose_id(&targets, &[], &unrestricted()), "b");
    targets[1].record_quiet(at(9_000), ms(2_000));
    let first_end = at(11_000);
    let expected = format!("quiet until {first_end}");
    assert_eq!(choose_id(&targets, &[], &unrestricted()), expected);
    // One of them has left: only the other one comes back.
    targets[1].record_leaving();
    let expected = format!("quiet until {}", at(14_000));
    assert_eq!(choose_id(&targets, &[], &unrestricted()), expected);
}
