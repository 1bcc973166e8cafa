//! State of one node: what it knows of the deployment and measures itself.
//! Requests read it without locks.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::routes::{Config, Name, NodeEntry, StoreItem, TargetEntry};
use heatherrun_kernel::site::Site;
use heatherrun_kernel::{Clock, Time};
use heatherrun_ports::http_client::Client;
use heatherrun_routing::cell;
use heatherrun_routing::extra_calls::ExtraCallLimit;
use heatherrun_routing::feed::{Delta, Feed, Item, ItemRules, Position};
use heatherrun_routing::fleet::{Change, Fleet, LAPSE_GRACE, Services};
use heatherrun_routing::links::Links;
use heatherrun_routing::members::{
    Members, Place, Report, Roster, first_of_domains, hash_nodes, place,
};
use heatherrun_routing::route_stats::RouteStats;
use heatherrun_routing::shares::Shares;
use heatherrun_routing::table::RouteTable;
use heatherrun_routing::target::{Distance, Location, Target};

use tokio::sync::mpsc::Receiver;
use tokio::sync::watch;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::crash_tracker::CrashTracker;
use crate::forward::Forwarder;
use crate::log_throttle::LogThrottle;
use crate::metrics::Metrics;

/// Time for which a node that serves no longer still counts towards shared
/// limits. The shares of the others must not grow while it may still send calls.
const DEPARTED_NODE_TTL: Duration = Duration::from_secs(20);

/// Time after the start in which this node may not know all others yet.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Time after its last read of the store for which this node counts as a
/// reader.
const READER_TTL: Duration = Duration::from_secs(3);

/// Maximum number of suspicions that are kept for the nodes below this one.
const MAX_SUSPICIONS: usize = 256;

/// Time for which a node or a domain taken out of service counts as before when
/// the store came back from a copy without it: what was written since the copy
/// is written again meanwhile.
const RESTORE_GRACE: Duration = Duration::from_secs(5);

/// Settings that describe the deployment; a reload replaces them.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Region of each failure domain.
    pub regions: HashMap<Name, Name>,
    /// Limit on extra calls.
    pub extra_call_limit: ExtraCallLimit,
    /// Time for which callers may cache an answer of the directory. A long one
    /// saves them lookups at nodes that are gone; callers notice that a listed
    /// node left by its closed port.
    pub directory_ttl: Duration,
    /// Nodes to request the store's changes from before others are known.
    pub seeds: Vec<SocketAddr>,
}

/// What this node knows from the store, under one lock. Changed only when
/// changes of the store are applied.
#[derive(Debug, Default)]
struct StoreView {
    feed: Feed,
    fleet: Fleet,
    members: Members,
    /// Nodes that serve or served until recently, with the time when each last
    /// did.
    recent_serving: BTreeMap<Name, (NodeEntry, Time)>,
    /// End of the last outage of the store.
    outage_end: Option<Time>,
    /// Since when this node reads the store, and its last read.
    reads: Option<(Time, Time)>,
    /// Time at which the feed was last known to be complete.
    fresh_at: Time,
    /// Keys that the copy lacks from which the store came back, with the end of
    /// their [`RESTORE_GRACE`]; they count as unchanged until then.
    unconfirmed: HashMap<Arc<str>, Time>,
}

/// Shared state of one node.
pub struct State {
    /// This node's own entry.
    pub own_entry: NodeEntry,
    /// Settings that describe the deployment.
    pub deployment: ArcSwap<Deployment>,
    /// Monotonic clock of this node.
    pub clock: Clock,
    /// Plug-in for the deployment's wire format.
    pub site: &'static Site,
    /// Routes in force; none before the first configuration.
    pub route_table: ArcSwapOption<RouteTable>,
    /// Targets of each service.
    pub services: ArcSwap<Services>,
    /// Failure domains that operators took out of service.
    pub out_domains: ArcSwap<HashSet<Name>>,
    /// All known nodes, including this one.
    pub nodes: ArcSwap<Vec<NodeEntry>>,
    /// The nodes among them that serve callers.
    pub serving: ArcSwap<Vec<NodeEntry>>,
    /// Number of answers of the directory.
    lookups: AtomicUsize,
    /// Whether this node's threads wait long for the processor.
    is_busy: AtomicBool,
    /// Suspicions against crash-causing requests, oldest first, and the number
    /// of all before them.
    suspicions: Mutex<(u64, VecDeque<Suspicion>)>,
    /// Latencies of routes and extra calls of services.
    pub route_stats: RouteStats,
    /// Client for calls to targets, with its connections.
    pub target_client: Client,
    /// Crash-causing requests.
    pub crash_tracker: CrashTracker,
    /// Metrics of this node.
    pub metrics: Metrics,
    /// Rate limits for log lines about single requests.
    pub log_throttle: LogThrottle,
    /// Time by which open requests are answered; `None` until the graceful
    /// stop begins.
    stop_end: watch::Sender<Option<Time>>,
    /// Changes each time the machine has been suspended.
    wakes: watch::Sender<()>,
    /// Links of this node to the targets.
    pub links: Links,
    /// Forwards requests to other nodes while the links are down.
    pub forwarder: Forwarder,
    /// Changes when the links become suspect or go down.
    link_changes: watch::Sender<()>,
    /// This node's shares of limits that apply to all nodes together.
    pub shares: ArcSwap<Shares>,
    /// What this node knows from the store.
    store_view: Mutex<StoreView>,
}

impl State {
    /// Creates the state of a node that has not read the store yet. The
    /// receiver yields the suspicions to be sent to all other nodes.
    #[must_use]
    pub fn new(
        own_entry: NodeEntry,
        deployment: Deployment,
        clock: Clock,
        site: &'static Site,
    ) -> (Arc<Self>, Receiver<Suspicion>) {
        let (crash_tracker, suspicions) = CrashTracker::new(xxh3_64(own_entry.name.as_bytes()));
        let state = Arc::new(Self {
            own_entry,
            deployment: ArcSwap::from_pointee(deployment),
            clock,
            site,
            route_table: ArcSwapOption::empty(),
            services: ArcSwap::default(),
            out_domains: ArcSwap::default(),
            nodes: ArcSwap::default(),
            serving: ArcSwap::default(),
            lookups: AtomicUsize::new(0),
            is_busy: AtomicBool::new(false),
            suspicions: Mutex::default(),
            route_stats: RouteStats::default(),
            target_client: Client::default(),
            crash_tracker,
            metrics: Metrics::default(),
            log_throttle: LogThrottle::default(),
            stop_end: watch::Sender::new(None),
            wakes: watch::Sender::new(()),
            links: Links::default(),
            forwarder: Forwarder::default(),
            link_changes: watch::Sender::new(()),
            shares: ArcSwap::default(),
            store_view: Mutex::default(),
        });
        (state, suspicions)
    }

    fn lock(&self) -> MutexGuard<'_, StoreView> {
        self.store_view
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the graceful stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_end.borrow().is_some()
    }

    /// Begins the graceful stop; requests still open at `end` are answered
    /// then.
    pub fn begin_stop(&self, end: Time) {
        self.stop_end.send_replace(Some(end));
    }

    /// Subscribes to the time by which open requests are answered, which is
    /// set once the graceful stop begins.
    #[must_use]
    pub fn stop_end(&self) -> watch::Receiver<Option<Time>> {
        self.stop_end.subscribe()
    }

    /// Records that the machine has been suspended.
    pub fn record_wake(&self) {
        self.links.record_wake();
        self.wakes.send_replace(());
    }

    /// Records that a target replied.
    pub fn record_reply(&self, now: Time) {
        self.crash_tracker.confirm_refusals(now);
        if self.links.record_reply(now) {
            self.metrics.set_links_down(false);
            log::info!(by = "reply"; "links.up");
        }
    }

    /// Records that a target did not reply in time or could not be reached.
    pub fn record_silence(&self, now: Time, target: &Target) {
        if self.links.record_silence(now, &target.entry.id) {
            log::info!(silent_us = self.links.silent_for(now); "links.suspect");
            self.link_changes.send_replace(());
        }
    }

    /// Records whether a target accepted a connection that was opened to try the
    /// links.
    pub fn record_probe(&self, now: Time, is_reachable: bool) {
        if is_reachable {
            self.crash_tracker.confirm_refusals(now);
        }
        if is_reachable && self.links.record_reply(now) {
            self.metrics.set_links_down(false);
            log::info!(by = "connection"; "links.up");
        }
        if !is_reachable && self.links.record_unreachable() {
            self.crash_tracker.forget_refusals();
            self.metrics.set_links_down(true);
            log::warn!(silent_us = self.links.silent_for(now); "links.down");
            self.link_changes.send_replace(());
        }
    }

    /// Subscribes to the links becoming suspect or going down.
    #[must_use]
    pub fn link_changes(&self) -> watch::Receiver<()> {
        self.link_changes.subscribe()
    }

    /// Subscribes to the ends of suspensions.
    #[must_use]
    pub fn wakes(&self) -> watch::Receiver<()> {
        self.wakes.subscribe()
    }

    /// Whether this node can serve callers: it has a configuration and is not
    /// stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.route_table.load().is_some()
    }

    /// Position in the store's history up to which all changes are applied.
    #[must_use]
    pub fn position(&self) -> Position {
        self.lock().feed.position()
    }

    /// Time since this node last had all changes of the store.
    #[must_use]
    pub fn feed_age(&self) -> Duration {
        self.clock.now().since(self.lock().fresh_at)
    }

    /// Changes after a position, for another node, and the age of the feed.
    #[must_use]
    pub fn changes_since(&self, after: Position) -> (Delta, Duration) {
        let store_view = self.lock();
        let age = self.clock.now().since(store_view.fresh_at);
        (store_view.feed.since(after), age)
    }

    /// Records that the store responds again after an outage.
    pub fn record_outage_end(&self) {
        let now = self.clock.now();
        let mut store_view = self.lock();
        store_view.fleet.outage_ended(now);
        store_view.outage_end = Some(now);
    }

    /// Number of this answer of the directory; those of different nodes begin
    /// with different ones.
    pub fn next_lookup(&self) -> usize {
        let own = xxh3_64(self.own_entry.name.as_bytes()).to_le_bytes()[0];
        usize::from(own).wrapping_add(self.lookups.fetch_add(1, Ordering::Relaxed))
    }

    /// This node's entry as it is now.
    #[must_use]
    pub fn own_node(&self) -> NodeEntry {
        NodeEntry {
            busy: self.is_busy.load(Ordering::Relaxed),
            ..self.own_entry.clone()
        }
    }

    /// Records whether this node's threads wait long for the processor.
    pub fn set_busy(&self, is_busy: bool) {
        if self.is_busy.swap(is_busy, Ordering::Relaxed) != is_busy {
            log::info!(busy = is_busy; "node.load");
        }
    }

    /// Records that this node read the store.
    pub fn record_store_read(&self, now: Time) {
        let mut store_view = self.lock();
        let since = store_view
            .reads
            .filter(|(_, last)| now.since(*last) <= READER_TTL)
            .map_or(now, |(since, _)| since);
        store_view.reads = Some((since, now));
    }

    /// Since when this node has been reading the store; `None` when it does
    /// not.
    #[must_use]
    pub fn reads_store_since(&self, now: Time) -> Option<Time> {
        let reads = self.lock().reads;
        let reads = reads.filter(|(_, last)| now.since(*last) <= READER_TTL);
        reads.map(|(since, _)| since)
    }

    /// Nodes for the roster that this node writes as the reader of its domain.
    #[must_use]
    pub fn roster_nodes(&self, now: Time) -> Vec<NodeEntry> {
        let mut nodes = self.lock().members.reported(now);
        nodes.retain(|n| n.domain == self.own_entry.domain && n.name != self.own_entry.name);
        if self.is_ready() {
            nodes.push(self.own_node());
        }
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        nodes
    }

    /// Place of this node in the tree of its failure domain.
    #[must_use]
    pub fn place(&self, now: Time) -> Place {
        let nodes = self.lock().members.nodes(now, None);
        place(&self.own_entry, &nodes)
    }

    /// Whether a roster lists this node.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.lock().members.is_listed(&self.own_entry.name)
    }

    /// This node's report for the node above it.
    #[must_use]
    pub fn report(&self, now: Time) -> Report {
        let below = self.lock().members.reported(now);
        Report {
            node: self.own_node(),
            is_leaving: self.is_stopping(),
            below_hash: hash_nodes(&below),
            below: Some(below),
        }
    }

    /// Applies the report of a node below this one; false if the nodes below
    /// that one must be told again.
    pub fn apply_report(&self, report: Report) -> bool {
        let now = self.clock.now();
        self.lock().members.apply_report(now, report)
    }

    /// Records nodes of this node's domain that a seed told of.
    pub fn add_hints(&self, nodes: Vec<NodeEntry>) {
        let now = self.clock.now();
        self.lock().members.add_hints(now, nodes);
    }

    /// Known nodes of the domain of `joiner`, which starts and asks this node
    /// as a seed.
    #[must_use]
    pub fn introduce(&self, joiner: NodeEntry) -> Vec<NodeEntry> {
        let now = self.clock.now();
        let mut store_view = self.lock();
        let members = &mut store_view.members;
        let hints = members.hints_for(now, &self.own_entry, &joiner);
        members.add_hints(now, [joiner]);
        hints
    }

    /// Nodes that are told of a suspicion directly: those that serve, and the
    /// first one of each failure domain, from which the others receive it.
    #[must_use]
    pub fn suspicion_receivers(&self) -> Vec<SocketAddr> {
        let nodes = self.nodes.load();
        let serving = self.serving.load();
        let receivers = serving.iter().chain(first_of_domains(&nodes));
        let receivers = receivers.filter(|n| n.name != self.own_entry.name);
        let receivers: HashSet<_> = receivers.map(|n| n.peers).collect();
        receivers.into_iter().collect()
    }

    /// Keeps a suspicion for the nodes below this one; false if it is known.
    pub fn keep_suspicion(&self, suspicion: Suspicion) -> bool {
        let mut log = self
            .suspicions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (before, suspicions) = &mut *log;
        if suspicions.contains(&suspicion) {
            return false;
        }
        suspicions.push_back(suspicion);
        if suspicions.len() > MAX_SUSPICIONS {
            suspicions.pop_front();
            *before += 1;
        }
        true
    }

    /// Suspicions after the first `known` ones, and the number of all; all that
    /// are kept if `known` is the number of another process.
    #[must_use]
    pub fn suspicions_after(&self, known: u64) -> (Vec<Suspicion>, u64) {
        let log = self
            .suspicions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (before, suspicions) = &*log;
        let total = before + suspicions.len() as u64;
        let known = if known > total { 0 } else { known };
        let skip = usize::try_from(known.saturating_sub(*before)).unwrap_or(usize::MAX);
        (suspicions.iter().skip(skip).copied().collect(), total)
    }

    /// Applies changes of the store that were complete at `fresh_at`.
    pub fn apply(&self, delta: Delta, fresh_at: Time) {
        let now = self.clock.now();
        let mut store_view = self.lock();
        let rules = ItemRules {
            is_minor_change: &|old, new| self.is_minor_change(old, new),
            stays_deleted: &|item| self.is_target(item),
        };
        let (old_position, position) = (store_view.feed.position(), delta.position);
        let applied = store_view.feed.apply(delta, &rules);
        // Ignored changes say nothing about the age of what this node has.
        if position >= old_position && store_view.feed.position() == position {
            store_view.fresh_at = store_view.fresh_at.max(fresh_at);
        }
        let mut targets_changed = store_view.fleet.remove_lapsed(now);
        if applied.began_era {
            let missing = applied.changed.iter().filter(|i| i.value.is_none());
            log::warn!(
                era = position.era.0, revision = position.revision.0,
                known_era = old_position.era.0, known_revision = old_position.revision.0,
                changed = applied.changed.len(), missing = missing.count();
                "store.restored"
            );
            // Entries written since the copy are missing until they are written
            // again, as after an outage.
            store_view.fleet.outage_ended(now);
        }
        for item in &applied.changed {
            if self.is_doubtful(&store_view, now, item, applied.began_era) {
                let until = now + RESTORE_GRACE;
                store_view.unconfirmed.insert(Arc::clone(&item.key), until);
                continue;
            }
            store_view.unconfirmed.remove(&item.key);
            targets_changed |= self.apply_item(&mut store_view, now, item);
        }
        for item in take_unconfirmed(&mut store_view, now) {
            targets_changed |= self.apply_item(&mut store_view, now, &item);
        }
        if targets_changed {
            self.services.store(Arc::new(store_view.fleet.services()));
        }
        self.publish_nodes(&mut store_view, now);
        for target in store_view.fleet.take_ended() {
            self.crash_tracker.record_target_end(now, &target);
        }
    }

    /// Whether the deletion of the item may mean only that the store came back
    /// from a copy, or that a lease expired while the store was away. Targets
    /// are not among them: the fleet has its own grace.
    fn is_doubtful(&self, view: &StoreView, now: Time, item: &Item, began_era: bool) -> bool {
        if item.value.is_some() || self.is_target(item) {
            return false;
        }
        let is_roster = item.key.starts_with(self.site.node_prefix);
        let ended = view.outage_end;
        began_era || (is_roster && ended.is_some_and(|at| now.since(at) < LAPSE_GRACE))
    }

    /// Whether the item is the entry of a target.
    fn is_target(&self, item: &Item) -> bool {
        let parsed = (self.site.parse_item)(&item.key, None);
        matches!(parsed, Ok(StoreItem::TargetRemoved(_)))
    }

    /// Whether an item only repeats what a target reported before: other nodes
    /// count the remaining slow start down themselves.
    fn is_minor_change(&self, old: &Item, new: &Item) -> bool {
        let target_of = |item: &Item| match (self.site.parse_item)(&item.key, item.value.as_deref())
        {
            Ok(StoreItem::Target(entry)) => Some(entry),
            _ => None,
        };
        let (Some(old), Some(new)) = (target_of(old), target_of(new)) else {
            return false;
        };
        let still_cold = new.warmup <= old.warmup && new.warmup.is_zero() == old.warmup.is_zero();
        let same_rest = TargetEntry {
            warmup: new.warmup,
            report_seq: new.report_seq,
            ..old
        } == new;
        still_cold && same_rest
    }

    /// Applies one item of the store; true when the set of targets changed.
    fn apply_item(&self, store_view: &mut StoreView, now: Time, item: &Item) -> bool {
        if item.key.starts_with(self.site.node_prefix) {
            apply_roster(store_view, item);
            return false;
        }
        let store_item = match (self.site.parse_item)(&item.key, item.value.as_deref()) {
            Ok(store_item) => store_item,
            Err(error) => {
                let key = error.key.as_str();
                log::warn!(key, revision = item.revision, why = error.reason.as_str(); "item.unreadable");
                return false;
            }
        };
        let revision = item.revision;
        match store_item {
            StoreItem::Target(entry) => self.apply_target(store_view, now, entry, revision),
            StoreItem::TargetRemoved(id) => {
                let gone = store_view.fleet.remove(now, &id);
                log::info!(target = &*id, revision, gone; "target.lapsed");
                gone
            }
            StoreItem::DomainOut(domain) => {
                log::info!(domain = &*domain, revision; "domain.out");
                self.update_out_domains(|out_domains| out_domains.insert(domain));
                false
            }
            StoreItem::DomainBack(domain) => {
                log::info!(domain = &*domain, revision; "domain.back");
                self.update_out_domains(|out_domains| out_domains.remove(&domain));
                false
            }
            StoreItem::Config(config) => {
                self.apply_config(now, *config, revision);
                false
            }
            StoreItem::Other => false,
        }
    }

    /// Applies a target's report; true when the target or its incarnation is
    /// new.
    fn apply_target(
        &self,
        store_view: &mut StoreView,
        now: Time,
        entry: TargetEntry,
        revision: u64,
    ) -> bool {
        let location = self.location_of(&entry.domain);
        let (id, domain) = (Arc::clone(&entry.id), Arc::clone(&entry.domain));
        let change = store_view.fleet.apply_report(now, entry, location);
        match change {
            Change::New => log::info!(target = &*id, domain = &*domain, revision; "target.new"),
            Change::Draining => log::info!(target = &*id, revision; "target.draining"),
            Change::Stale => log::debug!(target = &*id, revision; "target.stale"),
            Change::None => {}
        }
        change == Change::New
    }

    /// Applies a configuration unless the one in force has the same or a newer
    /// version.
    fn apply_config(&self, now: Time, config: Config, revision: u64) {
        let table = self.route_table.load();
        let current_version = table.as_ref().map(|t| t.config().version);
        if current_version.is_some_and(|version| version >= config.version) {
            return;
        }
        log::info!(version = config.version, revision; "config.in-force");
        let routes: HashSet<_> = config.routes.iter().map(|r| &r.name).collect();
        let services: HashSet<_> = config.services.iter().map(|s| &s.name).collect();
        self.route_stats
            .retain(|n| routes.contains(n), |n| services.contains(n));
        let new_table = RouteTable::new(Arc::new(config), now.0);
        self.route_table.store(Some(Arc::new(new_table)));
    }

    /// Whether this node is the one that runs the trials of a banned request,
    /// chosen among the serving nodes by rendezvous hashing of the
    /// fingerprint.
    pub fn is_trial_node(&self, fingerprint: u64) -> bool {
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), fingerprint);
        let own_rank = rank(&self.own_entry.name);
        let serving = self.serving.load();
        let mut names = serving.iter().map(|node| &node.name);
        names.clone().any(|name| *name == self.own_entry.name)
            && names.all(|name| rank(name) >= own_rank)
    }

    /// Updates the set of failure domains that are out of service.
    fn update_out_domains(&self, update: impl FnOnce(&mut HashSet<Name>) -> bool) {
        let mut out_domains = HashSet::clone(&self.out_domains.load());
        update(&mut out_domains);
        self.out_domains.store(Arc::new(out_domains));
    }

    /// Forgets nodes that report no more, and publishes what follows.
    pub fn refresh_nodes(&self) {
        let now = self.clock.now();
        self.publish_nodes(&mut self.lock(), now);
    }

    /// Publishes the known nodes and those that serve, and recomputes this
    /// node's shares.
    fn publish_nodes(&self, store_view: &mut StoreView, now: Time) {
        store_view.members.expire(now);
        let own = self.own_node();
        let nodes = store_view.members.nodes(now, Some(&own));
        if nodes != **self.nodes.load() {
            self.nodes.store(Arc::new(nodes));
        }
        let nodes = self.nodes.load();
        let table = self.route_table.load();
        let services = table.iter().flat_map(|t| &t.config().services);
        let connections = services.map(|s| s.connections).min();
        let names = cell::serving(&nodes, connections.unwrap_or(u16::MAX));
        let serving: Vec<_> = nodes.iter().filter(|n| names.contains(&n.name)).collect();
        let recent = &mut store_view.recent_serving;
        for node in &serving {
            recent.insert(Name::clone(&node.name), ((*node).clone(), now));
        }
        // A node that serves no longer counts for some time, but this one knows
        // at once when it is in reserve.
        recent.retain(|name, (_, at)| {
            let is_own = *name == own.name;
            names.contains(name) || (!is_own && now.since(*at) < DEPARTED_NODE_TTL)
        });
        let counted: Vec<_> = recent.values().map(|(node, _)| node.clone()).collect();
        let regions = &self.deployment.load().regions;
        let knows_all = now.since(Time::default()) >= SETTLE_TIME;
        let shares = Shares::new(&own, &counted, regions, knows_all);
        if shares != **self.shares.load() {
            log::info!(
                nodes = nodes.len(), serving = serving.len(), counted = counted.len(),
                share_permille = permille(shares.total_share); "node.shares"
            );
            self.shares.store(Arc::new(shares));
        }
        if !serving.iter().copied().eq(self.serving.load().iter()) {
            let serving = serving.into_iter().cloned().collect();
            self.serving.store(Arc::new(serving));
        }
    }

    /// Region of a failure domain and its distance from this node.
    fn location_of(&self, domain: &str) -> Location {
        let own_entry = &self.own_entry;
        let region = self
            .deployment
            .load()
            .regions
            .get(domain)
            .cloned()
            .unwrap_or_default();
        let distance = if *domain == *own_entry.domain {
            Distance::Domain
        } else if region == own_entry.region {
            Distance::Region
        } else {
            Distance::Far
        };
        Location { region, distance }
    }
}

/// Takes the items whose [`RESTORE_GRACE`] ended, as deletions.
fn take_unconfirmed(store_view: &mut StoreView, now: Time) -> Vec<Item> {
    let revision = store_view.feed.position().revision.0;
    let ended = store_view.unconfirmed.extract_if(|_, until| now >= *until);
    let deletion = |(key, _)| Item {
        key,
        revision,
        value: None,
    };
    ended.map(deletion).collect()
}

/// Applies a roster of nodes, or its removal.
fn apply_roster(store_view: &mut StoreView, item: &Item) {
    let (key, revision) = (&*item.key, item.revision);
    let Some(value) = &item.value else {
        log::info!(key, revision; "roster.gone");
        store_view.members.set_roster(key, None);
        return;
    };
    match serde_json::from_slice::<Roster>(value) {
        Ok(roster) => {
            log::debug!(key, revision, nodes = roster.entries().count(); "roster.read");
            store_view.members.set_roster(key, Some(&roster));
        }
        Err(e) => log::warn!(key, revision, why:% = e; "item.unreadable"),
    }
}

/// A share in thousandths, for log lines.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share from 0 to 1"
)]
fn permille(share: f64) -> u32 {
    (share * 1_000.0) as u32
}
