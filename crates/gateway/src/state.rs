//! State of one node: what it knows of the deployment and measures itself.
//! Requests read it without locks.

mod apply;
mod suspicions;

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use heatherrun_kernel::control::Suspicion;
use heatherrun_kernel::routes::{Name, NodeEntry};
use heatherrun_kernel::site::Site;
use heatherrun_kernel::{Clock, Time};
use heatherrun_ports::capacity::{Capacity, Shortage};
use heatherrun_ports::http_client::Client;
use heatherrun_ports::http_server::Limits as ServerLimits;
use heatherrun_ports::memory::{Division, MemoryBudget};
use heatherrun_routing::extra_calls::ExtraCallLimit;
use heatherrun_routing::feed::{Delta, Feed, Position};
use heatherrun_routing::fleet::{Fleet, Services};
use heatherrun_routing::links::Links;
use heatherrun_routing::members::{Members, Place, Report, hash_nodes, place};
use heatherrun_routing::pace::Draws;
use heatherrun_routing::rollout::Limits;
use heatherrun_routing::route_stats::RouteStats;
use heatherrun_routing::shares::Shares;
use heatherrun_routing::table::RouteTable;
use heatherrun_routing::target::Target;

use tokio::sync::mpsc::Receiver;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::crash_tracker::CrashTracker;
use crate::forward::Forwarder;
use crate::gateway;
use crate::log_throttle::LogThrottle;
use crate::metrics::Metrics;
use crate::quota::Quota;
use crate::rollout::Rollouts;
use crate::serve::Destinations;

/// Time after its last read of the store for which this node counts as a
/// reader.
const READER_TTL: Duration = Duration::from_secs(3);

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
    /// Age of this node's view of the store from which requests that need a key
    /// are refused; none if they never are.
    pub revoke_time: Option<Duration>,
    /// Limits of roll-outs; none where there are no roll-outs.
    pub rollout_limits: Option<Limits>,
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
    /// The view's `fresh_at` in microseconds, for requests.
    fresh_at: AtomicU64,
    /// Suspicions against crash-causing requests, oldest first, and the number
    /// of all before them.
    suspicions: Mutex<(u64, VecDeque<Suspicion>)>,
    /// Latencies of routes and extra calls of services.
    pub route_stats: RouteStats,
    /// Client for calls to targets, with its connections.
    pub target_client: Client,
    /// Capacity of the server for callers.
    pub capacity: Arc<Capacity>,
    /// Memory of the replies of targets.
    reply_memory: Arc<MemoryBudget>,
    /// Numbers for the choice among near-equal targets.
    pub draws: Draws,
    /// Admission to the destinations of requests.
    pub(crate) destinations: Destinations,
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
    /// Quotas of teams.
    pub quota: Quota,
    /// Roll-outs of versions.
    pub rollouts: Rollouts,
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
        division: &Division,
    ) -> (Arc<Self>, Receiver<Suspicion>) {
        let reply_memory = MemoryBudget::new(division.replies);
        let limits = ServerLimits {
            connections: division.callers,
            body_memory: division.bodies,
            ..gateway::caller_limits()
        };
        let capacity = Capacity::new(&limits).with_replies(Arc::clone(&reply_memory));
        let seed = xxh3_64(own_entry.name.as_bytes());
        let (crash_tracker, suspicions) = CrashTracker::new(seed);
        let rollouts = Rollouts::new(&own_entry, deployment.rollout_limits);
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
            fresh_at: AtomicU64::new(0),
            suspicions: Mutex::default(),
            route_stats: RouteStats::default(),
            target_client: Client::new(Arc::clone(&reply_memory)),
            capacity: Arc::new(capacity),
            reply_memory,
            draws: Draws::new(seed),
            destinations: Destinations::default(),
            crash_tracker,
            metrics: Metrics::default(),
            log_throttle: LogThrottle::default(),
            stop_end: watch::Sender::new(None),
            wakes: watch::Sender::new(()),
            links: Links::default(),
            forwarder: Forwarder::default(),
            link_changes: watch::Sender::new(()),
            shares: ArcSwap::default(),
            quota: Quota::default(),
            rollouts,
            store_view: Mutex::default(),
        });
        (state, suspicions)
    }

    fn lock(&self) -> MutexGuard<'_, StoreView> {
        self.store_view
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Divides the memory and the descriptors of the process anew.
    pub fn set_division(&self, division: &Division) {
        self.capacity.set_connections(division.callers);
        self.capacity.bodies().set_limit(division.bodies);
        self.reply_memory.set_limit(division.replies);
    }

    /// Encodes all metrics of this node in the Prometheus text format.
    #[must_use]
    pub fn encode_metrics(&self) -> Vec<u8> {
        for shortage in Shortage::ALL {
            let count = self.capacity.count(shortage);
            self.metrics.set_shortages(shortage.name(), count);
        }
        self.metrics
            .set_memory("bodies", self.capacity.bodies().granted());
        self.metrics
            .set_memory("replies", self.reply_memory.granted());
        self.metrics.encode()
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

    /// Whether keys that were revoked meanwhile might still be valid here, and
    /// requests that need a key must be refused for it.
    #[must_use]
    pub fn is_outdated(&self, now: Time) -> bool {
        let revoke_time = self.deployment.load().revoke_time;
        revoke_time.is_some_and(|revoke_time| {
            let fresh_at = Time(self.fresh_at.load(Ordering::Acquire));
            now.since(fresh_at) > revoke_time
        })
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
}
