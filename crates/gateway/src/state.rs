//! State of one node: what it knows of the deployment and measures itself.
//! Requests read it without locks.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::routes::{Config, Name, NodeEntry, StoreItem, TargetEntry};
use heatherrun_kernel::site::Site;
use heatherrun_kernel::{Clock, Time};
use heatherrun_ports::http_client::Client;
use heatherrun_routing::extra_calls::ExtraCallLimit;
use heatherrun_routing::feed::{Delta, Feed, Item, ItemRules, Position};
use heatherrun_routing::fleet::{Change, Fleet, Services};
use heatherrun_routing::route_stats::RouteStats;
use heatherrun_routing::shares::Shares;
use heatherrun_routing::table::RouteTable;
use heatherrun_routing::target::{Distance, Location};

use tokio::sync::mpsc::Receiver;
use tokio::sync::watch;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::crash_tracker::CrashTracker;
use crate::log_throttle::LogThrottle;
use crate::metrics::Metrics;

/// Time for which a node that left or died still counts towards shared limits. The
/// shares of the others must not grow while it may still send calls.
const DEPARTED_NODE_TTL: Duration = Duration::from_secs(20);

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
    nodes: BTreeMap<Arc<str>, NodeEntry>,
    /// Live and recently departed nodes, with the time when each was last
    /// registered.
    recent_nodes: HashMap<Name, (NodeEntry, Time)>,
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
    /// Registered nodes, including this one.
    pub nodes: ArcSwap<Vec<NodeEntry>>,
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
            route_stats: RouteStats::default(),
            target_client: Client::default(),
            crash_tracker,
            metrics: Metrics::default(),
            log_throttle: LogThrottle::default(),
            stop_end: watch::Sender::new(None),
            wakes: watch::Sender::new(()),
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
        self.wakes.send_replace(());
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
        self.lock().fleet.outage_ended(now);
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
        if position >= old_position {
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
            if applied.began_era && item.value.is_none() && !self.is_target(item) {
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
        if let Some(name) = item.key.strip_prefix(self.site.node_prefix) {
            apply_node(store_view, name, item);
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
    /// chosen among the registered nodes by rendezvous hashing of the
    /// fingerprint.
    pub fn is_trial_node(&self, fingerprint: u64) -> bool {
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), fingerprint);
        let own_rank = rank(&self.own_entry.name);
        let nodes = self.nodes.load();
        nodes.iter().all(|node| rank(&node.name) >= own_rank)
    }

    /// Updates the set of failure domains that are out of service.
    fn update_out_domains(&self, update: impl FnOnce(&mut HashSet<Name>) -> bool) {
        let mut out_domains = HashSet::clone(&self.out_domains.load());
        update(&mut out_domains);
        self.out_domains.store(Arc::new(out_domains));
    }

    /// Publishes the registered nodes and recomputes this node's shares.
    fn publish_nodes(&self, store_view: &mut StoreView, now: Time) {
        for node in store_view.nodes.values() {
            let name = Arc::clone(&node.name);
            store_view.recent_nodes.insert(name, (node.clone(), now));
        }
        store_view
            .recent_nodes
            .retain(|_, (_, seen_at)| now.since(*seen_at) < DEPARTED_NODE_TTL);
        let recent: Vec<_> = store_view
            .recent_nodes
            .values()
            .map(|(n, _)| n.clone())
            .collect();
        let mut regions: Vec<Name> = self.deployment.load().regions.values().cloned().collect();
        regions.sort_unstable();
        regions.dedup();
        let shares = Shares::new(&self.own_entry, &recent, &regions);
        if shares != **self.shares.load() {
            self.shares.store(Arc::new(shares));
        }
        let nodes: Vec<_> = store_view.nodes.values().cloned().collect();
        if nodes != **self.nodes.load() {
            self.nodes.store(Arc::new(nodes));
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

/// Applies the entry of a node, or its removal.
fn apply_node(store_view: &mut StoreView, name: &str, item: &Item) {
    let Some(value) = &item.value else {
        log::info!(node = name, revision = item.revision; "node.gone");
        store_view.nodes.remove(name);
        return;
    };
    match serde_json::from_slice::<NodeEntry>(value) {
        Ok(entry) => {
            log::info!(node = name, revision = item.revision; "node.live");
            store_view.nodes.insert(Arc::from(name), entry);
        }
        Err(e) => {
            let key = &*item.key;
            log::warn!(key, revision = item.revision, why:% = e; "item.unreadable");
        }
    }
}
