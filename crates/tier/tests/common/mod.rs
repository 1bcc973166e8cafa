//! Seven nodes in three failure domains, watched all the time for what must
//! never happen.

// Each test file uses a part of this.
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

/// Nodes by failure domain.
const PLACES: [&str; 7] = [
    "wallis", "wallis", "wallis", "ticino", "ticino", "zurich", "zurich",
];

/// Time between two looks of the watcher.
const LOOK: Duration = Duration::from_millis(50);

type Watched = Arc<Mutex<Vec<(Arc<Node>, Arc<Gate>)>>>;

/// The tier with its watcher.
pub struct Tier {
    pub mesh: Mesh,
    pub config: v1::TierConfig,
    watched: Watched,
    faults: Arc<Mutex<Vec<String>>>,
}

impl Tier {
    /// Starts the tier and waits until every node has everything in force.
    pub async fn start() -> Self {
        let mut mesh = Mesh::default();
        for (n, domain) in PLACES.iter().enumerate() {
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
            watched: Watched::default(),
            faults: Arc::default(),
        };
        tier.watch();
        let answer = tier.apply(0, 0).await;
        assert!(answer.accepted, "{answer:?}");
        tier.settle(answer.revision).await;
        tier
    }

    /// Node at a position.
    pub fn node(&self, at: usize) -> &Arc<Node> {
        &self.mesh.nodes[at].node
    }

    /// Applies the configuration through one node.
    pub async fn apply(&self, at: usize, base: u64) -> v1::ApplyAnswer {
        let request = v1::ApplyRequest {
            config: Some(self.config.clone()),
            base,
            dry_run: false,
        };
        self.node(at).apply(request).await.unwrap()
    }

    /// Takes a failure domain out or brings it back.
    pub async fn set_domain(&self, at: usize, domain: &str, out: bool) -> v1::ApplyAnswer {
        let request = v1::DomainRequest {
            domain: domain.to_owned(),
            out,
            dry_run: false,
        };
        self.node(at).set_domain(request).await.unwrap()
    }

    /// Waits until `revision` is in force everywhere and all is owned.
    pub async fn settle(&self, revision: u64) {
        for local in self.mesh.nodes.iter().filter(|n| n.runs()) {
            let got = local.node.refresh(Revision(revision)).await;
            assert!(
                got.0 >= revision,
                "{} stands at {got}",
                local.node.info.name
            );
        }
    }

    /// Position of the node that leads `domain`.
    pub fn leader(&self, domain: &str) -> Option<usize> {
        let nodes = &self.mesh.nodes;
        nodes
            .iter()
            .position(|n| n.domain == domain && n.runs() && n.node.control.leads())
    }

    /// Position of a node of `domain` that does not lead it.
    pub fn member(&self, domain: &str) -> usize {
        let nodes = &self.mesh.nodes;
        let found = nodes
            .iter()
            .position(|n| n.domain == domain && n.runs() && !n.node.control.leads());
        found.unwrap()
    }

    /// Revision in force on each running node.
    pub fn revisions(&self) -> Vec<u64> {
        let running = self.mesh.nodes.iter().filter(|n| n.runs());
        running.map(|n| n.node.view.load().revision.0).collect()
    }

    /// Units that a node may use now.
    pub fn held(&self, at: usize) -> usize {
        let node = self.node(at);
        let now = node.clock.now();
        let right = node.owner.right();
        all_units(node)
            .filter(|unit| right(*unit, now).is_some())
            .count()
    }

    /// Owners as one node sees them.
    pub fn owners(&self, at: usize) -> BTreeMap<TargetId, NodeId> {
        let view = self.node(at).view.load_full();
        view.owners
            .iter()
            .map(|(unit, owner)| (*unit, owner.node))
            .collect()
    }

    /// A search through one node; the shards it reached.
    pub async fn search(&self, at: usize) -> Result<u32, Box<v1::Refusal>> {
        let ask = v1::SearchRequest {
            service: "lotes".to_owned(),
            query: "kernels".to_owned(),
            deadline_ms: 1_000,
            ..v1::SearchRequest::default()
        };
        let answer = self.node(at).entry.search(ask).await?;
        Ok(answer.coverage.unwrap_or_default().reached)
    }

    /// Fails when something happened that must never.
    pub fn check(&self) {
        let faults = self.faults.lock().unwrap();
        assert!(faults.is_empty(), "{:#?}", &faults[..faults.len().min(8)]);
    }

    /// Takes nodes that were added later into the watch.
    pub fn enlist(&mut self) {
        let nodes = self.mesh.nodes.iter();
        let all = nodes.map(|n| (Arc::clone(&n.node), Arc::clone(&n.gate)));
        *self.watched.lock().unwrap() = all.collect();
    }

    /// Kills a node.
    pub fn kill(&mut self, at: usize) {
        self.mesh.kill(at);
        let id = self.node(at).info.id;
        self.watched
            .lock()
            .unwrap()
            .retain(|(n, _)| n.info.id != id);
    }

    fn watch(&mut self) {
        self.enlist();
        let watched = Arc::clone(&self.watched);
        let faults = Arc::clone(&self.faults);
        tokio::spawn(async move {
            let mut shown = HashMap::new();
            loop {
                let nodes = watched.lock().unwrap().clone();
                look(&nodes, &mut shown, &faults);
                tokio::time::sleep(LOOK).await;
            }
        });
    }
}

fn all_units(node: &Node) -> impl Iterator<Item = TargetId> + use<> {
    let targets: Vec<_> = node.view.load().targets.keys().copied().collect();
    targets.into_iter().chain(partitions())
}

fn partitions() -> impl Iterator<Item = TargetId> {
    (0..ONCE_PARTITIONS).map(|n| TargetId::of_partition("recibos", n))
}

/// Never two holders whose shares exceed the limit, never an older revision.
fn look(
    nodes: &[(Arc<Node>, Arc<Gate>)],
    shown: &mut HashMap<NodeId, Revision>,
    faults: &Mutex<Vec<String>>,
) {
    let mut shares: HashMap<TargetId, (u32, Vec<String>)> = HashMap::new();
    for (node, gate) in nodes {
        if gate.is_closed() {
            continue;
        }
        let revision = node.view.load().revision;
        let before = shown.insert(node.info.id, revision).unwrap_or_default();
        if revision < before {
            let fault = format!("{} went back from {before} to {revision}", node.info.name);
            faults.lock().unwrap().push(fault);
        }
        let now = node.clock.now();
        for unit in all_units(node) {
            if let Some(right) = (node.owner.right())(unit, now) {
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
        let once = partitions().any(|p| p == unit);
        if share > 100 || (once && holders.len() > 1) {
            let fault = format!("unit {unit} is used by {holders:?}");
            faults.lock().unwrap().push(fault);
        }
    }
}
