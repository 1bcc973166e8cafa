//! What one node knows and acts on; a request reads it without locks.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::routes::{Config, Fact, Name, NodeEntry, TargetEntry};
use heatherrun_kernel::site::Site;
use heatherrun_kernel::{Clock, Time};
use heatherrun_ports::http_client::Client;
use heatherrun_routing::extra::ExtraBound;
use heatherrun_routing::feed::{Delta, Feed, Item};
use heatherrun_routing::fleet::{Change, Fleet, Services};
use heatherrun_routing::learned::Learned;
use heatherrun_routing::share::Shares;
use heatherrun_routing::table::Table;
use heatherrun_routing::target::{Distance, Place};

use tokio::sync::mpsc::Receiver;
use tokio::sync::watch;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::crash_tracker::Crashes;
use crate::log_throttle::Throttle;
use crate::metrics::Metrics;

/// Time for which a node that is gone still counts as one that shares a
/// bound, so that the shares of the others do not grow while it may send.
const SHARE_TIME: Duration = Duration::from_secs(20);

/// What the settings say of the deployment; a reload replaces it.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Region of each failure domain.
    pub regions: HashMap<Name, Name>,
    /// Bound on extra calls.
    pub extra: ExtraBound,
    /// Time that callers may keep an answer of the directory. A long one spares
    /// them questions to nodes that are gone; the nodes of an answer that went
    /// away are told by their closed ports.
    pub keep: Duration,
    /// Nodes that may be asked before others are known.
    pub seeds: Vec<SocketAddr>,
}

/// Part of the state that only the control side changes.
#[derive(Debug, Default)]
struct Inner {
    feed: Feed,
    fleet: Fleet,
    nodes: BTreeMap<Arc<str>, NodeEntry>,
    /// Each node with the time when it was last known to live.
    seen: HashMap<Name, (NodeEntry, Time)>,
    /// When the feed was last known to be whole.
    fresh: Time,
}

/// All that a node knows.
pub struct State {
    /// This node.
    pub me: NodeEntry,
    /// What the settings say of the deployment.
    pub terms: ArcSwap<Terms>,
    /// Clock.
    pub clock: Clock,
    /// The deployment's wire.
    pub site: &'static Site,
    /// Routes in force; none before the first configuration.
    pub table: ArcSwapOption<Table>,
    /// Targets of each service.
    pub services: ArcSwap<Services>,
    /// Failure domains that operators took out.
    pub out: ArcSwap<HashSet<Name>>,
    /// Live nodes, this one included.
    pub nodes: ArcSwap<Vec<NodeEntry>>,
    /// What is learned of routes and services.
    pub learned: Learned,
    /// Connections to targets.
    pub targets: Client,
    /// Requests that crash targets.
    pub crashes: Crashes,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// Bounds of lines about single requests.
    pub throttle: Throttle,
    /// When the last requests get their answers, once the planned stop has
    /// begun.
    stop_end: watch::Sender<Option<Time>>,
    /// This node's parts of what all nodes share.
    pub shares: ArcSwap<Shares>,
    inner: Mutex<Inner>,
}

impl State {
    /// State of a node that knows nothing yet. What the receiver gives is for
    /// all other nodes.
    #[must_use]
    pub fn new(
        me: NodeEntry,
        terms: Terms,
        clock: Clock,
        site: &'static Site,
    ) -> (Arc<Self>, Receiver<Suspicion>) {
        let (crashes, told) = Crashes::new(xxh3_64(me.name.as_bytes()));
        let made = Arc::new(Self {
            me,
            terms: ArcSwap::from_pointee(terms),
            clock,
            site,
            table: ArcSwapOption::empty(),
            services: ArcSwap::default(),
            out: ArcSwap::default(),
            nodes: ArcSwap::default(),
            learned: Learned::default(),
            targets: Client::default(),
            crashes,
            metrics: Metrics::default(),
            throttle: Throttle::default(),
            stop_end: watch::Sender::new(None),
            shares: ArcSwap::default(),
            inner: Mutex::default(),
        });
        (made, told)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_end.borrow().is_some()
    }

    /// Begins the planned stop: requests that are still open at `end` get
    /// their answers then.
    pub fn begin_stop(&self, end: Time) {
        self.stop_end.send_replace(Some(end));
    }

    /// Tells when the planned stop begins, and when it ends requests.
    #[must_use]
    pub fn stop_end(&self) -> watch::Receiver<Option<Time>> {
        self.stop_end.subscribe()
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.load().is_some()
    }

    /// Revision up to which all is known.
    #[must_use]
    pub fn at(&self) -> u64 {
        self.lock().feed.at()
    }

    /// Time since all was known.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.clock.now().since(self.lock().fresh)
    }

    /// What another node lacks, and how old it is.
    #[must_use]
    pub fn since(&self, after: u64) -> (Delta, Duration) {
        let inner = self.lock();
        let age = self.clock.now().since(inner.fresh);
        (inner.feed.since(after), age)
    }

    /// Notes that the store answers again after an outage.
    pub fn outage_ended(&self) {
        let now = self.clock.now();
        self.lock().fleet.outage_ended(now);
    }

    /// Takes what changed in the store, known to be whole at `fresh`.
    pub fn apply(&self, delta: Delta, fresh: Time) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.fresh = inner.fresh.max(fresh);
        let items = inner.feed.apply(delta);
        let mut targets = inner.fleet.expire(now);
        for item in &items {
            targets |= self.take(&mut inner, now, item);
        }
        if targets {
            self.services.store(Arc::new(inner.fleet.services()));
        }
        self.count_nodes(&mut inner, now);
        for target in inner.fleet.take_ended() {
            self.crashes.ended(now, &target);
        }
    }

    /// Takes one item; true when the set of targets changed.
    fn take(&self, inner: &mut Inner, now: Time, item: &Item) -> bool {
        if let Some(name) = item.key.strip_prefix(self.site.nodes) {
            take_node(inner, name, item);
            return false;
        }
        let fact = match (self.site.fact)(&item.key, item.value.as_deref()) {
            Ok(fact) => fact,
            Err(bad) => {
                let key = bad.key.as_str();
                log::warn!(key, revision = item.revision, why = bad.why.as_str(); "item.unreadable");
                return false;
            }
        };
        let revision = item.revision;
        match fact {
            Fact::Target(entry) => self.take_target(inner, now, entry, revision),
            Fact::TargetGone(id) => {
                let gone = inner.fleet.remove(now, &id);
                log::info!(target = &*id, revision, gone; "target.lapsed");
                gone
            }
            Fact::DomainOut(domain) => {
                log::info!(domain = &*domain, revision; "domain.out");
                self.change_out(|out| out.insert(domain));
                false
            }
            Fact::DomainBack(domain) => {
                log::info!(domain = &*domain, revision; "domain.back");
                self.change_out(|out| out.remove(&domain));
                false
            }
            Fact::Config(config) => {
                self.take_config(now, *config, revision);
                false
            }
            Fact::Other => false,
        }
    }

    /// Takes a target's report; true when the target or its incarnation is
    /// new.
    fn take_target(&self, inner: &mut Inner, now: Time, entry: TargetEntry, revision: u64) -> bool {
        let place = self.place(&entry.domain);
        let (id, domain) = (Arc::clone(&entry.id), Arc::clone(&entry.domain));
        let change = inner.fleet.put(now, entry, place);
        match change {
            Change::New => log::info!(target = &*id, domain = &*domain, revision; "target.new"),
            Change::Draining => log::info!(target = &*id, revision; "target.draining"),
            Change::Stale => log::debug!(target = &*id, revision; "target.stale"),
            Change::None => {}
        }
        change == Change::New
    }

    /// Takes a configuration unless its version is known; none goes back.
    fn take_config(&self, now: Time, config: Config, revision: u64) {
        let known = self.table.load();
        let known = known.as_ref().map(|t| t.config().version);
        if known.is_some_and(|version| version >= config.version) {
            return;
        }
        log::info!(version = config.version, revision; "config.in-force");
        let routes: HashSet<_> = config.routes.iter().map(|r| &r.name).collect();
        let services: HashSet<_> = config.services.iter().map(|s| &s.name).collect();
        self.learned
            .retain(|n| routes.contains(n), |n| services.contains(n));
        let table = Table::new(Arc::new(config), now.0);
        self.table.store(Some(Arc::new(table)));
    }

    /// Whether this node, among the live ones, tries a request of this
    /// fingerprint that is banned for crashes.
    pub fn tries_banned(&self, print: u64) -> bool {
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), print);
        let mine = rank(&self.me.name);
        let nodes = self.nodes.load();
        nodes.iter().all(|node| rank(&node.name) >= mine)
    }

    /// Changes the failure domains that are taken out.
    fn change_out(&self, change: impl FnOnce(&mut HashSet<Name>) -> bool) {
        let mut out = HashSet::clone(&self.out.load());
        change(&mut out);
        self.out.store(Arc::new(out));
    }

    /// Publishes the live nodes and counts those that share bounds.
    fn count_nodes(&self, inner: &mut Inner, now: Time) {
        for node in inner.nodes.values() {
            let name = Arc::clone(&node.name);
            inner.seen.insert(name, (node.clone(), now));
        }
        inner.seen.retain(|_, (_, at)| now.since(*at) < SHARE_TIME);
        let seen: Vec<_> = inner.seen.values().map(|(n, _)| n.clone()).collect();
        let mut regions: Vec<Name> = self.terms.load().regions.values().cloned().collect();
        regions.sort_unstable();
        regions.dedup();
        let shares = Shares::of(&self.me, &seen, &regions);
        if shares != **self.shares.load() {
            self.shares.store(Arc::new(shares));
        }
        let nodes: Vec<_> = inner.nodes.values().cloned().collect();
        if nodes != **self.nodes.load() {
            self.nodes.store(Arc::new(nodes));
        }
    }

    /// Where a failure domain is.
    fn place(&self, domain: &str) -> Place {
        let me = &self.me;
        let region = self
            .terms
            .load()
            .regions
            .get(domain)
            .cloned()
            .unwrap_or_default();
        let distance = if *domain == *me.domain {
            Distance::Domain
        } else if region == me.region {
            Distance::Region
        } else {
            Distance::Far
        };
        Place { region, distance }
    }
}

/// Takes the entry of a node.
fn take_node(inner: &mut Inner, name: &str, item: &Item) {
    let Some(value) = &item.value else {
        log::info!(node = name, revision = item.revision; "node.gone");
        inner.nodes.remove(name);
        return;
    };
    match serde_json::from_slice::<NodeEntry>(value) {
        Ok(entry) => {
            log::info!(node = name, revision = item.revision; "node.live");
            inner.nodes.insert(Arc::from(name), entry);
        }
        Err(e) => {
            let key = &*item.key;
            log::warn!(key, revision = item.revision, why:% = e; "item.unreadable");
        }
    }
}
