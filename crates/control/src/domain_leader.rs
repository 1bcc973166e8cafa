//! Message handling of a leader: heartbeats of its members, and requests for
//! updates from members and other leaders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use heatherrun_kernel::control::{
    Heartbeat, HeartbeatAnswer, LogEntry, LogUpdate, MemberUpdate, OwnerUpdate, RolloutStatus,
};
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::port::{Vm, VmState};
use heatherrun_kernel::view::Availability;
use heatherrun_kernel::{DomainId, Epoch, NodeId, ONCE_PARTITIONS, Revision};
use heatherrun_kernel::{TargetId, Time};

use crate::cell::Nodes;
use crate::changelog::Log;
use crate::grants::{self, GRANT_TTL, Grants, LeaderState, Start, Unit};
use crate::lead::Tenure;
use crate::rendezvous;
use crate::replica::Replica;
use crate::scope::Scopes;

/// Shortest time between two heartbeats of a node.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Heartbeat interval per member of the failure domain, which bounds the rate of
/// heartbeats at the leader.
const HEARTBEAT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(30);

/// Maximum bytes of updates in one answer, unless a single item is larger.
pub(crate) const MAX_UPDATE_BYTES: usize = 16 << 10;

/// Time until the grants of a previous leader have certainly expired, when a unit
/// moves between leaders: the rest of its lease, and the grants made under it.
const LEADER_CHANGE_DELAY: Duration = Duration::from_secs(12);

/// Maximum number of node names reported as behind the current revision.
const MAX_BEHIND_NAMES: usize = 5;

/// Granularity of the reported load, so that small changes cause no updates.
const LOAD_STEP_PERCENT: u8 = 25;

/// What the leader knows of a member.
#[derive(Clone, Debug)]
struct MemberState {
    info: NodeInfo,
    last_heard: Option<Time>,
    revision: Revision,
    load: u8,
    leaving: bool,
    /// State in the platform's list of VMs; none if it is not listed.
    vm_state: Option<VmState>,
}

/// Leader of one failure domain: membership, ownership and the change log.
#[derive(Clone, Debug)]
pub struct DomainLeader {
    domain: DomainId,
    term: Epoch,
    /// Ownership of the domain's units.
    pub grants: Grants,
    /// The state that the leader knows, in the order of change.
    pub log: Log,
    members: BTreeMap<NodeId, MemberState>,
    /// Services to send to each member.
    scopes: Scopes,
    /// Failure domains without nodes that are led from here, each with
    /// whether it had no leader before.
    orphan_domains: BTreeMap<DomainId, bool>,
    /// Failure domain of each unit at the last plan, and whether that domain was
    /// led from here.
    unit_domains: BTreeMap<TargetId, (DomainId, bool)>,
}

/// Heartbeat interval in a failure domain of `members` nodes.
#[must_use]
pub fn heartbeat_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    MIN_HEARTBEAT_INTERVAL.max(HEARTBEAT_INTERVAL_PER_MEMBER.saturating_mul(members))
}

/// Context for the answer to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatContext<'a> {
    /// Current time.
    pub now: Time,
    /// The leader.
    pub me: NodeId,
    /// Its leadership.
    pub tenure: &'a Tenure,
    /// Time since the leader last heard from the store.
    pub store_age: Duration,
    /// True when another leader is heard, or when there is no other node.
    pub has_contact: bool,
}

impl DomainLeader {
    /// State of the leader of `domain`, elected at `now`, with `items` as the
    /// initial log.
    #[must_use]
    pub fn new(
        domain: DomainId,
        term: Epoch,
        start: Start,
        now: Time,
        items: impl IntoIterator<Item = LogEntry>,
    ) -> Self {
        let mut domain_leader = Self {
            domain,
            term,
            grants: Grants::new(term, start, now),
            log: Log::default(),
            members: BTreeMap::new(),
            scopes: Scopes::default(),
            orphan_domains: BTreeMap::new(),
            unit_domains: BTreeMap::new(),
        };
        domain_leader.publish(items);
        domain_leader
    }

    /// Term of the leader.
    #[must_use]
    pub const fn term(&self) -> Epoch {
        self.term
    }

    /// Continues under a new term after the same leader was elected again.
    pub fn start_term(&mut self, term: Epoch) {
        self.term = term;
        self.grants.start_term(term);
    }

    /// Records new items in the log.
    pub fn publish(&mut self, items: impl IntoIterator<Item = LogEntry>) {
        for item in items {
            self.log.record(item);
        }
    }

    /// Updates units and cells after a change of the configuration or of the
    /// nodes.
    pub fn update_units(&mut self, now: Time, replica: &Replica) {
        let units = self.led_units(now, replica);
        let mut nodes = Nodes::new();
        for (id, member) in &replica.view.nodes {
            if member.standing != Availability::Silent {
                nodes.entry(member.info.domain).or_default().push(*id);
            }
        }
        let services = replica.view.services.values();
        let sizes = services.map(|s| (s.id, s.shards.iter().map(Vec::len).sum()));
        let cells = self.scopes.assign_cells(&nodes, sizes);
        self.grants.set_cells(cells);
        self.grants.set_units(units, now);
    }

    /// Returns the units of the failure domains led from here. A unit that comes
    /// from another leader is not granted before the grants of that leader have
    /// certainly expired.
    fn led_units(&mut self, now: Time, replica: &Replica) -> Vec<Unit> {
        let mut units = Vec::new();
        let mut unit_domains = BTreeMap::new();
        for (mut unit, domain) in units_by_domain(replica) {
            let is_own = domain == self.domain;
            let led_here = is_own || self.orphan_domains.contains_key(&domain);
            let previous = self.unit_domains.get(&unit.id);
            let moved_in = previous.is_some_and(|(old, led)| *old != domain && !led);
            let never_led = self.orphan_domains.get(&domain).copied().unwrap_or(false);
            let newly_led = !is_own && !never_led && previous.is_none_or(|(_, led)| !led);
            if led_here && (moved_in || newly_led) {
                unit.not_before = now + LEADER_CHANGE_DELAY;
            }
            unit_domains.insert(unit.id, (domain, led_here));
            unit.exclusive |= !is_own;
            if led_here {
                units.push(unit);
            }
        }
        self.unit_domains = unit_domains;
        units
    }

    /// Sets which failure domains without nodes are led from here, each with
    /// whether it had no leader before; returns whether the set changed.
    pub fn set_orphan_domains(&mut self, orphan_domains: BTreeMap<DomainId, bool>) -> bool {
        let changed = self.orphan_domains != orphan_domains;
        self.orphan_domains = orphan_domains;
        changed
    }

    /// Whether this leader holds its lease or has heard every node of the failure
    /// domain since the lease ended, so that no other leader was elected.
    #[must_use]
    pub fn is_sole_leader(&mut self, tenure: &Tenure, now: Time) -> bool {
        let leader_state = self.grants.leader_state(tenure, now, true);
        matches!(
            leader_state,
            LeaderState::Confirmed | LeaderState::AllNodesHeard
        )
    }

    /// Applies the platform's list of VMs; VMs of other failure domains are
    /// ignored.
    pub fn set_listed_vms(&mut self, now: Time, vms: &[Vm]) {
        for member in self.members.values_mut() {
            member.vm_state = None;
        }
        let mut listed = BTreeSet::new();
        for vm in vms {
            let info = node_info(vm);
            if info.domain != self.domain {
                continue;
            }
            listed.insert(info.id);
            let new_member = MemberState {
                info: info.clone(),
                last_heard: None,
                revision: Revision(0),
                load: 0,
                leaving: false,
                vm_state: None,
            };
            let member = self.members.entry(info.id).or_insert(new_member);
            member.vm_state = Some(vm.state);
        }
        self.grants.set_listed_nodes(&listed, now);
    }

    /// Handles the heartbeat of a member and returns the answer.
    pub fn on_heartbeat(
        &mut self,
        context: &HeartbeatContext<'_>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatAnswer {
        let now = context.now;
        let known = self.record_heartbeat(now, heartbeat);
        let leader_state = self.grants.leader_state(
            context.tenure,
            now,
            context.has_contact || self.hears_other_member(now, context.me),
        );
        let store_unavailable = context.tenure.store_failed || context.tenure.lease_expired;
        let leaving = heartbeat.leaving || self.is_vm_leaving(heartbeat.from);
        let period = heartbeat_interval(self.members.len());
        let report = grants::MemberReport {
            from: heartbeat.from,
            leaving,
            got_answer: heartbeat.sent.since(heartbeat.ack)
                < period * 2 + MIN_HEARTBEAT_INTERVAL * 2,
            digest: heartbeat.digest,
            held: heartbeat.held.as_deref().filter(|_| known),
        };
        let answer = self
            .grants
            .on_heartbeat(now, report, leader_state, store_unavailable);
        HeartbeatAnswer {
            leader: context.me,
            term: self.term,
            echo: heartbeat.sent,
            valid: GRANT_TTL,
            period,
            store_unavailable,
            age: context.store_age,
            resend_state: answer.report_held || !known,
            grants: answer.grants.filter(|_| known),
            update: self.updates_for(heartbeat),
        }
    }

    /// Records the state of the sender of a heartbeat; returns false if its names
    /// and addresses were never received.
    fn record_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) -> bool {
        if let Some(info) = &heartbeat.info {
            let new_member = MemberState {
                info: info.clone(),
                last_heard: None,
                revision: Revision(0),
                load: 0,
                leaving: false,
                vm_state: None,
            };
            self.members.entry(info.id).or_insert(new_member).info = info.clone();
        }
        let Some(member) = self.members.get_mut(&heartbeat.from) else {
            return false;
        };
        let has_info = member.info.started != 0;
        member.last_heard = Some(now);
        member.revision = heartbeat.revision;
        member.load = heartbeat.load;
        member.leaving = heartbeat.leaving;
        has_info
    }

    /// Whether another node of the failure domain is heard.
    fn hears_other_member(&self, now: Time, me: NodeId) -> bool {
        let mut others = self.members.values().filter(|m| m.info.id != me);
        others.any(|m| m.standing(now) != Availability::Silent)
    }

    fn is_vm_leaving(&self, node: NodeId) -> bool {
        let vm_state = self.members.get(&node).and_then(|m| m.vm_state);
        vm_state == Some(VmState::Leaving)
    }

    fn updates_for(&mut self, heartbeat: &Heartbeat) -> LogUpdate {
        let log_position = if heartbeat.term == self.term {
            heartbeat.log_position
        } else {
            0
        };
        let held = self.grants.services_of(heartbeat.from);
        self.scopes
            .updates_for(heartbeat, held, &self.log, log_position)
    }

    /// Answers a request for updates. Another leader gets the configuration and
    /// the items of which this failure domain is the source, a member everything.
    #[must_use]
    pub fn updates_for_peer(&self, from: DomainId, term: Epoch, log_position: u64) -> LogUpdate {
        let log_position = if term == self.term { log_position } else { 0 };
        if from == self.domain {
            return self
                .log
                .changes_since(log_position, MAX_UPDATE_BYTES, |_| true);
        }
        let domain = self.domain;
        self.log
            .changes_since(log_position, MAX_UPDATE_BYTES, |item| {
                is_for_other_leaders(domain, item)
            })
    }

    /// Removes expired members and returns the state of the failure domain's
    /// members, its changed owners and its rollout state, as log entries to
    /// publish.
    pub fn collect_updates(&mut self, now: Time, head: Revision) -> Vec<LogEntry> {
        self.grants.expire_members(now);
        let mut items = Vec::new();
        let mut gone = Vec::new();
        for (id, member) in &self.members {
            if !member.is_gone(now) {
                items.push(LogEntry::Member(member.to_update(now)));
                continue;
            }
            gone.push(*id);
            items.push(LogEntry::Left(*id));
        }
        for id in gone {
            self.members.remove(&id);
        }
        for (unit, owner) in self.grants.owner_changes() {
            items.push(LogEntry::Owner(OwnerUpdate {
                unit: unit.id,
                service: unit.service,
                domain: self.domain,
                owner,
            }));
        }
        items.push(LogEntry::Rollout(self.rollout(head)));
        items
    }

    /// How far revision `head` is in force among the members.
    fn rollout(&self, head: Revision) -> RolloutStatus {
        let mut status = RolloutStatus {
            domain: self.domain,
            revision: head,
            ..RolloutStatus::default()
        };
        for member in self.members.values() {
            status.total += 1;
            if member.revision >= head {
                status.nodes += 1;
            } else if status.behind.len() < MAX_BEHIND_NAMES {
                status.behind.push(member.info.name.clone());
            }
        }
        status
    }

    /// Returns names and addresses of all members but `me`.
    #[must_use]
    pub fn peers(&self, me: NodeId) -> Vec<NodeInfo> {
        let others = self.members.values().filter(|m| m.info.id != me);
        others.map(|m| m.info.clone()).collect()
    }

    /// Whether another node of the failure domain can take over units.
    #[must_use]
    pub fn has_successor(&self, now: Time, me: NodeId) -> bool {
        let mut others = self.members.values().filter(|m| m.info.id != me);
        others.any(|m| m.standing(now) == Availability::Live)
    }
}

impl MemberState {
    fn standing(&self, now: Time) -> Availability {
        let is_heard = self
            .last_heard
            .is_some_and(|at| now.since(at) < grants::UNRESPONSIVE_TIMEOUT);
        if !is_heard {
            return Availability::Silent;
        }
        if self.leaving || self.vm_state == Some(VmState::Leaving) {
            return Availability::Leaving;
        }
        Availability::Live
    }

    /// Whether it is not listed and its grants have expired.
    fn is_gone(&self, now: Time) -> bool {
        let is_expired = self
            .last_heard
            .is_none_or(|at| now.since(at) >= grants::UNIT_RELEASE_DELAY);
        is_expired && self.vm_state.is_none()
    }

    fn to_update(&self, now: Time) -> MemberUpdate {
        MemberUpdate {
            info: self.info.clone(),
            standing: self.standing(now),
            load: self.load / LOAD_STEP_PERCENT * LOAD_STEP_PERCENT,
        }
    }
}

/// Returns names and addresses of a VM; the node's start time is not known.
#[must_use]
pub fn node_info(vm: &Vm) -> NodeInfo {
    NodeInfo {
        id: NodeId::from_name(&vm.name),
        name: vm.name.clone(),
        domain: DomainId::from_name(&vm.domain),
        peers: vm.peers,
        callers: vm.callers,
        started: 0,
    }
}

/// Returns all units with their failure domains: a target belongs to its own,
/// and the once-only partitions of pooled services are spread over all declared
/// ones.
#[must_use]
pub fn units_by_domain(replica: &Replica) -> Vec<(Unit, DomainId)> {
    let mut units = Vec::with_capacity(replica.view.targets.len());
    let unit = |id, service, exclusive| Unit {
        id,
        service,
        exclusive,
        not_before: Time(0),
    };
    for target in replica.view.targets.values() {
        units.push((unit(target.id, target.service, false), target.domain));
    }
    let domains = replica
        .view
        .domains
        .iter()
        .map(|d| DomainId::from_name(&d.name));
    let domains: Vec<_> = domains.map(|d| NodeId(d.0)).collect();
    for service in replica.view.services.values().filter(|s| !s.sharded) {
        for partition in 0..ONCE_PARTITIONS {
            let id = TargetId::from_partition(&service.name, partition);
            if let Some(domain) = rendezvous::choose(id, domains.iter().copied()) {
                units.push((unit(id, service.id, true), DomainId(domain.0)));
            }
        }
    }
    units
}

/// Whether `item` is sent by the leader of `domain` to leaders of other failure
/// domains.
fn is_for_other_leaders(domain: DomainId, item: &LogEntry) -> bool {
    match item {
        LogEntry::Config(_) | LogEntry::Patch(_) | LogEntry::Head(_) | LogEntry::Left(_) => true,
        LogEntry::Member(update) => update.info.domain == domain,
        LogEntry::Owner(update) => update.domain == domain,
        LogEntry::Rollout(status) => status.domain == domain,
    }
}
