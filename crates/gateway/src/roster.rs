//! Writes the roster of this node's failure domain to the store, under a lease
//! that it renews, while this node is the one that reads the store there.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::port::{Platform, StoreAnswer, StoreCall, StoreError, StoreReply};
use heatherrun_kernel::routes::NodeEntry;
use heatherrun_kernel::{Era, Revision, Time};
use heatherrun_routing::members::Roster;

use crate::state::State;

/// Lifetime of the roster of a reader that died. With the time until all nodes
/// know of its end, a dead node is announced for less than `contactMs` plus 3 s.
const LEASE_TTL: Duration = Duration::from_secs(5);

/// Interval between renewals; one may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_600);

/// Interval between checks whether the roster changed, and so between writes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which this node must have been the reader before it writes: nodes
/// that start together first find out which of them it is.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// Maximum delay before a failed store call is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Delay before a failed store call is retried, doubled with each further
/// failure in a row.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Keeps the roster up to date.
pub struct RosterWriter {
    state: Arc<State>,
    platform: Platform,
    /// The roster in the store; none if this node wrote none.
    written: Option<Written>,
    retry_delay: Duration,
}

/// The roster as this node wrote it.
struct Written {
    nodes: Vec<NodeEntry>,
    /// Era in which it was written; in a later one the store may assign its
    /// lease to another node.
    era: Era,
    lease: u64,
    revision: Revision,
    renewed_at: Time,
}

impl RosterWriter {
    /// Creates the writer of a node that wrote no roster yet.
    #[must_use]
    pub const fn new(state: Arc<State>, platform: Platform) -> Self {
        Self {
            state,
            platform,
            written: None,
            retry_delay: MIN_RETRY_DELAY,
        }
    }

    /// Keeps the roster up to date; never returns.
    pub async fn run(mut self) {
        loop {
            let delay = match self.update().await {
                Ok(()) => {
                    self.retry_delay = MIN_RETRY_DELAY;
                    CHECK_INTERVAL
                }
                Err(error) => {
                    log::info!(reason:% = error; "roster.not-written");
                    let delay = self.retry_delay;
                    self.retry_delay = (delay * 2).min(MAX_RETRY_DELAY);
                    delay
                }
            };
            tokio::time::sleep(delay).await;
        }
    }

    /// Writes, renews or removes the roster, as the state demands.
    async fn update(&mut self) -> Result<(), StoreError> {
        let now = self.state.clock.now();
        let reads_since = self.state.reads_store_since(now);
        let Some(reads_since) = reads_since else {
            return self.remove().await;
        };
        if now.since(reads_since) < SETTLE_TIME {
            return Ok(());
        }
        let nodes = self.state.roster_nodes(now);
        let era = self.state.position().era;
        match &self.written {
            Some(written) if written.era >= era => {
                let (lease, written_era) = (written.lease, written.era);
                if now.since(written.renewed_at) >= RENEW_INTERVAL
                    && !self.renew(now, lease, written_era).await?
                {
                    return self.write_anew(now, nodes).await;
                }
                self.write_changes(nodes).await
            }
            _ if nodes.is_empty() => Ok(()),
            _ => self.write_anew(now, nodes).await,
        }
    }

    /// Renews the lease; false if it ended or is of another era.
    async fn renew(&mut self, now: Time, lease: u64, era: Era) -> Result<bool, StoreError> {
        let answer = (self.platform.call)(StoreCall::Renew { lease }).await;
        let is_lost = matches!(answer.result?, StoreReply::NoLease) || answer.era != era;
        if is_lost {
            log::info!(lease, era = answer.era.0, known_era = era.0; "roster.lease-lost");
        } else if let Some(written) = &mut self.written {
            written.renewed_at = now;
        }
        Ok(!is_lost)
    }

    /// Writes the nodes under the lease that is held, if they changed.
    async fn write_changes(&mut self, nodes: Vec<NodeEntry>) -> Result<(), StoreError> {
        let Some(written) = &self.written else {
            return Ok(());
        };
        if written.nodes == nodes {
            return Ok(());
        }
        let (era, lease) = (written.era, written.lease);
        let expected = written.revision;
        let renewed_at = written.renewed_at;
        self.write(nodes, era, lease, expected, renewed_at).await
    }

    /// Writes the nodes under a new lease.
    async fn write_anew(&mut self, now: Time, nodes: Vec<NodeEntry>) -> Result<(), StoreError> {
        self.written = None;
        let grant = StoreCall::Grant { ttl: LEASE_TTL };
        let StoreAnswer { era, result } = (self.platform.call)(grant).await;
        let StoreReply::Lease(lease) = result? else {
            return Err(StoreError::NoAnswer);
        };
        self.write(nodes, era, lease, Revision(0), now).await
    }

    async fn write(
        &mut self,
        nodes: Vec<NodeEntry>,
        era: Era,
        lease: u64,
        mut expected: Revision,
        renewed_at: Time,
    ) -> Result<(), StoreError> {
        let roster = Roster::new(&self.state.own_entry, &nodes);
        let value = serde_json::to_vec(&roster).map_err(|_| StoreError::TooLarge)?;
        self.written = None;
        // The roster of this node's previous process may still exist: the
        // second attempt replaces it.
        for _ in 0..2 {
            let call = StoreCall::Swap {
                key: self.key(),
                expect: expected,
                value: Some(value.clone()),
                lease,
            };
            let answer = (self.platform.call)(call).await;
            match answer.result? {
                StoreReply::Swapped(revision) if answer.era == era => {
                    log::info!(nodes = nodes.len(), lease, era = era.0, revision = revision.0; "roster.written");
                    self.written = Some(Written {
                        nodes,
                        era,
                        lease,
                        revision,
                        renewed_at,
                    });
                    return Ok(());
                }
                StoreReply::Conflict(revision) => expected = revision,
                _ => break,
            }
        }
        Err(StoreError::Unavailable)
    }

    /// Removes the roster unless another process wrote it anew. Its lease is
    /// left to expire: in a later era it may be another node's.
    async fn remove(&mut self) -> Result<(), StoreError> {
        let Some(written) = &self.written else {
            return Ok(());
        };
        let call = StoreCall::Swap {
            key: self.key(),
            expect: written.revision,
            value: None,
            lease: 0,
        };
        (self.platform.call)(call).await.result?;
        log::info!(nodes = written.nodes.len(); "roster.removed");
        self.written = None;
        Ok(())
    }

    /// Key of this node's roster.
    fn key(&self) -> String {
        let (prefix, own) = (self.state.site.node_prefix, &self.state.own_entry);
        format!("{prefix}{}/{}", own.domain, own.name)
    }
}
