//! A tier so large that not every node serves every service: each service has
//! a cell, a subset of the nodes that serves it and owns its targets.

use std::time::Duration;

use heatherrun_fakes::mesh::Mesh;
use heatherrun_fakes::searcher::Settings;
use heatherrun_kernel::Revision;
use heatherrun_schema::v1::{self, Operator};

const DOMAINS: [&str; 3] = ["wallis", "ticino", "zurich"];

/// Number of nodes: more than the largest tier whose nodes serve everything.
const NODES: usize = 30;

/// Services, each with its own cell.
const SERVICES: [&str; 4] = ["lotes", "balanca", "buyer-desk", "grower-portal"];

/// Shards of each service.
const SHARDS: u16 = 4;

async fn start_tier() -> (Mesh, v1::TierConfig) {
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

/// Indexes of the nodes whose addresses are offered to callers of `service`.
fn offered_nodes(mesh: &Mesh, service: &str) -> Vec<usize> {
    let answer = mesh.nodes[0].node.addresses(service);
    let mut found = Vec::new();
    for (index, local) in mesh.nodes.iter().enumerate() {
        let caller_address = local.node.info.callers.to_string();
        if answer.addresses.iter().any(|a| a.address == caller_address) {
            found.push(index);
        }
    }
    found
}

/// Number of nodes on which the configuration is in force, and of all nodes, as
/// reported by the node at `index`.
async fn reported_force(mesh: &Mesh, index: usize) -> (u32, u32) {
    let status = mesh.nodes[index].node.status(v1::StatusRequest {}).await;
    let force = status.unwrap().force.unwrap_or_default();
    (force.nodes, force.total)
}

#[tokio::test(start_paused = true)]
async fn status_on_every_node_counts_nodes_in_force() {
    let (mesh, _) = start_tier().await;
    let all = u32::try_from(NODES).unwrap();
    for index in 0..NODES {
        assert_eq!(
            reported_force(&mesh, index).await,
            (all, all),
            "as reported by node {index}"
        );
    }
}

async fn search_reached(mesh: &Mesh, index: usize, service: &str) -> Result<u32, String> {
    let request = v1::SearchRequest {
        service: service.to_owned(),
        query: "kernels".to_owned(),
        deadline_ms: 1_000,
        min_coverage: 100,
        ..v1::SearchRequest::default()
    };
    let answer = mesh.nodes[index].node.entry.search(request).await;
    answer
        .map(|a| a.coverage.map_or(0, |c| c.reached))
        .map_err(|refused| format!("{} {}", refused.kind, refused.detail))
}

#[tokio::test(start_paused = true)]
async fn search_through_cell_covers_all_shards() {
    let (mesh, _) = start_tier().await;
    for service in SERVICES {
        let cell = offered_nodes(&mesh, service);
        assert!(
            cell.len() < NODES,
            "the cell must be a proper subset of the tier"
        );
        assert!(cell.len() >= DOMAINS.len());
        for index in cell {
            let shards_reached = search_reached(&mesh, index, service).await;
            assert_eq!(
                shards_reached,
                Ok(u32::from(SHARDS)),
                "{service} through node {index}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn search_after_cell_nodes_lost_covers_all_shards() {
    let (mut mesh, _) = start_tier().await;
    let cell = offered_nodes(&mesh, SERVICES[0]);
    let lost: Vec<usize> = cell
        .into_iter()
        .filter(|index| *index != 0)
        .take(6)
        .collect();
    for index in &lost {
        mesh.kill(*index);
    }
    mesh.list();
    tokio::time::sleep(Duration::from_secs(40)).await;
    for service in SERVICES {
        let cell = offered_nodes(&mesh, service);
        assert!(cell.iter().all(|index| !lost.contains(index)));
        for index in cell {
            let shards_reached = search_reached(&mesh, index, service).await;
            assert_eq!(
                shards_reached,
                Ok(u32::from(SHARDS)),
                "{service} through node {index}"
            );
        }
    }
    assert!(mesh.nodes[0].node.view.load().revision > Revision(0));
}
