//! Keeps this node's copy of the store up to date.
//!
//! One node of each failure domain reads the store, and the others request the
//! changes from it or from a node between, as `routing::members` says. The next
//! nodes in the order read the store themselves when they get no fresh reply; a
//! node that the store rejects requests them from any other node.
//!
//! A node that starts asks a seed for the nodes of its domain and takes the
//! state from one of them; it reads the store only if none has it.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use heatherrun_kernel::port::{KeyValue, Platform, StoreAnswer, StoreCall, StoreError, StoreReply};
use heatherrun_kernel::routes::NodeEntry;
use heatherrun_kernel::time::micros;
use heatherrun_kernel::{Era, Time};
use heatherrun_routing::feed::{Delta, Freshness, Item, Position};
use heatherrun_routing::listing::{self, Listing, PageError};
use heatherrun_routing::members::{READERS_PER_DOMAIN, Report};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::peer_clients::{self, PeerClients};
use crate::relay::{self, ChangesRequest};
use crate::state::State;

/// Interval between reads of the store. Searchers report about every 1.2 s,
/// each read costs the store, and a searcher that leaves must be known within
/// 3 s.
const STORE_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between requests to another node.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after a round in which every source failed, and initial backoff of
/// the store.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum age of the changes accepted from the reader of this failure domain.
const MAX_READER_AGE: Duration = Duration::from_millis(1_600);

/// Age of this node's copy from which the store counts as having had an
/// outage: entries may have expired only because of it.
const OUTAGE_AGE: Duration = Duration::from_millis(2_500);

/// Longest time for which a starting node waits for the state of a node above it
/// before it reads the store. Nodes that start together wait for different parts
/// of it, and one that probably serves callers not at all: after a loss of all
/// nodes it is not to wait for the seeds.
const START_PATIENCE: Duration = Duration::from_millis(900);

/// Power from which a node probably serves callers, in cores.
const SERVING_POWER: f64 = 0.25;

/// Delay before a starting node asks those above it once more.
const START_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Maximum wait for all items of the store from another node.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which no further request is sent to an unresponsive node.
const UNRESPONSIVE_PEER_DELAY: Duration = Duration::from_secs(2);

/// Time for which no further request is sent to a node whose port is closed.
const REFUSED_PEER_DELAY: Duration = Duration::from_millis(100);

/// A request that failed within this time was refused.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Maximum delay between attempts to read an unresponsive store. What searchers
/// registered during an outage is then known within 2 s of its end.
const MAX_STORE_BACKOFF: Duration = Duration::from_millis(1_200);

/// Time without an outage after which the end of the next one is logged.
const OUTAGE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of pages in one listing of the store.
const MAX_LIST_PAGES: usize = 10_000;

/// Time for which a watch waits in the store. Short, since later changes come
/// with the next read.
const STORE_WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// Reads the store, or requests its changes from other nodes.
pub struct StoreSync {
    state: Arc<State>,
    platform: Platform,
    peers: PeerClients,
    /// Whether the last read of the store succeeded.
    store_reachable: bool,
    /// Earliest time of the next read.
    next_read: Time,
    /// Delay of the next read if this one fails.
    backoff: Duration,
    /// Unresponsive nodes, and until when no request is sent to them.
    unresponsive: HashMap<SocketAddr, Time>,
    /// What other nodes were told, and have sent.
    peer_records: HashMap<SocketAddr, PeerRecord>,
    /// Number of nodes between this one and the store.
    depth: u32,
    /// Last end of an outage; with a slow store they follow each other.
    outage_logged_at: Option<Time>,
}

/// What another node was told, and has sent.
#[derive(Clone, Copy, Debug, Default)]
struct PeerRecord {
    /// Hash of the nodes below this one that the other node knows.
    below_hash: Option<u64>,
    /// Number of suspicions received from it.
    suspicions: u64,
}

impl StoreSync {
    /// Creates the sync of a node whose copy is empty.
    #[must_use]
    pub fn new(state: Arc<State>, platform: Platform) -> Self {
        Self {
            state,
            platform,
            peers: PeerClients::default(),
            store_reachable: true,
            next_read: Time::default(),
            backoff: RETRY_DELAY,
            unresponsive: HashMap::new(),
            peer_records: HashMap::new(),
            depth: 0,
            outage_logged_at: None,
        }
    }

    /// Keeps the state up to date; never returns.
    pub async fn run(mut self) {
        let mut stop = self.state.stop_end();
        loop {
            let delay = self.sync_once().await;
            self.state.refresh_nodes();
            self.state.log_throttle.log_suppressed();
            // The nodes above are told at once that this one stops.
            let _ = tokio::time::timeout(delay, stop_begins(&mut stop)).await;
        }
    }

    /// Updates the state from the first source that responds; returns the
    /// delay before the next round.
    async fn sync_once(&mut self) -> Duration {
        let place = self.state.place(self.state.clock.now());
        self.depth = place.depth;
        let is_start = self.state.position().is_start();
        if is_start {
            let sources: Vec<_> = place.above.iter().chain(&place.next).copied().collect();
            for source in sources {
                if self.pull_from(source, MAX_READER_AGE, true).await == Some(Freshness::Fresh) {
                    return PEER_REQUEST_INTERVAL;
                }
            }
            let waited = self.state.clock.now().since(Time::default());
            if waited < start_patience(&self.state.own_entry) {
                return START_RETRY_DELAY;
            }
        } else {
            let max_age = MAX_READER_AGE + PEER_REQUEST_INTERVAL * place.depth.saturating_sub(1);
            let mut has_replied = false;
            for above in &place.above {
                match self.pull_from(*above, max_age, true).await {
                    Some(Freshness::Fresh) => {
                        self.forget_peers_except(&place.above);
                        return PEER_REQUEST_INTERVAL;
                    }
                    Some(Freshness::Newer | Freshness::Old) => has_replied = true,
                    None => {}
                }
            }
            // Those above read the store or try to: the call would only be one
            // more during an outage.
            if has_replied && place.rank >= READERS_PER_DOMAIN {
                return PEER_REQUEST_INTERVAL;
            }
        }
        if self.is_read_due() && self.read_store().await {
            return STORE_READ_INTERVAL;
        }
        let max_age = OUTAGE_AGE.max(self.state.feed_age());
        for peer in self.fallback_peers() {
            if self.pull_from(peer, max_age, false).await == Some(Freshness::Fresh) {
                return PEER_REQUEST_INTERVAL;
            }
        }
        RETRY_DELAY
    }

    /// Whether the backoff after failed reads has passed.
    fn is_read_due(&self) -> bool {
        self.state.clock.now() >= self.next_read
    }

    /// Nodes to request changes from when the store is unavailable: the known
    /// nodes, those of this region first, then the seeds.
    fn fallback_peers(&self) -> Vec<SocketAddr> {
        let own_entry = &self.state.own_entry;
        let nodes = self.state.nodes.load();
        let mut others: Vec<&NodeEntry> =
            nodes.iter().filter(|n| n.name != own_entry.name).collect();
        others.sort_by_key(|n| (n.region != own_entry.region, xxh3_64(n.name.as_bytes())));
        let mut addresses: Vec<_> = others
            .iter()
            .take(MAX_PEERS_PER_ROUND)
            .map(|n| n.peers)
            .collect();
        let deployment = self.state.deployment.load();
        addresses.extend(deployment.seeds.iter().filter(|s| **s != own_entry.peers));
        addresses
    }

    fn is_unresponsive(&self, address: SocketAddr) -> bool {
        let until = self.unresponsive.get(&address);
        until.is_some_and(|until| self.state.clock.now() < *until)
    }

    /// Records that a node gave no reply to a request of `asked_at`: it does not
    /// respond, or its port is closed, perhaps only until its process starts.
    fn record_unresponsive(&mut self, address: SocketAddr, asked_at: Time) {
        let now = self.state.clock.now();
        self.unresponsive.retain(|_, until| now < *until);
        let delay = if now.since(asked_at) < MAX_REFUSAL_TIME {
            REFUSED_PEER_DELAY
        } else {
            UNRESPONSIVE_PEER_DELAY
        };
        self.unresponsive.insert(address, now + delay);
        self.peer_records.remove(&address);
    }

    /// Requests the changes from another node and applies them unless they are
    /// older than those known. They are fresh when they are at most `max_age`
    /// old. `reports` says whether that node is above this one and is told of
    /// this node. Returns none without a reply.
    async fn pull_from(
        &mut self,
        address: SocketAddr,
        max_age: Duration,
        reports: bool,
    ) -> Option<Freshness> {
        if self.is_unresponsive(address) {
            return None;
        }
        let sent_at = self.state.clock.now();
        let record = self.peer_records.get(&address).copied().unwrap_or_default();
        let report = self.state.report(sent_at);
        let below_hash = report.below_hash;
        let is_told = record.below_hash == Some(below_hash);
        let request = ChangesRequest {
            after: self.state.position(),
            report: reports.then_some(Report {
                below: report.below.filter(|_| !is_told),
                ..report
            }),
            known_suspicions: record.suspicions,
        };
        let timeout = if request.after.is_start() {
            SNAPSHOT_TIMEOUT
        } else {
            peer_clients::REPLY_TIMEOUT
        };
        let Some(reply) = self.peers.fetch_changes(address, request, timeout).await else {
            self.record_unresponsive(address, sent_at);
            return None;
        };
        for suspicion in reply.suspicions {
            relay::apply_suspicion(&self.state, suspicion);
        }
        let record = PeerRecord {
            below_hash: (reports && reply.knows_below).then_some(below_hash),
            suspicions: reply.suspicion_count,
        };
        self.peer_records.insert(address, record);
        let age = Duration::from_micros(reply.age);
        let delta = reply.delta;
        let is_earlier_era = delta.position.era < self.state.position().era;
        if delta.position.is_start() || is_earlier_era {
            return Some(Freshness::Old);
        }
        let freshness = Freshness::new(age, self.state.feed_age(), max_age);
        if freshness != Freshness::Old {
            self.apply_changes(delta, sent_at - age);
        }
        Some(freshness)
    }

    /// Closes the connections to all other nodes and forgets what was exchanged
    /// with them.
    fn forget_peers_except(&mut self, addresses: &[SocketAddr]) {
        self.peers.retain(addresses);
        self.peer_records.retain(|a, _| addresses.contains(a));
    }

    /// Applies changes that were complete at `fresh_at`.
    fn apply_changes(&mut self, delta: Delta, fresh_at: Time) {
        let outage_age = OUTAGE_AGE + PEER_REQUEST_INTERVAL * self.depth.saturating_sub(1);
        if !self.state.position().is_start() && self.state.feed_age() > outage_age {
            let now = self.state.clock.now();
            let logged_at = self.outage_logged_at.replace(now);
            if logged_at.is_none_or(|at| now.since(at) > OUTAGE_LOG_INTERVAL) {
                log::info!(age_us = micros(self.state.feed_age()); "store.outage-ended");
            }
            self.state.record_outage_end();
        }
        self.state.apply(delta, fresh_at);
    }

    /// Reads the store and applies its changes; false when the read failed.
    async fn read_store(&mut self) -> bool {
        let sent_at = self.state.clock.now();
        let position = self.state.position();
        let result = if position.is_start() {
            self.read_first().await
        } else {
            match self.read_changes(position).await {
                Err(StoreError::Forgotten) => self.list_all(position.era, false).await,
                result => result,
            }
        };
        match result {
            Ok(delta) => {
                if !self.store_reachable {
                    log::info!("store.regained");
                }
                self.store_reachable = true;
                self.backoff = RETRY_DELAY;
                self.state.record_store_read(sent_at);
                self.apply_changes(delta, sent_at);
                true
            }
            Err(error) => {
                if self.store_reachable {
                    log::warn!(reason:% = error; "store.lost");
                }
                self.store_reachable = false;
                self.next_read = self.state.clock.now() + self.backoff;
                self.backoff = (self.backoff * 2).min(MAX_STORE_BACKOFF);
                false
            }
        }
    }

    /// Reads all items for the first time. The listing may be seconds old, and
    /// a target or an operator's order that it shows may be gone since, so it
    /// is only used together with the changes since.
    async fn read_first(&self) -> Result<Delta, StoreError> {
        let listing = self.list_all(Era::default(), true).await?;
        let changes = match self.read_changes(listing.position).await {
            Err(StoreError::Forgotten) => {
                return self.list_all(listing.position.era, false).await;
            }
            result => result?,
        };
        Ok(listing::with_changes(listing, changes))
    }

    /// Reads the changes after a position. [`StoreError::Forgotten`] also means
    /// that the store came back from a copy: its revisions are others now.
    async fn read_changes(&self, after: Position) -> Result<Delta, StoreError> {
        let call = StoreCall::Watch {
            prefix: self.state.site.prefix.to_owned(),
            after: after.revision,
            wait: STORE_WATCH_TIMEOUT,
        };
        let StoreAnswer { era, result } = (self.platform.call)(call).await;
        let reply = result?;
        if era > after.era {
            return Err(StoreError::Forgotten);
        }
        let StoreReply::Changes(changes, revision) = reply else {
            return Err(StoreError::NoAnswer);
        };
        if era < after.era {
            log::warn!(era = era.0, known_era = after.era.0; "store.earlier-era");
            return Err(StoreError::NoAnswer);
        }
        Ok(Delta {
            items: changes.into_iter().map(to_item).collect(),
            is_complete: false,
            position: Position { era, revision },
        })
    }

    /// Lists all items, in `known_era` or a later one.
    async fn list_all(&self, known_era: Era, allow_stale: bool) -> Result<Delta, StoreError> {
        let mut listing = Listing::default();
        let mut after = String::new();
        for _ in 0..MAX_LIST_PAGES {
            let call = StoreCall::List {
                prefix: self.state.site.prefix.to_owned(),
                after: after.clone(),
                stale: allow_stale,
            };
            let StoreAnswer { era, result } = (self.platform.call)(call).await;
            let StoreReply::Page(page, more, revision) = result? else {
                return Err(StoreError::NoAnswer);
            };
            let position = Position { era, revision };
            let added = listing.add_page(page.into_iter().map(to_item), more, position);
            if added == Err(PageError::MixedEras) || era < known_era {
                // Pages of two eras, or an answer from before a restore: the
                // next round lists again.
                log::warn!(era = era.0, known_era = known_era.0; "store.mixed-eras");
                return Err(StoreError::NoAnswer);
            }
            match added {
                Ok(None) => {
                    log_listing(&listing, allow_stale);
                    return Ok(listing.into_delta());
                }
                Ok(Some(last)) => last.as_ref().clone_into(&mut after),
                Err(error) => {
                    let (after, pages) = (after.as_str(), listing.positions().len());
                    log::warn!(after, pages, reason:% = error; "store.listing-stuck");
                    return Err(StoreError::NoAnswer);
                }
            }
        }
        Err(StoreError::TooLarge)
    }
}

/// Maximum number of known nodes, besides the seeds, that one round requests
/// changes from while the store is unavailable.
const MAX_PEERS_PER_ROUND: usize = 4;

/// Time for which this node waits at its start before it reads the store.
fn start_patience(own: &NodeEntry) -> Duration {
    if own.power >= SERVING_POWER {
        return Duration::ZERO;
    }
    let part = u32::from(xxh3_64(own.name.as_bytes()).to_le_bytes()[0]);
    START_PATIENCE * part / u32::from(u8::MAX)
}

/// Returns when the graceful stop begins, once; never afterwards.
async fn stop_begins(stop: &mut watch::Receiver<Option<Time>>) {
    while stop.changed().await.is_ok() {
        if stop.borrow().is_some() {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Logs how far the pages of a listing are apart.
fn log_listing(listing: &Listing, stale: bool) {
    let positions = listing.positions();
    let revisions = || positions.iter().map(|p| p.revision.0);
    let era = positions.first().map_or(0, |p| p.era.0);
    let (oldest, newest) = (revisions().min(), revisions().max());
    log::info!(
        pages = positions.len(), first = revisions().next(), oldest, newest, era, stale;
        "store.listed"
    );
}

fn to_item(entry: KeyValue) -> Item {
    Item {
        key: Arc::from(entry.key),
        revision: entry.revision.0,
        value: entry.value.map(Arc::from),
    }
}
