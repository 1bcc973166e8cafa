//! A cell: a handful of nodes with the daemon's entries and owners, over
//! in-memory searchers.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use heatherrun_control::rendezvous;
use heatherrun_fakes::searcher::{Searcher, Settings};
use heatherrun_kernel::control::{ControlAnswer, ControlRequest};
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::port::async_fn;
use heatherrun_kernel::view::{Availability, Member, Owner as OwnerOf, Service};
use heatherrun_kernel::{Clock, DomainId, Epoch, MapRev, NodeId, Revision, ServiceId, ShardIx};
use heatherrun_kernel::{ONCE_PARTITIONS, TargetId, View, ViewCell, port::Targets};
use heatherrun_schema::v1;
use heatherrun_tier::entry::Entry;
use heatherrun_tier::owner::{Owner, Right};

use crate::links::{Links, Place, Reach};
use crate::plan::{Plan, ServicePlan};

/// Revision of the configuration at the start.
const START: Revision = Revision(1);

/// Unix time at the start of the paused clock, in milliseconds.
pub const START_MS: u64 = 1_000_000;

/// One node.
pub struct CellNode {
    /// Names and addresses.
    pub info: NodeInfo,
    /// Entry.
    pub entry: Arc<Entry>,
    /// View that the node acts on.
    pub view: Arc<ViewCell>,
    /// Ports to targets, for baselines.
    pub targets: Targets,
}

/// Nodes and searchers.
pub struct Cell {
    /// Plan that it was built by.
    pub plan: Plan,
    /// Clock.
    pub clock: Clock,
    /// Nodes.
    pub nodes: Vec<CellNode>,
    /// Searchers.
    pub searchers: BTreeMap<TargetId, Searcher>,
    /// Links.
    pub links: Arc<Links>,
    /// Remarks that a script leaves for the table.
    pub notes: Mutex<Vec<String>>,
    /// Targets that one request crashed, at the most.
    pub worst: AtomicU64,
    maps: Mutex<Vec<Map>>,
}

/// One version of the shard map of one service.
#[derive(Clone)]
struct Map {
    service: ServiceId,
    rev: MapRev,
    shards: Vec<Vec<TargetId>>,
}

impl Cell {
    /// Builds the cell of `plan`; needs a runtime.
    #[must_use]
    pub fn new(plan: Plan) -> Arc<Self> {
        let view = first_view(&plan);
        let maps = view.services.values().map(|s| map_of(s)).collect();
        let mut searchers = BTreeMap::new();
        let mut places = HashMap::new();
        for target in view.targets.values() {
            let settings = Settings {
                shard: target.shard,
                slots: target.slots,
                bears: target.slots * 2,
                map: MapRev(START.0),
                seed: plan.seed ^ target.id.0,
                ..plan.searcher.clone()
            };
            let searcher = Searcher::new(settings);
            let place = Place {
                searcher: searcher.clone(),
                domain: target.domain,
            };
            searchers.insert(target.id, searcher);
            places.insert(target.id, place);
        }
        let links = Links::new(plan.delays, places, plan.seed);
        let clock = Clock::start();
        let mut nodes = Vec::new();
        let mut reaches = HashMap::new();
        for member in view.nodes.values() {
            let (node, reach) = make_node(member.info.clone(), &view, &links, clock);
            reaches.insert(node.info.peers, reach);
            nodes.push(node);
        }
        links.join(reaches);
        Arc::new(Self {
            plan,
            clock,
            nodes,
            searchers,
            links,
            notes: Mutex::default(),
            worst: AtomicU64::new(0),
            maps: Mutex::new(maps),
        })
    }

    /// Replicas by shard of a service.
    #[must_use]
    pub fn shards(&self, service: &str) -> Vec<Vec<TargetId>> {
        let view = self.nodes[0].view.load();
        view.service(service)
            .map(|s| s.shards.clone())
            .unwrap_or_default()
    }

    /// Every shard map that the service had, newest first.
    pub fn maps(&self, service: &str) -> impl Iterator<Item = (MapRev, Vec<Vec<TargetId>>)> {
        let id = ServiceId::from_name(service);
        let maps = lock(&self.maps).clone();
        let own = maps.into_iter().rev().filter(move |m| m.service == id);
        own.map(|m| (m.rev, m.shards))
    }

    /// Notes a new shard map before any node takes it.
    pub fn add_map(&self, service: &Service) {
        lock(&self.maps).push(map_of(service));
    }

    /// Notes how many targets one request crashed.
    pub fn note_worst(&self, crashed: u64) {
        self.worst.fetch_max(crashed, Ordering::Relaxed);
    }

    /// Leaves a remark for the table.
    pub fn remark(&self, text: String) {
        lock(&self.notes).push(text);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn map_of(service: &Service) -> Map {
    Map {
        service: service.id,
        rev: service.map,
        shards: service.shards.clone(),
    }
}

fn make_node(info: NodeInfo, view: &View, links: &Arc<Links>, clock: Clock) -> (CellNode, Reach) {
    let me = info.id;
    let view = Arc::new(ViewCell::new(view.clone()));
    let rights = Arc::clone(&view);
    let right = move |target: TargetId, _now| {
        let view = rights.load();
        let owner = view.owners.get(&target)?;
        let right = Right {
            epoch: owner.epoch,
            share: 100,
            since: 0,
        };
        (owner.node == me).then_some(right)
    };
    let targets = links.targets(info.domain);
    let owner = Owner::new(clock, Arc::clone(&view), targets.clone(), Arc::new(right));
    let peers = links.peers(info.domain);
    let entry = Entry::new(
        clock,
        me,
        Arc::clone(&view),
        peers,
        Arc::clone(&owner),
        info.started,
    );
    let answering = (Arc::clone(&entry), Arc::clone(&owner));
    let control = async_fn(move |request| {
        let answer = answer(&answering.0, &answering.1, &request);
        async move { answer }
    });
    let reach = Reach {
        domain: info.domain,
        owner,
        control,
    };
    let node = CellNode {
        info,
        entry,
        view,
        targets,
    };
    (node, reach)
}

/// Answers a control message as a node does, but for those of the control
/// plane, which a cell does not run.
fn answer(entry: &Entry, owner: &Owner, request: &ControlRequest) -> ControlAnswer {
    match request {
        ControlRequest::Claim(claim) => ControlAnswer::Claim(entry.once().claim(claim)),
        ControlRequest::ReportOutcome(report) => {
            entry.once().record_outcome(report);
            ControlAnswer::Accepted
        }
        ControlRequest::Suspect(told) => {
            owner.suspects().note(told);
            ControlAnswer::Accepted
        }
        _ => ControlAnswer::Refused(None),
    }
}

fn first_view(plan: &Plan) -> View {
    let mut view = View::default();
    let domain = |name: &&str| v1::FailureDomain {
        name: (*name).to_owned(),
        ..v1::FailureDomain::default()
    };
    let domains: Vec<_> = plan.domains.iter().map(domain).collect();
    view.set_domains(&domains, START);
    for service in &plan.services {
        view.add_service(&declare(service, &plan.domains), START);
    }
    for ix in 0..plan.nodes {
        let member = member(ix, plan);
        view.nodes.insert(member.info.id, member);
    }
    own_partitions(&mut view, plan);
    let targets: Vec<_> = view.targets.values().cloned().collect();
    for target in targets {
        let near = view
            .nodes
            .values()
            .filter(|m| m.info.domain == target.domain);
        if let Some(node) = rendezvous::choose(target.id, near.map(|m| m.info.id)) {
            let owner = OwnerOf {
                node,
                epoch: Epoch(1),
            };
            view.owners.insert(target.id, owner);
        }
    }
    view
}

/// Gives the partitions of once-only records to the nodes.
fn own_partitions(view: &mut View, plan: &Plan) {
    let nodes: Vec<_> = view.nodes.keys().copied().collect();
    for service in plan.services.iter().filter(|s| s.shards == 0) {
        for n in 0..ONCE_PARTITIONS {
            let unit = TargetId::from_partition(service.name, n);
            if let Some(node) = rendezvous::choose(unit, nodes.iter().copied()) {
                let epoch = Epoch(1);
                view.owners.insert(unit, OwnerOf { node, epoch });
            }
        }
    }
}

fn member(ix: usize, plan: &Plan) -> Member {
    let name = format!("entry-{ix}");
    let port = u16::try_from(ix).unwrap_or(0) + 1;
    let info = NodeInfo {
        id: NodeId::from_name(&name),
        name,
        domain: DomainId::from_name(plan.domains[ix % plan.domains.len()]),
        peers: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        callers: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        started: START_MS,
    };
    Member {
        info,
        standing: Availability::Live,
        load: 0,
    }
}

fn declare(service: &ServicePlan, domains: &[&str; 3]) -> v1::Service {
    let searcher = |shard: u16, replica: u16| v1::Searcher {
        name: format!("{}-{shard}-{replica}", service.name),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)).to_string(),
        domain: domains[usize::from(replica) % domains.len()].to_owned(),
        slots: u32::from(service.slots),
        connections: u32::from(service.connections),
    };
    let replicas = |shard: u16| (0..service.replicas).map(|r| searcher(shard, r)).collect();
    let kind = if service.shards == 0 {
        v1::service::Kind::Pooled(v1::Pooled {
            searchers: replicas(0),
        })
    } else {
        let shard = |ix: u16| v1::Shard {
            index: u32::from(ShardIx(ix).0),
            replicas: replicas(ix),
        };
        v1::service::Kind::Sharded(v1::Sharded {
            shards: (0..service.shards).map(shard).collect(),
        })
    };
    v1::Service {
        name: service.name.to_owned(),
        kind: Some(kind),
        limits: Some(v1::Limits::default()),
        objectives: Some(v1::Objectives::default()),
    }
}
