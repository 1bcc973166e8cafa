//! Keeps this node's copy of the store up to date.
//!
//! One node of each failure domain reads the store, and the others request the
//! changes from it. A node that gets no fresh reply reads the store itself, and
//! one that the store rejects requests them from any other node.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use heatherrun_kernel::port::{KeyValue, Platform, StoreAnswer, StoreCall, StoreError, StoreReply};
use heatherrun_kernel::routes::NodeEntry;
use heatherrun_kernel::time::micros;
use heatherrun_kernel::{Era, Time};
use heatherrun_routing::feed::{Delta, Feed, Item, ItemRules, Position};
use xxhash_rust::xxh3::xxh3_64;

use crate::relay::{ChangesReply, PeerClients};
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

/// Age of this node's copy from which a node that is not a reader reads the
/// store itself.
const STORE_FALLBACK_AGE: Duration = Duration::from_secs(2);

/// Nodes of a failure domain that may read the store, each only when those
/// ranked before it do not.
const READERS_PER_DOMAIN: usize = 3;

/// Time for which no further request is sent to an unresponsive node.
const UNRESPONSIVE_PEER_DELAY: Duration = Duration::from_secs(2);

/// Maximum delay between attempts to read an unresponsive store. What searchers
/// registered during an outage is then known within 2 s of its end.
const MAX_STORE_BACKOFF: Duration = Duration::from_millis(1_200);

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
        }
    }

    /// Keeps the state up to date; never returns.
    pub async fn run(mut self) {
        loop {
            let delay = self.sync_once().await;
            self.state.log_throttle.log_suppressed();
            tokio::time::sleep(delay).await;
        }
    }

    /// Updates the state from the first source that responds; returns the
    /// delay before the next round.
    async fn sync_once(&mut self) -> Duration {
        let (readers, is_reader) = self.domain_readers();
        for reader in readers {
            if self.pull_from(reader, MAX_READER_AGE).await {
                return PEER_REQUEST_INTERVAL;
            }
        }
        let is_stale =
            self.state.position().is_start() || self.state.feed_age() > STORE_FALLBACK_AGE;
        if (is_reader || is_stale) && self.is_read_due() && self.read_store().await {
            return STORE_READ_INTERVAL;
        }
        for peer in self.fallback_peers() {
            if self
                .pull_from(peer, OUTAGE_AGE.max(self.state.feed_age()))
                .await
            {
                return PEER_REQUEST_INTERVAL;
            }
        }
        RETRY_DELAY
    }

    /// Whether the backoff after failed reads has passed.
    fn is_read_due(&self) -> bool {
        self.state.clock.now() >= self.next_read
    }

    /// Nodes of this failure domain that are to read the store in preference
    /// to this node, and whether this node is to read it when they do not.
    fn domain_readers(&self) -> (Vec<SocketAddr>, bool) {
        let own_entry = &self.state.own_entry;
        let nodes = self.state.nodes.load();
        let same_domain = nodes.iter().filter(|n| n.domain == own_entry.domain);
        let mut ranked: Vec<_> = same_domain
            .map(|n| (xxh3_64(n.name.as_bytes()), n))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let before = ranked.iter().take_while(|(_, n)| n.name != own_entry.name);
        let readers: Vec<_> = before
            .take(READERS_PER_DOMAIN)
            .map(|(_, n)| n.peers)
            .collect();
        let is_reader = readers.len() < READERS_PER_DOMAIN;
        (readers, is_reader)
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

    /// Requests the changes from another node and applies them; false when it
    /// does not reply or its changes are older than `max_age`.
    async fn pull_from(&mut self, address: SocketAddr, max_age: Duration) -> bool {
        let sent_at = self.state.clock.now();
        if self
            .unresponsive
            .get(&address)
            .is_some_and(|until| sent_at < *until)
        {
            return false;
        }
        let Some(reply) = self
            .peers
            .fetch_changes(address, self.state.position())
            .await
        else {
            self.unresponsive
                .insert(address, self.state.clock.now() + UNRESPONSIVE_PEER_DELAY);
            return false;
        };
        self.unresponsive.remove(&address);
        let ChangesReply { delta, age } = reply;
        let age = Duration::from_micros(age);
        let is_earlier_era = delta.position.era < self.state.position().era;
        if delta.position.is_start() || is_earlier_era || age > max_age {
            return false;
        }
        self.apply_changes(delta, sent_at - age);
        true
    }

    /// Applies changes that were complete at `fresh_at`.
    fn apply_changes(&self, delta: Delta, fresh_at: Time) {
        if !self.state.position().is_start() && self.state.feed_age() > OUTAGE_AGE {
            log::info!(age_us = micros(self.state.feed_age()); "store.outage-ended");
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
        let mut feed = Feed::default();
        let rules = ItemRules {
            is_minor_change: &|_, _| false,
            stays_deleted: &|_| false,
        };
        feed.apply(listing, &rules);
        feed.apply(changes, &rules);
        Ok(feed.since(Position::default()))
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

    /// Lists all items, in `known_era` or a later one. The pages together are
    /// not a snapshot: changes made between them are read as changes after the
    /// first page's revision.
    async fn list_all(&self, known_era: Era, allow_stale: bool) -> Result<Delta, StoreError> {
        let mut items = Vec::new();
        let mut start = None;
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
            let position = *start.get_or_insert(Position { era, revision });
            if era != position.era || era < known_era {
                // Pages of two eras, or an answer from before a restore: the
                // next round lists again.
                log::warn!(era = era.0, first = position.era.0, known_era = known_era.0; "store.mixed-eras");
                return Err(StoreError::NoAnswer);
            }
            if let Some(last) = page.last() {
                after.clone_from(&last.key);
            }
            let is_last = !more || page.is_empty();
            items.extend(page.into_iter().map(to_item));
            if is_last {
                return Ok(Delta {
                    items,
                    is_complete: true,
                    position,
                });
            }
        }
        Err(StoreError::TooLarge)
    }
}

/// Maximum number of known nodes, besides the seeds, that one round requests
/// changes from while the store is unavailable.
const MAX_PEERS_PER_ROUND: usize = 4;

fn to_item(entry: KeyValue) -> Item {
    Item {
        key: Arc::from(entry.key),
        revision: entry.revision.0,
        value: entry.value.map(Arc::from),
    }
}
