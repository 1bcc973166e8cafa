//! A node's copy of the tier's state: the configuration in force, the nodes
//! and the owners. Updates from leaders may arrive in any order and more than
//! once; the configuration never goes back to an older revision.

use std::collections::{BTreeMap, BTreeSet};

use heatherrun_kernel::control::{LogEntry, LogUpdate, MemberUpdate, OwnerUpdate, RolloutStatus};
use heatherrun_kernel::port::KeyValue;
use heatherrun_kernel::view::Member;
use heatherrun_kernel::{DomainId, Revision, ServiceId, TargetId, View};
use heatherrun_schema::v1;

use crate::changelog::{self, Key};
use crate::manifest::{DOMAINS_PART, SERVICE_PART_PREFIX};

/// A node's copy of the tier's state.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Configuration, nodes and owners in the form used for routing.
    pub view: View,
    /// Parts of the configuration in force, by name.
    pub config: BTreeMap<String, KeyValue>,
    /// Owners as announced by the leaders.
    pub owners: BTreeMap<TargetId, OwnerUpdate>,
    /// How far the configuration is in force in each failure domain.
    pub rollouts: BTreeMap<DomainId, RolloutStatus>,
    /// Parts received but not in force yet.
    staged: BTreeMap<String, KeyValue>,
    /// Known items that were not announced again since the last reset, by the
    /// scope of the leader that sent the reset.
    stale: BTreeMap<UpdateScope, BTreeSet<Key>>,
    /// Last revision announced by a leader.
    announced: Revision,
}

/// The part of the state for which the sender of an update is the only source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateScope {
    /// Everything: the sender leads this node's failure domain.
    All,
    /// Nodes and owners of one failure domain: the sender leads that domain and
    /// the receiver leads another one.
    Domain(DomainId),
    /// Nothing: the sender is any other peer.
    Nothing,
}

/// The changes made by an update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Parts of the configuration that came into force.
    pub parts: Vec<KeyValue>,
    /// Revision now in force, if it changed.
    pub head: Option<Revision>,
    /// Other items that were new.
    pub items: Vec<LogEntry>,
    /// True when a patch did not apply; the sender must send everything again.
    pub patch_failed: bool,
}

impl Change {
    /// True when nothing changed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.head.is_none() && self.items.is_empty() && self.parts.is_empty()
    }

    /// Returns all changes as items, in the order in which to forward them.
    #[must_use]
    pub fn into_items(self) -> Vec<LogEntry> {
        let mut items: Vec<_> = self.parts.into_iter().map(LogEntry::Config).collect();
        items.extend(self.head.map(LogEntry::Head));
        items.extend(self.items);
        items
    }
}

impl Replica {
    /// Revision of the configuration in force.
    #[must_use]
    pub const fn head(&self) -> Revision {
        self.view.revision
    }

    /// Applies a part of a leader's log. After a reset, items for which this
    /// leader is the only source and which it doesn't announce again are removed.
    pub fn apply(&mut self, updates: LogUpdate, scope: UpdateScope) -> Change {
        let mut change = Change::default();
        if updates.reset {
            self.stale.insert(scope, self.keys_in_scope(scope));
        }
        for item in updates.items {
            if let Some(stale) = self.stale.get_mut(&scope) {
                stale.remove(&changelog::item_key(&item));
            }
            self.apply_item(item, &mut change);
        }
        if !updates.more {
            self.remove_stale(scope, &mut change);
        }
        change
    }

    /// Keys of all known items for which a leader of `scope` is the source.
    fn keys_in_scope(&self, scope: UpdateScope) -> BTreeSet<Key> {
        let covers = |domain: DomainId| match scope {
            UpdateScope::All => true,
            UpdateScope::Domain(own) => own == domain,
            UpdateScope::Nothing => false,
        };
        let nodes = self.view.nodes.values().filter(|m| covers(m.info.domain));
        let owners = self.owners.values().filter(|o| covers(o.domain));
        let mut keys: BTreeSet<_> = nodes.map(|m| Key::Member(m.info.id)).collect();
        keys.extend(owners.map(|o| Key::Owner(o.unit)));
        if scope == UpdateScope::All {
            keys.extend(self.config.keys().cloned().map(Key::Config));
        }
        keys
    }

    /// Removes the items that a leader did not announce again in a complete
    /// update after a reset.
    fn remove_stale(&mut self, scope: UpdateScope, change: &mut Change) {
        for key in self.stale.remove(&scope).unwrap_or_default() {
            match key {
                Key::Member(node) => self.apply_item(LogEntry::Left(node), change),
                Key::Owner(unit) => {
                    if let Some(update) = self.owners.get(&unit).copied() {
                        let unowned = OwnerUpdate {
                            owner: None,
                            ..update
                        };
                        self.apply_item(LogEntry::Owner(unowned), change);
                    }
                }
                Key::Config(name) if self.announced >= self.view.revision => {
                    self.remove_part(&name);
                }
                _ => {}
            }
        }
    }

    /// Removes a part of a service that this node no longer serves.
    fn remove_part(&mut self, name: &str) {
        let Some(part) = self.config.remove(name) else {
            return;
        };
        self.update_view(&KeyValue {
            value: None,
            ..part
        });
    }

    fn apply_item(&mut self, item: LogEntry, change: &mut Change) {
        match item {
            LogEntry::Config(part) => self.stage(part),
            LogEntry::Patch(patch) => {
                let old = self.staged.get(&patch.key).or(self.config.get(&patch.key));
                match old.and_then(|old| changelog::apply_patch(old, &patch)) {
                    Some(part) => self.stage(part),
                    None if old.is_some_and(|o| o.revision >= patch.to) => {}
                    None => change.patch_failed = true,
                }
            }
            LogEntry::Head(_) if change.patch_failed => {}
            LogEntry::Head(revision) => {
                self.announced = revision;
                self.activate_staged(revision, change);
            }
            LogEntry::Member(update) => self.apply_member(update, change),
            LogEntry::Left(node) => {
                if self.view.nodes.remove(&node).is_some() {
                    change.items.push(item);
                }
            }
            LogEntry::Owner(update) => self.apply_owner(update, change),
            LogEntry::Rollout(status) => {
                let old = self.rollouts.insert(status.domain, status.clone());
                if old.as_ref() != Some(&status) {
                    change.items.push(LogEntry::Rollout(status));
                }
            }
        }
    }

    /// Keeps a part until the next head puts it in force, unless a version at
    /// least as new is known.
    fn stage(&mut self, part: KeyValue) {
        let is_older = |old: &KeyValue| old.revision < part.revision;
        let in_force = self.config.get(&part.key);
        if in_force.is_none_or(is_older) && self.staged.get(&part.key).is_none_or(is_older) {
            self.staged.insert(part.key.clone(), part);
        }
    }

    /// Puts all staged parts in force at once.
    fn activate_staged(&mut self, revision: Revision, change: &mut Change) {
        let staged = std::mem::take(&mut self.staged);
        if revision < self.view.revision {
            return;
        }
        for (name, part) in staged {
            self.update_view(&part);
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

    /// Updates the view for a changed or removed part.
    fn update_view(&mut self, part: &KeyValue) {
        if part.key == DOMAINS_PART {
            let value = part.value.as_deref().unwrap_or_default();
            if let Ok(config) = serde_json::from_slice::<v1::TierConfig>(value) {
                self.view.set_domains(&config.domains, Revision(0));
            }
            return;
        }
        let Some(name) = part.key.strip_prefix(SERVICE_PART_PREFIX) else {
            return;
        };
        self.view.remove_service(ServiceId::from_name(name));
        let Some(value) = part.value.as_deref() else {
            return;
        };
        if let Ok(service) = serde_json::from_slice::<v1::Service>(value) {
            let in_force = self.view.revision;
            self.view.add_service(&service, part.revision);
            self.view.revision = in_force;
        }
    }

    fn apply_member(&mut self, update: MemberUpdate, change: &mut Change) {
        let member = Member {
            info: update.info.clone(),
            standing: update.standing,
            load: update.load,
        };
        let id = update.info.id;
        if self.view.nodes.get(&id) != Some(&member) {
            self.view.nodes.insert(id, member);
            change.items.push(LogEntry::Member(update));
        }
    }

    fn apply_owner(&mut self, update: OwnerUpdate, change: &mut Change) {
        if self.owners.get(&update.unit) == Some(&update) {
            return;
        }
        let current = self.owners.get(&update.unit).and_then(|o| o.owner);
        if let (Some(current), Some(new)) = (current, update.owner)
            && current.epoch > new.epoch
        {
            return;
        }
        if let Some(owner) = update.owner {
            self.view.owners.insert(update.unit, owner);
            self.owners.insert(update.unit, update);
        } else {
            self.view.owners.remove(&update.unit);
            self.owners.remove(&update.unit);
        }
        change.items.push(LogEntry::Owner(update));
    }
}

/// Returns the whole state of `replica` as items.
#[must_use]
pub fn state_items(replica: &Replica) -> Vec<LogEntry> {
    let mut items: Vec<_> = replica
        .config
        .values()
        .cloned()
        .map(LogEntry::Config)
        .collect();
    items.push(LogEntry::Head(replica.head()));
    for member in replica.view.nodes.values() {
        items.push(LogEntry::Member(MemberUpdate {
            info: member.info.clone(),
            standing: member.standing,
            load: member.load,
        }));
    }
    items.extend(replica.owners.values().copied().map(LogEntry::Owner));
    items.extend(replica.rollouts.values().cloned().map(LogEntry::Rollout));
    items
}
