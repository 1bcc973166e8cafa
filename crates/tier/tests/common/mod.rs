//! A tier of seven nodes in three failure domains. A background task checks its
//! invariants all the time: no unit is used beyond its limit, and no node goes
//! back to an older revision.

// Each test file uses only some of these functions.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use heatherrun_fakes::gate::Gate;
use heatherrun_fakes::mesh::Mesh;
use heatherrun_fakes::searcher::Settings;
use heatherrun_kernel::{NodeId, ONCE_PARTITIONS, Revision, TargetId};
use heatherrun_schema::v1::{self, Operator};
use heatherrun_tier::node::Node;

/// Failure domains.
pub const DOMAINS: [&str; 3] = ["wallis", "ticino", "zurich"];

/// Failure domain of each node.
const NODE_DOMAINS: [&str; 7] = [
    "wallis", "wallis", "wallis", "ticino", "ticino", "zurich", "zurich",
];

/// Interval between two checks of the invariants.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

type CheckedNodes = Arc<Mutex<Vec<(Arc<Node>, Arc<Gate>)>>>;

/// The tier with the task that checks its invariants.
pub struct Tier {
    pub mesh: Mesh,
    pub config: v1::TierConfig,
    checked_nodes: CheckedNodes,
    violations: Arc<Mutex<Vec<String>>>,
}

impl Tier {
    /// Starts the tier and waits until its configuration is in force everywhere.
    pub async fn start() -> Self {
        let mut mesh = Mesh::default();
        for (n, domain) in NODE_DOMAINS.iter().enumerate() {
            mesh.add_node(&format!("entry-{n}"), domain);
        }
        let sharded = mesh.add_sharded("lotes", 4, &DOMAINS, &Settings::default());
        let searchers = DOMAINS
            .iter()
            .map(|d| mesh.add_searcher("recibos", &format!("recibos-{d}"), d, Settings::default()));
        let pooled = v1::Service {
            name: "recibos".to_owned(),
            kind: Some(v1::service::Kind::Pooled(v1::Pooled {
                searchers: searchers.collect(),
            })),
            limits: Some(v1::Limits::default()),
            objectives: Some(v1::Objectives::default()),
        };
        let domain = |name: &&str| v1::FailureDomain {
            name: (*name).to_owned(),
            ..v1::FailureDomain::default()
        };
        let mut tier = Self {
            mesh,
            config: v1::TierConfig {
                domains: DOMAINS.iter().map(domain).collect(),
                services: vec![sharded, pooled],
            },
            checked_nodes: CheckedNodes::default(),
            violations: Arc::default(),
        };
        tier.spawn_checks();
        let answer = tier.apply(0, 0).await;
        assert!(answer.accepted, "{answer:?}");
        tier.wait_in_force(answer.revision).await;
        tier
    }

    /// Node at an index.
    pub fn node(&self, index: usize) -> &Arc<Node> {
        &self.mesh.nodes[index].node
    }

    /// Applies the configuration through one node.
    pub async fn apply(&self, index: usize, base: u64) -> v1::ApplyAnswer {
        let request = v1::ApplyRequest {
            config: Some(self.config.clone()),
            base,
            dry_run: false,
        };
        self.node(index).apply(request).await.unwrap()
    }

    /// Takes a failure domain out of service or brings it back.
    pub async fn set_domain(&self, index: usize, domain: &str, out: bool) -> v1::ApplyAnswer {
        let request = v1::DomainRequest {
            domain: domain.to_owned(),
            out,
            dry_run: false,
        };
        self.node(index).set_domain(request).await.unwrap()
    }

    /// Waits until `revision` is in force on all running nodes and each target
    /// has an owner.
    pub async fn wait_in_force(&self, revision: u64) {
        for local in self.mesh.nodes.iter().filter(|n| n.runs()) {
            let revision_reached = local.node.refresh(Revision(revision)).await;
            assert!(
                revision_reached.0 >= revision,
                "{} is still at revision {revision_reached}",
                local.node.info.name
            );
        }
    }

    /// Index of the node that leads `domain`.
    pub fn leader(&self, domain: &str) -> Option<usize> {
        let nodes = &self.mesh.nodes;
        nodes
            .iter()
            .position(|n| n.domain == domain && n.runs() && n.node.control.leads())
    }

    /// Index of a node of `domain` that does not lead it.
    pub fn member(&self, domain: &str) -> usize {
        let nodes = &self.mesh.nodes;
        let member = nodes
            .iter()
            .position(|n| n.domain == domain && n.runs() && !n.node.control.leads());
        member.unwrap()
    }

    /// Revision in force on each running node.
    pub fn revisions(&self) -> Vec<u64> {
        let running = self.mesh.nodes.iter().filter(|n| n.runs());
        running.map(|n| n.node.view.load().revision.0).collect()
    }

    /// Number of units (targets and partitions) that a node may use now.
    pub fn held_units(&self, index: usize) -> usize {
        let node = self.node(index);
        let now = node.clock.now();
        let right_fn = node.owner.right_fn();
        all_units(node)
            .filter(|unit| right_fn(*unit, now).is_some())
            .count()
    }

    /// Owners according to the view of one node.
    pub fn owners(&self, index: usize) -> BTreeMap<TargetId, NodeId> {
        let view = self.node(index).view.load_full();
        view.owners
            .iter()
            .map(|(unit, owner)| (*unit, owner.node))
            .collect()
    }

    /// Searches through one node; returns the number of shards reached.
    pub async fn search(&self, index: usize) -> Result<u32, Box<v1::Refusal>> {
        let request = v1::SearchRequest {
            service: "lotes".to_owned(),
            query: "kernels".to_owned(),
            deadline_ms: 1_000,
            ..v1::SearchRequest::default()
        };
        let answer = self.node(index).entry.search(request).await?;
        Ok(answer.coverage.unwrap_or_default().reached)
    }

    /// Fails if an invariant was violated.
    pub fn assert_invariants(&self) {
        let violations = self.violations.lock().unwrap();
        assert!(
            violations.is_empty(),
            "{:#?}",
            &violations[..violations.len().min(8)]
        );
    }

    /// Checks all nodes from now on, also those that were added later.
    pub fn check_all_nodes(&mut self) {
        let nodes = self.mesh.nodes.iter();
        let nodes_with_gates = nodes.map(|n| (Arc::clone(&n.node), Arc::clone(&n.gate)));
        *self.checked_nodes.lock().unwrap() = nodes_with_gates.collect();
    }

    /// Kills a node, which is no longer checked.
    pub fn kill(&mut self, index: usize) {
        self.mesh.kill(index);
        let id = self.node(index).info.id;
        self.checked_nodes
            .lock()
            .unwrap()
            .retain(|(n, _)| n.info.id != id);
    }

    fn spawn_checks(&mut self) {
        self.check_all_nodes();
        let checked_nodes = Arc::clone(&self.checked_nodes);
        let violations = Arc::clone(&self.violations);
        tokio::spawn(async move {
            let mut last_revisions = HashMap::new();
            loop {
                let nodes = checked_nodes.lock().unwrap().clone();
                check_invariants(&nodes, &mut last_revisions, &violations);
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        });
    }
}

fn all_units(node: &Node) -> impl Iterator<Item = TargetId> + use<> {
    let targets: Vec<_> = node.view.load().targets.keys().copied().collect();
    targets.into_iter().chain(partitions())
}

fn partitions() -> impl Iterator<Item = TargetId> {
    (0..ONCE_PARTITIONS).map(|n| TargetId::from_partition("recibos", n))
}

/// Checks that the holders of a unit together stay within its limit, that a
/// partition has one holder, and that no node goes back to an older revision.
/// Paused nodes are left out.
fn check_invariants(
    nodes: &[(Arc<Node>, Arc<Gate>)],
    last_revisions: &mut HashMap<NodeId, Revision>,
    violations: &Mutex<Vec<String>>,
) {
    let mut shares: HashMap<TargetId, (u32, Vec<String>)> = HashMap::new();
    for (node, gate) in nodes {
        if gate.is_closed() {
            continue;
        }
        let revision = node.view.load().revision;
        let last_revision = last_revisions
            .insert(node.info.id, revision)
            .unwrap_or_default();
        if revision < last_revision {
            let violation = format!(
                "{} went back from revision {last_revision} to {revision}",
                node.info.name
            );
            violations.lock().unwrap().push(violation);
        }
        let now = node.clock.now();
        for unit in all_units(node) {
            if let Some(right) = (node.owner.right_fn())(unit, now) {
                let entry = shares.entry(unit).or_default();
                entry.0 += u32::from(right.share);
                entry.1.push(format!(
                    "{} {} {}",
                    node.info.name, right.epoch, right.share
                ));
            }
        }
    }
    for (unit, (share, holders)) in shares {
        let is_partition = partitions().any(|p| p == unit);
        if share > 100 || (is_partition && holders.len() > 1) {
            let violation = format!("unit {unit} is used by {holders:?}");
            violations.lock().unwrap().push(violation);
        }
    }
}
