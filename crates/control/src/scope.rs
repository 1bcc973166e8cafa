//! What each member of a large tier is told: the services of its cell, and
//! those of the units it holds.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use heatherrun_kernel::control::{Beat, Item, News};
use heatherrun_kernel::{NodeId, ServiceId, Time};

use crate::cell::{self, Nodes};
use crate::changelog::Log;
use crate::desk::NEWS_BYTES;
use crate::manifest::SERVICE;

/// Services that one member was told of.
#[derive(Clone, Debug, Default)]
struct Told {
    services: HashSet<ServiceId>,
    /// Services of an answer that is not acknowledged, with the beat's time.
    pending: Option<(Time, HashSet<ServiceId>)>,
}

/// Services of each member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scopes {
    /// True when the tier is so large that services have cells.
    parted: bool,
    /// All services.
    all: HashSet<ServiceId>,
    cells: BTreeMap<NodeId, HashSet<ServiceId>>,
    told: BTreeMap<NodeId, Told>,
}

impl Scopes {
    /// Works the cells of all services out; each comes with its number of
    /// targets. Returns the nodes that may own a service's units, nothing in
    /// a tier that serves everything everywhere.
    pub fn plan(
        &mut self,
        nodes: &Nodes,
        services: impl IntoIterator<Item = (ServiceId, usize)>,
    ) -> BTreeMap<ServiceId, BTreeSet<NodeId>> {
        self.parted = nodes.values().map(Vec::len).sum::<usize>() > cell::WHOLE;
        self.cells.clear();
        self.all.clear();
        let mut owners = BTreeMap::new();
        for (service, targets) in services {
            self.all.insert(service);
            if !self.parted {
                continue;
            }
            let members = cell::members(service, targets, nodes);
            for node in &members {
                self.cells.entry(*node).or_default().insert(service);
            }
            owners.insert(service, members);
        }
        let known: HashSet<_> = nodes.values().flatten().collect();
        self.told.retain(|node, _| known.contains(node));
        owners
    }

    /// News for the sender of `beat`, who holds units of `held` and has seen
    /// the log up to `seen`. What belongs to a service that is new to it comes
    /// whole, however old, until a beat acknowledges it.
    pub fn news(
        &mut self,
        beat: &Beat,
        held: impl IntoIterator<Item = ServiceId>,
        log: &Log,
        seen: u64,
    ) -> News {
        let scope = self.scope(beat.from, held);
        let parted = self.parted;
        let mut news = log.since(seen, NEWS_BYTES, |item| !parted || wants(&scope, item));
        let told = self.told.entry(beat.from).or_default();
        told.settle(beat.ack);
        let grown: HashSet<_> = scope.difference(&told.services).copied().collect();
        if grown.is_empty() {
            return news;
        }
        if !news.reset {
            let mut items = log.until(seen, |item| is_new(&grown, item));
            items.append(&mut news.items);
            news.items = items;
        }
        told.pending = Some((beat.sent, scope));
        news
    }
}

impl Scopes {
    fn scope(&self, node: NodeId, held: impl IntoIterator<Item = ServiceId>) -> HashSet<ServiceId> {
        if !self.parted {
            return self.all.clone();
        }
        let mut scope = self.cells.get(&node).cloned().unwrap_or_default();
        scope.extend(held);
        scope
    }
}

impl Told {
    fn settle(&mut self, ack: Time) {
        if let Some((_, services)) = self.pending.take_if(|(sent, _)| ack >= *sent) {
            self.services = services;
        }
    }
}

fn wants(scope: &HashSet<ServiceId>, item: &Item) -> bool {
    match item {
        Item::Config(kv) => wants_part(scope, &kv.key),
        Item::Patch(patch) => wants_part(scope, &patch.key),
        Item::Owner(note) => scope.contains(&note.service),
        Item::Force(_) => false,
        Item::Head(_) | Item::Member(_) | Item::Left(_) => true,
    }
}

fn wants_part(scope: &HashSet<ServiceId>, key: &str) -> bool {
    service_of(key).is_none_or(|service| scope.contains(&service))
}

/// Whether an item belongs to one of the services, or puts parts in force.
fn is_new(services: &HashSet<ServiceId>, item: &Item) -> bool {
    match item {
        Item::Config(kv) => service_of(&kv.key).is_some_and(|s| services.contains(&s)),
        Item::Owner(note) => services.contains(&note.service),
        Item::Head(_) => true,
        _ => false,
    }
}

fn service_of(key: &str) -> Option<ServiceId> {
    key.strip_prefix(SERVICE).map(ServiceId::of)
}
