//! Property tests: valid configurations round-trip, and no text makes the check
//! panic.

use std::{fs, path::Path};

use heatherrun_schema::v1;
use heatherrun_settings::{check, read_tier};
use proptest::prelude::*;

/// Random cases for each property.
const CASES: u32 = 200;

fn searcher(name: String, address_ix: u32, slots: u32) -> v1::Searcher {
    v1::Searcher {
        name,
        address: format!("10.0.{}.{}:9000", address_ix / 250, address_ix % 250 + 1),
        domain: format!("domain-{}", address_ix % 3),
        slots,
        connections: slots * 4,
    }
}

fn service(ix: u32, sharded: bool, size: u32, slots: u32) -> v1::Service {
    let address_base = ix * 100;
    let group = |base: u32| -> Vec<_> {
        let replica = |n: u32| searcher(format!("s-{}", base + n), address_base + base + n, slots);
        (0..3).map(replica).collect()
    };
    let kind = if sharded {
        let shard = |index| v1::Shard {
            index,
            replicas: group(index * 3),
        };
        v1::service::Kind::Sharded(v1::Sharded {
            shards: (0..size).map(shard).collect(),
        })
    } else {
        v1::service::Kind::Pooled(v1::Pooled {
            searchers: group(0),
        })
    };
    v1::Service {
        name: format!("service-{ix}"),
        kind: Some(kind),
        limits: Some(v1::Limits {
            deadline_ms: 100 + slots,
            deadline_max: 1_000,
            ..v1::Limits::default()
        }),
        objectives: None,
    }
}

prop_compose! {
    fn tier_config()(services in prop::collection::vec((any::<bool>(), 1..20_u32, 1..9_u32), 1..4)) -> v1::TierConfig {
        let domain = |n| v1::FailureDomain {
            name: format!("domain-{n}"),
            region: "alps".to_owned(),
            out: n == 2,
        };
        let config_services = services.iter().enumerate().map(|(ix, (sharded, size, slots))| {
            service(u32::try_from(ix).unwrap(), *sharded, *size, *slots)
        });
        v1::TierConfig {
            domains: (0..3).map(domain).collect(),
            services: config_services.collect(),
        }
    }
}

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn read_valid_config_round_trips(config in tier_config()) {
        let text = serde_json::to_string_pretty(&config).unwrap();
        let read = read_tier("random.jsonc", &text);
        prop_assert_eq!(read.map(|c| c.value), Ok(config));
    }

    #[test]
    fn check_random_text_never_panics(text in ".{0,200}") {
        let _ = check("random.jsonc", &text);
    }

    #[test]
    fn check_damaged_file_never_panics(at in 0..2_000_usize, inserted in "[\\[\\]{}\",:0-9a-z/*]{0,4}", deleted in 0..40_usize) {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/tier.jsonc");
        let clean = fs::read_to_string(path).unwrap();
        let at = at % clean.len();
        let end = (at + deleted).min(clean.len());
        let damaged = format!("{}{inserted}{}", &clean[..at], &clean[end..]);
        let _ = check("random.jsonc", &damaged);
    }
}
