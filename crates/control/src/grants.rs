//! Ownership as assigned by a leader: which node of a failure domain may use
//! which unit, with which epoch, and with which share of its limit.
//!
//! A unit is a target, or a partition of once-only records. It is planned for
//! the node with the highest rendezvous weight, and moves only after its holder
//! has released it, or after the holder's last grant has certainly expired. A
//! holder uses a unit *unconfirmed* when its grant has expired while the store
//! was unavailable (see [`crate::rights`]). What a leader may grant depends on
//! its [`LeaderState`]:
//!
//! - *confirmed*: it holds the store's lease. Everything may be granted; units
//!   are granted in full unless an earlier holder may still use them
//!   unconfirmed.
//! - *all nodes heard*: the lease ended, but every node has been heard ever
//!   since, so no node has become a candidate. Grants continue unchanged.
//! - *unconfirmed*: the lease ended and some node was not heard since, so that
//!   another leader may have been elected. Targets are granted with
//!   [`SHARE_UNCERTAIN`]; exclusive units are not granted at all.
//! - *isolated*: the lease ended and no other node is heard. Nothing is granted,
//!   since no message could report a change to this leader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use heatherrun_kernel::control::{Grant, SHARE_FULL, SHARE_REMAINDER, SHARE_UNCERTAIN};
use heatherrun_kernel::view::Owner;
use heatherrun_kernel::{Epoch, NodeId, ServiceId, TargetId, Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::lead::Tenure;
use crate::rendezvous;

/// Validity of a grant, counted from the send of the heartbeat that it answers.
pub const GRANT_TTL: Duration = Duration::from_secs(6);

/// Time after the last heartbeat of a holder until its units are free: by then
/// its grant has expired and the calls sent under it have ended.
pub const UNIT_RELEASE_DELAY: Duration = Duration::from_secs(7);

/// Time after its election until a new leader grants units that no node reports
/// as held, because the previous leader may have continued to grant for a while;
/// see `docs/design/ownership.md`.
pub const NEW_LEADER_DELAY: Duration = Duration::from_secs(10);

/// A node without a heartbeat for this long gets no units.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of low bits of an epoch, which count a unit's moves within one term.
const MOVE_COUNTER_BITS: u32 = 20;

/// One unit of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unit {
    /// Id of the unit.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// True when it must not be used unconfirmed: a partition of once-only records,
    /// or a unit of a failure domain that is led from another one.
    pub exclusive: bool,
    /// It is not granted before this time.
    pub not_before: Time,
}

/// How certain a leader is that no other one was elected; see the module's
/// documentation for what it may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderState {
    /// It holds the lease.
    Confirmed,
    /// Its lease ended, but it hears every node.
    AllNodesHeard,
    /// Its lease ended, and some node was not heard since.
    Unconfirmed,
    /// Its lease ended, and it hears no other node.
    Isolated,
}

/// How the term of a leader began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// There was no leader before.
    First,
    /// The previous leader resigned and revoked its lease.
    Clean,
    /// The previous leader's lease expired.
    Lapse,
}

#[derive(Clone, Copy, Debug)]
struct UnitState {
    unit: Unit,
    holder: Option<NodeId>,
    epoch: Epoch,
    share: u8,
    /// When the last holder's grants have certainly expired.
    free_at: Time,
}

/// A node that sends heartbeats to the leader.
#[derive(Clone, Debug)]
struct Member {
    last_heard: Time,
    got_answer: bool,
    leaving: bool,
    /// Whether the last answer allowed it to use units unconfirmed.
    may_continue: bool,
    /// Digest of the grants in the last answer; none before the first one.
    sent_digest: Option<u64>,
}

/// The fields of a heartbeat that concern grants.
#[derive(Clone, Copy, Debug)]
pub struct MemberReport<'a> {
    /// Sender.
    pub from: NodeId,
    /// True when the sender is shutting down.
    pub leaving: bool,
    /// True when the sender recently received an answer.
    pub got_answer: bool,
    /// Digest of the grants that the sender holds.
    pub digest: u64,
    /// Grants that the sender holds, if the heartbeat includes them.
    pub held: Option<&'a [Grant]>,
}

/// The part of a heartbeat's answer that concerns grants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantAnswer {
    /// All grants of the node; none when those that it holds are unchanged.
    pub grants: Option<Vec<Grant>>,
    /// True when the next heartbeat shall include the grants held.
    pub report_held: bool,
}

/// Ownership of one failure domain's units, as assigned by its leader.
#[derive(Clone, Debug)]
pub struct Grants {
    term: Epoch,
    /// Units without a known holder are granted from this time on.
    open_from: Time,
    units: BTreeMap<TargetId, UnitState>,
    members: BTreeMap<NodeId, Member>,
    /// Units that each node shall hold.
    planned: BTreeMap<NodeId, BTreeSet<TargetId>>,
    /// Units that each node holds.
    held: BTreeMap<NodeId, BTreeSet<TargetId>>,
    /// Units whose owner changed since the last [`Self::owner_changes`].
    changed: BTreeSet<TargetId>,
    /// Nodes that may still use units unconfirmed.
    uncertain_nodes: BTreeSet<NodeId>,
    /// Nodes in the platform's VM list.
    listed_nodes: BTreeSet<NodeId>,
    /// Nodes that may own the units of a service; any node if it has no entry.
    cells: BTreeMap<ServiceId, BTreeSet<NodeId>>,
    /// Last epochs of units that were removed.
    last_epochs: BTreeMap<TargetId, Epoch>,
    /// When units that were removed while held are certainly unused.
    removed_until: BTreeMap<TargetId, Time>,
    /// True after the expiry of a lease, until the VM list was read.
    list_pending: bool,
    /// True once some node was not heard since the lease ended: another
    /// leader may have been elected meanwhile.
    missed_node: bool,
}

impl Grants {
    /// State of a leader elected at `now` for `term`, with nothing granted yet.
    #[must_use]
    pub fn new(term: Epoch, start: Start, now: Time) -> Self {
        let delay = match start {
            Start::First => Duration::ZERO,
            Start::Clean | Start::Lapse => NEW_LEADER_DELAY,
        };
        Self {
            term,
            open_from: now + delay,
            units: BTreeMap::new(),
            members: BTreeMap::new(),
            planned: BTreeMap::new(),
            held: BTreeMap::new(),
            changed: BTreeSet::new(),
            uncertain_nodes: BTreeSet::new(),
            listed_nodes: BTreeSet::new(),
            last_epochs: BTreeMap::new(),
            removed_until: BTreeMap::new(),
            cells: BTreeMap::new(),
            list_pending: start == Start::Lapse,
            missed_node: false,
        }
    }

    /// Continues under a new term after the same leader was elected again.
    pub fn start_term(&mut self, term: Epoch) {
        self.raise_term(term);
        self.list_pending = true;
    }

    /// Sets the units of the failure domain.
    pub fn set_units(&mut self, units: impl IntoIterator<Item = Unit>, now: Time) {
        let units: BTreeMap<_, _> = units.into_iter().map(|u| (u.id, u)).collect();
        self.removed_until.retain(|_, until| *until > now);
        let known: Vec<_> = self.units.keys().copied().collect();
        for id in known {
            if !units.contains_key(&id) {
                self.remove_unit(id);
            }
        }
        for (id, unit) in units {
            let removed_until = self.removed_until.get(&id).copied().unwrap_or_default();
            let new_state = UnitState {
                unit,
                holder: None,
                epoch: self.last_epochs.get(&id).copied().unwrap_or_default(),
                share: 0,
                free_at: self.open_from.max(removed_until).max(unit.not_before),
            };
            self.units.entry(id).or_insert(new_state).unit = unit;
        }
        self.plan_units(now);
    }

    fn remove_unit(&mut self, id: TargetId) {
        let Some(unit_state) = self.units.remove(&id) else {
            return;
        };
        self.last_epochs.insert(id, unit_state.epoch);
        if let Some(node) = unit_state.holder {
            self.held.entry(node).or_default().remove(&id);
            self.removed_until.insert(id, unit_state.free_at);
        }
    }

    /// Raises the term from which the epochs of later grants are counted to at
    /// least `term`.
    pub fn raise_term(&mut self, term: Epoch) {
        if term > self.term {
            self.term = term;
        }
    }

    /// Sets the nodes that the platform lists in the failure domain. A node that
    /// is no longer listed will not come back, and uses no units.
    pub fn set_listed_nodes(&mut self, listed: &BTreeSet<NodeId>, now: Time) {
        if self.list_pending {
            self.list_pending = false;
            let reported =
                |n: &NodeId| self.members.get(n).is_some_and(|m| m.sent_digest.is_some());
            let unheard: Vec<_> = listed.iter().copied().filter(|n| !reported(n)).collect();
            self.uncertain_nodes.extend(unheard);
        }
        self.uncertain_nodes.retain(|node| listed.contains(node));
        self.listed_nodes.clone_from(listed);
        self.plan_units(now);
    }

    /// Returns the state of the leader, which decides what it may grant.
    /// `has_contact` is true when it hears another node or leader, or when there
    /// is no other one.
    #[must_use]
    pub fn leader_state(&mut self, tenure: &Tenure, now: Time, has_contact: bool) -> LeaderState {
        if !tenure.lease_expired {
            self.missed_node = false;
            return LeaderState::Confirmed;
        }
        self.missed_node |= tenure.paused || !has_contact || !self.hears_all_nodes(now);
        match (self.missed_node, has_contact) {
            (false, _) => LeaderState::AllNodesHeard,
            (true, true) => LeaderState::Unconfirmed,
            (true, false) => LeaderState::Isolated,
        }
    }

    /// Whether every listed node is a member, and every member that is not
    /// leaving was heard recently and received an answer.
    fn hears_all_nodes(&self, now: Time) -> bool {
        let is_heard = |m: &Member| {
            m.leaving || (m.got_answer && now.since(m.last_heard) < UNRESPONSIVE_TIMEOUT)
        };
        let all_heard = self.members.values().all(is_heard);
        let all_known = self
            .listed_nodes
            .iter()
            .all(|n| self.members.contains_key(n));
        all_heard && all_known
    }

    /// True while an earlier holder may still use units unconfirmed.
    #[must_use]
    pub fn has_uncertain_nodes(&self) -> bool {
        self.list_pending || !self.uncertain_nodes.is_empty()
    }

    /// Removes members whose grants have expired since their last heartbeat and
    /// frees their units; returns whether there were any.
    pub fn expire_members(&mut self, now: Time) -> bool {
        let is_expired = |m: &Member| now.since(m.last_heard) >= UNIT_RELEASE_DELAY;
        let expired: Vec<_> = self
            .members
            .iter()
            .filter(|(_, m)| is_expired(m))
            .map(|(n, _)| *n)
            .collect();
        for node in &expired {
            if self.members.remove(node).is_some_and(|m| m.may_continue) {
                self.uncertain_nodes.insert(*node);
            }
            for id in self.held.remove(node).unwrap_or_default() {
                self.free_unit(id);
            }
        }
        if !expired.is_empty() {
            self.plan_units(now);
        }
        !expired.is_empty()
    }

    /// Handles a heartbeat; returns the grants of its sender. `may_continue` is
    /// true when the answer allows the sender to use its units unconfirmed.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        report: MemberReport<'_>,
        leader_state: LeaderState,
        may_continue: bool,
    ) -> GrantAnswer {
        let node = report.from;
        let new_member = Member {
            last_heard: now,
            got_answer: report.got_answer,
            leaving: report.leaving,
            may_continue,
            sent_digest: None,
        };
        let known = self.members.contains_key(&node);
        let member = self.members.entry(node).or_insert(new_member);
        let leaving_changed = member.leaving != report.leaving;
        member.last_heard = now;
        member.got_answer = report.got_answer || !known;
        member.leaving = report.leaving;
        member.may_continue = may_continue;
        let applied = member.sent_digest == Some(report.digest);
        if !known || leaving_changed {
            self.plan_units(now);
        }
        if let Some(held) = report.held {
            self.adopt_held(now, node, held);
        }
        if applied {
            self.free_moved(node);
            self.uncertain_nodes.remove(&node);
        }
        self.answer(now, report, leader_state)
    }

    fn answer(
        &mut self,
        now: Time,
        report: MemberReport<'_>,
        leader_state: LeaderState,
    ) -> GrantAnswer {
        let is_synced = self
            .members
            .get(&report.from)
            .is_some_and(|m| m.sent_digest.is_some());
        if !is_synced && report.held.is_none() {
            return GrantAnswer {
                grants: None,
                report_held: true,
            };
        }
        let grants = self.grant_units(now, report.from, leader_state);
        let grants_digest = digest(&grants);
        if let Some(member) = self.members.get_mut(&report.from) {
            member.sent_digest = Some(grants_digest);
        }
        let unchanged = report.digest == grants_digest;
        GrantAnswer {
            grants: (!unchanged).then_some(grants),
            report_held: false,
        }
    }

    /// Frees the units that were moved away from `node`, once its heartbeat
    /// confirms that it no longer uses them.
    fn free_moved(&mut self, node: NodeId) {
        let held = self.held.get(&node).cloned().unwrap_or_default();
        for id in held {
            if self.units.get(&id).is_some_and(|s| s.share == 0) {
                self.free_unit(id);
            }
        }
    }

    /// Records the units that `node` reports as held, unless another holder has a
    /// newer epoch.
    fn adopt_held(&mut self, now: Time, node: NodeId, held: &[Grant]) {
        for grant in held {
            let Some(unit_state) = self.units.get_mut(&grant.unit) else {
                continue;
            };
            if unit_state.holder == Some(node) || grant.share == 0 {
                continue;
            }
            let has_holder = unit_state.holder.is_some();
            if has_holder && unit_state.epoch >= grant.epoch {
                continue;
            }
            let previous = unit_state.holder.replace(node);
            unit_state.epoch = grant.epoch;
            unit_state.share = grant.share;
            unit_state.free_at = now + UNIT_RELEASE_DELAY;
            if let Some(previous) = previous {
                self.held.entry(previous).or_default().remove(&grant.unit);
            }
            self.held.entry(node).or_default().insert(grant.unit);
            self.changed.insert(grant.unit);
        }
    }

    /// Returns the grants of `node`: units that it holds and keeps, and free ones
    /// that are planned for it.
    fn grant_units(&mut self, now: Time, node: NodeId, leader_state: LeaderState) -> Vec<Grant> {
        let mut units = self.held.get(&node).cloned().unwrap_or_default();
        if matches!(
            leader_state,
            LeaderState::Confirmed | LeaderState::AllNodesHeard
        ) {
            units.extend(self.planned.get(&node).into_iter().flatten());
        }
        let has_uncertain = self.has_uncertain_nodes();
        let mut grants = Vec::with_capacity(units.len());
        for id in units {
            let must_move = self.must_move(id, node);
            let Some(unit_state) = self.units.get_mut(&id) else {
                continue;
            };
            let is_new = unit_state.holder.is_none();
            if is_new
                && (now < unit_state.free_at
                    || !self
                        .planned
                        .get(&node)
                        .is_some_and(|planned| planned.contains(&id)))
            {
                continue;
            }
            if !is_new && unit_state.holder != Some(node) {
                continue;
            }
            let share = if must_move || (!is_new && unit_state.share == 0) {
                0
            } else {
                allowed_share(unit_state, leader_state, has_uncertain, is_new)
            };
            if is_new && share == 0 {
                continue;
            }
            if is_new {
                unit_state.epoch =
                    Epoch(unit_state.epoch.0.max(self.term.0 << MOVE_COUNTER_BITS) + 1);
                unit_state.holder = Some(node);
                self.held.entry(node).or_default().insert(id);
                self.changed.insert(id);
            }
            unit_state.share = share;
            if share == 0 {
                continue;
            }
            unit_state.free_at = now + UNIT_RELEASE_DELAY;
            grants.push(Grant {
                unit: id,
                epoch: unit_state.epoch,
                share,
                exclusive: unit_state.unit.exclusive,
            });
        }
        grants
    }

    /// Whether a unit held by `node` is planned for another node.
    fn must_move(&self, id: TargetId, node: NodeId) -> bool {
        let is_holder = self.units.get(&id).is_some_and(|s| s.holder == Some(node));
        let is_planned = self
            .planned
            .get(&node)
            .is_some_and(|planned| planned.contains(&id));
        is_holder && !is_planned
    }

    fn free_unit(&mut self, id: TargetId) {
        let Some(unit_state) = self.units.get_mut(&id) else {
            return;
        };
        unit_state.share = 0;
        if let Some(node) = unit_state.holder.take() {
            self.held.entry(node).or_default().remove(&id);
            unit_state.free_at = Time(0);
            self.changed.insert(id);
        }
    }

    /// Chooses the node of each unit among the members heard recently; those
    /// that are leaving are used only if there is no other.
    fn plan_units(&mut self, now: Time) {
        let is_heard = |m: &&Member| now.since(m.last_heard) < UNRESPONSIVE_TIMEOUT;
        let is_staying = |m: &&Member| !m.leaving;
        let any_staying = self
            .members
            .values()
            .filter(is_heard)
            .any(|m| is_staying(&m));
        let mut candidates = Vec::new();
        for (node, member) in &self.members {
            if is_heard(&member) && (is_staying(&member) || !any_staying) {
                candidates.push(*node);
            }
        }
        self.planned.clear();
        for (id, unit_state) in &self.units {
            let node = rendezvous::choose(
                *id,
                self.serving_nodes(unit_state.unit.service, &candidates),
            )
            .or_else(|| rendezvous::choose(*id, candidates.iter().copied()));
            if let Some(node) = node {
                self.planned.entry(node).or_default().insert(*id);
            }
        }
    }

    /// The nodes of `candidates` that serve a service.
    fn serving_nodes(&self, service: ServiceId, candidates: &[NodeId]) -> Vec<NodeId> {
        let cell = self.cells.get(&service);
        let serves = |node: &NodeId| cell.is_none_or(|cell| cell.contains(node));
        candidates.iter().copied().filter(serves).collect()
    }

    /// Sets the nodes that may own the units of each service; a service without
    /// an entry is served by all nodes.
    pub fn set_cells(&mut self, cells: BTreeMap<ServiceId, BTreeSet<NodeId>>) {
        self.cells = cells;
    }

    /// Returns the services of the units that `node` holds.
    pub(crate) fn services_of(&self, node: NodeId) -> BTreeSet<ServiceId> {
        let held = self.held.get(&node).into_iter().flatten();
        let states = held.filter_map(|id| self.units.get(id));
        states.map(|unit_state| unit_state.unit.service).collect()
    }

    /// Returns the units whose owner changed since the last call.
    pub fn owner_changes(&mut self) -> Vec<(Unit, Option<Owner>)> {
        let mut changes = Vec::with_capacity(self.changed.len());
        for id in std::mem::take(&mut self.changed) {
            if let Some(unit_state) = self.units.get(&id) {
                changes.push((unit_state.unit, owner(unit_state)));
            }
        }
        changes
    }

    /// Returns the nodes for which a free unit is planned, so that they can be
    /// notified.
    #[must_use]
    pub fn nodes_to_notify(&self) -> Vec<NodeId> {
        let is_free = |id: &TargetId| self.units.get(id).is_some_and(|s| s.holder.is_none());
        let has_free = |units: &BTreeSet<TargetId>| units.iter().any(is_free);
        let waiting = self.planned.iter().filter(|(_, units)| has_free(units));
        waiting.map(|(node, _)| *node).collect()
    }

    /// Returns the number of units held by `node`.
    #[must_use]
    pub fn held_by(&self, node: NodeId) -> usize {
        self.held.get(&node).map_or(0, BTreeSet::len)
    }

    /// Returns the owner of each unit.
    pub fn owners(&self) -> impl Iterator<Item = (Unit, Option<Owner>)> {
        self.units.values().map(|s| (s.unit, owner(s)))
    }
}

fn owner(unit_state: &UnitState) -> Option<Owner> {
    unit_state.holder.map(|node| Owner {
        node,
        epoch: unit_state.epoch,
    })
}

/// Returns the share with which a unit may be granted. `is_new` is true when the
/// unit had no holder.
fn allowed_share(
    unit_state: &UnitState,
    leader_state: LeaderState,
    has_uncertain: bool,
    is_new: bool,
) -> u8 {
    match (leader_state, unit_state.unit.exclusive) {
        (LeaderState::Isolated, _) | (LeaderState::Unconfirmed, true) => 0,
        (LeaderState::Unconfirmed, false) if is_new || unit_state.share == SHARE_REMAINDER => 0,
        (LeaderState::Unconfirmed, false) => SHARE_UNCERTAIN,
        (_, true) => SHARE_FULL,
        (LeaderState::Confirmed, false) if !has_uncertain => SHARE_FULL,
        (_, false) if is_new && has_uncertain => SHARE_REMAINDER,
        (_, false) if is_new => SHARE_FULL,
        (_, false) => unit_state.share,
    }
}

/// Digest of `grants`, which must be in the order of their units.
#[must_use]
pub fn digest(grants: &[Grant]) -> u64 {
    let mut bytes = Vec::with_capacity(grants.len() * 17);
    for grant in grants {
        bytes.extend(grant.unit.0.to_le_bytes());
        bytes.extend(grant.epoch.0.to_le_bytes());
        bytes.push(grant.share);
    }
    xxh3_64(&bytes)
}
