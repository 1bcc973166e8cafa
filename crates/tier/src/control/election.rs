//! Election of the leader of this node's failure domain, by a lease of the
//! store.

use std::sync::Arc;
use std::time::Duration;

use heatherrun_control::domain_leader::DomainLeader;
use heatherrun_control::grants::Start;
use heatherrun_control::lead::{LEASE_TTL, LastTerm, LeaderRecord, Step};
use heatherrun_control::replica;
use heatherrun_kernel::port::{StoreCall, StoreError, StoreReply};
use heatherrun_kernel::{DomainId, Epoch, Revision, Time};

use super::{Control, election_candidates, leader_key, term_key};

/// Extra election delay of a candidate for each one that ranks before it.
const CANDIDATE_STAGGER: Duration = Duration::from_millis(300);

/// Longest interval between two clock checks. It is short enough that a longer
/// gap is recognized as a pause of the process.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Control {
    /// Takes part in elections, and renews the lease while this node leads.
    pub(super) async fn run_election(self: &Arc<Self>) {
        loop {
            let now = self.clock.now();
            let step = {
                let mut state = self.lock();
                let rank = election_candidates(&state, self.node_info.domain)
                    .iter()
                    .position(|n| *n == self.node_info.id);
                let rank = u32::try_from(rank.unwrap_or(0)).unwrap_or(0);
                let leaderless = state.is_leaderless(now) && !state.leaving;
                state
                    .leadership
                    .next_step(now, leaderless, CANDIDATE_STAGGER * rank)
            };
            match step {
                Step::Wait(until) => self.wait_until(until).await,
                Step::ReadKey => self.read_leader_key().await,
                Step::Grant => self.acquire_lease().await,
                Step::Claim(lease) => self.claim_leadership(lease).await,
                Step::Renew(lease) => self.renew_lease(lease).await,
            }
            self.begin_term().await;
        }
    }

    /// Waits until `until`, a wake-up or the next clock check.
    async fn wait_until(&self, until: Time) {
        let until = until.min(self.clock.now() + CLOCK_CHECK_INTERVAL);
        tokio::select! {
            biased;
            () = self.election_wake.notified() => {}
            () = self.clock.sleep_until(until) => {}
        }
    }

    /// Reads who leads. Without an answer from the store or a leader there, the
    /// peers are queried before this node becomes a candidate.
    async fn read_leader_key(&self) {
        let key = leader_key(self.node_info.domain);
        let reply = self.call_store(StoreCall::Get { key }).await;
        let Ok(StoreReply::Value(found)) = reply else {
            let now = self.clock.now();
            self.lock().leadership.on_store_failed(now);
            self.query_peers().await;
            return;
        };
        let value = found.as_ref().and_then(|kv| kv.value.as_deref());
        let record: Option<LeaderRecord> = value.and_then(|v| serde_json::from_slice(v).ok());
        if record.is_none() && self.query_peers().await {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        let revision = found.map(|kv| kv.revision).unwrap_or_default();
        state
            .leadership
            .on_key_read(now, record.as_ref().map(|r| (revision, r)));
        if let Some(record) = record
            && record.info.id != self.node_info.id
        {
            state.domain_leader = None;
            state.follow_leader(record.info, now);
            self.heartbeat_wake.notify_one();
        }
    }

    /// Requests a lease for the claim that follows.
    async fn acquire_lease(&self) {
        let sent = self.clock.now();
        let reply = self.call_store(StoreCall::Grant { ttl: LEASE_TTL }).await;
        let now = self.clock.now();
        let mut state = self.lock();
        match reply {
            Ok(StoreReply::Lease(lease)) => state.leadership.on_lease(sent, lease),
            _ => state.leadership.on_store_failed(now),
        }
    }

    /// Writes this node as leader, if the key is absent.
    async fn claim_leadership(&self, lease: u64) {
        let record = LeaderRecord {
            info: self.node_info.clone(),
            lease,
        };
        let call = StoreCall::Swap {
            key: leader_key(self.node_info.domain),
            expect: Revision(0),
            value: serde_json::to_vec(&record).ok(),
            lease,
        };
        let reply = self.call_store(call).await;
        let now = self.clock.now();
        let mut state = self.lock();
        match reply {
            Ok(StoreReply::Swapped(revision)) => state.leadership.on_claimed(now, revision),
            Ok(_) => state.leadership.on_lease_lost(now),
            Err(_) => state.leadership.on_store_failed(now),
        }
    }

    /// Renews the lease. A renewal also confirms the view, since the store
    /// answered.
    async fn renew_lease(&self, lease: u64) {
        let sent = self.clock.now();
        let reply = self.call_store(StoreCall::Renew { lease }).await;
        let now = self.clock.now();
        let mut state = self.lock();
        match reply {
            Ok(StoreReply::Lease(_)) => {
                state.leadership.on_renewed(sent);
                self.confirm_view(sent);
            }
            Ok(_) => {
                log::warn!(node = self.node_info.name.as_str(); "lead.lost");
                state.leadership.on_lease_lost(now);
                state.current_leader = None;
            }
            Err(e) => {
                log::warn!(node = self.node_info.name.as_str(), error:% = e; "lead.renewal_failed");
                state.leadership.on_store_failed(now);
            }
        }
    }

    /// Starts the leader role once after each election: records the new term
    /// in the store and creates the leader's state, or keeps the state of the
    /// last term when this node led that one too.
    async fn begin_term(&self) {
        let elected = {
            let state = self.lock();
            let tenure = state.leadership.tenure();
            let begun_term = state.domain_leader.as_ref().map(DomainLeader::term);
            tenure.filter(|t| begun_term != Some(t.term))
        };
        let Some(tenure) = elected else {
            return;
        };
        let Ok(previous) = self.read_last_term(self.node_info.domain).await else {
            return;
        };
        let current_term = LastTerm {
            term: tenure.term,
            clean: false,
        };
        if self
            .write_last_term(self.node_info.domain, previous.map(|p| p.0), current_term)
            .await
            .is_err()
        {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        if state
            .leadership
            .tenure()
            .is_none_or(|t| t.term != tenure.term)
        {
            return;
        }
        let start = match previous {
            None => Start::First,
            Some((_, term)) if term.clean => Start::Clean,
            Some(_) => Start::Lapse,
        };
        let kept_term = state.domain_leader.as_ref().map(DomainLeader::term);
        let reelected = kept_term.is_some() && kept_term == previous.map(|(_, last)| last.term);
        if reelected && let Some(domain_leader) = &mut state.domain_leader {
            domain_leader.start_term(tenure.term);
        } else {
            let items = replica::state_items(&state.replica);
            let mut domain_leader =
                DomainLeader::new(self.node_info.domain, tenure.term, start, now, items);
            domain_leader.update_units(now, &state.replica);
            state.domain_leader = Some(domain_leader);
        }
        log::info!(node = self.node_info.name.as_str(), term = tenure.term.0, start:? = start; "lead.elected");
        state.follow_leader(self.node_info.clone(), now);
        drop(state);
        self.heartbeat_wake.notify_one();
        self.store_wake.notify_one();
        self.leader_wake.notify_one();
    }

    /// Reads the last recorded term of `domain` and the revision of its key.
    pub(super) async fn read_last_term(
        &self,
        domain: DomainId,
    ) -> Result<Option<(Revision, LastTerm)>, StoreError> {
        let key = term_key(domain);
        let StoreReply::Value(Some(found)) = self.call_store(StoreCall::Get { key }).await? else {
            return Ok(None);
        };
        let value = found.value.as_deref().unwrap_or_default();
        let term = serde_json::from_slice(value).unwrap_or(LastTerm {
            term: Epoch(0),
            clean: false,
        });
        Ok(Some((found.revision, term)))
    }

    /// Records `term` if the key still has the revision `expect`.
    pub(super) async fn write_last_term(
        &self,
        domain: DomainId,
        expect: Option<Revision>,
        term: LastTerm,
    ) -> Result<(), StoreError> {
        let call = StoreCall::Swap {
            key: term_key(domain),
            expect: expect.unwrap_or_default(),
            value: serde_json::to_vec(&term).ok(),
            lease: 0,
        };
        match self.call_store(call).await? {
            StoreReply::Swapped(_) => Ok(()),
            _ => Err(StoreError::Unavailable),
        }
    }

    /// Gives up leadership and revokes the lease, so that a successor need not
    /// wait for it to expire. The term is recorded as ended cleanly.
    pub(super) async fn resign_leadership(&self) {
        let (lease, term) = {
            let mut state = self.lock();
            let lease = state.leadership.lease();
            let term = state.domain_leader.as_ref().map(DomainLeader::term);
            state.leadership.resign();
            state.domain_leader = None;
            state.current_leader = None;
            (lease, term)
        };
        let (Some(lease), Some(term)) = (lease, term) else {
            return;
        };
        if let Ok(Some((revision, last))) = self.read_last_term(self.node_info.domain).await
            && last.term == term
        {
            let clean = LastTerm { term, clean: true };
            let _ = self
                .write_last_term(self.node_info.domain, Some(revision), clean)
                .await;
        }
        let _ = self.call_store(StoreCall::Revoke { lease }).await;
        log::info!(node = self.node_info.name.as_str(), term = term.0; "lead.resigned");
    }
}
