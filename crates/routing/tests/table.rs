//! Tests of route lookup, traffic splits, plans and merging.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{
    ApiKey, CallerLimits, Config, Destination, Name, Repeat, Route, SplitPart, Team,
};
use heatherrun_routing::merge::{RECORD_BYTES, merge_greatest};
use heatherrun_routing::plan::{CallerPath, Plan};
use heatherrun_routing::route_stats::RouteLatency;
use heatherrun_routing::table::RouteTable;
use proptest::prelude::*;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: Name::from(format!("{host}{prefix}")),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Idempotent,
        attempts: 2,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 1,
        regions: Vec::new(),
        is_public: false,
        to: Destination::Service(Name::from("lots")),
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let config = Config {
        version: 1,
        routes,
        services: Vec::new(),
        teams: None,
        callers: CallerLimits { body_bytes: 1 },
    };
    RouteTable::new(Arc::new(config), 7)
}

#[test]
fn route_longest_prefix_of_host_wins() {
    let table = table(vec![
        route("a.example", "/x/"),
        route("a.example", "/x/y/"),
        route("b.example", "/"),
    ]);
    let prefix_of = |host: &str, path: &str| table.route(host, path).map(|r| r.prefix.clone());
    assert_eq!(prefix_of("a.example", "/x/y/z").as_deref(), Some("/x/y/"));
    assert_eq!(prefix_of("a.example", "/x/q").as_deref(), Some("/x/"));
    assert_eq!(prefix_of("A.example:8080", "/x/q").as_deref(), Some("/x/"));
    assert_eq!(prefix_of("a.example", "/x"), None);
    assert_eq!(prefix_of("a.example", "/xy/"), None);
    assert_eq!(prefix_of("c.example", "/x/"), None);
    assert_eq!(prefix_of("b.example", "/any").as_deref(), Some("/"));
}

/// Guards against an empty list of teams that switches all keys off.
#[test]
fn requires_keys_with_teams_however_few() {
    let team = |keys: &[&str]| Team {
        name: Name::from("red"),
        keys: keys.iter().map(|k| ApiKey::new(k)).collect(),
        per_sec: None,
        burst: 0.0,
        priority: None,
        regions: Vec::new(),
    };
    for (teams, requires_keys, has_keys) in [
        (None, false, false),
        (Some(vec![]), true, false),
        (Some(vec![team(&[])]), true, false),
        (Some(vec![team(&[]), team(&["k-1"])]), true, true),
    ] {
        let config = Config {
            teams,
            ..Config::clone(table(Vec::new()).config())
        };
        let table = RouteTable::new(Arc::new(config), 7);
        assert_eq!(
            (table.requires_keys(), table.has_keys()),
            (requires_keys, has_keys)
        );
        assert_eq!(table.team("k-1").is_some(), has_keys);
        assert!(table.team("").is_none() && table.team("k-2").is_none());
    }
}

#[test]
fn choose_part_every_300_requests_follow_the_weights() {
    let table = table(Vec::new());
    let parts: Vec<_> = [("a", 700), ("b", 200), ("c", 100)]
        .iter()
        .map(|(name, weight)| SplitPart {
            service: Name::from(*name),
            weight: *weight,
        })
        .collect();
    for _ in 0..20 {
        let chosen: Vec<_> = (0..300).filter_map(|_| table.choose_part(&parts)).collect();
        let count = |name: &str| chosen.iter().filter(|p| &*p.service == name).count();
        assert!((200..=220).contains(&count("a")), "{}", count("a"));
        assert!((50..=70).contains(&count("b")), "{}", count("b"));
    }
    assert!(table.choose_part(&[]).is_none());
}

proptest! {
    #![proptest_config(common::fixed_seed())]

    #[test]
    fn merge_greatest_equals_sort_of_all_records(
        parts in prop::collection::vec(prop::collection::vec(0..4_u8, 0..200), 0..6),
        max_records in 0..12_usize,
    ) {
        let parts: Vec<Bytes> = parts.into_iter().map(Bytes::from).collect();
        let mut all: Vec<&[u8]> = parts.iter().flat_map(|p| p.chunks_exact(RECORD_BYTES)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.truncate(max_records);
        prop_assert_eq!(merge_greatest(parts.iter(), max_records), Bytes::from(all.concat()));
    }
}

/// Time that the node takes from the point of answer until the answer is ready.
const DELAY: Duration = Duration::from_millis(5);

#[test]
fn plan_answers_before_the_objective_and_ends_before_the_caller_gives_up() {
    // A searcher becomes unresponsive; the caller must get an answer before it
    // gives up.
    let start = Time::from_millis(1_000);
    let caller_wait = Duration::from_millis(400);
    let mut search = route("a.example", "/x/");
    search.to = Destination::Shards {
        services: vec![Name::from("s0")],
        max_records: 5,
        min_coverage: 0.75,
    };
    let plan = Plan::new(&search, start, caller_wait, CallerPath::default(), DELAY);
    assert_eq!(plan.end, start + Duration::from_millis(385));
    // 7 ms of network and twice the node's own 5 ms.
    assert_eq!(plan.answer_by, start + Duration::from_millis(83));
    let answer_by =
        |delay| Plan::new(&search, start, caller_wait, CallerPath::default(), delay).answer_by;
    assert_eq!(answer_by(Duration::ZERO), start + Duration::from_millis(91));
    // A node that is far too slow still waits for two thirds of the objective.
    let slow = answer_by(Duration::from_secs(1));
    assert!(slow >= start + Duration::from_millis(59) && slow < plan.answer_by);
    assert_eq!(plan.capacity_by, start + Duration::from_millis(60));
    let single = Plan::new(
        &route("a.example", "/x/"),
        start,
        caller_wait,
        CallerPath::default(),
        DELAY,
    );
    assert_eq!(single.answer_by, single.end);
    assert!(
        single.capacity_by <= start + Duration::from_millis(25),
        "a quarter of the objective"
    );
    let long = Plan::new(
        &search,
        start,
        Duration::from_secs(9),
        CallerPath::default(),
        DELAY,
    );
    assert_eq!(long.end, start + search.timeout);
}

/// A caller of 80 ms and 800 ms connects to a near or a far node, uses the
/// connection again, or comes back after a failure. Each case: what it still
/// waits, the round trip known of its connection, and the answer that it gets
/// in time.
#[test]
fn caller_path_point_of_answer_leaves_time_for_the_way_back() {
    let ms = Duration::from_millis;
    let (longest, objective) = (ms(800), ms(80));
    // (remaining, known round trip, spent, round trip)
    let cases = [
        ("near, first request", 794, 0, 6, 6),
        ("near, kept connection", 800, 6, 0, 6),
        ("other region, first request", 778, 0, 22, 22),
        ("other region, kept connection", 800, 22, 0, 22),
        ("second try, new connection", 400, 0, 0, 0),
        ("second try, kept connection", 400, 22, 0, 22),
    ];
    for (case, remaining, known, spent, round_trip) in cases {
        let path = CallerPath::new(ms(remaining), longest, objective, ms(known));
        let expected = CallerPath {
            spent: ms(spent),
            round_trip: ms(round_trip),
        };
        assert_eq!(path, expected, "{case}");
        let mut search = route("a.example", "/x/");
        search.objective = objective;
        search.to = Destination::Shards {
            services: vec![Name::from("s0")],
            max_records: 5,
            min_coverage: 0.75,
        };
        let start = Time::from_millis(1_000);
        let plan = Plan::new(&search, start, ms(remaining), path, ms(1));
        // Seen from the caller: the time spent, the way here, the wait and the
        // way back.
        let total = ms(spent) + ms(round_trip) + plan.answer_by.since(start) + ms(1);
        assert!(total <= objective, "{case}: {total:?}");
        assert!(total >= ms(60), "{case}: {total:?}");
    }
}

#[test]
fn record_wait_one_far_longer_time_is_forgotten() {
    let latency = RouteLatency::default();
    let wait = Duration::from_millis;
    assert_eq!(latency.record_wait(wait(800)), wait(800));
    assert_eq!(latency.record_wait(wait(778)), wait(800));
    let after = latency.record_wait(wait(800));
    assert!(after >= wait(799), "{after:?}");
    // A caller that would wait for eleven days.
    latency.record_wait(wait(1_000_000_000));
    for _ in 0..6_000 {
        latency.record_wait(wait(800));
    }
    assert!(latency.record_wait(wait(800)) < wait(801));
}
