//! Registers this node in the store, under a lease that it renews.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::port::{Platform, StoreAnswer, StoreCall, StoreError, StoreReply};
use heatherrun_kernel::{Era, Revision};

use crate::state::State;

/// Lifetime of the entry of a node that died. A dead node may be listed for at
/// most `contactMs` plus 3 s.
const LEASE_TTL: Duration = Duration::from_secs(5);

/// Interval between renewals; one may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum delay before a failed store call is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Delay before a failed store call is retried, doubled with each further
/// failure in a row. Also the interval at which waits check for a stop.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time within which the store must list a new entry before it is written
/// again.
const LISTING_TIMEOUT: Duration = Duration::from_secs(4);

/// Keeps this node registered while it serves.
pub struct Registration {
    state: Arc<State>,
    platform: Platform,
    /// The entry in the store; none while not registered.
    entry: Option<StoredEntry>,
}

/// The entry of this node as it was written to the store.
#[derive(Clone, Copy, Debug)]
struct StoredEntry {
    /// Era in which it was written; in a later one the store may assign its
    /// lease to another node.
    era: Era,
    lease: u64,
    revision: Revision,
}

impl Registration {
    /// Creates the registration of a node that is not registered yet.
    #[must_use]
    pub const fn new(state: Arc<State>, platform: Platform) -> Self {
        Self {
            state,
            platform,
            entry: None,
        }
    }

    /// Registers the node once it is ready, keeps it registered until it
    /// stops, and then deletes its entry.
    pub async fn run(mut self) {
        let mut registered_at = self.state.clock.now();
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            if self.state.is_stopping() {
                break;
            }
            if !self.state.is_ready() {
                tokio::time::sleep(MIN_RETRY_DELAY).await;
                continue;
            }
            let now = self.state.clock.now();
            let is_unlisted = now.since(registered_at) > LISTING_TIMEOUT && !self.is_listed();
            let era = self.state.position().era;
            let current = self.entry.filter(|e| e.era >= era && !is_unlisted);
            let result = if let Some(entry) = current {
                self.renew(entry).await
            } else {
                registered_at = now;
                self.register().await
            };
            match result {
                Ok(()) => {
                    retry_delay = MIN_RETRY_DELAY;
                    self.sleep_unless_stopping(RENEW_INTERVAL).await;
                }
                Err(error) => {
                    log::info!(reason:% = error; "member.unregistered");
                    self.sleep_unless_stopping(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
        self.deregister().await;
    }

    /// Deletes the entry of this node unless another process wrote it anew. Its
    /// lease is left to expire: in a later era it may be another node's.
    async fn deregister(&self) {
        let Some(entry) = self.entry else { return };
        let call = StoreCall::Swap {
            key: self.key(),
            expect: entry.revision,
            value: None,
            lease: 0,
        };
        if let Err(error) = (self.platform.call)(call).await.result {
            log::info!(reason:% = error; "member.not-removed");
        }
    }

    fn key(&self) -> String {
        format!(
            "{}{}",
            self.state.site.node_prefix, self.state.own_entry.name
        )
    }

    /// Sleeps for `duration`, but returns early once the node stops.
    async fn sleep_unless_stopping(&self, duration: Duration) {
        let end = self.state.clock.now() + duration;
        while !self.state.is_stopping() && self.state.clock.now() < end {
            let step = MIN_RETRY_DELAY.min(end.time_left(self.state.clock.now()));
            tokio::time::sleep(step).await;
        }
    }

    /// Whether the store lists this node; assumed while this node's copy of
    /// the store is too old to tell.
    fn is_listed(&self) -> bool {
        let own_name = &self.state.own_entry.name;
        let listed = self.state.nodes.load().iter().any(|n| n.name == *own_name);
        listed || self.state.feed_age() > LISTING_TIMEOUT
    }

    async fn register(&mut self) -> Result<(), StoreError> {
        self.entry = None;
        let grant = StoreCall::Grant { ttl: LEASE_TTL };
        let StoreAnswer { era, result } = (self.platform.call)(grant).await;
        let StoreReply::Lease(lease) = result? else {
            return Err(StoreError::NoAnswer);
        };
        let key = self.key();
        let value = serde_json::to_vec(&self.state.own_entry).map_err(|_| StoreError::TooLarge)?;
        let mut expect = Revision(0);
        // The entry of this node's previous process may still exist: the
        // second attempt replaces it.
        for _ in 0..2 {
            let call = StoreCall::Swap {
                key: key.clone(),
                expect,
                value: Some(value.clone()),
                lease,
            };
            let answer = (self.platform.call)(call).await;
            match answer.result? {
                StoreReply::Swapped(revision) if answer.era == era => {
                    self.entry = Some(StoredEntry {
                        era,
                        lease,
                        revision,
                    });
                    log::info!(lease, era = era.0, revision = revision.0; "member.registered");
                    return Ok(());
                }
                StoreReply::Conflict(revision) => expect = revision,
                _ => break,
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn renew(&mut self, entry: StoredEntry) -> Result<(), StoreError> {
        let call = StoreCall::Renew { lease: entry.lease };
        let StoreAnswer { era, result } = (self.platform.call)(call).await;
        let is_lost = matches!(result?, StoreReply::NoLease) || era != entry.era;
        if is_lost {
            log::info!(lease = entry.lease, era = era.0, known_era = entry.era.0; "member.lease-lost");
            return self.register().await;
        }
        Ok(())
    }
}
