//! A small tier over fakes: four nodes in three failure domains, a sharded
//! service, a pooled one, and a store.

use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use heatherrun_fakes::searcher::{Cold, Searcher, Settings};
use heatherrun_fakes::store::{Faults, Store};
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::port::{Vm, VmState};
use heatherrun_kernel::{DomainId, NodeId, Revision, ShardIx, Snapshot, TargetId};
use heatherrun_schema::v1::{self, Operator};
use heatherrun_tier::node::Node;

use crate::cell::Fault;
use crate::hook::Place;
use crate::net::{Net, Spot};

/// Failure domains.
pub const DOMAINS: [&str; 3] = ["cariri", "agreste", "sao-francisco"];

/// Failure domain of each node; the last one joins later, if at all.
const HOMES: [usize; 5] = [0, 0, 1, 2, 1];

/// Nodes at the start.
pub const FIRST_NODES: usize = 4;

/// The sharded service.
pub const SHARDED: &str = "lotes";

/// Shards of the sharded service.
pub const SHARDS: u16 = 6;

/// Shard of which one replica answers from its newest snapshot.
const NEWEST_SHARD: u16 = 2;

/// The pooled service.
pub const POOLED: &str = "recibos";

/// Searchers of the pooled service.
const POOL: usize = 3;

/// Unix time at the start of the run, in milliseconds.
pub const EPOCH_MS: u64 = 1_800_000_000_000;

/// Seconds that callers keep an address.
pub const KEEP_SECS: u32 = 2;

/// Time for which a node stands still: longer than its rights last.
const PAUSE: Duration = Duration::from_secs(9);

/// Time for which the store fails.
const OUTAGE: Duration = Duration::from_secs(8);

/// Time after which the platform lists a dead VM no more.
const LIST_LAG: Duration = Duration::from_secs(5);

/// Hard limit of a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// The world of one run.
pub struct World {
    /// Links.
    pub net: Arc<Net>,
    /// Configuration at the start.
    pub config: v1::TierConfig,
    /// Nodes by position, once started.
    nodes: Mutex<Vec<Arc<Node>>>,
    /// Nodes that were killed or paused.
    hurt: Mutex<BTreeSet<usize>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn port(base: u16, index: usize) -> SocketAddr {
    let offset = u16::try_from(index).unwrap_or(0);
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), base + offset)
}

/// Makes targets and their part of the configuration.
#[derive(Default)]
struct Stage {
    spots: HashMap<TargetId, Spot>,
    seed: u64,
}

impl Stage {
    fn add(&mut self, service: &str, name: &str, domain: &str, shard: u16) -> v1::Searcher {
        self.seed += 1;
        let settings = Settings {
            shard: ShardIx(shard),
            service: Duration::from_millis(6),
            cold: Cold {
                slowness: 2.0,
                warm_after: 20,
                round: Duration::from_millis(5),
                ..Cold::default()
            },
            seed: self.seed,
            ..Settings::default()
        };
        let config = v1::Searcher {
            name: name.to_owned(),
            address: port(20_000, self.spots.len()).to_string(),
            domain: domain.to_owned(),
            slots: u32::from(settings.slots),
            connections: 30,
        };
        let spot = Spot {
            searcher: Searcher::new(settings),
            domain: DomainId::from_name(domain),
            leaving: Arc::default(),
            newest: shard == NEWEST_SHARD && domain == DOMAINS[2],
        };
        self.spots
            .insert(TargetId::from_searcher(service, name), spot);
        config
    }

    fn config(&mut self) -> v1::TierConfig {
        let mut shards = Vec::new();
        for shard in 0..SHARDS {
            let replica = |d: &&str| self.add(SHARDED, &format!("{shard}-{d}"), d, shard);
            shards.push(v1::Shard {
                index: u32::from(shard),
                replicas: DOMAINS.iter().map(replica).collect(),
            });
        }
        let mut searchers = Vec::new();
        for n in 0..POOL {
            searchers.push(self.add(POOLED, &format!("pool-{n}"), DOMAINS[n % 3], 0));
        }
        let service = |name: &str, kind| v1::Service {
            name: name.to_owned(),
            kind: Some(kind),
            limits: Some(limits()),
            objectives: Some(v1::Objectives::default()),
        };
        let sharded = v1::service::Kind::Sharded(v1::Sharded { shards });
        let pooled = v1::service::Kind::Pooled(v1::Pooled { searchers });
        v1::TierConfig {
            domains: DOMAINS.map(domain).to_vec(),
            services: vec![service(SHARDED, sharded), service(POOLED, pooled)],
        }
    }
}

fn domain(name: &str) -> v1::FailureDomain {
    v1::FailureDomain {
        name: name.to_owned(),
        region: "ceara".to_owned(),
        out: false,
    }
}

fn limits() -> v1::Limits {
    v1::Limits {
        deadline_ms: 500,
        deadline_max: 5_000,
        extra_percent: 20,
        body_bytes: 4_096,
        once_secs: 60,
    }
}

impl World {
    /// World with its first nodes started and its configuration in force.
    pub async fn start() -> Arc<Self> {
        let store = Store::default();
        let mut stage = Stage::default();
        let config = stage.config();
        let net = Net::new(store, stage.spots, HOMES.len());
        let world = Arc::new(Self {
            net,
            config,
            nodes: Mutex::default(),
            hurt: Mutex::default(),
        });
        let injecting = Arc::clone(&world);
        world.net.set_inject(Arc::new(move |fault, place| {
            injecting.inject(fault, place);
        }));
        for _ in 0..FIRST_NODES {
            world.add_node();
        }
        world.apply_first().await;
        world
    }

    async fn apply_first(&self) {
        let request = v1::ApplyRequest {
            config: Some(self.config.clone()),
            ..v1::ApplyRequest::default()
        };
        let node = self.node(0);
        for _ in 0..40 {
            if let Ok(answer) = node.apply(request.clone()).await
                && answer.accepted
            {
                for node in self.nodes() {
                    node.refresh(Revision(answer.revision)).await;
                }
                return;
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    }

    /// Starts the next node.
    pub fn add_node(&self) -> usize {
        let index = lock(&self.nodes).len();
        let name = format!("entry-{index}");
        let info = NodeInfo {
            id: NodeId::from_name(&name),
            name,
            domain: DomainId::from_name(DOMAINS[HOMES[index]]),
            peers: port(10_000, index),
            callers: port(11_000, index),
            started: EPOCH_MS,
        };
        let net = &self.net;
        let node = Node::new(
            info,
            net.clock,
            net.targets(index),
            net.peers(index),
            net.platform(index),
            KEEP_SECS,
        );
        net.join(index, &node);
        lock(&self.nodes).push(Arc::clone(&node));
        self.list_vms();
        tokio::spawn(async move { node.follow().await });
        index
    }

    fn list_vms(&self) {
        let mut vms = Vec::new();
        for (index, node) in self.nodes().iter().enumerate() {
            if self.net.gates[index].is_gone() {
                continue;
            }
            let state = if node.is_stopping() {
                VmState::Leaving
            } else {
                VmState::Live
            };
            vms.push(Vm {
                name: node.info.name.clone(),
                domain: DOMAINS[HOMES[index]].to_owned(),
                peers: node.info.peers,
                callers: node.info.callers,
                state,
            });
        }
        self.net.store.set_vms(vms);
    }

    /// Node at `index`.
    #[must_use]
    pub fn node(&self, index: usize) -> Arc<Node> {
        Arc::clone(&lock(&self.nodes)[index])
    }

    /// Nodes started so far.
    #[must_use]
    pub fn nodes(&self) -> Vec<Arc<Node>> {
        lock(&self.nodes).clone()
    }

    /// Positions of nodes that were killed or paused.
    #[must_use]
    pub fn hurt(&self) -> BTreeSet<usize> {
        lock(&self.hurt).clone()
    }

    /// Positions of nodes that run and are not shutting down.
    #[must_use]
    pub fn live(&self) -> Vec<usize> {
        let nodes = self.nodes();
        let live = |i: &usize| self.net.gates[*i].is_up() && !nodes[*i].is_stopping();
        (0..nodes.len()).filter(live).collect()
    }

    /// Gives every target the snapshots `version - 1` and `version`.
    pub fn roll_snapshot(&self, version: u64) {
        for spot in self.net.targets.values() {
            spot.searcher.change(|settings| {
                settings.snapshots = (
                    Snapshot(version.saturating_sub(1).max(1)),
                    Snapshot(version),
                );
            });
        }
    }

    fn inject(self: &Arc<Self>, fault: Fault, place: Place) {
        let target = place
            .target
            .or_else(|| self.net.targets.keys().min().copied());
        let spot = target.and_then(|id| self.net.targets.get(&id));
        match (fault, spot) {
            (Fault::TargetCrash, Some(spot)) => spot.searcher.restart(),
            (Fault::ColdTurn, Some(spot)) => spot.searcher.chill(),
            (Fault::NodeKill, _) => self.kill(place.node),
            (Fault::NodePause, _) => {
                lock(&self.hurt).insert(place.node);
                self.net.gates[place.node].pause(PAUSE);
            }
            (Fault::StoreDown, _) => self.break_store(Faults {
                down: true,
                ..Faults::default()
            }),
            (Fault::AnswerLost, _) => self.break_store(Faults {
                lose_every: 1,
                ..Faults::default()
            }),
            (Fault::DomainOut, _) => self.take_domain_out(DOMAINS[0]),
            (Fault::Drain, _) => self.drain(place.node),
            _ => {}
        }
    }

    fn kill(self: &Arc<Self>, index: usize) {
        lock(&self.hurt).insert(index);
        self.net.gates[index].kill();
        let world = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(LIST_LAG).await;
            world.list_vms();
        });
    }

    fn break_store(&self, faults: Faults) {
        self.net.store.set_faults(faults);
        let store = self.net.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(OUTAGE).await;
            store.set_faults(Faults::default());
        });
    }

    fn take_domain_out(self: &Arc<Self>, name: &'static str) {
        let world = Arc::clone(self);
        tokio::spawn(async move {
            let request = v1::DomainRequest {
                domain: name.to_owned(),
                out: true,
                dry_run: false,
            };
            for attempt in 0..40 {
                let live = world.live();
                let node = world.node(live[attempt % live.len()]);
                if let Ok(answer) = node.set_domain(request.clone()).await
                    && answer.accepted
                {
                    let now = world.net.clock.now();
                    world.net.journal.lock().domain_out = Some((now, DomainId::from_name(name)));
                    return;
                }
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        });
    }

    /// Starts the planned stop of a node; its process ends after it.
    pub fn drain(self: &Arc<Self>, index: usize) {
        let now = self.net.clock.now();
        self.net.journal.lock().node_drain = Some((now, index));
        let node = self.node(index);
        node.begin_stop();
        self.list_vms();
        let world = Arc::clone(self);
        tokio::spawn(async move {
            node.stopped(STOP_LIMIT).await;
            world.net.gates[index].kill();
            world.list_vms();
        });
    }
}
