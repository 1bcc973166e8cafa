//! Tests of the pace of targets, and of its use in the choice and in hedges.

mod common;

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use common::{at, ms, target};
use heatherrun_kernel::site::TargetLoad;
use heatherrun_routing::choice::{Choice, ChoiceConstraints, choose};
use heatherrun_routing::pace::Draws;
use heatherrun_routing::route_stats::RouteLatency;
use heatherrun_routing::target::{Distance, Target};

fn load(pace: Option<u16>) -> TargetLoad {
    TargetLoad {
        running: 1,
        waiting: 0,
        slots: 4,
        pace,
    }
}

/// A target that has replied within 10 ms at the usual pace, and then reports
/// `pace` at 1 s.
fn paced(id: &str, pace: Option<u16>) -> Arc<Target> {
    let target = target(id, Distance::Domain);
    for call in 0..20 {
        target.pace.record(at(call * 40), &load(pace.map(|_| 100)));
        target.record_reply(at(call * 40), ms(10), Some(1));
    }
    target.pace.record(at(1_000), &load(pace));
    target
}

fn choose_id(now: u64, targets: &[Arc<Target>], draw: &dyn Fn() -> u64) -> String {
    let constraints = ChoiceConstraints {
        regions: &[],
        is_excluded: &|_| false,
        next_call: &|_| at(0),
        max_calls: &|_| 8,
        node_share: 1.0,
        draw,
    };
    match choose(at(now), targets, &[], &constraints) {
        Choice::Target(target) => target.entry.id.to_string(),
        other => format!("{other:?}"),
    }
}

#[test]
fn percent_halves_its_excess_every_300_ms() {
    let target = paced("a", Some(300));
    for (now, expected) in [
        (1_000, 300.0),
        (1_300, 200.0),
        (1_600, 150.0),
        (6_000, 100.0),
    ] {
        let percent: f64 = target.pace.percent(at(now)).unwrap();
        assert!((percent - expected).abs() < 0.1, "{percent} at {now} ms");
    }
    assert_eq!(paced("b", None).pace.percent(at(1_000)), None);
}

#[test]
fn paced_micros_follow_pace_and_count_it_once() {
    // Latencies of a machine that is slow for long contain its pace already.
    let target = paced("a", Some(100));
    let expected = target.expected_micros(at(1_000));
    assert_eq!(target.paced_micros(at(1_000)), expected);
    target.pace.record(at(1_000), &load(Some(200)));
    // A third of the earlier calls' pace is the new one: 200 to 133.
    let slowed = target.paced_micros(at(1_000));
    assert!(slowed.abs_diff(expected * 200 / 133) < 100, "{slowed}");
    for call in 1..100 {
        target.pace.record(at(1_000 + call * 10), &load(Some(200)));
        target.record_reply(at(1_000 + call * 10), ms(20), Some(1));
    }
    let settled = target.paced_micros(at(1_990));
    assert!(settled.abs_diff(20_000) < 1_000, "{settled}");
}

#[test]
fn choose_passes_by_slow_target_until_report_is_old() {
    let targets = [paced("slow", Some(300)), paced("usual", Some(100))];
    for draw in [0, u64::MAX / 2, u64::MAX] {
        assert_eq!(choose_id(1_000, &targets, &|| draw), "usual");
    }
    // Nothing else is known of it by then, so that it is called again.
    let chosen = [0, u64::MAX].map(|draw| choose_id(9_000, &targets, &|| draw));
    assert_eq!(chosen, ["slow", "usual"]);
}

#[test]
fn choose_without_pace_takes_the_best_and_draws_nothing() {
    // Earlier deployments report three figures or none.
    let targets = [paced("a", None), paced("b", None)];
    targets[1].record_reply(at(1_000), ms(9), Some(1));
    let draw = || panic!("draws without a known pace");
    assert_eq!(choose_id(1_000, &targets, &draw), "b");
}

#[test]
fn choose_nodes_spread_over_near_equal_targets() {
    // 25 nodes that know the same must not all call the best target.
    let paces = [100, 102, 104, 106, 300];
    let targets = paces.map(|pace| paced(&format!("t{pace}"), Some(pace)));
    let count = |id: &str| {
        let chosen = (0..25).map(|node| {
            let draws = Draws::new(node * 1_000_003);
            choose_id(1_000, &targets, &|| draws.draw())
        });
        chosen.filter(|chosen| chosen == id).count()
    };
    let counts = paces.map(|pace| count(&format!("t{pace}")));
    assert!(
        counts[..4].iter().all(|n| (2..=13).contains(n)),
        "{counts:?}"
    );
    assert_eq!(counts[4], 0);
}

#[test]
fn choose_shard_of_each_request_is_spread_too() {
    // One sequence serves all shards of a request: none may see a pattern.
    let targets = ["a", "b"].map(|id| paced(id, Some(100)));
    let draws = Draws::new(7);
    for shards in [21, 34, 55] {
        let first_of_request = Cell::new(0);
        for _ in 0..400 {
            let chosen = choose_id(1_000, &targets, &|| draws.draw());
            first_of_request.set(first_of_request.get() + i32::from(chosen == "a"));
            for _ in 1..shards {
                draws.draw();
            }
        }
        let count = first_of_request.get();
        assert!((150..=250).contains(&count), "{shards}: {count}");
    }
}

#[test]
fn hedge_delay_waits_for_a_target_known_to_be_slow() {
    let latency = RouteLatency::default();
    for _ in 0..500 {
        latency.record(Distance::Domain, ms(10));
    }
    let delay = |now, target: &Target, objective| latency.hedge_delay(at(now), target, objective);
    let (usual, slow) = (paced("a", Some(110)), paced("b", Some(900)));
    let long = Duration::from_secs(1);
    let base = delay(1_000, &usual, long);
    assert_eq!(delay(1_000, &paced("c", None), long), base);
    assert!(delay(1_000, &slow, long) > base + ms(5));
    assert_eq!(delay(9_000, &slow, long), base);
    // The bound of a third of the objective holds.
    assert!(delay(1_000, &slow, ms(45)) <= ms(15));
}
