//! Which nodes there are, and which of them this node asks for the changes of
//! the store.
//!
//! The nodes of a failure domain form a tree, ordered by power: the first one
//! reads the store, and each other one asks the node above it and reports
//! itself and the nodes below it there. So no node serves more than
//! [`FAN_OUT`] others, whatever the size of the fleet. The first node writes
//! the roster of the domain to the store, from which all nodes learn it.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, NodeEntry};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Maximum number of nodes that ask the same node.
pub const FAN_OUT: usize = 8;

/// Nodes of a failure domain that may read the store, each only when those
/// ranked before it do not.
pub const READERS_PER_DOMAIN: usize = 3;

/// Time after which a node that reports no more is left out.
const REPORT_TTL: Duration = Duration::from_millis(2_500);

/// Time for which a node counts that only a seed told of.
const HINT_TTL: Duration = Duration::from_secs(3);

/// Time for which a node that said that it leaves is left out, although a
/// roster may still list it.
const LEFT_TTL: Duration = Duration::from_secs(10);

/// Maximum number of nodes that a seed tells a starting node of.
const MAX_HINTS: usize = 64;

/// What a node tells the node above it with each request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The reporting node.
    pub node: NodeEntry,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Hash of the nodes below it.
    pub below_hash: u64,
    /// The nodes below it, unless the receiver knows them already.
    pub below: Option<Vec<NodeEntry>>,
}

/// Nodes that reported to one reader, as the reader writes them to the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    domain: Name,
    region: Name,
    nodes: Vec<RosterRow>,
}

/// Name, address for callers, address for other nodes, power, and whether the
/// node is busy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RosterRow(Name, SocketAddr, PeerAddress, f64, bool);

/// Address for other nodes; the port alone if the host is that for callers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
enum PeerAddress {
    Port(u16),
    Full(SocketAddr),
}

impl Roster {
    /// Roster of these nodes, all of the domain and region of `reader`.
    #[must_use]
    pub fn new(reader: &NodeEntry, nodes: &[NodeEntry]) -> Self {
        let row = |node: &NodeEntry| {
            let peers = if node.peers.ip() == node.callers.ip() {
                PeerAddress::Port(node.peers.port())
            } else {
                PeerAddress::Full(node.peers)
            };
            RosterRow(
                Name::clone(&node.name),
                node.callers,
                peers,
                node.power,
                node.busy,
            )
        };
        Self {
            domain: Name::clone(&reader.domain),
            region: Name::clone(&reader.region),
            nodes: nodes.iter().map(row).collect(),
        }
    }

    /// The nodes that it lists.
    pub fn entries(&self) -> impl Iterator<Item = NodeEntry> {
        self.nodes
            .iter()
            .map(|RosterRow(name, callers, peers, power, busy)| NodeEntry {
                name: Name::clone(name),
                callers: *callers,
                peers: match peers {
                    PeerAddress::Port(port) => SocketAddr::new(callers.ip(), *port),
                    PeerAddress::Full(address) => *address,
                },
                domain: Name::clone(&self.domain),
                region: Name::clone(&self.region),
                power: *power,
                busy: *busy,
            })
    }
}

/// Last report of a node that asks this one.
#[derive(Debug)]
struct Reported {
    node: NodeEntry,
    below: Vec<NodeEntry>,
    below_hash: u64,
    at: Time,
}

/// All known nodes but this one, by where they are known from.
#[derive(Debug, Default)]
pub struct Members {
    /// Rosters by their key in the store.
    rosters: BTreeMap<Name, Vec<NodeEntry>>,
    /// Nodes that ask this one, by name.
    reports: BTreeMap<Name, Reported>,
    /// Nodes that a seed told of, or that asked this node as a seed.
    hints: BTreeMap<Name, (NodeEntry, Time)>,
    /// Nodes that said that they leave, and when.
    left: HashMap<Name, Time>,
}

impl Members {
    /// Applies the roster with this key, or its removal.
    pub fn set_roster(&mut self, key: &str, roster: Option<&Roster>) {
        match roster {
            Some(roster) => {
                let nodes = roster.entries().collect();
                self.rosters.insert(Name::from(key), nodes);
            }
            None => {
                self.rosters.remove(key);
            }
        }
    }

    /// Whether a roster lists the node.
    #[must_use]
    pub fn is_listed(&self, name: &str) -> bool {
        let mut listed = self.rosters.values().flatten();
        listed.any(|node| *node.name == *name)
    }

    /// Applies the report of a node below this one; false if the nodes below
    /// that one must be told again.
    pub fn apply_report(&mut self, now: Time, report: Report) -> bool {
        let name = Name::clone(&report.node.name);
        if report.is_leaving {
            self.reports.remove(&name);
            self.hints.remove(&name);
            self.left.insert(name, now);
            return true;
        }
        self.left.remove(&name);
        let known = self.reports.remove(&name);
        let known = known.filter(|k| k.below_hash == report.below_hash);
        let is_known = report.below.is_some() || known.is_some();
        let below = report.below.or(known.map(|k| k.below)).unwrap_or_default();
        let below_hash = if is_known {
            report.below_hash
        } else {
            hash_nodes(&[])
        };
        let reported = Reported {
            node: report.node,
            below,
            below_hash,
            at: now,
        };
        self.reports.insert(name, reported);
        is_known
    }

    /// Records nodes that a seed told of, or one that asked this node as a seed.
    pub fn add_hints(&mut self, now: Time, nodes: impl IntoIterator<Item = NodeEntry>) {
        for node in nodes {
            self.hints.insert(Name::clone(&node.name), (node, now));
        }
    }

    /// Known nodes of a domain for a node that starts there, the first ones in
    /// the order of the tree.
    #[must_use]
    pub fn hints_for(&self, now: Time, own: &NodeEntry, joiner: &NodeEntry) -> Vec<NodeEntry> {
        let mut nodes = self.nodes(now, Some(own));
        nodes.retain(|n| n.domain == joiner.domain && n.name != joiner.name);
        nodes.sort_by_cached_key(rank_key);
        nodes.truncate(MAX_HINTS);
        nodes
    }

    /// Nodes that reported to this one, directly or through others, by name.
    #[must_use]
    pub fn reported(&self, now: Time) -> Vec<NodeEntry> {
        let fresh = self.reports.values();
        let fresh = fresh.filter(|r| now.since(r.at) <= REPORT_TTL);
        let nodes = fresh.flat_map(|r| std::iter::once(&r.node).chain(&r.below));
        self.without_left(now, nodes)
    }

    /// All known nodes, by name; `own` is this node unless it is not to be
    /// listed.
    #[must_use]
    pub fn nodes(&self, now: Time, own: Option<&NodeEntry>) -> Vec<NodeEntry> {
        let reported = self.reported(now);
        let hinted = self.hints.values();
        let hinted = hinted.filter(|(_, at)| now.since(*at) <= HINT_TTL);
        // Of several entries of a node the last one counts.
        let nodes = hinted.map(|(node, _)| node);
        let nodes = nodes.chain(self.rosters.values().flatten());
        self.without_left(now, nodes.chain(&reported).chain(own))
    }

    fn without_left<'a>(
        &self,
        now: Time,
        nodes: impl Iterator<Item = &'a NodeEntry>,
    ) -> Vec<NodeEntry> {
        let has_left = |node: &NodeEntry| {
            let at = self.left.get(&node.name);
            at.is_some_and(|at| now.since(*at) <= LEFT_TTL)
        };
        let by_name: BTreeMap<&Name, &NodeEntry> = nodes
            .filter(|node| !has_left(node))
            .map(|node| (&node.name, node))
            .collect();
        by_name.into_values().cloned().collect()
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Time) {
        self.reports.retain(|_, r| now.since(r.at) <= REPORT_TTL);
        self.hints.retain(|_, (_, at)| now.since(*at) <= HINT_TTL);
        self.left.retain(|_, at| now.since(*at) <= LEFT_TTL);
    }
}

/// Hash of a list of nodes.
#[must_use]
pub fn hash_nodes(nodes: &[NodeEntry]) -> u64 {
    let mut hash = Xxh3::new();
    for node in nodes {
        hash.update(node.name.as_bytes());
        hash.update(&[0, u8::from(node.busy)]);
        hash.update(&node.power.to_le_bytes());
        hash.update(node.callers.to_string().as_bytes());
    }
    hash.digest()
}

/// Key by which the nodes of a domain are ordered: strong before weak, equal
/// ones by a hash.
pub(crate) fn rank_key(node: &NodeEntry) -> (std::cmp::Reverse<u64>, u64, Name) {
    // Powers are positive, and so ordered as their bits.
    let power = node.power.max(0.0).to_bits();
    let hash = xxh3_64(node.name.as_bytes());
    (std::cmp::Reverse(power), hash, Name::clone(&node.name))
}

/// Place of a node in the tree of its failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Position in the order of the domain; the first node reads the store.
    pub rank: usize,
    /// Number of nodes between this one and the store, if all are alive.
    pub depth: u32,
    /// Nodes to ask, in this order: those above it up to the first, then the
    /// nodes that may read the store in its stead.
    pub above: Vec<SocketAddr>,
    /// The next nodes in the order. They may know the changes when a node
    /// starts that has none above it.
    pub next: Vec<SocketAddr>,
}

/// The first node of each failure domain, which reads the store.
#[must_use]
pub fn first_of_domains(nodes: &[NodeEntry]) -> Vec<&NodeEntry> {
    let mut first: BTreeMap<&Name, &NodeEntry> = BTreeMap::new();
    for node in nodes {
        let known = first.entry(&node.domain).or_insert(node);
        if rank_key(node) < rank_key(known) {
            *known = node;
        }
    }
    first.into_values().collect()
}

/// Place of `own` among the known nodes, which may or may not include it.
#[must_use]
pub fn place(own: &NodeEntry, nodes: &[NodeEntry]) -> Place {
    let others = nodes.iter();
    let others = others.filter(|n| n.domain == own.domain && n.name != own.name);
    let mut order: Vec<&NodeEntry> = others.chain([own]).collect();
    order.sort_by_cached_key(|n| rank_key(n));
    let rank = order.iter().take_while(|n| n.name != own.name).count();
    let mut above = Vec::new();
    let mut at = rank;
    while at > 0 {
        at = (at - 1) / FAN_OUT;
        above.push(at);
    }
    let depth = u32::try_from(above.len()).unwrap_or(u32::MAX);
    let standby = (0..READERS_PER_DOMAIN.min(rank)).filter(|r| !above.contains(r));
    let standby: Vec<_> = standby.collect();
    above.extend(standby);
    let address = |rank: usize| order.get(rank).map(|n| n.peers);
    Place {
        rank,
        depth,
        above: above.into_iter().filter_map(address).collect(),
        next: (rank + 1..=rank + READERS_PER_DOMAIN)
            .filter_map(address)
            .collect(),
    }
}
