//! What one node knows of the tier: the configuration in force, the nodes
//! and the owners. It takes what leaders tell, in any order and more than
//! once, and never goes back to an older configuration.

use std::collections::{BTreeMap, BTreeSet};

use heatherrun_kernel::control::{ForceNote, Item, MemberNote, News, OwnerNote};
use heatherrun_kernel::port::KeyValue;
use heatherrun_kernel::view::Member;
use heatherrun_kernel::{DomainId, Revision, ServiceId, TargetId, View};
use heatherrun_schema::v1;

use crate::changelog::{self, Key};
use crate::manifest::{DOMAINS, SERVICE};

/// What a node knows.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Configuration, nodes and owners, ready for use.
    pub view: View,
    /// Parts of the configuration in force, by name.
    pub config: BTreeMap<String, KeyValue>,
    /// Owners as told.
    pub owners: BTreeMap<TargetId, OwnerNote>,
    /// How far the configuration is in force in each failure domain.
    pub force: BTreeMap<DomainId, ForceNote>,
    staged: BTreeMap<String, KeyValue>,
    /// Things known but not told again since the leader began anew.
    stale: BTreeMap<Scope, BTreeSet<Key>>,
    /// Last revision that a leader told.
    told: Revision,
}

/// What the sender of news alone tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Everything: the leader of this node's failure domain.
    All,
    /// Nodes and owners of one failure domain: its leader, to other leaders.
    Domain(DomainId),
    /// Nothing: any other peer.
    Nothing,
}

/// What an addition changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Parts of the configuration that are in force now.
    pub parts: Vec<KeyValue>,
    /// Revision that is in force now, when it changed.
    pub head: Option<Revision>,
    /// Other items that are new.
    pub items: Vec<Item>,
    /// True when an item could not be used; the sender must send everything.
    pub lost: bool,
}

impl Change {
    /// True when nothing changed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.head.is_none() && self.items.is_empty() && self.parts.is_empty()
    }

    /// All that changed, as items in the order in which to send them on.
    #[must_use]
    pub fn into_items(self) -> Vec<Item> {
        let mut items: Vec<_> = self.parts.into_iter().map(Item::Config).collect();
        items.extend(self.head.map(Item::Head));
        items.extend(self.items);
        items
    }
}

impl Replica {
    /// Revision in force.
    #[must_use]
    pub const fn head(&self) -> Revision {
        self.view.revision
    }

    /// Takes a part of a leader's log. What that leader alone tells of, and
    /// does not tell when it begins anew, is gone.
    pub fn take(&mut self, news: News, scope: Scope) -> Change {
        let mut change = Change::default();
        if news.reset {
            self.stale.insert(scope, self.keys(scope));
        }
        for item in news.items {
            if let Some(stale) = self.stale.get_mut(&scope) {
                stale.remove(&changelog::key(&item));
            }
            self.take_item(item, &mut change);
        }
        if !news.more {
            self.sweep(scope, &mut change);
        }
        change
    }

    /// Everything known that is told of in `scope`.
    fn keys(&self, scope: Scope) -> BTreeSet<Key> {
        let tells = |domain: DomainId| match scope {
            Scope::All => true,
            Scope::Domain(own) => own == domain,
            Scope::Nothing => false,
        };
        let nodes = self.view.nodes.values().filter(|m| tells(m.info.domain));
        let owners = self.owners.values().filter(|o| tells(o.domain));
        let mut keys: BTreeSet<_> = nodes.map(|m| Key::Member(m.info.id)).collect();
        keys.extend(owners.map(|o| Key::Owner(o.unit)));
        if scope == Scope::All {
            keys.extend(self.config.keys().cloned().map(Key::Config));
        }
        keys
    }

    /// Forgets what a leader that told everything did not tell.
    fn sweep(&mut self, scope: Scope, change: &mut Change) {
        for key in self.stale.remove(&scope).unwrap_or_default() {
            match key {
                Key::Member(node) => self.take_item(Item::Left(node), change),
                Key::Owner(unit) => {
                    if let Some(note) = self.owners.get(&unit).copied() {
                        let none = OwnerNote {
                            owner: None,
                            ..note
                        };
                        self.take_item(Item::Owner(none), change);
                    }
                }
                Key::Config(name) if self.told >= self.view.revision => self.drop_part(&name),
                _ => {}
            }
        }
    }

    /// Forgets a part that this node does not serve any more.
    fn drop_part(&mut self, name: &str) {
        let Some(part) = self.config.remove(name) else {
            return;
        };
        self.put(&KeyValue {
            value: None,
            ..part
        });
    }

    fn take_item(&mut self, item: Item, change: &mut Change) {
        match item {
            Item::Config(part) => self.stage(part),
            Item::Patch(patch) => {
                let old = self.staged.get(&patch.key).or(self.config.get(&patch.key));
                match old.and_then(|old| changelog::patched(old, &patch)) {
                    Some(part) => self.stage(part),
                    None if old.is_some_and(|o| o.revision >= patch.to) => {}
                    None => change.lost = true,
                }
            }
            Item::Head(_) if change.lost => {}
            Item::Head(revision) => {
                self.told = revision;
                self.adopt(revision, change);
            }
            Item::Member(note) => self.take_member(note, change),
            Item::Left(node) => {
                if self.view.nodes.remove(&node).is_some() {
                    change.items.push(item);
                }
            }
            Item::Owner(note) => self.take_owner(note, change),
            Item::Force(note) => {
                let old = self.force.insert(note.domain, note.clone());
                if old.as_ref() != Some(&note) {
                    change.items.push(Item::Force(note));
                }
            }
        }
    }

    fn stage(&mut self, part: KeyValue) {
        let newer = |old: &KeyValue| old.revision < part.revision;
        let in_force = self.config.get(&part.key);
        if in_force.is_none_or(newer) && self.staged.get(&part.key).is_none_or(newer) {
            self.staged.insert(part.key.clone(), part);
        }
    }

    /// Puts the staged parts in force, all at once.
    fn adopt(&mut self, revision: Revision, change: &mut Change) {
        let staged = std::mem::take(&mut self.staged);
        if revision < self.view.revision {
            return;
        }
        for (name, part) in staged {
            self.put(&part);
            if part.value.is_some() {
                self.config.insert(name, part.clone());
            } else {
                self.config.remove(&name);
            }
            change.parts.push(part);
        }
        if revision > self.view.revision {
            self.view.revision = revision;
            change.head = Some(revision);
        }
    }

    fn put(&mut self, part: &KeyValue) {
        if part.key == DOMAINS {
            let value = part.value.as_deref().unwrap_or_default();
            if let Ok(config) = serde_json::from_slice::<v1::TierConfig>(value) {
                self.view.set_domains(&config.domains, Revision(0));
            }
            return;
        }
        let Some(name) = part.key.strip_prefix(SERVICE) else {
            return;
        };
        self.view.remove_service(ServiceId::of(name));
        let Some(value) = part.value.as_deref() else {
            return;
        };
        if let Ok(service) = serde_json::from_slice::<v1::Service>(value) {
            let kept = self.view.revision;
            self.view.add_service(&service, part.revision);
            self.view.revision = kept;
        }
    }

    fn take_member(&mut self, note: MemberNote, change: &mut Change) {
        let member = Member {
            info: note.info.clone(),
            standing: note.standing,
            load: note.load,
        };
        let id = note.info.id;
        if self.view.nodes.get(&id) != Some(&member) {
            self.view.nodes.insert(id, member);
            change.items.push(Item::Member(note));
        }
    }

    fn take_owner(&mut self, note: OwnerNote, change: &mut Change) {
        if self.owners.get(&note.unit) == Some(&note) {
            return;
        }
        let known = self.owners.get(&note.unit).and_then(|o| o.owner);
        if let (Some(known), Some(new)) = (known, note.owner)
            && known.epoch > new.epoch
        {
            return;
        }
        if let Some(owner) = note.owner {
            self.view.owners.insert(note.unit, owner);
            self.owners.insert(note.unit, note);
        } else {
            self.view.owners.remove(&note.unit);
            self.owners.remove(&note.unit);
        }
        change.items.push(Item::Owner(note));
    }
}

/// All that `replica` knows, as items.
#[must_use]
pub fn items(replica: &Replica) -> Vec<Item> {
    let mut items: Vec<_> = replica.config.values().cloned().map(Item::Config).collect();
    items.push(Item::Head(replica.head()));
    for member in replica.view.nodes.values() {
        items.push(Item::Member(MemberNote {
            info: member.info.clone(),
            standing: member.standing,
            load: member.load,
        }));
    }
    items.extend(replica.owners.values().copied().map(Item::Owner));
    items.extend(replica.force.values().cloned().map(Item::Force));
    items
}
