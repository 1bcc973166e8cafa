//! Local copy of the items in the platform's store, and the changes that
//! another node is missing. Nodes read the store or each other, so changes may
//! arrive in any order; the highest revision of an item wins.
//!
//! The store may come back from a copy that is some seconds old. Its era then
//! increases, and revisions are assigned a second time, so a copy holds items
//! of one era only: see [`Feed::apply`].

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use heatherrun_kernel::{Era, Revision};
use serde::{Deserialize, Serialize};

/// Maximum number of deletions kept for incremental changes. A node that lacks
/// older ones is sent all items.
const MAX_DELETIONS: usize = 2_000;

/// Position in the history of the store. A later era is a later position,
/// whatever the revisions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Era of the store; zero when it has none.
    pub era: Era,
    /// Revision within the era; zero before the first changes.
    pub revision: Revision,
}

impl Position {
    /// Whether no changes are known yet.
    #[must_use]
    pub const fn is_start(self) -> bool {
        self.revision.0 == 0
    }
}

/// Worth of changes that another node has, by their age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// They are fresh enough to ask nobody else.
    Fresh,
    /// They are old, but newer than what this node has.
    Newer,
    /// They tell nothing new.
    Old,
}

impl Freshness {
    /// Worth of changes that are `age` old for a node whose own are `own_age`
    /// old. Old ones are applied too: while the readers of a domain are cut off
    /// from the store, what they learn of other nodes is all that there is.
    #[must_use]
    pub fn new(age: Duration, own_age: Duration, max_age: Duration) -> Self {
        if age <= max_age {
            Self::Fresh
        } else if age < own_age {
            Self::Newer
        } else {
            Self::Old
        }
    }
}

/// One item of the store; it has no value if it was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key in the store.
    pub key: Arc<str>,
    /// Store revision of its last change.
    pub revision: u64,
    /// Value; `None` for a deleted item.
    pub value: Option<Arc<[u8]>>,
}

/// Changes of the store up to a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Changed items, or all items if `is_complete` is set.
    pub items: Vec<Item>,
    /// Whether this is a full snapshot: items that it does not list are
    /// deleted.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Position up to which all changes are included.
    #[serde(rename = "at")]
    pub position: Position,
}

/// Decisions about single items that depend on what they hold.
pub struct ItemRules<'a> {
    /// Whether the second item differs from the first one only in details that
    /// other nodes do without.
    pub is_minor_change: &'a dyn Fn(&Item, &Item) -> bool,
    /// Whether an item that was deleted in the previous era stays deleted when
    /// the copy that the store came back from still lists it.
    pub stays_deleted: &'a dyn Fn(&Item) -> bool,
}

/// Effect of [`Feed::apply`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Items that changed on this node, minor changes included.
    pub changed: Vec<Item>,
    /// Whether a later era began, so that a deletion in `changed` may mean only
    /// that the copy predates the item.
    pub began_era: bool,
}

#[derive(Debug)]
struct Entry {
    item: Item,
    /// Revision of the last change that other nodes need.
    relay_revision: u64,
}

/// All items up to a position, and the most recent deletions.
#[derive(Debug, Default)]
pub struct Feed {
    items: BTreeMap<Arc<str>, Entry>,
    /// Revisions of the most recent deletions.
    deleted: HashMap<Arc<str>, u64>,
    /// The same deletions in the order of their revisions.
    deletions: BTreeSet<(u64, Arc<str>)>,
    /// Revision up to which deletions are not known: that of the newest one that
    /// was discarded, or of the newest snapshot, which lists no deletions.
    last_discarded: u64,
    position: Position,
}

impl Feed {
    /// Position up to which all changes are known.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.position
    }

    /// Applies changes. Ignored are changes of an earlier era, a snapshot older
    /// than the known revision, and incremental changes of a later era, since
    /// they build on a snapshot that this node lacks.
    ///
    /// A snapshot of a later era replaces all items.
    pub fn apply(&mut self, delta: Delta, rules: &ItemRules<'_>) -> Applied {
        let mut applied = Applied::default();
        if delta.position.era < self.position.era {
            return applied;
        }
        if delta.position.era > self.position.era {
            if delta.is_complete {
                applied.began_era = !self.position.is_start();
                self.replace_all(delta, rules, &mut applied.changed);
            }
            return applied;
        }
        if delta.is_complete {
            if delta.position < self.position {
                return applied;
            }
            self.delete_missing(&delta, &mut applied.changed);
            self.last_discarded = self.last_discarded.max(delta.position.revision.0);
        }
        for item in delta.items {
            self.apply_item(item, rules, &mut applied.changed);
        }
        self.position = self.position.max(delta.position);
        applied
    }

    /// Replaces all items by those of a later era. An item that this node knows
    /// to be deleted after the copy was made is left out if the rules say so.
    fn replace_all(&mut self, delta: Delta, rules: &ItemRules<'_>, changed: &mut Vec<Item>) {
        let old = std::mem::take(self);
        self.position = delta.position;
        self.last_discarded = delta.position.revision.0;
        for item in delta.items {
            let deleted = old.deleted.get(&item.key);
            if deleted.is_some_and(|at| item.revision < *at) && (rules.stays_deleted)(&item) {
                self.record_deletion(item.revision, &item.key);
                continue;
            }
            let known = old.items.get(&item.key);
            if known.is_none_or(|known| known.item.value != item.value) {
                changed.push(item.clone());
            }
            self.insert(item, None);
        }
        // Other nodes at this era get a snapshot, so older positions need no
        // deletions.
        for key in old.items.into_keys() {
            if !self.items.contains_key(&key) {
                changed.push(Item {
                    key,
                    revision: self.position.revision.0,
                    value: None,
                });
            }
        }
    }

    /// Deletes the items that a snapshot does not list, except those changed
    /// after it.
    fn delete_missing(&mut self, delta: &Delta, changed: &mut Vec<Item>) {
        let listed: HashSet<_> = delta.items.iter().map(|i| &i.key).collect();
        let revision = delta.position.revision.0;
        let missing = self.items.values().map(|entry| &entry.item);
        let missing = missing.filter(|i| !listed.contains(&i.key) && i.revision <= revision);
        let missing: Vec<_> = missing.map(|i| Arc::clone(&i.key)).collect();
        for key in missing {
            self.delete(
                Item {
                    key,
                    revision,
                    value: None,
                },
                changed,
            );
        }
    }

    /// Applies the change of one item unless a newer revision is known.
    fn apply_item(&mut self, item: Item, rules: &ItemRules<'_>, changed: &mut Vec<Item>) {
        let known = self.items.get(&item.key);
        let known_revision = known.map_or(0, |entry| entry.item.revision);
        let deleted = self.deleted.get(&item.key).copied().unwrap_or_default();
        if item.revision <= known_revision.max(deleted) {
            return;
        }
        if item.value.is_none() {
            self.delete(item, changed);
            return;
        }
        let minor = known.filter(|entry| (rules.is_minor_change)(&entry.item, &item));
        let relay_revision = minor.map(|entry| entry.relay_revision);
        self.insert(item.clone(), relay_revision);
        changed.push(item);
    }

    /// Stores an item; `relay_revision` is that of the item before a minor
    /// change.
    fn insert(&mut self, item: Item, relay_revision: Option<u64>) {
        let relay_revision = relay_revision.unwrap_or(item.revision);
        if let Some(revision) = self.deleted.remove(&item.key) {
            self.deletions.remove(&(revision, Arc::clone(&item.key)));
        }
        let entry = Entry {
            item,
            relay_revision,
        };
        self.items.insert(Arc::clone(&entry.item.key), entry);
    }

    fn delete(&mut self, item: Item, changed: &mut Vec<Item>) {
        self.record_deletion(item.revision, &item.key);
        if self.items.remove(&item.key).is_some() {
            changed.push(item);
        }
    }

    /// Keeps the revision of a deletion, so that an older write that arrives
    /// later does not bring the item back.
    fn record_deletion(&mut self, revision: u64, key: &Arc<str>) {
        if let Some(previous) = self.deleted.insert(Arc::clone(key), revision) {
            self.deletions.remove(&(previous, Arc::clone(key)));
        }
        self.deletions.insert((revision, Arc::clone(key)));
        if self.deletions.len() > MAX_DELETIONS
            && let Some((revision, key)) = self.deletions.pop_first()
        {
            self.deleted.remove(&key);
            self.last_discarded = self.last_discarded.max(revision);
        }
    }

    /// Changes for a node that knows all changes up to `after`: all items if
    /// that is the start, of an earlier era or older than the deletions kept
    /// here, and none if it is of a later era.
    #[must_use]
    pub fn since(&self, after: Position) -> Delta {
        let mut delta = Delta {
            position: self.position,
            ..Delta::default()
        };
        if after.era > self.position.era {
            return delta;
        }
        let after_revision = after.revision.0;
        delta.is_complete = after.is_start()
            || after.era < self.position.era
            || after_revision < self.last_discarded;
        let newer = |e: &&Entry| delta.is_complete || e.relay_revision > after_revision;
        let items = self.items.values().filter(newer);
        delta.items.extend(items.map(|e| e.item.clone()));
        if !delta.is_complete {
            let later = self.deletions.iter().rev();
            let later = later.take_while(|(revision, _)| *revision > after_revision);
            delta.items.extend(later.map(|(revision, key)| Item {
                key: Arc::clone(key),
                revision: *revision,
                value: None,
            }));
        }
        delta
    }
}
