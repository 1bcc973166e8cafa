//! Tests of the pace of calls to targets that take a limited rate.

mod common;

use std::collections::HashMap;

use common::{at, entry, location, node, target};
use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_kernel::site::StatedLimit;
use heatherrun_routing::pacer::{Pace, Pacer};
use heatherrun_routing::shares::Shares;
use heatherrun_routing::target::{Distance, LimitChange, Target};
use proptest::prelude::*;

/// Sends a call whenever one may be sent; returns when.
fn calls(pacer: &Pacer, pace: Pace, times: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut sent = Vec::new();
    for millis in times {
        if pacer.next_call(at(millis), pace) <= at(millis) {
            pacer.record_call(at(millis), pace);
            sent.push(millis);
        }
    }
    sent
}

#[test]
fn next_call_keeps_to_the_rate() {
    let sent = calls(&Pacer::default(), Pace::new(4.0, 0.1), 0..1_000);
    assert_eq!(sent.len(), 4, "{sent:?}");
    let pacer = Pacer::default();
    let none = Pace::new(0.0, 0.9);
    assert!(calls(&pacer, none, 0..2_000).is_empty());
    assert!(pacer.next_call(at(2_000), none) <= at(600_000));
}

/// Slots that nobody used for a while must not all be used at once.
#[test]
fn next_call_slot_closes_unused() {
    let (pacer, pace) = (Pacer::default(), Pace::new(1.0, 0.0));
    assert_eq!(pacer.next_call(at(0), pace), Time(1));
    assert_eq!(pacer.next_call(at(250), pace), at(250));
    assert_eq!(pacer.next_call(at(252), pace), Time(1_000_001));
    let sent = calls(&pacer, pace, 9_900..10_900);
    assert_eq!(sent, [10_001]);
}

#[test]
fn next_call_faster_pace_holds_at_once() {
    let pacer = Pacer::default();
    let slow = Pace::new(0.05, 0.0);
    assert_eq!(pacer.next_call(at(0), slow), Time(1));
    pacer.record_call(at(1), slow);
    let next = pacer.next_call(at(100), Pace::new(10.0, 0.0));
    assert_eq!(next, at(200));
}

#[test]
fn record_limit_reply_to_an_earlier_call_does_not_end_it() {
    let target = target("a", Distance::Domain);
    assert_eq!(target.limit_per_sec(), None);
    let named = target.record_limit(at(50), StatedLimit::PerSec(25.5));
    assert_eq!(named, LimitChange::Named);
    assert_eq!(target.limit_per_sec(), Some(25.5));
    for (sent, stated, expected, limit) in [
        (60, StatedLimit::PerSec(25.5), LimitChange::None, Some(25.5)),
        (60, StatedLimit::None, LimitChange::None, Some(25.5)),
        (70, StatedLimit::Invalid, LimitChange::None, Some(25.5)),
        (80, StatedLimit::PerSec(0.0), LimitChange::Named, Some(0.2)),
        (90, StatedLimit::None, LimitChange::Ended, None),
        (100, StatedLimit::PerSec(1e30), LimitChange::None, None),
    ] {
        let change = target.record_limit(at(sent), stated);
        assert_eq!(change, expected, "{stated:?}");
        assert_eq!(target.limit_per_sec(), limit, "{stated:?}");
    }
}

/// An entry that lapsed and came back is the same searcher: its limit holds.
#[test]
fn inherit_takes_over_the_limit() {
    let old = target("a", Distance::Domain);
    old.record_limit(at(50), StatedLimit::PerSec(3.0));
    let new = Target::new(at(90), entry("a"), location(Distance::Domain));
    new.inherit(&old.told());
    assert_eq!(new.limit_per_sec(), Some(3.0));
    assert_eq!(
        new.record_limit(at(40), StatedLimit::None),
        LimitChange::None
    );
    assert_eq!(
        new.record_limit(at(60), StatedLimit::None),
        LimitChange::Ended
    );
}

/// Nodes of three regions, the first `near` of them in that of the targets.
fn fleet(near: usize, far: usize) -> Vec<Shares> {
    let domains = [("near-a", "near"), ("far-a", "far"), ("far-b", "farther")];
    let domains: HashMap<_, _> = domains
        .map(|(domain, region)| (Name::from(domain), Name::from(region)))
        .into();
    let near_nodes = (0..near).map(|ix| node(&format!("near-{ix}"), "near-a", "near", 0.25));
    let far_nodes = (0..far).map(|ix| match ix % 2 {
        0 => node(&format!("far-{ix}"), "far-a", "far", 0.12),
        _ => node(&format!("far-{ix}"), "far-b", "farther", 0.5),
    });
    let nodes: Vec<_> = near_nodes.chain(far_nodes).collect();
    let shares = nodes
        .iter()
        .map(|own| Shares::new(own, &nodes, &domains, true));
    shares.collect()
}

/// Most of `times` within `millis`.
fn most_within(mut times: Vec<u64>, millis: u64) -> usize {
    times.sort_unstable();
    let mut most = 0;
    for (ix, start) in times.iter().enumerate() {
        let end = times.partition_point(|t| *t < start + millis);
        most = most.max(end - ix);
    }
    most
}

proptest! {
    #![proptest_config(common::fixed_seed())]

    /// Guards against LIMIT, and its kin in a slow start: what all nodes send
    /// together stays within the bounds for any number of nodes and any limit,
    /// also when all of them need the target at the same moment.
    #[test]
    fn pace_all_nodes_together_keep_to_the_limit(
        near in 0..40_usize,
        far in 0..60_usize,
        limit in 0.0..60.0_f64,
        idle_ms in 0..9_000_u64,
        gap_ms in 5..80_u64,
        is_cold in any::<bool>(),
    ) {
        prop_assume!(near + far > 0);
        let shares = fleet(near, far);
        let mut times = Vec::new();
        for (ix, shares) in shares.iter().enumerate() {
            let target = Target::new(at(0), entry("limited"), location(Distance::Domain));
            if !is_cold {
                target.record_limit(at(0), StatedLimit::PerSec(limit));
            }
            let pace = shares.pace(&target, is_cold.then_some(limit)).unwrap();
            // The first call tells the node of the limit.
            let _ = target.pacer.next_call(at(ix as u64 % 7), pace);
            let demand = (idle_ms..idle_ms + 12_000).step_by(usize::try_from(gap_ms).unwrap());
            times.extend(calls(&target.pacer, pace, demand));
        }
        let (span, most) = if is_cold {
            (1_000, 1.5 * limit + 5.0)
        } else {
            (4_000, 1.5 * 4.0 * limit + 5.0)
        };
        let sent = u32::try_from(most_within(times, span)).unwrap();
        prop_assert!(f64::from(sent) <= most, "{sent} of {most}");
    }
}

#[test]
fn pace_rate_is_shared_out_and_left_to_those_that_are_there() {
    for (near, far) in [(3, 5), (3, 0), (0, 5), (30, 50)] {
        let shares = fleet(near, far);
        let mut total = 0.0;
        for shares in &shares {
            let target = Target::new(at(0), entry("limited"), location(Distance::Domain));
            target.record_limit(at(0), StatedLimit::PerSec(100.0));
            let pace = shares.pace(&target, None).unwrap();
            let pacer = Pacer::default();
            let _ = pacer.next_call(Time(1), pace);
            let first = pacer.next_call(Time(1), pace);
            pacer.record_call(first, pace);
            let second = pacer.next_call(first, pace);
            total += 1_000_000.0 / f64::from(u32::try_from(second.0 - first.0).unwrap());
        }
        assert!((99.0..=101.0).contains(&total), "{near} {far}: {total}");
    }
    let unlimited = target("a", Distance::Domain);
    assert_eq!(fleet(1, 1)[0].pace(&unlimited, None), None);
}
