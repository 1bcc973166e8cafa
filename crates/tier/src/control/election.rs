//! Election of the leader of this node's failure domain, by the store.

use std::sync::Arc;
use std::time::Duration;

use heatherrun_control::desk::Desk;
use heatherrun_control::grants::Start;
use heatherrun_control::lead::{LastTerm, Record, Step, TTL};
use heatherrun_control::replica;
use heatherrun_kernel::port::{StoreCall, StoreError, StoreReply};
use heatherrun_kernel::{DomainId, Epoch, Revision, Time};

use super::{Control, candidates, lead_key, term_key};

/// Time by which each further candidate stands later.
const STAGGER: Duration = Duration::from_millis(300);

/// Longest time without a look at the clock.
const LOOK: Duration = Duration::from_millis(500);

impl Control {
    pub(super) async fn run_election(self: &Arc<Self>) {
        loop {
            let now = self.clock.now();
            let step = {
                let mut state = self.lock();
                let rank = candidates(&state, self.info.domain)
                    .iter()
                    .position(|n| *n == self.info.id);
                let rank = u32::try_from(rank.unwrap_or(0)).unwrap_or(0);
                let quiet = state.quiet(now) && !state.leaving;
                state.lead.next(now, quiet, STAGGER * rank)
            };
            match step {
                Step::Wait(until) => self.wait(until).await,
                Step::Look => self.look().await,
                Step::Grant => self.take_lease().await,
                Step::Claim(lease) => self.claim(lease).await,
                Step::Renew(lease) => self.renew(lease).await,
            }
            self.open_desk().await;
        }
    }

    async fn wait(&self, until: Time) {
        let until = until.min(self.clock.now() + LOOK);
        tokio::select! {
            biased;
            () = self.elect.notified() => {}
            () = self.clock.sleep_until(until) => {}
        }
    }

    async fn look(&self) {
        let key = lead_key(self.info.domain);
        let reply = self.store(StoreCall::Get { key }).await;
        let Ok(StoreReply::Value(found)) = reply else {
            let now = self.clock.now();
            self.lock().lead.on_failed(now);
            self.ask_around().await;
            return;
        };
        let value = found.as_ref().and_then(|kv| kv.value.as_deref());
        let record: Option<Record> = value.and_then(|v| serde_json::from_slice(v).ok());
        if record.is_none() && self.ask_around().await {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        let revision = found.map(|kv| kv.revision).unwrap_or_default();
        state
            .lead
            .on_look(now, record.as_ref().map(|r| (revision, r)));
        if let Some(record) = record
            && record.info.id != self.info.id
        {
            state.desk = None;
            state.follow(record.info, now);
            self.beat.notify_one();
        }
    }

    async fn take_lease(&self) {
        let sent = self.clock.now();
        let reply = self.store(StoreCall::Grant { ttl: TTL }).await;
        let now = self.clock.now();
        let mut state = self.lock();
        match reply {
            Ok(StoreReply::Lease(lease)) => state.lead.on_lease(sent, lease),
            _ => state.lead.on_failed(now),
        }
    }

    async fn claim(&self, lease: u64) {
        let record = Record {
            info: self.info.clone(),
            lease,
        };
        let call = StoreCall::Swap {
            key: lead_key(self.info.domain),
            expect: Revision(0),
            value: serde_json::to_vec(&record).ok(),
            lease,
        };
        let reply = self.store(call).await;
        let now = self.clock.now();
        let mut state = self.lock();
        match reply {
            Ok(StoreReply::Swapped(revision)) => state.lead.on_claimed(now, revision),
            Ok(_) => state.lead.on_lost(now),
            Err(_) => state.lead.on_failed(now),
        }
    }

    async fn renew(&self, lease: u64) {
        let sent = self.clock.now();
        let reply = self.store(StoreCall::Renew { lease }).await;
        let now = self.clock.now();
        let mut state = self.lock();
        match reply {
            Ok(StoreReply::Lease(_)) => {
                state.lead.on_renewed(sent);
                self.prove_fresh(sent);
            }
            Ok(_) => {
                log::warn!(node = self.info.name.as_str(); "lead.lost");
                state.lead.on_lost(now);
                state.link = None;
            }
            Err(e) => {
                log::warn!(node = self.info.name.as_str(), error:% = e; "lead.renewal_failed");
                state.lead.on_failed(now);
            }
        }
    }

    /// Starts the work of a leader that was elected just now.
    async fn open_desk(&self) {
        let elected = {
            let state = self.lock();
            let tenure = state.lead.tenure();
            let open = state.desk.as_ref().map(Desk::term);
            tenure.filter(|t| open != Some(t.term))
        };
        let Some(tenure) = elected else {
            return;
        };
        let Ok(before) = self.read_term(self.info.domain).await else {
            return;
        };
        let mine = LastTerm {
            term: tenure.term,
            clean: false,
        };
        if self
            .write_term(self.info.domain, before.map(|b| b.0), mine)
            .await
            .is_err()
        {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        if state.lead.tenure().is_none_or(|t| t.term != tenure.term) {
            return;
        }
        let start = match before {
            None => Start::First,
            Some((_, term)) if term.clean => Start::Clean,
            Some(_) => Start::Lapse,
        };
        let kept = state.desk.as_ref().map(Desk::term);
        let same = kept.is_some() && kept == before.map(|(_, b)| b.term);
        if same && let Some(desk) = &mut state.desk {
            desk.renew(tenure.term);
        } else {
            let items = replica::items(&state.replica);
            let mut desk = Desk::new(self.info.domain, tenure.term, start, now, items);
            desk.plan(now, &state.replica);
            state.desk = Some(desk);
        }
        log::info!(node = self.info.name.as_str(), term = tenure.term.0, start:? = start; "lead.elected");
        state.follow(self.info.clone(), now);
        drop(state);
        self.beat.notify_one();
        self.read.notify_one();
        self.work.notify_one();
    }

    pub(super) async fn read_term(
        &self,
        domain: DomainId,
    ) -> Result<Option<(Revision, LastTerm)>, StoreError> {
        let key = term_key(domain);
        let StoreReply::Value(Some(found)) = self.store(StoreCall::Get { key }).await? else {
            return Ok(None);
        };
        let value = found.value.as_deref().unwrap_or_default();
        let term = serde_json::from_slice(value).unwrap_or(LastTerm {
            term: Epoch(0),
            clean: false,
        });
        Ok(Some((found.revision, term)))
    }

    pub(super) async fn write_term(
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
        match self.store(call).await? {
            StoreReply::Swapped(_) => Ok(()),
            _ => Err(StoreError::Unavailable),
        }
    }

    /// Gives the leadership back, so that a successor need not wait for the
    /// lease to lapse.
    pub(super) async fn resign(&self) {
        let (lease, term) = {
            let mut state = self.lock();
            let lease = state.lead.lease();
            let term = state.desk.as_ref().map(Desk::term);
            state.lead.resign();
            state.desk = None;
            state.link = None;
            (lease, term)
        };
        let (Some(lease), Some(term)) = (lease, term) else {
            return;
        };
        if let Ok(Some((revision, last))) = self.read_term(self.info.domain).await
            && last.term == term
        {
            let clean = LastTerm { term, clean: true };
            let _ = self
                .write_term(self.info.domain, Some(revision), clean)
                .await;
        }
        let _ = self.store(StoreCall::Revoke { lease }).await;
        log::info!(node = self.info.name.as_str(), term = term.0; "lead.resigned");
    }
}
