//! A handful of real nodes over in-memory links, searchers and the store.
//! Links can be cut, nodes killed, and VMs paused and woken.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use heatherrun_kernel::message::{CallError, CallResult, Failure, NodeInfo, TargetCall};
use heatherrun_kernel::port::{AsyncFn, PeerError, Peers, Platform, StoreError, Targets};
use heatherrun_kernel::port::{Vm, VmState, async_fn};
use heatherrun_kernel::{Clock, DomainId, Epoch, NodeId, ShardIx, TargetId};
use heatherrun_schema::v1;
use heatherrun_tier::node::Node;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::gate::{Gate, Gated};
use crate::searcher::{Searcher, Settings};
use crate::store::Store;

/// Longest wait for an answer of a peer or the platform.
const ANSWER: Duration = Duration::from_secs(2);

/// One-way delay between nodes.
const DELAY: Duration = Duration::from_millis(1);

/// Seconds that callers may keep an address answer.
const KEEP_SECS: u32 = 5;

/// Unix time at the start of each node, in milliseconds.
const UNIX_MS: u64 = 1_800_000_000_000;

/// One call that reached the wire to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// When.
    pub at: Instant,
    /// Sender.
    pub node: NodeId,
    /// Target.
    pub target: TargetId,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// Epoch of the sender's right.
    pub epoch: Epoch,
}

/// One node of the mesh.
pub struct MeshNode {
    /// Node.
    pub node: Arc<Node>,
    /// VM of the node; closed while it is paused.
    pub gate: Arc<Gate>,
    /// Name of its failure domain.
    pub domain: String,
    task: Option<JoinHandle<()>>,
}

impl MeshNode {
    /// Whether the node runs, paused or not.
    #[must_use]
    pub const fn runs(&self) -> bool {
        self.task.is_some()
    }
}

#[derive(Default)]
struct Links {
    nodes: HashMap<SocketAddr, (Arc<Node>, Arc<Gate>)>,
    searchers: HashMap<TargetId, (Searcher, DomainId)>,
    /// Pairs of nodes that cannot talk; the address alone is cut from the
    /// store.
    cut: HashSet<(SocketAddr, Option<SocketAddr>)>,
    sent: Vec<Sent>,
}

/// The nodes and everything outside them.
#[derive(Default)]
pub struct Mesh {
    /// Platform.
    pub store: Store,
    /// Nodes, killed ones too.
    pub nodes: Vec<MeshNode>,
    /// Searchers by the name of their target.
    pub searchers: BTreeMap<String, Searcher>,
    links: Arc<Mutex<Links>>,
    count: u16,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Mesh {
    /// Adds a searcher of `service`; returns its part of the configuration.
    pub fn add_searcher(
        &mut self,
        service: &str,
        name: &str,
        domain: &str,
        settings: Settings,
    ) -> v1::Searcher {
        self.count += 1;
        let address = SocketAddr::from((Ipv4Addr::new(10, 1, 0, 1), self.count));
        let config = v1::Searcher {
            name: name.to_owned(),
            address: address.to_string(),
            domain: domain.to_owned(),
            slots: u32::from(settings.slots),
            connections: u32::from(settings.slots) * 10,
        };
        let searcher = Searcher::new(settings);
        let id = TargetId::from_searcher(service, name);
        let place = (searcher.clone(), DomainId::from_name(domain));
        lock(&self.links).searchers.insert(id, place);
        self.searchers.insert(name.to_owned(), searcher);
        config
    }

    /// Adds the searchers of a sharded service, one replica of each shard in
    /// each of `domains`; returns its configuration.
    pub fn add_sharded(
        &mut self,
        name: &str,
        shards: u16,
        domains: &[&str],
        settings: &Settings,
    ) -> v1::Service {
        let mut made = Vec::new();
        for shard in 0..shards {
            let mut replicas = Vec::new();
            for domain in domains {
                let mut own = settings.clone();
                own.shard = ShardIx(shard);
                own.seed += u64::from(self.count);
                let label = format!("{name}-{shard}-{domain}");
                replicas.push(self.add_searcher(name, &label, domain, own));
            }
            made.push(v1::Shard {
                index: u32::from(shard),
                replicas,
            });
        }
        v1::Service {
            name: name.to_owned(),
            kind: Some(v1::service::Kind::Sharded(v1::Sharded { shards: made })),
            limits: Some(v1::Limits::default()),
            objectives: Some(v1::Objectives::default()),
        }
    }

    /// Starts a node and lists it as a live VM; returns its position.
    pub fn add_node(&mut self, name: &str, domain: &str) -> usize {
        self.count += 1;
        let info = NodeInfo {
            id: NodeId::from_name(name),
            name: name.to_owned(),
            domain: DomainId::from_name(domain),
            peers: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), self.count)),
            callers: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 2), self.count)),
            started: UNIX_MS + u64::from(self.count),
        };
        let (address, gate) = (info.peers, Arc::new(Gate::default()));
        let node = Node::new(
            info,
            Clock::start(),
            self.targets(NodeId::from_name(name), &gate),
            self.peers(address),
            self.platform(address),
            KEEP_SECS,
        );
        let place = (Arc::clone(&node), Arc::clone(&gate));
        lock(&self.links).nodes.insert(address, place);
        let following = Arc::clone(&node);
        let run = Gated::new(Arc::clone(&gate), async move { following.follow().await });
        self.nodes.push(MeshNode {
            node,
            gate,
            domain: domain.to_owned(),
            task: Some(tokio::spawn(run)),
        });
        self.list();
        self.nodes.len() - 1
    }

    /// Lists the running nodes as live VMs.
    pub fn list(&self) {
        let mut vms = Vec::new();
        for local in self.nodes.iter().filter(|n| n.runs()) {
            vms.push(Vm {
                name: local.node.info.name.clone(),
                domain: local.domain.clone(),
                peers: local.node.info.peers,
                callers: local.node.info.callers,
                state: VmState::Live,
            });
        }
        self.store.set_vms(vms);
    }

    /// Ends a node at once; the list of VMs still shows it.
    pub fn kill(&mut self, at: usize) {
        let local = &mut self.nodes[at];
        if let Some(task) = local.task.take() {
            task.abort();
        }
        lock(&self.links).nodes.remove(&local.node.info.peers);
    }

    /// Cuts a node from the store, or joins it again.
    pub fn cut_store(&self, at: usize, cut: bool) {
        let address = self.nodes[at].node.info.peers;
        set(&mut lock(&self.links).cut, (address, None), cut);
    }

    /// Cuts a node from all others, or joins it again.
    pub fn cut_peers(&self, at: usize, cut: bool) {
        for other in 0..self.nodes.len() {
            if other != at {
                self.cut_pair(at, other, cut);
            }
        }
    }

    /// Cuts two nodes from each other, or joins them again.
    pub fn cut_pair(&self, one: usize, other: usize, cut: bool) {
        let one = self.nodes[one].node.info.peers;
        let other = self.nodes[other].node.info.peers;
        let mut links = lock(&self.links);
        set(&mut links.cut, (one, Some(other)), cut);
        set(&mut links.cut, (other, Some(one)), cut);
    }

    /// Calls sent to targets so far.
    #[must_use]
    pub fn sent(&self) -> Vec<Sent> {
        lock(&self.links).sent.clone()
    }

    fn targets(&self, node: NodeId, gate: &Arc<Gate>) -> Targets {
        let (links, gate) = (Arc::clone(&self.links), Arc::clone(gate));
        let reports = Arc::clone(&self.links);
        Targets {
            call: async_fn(move |(_, call)| {
                let (links, gate) = (Arc::clone(&links), Arc::clone(&gate));
                async move {
                    gate.pass().await;
                    send(&links, node, call).await
                }
            }),
            cancel: async_fn(|_| async {}),
            report: async_fn(move |(_, target)| {
                let found = lock(&reports).searchers.get(&target).cloned();
                async move { found.map(|(searcher, _)| searcher.report()) }
            }),
        }
    }

    fn peers(&self, from: SocketAddr) -> Peers {
        Peers {
            search: self.message(
                from,
                |node, batch| async move { node.owner.search(batch).await },
            ),
            collect: self.message(from, |node, collect| async move {
                node.owner.collect(collect).await
            }),
            cancel: self.message(from, |node, cancel| async move {
                node.owner.cancel(cancel).await;
            }),
            control: self.message(from, |node, ask| async move { node.answer(&ask) }),
        }
    }

    fn message<In, Out, F>(
        &self,
        from: SocketAddr,
        act: impl Fn(Arc<Node>, In) -> F + Clone + Send + Sync + 'static,
    ) -> AsyncFn<(SocketAddr, In), Result<Out, PeerError>>
    where
        In: Send + 'static,
        Out: Send + 'static,
        F: Future<Output = Out> + Send + 'static,
    {
        let links = Arc::clone(&self.links);
        async_fn(move |(to, message)| {
            let (links, act) = (Arc::clone(&links), act.clone());
            async move {
                if lock(&links).cut.contains(&(from, Some(to))) {
                    tokio::time::sleep(ANSWER).await;
                    return Err(PeerError::NoAnswer);
                }
                let found = lock(&links).nodes.get(&to).cloned();
                let (node, gate) = found.ok_or(PeerError::NotSent)?;
                tokio::time::sleep(DELAY).await;
                let work = Gated::new(gate, act(node, message));
                let out = tokio::time::timeout(ANSWER, work).await;
                tokio::time::sleep(DELAY).await;
                out.map_err(|_| PeerError::NoAnswer)
            }
        })
    }

    fn platform(&self, from: SocketAddr) -> Platform {
        let (links, store) = (Arc::clone(&self.links), self.store.clone());
        Platform {
            call: async_fn(move |call| {
                let (links, store) = (Arc::clone(&links), store.clone());
                async move {
                    if lock(&links).cut.contains(&(from, None)) {
                        tokio::time::sleep(ANSWER).await;
                        return Err(StoreError::NoAnswer).into();
                    }
                    tokio::time::sleep(DELAY).await;
                    store.answer(call).await
                }
            }),
        }
    }
}

async fn send(links: &Mutex<Links>, node: NodeId, call: TargetCall) -> CallResult {
    let found = {
        let mut links = lock(links);
        let found = links.searchers.get(&call.target).cloned();
        if let Some((_, domain)) = &found {
            let sent = Sent {
                at: Instant::now(),
                node,
                target: call.target,
                domain: *domain,
                epoch: call.epoch,
            };
            links.sent.push(sent);
        }
        found
    };
    let Some((searcher, _)) = found else {
        return Err(CallError::not_run(Failure::NoConnection));
    };
    searcher.call(call).await
}

fn set<T: std::hash::Hash + Eq>(all: &mut HashSet<T>, item: T, present: bool) {
    if present {
        all.insert(item);
    } else {
        all.remove(&item);
    }
}
