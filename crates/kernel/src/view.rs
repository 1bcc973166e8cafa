//! The state of the tier as known to one node. The path of a request reads it
//! without locks; a change replaces it as a whole.

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

/// One searcher, as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Identifier.
    pub id: TargetId,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Name, unique within the service.
    pub name: String,
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Shard that it holds; zero for a pooled service.
    pub shard: ShardIx,
    /// Number of calls that it runs concurrently when warm.
    pub slots: u16,
    /// Maximum number of connections that it accepts.
    pub connections: u16,
}

/// One service, in the form used to plan queries.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Identifier.
    pub id: ServiceId,
    /// Name.
    pub name: String,
    /// True when a query is sent to one target of each shard; false for a pooled
    /// service.
    pub sharded: bool,
    /// Targets by shard; a pooled service has one shard.
    pub shards: Vec<Vec<TargetId>>,
    /// Version of the shard map: the revision that last changed this service.
    pub map: MapRev,
    /// Limits on requests to the service.
    pub limits: v1::Limits,
    /// Service-level objectives.
    pub objectives: v1::Objectives,
}

/// The only node that may send calls to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Node that owns the target.
    pub node: NodeId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
}

/// Availability of a node, as known to the local node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// Accepts requests.
    Live,
    /// Shutting down: still serves requests, but is not offered to callers.
    Leaving,
    /// Unresponsive: no recent heartbeat.
    Silent,
}

/// One node and its availability.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identity and addresses.
    pub info: NodeInfo,
    /// Availability of the node.
    pub standing: Availability,
    /// Load in per cent of the node's capacity.
    pub load: u8,
}

/// The state of the tier, as known to one node.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Newest configuration revision contained.
    pub revision: Revision,
    /// Failure domains, as configured.
    pub domains: Vec<v1::FailureDomain>,
    /// Failure domains that operators took out of service.
    pub out_domains: BTreeSet<DomainId>,
    /// Configured services.
    pub services: HashMap<ServiceId, Arc<Service>>,
    /// Targets of all services.
    pub targets: HashMap<TargetId, Arc<Target>>,
    /// Owners of targets.
    pub owners: HashMap<TargetId, Owner>,
    /// Nodes with their availability.
    pub nodes: BTreeMap<NodeId, Member>,
    /// Time at which the view was last confirmed to be up to date.
    pub confirmed_at: Time,
}

impl View {
    /// Adds a service, as configured at `revision`. Targets whose address is
    /// not an IP address with a port are skipped.
    pub fn add_service(&mut self, service: &v1::Service, revision: Revision) {
        let id = ServiceId::from_name(&service.name);
        let mut shards = Vec::new();
        match &service.kind {
            Some(v1::service::Kind::Sharded(sharded)) => {
                for shard in &sharded.shards {
                    let shard_index = ShardIx(u16::try_from(shard.index).unwrap_or(u16::MAX));
                    shards.push(self.add_targets(&service.name, &shard.replicas, shard_index));
                }
            }
            Some(v1::service::Kind::Pooled(pooled)) => {
                shards.push(self.add_targets(&service.name, &pooled.searchers, ShardIx(0)));
            }
            None => {}
        }
        let sharded = matches!(service.kind, Some(v1::service::Kind::Sharded(_)));
        let added = Service {
            id,
            name: service.name.clone(),
            sharded,
            shards,
            map: MapRev(revision.0),
            limits: service.limits.unwrap_or_default(),
            objectives: service.objectives.unwrap_or_default(),
        };
        self.services.insert(id, Arc::new(added));
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
            let id = TargetId::from_searcher(service, &searcher.name);
            let target = Target {
                id,
                service: ServiceId::from_name(service),
                name: searcher.name.clone(),
                address,
                domain: DomainId::from_name(&searcher.domain),
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
        let Some(removed) = self.services.remove(&id) else {
            return;
        };
        for target in removed.shards.iter().flatten() {
            self.targets.remove(target);
        }
    }

    /// Sets the failure domains, as configured at `revision`.
    pub fn set_domains(&mut self, domains: &[v1::FailureDomain], revision: Revision) {
        self.out_domains = domains
            .iter()
            .filter(|d| d.out)
            .map(|d| DomainId::from_name(&d.name))
            .collect();
        self.domains = domains.to_vec();
        self.revision = self.revision.max(revision);
    }

    /// The service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(&ServiceId::from_name(name))
    }

    /// Whether the failure domain of `target` is in service. The state of the
    /// target itself is not checked.
    #[must_use]
    pub fn is_in_service(&self, target: &Target) -> bool {
        !self.out_domains.contains(&target.domain)
    }
}

/// The current [`View`]; reading it takes no lock.
#[derive(Debug, Default)]
pub struct ViewCell {
    current: ArcSwap<View>,
}

impl ViewCell {
    /// Creates a cell that contains `view`.
    #[must_use]
    pub fn new(view: View) -> Self {
        Self {
            current: ArcSwap::from_pointee(view),
        }
    }

    /// The current view, as a guard to be held only briefly.
    #[must_use]
    pub fn load(&self) -> Guard<Arc<View>> {
        self.current.load()
    }

    /// The current view, as a reference that may be kept.
    #[must_use]
    pub fn load_full(&self) -> Arc<View> {
        self.current.load_full()
    }

    /// Replaces the view with a copy to which `change` was applied. `change`
    /// may run several times when there are concurrent writers.
    pub fn update(&self, change: impl Fn(&mut View)) {
        self.current.rcu(|old| {
            let mut next = View::clone(old);
            change(&mut next);
            next
        });
    }
}
