//! A tier of more nodes than serve every service: each service has a cell of
//! nodes, which own its targets too.

use std::time::Duration;

use heatherrun_fakes::mesh::Mesh;
use heatherrun_fakes::searcher::Settings;
use heatherrun_kernel::Revision;
use heatherrun_schema::v1::{self, Operator};

const DOMAINS: [&str; 3] = ["wallis", "ticino", "zurich"];

/// Nodes: more than serve everything.
const NODES: usize = 30;

/// Services; each has a cell of its own.
const SERVICES: [&str; 4] = ["lotes", "balanca", "buyer-desk", "grower-portal"];

/// Shards of each service.
const SHARDS: u16 = 4;

async fn start() -> (Mesh, v1::TierConfig) {
    let mut mesh = Mesh::default();
    for n in 0..NODES {
        mesh.add_node(&format!("entry-{n}"), DOMAINS[n % DOMAINS.len()]);
    }
    let mut services = Vec::new();
    for name in SERVICES {
        services.push(mesh.add_sharded(name, SHARDS, &DOMAINS, &Settings::default()));
    }
    let domain = |name: &&str| v1::FailureDomain {
        name: (*name).to_owned(),
        ..v1::FailureDomain::default()
    };
    let config = v1::TierConfig {
        domains: DOMAINS.iter().map(domain).collect(),
        services,
    };
    let request = v1::ApplyRequest {
        config: Some(config.clone()),
        ..v1::ApplyRequest::default()
    };
    let mut accepted = false;
    for _ in 0..20 {
        accepted = mesh.nodes[0]
            .node
            .apply(request.clone())
            .await
            .is_ok_and(|a| a.accepted);
        if accepted {
            break;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    assert!(accepted);
    tokio::time::sleep(Duration::from_secs(30)).await;
    (mesh, config)
}

/// Positions of the nodes that are offered to callers of `service`.
fn offered(mesh: &Mesh, service: &str) -> Vec<usize> {
    let answer = mesh.nodes[0].node.addresses(service);
    let mut found = Vec::new();
    for (at, one) in mesh.nodes.iter().enumerate() {
        let own = one.node.info.callers.to_string();
        if answer.addresses.iter().any(|a| a.address == own) {
            found.push(at);
        }
    }
    found
}

/// Nodes that have the configuration in force, as each node tells it.
async fn told(mesh: &Mesh, at: usize) -> (u32, u32) {
    let status = mesh.nodes[at].node.status(v1::StatusRequest {}).await;
    let force = status.unwrap().force.unwrap_or_default();
    (force.nodes, force.total)
}

#[tokio::test(start_paused = true)]
async fn status_of_every_node_tells_where_it_is_in_force() {
    let (mesh, _) = start().await;
    let all = u32::try_from(NODES).unwrap();
    for at in 0..NODES {
        assert_eq!(told(&mesh, at).await, (all, all), "as told by node {at}");
    }
}

async fn reached(mesh: &Mesh, at: usize, service: &str) -> Result<u32, String> {
    let ask = v1::SearchRequest {
        service: service.to_owned(),
        query: "kernels".to_owned(),
        deadline_ms: 1_000,
        min_coverage: 100,
        ..v1::SearchRequest::default()
    };
    let answer = mesh.nodes[at].node.entry.search(ask).await;
    answer
        .map(|a| a.coverage.map_or(0, |c| c.reached))
        .map_err(|refused| format!("{} {}", refused.kind, refused.detail))
}

#[tokio::test(start_paused = true)]
async fn search_through_every_node_of_a_cell_covers_all() {
    let (mesh, _) = start().await;
    for service in SERVICES {
        let cell = offered(&mesh, service);
        assert!(cell.len() < NODES, "a cell is a part of the tier");
        assert!(cell.len() >= DOMAINS.len());
        for at in cell {
            let got = reached(&mesh, at, service).await;
            assert_eq!(got, Ok(u32::from(SHARDS)), "{service} through node {at}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn search_after_nodes_of_a_cell_are_lost_covers_all() {
    let (mut mesh, _) = start().await;
    let cell = offered(&mesh, SERVICES[0]);
    let lost: Vec<usize> = cell.into_iter().filter(|at| *at != 0).take(6).collect();
    for at in &lost {
        mesh.kill(*at);
    }
    mesh.list();
    tokio::time::sleep(Duration::from_secs(40)).await;
    for service in SERVICES {
        let cell = offered(&mesh, service);
        assert!(cell.iter().all(|at| !lost.contains(at)));
        for at in cell {
            let got = reached(&mesh, at, service).await;
            assert_eq!(got, Ok(u32::from(SHARDS)), "{service} through node {at}");
        }
    }
    assert!(mesh.nodes[0].node.view.load().revision > Revision(0));
}
