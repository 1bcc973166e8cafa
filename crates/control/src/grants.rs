//! The leader's side of ownership: which node of a failure domain may use
//! which unit, since when, and with which share of its limit.
//!
//! A unit goes to the node of the highest rendezvous weight. It moves only
//! after its holder has released it, or after the holder's last grant has
//! surely run out. What a leader may grant depends on its [`Stance`]:
//!
//! - *sure*: it holds the store's lease. Everything may be granted; units are
//!   used in full unless an earlier holder may still use them in doubt.
//! - *alone*: the lease ended, but every node has been heard ever since, so no
//!   node stands for election. Grants go on as they are.
//! - *unsure*: the lease ended and some node was silent since. Targets are used at
//!   the share of doubt; exclusive units are not granted at all.
//! - *cut*: the lease ended and nobody at all is heard. Nothing is granted,
//!   since nobody could tell of a change.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use heatherrun_kernel::control::{Grant, SHARE_DOUBT, SHARE_FULL, SHARE_REST};
use heatherrun_kernel::view::Owner;
use heatherrun_kernel::{Epoch, NodeId, ServiceId, TargetId, Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::lead::Tenure;
use crate::rendezvous;

/// A grant ends this long after the send of the heartbeat that it answers.
pub const VALID: Duration = Duration::from_secs(6);

/// A unit is free this long after its holder was last heard: its grant ran
/// out, and the calls that were sent under it have ended.
pub const LAPSE: Duration = Duration::from_secs(7);

/// A new leader grants what nobody claims this long after its election: a
/// leader before may have gone on for a while; see `docs/design/ownership.md`.
pub const OPEN: Duration = Duration::from_secs(10);

/// A node that was not heard for this long gets no units.
pub const SILENT: Duration = Duration::from_secs(5);

/// Bits of an epoch that count a unit's moves within one term.
const EPOCH_BITS: u32 = 20;

/// One unit as the configuration names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unit {
    /// Unit.
    pub id: TargetId,
    /// Its service.
    pub service: ServiceId,
    /// True when it is never used in doubt: a partition of once-only records,
    /// or a unit of a failure domain that is led from another one.
    pub exclusive: bool,
    /// It is not granted before this time.
    pub free: Time,
}

/// What a leader may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stance {
    /// It holds the lease.
    Sure,
    /// It lost touch with the store alone.
    Alone,
    /// It lost touch with the store and with some node.
    Unsure,
    /// It lost touch with everyone.
    Cut,
}

/// How the term of a leader began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// No leader was ever elected before.
    First,
    /// The leader before gave its lease back.
    Clean,
    /// The lease of the leader before lapsed.
    Lapse,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    unit: Unit,
    holder: Option<NodeId>,
    epoch: Epoch,
    share: u8,
    /// When the last holder's grants have surely run out.
    until: Time,
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Time,
    acked: bool,
    leaving: bool,
    hold: bool,
    /// Digest of the grants in the last answer; none before the first one.
    sent: Option<u64>,
}

/// A beat as far as grants go.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Sender.
    pub from: NodeId,
    /// True when the sender shuts down.
    pub leaving: bool,
    /// True when the sender got an answer lately.
    pub acked: bool,
    /// Digest of what the sender holds.
    pub digest: u64,
    /// What the sender holds, when it tells.
    pub held: Option<&'a [Grant]>,
}

/// Grants for one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// All grants; none when what the node holds stands.
    pub grants: Option<Vec<Grant>>,
    /// True when the node shall tell what it holds.
    pub tell: bool,
}

/// Rights of one failure domain's units as its leader grants them.
#[derive(Clone, Debug)]
pub struct Grants {
    term: Epoch,
    opened: Time,
    slots: BTreeMap<TargetId, Slot>,
    peers: BTreeMap<NodeId, Peer>,
    wanted: BTreeMap<NodeId, BTreeSet<TargetId>>,
    held: BTreeMap<NodeId, BTreeSet<TargetId>>,
    changed: BTreeSet<TargetId>,
    doubted: BTreeSet<NodeId>,
    listed: BTreeSet<NodeId>,
    /// Nodes that may own the units of a service; any when it is not listed.
    cells: BTreeMap<ServiceId, BTreeSet<NodeId>>,
    /// Last epochs of units that were taken away.
    last: BTreeMap<TargetId, Epoch>,
    /// When units that were taken away while held are surely unused.
    ending: BTreeMap<TargetId, Time>,
    /// True until the VM list was read after a lapse.
    unlisted: bool,
    /// True once some node was not heard since the lease ended: another
    /// leader may have been elected meanwhile.
    gap: bool,
}

impl Grants {
    /// Nothing granted yet, by a leader elected at `now` for `term`.
    #[must_use]
    pub fn new(term: Epoch, start: Start, now: Time) -> Self {
        let wait = match start {
            Start::First => Duration::ZERO,
            Start::Clean | Start::Lapse => OPEN,
        };
        Self {
            term,
            opened: now + wait,
            slots: BTreeMap::new(),
            peers: BTreeMap::new(),
            wanted: BTreeMap::new(),
            held: BTreeMap::new(),
            changed: BTreeSet::new(),
            doubted: BTreeSet::new(),
            listed: BTreeSet::new(),
            last: BTreeMap::new(),
            ending: BTreeMap::new(),
            cells: BTreeMap::new(),
            unlisted: start == Start::Lapse,
            gap: false,
        }
    }

    /// Goes on under a new term after the same leader was elected again.
    pub fn renew(&mut self, term: Epoch) {
        self.raise(term);
        self.unlisted = true;
    }

    /// Sets the units of the failure domain.
    pub fn set_units(&mut self, units: impl IntoIterator<Item = Unit>, now: Time) {
        let units: BTreeMap<_, _> = units.into_iter().map(|u| (u.id, u)).collect();
        self.ending.retain(|_, until| *until > now);
        let known: Vec<_> = self.slots.keys().copied().collect();
        for id in known {
            if !units.contains_key(&id) {
                self.remove(id);
            }
        }
        for (id, unit) in units {
            let ending = self.ending.get(&id).copied().unwrap_or_default();
            let made = Slot {
                unit,
                holder: None,
                epoch: self.last.get(&id).copied().unwrap_or_default(),
                share: 0,
                until: self.opened.max(ending).max(unit.free),
            };
            self.slots.entry(id).or_insert(made).unit = unit;
        }
        self.plan(now);
    }

    fn remove(&mut self, id: TargetId) {
        let Some(slot) = self.slots.remove(&id) else {
            return;
        };
        self.last.insert(id, slot.epoch);
        if let Some(node) = slot.holder {
            self.held.entry(node).or_default().remove(&id);
            self.ending.insert(id, slot.until);
        }
    }

    /// Raises the epochs of grants from now on above those of another term.
    pub fn raise(&mut self, term: Epoch) {
        if term > self.term {
            self.term = term;
        }
    }

    /// Sets which nodes the platform lists in the failure domain. A node that
    /// it lists no more is gone for good.
    pub fn set_listed(&mut self, listed: &BTreeSet<NodeId>, now: Time) {
        if self.unlisted {
            self.unlisted = false;
            let settled = |n: &NodeId| self.peers.get(n).is_some_and(|p| p.sent.is_some());
            let silent: Vec<_> = listed.iter().copied().filter(|n| !settled(n)).collect();
            self.doubted.extend(silent);
        }
        self.doubted.retain(|node| listed.contains(node));
        self.listed.clone_from(listed);
        self.plan(now);
    }

    /// What the leader `me` may grant now; `touch` tells whether it hears
    /// another node or leader, or knows of none.
    #[must_use]
    pub fn stance(&mut self, tenure: &Tenure, now: Time, touch: bool) -> Stance {
        if !tenure.unsure {
            self.gap = false;
            return Stance::Sure;
        }
        self.gap |= tenure.paused || !touch || !self.hears_all(now);
        match (self.gap, touch) {
            (false, _) => Stance::Alone,
            (true, true) => Stance::Unsure,
            (true, false) => Stance::Cut,
        }
    }

    /// Whether each node that is known was heard lately and heard an answer.
    fn hears_all(&self, now: Time) -> bool {
        let heard = |p: &Peer| p.leaving || (p.acked && now.since(p.heard) < SILENT);
        let all = self.peers.values().all(heard);
        let listed = self.listed.iter().all(|n| self.peers.contains_key(n));
        all && listed
    }

    /// True while an earlier holder may still use units in doubt.
    #[must_use]
    pub fn doubt(&self) -> bool {
        self.unlisted || !self.doubted.is_empty()
    }

    /// Takes back what silent nodes hold once it has run out; returns whether
    /// something changed.
    pub fn tick(&mut self, now: Time) -> bool {
        let silent = |p: &Peer| now.since(p.heard) >= LAPSE;
        let lost: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, p)| silent(p))
            .map(|(n, _)| *n)
            .collect();
        for node in &lost {
            if self.peers.remove(node).is_some_and(|p| p.hold) {
                self.doubted.insert(*node);
            }
            for id in self.held.remove(node).unwrap_or_default() {
                self.free(id);
            }
        }
        if !lost.is_empty() {
            self.plan(now);
        }
        !lost.is_empty()
    }

    /// Takes a beat; returns what its sender may use. `hold` tells whether
    /// the answer lets the sender hold on in doubt.
    pub fn on_beat(&mut self, now: Time, claim: Claim<'_>, stance: Stance, hold: bool) -> Answer {
        let node = claim.from;
        let fresh = Peer {
            heard: now,
            acked: claim.acked,
            leaving: claim.leaving,
            hold,
            sent: None,
        };
        let known = self.peers.contains_key(&node);
        let peer = self.peers.entry(node).or_insert(fresh);
        let turned = peer.leaving != claim.leaving;
        peer.heard = now;
        peer.acked = claim.acked || !known;
        peer.leaving = claim.leaving;
        peer.hold = hold;
        let applied = peer.sent == Some(claim.digest);
        if !known || turned {
            self.plan(now);
        }
        if let Some(held) = claim.held {
            self.adopt(now, node, held);
        }
        if applied {
            self.release(node);
            self.doubted.remove(&node);
        }
        self.answer(now, claim, stance)
    }

    fn answer(&mut self, now: Time, claim: Claim<'_>, stance: Stance) -> Answer {
        let told = self
            .peers
            .get(&claim.from)
            .is_some_and(|p| p.sent.is_some());
        if !told && claim.held.is_none() {
            return Answer {
                grants: None,
                tell: true,
            };
        }
        let grants = self.grant(now, claim.from, stance);
        let sum = digest(&grants);
        if let Some(peer) = self.peers.get_mut(&claim.from) {
            peer.sent = Some(sum);
        }
        let stands = claim.digest == sum;
        Answer {
            grants: (!stands).then_some(grants),
            tell: false,
        }
    }

    /// Units that were moved away from `node` and that it uses no more.
    fn release(&mut self, node: NodeId) {
        let held = self.held.get(&node).cloned().unwrap_or_default();
        for id in held {
            if self.slots.get(&id).is_some_and(|s| s.share == 0) {
                self.free(id);
            }
        }
    }

    fn adopt(&mut self, now: Time, node: NodeId, held: &[Grant]) {
        for grant in held {
            let Some(slot) = self.slots.get_mut(&grant.unit) else {
                continue;
            };
            if slot.holder == Some(node) || grant.share == 0 {
                continue;
            }
            let taken = slot.holder.is_some();
            if taken && slot.epoch >= grant.epoch {
                continue;
            }
            let before = slot.holder.replace(node);
            slot.epoch = grant.epoch;
            slot.share = grant.share;
            slot.until = now + LAPSE;
            if let Some(before) = before {
                self.held.entry(before).or_default().remove(&grant.unit);
            }
            self.held.entry(node).or_default().insert(grant.unit);
            self.changed.insert(grant.unit);
        }
    }

    fn grant(&mut self, now: Time, node: NodeId, stance: Stance) -> Vec<Grant> {
        let mut units = self.held.get(&node).cloned().unwrap_or_default();
        if matches!(stance, Stance::Sure | Stance::Alone) {
            units.extend(self.wanted.get(&node).into_iter().flatten());
        }
        let doubt = self.doubt();
        let mut grants = Vec::with_capacity(units.len());
        for id in units {
            let moves = self.moves(id, node);
            let Some(slot) = self.slots.get_mut(&id) else {
                continue;
            };
            let taken = slot.holder.is_none();
            if taken
                && (now < slot.until || !self.wanted.get(&node).is_some_and(|w| w.contains(&id)))
            {
                continue;
            }
            if !taken && slot.holder != Some(node) {
                continue;
            }
            let share = if moves || (!taken && slot.share == 0) {
                0
            } else {
                share(slot, stance, doubt, taken)
            };
            if taken && share == 0 {
                continue;
            }
            if taken {
                slot.epoch = Epoch(slot.epoch.0.max(self.term.0 << EPOCH_BITS) + 1);
                slot.holder = Some(node);
                self.held.entry(node).or_default().insert(id);
                self.changed.insert(id);
            }
            slot.share = share;
            if share == 0 {
                continue;
            }
            slot.until = now + LAPSE;
            grants.push(Grant {
                unit: id,
                epoch: slot.epoch,
                share,
                exclusive: slot.unit.exclusive,
            });
        }
        grants
    }

    /// Whether a unit held by `node` shall go to another node.
    fn moves(&self, id: TargetId, node: NodeId) -> bool {
        let held = self.slots.get(&id).is_some_and(|s| s.holder == Some(node));
        let stays = self.wanted.get(&node).is_some_and(|w| w.contains(&id));
        held && !stays
    }

    fn free(&mut self, id: TargetId) {
        let Some(slot) = self.slots.get_mut(&id) else {
            return;
        };
        slot.share = 0;
        if let Some(node) = slot.holder.take() {
            self.held.entry(node).or_default().remove(&id);
            slot.until = Time(0);
            self.changed.insert(id);
        }
    }

    /// Chooses the node of each unit among those that are heard and stay;
    /// leaving ones only when there is no other.
    fn plan(&mut self, now: Time) {
        let heard = |p: &&Peer| now.since(p.heard) < SILENT;
        let stays = |p: &&Peer| !p.leaving;
        let any_stays = self.peers.values().filter(heard).any(|p| stays(&p));
        let mut live = Vec::new();
        for (node, peer) in &self.peers {
            if heard(&peer) && (stays(&peer) || !any_stays) {
                live.push(*node);
            }
        }
        self.wanted.clear();
        for (id, slot) in &self.slots {
            let node = rendezvous::choose(*id, self.within(slot.unit.service, &live))
                .or_else(|| rendezvous::choose(*id, live.iter().copied()));
            if let Some(node) = node {
                self.wanted.entry(node).or_default().insert(*id);
            }
        }
    }

    /// The nodes of `live` that serve a service.
    fn within(&self, service: ServiceId, live: &[NodeId]) -> Vec<NodeId> {
        let cell = self.cells.get(&service);
        let serves = |node: &NodeId| cell.is_none_or(|cell| cell.contains(node));
        live.iter().copied().filter(serves).collect()
    }

    /// Sets the nodes that may own the units of each service; a service that
    /// is not listed is served by all.
    pub fn set_cells(&mut self, cells: BTreeMap<ServiceId, BTreeSet<NodeId>>) {
        self.cells = cells;
    }

    /// Services of the units that `node` holds.
    pub(crate) fn services_of(&self, node: NodeId) -> BTreeSet<ServiceId> {
        let held = self.held.get(&node).into_iter().flatten();
        let slots = held.filter_map(|id| self.slots.get(id));
        slots.map(|slot| slot.unit.service).collect()
    }

    /// Units whose owner changed since the last call.
    pub fn changes(&mut self) -> Vec<(Unit, Option<Owner>)> {
        let mut all = Vec::with_capacity(self.changed.len());
        for id in std::mem::take(&mut self.changed) {
            if let Some(slot) = self.slots.get(&id) {
                all.push((slot.unit, owner(slot)));
            }
        }
        all
    }

    /// Nodes that wait for a unit that is free, so that they can be told.
    #[must_use]
    pub fn waiting(&self) -> Vec<NodeId> {
        let free = |id: &TargetId| self.slots.get(id).is_some_and(|s| s.holder.is_none());
        let waits = |units: &BTreeSet<TargetId>| units.iter().any(free);
        let waiting = self.wanted.iter().filter(|(_, units)| waits(units));
        waiting.map(|(node, _)| *node).collect()
    }

    /// Units held by `node`.
    #[must_use]
    pub fn held_by(&self, node: NodeId) -> usize {
        self.held.get(&node).map_or(0, BTreeSet::len)
    }

    /// Owner of each unit.
    pub fn owners(&self) -> impl Iterator<Item = (Unit, Option<Owner>)> {
        self.slots.values().map(|s| (s.unit, owner(s)))
    }
}

fn owner(slot: &Slot) -> Option<Owner> {
    slot.holder.map(|node| Owner {
        node,
        epoch: slot.epoch,
    })
}

/// Share that a slot may be used with.
fn share(slot: &Slot, stance: Stance, doubt: bool, taken: bool) -> u8 {
    match (stance, slot.unit.exclusive) {
        (Stance::Cut, _) | (Stance::Unsure, true) => 0,
        (Stance::Unsure, false) if taken || slot.share == SHARE_REST => 0,
        (Stance::Unsure, false) => SHARE_DOUBT,
        (_, true) => SHARE_FULL,
        (Stance::Sure, false) if !doubt => SHARE_FULL,
        (_, false) if taken && doubt => SHARE_REST,
        (_, false) if taken => SHARE_FULL,
        (_, false) => slot.share,
    }
}

/// Digest of grants, in the order of their units.
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
