//! Leadership of orphan domains, which are failure domains without nodes.
//!
//! One of the known leaders is chosen for each orphan domain by rendezvous
//! hashing, and holds its lease in addition to its own.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use heatherrun_control::grants::UNRESPONSIVE_TIMEOUT;
use heatherrun_control::lead::{LEASE_TTL, LastTerm, LeaderRecord, Leadership, Step};
use heatherrun_control::rendezvous;
use heatherrun_kernel::port::{StoreCall, StoreReply};
use heatherrun_kernel::{DomainId, NodeId, Revision, TargetId, Time};

use super::{Control, ControlState, leader_key};

/// Interval between two checks for orphan domains.
const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Most store calls for one orphan domain in one check.
const MAX_CALLS_PER_CHECK: usize = 4;

/// An orphan domain that this node leads or tries to lead.
struct OrphanDomain {
    leadership: Leadership,
    /// Whether the domain never had a leader before; none until the term is
    /// recorded in the store.
    first_term: Option<bool>,
}

/// Orphan domains by id.
type OrphanDomains = BTreeMap<DomainId, OrphanDomain>;

impl Control {
    /// Leads the orphan domains assigned to this node while it leads its own
    /// failure domain.
    pub(super) async fn run_orphan_leadership(self: &Arc<Self>) {
        let mut led_domains = OrphanDomains::new();
        loop {
            tokio::time::sleep(ORPHAN_CHECK_INTERVAL).await;
            if !self.leads() {
                led_domains.clear();
                continue;
            }
            let assigned = self.assigned_orphans();
            for domain in &assigned {
                let orphan = led_domains.entry(*domain).or_insert(OrphanDomain {
                    leadership: Leadership::new(self.node_info.id),
                    first_term: None,
                });
                self.advance_leadership(*domain, &mut orphan.leadership)
                    .await;
                self.record_term(*domain, orphan).await;
            }
            self.update_led_orphans(&assigned, &mut led_domains);
        }
    }

    /// Orphan domains for which this node is the chosen leader. Empty until the
    /// list of VMs was read.
    fn assigned_orphans(&self) -> BTreeSet<DomainId> {
        let state = self.lock();
        let mut orphans = BTreeSet::new();
        if state.listed_vms.is_empty() {
            return orphans;
        }
        for domain in &state.replica.view.domains {
            let id = DomainId::from_name(&domain.name);
            if !has_nodes(&state, id) && self.is_responsible(&state, id) {
                orphans.insert(id);
            }
        }
        orphans
    }

    /// Whether rendezvous hashing over the responsive leaders chooses this one.
    fn is_responsible(&self, state: &ControlState, domain: DomainId) -> bool {
        let now = self.clock.now();
        let responsive = |last_heard: Time| now.since(last_heard) < UNRESPONSIVE_TIMEOUT;
        let others = state
            .remote_leaders
            .values()
            .filter(|r| responsive(r.last_heard));
        let mut leaders: Vec<NodeId> = others.map(|r| r.info.id).collect();
        leaders.push(self.node_info.id);
        rendezvous::choose(TargetId(domain.0), leaders) == Some(self.node_info.id)
    }

    /// Makes the store calls that are due for the lease of one orphan domain.
    async fn advance_leadership(&self, domain: DomainId, leadership: &mut Leadership) {
        for _ in 0..MAX_CALLS_PER_CHECK {
            let sent = self.clock.now();
            match leadership.next_step(sent, true, Duration::ZERO) {
                Step::Wait(_) => return,
                Step::ReadKey => self.read_orphan_leader(domain, leadership).await,
                Step::Grant => match self.call_store(StoreCall::Grant { ttl: LEASE_TTL }).await {
                    Ok(StoreReply::Lease(lease)) => leadership.on_lease(sent, lease),
                    _ => leadership.on_store_failed(self.clock.now()),
                },
                Step::Claim(lease) => self.claim_orphan(domain, leadership, lease).await,
                Step::Renew(lease) => match self.call_store(StoreCall::Renew { lease }).await {
                    Ok(StoreReply::Lease(_)) => leadership.on_renewed(sent),
                    Ok(_) => leadership.on_lease_lost(self.clock.now()),
                    Err(_) => leadership.on_store_failed(self.clock.now()),
                },
            }
        }
    }

    /// Reads who leads an orphan domain.
    async fn read_orphan_leader(&self, domain: DomainId, leadership: &mut Leadership) {
        let key = leader_key(domain);
        let reply = self.call_store(StoreCall::Get { key }).await;
        let now = self.clock.now();
        let Ok(StoreReply::Value(found)) = reply else {
            leadership.on_store_failed(now);
            return;
        };
        let value = found.as_ref().and_then(|kv| kv.value.as_deref());
        let record: Option<LeaderRecord> = value.and_then(|v| serde_json::from_slice(v).ok());
        let revision = found.map(|kv| kv.revision).unwrap_or_default();
        leadership.on_key_read(now, record.as_ref().map(|r| (revision, r)));
    }

    /// Writes this node as leader of an orphan domain, if the key is absent.
    async fn claim_orphan(&self, domain: DomainId, leadership: &mut Leadership, lease: u64) {
        let record = LeaderRecord {
            info: self.node_info.clone(),
            lease,
        };
        let call = StoreCall::Swap {
            key: leader_key(domain),
            expect: Revision(0),
            value: serde_json::to_vec(&record).ok(),
            lease,
        };
        let reply = self.call_store(call).await;
        let now = self.clock.now();
        match reply {
            Ok(StoreReply::Swapped(revision)) => {
                log::info!(node = self.node_info.name.as_str(), domain = domain.to_string().as_str(); "lead.guest");
                leadership.on_claimed(now, revision);
            }
            Ok(_) => leadership.on_lease_lost(now),
            Err(_) => leadership.on_store_failed(now),
        }
    }

    /// Records the term in the store once after the lease was acquired.
    async fn record_term(&self, domain: DomainId, orphan: &mut OrphanDomain) {
        let Some(tenure) = orphan.leadership.tenure() else {
            orphan.first_term = None;
            return;
        };
        if orphan.first_term.is_some() {
            return;
        }
        let Ok(previous) = self.read_last_term(domain).await else {
            return;
        };
        let current_term = LastTerm {
            term: tenure.term,
            clean: false,
        };
        let expect = previous.map(|(revision, _)| revision);
        if self
            .write_last_term(domain, expect, current_term)
            .await
            .is_ok()
        {
            orphan.first_term = Some(previous.is_none());
        }
    }

    /// Sets the orphan domains whose units this leader may grant: those whose
    /// lease it certainly holds. The lease of a domain that is no longer
    /// assigned is not renewed; it expires after the grants made under it.
    fn update_led_orphans(&self, assigned: &BTreeSet<DomainId>, led_domains: &mut OrphanDomains) {
        led_domains.retain(|domain, _| assigned.contains(domain));
        let now = self.clock.now();
        let mut state = self.lock();
        let all_responsive = self.all_responsive(&mut state, now);
        let mut certain_domains = BTreeMap::new();
        let mut terms = Vec::new();
        for (domain, orphan) in led_domains {
            orphan.leadership.check_lease(now);
            let (Some(tenure), Some(first_term)) = (orphan.leadership.tenure(), orphan.first_term)
            else {
                continue;
            };
            if !tenure.lease_expired || (all_responsive && !tenure.paused) {
                certain_domains.insert(*domain, first_term);
                terms.push(tenure.term);
            }
        }
        let ControlState {
            domain_leader,
            replica,
            ..
        } = &mut *state;
        let Some(domain_leader) = domain_leader else {
            return;
        };
        for term in terms {
            domain_leader.grants.raise_term(term);
        }
        if domain_leader.set_orphan_domains(certain_domains) {
            domain_leader.update_units(now, replica);
            self.leader_wake.notify_one();
            self.heartbeat_wake.notify_one();
        }
    }

    /// Whether every node and every other leader is responsive, so that nobody
    /// else can have acquired a lease that expired during a store outage.
    fn all_responsive(&self, state: &mut ControlState, now: Time) -> bool {
        state.leadership.check_lease(now);
        let Some(tenure) = state.leadership.tenure() else {
            return false;
        };
        let responsive = |r: &super::RemoteLeader| {
            r.info.id == self.node_info.id || now.since(r.last_heard) < UNRESPONSIVE_TIMEOUT
        };
        let leaders_responsive = state.remote_leaders.values().all(responsive);
        let domain_leader = state.domain_leader.as_mut();
        leaders_responsive && domain_leader.is_some_and(|l| l.is_sole_leader(&tenure, now))
    }
}

/// Whether a node of `domain` is in the VM list or the view.
fn has_nodes(state: &ControlState, domain: DomainId) -> bool {
    let listed = state
        .listed_vms
        .iter()
        .any(|vm| DomainId::from_name(&vm.domain) == domain);
    let mut nodes = state.replica.view.nodes.values();
    listed || nodes.any(|m| m.info.domain == domain)
}
