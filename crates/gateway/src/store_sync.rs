//! Keeps what a node knows of the store up to date.
//!
//! In each failure domain one node reads the store and the others ask that
//! node. A node that gets no fresh answer reads the store itself, and one
//! that the store turns away asks any other node.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use heatherrun_kernel::port::{KeyValue, Platform, StoreCall, StoreError, StoreReply};
use heatherrun_kernel::routes::NodeEntry;
use heatherrun_kernel::time::micros;
use heatherrun_kernel::{Revision, Time};
use heatherrun_routing::feed::{Delta, Item};
use xxhash_rust::xxh3::xxh3_64;

use crate::relay::{Peers, Pulled};
use crate::state::State;

/// Time between two reads of the store. Searchers register every 1.2 s or so,
/// each read costs, and a leaving one must be known within 3 s.
const READ_TIME: Duration = Duration::from_secs(1);

/// Time between two questions to another node.
const ASK_TIME: Duration = Duration::from_millis(500);

/// Pause after everything failed.
const AGAIN: Duration = Duration::from_millis(200);

/// Age from which what another node knows is not fresh enough.
const STALE: Duration = Duration::from_millis(1_600);

/// Time without the store after which its entries may have lapsed.
const OUTAGE: Duration = Duration::from_millis(2_500);

/// Age from which a node that is no reader tries the store itself.
const FALLBACK: Duration = Duration::from_secs(2);

/// Nodes of a failure domain that read the store, each when those before it
/// do not.
const READERS: usize = 3;

/// Time in which a node that gave no answer is not asked again.
const MUTE_TIME: Duration = Duration::from_secs(2);

/// Longest pause between two tries of a store that gives no answer. What a
/// searcher registers meanwhile is known within 2 s of an outage's end.
const MOST_PAUSE: Duration = Duration::from_millis(1_200);

/// Pages of one whole read at the most.
const PAGES: usize = 10_000;

/// Longest wait of a watch in the store itself: changes come with the next
/// read.
const WATCH_TIME: Duration = Duration::from_millis(1);

/// Reads the store or asks other nodes.
pub struct Sync {
    state: Arc<State>,
    platform: Platform,
    peers: Peers,
    /// Whether the store answered this node last time.
    reached: bool,
    /// When the store may be tried again, and the pause after a failure.
    read_at: Time,
    pause: Duration,
    /// Nodes that gave no answer, and until when they are not asked.
    mute: HashMap<SocketAddr, Time>,
}

impl Sync {
    /// Sync of a node that knows nothing yet.
    #[must_use]
    pub fn new(state: Arc<State>, platform: Platform) -> Self {
        Self {
            state,
            platform,
            peers: Peers::default(),
            reached: true,
            read_at: Time::default(),
            pause: AGAIN,
            mute: HashMap::new(),
        }
    }

    /// Keeps the state up to date, for ever.
    pub async fn run(mut self) {
        loop {
            let wait = self.round().await;
            self.state.throttle.tell();
            tokio::time::sleep(wait).await;
        }
    }

    /// One round; returns the pause before the next one.
    async fn round(&mut self) -> Duration {
        let (readers, is_reader) = self.readers();
        for reader in readers {
            if self.ask(reader, STALE).await {
                return ASK_TIME;
            }
        }
        let alone = self.state.at() == 0 || self.state.age() > FALLBACK;
        if (is_reader || alone) && self.may_read() {
            let first = self.state.at() == 0;
            if self.read().await {
                return if first { Duration::ZERO } else { READ_TIME };
            }
        }
        for other in self.others() {
            if self.ask(other, OUTAGE.max(self.state.age())).await {
                return ASK_TIME;
            }
        }
        AGAIN
    }

    /// Whether the store may be tried: after failures it is tried less often.
    fn may_read(&self) -> bool {
        self.state.clock.now() >= self.read_at
    }

    /// Nodes of this failure domain that read the store before this node
    /// does, and whether this node reads it when they do not.
    fn readers(&self) -> (Vec<SocketAddr>, bool) {
        let me = &self.state.me;
        let nodes = self.state.nodes.load();
        let mates = nodes.iter().filter(|n| n.domain == me.domain);
        let mut mates: Vec<_> = mates.map(|n| (xxh3_64(n.name.as_bytes()), n)).collect();
        mates.sort_unstable_by_key(|(rank, _)| *rank);
        let before = mates.iter().take_while(|(_, n)| n.name != me.name);
        let readers: Vec<_> = before.take(READERS).map(|(_, n)| n.peers).collect();
        let is_reader = readers.len() < READERS;
        (readers, is_reader)
    }

    /// Other nodes to ask: those near first, then the seeds.
    fn others(&self) -> Vec<SocketAddr> {
        let me = &self.state.me;
        let nodes = self.state.nodes.load();
        let mut others: Vec<&NodeEntry> = nodes.iter().filter(|n| n.name != me.name).collect();
        others.sort_by_key(|n| (n.region != me.region, xxh3_64(n.name.as_bytes())));
        let mut addresses: Vec<_> = others.iter().take(MOST_ASKED).map(|n| n.peers).collect();
        let terms = self.state.terms.load();
        addresses.extend(terms.seeds.iter().filter(|s| **s != me.peers));
        addresses
    }

    /// Asks another node; false when it does not answer, or knows nothing
    /// fresher than `most`.
    async fn ask(&mut self, address: SocketAddr, most: Duration) -> bool {
        let sent = self.state.clock.now();
        if self.mute.get(&address).is_some_and(|until| sent < *until) {
            return false;
        }
        let Some(pulled) = self.peers.changes(address, self.state.at()).await else {
            self.mute
                .insert(address, self.state.clock.now() + MUTE_TIME);
            return false;
        };
        self.mute.remove(&address);
        let Pulled { delta, age } = pulled;
        let age = Duration::from_micros(age);
        if delta.at == 0 || age > most {
            return false;
        }
        self.take(delta, sent - age);
        true
    }

    fn take(&self, delta: Delta, fresh: Time) {
        if self.state.at() > 0 && self.state.age() > OUTAGE {
            log::info!(age_us = micros(self.state.age()); "store.outage-ended");
            self.state.outage_ended();
        }
        self.state.apply(delta, fresh);
    }

    /// Reads the store; false when it gave no answer.
    async fn read(&mut self) -> bool {
        let sent = self.state.clock.now();
        let at = self.state.at();
        let read = if at == 0 {
            // The first read may be old: the changes since then follow at once.
            self.read_all(true).await
        } else {
            match self.read_changes(at).await {
                Err(StoreError::Forgotten) => self.read_all(false).await,
                read => read,
            }
        };
        match read {
            Ok(delta) => {
                if !self.reached {
                    log::info!("store.regained");
                }
                self.reached = true;
                self.pause = AGAIN;
                self.take(delta, sent);
                true
            }
            Err(error) => {
                if self.reached {
                    log::warn!(reason:% = error; "store.lost");
                }
                self.reached = false;
                self.read_at = self.state.clock.now() + self.pause;
                self.pause = (self.pause * 2).min(MOST_PAUSE);
                false
            }
        }
    }

    async fn read_changes(&self, after: u64) -> Result<Delta, StoreError> {
        let call = StoreCall::Watch {
            prefix: self.state.site.prefix.to_owned(),
            after: Revision(after),
            wait: WATCH_TIME,
        };
        match (self.platform.call)(call).await? {
            StoreReply::Changes(changes, at) => Ok(Delta {
                items: changes.into_iter().map(item).collect(),
                whole: false,
                at: at.0,
            }),
            _ => Err(StoreError::NoAnswer),
        }
    }

    /// Reads all pages. They are no snapshot: what changed meanwhile comes
    /// with the changes after the first page's revision.
    async fn read_all(&self, stale: bool) -> Result<Delta, StoreError> {
        let mut items = Vec::new();
        let mut first = None;
        let mut after = String::new();
        for _ in 0..PAGES {
            let call = StoreCall::List {
                prefix: self.state.site.prefix.to_owned(),
                after: after.clone(),
                stale,
            };
            let StoreReply::Page(page, more, at) = (self.platform.call)(call).await? else {
                return Err(StoreError::NoAnswer);
            };
            let at = *first.get_or_insert(at.0);
            if let Some(last) = page.last() {
                after.clone_from(&last.key);
            }
            let ended = !more || page.is_empty();
            items.extend(page.into_iter().map(item));
            if ended {
                return Ok(Delta {
                    items,
                    whole: true,
                    at,
                });
            }
        }
        Err(StoreError::TooLarge)
    }
}

/// Nodes asked in one round when the store does not answer.
const MOST_ASKED: usize = 4;

fn item(found: KeyValue) -> Item {
    Item {
        key: Arc::from(found.key),
        revision: found.revision.0,
        value: found.value.map(Arc::from),
    }
}
