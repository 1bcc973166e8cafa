//! The example files in `examples/` have no faults or warnings, and their
//! services have the expected sizes.

use std::{fs, path::Path};

use heatherrun_schema::v1::{self, service::Kind};
use heatherrun_settings::{Settings, check, read_node};

fn read_example(name: &str) -> Settings {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let text = fs::read_to_string(path.join(name)).unwrap();
    let checked = check(name, &text).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(checked.warnings, []);
    checked.value
}

/// Name of the service, number of its shards or searchers, and slots of its
/// first searcher.
fn service_size(service: &v1::Service) -> (&str, usize, u32) {
    let (size, searcher) = match service.kind.as_ref().unwrap() {
        Kind::Sharded(s) => (s.shards.len(), &s.shards[0].replicas[0]),
        Kind::Pooled(p) => (p.searchers.len(), &p.searchers[0]),
    };
    (&service.name, size, searcher.slots)
}

fn assert_service_sizes(name: &str, expected: [(&str, usize, u32); 4]) {
    let Settings::Tier(config) = read_example(name) else {
        panic!("{name} is not a tier configuration");
    };
    let found: Vec<_> = config.services.iter().map(service_size).collect();
    assert_eq!(found, expected);
    for service in &config.services {
        let Some(Kind::Sharded(sharded)) = &service.kind else {
            continue;
        };
        for shard in &sharded.shards {
            let domains: Vec<_> = shard.replicas.iter().map(|r| r.domain.as_str()).collect();
            let declared: Vec<_> = config.domains.iter().map(|d| d.name.as_str()).collect();
            assert_eq!(domains, declared);
        }
    }
}

#[test]
fn check_kernwerk_example() {
    assert_service_sizes(
        "kernwerk.jsonc",
        [
            ("buyer-desk", 10, 3),
            ("grower-portal", 15, 3),
            ("lot-viewer", 10, 6),
            ("broker-feed", 4, 6),
        ],
    );
}

#[test]
fn check_cooperative_example() {
    assert_service_sizes(
        "cooperative.jsonc",
        [
            ("lotes", 10, 2),
            ("balanca", 15, 2),
            ("recibos", 5, 6),
            ("compradores", 3, 6),
        ],
    );
}

#[test]
fn read_node_fills_defaults() {
    let text = r#"{"name": "a", "domain": "b", "callers": "10.0.0.1:1", "peers": "10.0.0.1:2",
        "operators": "10.0.0.1:3", "platform": "10.0.0.2:1", "address_secs": 200}"#;
    let node = read_node("node.jsonc", text).unwrap().value;
    assert_eq!((node.log.as_str(), node.stop_secs), ("info", 400));
    assert_eq!((node.memory_mb, node.max_fds), (256, 4_096));
}

#[test]
fn check_node_example() {
    assert!(matches!(read_example("node.jsonc"), Settings::Node(_)));
}

/// Renders the settings template as the platform does, with the same value for
/// most of its fields, with or without the sections of teams and roll-outs.
fn render_template(has_sections: bool) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/node.jsonc");
    let template = fs::read_to_string(path).unwrap();
    let (mut text, mut rest) = (String::new(), &*template);
    while let Some((before, tag)) = rest.split_once("{{") {
        let (name, after) = tag.split_once("}}").unwrap();
        text.push_str(before);
        rest = after;
        let skipped = name.strip_prefix('#');
        let skipped = skipped.filter(|s| !has_sections || *s == "zones");
        if let Some(section) = skipped {
            let end = format!("{{{{/{section}}}}}");
            rest = after.split_once(end.as_str()).unwrap().1;
        } else if !name.starts_with(['#', '/']) {
            // Each address has a port of its own.
            let address = format!("\"10.0.0.1:{}\"", text.len());
            text.push_str(match name {
                "bounds.strictRevoke" => "true",
                "limits.memoryMb" | "limits.maxFds" => "260",
                "seeds|json" => "[]",
                "ip" => "10.0.0.1",
                "nodeName|json" | "zone|json" | "region|json" => "\"a\"",
                _ if name.ends_with("|json") => &address,
                _ => "1",
            });
        }
    }
    text + rest
}

/// Guards against a template that is valid in deployments with teams only, or
/// without them only.
#[test]
fn read_node_template_with_and_without_teams() {
    for has_teams in [false, true] {
        let text = render_template(has_teams);
        let node = read_node("node.jsonc", &text).unwrap_or_else(|e| panic!("{e}\n{text}"));
        let gateway = node.value.gateway.unwrap();
        assert_eq!(gateway.rollout.is_some(), has_teams);
        let teams = gateway.teams;
        assert_eq!(teams.is_some(), has_teams);
        assert!(teams.is_none_or(|t| t.strict_revoke && t.revoke_ms == 1));
    }
}

/// Guards against a node that does not start where the platform leaves these
/// sections out of its settings, and against one that ignores them.
#[test]
fn read_node_with_and_without_rollout_limits() {
    let text = r#"{
        "name": "n", "domain": "a", "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
        "operators": "127.0.0.1:3", "platform": "127.0.0.1:4",
        "gateway": {
            "site": "platform", "region": "near", "ready": "127.0.0.1:5",
            "domains": [{"name": "a", "region": "near"}], "seeds": [], "extra_share": 0.2,
            "extra_slack": 56, "extra_secs": 10, "cpu_share": 0.25, "cpu_speed": 1.0,
            "keep_secs": 5, ROLLOUT
        },
    }"#;
    let rollout = r#""rollout": {"expose_share": 0.1, "expose_slack": 50, "rollback_ms": 5000},"#;
    for (section, expected) in [("", None), (rollout, Some(50))] {
        let text = text.replace("ROLLOUT", section);
        let node = read_node("node.jsonc", &text).unwrap().value;
        let limits = node.gateway.unwrap().rollout;
        assert_eq!(limits.map(|l| l.expose_slack), expected);
    }
}
