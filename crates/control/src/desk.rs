//! What a leader does with the messages of its members and of other leaders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use heatherrun_kernel::control::{Beat, BeatAnswer, ForceNote, Item, MemberNote, News, OwnerNote};
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::port::{Vm, VmState};
use heatherrun_kernel::view::Standing;
use heatherrun_kernel::{DomainId, Epoch, NodeId, ONCE_PARTITIONS, Revision};
use heatherrun_kernel::{TargetId, Time};

use crate::cell::Nodes;
use crate::changelog::Log;
use crate::grants::{self, Grants, Stance, Start, Unit, VALID};
use crate::lead::Tenure;
use crate::rendezvous;
use crate::replica::Replica;
use crate::scope::Scopes;

/// Shortest time between two beats of a node.
const PERIOD: Duration = Duration::from_millis(500);

/// Time that a leader takes for each member of its failure domain.
const PER_MEMBER: Duration = Duration::from_millis(30);

/// Bytes of news in one answer, unless a single item is larger.
pub(crate) const NEWS_BYTES: usize = 16 << 10;

/// Time after which another leader's grants of a unit that moved between
/// failure domains have surely run out: its lease and its last grants.
const MOVE: Duration = Duration::from_secs(12);

/// Names of nodes that are behind which are told.
const BEHIND: usize = 5;

/// Steps in which load is told, in per cent.
const LOAD_STEP: u8 = 25;

/// A member as its leader heard of it.
#[derive(Clone, Debug)]
struct Seen {
    info: NodeInfo,
    heard: Option<Time>,
    revision: Revision,
    load: u8,
    leaving: bool,
    listed: Option<VmState>,
}

/// The leader's work for one failure domain.
#[derive(Clone, Debug)]
pub struct Desk {
    domain: DomainId,
    term: Epoch,
    /// Ownership of the domain's units.
    pub grants: Grants,
    /// What the leader knows, in the order of change.
    pub log: Log,
    members: BTreeMap<NodeId, Seen>,
    /// What each member is told.
    scopes: Scopes,
    /// Failure domains without nodes that are led from here, each with
    /// whether nobody led it before.
    guests: BTreeMap<DomainId, bool>,
    /// Failure domain of each unit at the last look, and whether it was led
    /// from here.
    homes: BTreeMap<TargetId, (DomainId, bool)>,
}

/// Time between two beats in a failure domain of `members` nodes.
#[must_use]
pub fn period(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    PERIOD.max(PER_MEMBER.saturating_mul(members))
}

/// What the answer to a beat depends on besides the beat.
#[derive(Clone, Copy, Debug)]
pub struct Scene<'a> {
    /// Time.
    pub now: Time,
    /// Leader.
    pub me: NodeId,
    /// Its lease.
    pub tenure: &'a Tenure,
    /// Time since the leader last heard from the store.
    pub age: Duration,
    /// True when another leader is heard, or there is no other node.
    pub touch: bool,
}

impl Desk {
    /// Desk of the leader of `domain`, elected at `now`, who knows `items`.
    #[must_use]
    pub fn new(
        domain: DomainId,
        term: Epoch,
        start: Start,
        now: Time,
        items: impl IntoIterator<Item = Item>,
    ) -> Self {
        let mut desk = Self {
            domain,
            term,
            grants: Grants::new(term, start, now),
            log: Log::default(),
            members: BTreeMap::new(),
            scopes: Scopes::default(),
            guests: BTreeMap::new(),
            homes: BTreeMap::new(),
        };
        desk.publish(items);
        desk
    }

    /// Term of the leader.
    #[must_use]
    pub const fn term(&self) -> Epoch {
        self.term
    }

    /// Goes on under a new term after the same leader was elected again.
    pub fn renew(&mut self, term: Epoch) {
        self.term = term;
        self.grants.renew(term);
    }

    /// Puts what became known into the log.
    pub fn publish(&mut self, items: impl IntoIterator<Item = Item>) {
        for item in items {
            self.log.put(item);
        }
    }

    /// Takes the configuration's units and cells after a change of the
    /// configuration or of the nodes.
    pub fn plan(&mut self, now: Time, replica: &Replica) {
        let units = self.units(now, replica);
        let mut nodes = Nodes::new();
        for (id, member) in &replica.view.nodes {
            if member.standing != Standing::Silent {
                nodes.entry(member.info.domain).or_default().push(*id);
            }
        }
        let services = replica.view.services.values();
        let sizes = services.map(|s| (s.id, s.shards.iter().map(Vec::len).sum()));
        let cells = self.scopes.plan(&nodes, sizes);
        self.grants.set_cells(cells);
        self.grants.set_units(units, now);
    }

    /// Units that are granted here. One that comes from another leader is not
    /// granted before that one's grants have surely run out.
    fn units(&mut self, now: Time, replica: &Replica) -> Vec<Unit> {
        let mut units = Vec::new();
        let mut next = BTreeMap::new();
        for (mut unit, home) in homes(replica) {
            let own = home == self.domain;
            let here = own || self.guests.contains_key(&home);
            let before = self.homes.get(&unit.id);
            let came = before.is_some_and(|(old, led)| *old != home && !led);
            let first = self.guests.get(&home).copied().unwrap_or(false);
            let taken = !own && !first && before.is_none_or(|(_, led)| !led);
            if here && (came || taken) {
                unit.free = now + MOVE;
            }
            next.insert(unit.id, (home, here));
            unit.exclusive |= !own;
            if here {
                units.push(unit);
            }
        }
        self.homes = next;
        units
    }

    /// Sets which failure domains without nodes are led from here, each with
    /// whether nobody led it before; returns whether that changed.
    pub fn set_guests(&mut self, guests: BTreeMap<DomainId, bool>) -> bool {
        let changed = self.guests != guests;
        self.guests = guests;
        changed
    }

    /// Whether every node of the failure domain was heard lately.
    #[must_use]
    pub fn is_sure(&mut self, tenure: &Tenure, now: Time) -> bool {
        let stance = self.grants.stance(tenure, now, true);
        matches!(stance, Stance::Sure | Stance::Alone)
    }

    /// Takes the platform's list of VMs, of which those of this domain count.
    pub fn set_listed(&mut self, now: Time, vms: &[Vm]) {
        for seen in self.members.values_mut() {
            seen.listed = None;
        }
        let mut listed = BTreeSet::new();
        for vm in vms {
            let info = info(vm);
            if info.domain != self.domain {
                continue;
            }
            listed.insert(info.id);
            let made = Seen {
                info: info.clone(),
                heard: None,
                revision: Revision(0),
                load: 0,
                leaving: false,
                listed: None,
            };
            let seen = self.members.entry(info.id).or_insert(made);
            seen.listed = Some(vm.state);
        }
        self.grants.set_listed(&listed, now);
    }

    /// Answers a member's beat.
    pub fn on_beat(&mut self, scene: &Scene<'_>, beat: &Beat) -> BeatAnswer {
        let now = scene.now;
        let known = self.note(now, beat);
        let stance = self.grants.stance(
            scene.tenure,
            now,
            scene.touch || self.touches(now, scene.me),
        );
        let hold = scene.tenure.cut || scene.tenure.unsure;
        let leaving = beat.leaving || self.is_leaving(beat.from);
        let period = period(self.members.len());
        let claim = grants::Claim {
            from: beat.from,
            leaving,
            acked: beat.sent.since(beat.ack) < period * 2 + PERIOD * 2,
            digest: beat.digest,
            held: beat.held.as_deref().filter(|_| known),
        };
        let answer = self.grants.on_beat(now, claim, stance, hold);
        BeatAnswer {
            leader: scene.me,
            term: self.term,
            echo: beat.sent,
            valid: VALID,
            period,
            hold,
            age: scene.age,
            tell: answer.tell || !known,
            grants: answer.grants.filter(|_| known),
            news: self.news_for(beat),
        }
    }

    /// Notes what a beat says of its sender; false when its names are missing.
    fn note(&mut self, now: Time, beat: &Beat) -> bool {
        if let Some(info) = &beat.info {
            let made = Seen {
                info: info.clone(),
                heard: None,
                revision: Revision(0),
                load: 0,
                leaving: false,
                listed: None,
            };
            self.members.entry(info.id).or_insert(made).info = info.clone();
        }
        let Some(seen) = self.members.get_mut(&beat.from) else {
            return false;
        };
        let named = seen.info.started != 0;
        seen.heard = Some(now);
        seen.revision = beat.revision;
        seen.load = beat.load;
        seen.leaving = beat.leaving;
        named
    }

    /// Whether another node of the domain is heard.
    fn touches(&self, now: Time, me: NodeId) -> bool {
        let mut others = self.members.values().filter(|s| s.info.id != me);
        others.any(|s| s.standing(now) != Standing::Silent)
    }

    fn is_leaving(&self, node: NodeId) -> bool {
        let listed = self.members.get(&node).and_then(|seen| seen.listed);
        listed == Some(VmState::Leaving)
    }

    fn news_for(&mut self, beat: &Beat) -> News {
        let seen = if beat.term == self.term { beat.seen } else { 0 };
        let held = self.grants.services_of(beat.from);
        self.scopes.news(beat, held, &self.log, seen)
    }

    /// Answers another leader, who needs the configuration and what this
    /// domain alone knows, or a member, who needs everything.
    #[must_use]
    pub fn on_pull(&self, from: DomainId, term: Epoch, seen: u64) -> News {
        let seen = if term == self.term { seen } else { 0 };
        if from == self.domain {
            return self.log.since(seen, NEWS_BYTES, |_| true);
        }
        let own = self.domain;
        self.log.since(seen, NEWS_BYTES, |item| is_of(own, item))
    }

    /// What changed in this domain, as items for everyone.
    pub fn news(&mut self, now: Time, head: Revision) -> Vec<Item> {
        self.grants.tick(now);
        let mut items = Vec::new();
        let mut gone = Vec::new();
        for (id, seen) in &self.members {
            if !seen.lost(now) {
                items.push(Item::Member(seen.note(now)));
                continue;
            }
            gone.push(*id);
            items.push(Item::Left(*id));
        }
        for id in gone {
            self.members.remove(&id);
        }
        for (unit, owner) in self.grants.changes() {
            items.push(Item::Owner(OwnerNote {
                unit: unit.id,
                service: unit.service,
                domain: self.domain,
                owner,
            }));
        }
        items.push(Item::Force(self.force(head)));
        items
    }

    fn force(&self, head: Revision) -> ForceNote {
        let mut note = ForceNote {
            domain: self.domain,
            revision: head,
            ..ForceNote::default()
        };
        for seen in self.members.values() {
            note.total += 1;
            if seen.revision >= head {
                note.nodes += 1;
            } else if note.behind.len() < BEHIND {
                note.behind.push(seen.info.name.clone());
            }
        }
        note
    }

    /// Addresses of all members but `me`.
    #[must_use]
    pub fn peers(&self, me: NodeId) -> Vec<NodeInfo> {
        let others = self.members.values().filter(|seen| seen.info.id != me);
        others.map(|seen| seen.info.clone()).collect()
    }

    /// Whether another node of the domain can take units over.
    #[must_use]
    pub fn has_successor(&self, now: Time, me: NodeId) -> bool {
        let mut others = self.members.values().filter(|s| s.info.id != me);
        others.any(|s| s.standing(now) == Standing::Live)
    }
}

impl Seen {
    fn standing(&self, now: Time) -> Standing {
        let heard = self.heard.is_some_and(|at| now.since(at) < grants::SILENT);
        if !heard {
            return Standing::Silent;
        }
        if self.leaving || self.listed == Some(VmState::Leaving) {
            return Standing::Leaving;
        }
        Standing::Live
    }

    fn lost(&self, now: Time) -> bool {
        let silent = self.heard.is_none_or(|at| now.since(at) >= grants::LAPSE);
        silent && self.listed.is_none()
    }

    fn note(&self, now: Time) -> MemberNote {
        MemberNote {
            info: self.info.clone(),
            standing: self.standing(now),
            load: self.load / LOAD_STEP * LOAD_STEP,
        }
    }
}

/// Names and addresses of a VM; its start is not known.
#[must_use]
pub fn info(vm: &Vm) -> NodeInfo {
    NodeInfo {
        id: NodeId::of(&vm.name),
        name: vm.name.clone(),
        domain: DomainId::of(&vm.domain),
        peers: vm.peers,
        callers: vm.callers,
        started: 0,
    }
}

/// All units with their failure domains: targets stand in their own, and the
/// once-only partitions of pooled services are spread over those declared.
#[must_use]
pub fn homes(replica: &Replica) -> Vec<(Unit, DomainId)> {
    let mut units = Vec::with_capacity(replica.view.targets.len());
    let unit = |id, service, exclusive| Unit {
        id,
        service,
        exclusive,
        free: Time(0),
    };
    for target in replica.view.targets.values() {
        units.push((unit(target.id, target.service, false), target.domain));
    }
    let domains = replica.view.domains.iter().map(|d| DomainId::of(&d.name));
    let domains: Vec<_> = domains.map(|d| NodeId(d.0)).collect();
    for service in replica.view.services.values().filter(|s| !s.sharded) {
        for partition in 0..ONCE_PARTITIONS {
            let id = TargetId::of_partition(&service.name, partition);
            if let Some(home) = rendezvous::choose(id, domains.iter().copied()) {
                units.push((unit(id, service.id, true), DomainId(home.0)));
            }
        }
    }
    units
}

fn is_of(domain: DomainId, item: &Item) -> bool {
    match item {
        Item::Config(_) | Item::Patch(_) | Item::Head(_) | Item::Left(_) => true,
        Item::Member(note) => note.info.domain == domain,
        Item::Owner(note) => note.domain == domain,
        Item::Force(note) => note.domain == domain,
    }
}
