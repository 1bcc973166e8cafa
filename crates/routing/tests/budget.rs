//! The budget of extra calls, and the shares of one node in limits for all
//! nodes.

mod common;

use std::collections::HashMap;

use common::{at, ms, node};
use heatherrun_kernel::routes::Name;
use heatherrun_routing::extra_calls::{ExtraCallLimit, ExtraCallWindow, Need};
use heatherrun_routing::shares::Shares;
use proptest::prelude::*;

const LIMIT: ExtraCallLimit = ExtraCallLimit {
    share: 0.2,
    slack: 56,
    window: ms(10_000),
};

proptest! {
    #![proptest_config(common::fixed_seed())]

    /// In any window of ten seconds extra calls stay within the limit.
    #[test]
    fn try_take_any_window_stays_within_limit(steps in prop::collection::vec((0..400_u64, any::<bool>(), 0..6_u16), 1..400)) {
        let mut window = ExtraCallWindow::default();
        let (mut requests, mut extra) = (Vec::new(), Vec::new());
        let mut now = 0;
        for (step, is_extra, missing) in steps {
            now += step;
            let need = if missing == 0 { Need::Optional } else { Need::Missing(missing) };
            if is_extra && window.try_take(at(now), &LIMIT, 0.125, need.usable_share(0)) {
                extra.push(now);
            } else if !is_extra {
                window.record_request(at(now), &LIMIT);
                requests.push(now);
            }
        }
        for start in &extra {
            let within = |t: &&u64| (*start..=start + 10_000).contains(*t);
            let used_calls = extra.iter().filter(within).count();
            let requests_after = requests.iter().filter(within).count();
            let requests_before = requests.iter().filter(|t| (start.saturating_sub(10_000)..=*start).contains(*t));
            // The limit times five: a fifth of the requests, and an eighth of
            // the slack of 56, which is 7.
            let five_limits = requests_after.max(requests_before.count()) + 35;
            prop_assert!(used_calls * 5 <= five_limits, "{used_calls} extra calls, a fifth of {five_limits} allowed");
        }
    }
}

/// Hedges take all that they may. What they leave goes to requests that lack
/// shards for an answer, and most of it to those that lack one.
#[test]
fn try_take_leaves_a_reserve_for_requests_near_their_answer() {
    let mut window = ExtraCallWindow::default();
    for _ in 0..500 {
        window.record_request(at(0), &LIMIT);
    }
    let mut take_all = |need: Need, priority| {
        let usable = need.usable_share(priority);
        (0..500)
            .filter(|_| window.try_take(at(1), &LIMIT, 1.0, usable))
            .count()
    };
    // The limit is 0.85 of 156 extra calls.
    assert_eq!(take_all(Need::Optional, 0), 92);
    assert!(take_all(Need::Missing(9), 9) > 0);
    assert!(take_all(Need::Missing(2), 9) > 0);
    assert!(take_all(Need::Missing(2), 0) > 0);
    assert_eq!(take_all(Need::Missing(2), 9), 0);
    assert!(take_all(Need::Missing(1), 0) > 0);
    assert_eq!(take_all(Need::Optional, 0), 0);
}

/// Failure domains "x" and "y", each a region of its own.
fn domains() -> HashMap<Name, Name> {
    let names = ["x", "y"].map(Name::from);
    names.into_iter().map(|n| (Name::clone(&n), n)).collect()
}

#[test]
fn shares_of_all_nodes_fit_connection_limit() {
    let nodes: Vec<_> = (0..9)
        .map(|n| {
            let region = if n < 5 { "x" } else { "y" };
            let power = if n % 3 == 0 { 0.5 } else { 0.12 };
            node(&format!("node-{n}"), region, region, power)
        })
        .collect();
    let shares_of = |own| Shares::new(own, &nodes, &domains(), true);
    let region = Name::from("x");
    let max_calls = nodes.iter().map(|n| shares_of(n).max_calls(&region, 73));
    let max_calls: Vec<_> = max_calls.collect();
    assert!(max_calls.iter().sum::<u16>() <= 73, "{max_calls:?}");
    let total: f64 = nodes.iter().map(|n| shares_of(n).total_share).sum();
    assert!((total - 1.0).abs() < 1e-9);
    assert!(
        max_calls[0] > max_calls[1],
        "a node with more power gets a greater share"
    );
}

#[test]
fn shares_single_node_gets_half_of_its_region() {
    let own = node("me", "x", "x", 0.25);
    let region = Name::from("x");
    let shares = Shares::new(&own, std::slice::from_ref(&own), &domains(), true);
    assert_eq!(shares.max_calls(&region, 31), 15);
    assert_eq!(shares.max_calls(&Name::from("unknown"), 31), 1);
}

#[test]
fn shares_node_in_reserve_has_single_calls_only() {
    let own = node("reserve", "x", "x", 0.12);
    let serving = [node("serving", "x", "x", 0.5)];
    let shares = Shares::new(&own, &serving, &domains(), true);
    assert!(!shares.is_serving());
    assert_eq!(shares.max_calls(&Name::from("x"), 195), 1);
}

/// All nodes start at once and know only themselves: what they take together
/// stays within what a target accepts.
#[test]
fn shares_nodes_that_start_together_fit_connection_limit() {
    let region = Name::from("x");
    let nodes = (0..6).map(|n| {
        node(
            &format!("n{n}"),
            if n < 3 { "x" } else { "y" },
            if n < 3 { "x" } else { "y" },
            0.5,
        )
    });
    let max_calls = nodes.map(|own| {
        let shares = Shares::new(&own, std::slice::from_ref(&own), &domains(), false);
        (shares.max_calls(&region, 31), shares.total_share)
    });
    let max_calls: Vec<_> = max_calls.collect();
    assert!(max_calls.iter().map(|(calls, _)| calls).sum::<u16>() <= 31);
    assert!(max_calls.iter().map(|(_, share)| share).sum::<f64>() <= 1.0);
}
