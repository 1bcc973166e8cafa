//! A handful of real nodes, control side included, under a steady load while
//! something goes wrong: the experiments `domain` and `store`.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use heatherrun_fakes::mesh::Mesh;
use heatherrun_fakes::searcher::Settings;
use heatherrun_kernel::{DomainId, Revision};
use heatherrun_schema::v1::{self, Operator};
use heatherrun_tier::node::Node;
use tokio::time::{Instant, sleep};

/// Failure domains.
pub const DOMAINS: [&str; 3] = ["wallis", "ticino", "zurich"];

/// Nodes by failure domain.
const PLACES: [&str; 7] = [
    "wallis", "wallis", "wallis", "ticino", "ticino", "zurich", "zurich",
];

/// Shards of the service, each with a replica in each failure domain.
const SHARDS: u16 = 24;

/// Time between two searches.
const EVERY: Duration = Duration::from_millis(20);

/// Deadline of a search, in milliseconds.
const DEADLINE_MS: u32 = 500;

/// How the searches of one phase went.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Searches.
    pub asked: u32,
    /// Answers with every shard.
    pub whole: u32,
    /// Answers with some shards missing.
    pub partial: u32,
    /// Refusals.
    pub refused: u32,
    /// Offered nodes that were not there; their callers ask another one.
    pub absent: u32,
    /// Calls to searchers.
    pub calls: u32,
    took: Vec<u64>,
}

impl Tally {
    fn note(&mut self, answer: Result<v1::SearchAnswer, Box<v1::Refusal>>) {
        self.asked += 1;
        let Ok(answer) = answer else {
            self.refused += 1;
            return;
        };
        let coverage = answer.coverage.unwrap_or_default();
        if coverage.reached == coverage.total {
            self.whole += 1;
        } else {
            self.partial += 1;
        }
        self.calls += answer.attempts;
        self.took.push(answer.took_us);
    }

    /// Latency that `percent` of the answers kept, in milliseconds.
    #[must_use]
    pub fn latency(&self, percent: usize) -> f64 {
        let mut took = self.took.clone();
        took.sort_unstable();
        let at = (took.len() * percent / 100).min(took.len().saturating_sub(1));
        let micros = took.get(at).copied().unwrap_or_default();
        Duration::from_micros(micros).as_secs_f64() * 1e3
    }

    /// Calls beyond one for each shard, in per cent.
    #[must_use]
    pub fn extra(&self) -> f64 {
        let first = (self.whole + self.partial) * u32::from(SHARDS);
        let extra = f64::from(self.calls) - f64::from(first);
        extra / f64::from(first.max(1)) * 100.0
    }
}

/// The nodes and their configuration.
pub struct Nodes {
    /// Nodes, links, searchers and store.
    pub mesh: Mesh,
    /// Configuration applied at the start.
    pub config: v1::TierConfig,
}

impl Nodes {
    /// Starts seven nodes and a service over all failure domains.
    pub async fn start(seed: u64) -> Self {
        let mut mesh = Mesh::default();
        for (n, domain) in PLACES.iter().enumerate() {
            mesh.add_node(&format!("entry-{n}"), domain);
        }
        let settings = Settings {
            seed,
            ..Settings::default()
        };
        let service = mesh.add_sharded("lotes", SHARDS, &DOMAINS, &settings);
        let domain = |name: &&str| v1::FailureDomain {
            name: (*name).to_owned(),
            ..v1::FailureDomain::default()
        };
        let made = Self {
            mesh,
            config: v1::TierConfig {
                domains: DOMAINS.iter().map(domain).collect(),
                services: vec![service],
            },
        };
        let request = v1::ApplyRequest {
            config: Some(made.config.clone()),
            ..v1::ApplyRequest::default()
        };
        let answer = made.node(0).apply(request).await.unwrap_or_default();
        for local in &made.mesh.nodes {
            local.node.refresh(Revision(answer.revision)).await;
        }
        made
    }

    /// Node at a position.
    #[must_use]
    pub fn node(&self, at: usize) -> &Arc<Node> {
        &self.mesh.nodes[at].node
    }

    /// Position of the node that leads `domain`.
    #[must_use]
    pub fn leader(&self, domain: &str) -> Option<usize> {
        let nodes = &self.mesh.nodes;
        nodes
            .iter()
            .position(|n| n.domain == domain && n.runs() && n.node.control.leads())
    }

    /// Takes a failure domain out or brings it back.
    pub async fn set_domain(&self, at: usize, domain: &str, out: bool) -> bool {
        let request = v1::DomainRequest {
            domain: domain.to_owned(),
            out,
            dry_run: false,
        };
        let answer = self.node(at).set_domain(request).await;
        answer.is_ok_and(|a| a.accepted)
    }

    /// Searches for `time` through the addresses that the tier offers.
    pub async fn load(&self, time: Duration) -> Tally {
        let tally: Arc<Mutex<Tally>> = Arc::default();
        let end = Instant::now() + time;
        let mut turn = 0;
        while Instant::now() < end {
            if let Some(node) = self.offered(turn) {
                let tally = Arc::clone(&tally);
                tokio::spawn(async move {
                    let answer = node.entry.search(ask()).await;
                    if let Ok(mut tally) = tally.lock() {
                        tally.note(answer);
                    }
                });
            } else if let Ok(mut tally) = tally.lock() {
                tally.absent += 1;
            }
            turn += 1;
            sleep(EVERY).await;
        }
        sleep(Duration::from_millis(u64::from(DEADLINE_MS))).await;
        let tally = tally.lock().map(|t| t.clone());
        tally.unwrap_or_default()
    }

    /// The node that a caller of this turn goes to, by the addresses that a
    /// running node answers.
    fn offered(&self, turn: usize) -> Option<Arc<Node>> {
        let running: Vec<_> = self.mesh.nodes.iter().filter(|n| n.runs()).collect();
        let asked = &running[turn % running.len()].node;
        let offered = asked.addresses("lotes").addresses;
        let chosen = &offered.get(turn % offered.len().max(1))?.address;
        let found = running
            .iter()
            .find(|n| n.node.info.callers.to_string() == *chosen);
        found.map(|n| Arc::clone(&n.node))
    }

    /// Calls to searchers of `domain` since `after`.
    #[must_use]
    pub fn sent_since(&self, domain: &str, after: Instant) -> usize {
        let id = DomainId::from_name(domain);
        let sent = self.mesh.sent().into_iter();
        sent.filter(|s| s.domain == id && s.at > after).count()
    }
}

fn ask() -> v1::SearchRequest {
    v1::SearchRequest {
        service: "lotes".to_owned(),
        query: "kernels".to_owned(),
        deadline_ms: DEADLINE_MS,
        ..v1::SearchRequest::default()
    }
}

/// Prints the head of the table.
pub fn head() {
    println!(
        "{:<34} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} {:>7}",
        "phase", "asked", "whole", "partial", "refused", "absent", "p50 ms", "p99 ms", "extra %"
    );
}

/// Prints one line of the table.
pub fn line(phase: &str, tally: &Tally) {
    println!(
        "{phase:<34} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8.1} {:>8.1} {:>7.1}",
        tally.asked,
        tally.whole,
        tally.partial,
        tally.refused,
        tally.absent,
        tally.latency(50),
        tally.latency(99),
        tally.extra(),
    );
}

/// Runs an experiment on the paused clock.
pub fn run(experiment: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(experiment),
        Err(e) => println!("no runtime: {e}"),
    }
}
