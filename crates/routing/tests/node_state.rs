//! Tests of the state of a node: items of the store, targets, and addresses for
//! callers.

mod common;

use std::sync::Arc;

use common::{at, entry, location, node};
use heatherrun_kernel::site::DirectoryQuery;
use heatherrun_routing::directory::addresses;
use heatherrun_routing::feed::{Delta, Feed, Item};
use heatherrun_routing::fleet::{Change, Fleet, LAPSE_GRACE};
use heatherrun_routing::target::Distance;
use proptest::prelude::*;

fn item(key: &str, revision: u64, value: Option<&str>) -> Item {
    Item {
        key: Arc::from(key),
        revision,
        value: value.map(|v| Arc::from(v.as_bytes())),
    }
}

fn delta(is_complete: bool, revision: u64, items: Vec<Item>) -> Delta {
    Delta {
        items,
        is_complete,
        revision,
    }
}

#[test]
fn apply_older_revision_is_ignored() {
    let mut feed = Feed::default();
    feed.apply(delta(true, 5, vec![item("a", 5, Some("new"))]));
    assert!(
        feed.apply(delta(false, 6, vec![item("a", 4, Some("old"))]))
            .is_empty()
    );
    assert!(
        feed.apply(delta(false, 6, vec![item("a", 3, None)]))
            .is_empty()
    );
}

#[test]
fn apply_snapshot_deletes_unlisted_items() {
    let mut feed = Feed::default();
    feed.apply(delta(
        true,
        5,
        vec![item("a", 1, Some("x")), item("b", 2, Some("y"))],
    ));
    let new = feed.apply(delta(true, 9, vec![item("b", 2, Some("y"))]));
    assert_eq!(new, [item("a", 9, None)]);
}

#[test]
fn apply_old_snapshot_is_ignored() {
    let mut feed = Feed::default();
    feed.apply(delta(true, 9, vec![item("a", 8, Some("x"))]));
    assert!(feed.apply(delta(true, 5, Vec::new())).is_empty());
    assert_eq!(feed.since(0).items.len(), 1);
}

/// Writes to a store: the key, and whether it is deleted.
fn writes() -> impl Strategy<Value = Vec<(u8, bool)>> {
    prop::collection::vec((0..5_u8, any::<bool>()), 0..40)
}

proptest! {
    #![proptest_config(common::fixed_seed())]

    /// A node that pulls from another one from time to time ends with the same
    /// items.
    #[test]
    fn since_follower_converges_to_its_source(writes in writes(), pulls in prop::collection::vec(any::<bool>(), 40)) {
        let (mut source, mut follower) = (Feed::default(), Feed::default());
        for (ix, (key, deleted)) in writes.iter().enumerate() {
            let revision = ix as u64 + 1;
            let value = (!deleted).then_some("v");
            source.apply(delta(false, revision, vec![item(&format!("k{key}"), revision, value)]));
            if pulls[ix] {
                follower.apply(source.since(follower.revision()));
            }
        }
        follower.apply(source.since(follower.revision()));
        prop_assert_eq!(follower.since(0), source.since(0));
    }
}

#[test]
fn apply_report_newer_incarnation_wins_over_newer_report() {
    let mut fleet = Fleet::default();
    let near = || location(Distance::Domain);
    let mut first = entry("a");
    (first.born, first.report_seq) = (100, 50);
    assert_eq!(
        fleet.apply_report(at(0), first.clone(), near()),
        Change::New
    );
    let mut stale = first.clone();
    stale.report_seq = 49;
    assert_eq!(fleet.apply_report(at(0), stale, near()), Change::Stale);
    let mut restarted = first.clone();
    (restarted.born, restarted.report_seq) = (200, 1);
    assert_eq!(fleet.apply_report(at(0), restarted, near()), Change::New);
    assert_eq!(fleet.apply_report(at(0), first, near()), Change::Stale);
    let all = fleet.services();
    assert_eq!(all["lots"][0].entry.born, 200);
}

#[test]
fn draining_report_stops_new_calls() {
    let mut fleet = Fleet::default();
    fleet.apply_report(at(0), entry("a"), location(Distance::Domain));
    let known = Arc::clone(&fleet.services()["lots"][0]);
    let mut draining = entry("a");
    (draining.draining, draining.report_seq) = (true, 2);
    assert_eq!(
        fleet.apply_report(at(1), draining, location(Distance::Domain)),
        Change::Draining
    );
    assert!(!known.accepts_calls());
}

#[test]
fn remove_after_outage_waits_for_lapsed_entry() {
    let mut fleet = Fleet::default();
    for id in ["back", "gone"] {
        fleet.apply_report(at(0), entry(id), location(Distance::Domain));
    }
    fleet.outage_ended(at(10_000));
    assert!(!fleet.remove(at(10_100), "back") && !fleet.remove(at(10_100), "gone"));
    assert!(fleet.services()["lots"].iter().all(|t| t.accepts_calls()));
    fleet.apply_report(at(11_500), entry("back"), location(Distance::Domain));
    assert!(!fleet.remove_lapsed(at(11_500)));
    assert!(fleet.remove_lapsed(at(10_000) + LAPSE_GRACE));
    assert_eq!(fleet.services()["lots"].len(), 1);
    assert!(
        fleet.remove(at(13_000), "back"),
        "after the grace period a missing entry removes its target"
    );
}

#[test]
fn remove_stops_new_calls_of_requests_that_hold_the_target() {
    let mut fleet = Fleet::default();
    fleet.apply_report(at(0), entry("a"), location(Distance::Domain));
    let held = Arc::clone(&fleet.services()["lots"][0]);
    assert!(fleet.remove(at(1), "a"));
    assert!(!held.accepts_calls());
    assert!(!fleet.remove(at(2), "a"));
}

#[test]
fn addresses_only_near_and_strong_nodes_if_enough() {
    let nodes = [
        node("a1", "a", "x", 0.5),
        node("a2", "a", "x", 0.5),
        node("a3", "a", "x", 0.12),
        node("b1", "b", "x", 0.5),
        node("c1", "c", "y", 0.5),
    ];
    let addresses_of = |domain: &str, region: &str| {
        let request = DirectoryQuery {
            region: region.to_owned(),
            domain: domain.to_owned(),
        };
        let found = addresses(nodes.iter(), &request);
        let node_at = |address| nodes.iter().find(|n| n.callers == address).unwrap();
        let names = found.into_iter().map(|a| node_at(a).name.to_string());
        let mut names: Vec<_> = names.collect();
        names.sort();
        names.join(" ")
    };
    assert_eq!(addresses_of("a", "x"), "a1 a2");
    assert_eq!(addresses_of("b", "x"), "a1 a2 b1");
    assert_eq!(addresses_of("c", "y"), "a1 a2 b1 c1");
    assert_eq!(addresses_of("", ""), "a1 a2 b1 c1");
}

#[test]
fn addresses_include_weak_node_with_single_strong_one() {
    let nodes = [node("a1", "a", "x", 0.5), node("a2", "a", "x", 0.12)];
    let request = DirectoryQuery {
        region: "x".to_owned(),
        domain: "a".to_owned(),
    };
    assert_eq!(addresses(nodes.iter(), &request).len(), 2);
}
