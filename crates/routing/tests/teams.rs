//! Tests of the lookup of teams by key, and of what a team changes about a route.

use std::time::Duration;

use heatherrun_kernel::routes::{ApiKey, Destination, Name, Repeat, Route, Team};
use heatherrun_routing::teams::{KeyIndex, TeamIx, team_route};

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|n| Name::from(*n)).collect()
}

fn team(name: &str, keys: &[&str], priority: Option<u8>, regions: &[&str]) -> Team {
    Team {
        name: Name::from(name),
        keys: keys.iter().map(|k| ApiKey::new(k)).collect(),
        per_sec: None,
        burst: 0.0,
        priority,
        regions: names(regions),
    }
}

fn route(regions: &[&str]) -> Route {
    Route {
        name: Name::from("r"),
        host: String::new(),
        prefix: "/".to_owned(),
        repeat: Repeat::Once,
        attempts: 1,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        priority: 2,
        regions: names(regions),
        is_public: false,
        to: Destination::Service(Name::from("lots")),
    }
}

#[test]
fn team_shared_key_belongs_to_the_first() {
    let teams = [
        team("a", &["k-1", "k-1"], None, &[]),
        team("b", &["k-2", "k-1"], None, &[]),
        team("c", &[], None, &[]),
    ];
    let index = KeyIndex::new(&teams);
    assert_eq!(index.team("k-1"), Some(TeamIx(0)));
    assert_eq!(index.team("k-2"), Some(TeamIx(1)));
    assert_eq!(index.team("k-3"), None);
    assert_eq!(index.shared(), [(TeamIx(0), TeamIx(1))]);
}

/// Guards against an empty intersection, which would allow all regions.
#[test]
fn team_route_regions_of_both() {
    let regions = |of_route: &[&str], of_team: &[&str]| {
        team_route(&route(of_route), &team("a", &[], None, of_team)).map(|r| r.regions)
    };
    assert_eq!(regions(&[], &[]), Some(vec![]));
    assert_eq!(regions(&["x"], &[]), Some(names(&["x"])));
    assert_eq!(regions(&[], &["x"]), Some(names(&["x"])));
    assert_eq!(regions(&["x", "y"], &["y", "z"]), Some(names(&["y"])));
    assert_eq!(regions(&["x"], &["y"]), None);
}

#[test]
fn team_route_priority_of_team_goes_first() {
    let priority = |of_team| {
        let route = team_route(&route(&[]), &team("a", &[], of_team, &[]));
        route.map(|r| r.priority)
    };
    assert_eq!(priority(None), Some(2));
    assert_eq!(priority(Some(0)), Some(0));
}
