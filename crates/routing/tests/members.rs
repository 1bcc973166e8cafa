//! The tree of nodes in a failure domain, and the nodes that serve callers.

mod common;

use std::collections::{BTreeMap, HashMap, HashSet};

use common::{at, ms, node};
use heatherrun_kernel::routes::{Name, NodeEntry};
use heatherrun_kernel::site::DirectoryQuery;
use heatherrun_routing::cell::serving;
use heatherrun_routing::directory::addresses;
use heatherrun_routing::members::{
    FAN_OUT, Members, READERS_PER_DOMAIN, Report, Roster, first_of_domains, hash_nodes, place,
};
use heatherrun_routing::shares::Shares;

/// Nodes of one failure domain, the first `strong` ones with half a core.
fn domain(name: &str, region: &str, count: usize, strong: usize) -> Vec<NodeEntry> {
    let power = |n| if n < strong { 0.5 } else { 0.12 };
    (0..count)
        .map(|n| node(&format!("{name}-{n}"), name, region, power(n)))
        .collect()
}

fn report(own: &NodeEntry, below: &[NodeEntry], with_below: bool) -> Report {
    Report {
        node: own.clone(),
        is_leaving: false,
        below_hash: hash_nodes(below),
        below: with_below.then(|| below.to_vec()),
    }
}

#[test]
fn place_tree_has_one_root_bounded_fan_out_and_no_cycle() {
    for count in [1, 2, 9, 10, 49, 140, 833] {
        let nodes = domain("a", "x", count, 3.min(count));
        let by_peers: HashMap<_, _> = nodes.iter().map(|n| (n.peers, &n.name)).collect();
        let places: Vec<_> = nodes.iter().map(|n| place(n, &nodes)).collect();
        let mut asked: BTreeMap<&Name, usize> = BTreeMap::new();
        for place in &places {
            if let Some(above) = place.above.first() {
                *asked.entry(by_peers[above]).or_default() += 1;
            }
            let above_ranks: Vec<_> = place
                .above
                .iter()
                .map(|a| places[nodes.iter().position(|n| n.peers == *a).unwrap()].rank)
                .collect();
            assert!(above_ranks.iter().all(|rank| *rank < place.rank), "{count}");
            assert_eq!(place.rank == 0, place.above.is_empty(), "{count}");
            if place.rank >= READERS_PER_DOMAIN {
                assert!(place.above.len() >= READERS_PER_DOMAIN, "{count}");
            }
        }
        let most = asked.values().max().copied().unwrap_or_default();
        assert!(most <= FAN_OUT, "{count} nodes: {most} ask the same one");
        let deepest = places.iter().map(|p| p.depth).max();
        assert!(deepest <= Some(4), "{count} nodes: depth {deepest:?}");
        let strong = nodes.iter().map(|n| n.power).fold(0.0, f64::max);
        assert!(first_of_domains(&nodes).iter().all(|n| n.power >= strong));
    }
}

/// Lets all nodes report upwards once, as their places say; nodes in `dead`
/// neither report nor reply.
fn report_round(
    now: u64,
    nodes: &[NodeEntry],
    members: &mut BTreeMap<Name, Members>,
    dead: &HashSet<Name>,
) {
    for own in nodes.iter().filter(|n| !dead.contains(&n.name)) {
        let above = place(own, nodes).above;
        let above = above
            .iter()
            .filter_map(|a| nodes.iter().find(|n| n.peers == *a));
        let Some(above) = above.into_iter().find(|n| !dead.contains(&n.name)) else {
            continue;
        };
        let below = members[&own.name].reported(at(now));
        let receiver = members.get_mut(&above.name).unwrap();
        if !receiver.apply_report(at(now), report(own, &below, false)) {
            assert!(receiver.apply_report(at(now), report(own, &below, true)));
        }
    }
}

#[test]
fn reported_all_nodes_reach_the_reader_and_dead_ones_are_dropped() {
    let nodes = domain("a", "x", 140, 3);
    let mut members: BTreeMap<Name, Members> = nodes
        .iter()
        .map(|n| (Name::clone(&n.name), Members::default()))
        .collect();
    let first = &first_of_domains(&nodes)[0].name;
    for round in 0..4 {
        report_round(round * 500, &nodes, &mut members, &HashSet::new());
    }
    assert_eq!(members[first].reported(at(1_500)).len(), 139);
    // A third of the nodes dies, inner ones among them, but not the reader.
    let dead: HashSet<Name> = nodes
        .iter()
        .filter(|n| n.name != *first)
        .step_by(3)
        .map(|n| Name::clone(&n.name))
        .collect();
    for round in 4..16 {
        report_round(round * 500, &nodes, &mut members, &dead);
    }
    let names: HashSet<Name> = members[first]
        .reported(at(7_500))
        .into_iter()
        .map(|n| n.name)
        .collect();
    assert!(names.is_disjoint(&dead));
    assert_eq!(names.len(), 139 - dead.len());
}

#[test]
fn nodes_leaving_or_silent_ones_are_left_out() {
    let nodes = domain("a", "x", 3, 3);
    let mut members = Members::default();
    members.set_roster("a/other", Some(&Roster::new(&nodes[0], &nodes)));
    assert_eq!(members.nodes(at(0), None), nodes);
    let leaving = Report {
        is_leaving: true,
        ..report(&nodes[1], &[], true)
    };
    members.apply_report(at(0), leaving);
    let names = |members: &Members, now| members.nodes(at(now), None).len();
    assert_eq!(names(&members, 100), 2, "a roster still lists it");
    // Its next process reports.
    members.apply_report(at(200), report(&nodes[1], &[], true));
    assert_eq!(names(&members, 200), 3);
    members.set_roster("a/other", None);
    assert_eq!(names(&members, 300), 1);
    assert_eq!(names(&members, 3_000), 0, "it reports no more");
}

#[test]
fn apply_report_unknown_nodes_below_are_asked_for() {
    let nodes = domain("a", "x", 4, 1);
    let mut members = Members::default();
    let below = &nodes[2..];
    assert!(!members.apply_report(at(0), report(&nodes[1], below, false)));
    assert!(members.apply_report(at(1), report(&nodes[1], below, true)));
    assert!(members.apply_report(at(2), report(&nodes[1], below, false)));
    assert_eq!(members.reported(at(2)).len(), 3);
    assert!(!members.apply_report(at(3), report(&nodes[1], &[], false)));
}

#[test]
fn roster_keeps_entries_over_the_store() {
    let mut nodes = domain("a", "x", 5, 2);
    nodes[3].peers = "127.9.9.9:77".parse().unwrap();
    nodes[4].busy = true;
    let json = serde_json::to_string(&Roster::new(&nodes[0], &nodes)).unwrap();
    let read: Roster = serde_json::from_str(&json).unwrap();
    assert_eq!(read.entries().collect::<Vec<_>>(), nodes);
}

#[test]
fn serving_busy_nodes_bring_reserve_into_the_cell() {
    let mut nodes = domain("a", "x", 20, 3);
    assert_eq!(serving(&nodes, 195).len(), 3);
    nodes[0].busy = true;
    let more = serving(&nodes, 195);
    assert_eq!(more.len(), 8, "half a core of spare power is replaced");
    for node in &mut nodes {
        node.busy = true;
    }
    assert_eq!(serving(&nodes, 195).len(), 20);
    assert_eq!(serving(&nodes, 16).len(), 7, "each needs connections");
}

/// Shape of a deployment: region of each failure domain, its nodes, how many of
/// them are strong, connections that a searcher takes.
#[derive(Debug)]
struct Shape {
    regions: &'static [&'static str],
    nodes: usize,
    strong: usize,
    connections: u16,
}

fn shapes() -> Vec<Shape> {
    const REGIONS: [&[&str]; 5] = [
        &["x"],
        &["x", "y"],
        &["x", "x"],
        &["x", "y", "z"],
        &["x", "x", "y", "y", "z", "z"],
    ];
    const NODES: [(usize, usize); 8] = [
        (1, 1),
        (2, 1),
        (3, 3),
        (3, 0),
        (10, 10),
        (10, 1),
        (50, 3),
        (60, 60),
    ];
    let mut shapes = Vec::new();
    for regions in REGIONS {
        for (nodes, strong) in NODES {
            for connections in [16, 26, 31, 73, 195] {
                shapes.push(Shape {
                    regions,
                    nodes,
                    strong,
                    connections,
                });
            }
        }
    }
    shapes
}

impl Shape {
    fn domain_name(ix: usize) -> String {
        format!("d{ix}")
    }

    /// Region of each failure domain.
    fn domains(&self) -> HashMap<Name, Name> {
        let regions = self.regions.iter().enumerate();
        let names = regions.map(|(ix, r)| (Name::from(Self::domain_name(ix)), Name::from(*r)));
        names.collect()
    }

    /// The nodes that serve.
    fn cell(&self) -> Vec<NodeEntry> {
        let regions = self.regions.iter().enumerate();
        let nodes: Vec<_> = regions
            .flat_map(|(ix, r)| domain(&Self::domain_name(ix), r, self.nodes, self.strong))
            .collect();
        let names = serving(&nodes, self.connections);
        nodes
            .into_iter()
            .filter(|n| names.contains(&n.name))
            .collect()
    }
}

/// Any deployment of these kinds: each serving node can call each target, and
/// together they stay within what it takes.
#[test]
fn shapes_shares_are_never_zero_nor_over_a_cap() {
    for shape in shapes() {
        let cell = shape.cell();
        let domains = shape.domains();
        let all_shares: Vec<_> = cell
            .iter()
            .map(|n| Shares::new(n, &cell, &domains, true))
            .collect();
        for region in domains.values() {
            let calls = all_shares
                .iter()
                .map(|s| s.max_calls(region, shape.connections));
            let calls: Vec<_> = calls.collect();
            assert!(calls.iter().all(|calls| *calls > 0), "{shape:?}");
            assert!(
                calls.iter().sum::<u16>() <= shape.connections,
                "{shape:?}: {calls:?}"
            );
        }
        let total: f64 = all_shares.iter().map(|s| s.total_share).sum();
        assert!(
            (total - 1.0).abs() < 1e-6,
            "{shape:?}: shares add up to {total}"
        );
    }
}

/// A caller knows nodes of its region above all, and some of another failure
/// domain and of another region where there is one: either may be lost.
#[test]
fn shapes_addresses_are_near_and_elsewhere() {
    for shape in shapes() {
        let cell = shape.cell();
        let all_regions: HashSet<_> = shape.regions.iter().collect();
        for (ix, region) in shape.regions.iter().enumerate() {
            let query = DirectoryQuery {
                region: (*region).to_owned(),
                domain: Shape::domain_name(ix),
            };
            let addresses = addresses(cell.iter(), &query, ix);
            assert!(!addresses.is_empty() && addresses.len() <= 64, "{shape:?}");
            let announced: Vec<_> = addresses
                .iter()
                .filter_map(|a| cell.iter().find(|n| n.callers == *a))
                .collect();
            let domains: HashSet<_> = announced.iter().map(|n| &n.domain).collect();
            let regions: HashSet<_> = announced.iter().map(|n| &n.region).collect();
            assert!(
                domains.len() >= 2.min(shape.regions.len()),
                "{shape:?}: {domains:?}"
            );
            assert!(
                regions.len() >= 2.min(all_regions.len()),
                "{shape:?}: {regions:?}"
            );
            let different: HashSet<_> = addresses.iter().collect();
            assert_eq!(
                different.len(),
                addresses.len(),
                "{shape:?}: an address stands twice"
            );
            let far = announced.iter().filter(|n| *n.region != *query.region);
            assert!(shape.nodes < 2 || far.count() <= 1, "{shape:?}");
        }
    }
}

/// Seeds tell nodes that start together of each other.
#[test]
fn hints_nodes_that_start_together_find_one_reader() {
    let nodes = domain("a", "x", 49, 3);
    let seed = node("seed", "b", "x", 0.5);
    let mut at_seed = Members::default();
    let mut own_views: Vec<Members> = nodes.iter().map(|_| Members::default()).collect();
    for round in 0..2 {
        for (node, view) in nodes.iter().zip(&mut own_views) {
            let now = at(round * 500);
            let hints = at_seed.hints_for(now, &seed, node);
            at_seed.add_hints(now, [node.clone()]);
            view.add_hints(now, hints);
        }
    }
    let readers = nodes.iter().zip(&own_views);
    let readers = readers.filter(|(n, view)| place(n, &view.nodes(at(600), None)).rank == 0);
    assert_eq!(readers.count(), 1);
    let late = own_views[0].nodes(at(500) + ms(3_100), None);
    assert!(late.is_empty(), "hints do not last");
}
