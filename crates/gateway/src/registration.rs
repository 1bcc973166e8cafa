//! This node's own entry in the store, on a lease that it renews.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::Revision;
use heatherrun_kernel::port::{Platform, StoreCall, StoreError, StoreReply};

use crate::state::State;

/// Time after which the entry of a node that died is gone. The users' bound
/// for naming a dead node is `contactMs` and 3 s.
const LEASE_TIME: Duration = Duration::from_secs(5);

/// Time between renewals: one may fail before the lease ends.
const RENEW_TIME: Duration = Duration::from_secs(2);

/// Longest pause after calls that failed.
const MOST_AGAIN: Duration = Duration::from_millis(1_200);

/// Pause after a call that failed, doubled with each one in a row.
const AGAIN: Duration = Duration::from_millis(300);

/// Time in which a store must show a new entry before it is written again.
const SHOW_TIME: Duration = Duration::from_secs(4);

/// Keeps this node registered while it serves.
pub struct Member {
    state: Arc<State>,
    platform: Platform,
    lease: u64,
}

impl Member {
    /// Node that is not registered yet.
    #[must_use]
    pub const fn new(state: Arc<State>, platform: Platform) -> Self {
        Self {
            state,
            platform,
            lease: 0,
        }
    }

    /// Registers the node and keeps it so until it stops; then takes its
    /// entry back.
    pub async fn run(mut self) {
        let mut registered = self.state.clock.now();
        let mut again = AGAIN;
        loop {
            if self.state.is_stopping() {
                break;
            }
            if !self.state.is_ready() {
                tokio::time::sleep(AGAIN).await;
                continue;
            }
            let now = self.state.clock.now();
            let lost = self.lease != 0 && now.since(registered) > SHOW_TIME && !self.is_shown();
            let done = if self.lease == 0 || lost {
                registered = now;
                self.register().await
            } else {
                self.renew().await
            };
            match done {
                Ok(()) => {
                    again = AGAIN;
                    self.pause(RENEW_TIME).await;
                }
                Err(error) => {
                    log::info!(reason:% = error; "member.unregistered");
                    self.pause(again).await;
                    again = (again * 2).min(MOST_AGAIN);
                }
            }
        }
        if self.lease != 0 {
            let call = StoreCall::Revoke { lease: self.lease };
            if let Err(error) = (self.platform.call)(call).await {
                log::info!(reason:% = error; "member.not-revoked");
            }
        }
    }

    /// Waits, but not on once the node stops.
    async fn pause(&self, time: Duration) {
        let end = self.state.clock.now() + time;
        while !self.state.is_stopping() && self.state.clock.now() < end {
            let step = AGAIN.min(end.left(self.state.clock.now()));
            tokio::time::sleep(step).await;
        }
    }

    /// Whether the store shows this node, as far as is known.
    fn is_shown(&self) -> bool {
        let me = &self.state.me.name;
        let shown = self.state.nodes.load().iter().any(|n| n.name == *me);
        shown || self.state.age() > SHOW_TIME
    }

    async fn register(&mut self) -> Result<(), StoreError> {
        self.lease = 0;
        let grant = StoreCall::Grant { ttl: LEASE_TIME };
        let StoreReply::Lease(lease) = (self.platform.call)(grant).await? else {
            return Err(StoreError::NoAnswer);
        };
        let me = &self.state.me;
        let key = format!("{}{}", self.state.site.nodes, me.name);
        let value = serde_json::to_vec(me).map_err(|_| StoreError::TooLarge)?;
        let mut expect = Revision(0);
        // An entry of this node's former process may still be there.
        for _ in 0..2 {
            let call = StoreCall::Swap {
                key: key.clone(),
                expect,
                value: Some(value.clone()),
                lease,
            };
            match (self.platform.call)(call).await? {
                StoreReply::Swapped(revision) => {
                    self.lease = lease;
                    log::info!(lease, revision = revision.0; "member.registered");
                    return Ok(());
                }
                StoreReply::Conflict(revision) => expect = revision,
                _ => break,
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn renew(&mut self) -> Result<(), StoreError> {
        let call = StoreCall::Renew { lease: self.lease };
        if let StoreReply::NoLease = (self.platform.call)(call).await? {
            log::info!(lease = self.lease; "member.lease-lost");
            return self.register().await;
        }
        Ok(())
    }
}
