//! Targets, nodes and plans for the routing tests.

#![allow(dead_code, reason = "each test file uses some of these")]

pub mod test_node;

use std::sync::Arc;
use std::time::Duration;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, NodeEntry, Repeat, TargetEntry};
use heatherrun_routing::plan::Plan;
use heatherrun_routing::target::{Distance, Location, Target};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

/// Proptest configuration with a fixed seed: the same cases in each run.
pub fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

/// Time `millis` milliseconds after the start of the clock.
pub const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn entry(id: &str) -> TargetEntry {
    TargetEntry {
        id: Name::from(id),
        service: Name::from("lots"),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: Name::from("near-a"),
        slots: 3,
        draining: false,
        warmup: Duration::ZERO,
        born: 1,
        report_seq: 1,
        version: Name::default(),
    }
}

pub fn location(distance: Distance) -> Location {
    let region = if distance == Distance::Far {
        "far"
    } else {
        "near"
    };
    Location {
        region: Name::from(region),
        distance,
    }
}

pub fn target(id: &str, distance: Distance) -> Arc<Target> {
    Arc::new(Target::new(at(0), entry(id), location(distance)))
}

pub fn node(name: &str, domain: &str, region: &str, power: f64) -> NodeEntry {
    let port_offset = name
        .bytes()
        .fold(0, |n: u16, b| n.wrapping_mul(31).wrapping_add(b.into()))
        % 9_973;
    NodeEntry {
        name: Name::from(name),
        callers: format!("127.0.0.1:{}", 1_000 + port_offset)
            .parse()
            .unwrap(),
        peers: format!("127.0.0.1:{}", 2_000 + port_offset)
            .parse()
            .unwrap(),
        domain: Name::from(domain),
        region: Name::from(region),
        power,
        busy: false,
    }
}

/// Plan of a search with a latency objective of 80 ms and a deadline of 800 ms.
pub fn plan(min_share: f64) -> Plan {
    Plan {
        repeat: Repeat::Idempotent,
        attempts: 2,
        answer_by: at(67),
        capacity_by: at(16),
        end: at(794),
        min_share,
        is_repeat: false,
    }
}
