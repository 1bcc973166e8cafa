//! One node's real control code, fed what its peers would send at the size of
//! today and at the size to design for: processor time, bytes and store calls.
//!
//! `cargo bench -p heatherrun-bench --bench scale` prints one line for each
//! size and role. Times are of this machine; bytes are of the wire format.

#![allow(clippy::cast_precision_loss)]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use heatherrun_control::grants;
use heatherrun_control::lead::LeaderRecord;
use heatherrun_control::replica::{Replica, UpdateScope};
use heatherrun_control::rights::Rights;
use heatherrun_fakes::store::Store;
use heatherrun_kernel::control::{
    ControlAnswer, ControlRequest, Heartbeat, HeartbeatAnswer, LogEntry, LogUpdate, MemberUpdate,
    UpdateAnswer,
};
use heatherrun_kernel::message::{CallError, Failure, NodeInfo};
use heatherrun_kernel::port::{PeerError, Peers, StoreCall, Targets, Vm, VmState, async_fn};
use heatherrun_kernel::view::Availability;
use heatherrun_kernel::{Clock, DomainId, Epoch, NodeId, Revision, Time, View};
use heatherrun_schema::v1::{self, Operator};
use heatherrun_tier::node::Node;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

/// Copies of a view whose memory is measured.
const COPIES: usize = 20;

/// Size of a page of memory.
const PAGE_BYTES: f64 = 4096.0;

/// Failure domains at the size to design for.
const DOMAINS: usize = 11;

/// Searchers of one service.
const PER_SERVICE: usize = 142;

/// Shards of one service.
const SHARDS: usize = 71;

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;

/// Seconds over which steady work is counted.
const STEADY_SECS: u64 = 60;

/// Time after which a leader has read a change and told its members of it.
const TOLD: Duration = Duration::from_millis(500);

/// Changes of the configuration in a day at the size to design for.
const CHANGES: f64 = 4_100.0;

/// Seconds in a day.
const DAY: f64 = 86_400.0;

/// Sizes: nodes, failure domains, searchers.
const SIZES: [(usize, usize, usize); 6] = [
    (8, 3, 30),
    (8, 3, 400),
    (83, DOMAINS, 400),
    (83, DOMAINS, 4_000),
    (830, DOMAINS, 400),
    (830, DOMAINS, 4_000),
];

fn main() {
    println!(
        "{:>5} {:>4} {:>6} | {:>8} {:>8} {:>8} {:>8} {:>8} | {:>8} {:>8} {:>8} | {:>9} {:>9}",
        "nodes",
        "doms",
        "search",
        "beat B",
        "answer B",
        "period s",
        "beat us",
        "CPU %",
        "lead B/s",
        "memb B/s",
        "delta B",
        "change us",
        "calls/s"
    );
    for (nodes, domains, searchers) in SIZES {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("runtime");
        runtime.block_on(Fleet::new(nodes, domains, searchers).measure());
    }
}

/// Bytes of one message with its frame.
fn request_bytes(request: &ControlRequest) -> usize {
    let request = tarpc::Request {
        context: tarpc::context::current(),
        id: 1_000,
        message: request,
    };
    bytes(&tarpc::ClientMessage::Request(request))
}

fn response_bytes(answer: &ControlAnswer) -> usize {
    bytes(&tarpc::Response {
        request_id: 1_000,
        message: Ok(answer),
    })
}

fn bytes<T: serde::Serialize>(message: &T) -> usize {
    let format = pin!(Bincode::<(), T>::default());
    let made = format.serialize(message);
    made.map_or(0, |b| b.len() + LENGTH_BYTES)
}

/// A member as its own control code would keep it.
struct Member {
    info: NodeInfo,
    replica: Replica,
    rights: Rights,
    term: Epoch,
    log_position: u64,
    resend_state: bool,
    ack: Time,
}

impl Member {
    fn new(info: NodeInfo) -> Self {
        Self {
            info,
            replica: Replica::default(),
            rights: Rights::default(),
            term: Epoch(0),
            log_position: 0,
            resend_state: true,
            ack: Time(0),
        }
    }

    fn heartbeat(&self, now: Time) -> Heartbeat {
        let held = self.rights.reported_grants(now);
        Heartbeat {
            from: self.info.id,
            info: self.resend_state.then(|| self.info.clone()),
            sent: now,
            ack: self.ack,
            revision: self.replica.head(),
            load: 40,
            leaving: false,
            digest: grants::digest(&held),
            held: self.resend_state.then_some(held),
            term: self.term,
            log_position: self.log_position,
        }
    }

    fn take(&mut self, now: Time, answer: HeartbeatAnswer) -> bool {
        self.ack = answer.echo;
        self.resend_state = answer.resend_state;
        if let Some(grants) = &answer.grants {
            self.rights.replace_grants(now, grants, 0);
            self.rights.valid_until = answer.echo + answer.valid;
        } else if !answer.resend_state {
            self.rights.extend(now, answer.echo + answer.valid, 0);
        }
        self.term = answer.term;
        self.log_position = answer.update.log_position;
        let again = answer.resend_state || answer.update.more || answer.grants.is_some();
        self.replica.apply(answer.update, UpdateScope::All);
        again
    }
}

/// What one round of heartbeats cost the leader.
#[derive(Default)]
struct Cost {
    heartbeats: u64,
    sent: usize,
    received: usize,
    took: Duration,
}

struct Fleet {
    nodes: Vec<NodeInfo>,
    names: Vec<String>,
    searchers: usize,
    store: Store,
    spent: Arc<AtomicU64>,
}

fn info(name: &str, domain: &str, n: usize) -> NodeInfo {
    let port = u16::try_from(n + 1).unwrap_or(u16::MAX);
    NodeInfo {
        id: NodeId::from_name(name),
        name: name.to_owned(),
        domain: DomainId::from_name(domain),
        peers: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), port)),
        callers: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 2), port)),
        started: 1_800_000_000_000,
    }
}

impl Fleet {
    fn new(nodes: usize, domains: usize, searchers: usize) -> Self {
        let names: Vec<_> = (0..domains).map(|d| format!("domain-{d}")).collect();
        let node = |n: usize| info(&format!("entry-{n:04}"), &names[n % domains], n);
        Self {
            nodes: (0..nodes).map(node).collect(),
            names,
            searchers,
            store: Store::default(),
            spent: Arc::default(),
        }
    }

    fn config(&self) -> v1::TierConfig {
        let mut config = v1::TierConfig::default();
        for name in &self.names {
            config.domains.push(v1::FailureDomain {
                name: name.clone(),
                region: "alps".to_owned(),
                out: false,
            });
        }
        let services = self.searchers.div_ceil(PER_SERVICE);
        for service in 0..services {
            let count = PER_SERVICE.min(self.searchers - service * PER_SERVICE);
            config.services.push(self.service(service, count));
        }
        config
    }

    fn service(&self, service: usize, count: usize) -> v1::Service {
        let mut shards: BTreeMap<u32, Vec<v1::Searcher>> = BTreeMap::new();
        for n in 0..count {
            let shard = u32::try_from(n % SHARDS).unwrap_or(0);
            let domain = &self.names[(service + n) % self.names.len()];
            shards.entry(shard).or_default().push(v1::Searcher {
                name: format!("searcher-{service}-{n}"),
                address: format!("10.1.{service}.{}:9000", n % 250),
                domain: domain.clone(),
                slots: 3,
                connections: 30,
            });
        }
        let shards = shards.into_iter();
        v1::Service {
            name: format!("service-{service}"),
            kind: Some(v1::service::Kind::Sharded(v1::Sharded {
                shards: shards
                    .map(|(index, replicas)| v1::Shard { index, replicas })
                    .collect(),
            })),
            limits: Some(v1::Limits::default()),
            objectives: Some(v1::Objectives::default()),
        }
    }

    /// Peers that answer as other leaders would, and count bytes.
    fn peers(&self) -> Peers {
        let spent = Arc::clone(&self.spent);
        let nodes = Arc::new(self.nodes.clone());
        let told: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
        let answer = move |(to, request): (SocketAddr, ControlRequest)| {
            let out = request_bytes(&request);
            let answer = match &request {
                ControlRequest::Update(_) => {
                    let first = !told.lock().expect("lock").contains(&to);
                    told.lock().expect("lock").push(to);
                    ControlAnswer::Update(pulled(&nodes, to, first))
                }
                _ => ControlAnswer::Accepted,
            };
            let total = out + response_bytes(&answer);
            spent.fetch_add(total as u64, Ordering::Relaxed);
            async move { Ok(answer) }
        };
        Peers {
            search: async_fn(|_| async { Err(PeerError::NotSent) }),
            collect: async_fn(|_| async { Err(PeerError::NotSent) }),
            cancel: async_fn(|_| async { Err(PeerError::NotSent) }),
            control: async_fn(answer),
        }
    }

    async fn start(&self) -> Arc<Node> {
        let vm = |n: &NodeInfo| Vm {
            name: n.name.clone(),
            domain: self
                .names
                .iter()
                .find(|d| DomainId::from_name(d) == n.domain)
                .cloned()
                .unwrap_or_default(),
            peers: n.peers,
            callers: n.callers,
            state: VmState::Live,
        };
        self.store.set_vms(self.nodes.iter().map(vm).collect());
        for leader in &self.nodes[1..self.names.len()] {
            let record = LeaderRecord {
                info: leader.clone(),
                lease: 0,
            };
            let call = StoreCall::Swap {
                key: format!("lead/{}", leader.domain),
                expect: Revision(0),
                value: serde_json::to_vec(&record).ok(),
                lease: 0,
            };
            self.store.call(call).await.expect("lead");
        }
        let targets = Targets {
            call: async_fn(|_| async { Err(CallError::not_run(Failure::NoConnection)) }),
            cancel: async_fn(|_| async {}),
            report: async_fn(|_| async { None }),
        };
        let platform = self.store.platform();
        let own = self.nodes[0].clone();
        let node = Node::new(own, Clock::start(), targets, self.peers(), platform, 5);
        let following = Arc::clone(&node);
        tokio::spawn(async move { following.follow().await });
        while !node.control.leads() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        node
    }

    async fn measure(&self) {
        let node = self.start().await;
        let request = v1::ApplyRequest {
            config: Some(self.config()),
            ..v1::ApplyRequest::default()
        };
        let applied = node.apply(request).await.expect("apply");
        let own = self.nodes[0].domain;
        let near = self.nodes[1..].iter().filter(|n| n.domain == own);
        let mut members: Vec<_> = near.cloned().map(Member::new).collect();
        let period = heatherrun_control::domain_leader::heartbeat_interval(members.len() + 1);
        for _ in 0..40 {
            round(&node, &mut members);
            tokio::time::sleep(period / 4).await;
        }
        let steady = self.steady(&node, &mut members, period).await;
        let changed = self.change(&node, &mut members, applied.revision).await;
        let name = format!("entry-{:04}", self.nodes.len());
        let joins = Member::new(info(&name, &self.names[0], self.nodes.len()));
        let joined = round(&node, &mut [joins]);
        print(self, &members, period, &steady, &changed);
        println!(
            "      joining node: {} beats, {} B, {:.0} us of the leader",
            joined.heartbeats,
            joined.sent + joined.received,
            joined.took.as_secs_f64() * 1e6
        );
        println!(
            "      view of one node: {:.0} KB",
            self.view_bytes(&node) / 1024.0
        );
    }

    /// Resident memory of one view, measured on copies that share nothing.
    fn view_bytes(&self, node: &Node) -> f64 {
        let before = resident();
        let mut copies = Vec::with_capacity(COPIES);
        for _ in 0..COPIES {
            let mut copy = View::clone(&node.view.load());
            copy.services.clear();
            copy.targets.clear();
            for service in &self.config().services {
                copy.add_service(service, copy.revision);
            }
            copies.push(copy);
        }
        (resident() - before) / COPIES as f64
    }

    /// Heartbeats of a minute in which nothing changes.
    async fn steady(&self, node: &Node, members: &mut [Member], period: Duration) -> Steady {
        let (calls, bytes) = (self.store.calls(), self.spent.load(Ordering::Relaxed));
        let start = tokio::time::Instant::now();
        let mut cost = Cost::default();
        while start.elapsed() < Duration::from_secs(STEADY_SECS) {
            let next = round(node, members);
            cost.heartbeats += next.heartbeats;
            cost.sent += next.sent;
            cost.received += next.received;
            cost.took += next.took;
            tokio::time::sleep(period).await;
        }
        let secs = start.elapsed().as_secs_f64();
        let calls = self.store.calls() - calls;
        let pulled = self.spent.load(Ordering::Relaxed) - bytes;
        Steady {
            cost,
            calls: calls as f64 / secs,
            pulled: pulled as f64 / secs,
            secs,
        }
    }

    /// One searcher changes.
    async fn change(&self, node: &Arc<Node>, members: &mut [Member], base: u64) -> Cost {
        let mut config = self.config();
        let first = config.services.first_mut().and_then(|s| s.kind.as_mut());
        if let Some(v1::service::Kind::Sharded(sharded)) = first {
            sharded.shards[0].replicas[0].slots = 6;
        }
        let request = v1::ApplyRequest {
            config: Some(config),
            base,
            dry_run: false,
        };
        let applier = Arc::clone(node);
        let applying = tokio::spawn(async move { applier.apply(request).await });
        tokio::time::sleep(TOLD).await;
        let cost = round(node, members);
        let answer = applying.await.expect("task").expect("change");
        assert!(answer.accepted, "{answer:?}");
        cost
    }
}

/// Resident memory of this process, in bytes.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// What another leader tells: its nodes at first, nothing later.
fn pulled(nodes: &[NodeInfo], to: SocketAddr, first: bool) -> UpdateAnswer {
    let leader = nodes.iter().find(|n| n.peers == to);
    let domain = leader.map(|l| l.domain);
    if domain == Some(nodes[0].domain) {
        return UpdateAnswer {
            leader: None,
            term: Epoch(0),
            update: LogUpdate::default(),
        };
    }
    let mut update = LogUpdate {
        log_position: 1,
        ..LogUpdate::default()
    };
    if first {
        for info in nodes.iter().filter(|n| Some(n.domain) == domain) {
            update.items.push(LogEntry::Member(MemberUpdate {
                info: info.clone(),
                standing: Availability::Live,
                load: 25,
            }));
        }
    }
    UpdateAnswer {
        leader: leader.cloned(),
        term: Epoch(1),
        update,
    }
}

/// One heartbeat of each member, and more while there are updates.
fn round(node: &Node, members: &mut [Member]) -> Cost {
    let mut cost = Cost::default();
    for member in members {
        for _ in 0..200 {
            let now = node.clock.now();
            let request = ControlRequest::Heartbeat(member.heartbeat(now));
            cost.received += request_bytes(&request);
            let start = Instant::now();
            let answer = node.answer(&request);
            cost.took += start.elapsed();
            cost.sent += response_bytes(&answer);
            cost.heartbeats += 1;
            let ControlAnswer::Heartbeat(answer) = answer else {
                return cost;
            };
            if !member.take(now, answer) {
                break;
            }
        }
    }
    cost
}

struct Steady {
    cost: Cost,
    calls: f64,
    pulled: f64,
    secs: f64,
}

fn print(fleet: &Fleet, members: &[Member], period: Duration, steady: &Steady, change: &Cost) {
    let cost = &steady.cost;
    let heartbeats = cost.heartbeats.max(1) as f64;
    let per_heartbeat = cost.took.as_secs_f64() * 1e6 / heartbeats;
    let cpu = cost.took.as_secs_f64() / steady.secs * 100.0;
    let (heartbeat, answer) = (
        cost.received as f64 / heartbeats,
        cost.sent as f64 / heartbeats,
    );
    let delta = (change.sent + change.received) as f64 / members.len().max(1) as f64;
    let changes = delta * CHANGES / DAY;
    let member = (heartbeat + answer) / period.as_secs_f64() + changes;
    let total = (cost.received + cost.sent) as f64 / steady.secs + steady.pulled;
    let leader = total + changes * members.len() as f64;
    println!(
        "{:>5} {:>4} {:>6} | {:>8.0} {:>8.0} {:>8.2} {:>8.1} {:>8.3} | {:>8.0} {:>8.0} {:>8.0} | {:>9.1} {:>9.2}",
        fleet.nodes.len(),
        fleet.names.len(),
        fleet.searchers,
        heartbeat,
        answer,
        period.as_secs_f64(),
        per_heartbeat,
        cpu,
        leader,
        member,
        delta,
        change.took.as_secs_f64() * 1e6 / change.heartbeats.max(1) as f64,
        steady.calls,
    );
}
