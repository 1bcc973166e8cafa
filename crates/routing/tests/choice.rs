//! The choice of a target.

mod common;

use std::sync::Arc;

use common::{at, entry, ms, place, target};
use heatherrun_kernel::routes::Name;
use heatherrun_routing::choice::{Choice, Choices, choose};
use heatherrun_routing::target::{Distance, Target};

const NO_REGIONS: [Name; 0] = [];

fn choices<'a>() -> Choices<'a> {
    Choices {
        regions: &NO_REGIONS,
        is_out: &|_| false,
        cold_room: &|_| true,
        room: &|_| 4,
    }
}

fn chosen(targets: &[Arc<Target>], tried: &[Name], choices: &Choices<'_>) -> String {
    match choose(at(10_000), targets, tried, choices) {
        Choice::Target(target) => target.entry.id.to_string(),
        Choice::NoRoom => "no-room".to_owned(),
        Choice::NoTarget => "no-target".to_owned(),
    }
}

#[test]
fn choose_near_one_goes_first_until_it_is_slow() {
    let near = target("near", Distance::Domain);
    let far = target("far", Distance::Far);
    let all = [Arc::clone(&far), Arc::clone(&near)];
    assert_eq!(chosen(&all, &[], &choices()), "near");
    assert_eq!(chosen(&all, &[Name::from("near")], &choices()), "far");
    for call in 0..8 {
        near.replied(at(9_900 + call * 10), ms(150), None);
    }
    assert_eq!(chosen(&all, &[], &choices()), "far");
}

#[test]
fn choose_avoided_cold_draining_gone_and_taken_out_ones_go_last_or_not() {
    let names = ["avoided", "cold", "draining", "gone", "out", "good"];
    let make = |name: &&str| {
        let mut entry = entry(name);
        entry.draining = *name == "draining";
        if *name == "cold" {
            entry.warmup = ms(20_000);
        }
        if *name == "out" {
            entry.domain = Name::from("taken-out");
        }
        let made = Target::new(at(0), entry, place(Distance::Domain));
        if *name == "gone" {
            made.set_gone();
        }
        if *name == "avoided" {
            made.overdue(at(9_999), at(9_980));
        }
        Arc::new(made)
    };
    let all: Vec<_> = names.iter().map(make).collect();
    let choices = Choices {
        is_out: &|domain| domain == "taken-out",
        ..choices()
    };
    assert_eq!(chosen(&all, &[], &choices), "good");
    let mut tried = vec![Name::from("good")];
    assert_eq!(chosen(&all, &tried, &choices), "cold");
    tried.push(Name::from("cold"));
    assert_eq!(chosen(&all, &tried, &choices), "avoided");
    tried.push(Name::from("avoided"));
    assert_eq!(chosen(&all, &tried, &choices), "no-target");
}

#[test]
fn choose_cold_one_without_share_gets_nothing() {
    let mut entry = entry("cold");
    entry.warmup = ms(20_000);
    let cold = Arc::new(Target::new(at(0), entry, place(Distance::Domain)));
    let choices = Choices {
        cold_room: &|_| false,
        ..choices()
    };
    assert_eq!(chosen(&[cold], &[], &choices), "no-room");
}

#[test]
fn choose_full_ones_are_told_from_missing_ones() {
    let only = target("a", Distance::Domain);
    for _ in 0..4 {
        only.sent(at(9_000));
    }
    assert_eq!(chosen(&[Arc::clone(&only)], &[], &choices()), "no-room");
    only.ended();
    assert_eq!(chosen(&[only], &[], &choices()), "a");
    assert_eq!(chosen(&[], &[], &choices()), "no-target");
}

#[test]
fn choose_route_bound_to_regions_stays_there() {
    let all = [
        target("near", Distance::Domain),
        target("far", Distance::Far),
    ];
    let regions = [Name::from("far")];
    let choices = Choices {
        regions: &regions,
        ..choices()
    };
    assert_eq!(chosen(&all, &[], &choices), "far");
}

#[test]
fn choose_failing_one_is_left_for_a_far_one() {
    let near = target("near", Distance::Domain);
    let far = target("far", Distance::Far);
    for call in 0..20 {
        near.answered_failure(at(9_000 + call * 50), ms(5), None);
    }
    assert_eq!(chosen(&[near, far], &[], &choices()), "far");
}
