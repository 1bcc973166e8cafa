//! Tests of the state of a node: items of the store, targets, and addresses for
//! callers.

mod common;

use std::sync::Arc;

use common::{at, entry, location, ms, node};
use heatherrun_kernel::routes::NodeEntry;
use heatherrun_kernel::site::DirectoryQuery;
use heatherrun_kernel::{Era, Revision};
use heatherrun_routing::directory::addresses;
use heatherrun_routing::feed::{Applied, Delta, Feed, Freshness, Item, ItemRules, Position};
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

fn position(era: u64, revision: u64) -> Position {
    Position {
        era: Era(era),
        revision: Revision(revision),
    }
}

fn delta_in(era: u64, is_complete: bool, revision: u64, items: Vec<Item>) -> Delta {
    Delta {
        items,
        is_complete,
        position: position(era, revision),
    }
}

fn delta(is_complete: bool, revision: u64, items: Vec<Item>) -> Delta {
    delta_in(0, is_complete, revision, items)
}

/// Applies changes; values that start with "minor" need not be relayed, and
/// keys that start with "t" are targets, which stay deleted over a restore.
fn apply_all(feed: &mut Feed, delta: Delta) -> Applied {
    let rules = ItemRules {
        is_minor_change: &|_, new| new.value.as_ref().is_some_and(|v| v.starts_with(b"minor")),
        stays_deleted: &|item| item.key.starts_with('t'),
    };
    feed.apply(delta, &rules)
}

fn apply(feed: &mut Feed, delta: Delta) -> Vec<Item> {
    apply_all(feed, delta).changed
}

#[test]
fn apply_older_revision_is_ignored() {
    let mut feed = Feed::default();
    apply(&mut feed, delta(true, 5, vec![item("a", 5, Some("new"))]));
    assert!(apply(&mut feed, delta(false, 6, vec![item("a", 4, Some("old"))])).is_empty());
    assert!(apply(&mut feed, delta(false, 6, vec![item("a", 3, None)])).is_empty());
}

#[test]
fn apply_snapshot_deletes_unlisted_items() {
    let mut feed = Feed::default();
    apply(
        &mut feed,
        delta(
            true,
            5,
            vec![item("a", 1, Some("x")), item("b", 2, Some("y"))],
        ),
    );
    let new = apply(&mut feed, delta(true, 9, vec![item("b", 2, Some("y"))]));
    assert_eq!(new, [item("a", 9, None)]);
}

#[test]
fn apply_old_snapshot_is_ignored() {
    let mut feed = Feed::default();
    apply(&mut feed, delta(true, 9, vec![item("a", 8, Some("x"))]));
    assert!(apply(&mut feed, delta(true, 5, Vec::new())).is_empty());
    assert_eq!(feed.since(Position::default()).items.len(), 1);
}

#[test]
fn apply_older_write_does_not_bring_a_deleted_item_back() {
    let mut feed = Feed::default();
    apply(&mut feed, delta(true, 5, vec![item("t", 5, Some("x"))]));
    apply(&mut feed, delta(false, 9, vec![item("t", 9, None)]));
    let late = delta(false, 9, vec![item("t", 7, Some("late"))]);
    assert!(apply(&mut feed, late).is_empty());
    assert!(feed.since(Position::default()).items.is_empty());
}

/// Guards against calls to a target that has left: a node that asks another one
/// which started after the deletion of the target's entry never learned of it.
#[test]
fn since_before_the_first_snapshot_names_deletions() {
    let mut running = Feed::default();
    let all = vec![item("x", 1, Some("a")), item("y", 2, Some("b"))];
    apply(&mut running, delta(true, 5, all));
    let mut started = Feed::default();
    let listed = vec![item("y", 2, Some("b")), item("z", 9, Some("c"))];
    apply(&mut started, delta(true, 10, listed));
    let missed = started.since(running.position());
    let changed = apply(&mut running, missed);
    assert!(changed.iter().any(|i| &*i.key == "x" && i.value.is_none()));
    assert_eq!(
        running.since(Position::default()),
        started.since(Position::default())
    );
    // Positions at or after the snapshot need no second one.
    assert!(!started.since(position(0, 10)).is_complete);
}

#[test]
fn since_minor_changes_are_not_relayed() {
    let mut feed = Feed::default();
    apply(&mut feed, delta(true, 5, vec![item("t", 5, Some("x"))]));
    let changed = apply(
        &mut feed,
        delta(false, 6, vec![item("t", 6, Some("minor"))]),
    );
    assert_eq!(changed.len(), 1, "this node applies it");
    assert!(feed.since(position(0, 5)).items.is_empty());
    assert_eq!(feed.since(Position::default()).items[0].revision, 6);
}

#[test]
fn apply_later_era_replaces_all_items() {
    let mut feed = Feed::default();
    let old = vec![
        item("same", 3, Some("x")),
        item("older", 8, Some("new")),
        item("missing", 9, Some("y")),
    ];
    apply(&mut feed, delta_in(1, true, 9, old));
    let copied = vec![item("same", 3, Some("x")), item("older", 4, Some("old"))];
    let applied = apply_all(&mut feed, delta_in(2, true, 5, copied));
    assert!(applied.began_era);
    let expected = [item("older", 4, Some("old")), item("missing", 5, None)];
    assert_eq!(applied.changed, expected);
    assert_eq!(feed.position(), position(2, 5));
}

/// Orders in which facts of two eras may arrive; only those of the later era
/// count in the end.
#[test]
fn apply_eras_in_any_order() {
    struct Case {
        name: &'static str,
        delta: Delta,
        is_ignored: bool,
    }
    let value = |text| vec![item("k", 6, Some(text))];
    let cases = [
        Case {
            name: "late answer of the previous era",
            delta: delta_in(1, false, 900, value("old")),
            is_ignored: true,
        },
        Case {
            name: "late snapshot of the previous era",
            delta: delta_in(1, true, 900, Vec::new()),
            is_ignored: true,
        },
        Case {
            name: "changes of an era whose snapshot is missing",
            delta: delta_in(3, false, 7, value("mixed")),
            is_ignored: true,
        },
        Case {
            name: "second restore in a row",
            delta: delta_in(3, true, 2, vec![item("k", 2, Some("third"))]),
            is_ignored: false,
        },
    ];
    for case in cases {
        let mut feed = Feed::default();
        apply(
            &mut feed,
            delta_in(1, true, 800, vec![item("k", 700, Some("first"))]),
        );
        apply(
            &mut feed,
            delta_in(2, true, 5, vec![item("k", 5, Some("second"))]),
        );
        let applied = apply_all(&mut feed, case.delta);
        assert_eq!(
            applied == Applied::default(),
            case.is_ignored,
            "{}",
            case.name
        );
        let expected = if case.is_ignored { "second" } else { "third" };
        let items = feed.since(Position::default()).items;
        assert_eq!(
            items[0].value.as_deref(),
            Some(expected.as_bytes()),
            "{}",
            case.name
        );
    }
}

#[test]
fn apply_restore_keeps_known_departures_but_not_withdrawn_orders() {
    let mut feed = Feed::default();
    let both = || vec![item("t-left", 3, Some("x")), item("order", 4, Some("y"))];
    apply(&mut feed, delta_in(1, true, 5, both()));
    let deleted = vec![item("t-left", 8, None), item("order", 9, None)];
    apply(&mut feed, delta_in(1, false, 9, deleted));
    // The copy is from before both deletions.
    let changed = apply(&mut feed, delta_in(2, true, 6, both()));
    assert_eq!(changed, [item("order", 4, Some("y"))]);
    // A target that is alive after all writes again.
    let written = vec![item("t-left", 7, Some("alive"))];
    assert_eq!(apply(&mut feed, delta_in(2, false, 7, written)).len(), 1);
}

#[test]
fn since_nodes_in_different_eras() {
    let (mut ahead, mut behind) = (Feed::default(), Feed::default());
    apply(
        &mut behind,
        delta_in(1, true, 90, vec![item("k", 90, Some("old"))]),
    );
    apply(
        &mut ahead,
        delta_in(2, true, 40, vec![item("k", 30, Some("copy"))]),
    );
    let nothing = behind.since(ahead.position());
    assert!(nothing.items.is_empty() && !nothing.is_complete);
    assert!(apply(&mut ahead, nothing).is_empty());
    let all = ahead.since(behind.position());
    assert!(all.is_complete);
    apply(&mut behind, all);
    assert_eq!(behind.position(), ahead.position());
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
            apply(&mut source, delta(false, revision, vec![item(&format!("k{key}"), revision, value)]));
            if pulls[ix] {
                { let changes = source.since(follower.position()); apply(&mut follower, changes) };
            }
        }
        { let changes = source.since(follower.position()); apply(&mut follower, changes) };
        prop_assert_eq!(follower.since(Position::default()), source.since(Position::default()));
    }
}

/// Readers of a domain that are cut off from the store, at three moments of the
/// outage: age of their changes and of this node's own.
#[test]
fn freshness_of_replies_while_the_readers_are_cut_off() {
    let cases = [
        ("before", 900, 1_400, Freshness::Fresh),
        (
            "the outage lasts, nobody knows more",
            5_000,
            5_000,
            Freshness::Old,
        ),
        (
            "they asked nodes of another domain",
            2_300,
            5_000,
            Freshness::Newer,
        ),
        ("this node knows more already", 2_300, 1_800, Freshness::Old),
    ];
    for (case, age, own_age, expected) in cases {
        assert_eq!(
            Freshness::new(ms(age), ms(own_age), ms(2_100)),
            expected,
            "{case}"
        );
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
fn apply_report_ended_incarnation_needs_a_newer_report() {
    let mut fleet = Fleet::default();
    let near = || location(Distance::Domain);
    let mut left = entry("a");
    (left.born, left.report_seq) = (100, 7);
    fleet.apply_report(at(0), left.clone(), near());
    assert!(fleet.remove(at(1), "a"));
    assert_eq!(
        fleet.apply_report(at(2), left.clone(), near()),
        Change::Stale
    );
    left.report_seq = 8;
    assert_eq!(fleet.apply_report(at(3), left, near()), Change::New);
}

#[test]
fn apply_report_keeps_what_the_incarnation_said_in_replies() {
    let mut fleet = Fleet::default();
    let near = || location(Distance::Domain);
    fleet.apply_report(at(0), entry("a"), near());
    let known = Arc::clone(&fleet.services()["lots"][0]);
    known.record_leaving();
    known.record_quiet(at(0), ms(9_000));
    let mut report = entry("a");
    report.report_seq = 2;
    fleet.apply_report(at(1), report.clone(), near());
    assert!(!known.accepts_calls(), "the registry may be behind");
    fleet.remove(at(2), "a");
    report.report_seq = 3;
    fleet.apply_report(at(3), report.clone(), near());
    let again = Arc::clone(&fleet.services()["lots"][0]);
    assert!(!again.accepts_calls() && again.quiet_until(at(3)).is_some());
    (report.born, report.report_seq) = (2, 1);
    fleet.apply_report(at(4), report, near());
    let restarted = Arc::clone(&fleet.services()["lots"][0]);
    assert!(restarted.accepts_calls() && restarted.quiet_until(at(4)).is_none());
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

/// Names of the nodes announced.
fn announced(nodes: &[NodeEntry], domain: &str, region: &str, turn: usize) -> String {
    let request = DirectoryQuery {
        region: region.to_owned(),
        domain: domain.to_owned(),
    };
    let found = addresses(nodes.iter(), &request, turn);
    let node_at = |address| nodes.iter().find(|n| n.callers == address).unwrap();
    let mut names: Vec<_> = found.into_iter().map(|a| &*node_at(a).name).collect();
    names.sort_unstable();
    names.join(" ")
}

#[test]
fn addresses_near_and_strong_nodes_and_few_elsewhere() {
    let nodes = [
        node("a1", "a", "x", 0.5),
        node("a2", "a", "x", 0.5),
        node("a3", "a", "x", 0.12),
        node("b1", "b", "x", 0.5),
        node("c1", "c", "y", 0.5),
        node("c2", "c", "y", 0.5),
        node("d1", "d", "z", 0.5),
    ];
    let near_a = announced(&nodes, "a", "x", 0);
    assert!(near_a.starts_with("a1 a2 b1 "), "{near_a}");
    assert_eq!(
        near_a.split(' ').count(),
        4,
        "one of another region: {near_a}"
    );
    // With one node in the domain, the region's nodes are near as well.
    assert!(announced(&nodes, "b", "x", 0).starts_with("a1 a2 b1 "));
    assert!(announced(&nodes, "c", "y", 0).contains("c1 c2"));
    // Callers are spread over the nodes elsewhere.
    let elsewhere: std::collections::HashSet<_> = (0..4)
        .map(|turn| announced(&nodes, "a", "x", turn))
        .collect();
    assert!(elsewhere.len() > 1);
    // Callers of an unknown place get nodes too.
    assert!(!announced(&nodes, "", "", 0).is_empty());
}

#[test]
fn addresses_include_weak_node_with_single_strong_one() {
    let nodes = [node("a1", "a", "x", 0.5), node("a2", "a", "x", 0.12)];
    assert_eq!(announced(&nodes, "a", "x", 0), "a1 a2");
}
