//! A small deployment and the faults that are injected into it at random.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use heatherrun_fakes::store::Faults;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::callers::SentRequest;
use crate::common::searcher::{Act, Searcher};
use crate::common::{self, Site};
use crate::node::{self, Node};
use crate::promises::{KnownSearcher, Pause, RECORDS, Recorded, Shutdown};
use crate::proxy::{Link, Proxy};

/// Number of nodes.
const NODE_COUNT: usize = 3;

/// Number of searchers of each service.
const SEARCHERS_PER_SERVICE: usize = 3;

/// Number of faults in one run.
const FAULT_COUNT: usize = 6;

/// Items in front of the configuration, which fill the first page of a listing.
const FIRST_PAGE_ITEMS: usize = 50;

/// Time that a draining searcher keeps running after its report.
const DRAIN_TIME: Duration = Duration::from_millis(4_500);

/// One step of a fault; a fault is a sequence of steps with delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Starts a graceful shutdown.
    Terminate(usize),
    /// Checks that the process exited with code 0, and starts another one.
    CheckExit(usize),
    /// Kills the process without a graceful shutdown.
    Kill(usize),
    Start(usize),
    /// Stops the process with SIGSTOP.
    Pause(usize),
    /// Resumes the process with SIGCONT.
    Resume(usize),
    StoreDown(bool),
    StoreLink(usize, Link),
    SetBehavior(usize, Behavior),
    SearcherLink(usize, Link),
    /// Reports a searcher as draining, after adding another one.
    Drain(usize),
    /// Removes a searcher from the store; one that was not drained is replaced.
    Remove(usize),
    /// Writes the next version of the routes.
    Configure,
}

/// How a searcher handles its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Answer,
    NoReply,
    Refuse,
    Crash,
}

/// The running deployment and what was recorded of it.
pub struct Deployment {
    pub nodes: Vec<Node>,
    site: Site,
    recorded: Recorded,
    links: Vec<Proxy>,
    rng: SmallRng,
    faults_overlap: bool,
    /// Start of each active fault, by the key that ends it.
    fault_starts: BTreeMap<String, Instant>,
    /// Versions of the configuration written so far.
    config_count: usize,
    searcher_count: usize,
}

/// Replaces the build of a node by a restart, as an upgrade does.
fn replace_build(node: usize) -> Vec<(u64, Step)> {
    vec![(0, Step::Terminate(node)), (0, Step::CheckExit(node))]
}

impl Deployment {
    /// Starts the deployment and waits until all nodes are ready.
    pub async fn start(seed: u64, folder: &Path) -> Self {
        let site = Site::start().await;
        for ix in 0..FIRST_PAGE_ITEMS {
            site.put(&format!("a/{ix:02}"), &json!({})).await;
        }
        let mut nodes = Vec::new();
        for n in 0..NODE_COUNT {
            nodes.push(Node::new(&format!("node-{n}"), site.store_at, folder).await);
        }
        let mut deployment = Self {
            nodes,
            site,
            recorded: Recorded::default(),
            links: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            faults_overlap: seed % 2 == 1,
            fault_starts: BTreeMap::new(),
            config_count: 0,
            searcher_count: 0,
        };
        for service in ["one", "two", "s0", "s1", "s2"] {
            for _ in 0..SEARCHERS_PER_SERVICE {
                deployment.add_searcher(service).await;
            }
        }
        deployment.configure().await;
        for node in &mut deployment.nodes {
            node.start();
        }
        for node in &deployment.nodes {
            common::until(|| async {
                let reply = common::get(node.ready, "/-/ready").await;
                reply.is_ok_and(|r| r.status() == 200)
            })
            .await;
        }
        deployment
    }

    async fn add_searcher(&mut self, service: &str) {
        self.searcher_count += 1;
        let records = RECORDS.iter().find(|(name, _)| *name == service);
        let records = records.map_or(service, |(_, records)| records);
        let searcher = Searcher::start(&format!("i-{}", self.searcher_count), records).await;
        let answer_ms = self.rng.random_range(2..60);
        searcher.does(Act::Answer(Duration::from_millis(answer_ms)));
        let link = Proxy::start(searcher.address).await;
        let zone = if self.searcher_count.is_multiple_of(SEARCHERS_PER_SERVICE) {
            "far-a"
        } else {
            "near-a"
        };
        let fields = json!({"address": link.address, "zone": zone});
        self.site.register(&searcher, service, fields).await;
        self.links.push(link);
        self.recorded.searchers.push(KnownSearcher {
            searcher,
            service: service.to_owned(),
            drain_started: None,
        });
    }

    /// Writes the next version of the routes, which moves the route `moved` from
    /// service "one" to "two" or back. After the first version, the later pages of
    /// a listing show the store as it was before the newest one.
    async fn configure(&mut self) {
        if self.config_count > 0 {
            let copied = self.site.store.copy();
            self.site.store.set_stale_pages(Some(copied));
        }
        let route = |name: &str, kind: &str, service: &str| -> Value {
            let mut route = common::one(kind);
            route["name"] = json!(name);
            route["prefix"] = json!(format!("/{name}/"));
            route["service"] = json!(service);
            route["timeoutMs"] = json!(1_000);
            route["targetLatencyMs"] = json!(300);
            route
        };
        let mut all = common::all();
        all["timeoutMs"] = json!(1_000);
        all["targetLatencyMs"] = json!(300);
        self.config_count += 1;
        let service = self.moved_service();
        let routes = json!([
            route("one", "idempotent", "one"),
            route("once", "non_idempotent", "one"),
            route("moved", "idempotent", service),
            all
        ]);
        self.site.configure(routes).await;
    }

    /// Service of the route `moved` in the newest version.
    pub const fn moved_service(&self) -> &'static str {
        ["two", "one"][self.config_count % 2]
    }

    /// Injects the faults and returns the violations found by the steps.
    pub async fn inject_faults(&mut self) -> Vec<String> {
        let replacements = node::old_build().map_or(0, |_| NODE_COUNT);
        let mut steps: Vec<(Duration, Step)> = Vec::new();
        let mut at = Duration::from_millis(300);
        let mut last_end = at;
        for n in 0..FAULT_COUNT + 2 * replacements {
            // Replacements come first and last, and wait for what is in
            // progress: they take seconds, which would prolong a pause.
            let random = n.checked_sub(replacements).filter(|n| *n < FAULT_COUNT);
            let fault = random.map_or_else(|| replace_build(n % NODE_COUNT), |_| self.draw_fault());
            if random.is_none() {
                at = at.max(last_end);
            }
            let mut end = at;
            for (after, step) in fault {
                end += Duration::from_millis(after);
                steps.push((end, step));
            }
            last_end = last_end.max(end);
            let delay = Duration::from_millis(self.rng.random_range(200..700));
            at = if self.faults_overlap && random.is_some() {
                at + delay
            } else {
                end + delay
            };
        }
        steps.sort_by_key(|(at, _)| *at);
        let mut start = Instant::now();
        let mut violations = Vec::new();
        for (at, step) in steps {
            tokio::time::sleep_until(start + at).await;
            let step_start = Instant::now();
            if let Err(why) = self.run_step(step).await {
                violations.push(why);
            }
            // Steps that wait for a process delay all later steps.
            start += step_start.elapsed();
        }
        for node in 0..NODE_COUNT {
            self.run_step(Step::Start(node)).await.unwrap();
            self.nodes[node].store.set_link(Link::Healthy);
        }
        violations
    }

    /// Draws a fault at random, as steps with a delay in milliseconds before each.
    fn draw_fault(&mut self) -> Vec<(u64, Step)> {
        let node = self.rng.random_range(0..NODE_COUNT);
        // Half of the searcher faults hit the service with once-only requests:
        // it has few searchers, and its requests have the strictest promises.
        let mut searcher = self.rng.random_range(0..self.recorded.searchers.len());
        if self.rng.random_bool(0.5) {
            searcher %= SEARCHERS_PER_SERVICE;
        }
        let span = self.rng.random_range(300..1_500);
        match self.rng.random_range(0..14) {
            0 | 1 => vec![(0, Step::Terminate(node)), (0, Step::CheckExit(node))],
            2 => vec![(0, Step::Kill(node)), (span, Step::Start(node))],
            3 => vec![(0, Step::Pause(node)), (span, Step::Resume(node))],
            4 => vec![(0, Step::StoreDown(true)), (span, Step::StoreDown(false))],
            5 => {
                let links = [Link::Stalled, Link::Reset, Link::OneWay];
                let link = links[self.rng.random_range(0..links.len())];
                vec![
                    (0, Step::StoreLink(node, link)),
                    (span, Step::StoreLink(node, Link::Healthy)),
                ]
            }
            6 => vec![
                (0, Step::SetBehavior(searcher, Behavior::NoReply)),
                (span, Step::SetBehavior(searcher, Behavior::Answer)),
            ],
            7 => vec![
                (0, Step::SetBehavior(searcher, Behavior::Refuse)),
                (span, Step::SetBehavior(searcher, Behavior::Answer)),
            ],
            8 | 11 => vec![
                (0, Step::SetBehavior(searcher, Behavior::Crash)),
                (span, Step::Remove(searcher)),
            ],
            9 | 12 => {
                let slow = Link::Slow(Duration::from_millis(80));
                let links = [slow, Link::Stalled, Link::Reset, Link::Reset];
                let link = links[self.rng.random_range(0..links.len())];
                vec![
                    (0, Step::SearcherLink(searcher, link)),
                    (span, Step::SearcherLink(searcher, Link::Healthy)),
                ]
            }
            10 => {
                let drain_ms = u64::try_from(DRAIN_TIME.as_millis()).unwrap();
                vec![
                    (0, Step::Drain(searcher)),
                    (drain_ms, Step::Remove(searcher)),
                ]
            }
            _ => vec![(0, Step::Configure), (span, Step::Configure)],
        }
    }

    async fn run_step(&mut self, step: Step) -> Result<(), String> {
        let now = Instant::now();
        if matches!(step, Step::Drain(_) | Step::Remove(_) | Step::Configure) {
            // These steps write to the store, which must be available.
            self.set_store_down(false);
        }
        match step {
            Step::Terminate(node) => {
                if let Some(why) = self.nodes[node].unexpected_exit() {
                    return Err(why);
                }
                self.nodes[node].signal(Signal::TERM);
                self.nodes[node].signal(Signal::CONT);
                self.end_pause(node);
                self.fault_starts.insert(format!("stop {node}"), now);
            }
            Step::CheckExit(node) => {
                let code = self.nodes[node].wait_exit().await?;
                let started = self
                    .fault_starts
                    .remove(&format!("stop {node}"))
                    .unwrap_or(now);
                if code != Some(0) {
                    return Err(format!("stop: node-{node} exited with {code:?}"));
                }
                if !self.faults_overlap {
                    let span = started..=Instant::now();
                    self.recorded.shutdowns.push(Shutdown { node, span });
                }
                self.nodes[node].start();
                self.nodes[node].wait_until_listening().await?;
            }
            Step::Kill(node) => {
                self.nodes[node].signal(Signal::KILL);
                self.end_pause(node);
                self.nodes[node].wait_exit().await?;
            }
            Step::Start(node) => {
                if !self.nodes[node].is_running() {
                    self.nodes[node].start();
                    self.nodes[node].wait_until_listening().await?;
                }
            }
            Step::Pause(node) => {
                self.nodes[node].signal(Signal::STOP);
                self.fault_starts.insert(format!("pause {node}"), now);
            }
            Step::Resume(node) => {
                self.nodes[node].signal(Signal::CONT);
                self.end_pause(node);
            }
            Step::StoreDown(down) => self.set_store_down(down),
            Step::StoreLink(node, link) => {
                self.nodes[node].store.set_link(link);
                let key = format!("link {node}");
                if link == Link::Healthy {
                    self.end_fault(&key);
                } else {
                    self.fault_starts.insert(key, now);
                }
            }
            Step::SetBehavior(ix, behavior) => {
                self.recorded.searchers[ix].searcher.does(match behavior {
                    Behavior::Answer => Act::Answer(Duration::from_millis(10)),
                    Behavior::NoReply => Act::Silent,
                    Behavior::Refuse => Act::refuse(),
                    Behavior::Crash => Act::Crash,
                });
            }
            Step::SearcherLink(ix, link) => self.links[ix].set_link(link),
            Step::Drain(ix) => {
                let service = self.recorded.searchers[ix].service.clone();
                self.add_searcher(&service).await;
                let address = self.links[ix].address;
                let fields = json!({"address": address, "state": "draining"});
                let searcher = self.recorded.searchers[ix].searcher.clone();
                self.site.register(&searcher, &service, fields).await;
                self.recorded.searchers[ix]
                    .drain_started
                    .get_or_insert(Instant::now());
            }
            Step::Remove(ix) => {
                let key = format!("servers/{}", self.recorded.searchers[ix].searcher.id);
                self.site.delete(&key).await;
                if self.recorded.searchers[ix].drain_started.is_none() {
                    let service = self.recorded.searchers[ix].service.clone();
                    self.add_searcher(&service).await;
                }
            }
            Step::Configure => self.configure().await,
        }
        Ok(())
    }

    fn set_store_down(&mut self, down: bool) {
        let faults = Faults {
            down,
            ..Faults::default()
        };
        self.site.store.set_faults(faults);
        if down {
            self.fault_starts.insert("store".to_owned(), Instant::now());
        } else {
            self.end_fault("store");
        }
    }

    /// Records the end of the pause of a node, if it is paused.
    fn end_pause(&mut self, node: usize) {
        let key = format!("pause {node}");
        if let Some(started) = self.fault_starts.get(&key) {
            let span = *started..=Instant::now();
            self.recorded.pauses.push(Pause { node, span });
        }
        self.end_fault(&key);
    }

    /// Records the end of the fault that started under `key`, if any.
    fn end_fault(&mut self, key: &str) {
        if let Some(started) = self.fault_starts.remove(key) {
            self.recorded.disruptions.push(started..=Instant::now());
        }
    }

    /// Kills all processes and returns what was recorded.
    pub async fn shut_down(mut self, sent: Vec<SentRequest>) -> Recorded {
        for node in &mut self.nodes {
            node.signal(Signal::KILL);
            let _ = node.wait_exit().await;
        }
        self.recorded.sent = sent;
        self.recorded
    }
}
