//! The state of the tier that one node acts on, read without locks on the
//! path of a request and replaced whole when something changes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use arc_swap::{ArcSwap, Guard};
use heatherrun_schema::v1;
use serde::{Deserialize, Serialize};

use crate::message::NodeInfo;
use crate::{DomainId, Epoch, MapRev, NodeId, Revision, ServiceId, ShardIx, TargetId, Time};

/// One searcher with what the configuration says of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Identifier.
    pub id: TargetId,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Name, unique in the service.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Shard it holds; zero for a pooled service.
    pub shard: ShardIx,
    /// Calls it runs at the same time when warm.
    pub slots: u16,
    /// Connections it accepts.
    pub connections: u16,
}

/// One service, ready for planning.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Identifier.
    pub id: ServiceId,
    /// Name.
    pub name: String,
    /// True when a query goes to one target of each shard.
    pub sharded: bool,
    /// Targets by shard; a pooled service has one shard.
    pub shards: Vec<Vec<TargetId>>,
    /// Version of the shard map: the revision that set this service.
    pub map: MapRev,
    /// Limits.
    pub limits: v1::Limits,
    /// Objectives.
    pub objectives: v1::Objectives,
}

/// Which node may send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Node.
    pub node: NodeId,
    /// Generation of its right.
    pub epoch: Epoch,
}

/// Standing of a node as seen here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Takes requests.
    Live,
    /// Serves, but is not offered to callers.
    Leaving,
    /// Not heard from.
    Silent,
}

/// One node with its standing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Addresses and names.
    pub info: NodeInfo,
    /// Standing.
    pub standing: Standing,
    /// Load in per cent of what the node bears.
    pub load: u8,
}

/// The state of the tier that one node acts on.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Newest revision contained.
    pub revision: Revision,
    /// Failure domains as declared.
    pub domains: Vec<v1::FailureDomain>,
    /// Failure domains that operators have taken out.
    pub out: BTreeSet<DomainId>,
    /// Services.
    pub services: HashMap<ServiceId, Arc<Service>>,
    /// Targets of all services.
    pub targets: HashMap<TargetId, Arc<Target>>,
    /// Owners of targets.
    pub owners: HashMap<TargetId, Owner>,
    /// Nodes.
    pub nodes: BTreeMap<NodeId, Member>,
    /// When the view was last proved fresh.
    pub fresh: Time,
}

impl View {
    /// Adds a service as declared; `revision` is the one that set it.
    /// Targets whose address is no IP and port are left out.
    pub fn add_service(&mut self, service: &v1::Service, revision: Revision) {
        let id = ServiceId::of(&service.name);
        let mut shards = Vec::new();
        match &service.kind {
            Some(v1::service::Kind::Sharded(sharded)) => {
                for shard in &sharded.shards {
                    let ix = ShardIx(u16::try_from(shard.index).unwrap_or(u16::MAX));
                    shards.push(self.add_targets(&service.name, &shard.replicas, ix));
                }
            }
            Some(v1::service::Kind::Pooled(pooled)) => {
                shards.push(self.add_targets(&service.name, &pooled.searchers, ShardIx(0)));
            }
            None => {}
        }
        let sharded = matches!(service.kind, Some(v1::service::Kind::Sharded(_)));
        let made = Service {
            id,
            name: service.name.clone(),
            sharded,
            shards,
            map: MapRev(revision.0),
            limits: service.limits.unwrap_or_default(),
            objectives: service.objectives.unwrap_or_default(),
        };
        self.services.insert(id, Arc::new(made));
        self.revision = self.revision.max(revision);
    }

    fn add_targets(
        &mut self,
        service: &str,
        searchers: &[v1::Searcher],
        shard: ShardIx,
    ) -> Vec<TargetId> {
        let mut ids = Vec::with_capacity(searchers.len());
        for searcher in searchers {
            let Ok(address) = searcher.address.parse() else {
                continue;
            };
            let id = TargetId::of_searcher(service, &searcher.name);
            let target = Target {
                id,
                service: ServiceId::of(service),
                name: searcher.name.clone(),
                address,
                domain: DomainId::of(&searcher.domain),
                shard,
                slots: u16::try_from(searcher.slots).unwrap_or(u16::MAX),
                connections: u16::try_from(searcher.connections).unwrap_or(u16::MAX),
            };
            self.targets.insert(id, Arc::new(target));
            ids.push(id);
        }
        ids
    }

    /// Removes a service and its targets.
    pub fn remove_service(&mut self, id: ServiceId) {
        let Some(gone) = self.services.remove(&id) else {
            return;
        };
        for target in gone.shards.iter().flatten() {
            self.targets.remove(target);
        }
    }

    /// Sets the failure domains as declared.
    pub fn set_domains(&mut self, domains: &[v1::FailureDomain], revision: Revision) {
        self.out = domains
            .iter()
            .filter(|d| d.out)
            .map(|d| DomainId::of(&d.name))
            .collect();
        self.domains = domains.to_vec();
        self.revision = self.revision.max(revision);
    }

    /// The service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(&ServiceId::of(name))
    }

    /// Whether `target` may get new work as far as its failure domain goes.
    #[must_use]
    pub fn admits(&self, target: &Target) -> bool {
        !self.out.contains(&target.domain)
    }
}

/// The current [`View`]; reading it takes no lock.
#[derive(Debug, Default)]
pub struct ViewCell {
    current: ArcSwap<View>,
}

impl ViewCell {
    /// Cell that starts with `view`.
    #[must_use]
    pub fn new(view: View) -> Self {
        Self {
            current: ArcSwap::from_pointee(view),
        }
    }

    /// The view now, for short use.
    #[must_use]
    pub fn load(&self) -> Guard<Arc<View>> {
        self.current.load()
    }

    /// The view now, to keep.
    #[must_use]
    pub fn load_full(&self) -> Arc<View> {
        self.current.load_full()
    }

    /// Replaces the view with what `change` makes of it. `change` may run
    /// more than once when writers race.
    pub fn update(&self, change: impl Fn(&mut View)) {
        self.current.rcu(|old| {
            let mut next = View::clone(old);
            change(&mut next);
            next
        });
    }
}
