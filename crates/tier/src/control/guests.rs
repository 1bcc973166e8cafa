//! Failure domains without nodes, led from another one: the leader that is
//! chosen among the known ones holds their leases besides its own.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use heatherrun_control::grants::SILENT;
use heatherrun_control::lead::{LastTerm, Lead, Record, Step, TTL};
use heatherrun_control::rendezvous;
use heatherrun_kernel::port::{StoreCall, StoreReply};
use heatherrun_kernel::{DomainId, NodeId, Revision, TargetId, Time};

use super::{Control, State, lead_key};

/// Time between two looks.
const PERIOD: Duration = Duration::from_millis(250);

/// Calls in one look at the most.
const STEPS: usize = 4;

/// The lease of another failure domain.
struct Guest {
    lead: Lead,
    /// Whether nobody led the domain before; known once the term is noted.
    first: Option<bool>,
}

/// Leases of other failure domains.
type Guests = BTreeMap<DomainId, Guest>;

impl Control {
    /// Leads failure domains without nodes while this node leads its own.
    pub(super) async fn run_guests(self: &Arc<Self>) {
        let mut leads = Guests::new();
        loop {
            tokio::time::sleep(PERIOD).await;
            if !self.leads() {
                leads.clear();
                continue;
            }
            let wanted = self.orphans();
            for domain in &wanted {
                let guest = leads.entry(*domain).or_insert(Guest {
                    lead: Lead::new(self.info.id),
                    first: None,
                });
                self.step_guest(*domain, &mut guest.lead).await;
                self.note_term(*domain, guest).await;
            }
            self.set_guests(&wanted, &mut leads);
        }
    }

    /// Failure domains in which no node is listed or known, and for which
    /// this leader is chosen.
    fn orphans(&self) -> BTreeSet<DomainId> {
        let state = self.lock();
        let mut orphans = BTreeSet::new();
        if state.listed.is_empty() {
            return orphans;
        }
        for domain in &state.replica.view.domains {
            let id = DomainId::of(&domain.name);
            if !is_peopled(&state, id) && self.is_chosen(&state, id) {
                orphans.insert(id);
            }
        }
        orphans
    }

    fn is_chosen(&self, state: &State, domain: DomainId) -> bool {
        let now = self.clock.now();
        let heard = |at: Time| now.since(at) < SILENT;
        let remotes = state.remotes.values().filter(|r| heard(r.heard));
        let mut leaders: Vec<NodeId> = remotes.map(|r| r.info.id).collect();
        leaders.push(self.info.id);
        rendezvous::choose(TargetId(domain.0), leaders) == Some(self.info.id)
    }

    async fn step_guest(&self, domain: DomainId, lead: &mut Lead) {
        for _ in 0..STEPS {
            let sent = self.clock.now();
            match lead.next(sent, true, Duration::ZERO) {
                Step::Wait(_) => return,
                Step::Look => self.look_guest(domain, lead).await,
                Step::Grant => match self.store(StoreCall::Grant { ttl: TTL }).await {
                    Ok(StoreReply::Lease(lease)) => lead.on_lease(sent, lease),
                    _ => lead.on_failed(self.clock.now()),
                },
                Step::Claim(lease) => self.claim_guest(domain, lead, lease).await,
                Step::Renew(lease) => match self.store(StoreCall::Renew { lease }).await {
                    Ok(StoreReply::Lease(_)) => lead.on_renewed(sent),
                    Ok(_) => lead.on_lost(self.clock.now()),
                    Err(_) => lead.on_failed(self.clock.now()),
                },
            }
        }
    }

    async fn look_guest(&self, domain: DomainId, lead: &mut Lead) {
        let key = lead_key(domain);
        let reply = self.store(StoreCall::Get { key }).await;
        let now = self.clock.now();
        let Ok(StoreReply::Value(found)) = reply else {
            lead.on_failed(now);
            return;
        };
        let value = found.as_ref().and_then(|kv| kv.value.as_deref());
        let record: Option<Record> = value.and_then(|v| serde_json::from_slice(v).ok());
        let revision = found.map(|kv| kv.revision).unwrap_or_default();
        lead.on_look(now, record.as_ref().map(|r| (revision, r)));
    }

    async fn claim_guest(&self, domain: DomainId, lead: &mut Lead, lease: u64) {
        let record = Record {
            info: self.info.clone(),
            lease,
        };
        let call = StoreCall::Swap {
            key: lead_key(domain),
            expect: Revision(0),
            value: serde_json::to_vec(&record).ok(),
            lease,
        };
        let reply = self.store(call).await;
        let now = self.clock.now();
        match reply {
            Ok(StoreReply::Swapped(revision)) => {
                log::info!(node = self.info.name.as_str(), domain = domain.to_string().as_str(); "lead.guest");
                lead.on_claimed(now, revision);
            }
            Ok(_) => lead.on_lost(now),
            Err(_) => lead.on_failed(now),
        }
    }

    /// Notes the term of a lease that was won just now.
    async fn note_term(&self, domain: DomainId, guest: &mut Guest) {
        let Some(tenure) = guest.lead.tenure() else {
            guest.first = None;
            return;
        };
        if guest.first.is_some() {
            return;
        }
        let Ok(before) = self.read_term(domain).await else {
            return;
        };
        let mine = LastTerm {
            term: tenure.term,
            clean: false,
        };
        let expect = before.map(|(revision, _)| revision);
        if self.write_term(domain, expect, mine).await.is_ok() {
            guest.first = Some(before.is_none());
        }
    }

    /// Grants units of the failure domains that are surely led from here. A
    /// lease of another one is not renewed and lapses, after the grants that
    /// were made under it.
    fn set_guests(&self, wanted: &BTreeSet<DomainId>, leads: &mut Guests) {
        leads.retain(|domain, _| wanted.contains(domain));
        let now = self.clock.now();
        let mut state = self.lock();
        let alone = self.is_alone(&mut state, now);
        let mut guests = BTreeMap::new();
        let mut terms = Vec::new();
        for (domain, guest) in leads {
            guest.lead.check(now);
            let (Some(tenure), Some(first)) = (guest.lead.tenure(), guest.first) else {
                continue;
            };
            if !tenure.unsure || (alone && !tenure.paused) {
                guests.insert(*domain, first);
                terms.push(tenure.term);
            }
        }
        let State { desk, replica, .. } = &mut *state;
        let Some(desk) = desk else {
            return;
        };
        for term in terms {
            desk.grants.raise(term);
        }
        if desk.set_guests(guests) {
            desk.plan(now, replica);
            self.work.notify_one();
            self.beat.notify_one();
        }
    }

    /// Whether every node and every other leader is heard, so that no one
    /// else takes a lease that lapses in an outage of the store.
    fn is_alone(&self, state: &mut State, now: Time) -> bool {
        state.lead.check(now);
        let Some(tenure) = state.lead.tenure() else {
            return false;
        };
        let heard = |r: &super::Remote| r.info.id == self.info.id || now.since(r.heard) < SILENT;
        let remotes = state.remotes.values().all(heard);
        let desk = state.desk.as_mut();
        remotes && desk.is_some_and(|d| d.is_sure(&tenure, now))
    }
}

/// Whether a node of `domain` is listed or known.
fn is_peopled(state: &State, domain: DomainId) -> bool {
    let listed = state
        .listed
        .iter()
        .any(|vm| DomainId::of(&vm.domain) == domain);
    let mut nodes = state.replica.view.nodes.values();
    listed || nodes.any(|m| m.info.domain == domain)
}
