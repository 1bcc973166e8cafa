//! Which services a leader sends to each member: all of them in a small tier;
//! in a large one those whose cell contains the member, and those of the units
//! that it holds.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use heatherrun_kernel::control::{Heartbeat, LogEntry, LogUpdate};
use heatherrun_kernel::{NodeId, ServiceId, Time};

use crate::cell::{self, Nodes};
use crate::changelog::Log;
use crate::domain_leader::MAX_UPDATE_BYTES;
use crate::manifest::SERVICE_PART_PREFIX;

/// Services that were sent to one member.
#[derive(Clone, Debug, Default)]
struct SentServices {
    /// Services of which the member acknowledged a full copy.
    acknowledged: HashSet<ServiceId>,
    /// Services of an answer that is not acknowledged yet, with the send time of
    /// the heartbeat that it answered.
    pending: Option<(Time, HashSet<ServiceId>)>,
}

/// Services to send to each member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scopes {
    /// True when the tier is so large that each service has a cell.
    partitioned: bool,
    all: HashSet<ServiceId>,
    /// Services whose cell contains the node.
    by_node: BTreeMap<NodeId, HashSet<ServiceId>>,
    sent: BTreeMap<NodeId, SentServices>,
}

impl Scopes {
    /// Computes the cells of `services`, each given with its number of targets.
    /// Returns for each service the nodes that may own its units; empty in a
    /// tier in which every node serves every service.
    pub fn assign_cells(
        &mut self,
        nodes: &Nodes,
        services: impl IntoIterator<Item = (ServiceId, usize)>,
    ) -> BTreeMap<ServiceId, BTreeSet<NodeId>> {
        self.partitioned =
            nodes.values().map(Vec::len).sum::<usize>() > cell::MAX_UNPARTITIONED_NODES;
        self.by_node.clear();
        self.all.clear();
        let mut owners = BTreeMap::new();
        for (service, targets) in services {
            self.all.insert(service);
            if !self.partitioned {
                continue;
            }
            let cell_nodes = cell::members(service, targets, nodes);
            for node in &cell_nodes {
                self.by_node.entry(*node).or_default().insert(service);
            }
            owners.insert(service, cell_nodes);
        }
        let known: HashSet<_> = nodes.values().flatten().collect();
        self.sent.retain(|node, _| known.contains(node));
        owners
    }

    /// Selects the updates for the sender of `heartbeat`, which holds units of
    /// the services in `held` and has the log up to `log_position`. All items of
    /// a service that is new to the sender are included, whatever their age,
    /// until a heartbeat acknowledges them.
    pub fn updates_for(
        &mut self,
        heartbeat: &Heartbeat,
        held: impl IntoIterator<Item = ServiceId>,
        log: &Log,
        log_position: u64,
    ) -> LogUpdate {
        let scope = self.services_for(heartbeat.from, held);
        let partitioned = self.partitioned;
        let mut updates = log.changes_since(log_position, MAX_UPDATE_BYTES, |item| {
            !partitioned || is_in_scope(&scope, item)
        });
        let sent = self.sent.entry(heartbeat.from).or_default();
        sent.acknowledge(heartbeat.ack);
        let added: HashSet<_> = scope.difference(&sent.acknowledged).copied().collect();
        if added.is_empty() {
            return updates;
        }
        if !updates.reset {
            let mut items = log.changes_until(log_position, |item| is_new(&added, item));
            items.append(&mut updates.items);
            updates.items = items;
        }
        sent.pending = Some((heartbeat.sent, scope));
        updates
    }
}

impl Scopes {
    fn services_for(
        &self,
        node: NodeId,
        held: impl IntoIterator<Item = ServiceId>,
    ) -> HashSet<ServiceId> {
        if !self.partitioned {
            return self.all.clone();
        }
        let mut scope = self.by_node.get(&node).cloned().unwrap_or_default();
        scope.extend(held);
        scope
    }
}

impl SentServices {
    /// Moves the pending services to the acknowledged ones if `ack`, the send
    /// time of the last answered heartbeat, covers them.
    fn acknowledge(&mut self, ack: Time) {
        if let Some((_, services)) = self.pending.take_if(|(sent, _)| ack >= *sent) {
            self.acknowledged = services;
        }
    }
}

fn is_in_scope(scope: &HashSet<ServiceId>, item: &LogEntry) -> bool {
    match item {
        LogEntry::Config(kv) => is_part_in_scope(scope, &kv.key),
        LogEntry::Patch(patch) => is_part_in_scope(scope, &patch.key),
        LogEntry::Owner(update) => scope.contains(&update.service),
        LogEntry::Rollout(_) => false,
        LogEntry::Head(_) | LogEntry::Member(_) | LogEntry::Left(_) => true,
    }
}

fn is_part_in_scope(scope: &HashSet<ServiceId>, key: &str) -> bool {
    service_of(key).is_none_or(|service| scope.contains(&service))
}

/// Whether an item must be sent for services that are new to the receiver: it
/// belongs to one of them, or it is a head, which puts their parts in force.
fn is_new(services: &HashSet<ServiceId>, item: &LogEntry) -> bool {
    match item {
        LogEntry::Config(kv) => service_of(&kv.key).is_some_and(|s| services.contains(&s)),
        LogEntry::Owner(update) => services.contains(&update.service),
        LogEntry::Head(_) => true,
        _ => false,
    }
}

fn service_of(key: &str) -> Option<ServiceId> {
    key.strip_prefix(SERVICE_PART_PREFIX)
        .map(ServiceId::from_name)
}
