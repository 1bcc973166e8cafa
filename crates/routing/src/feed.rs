//! Local copy of the items in the platform's store, and the changes that
//! another node is missing. Nodes read the store or each other, so changes may
//! arrive in any order; the highest revision of an item wins.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

/// Maximum number of deletions kept for incremental changes. A node that lacks
/// older ones is sent all items.
const MAX_DELETIONS: usize = 2_000;

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

/// Changes of the store up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Changed items, or all items if `is_complete` is set.
    pub items: Vec<Item>,
    /// Whether this is a full snapshot: items that it does not list are
    /// deleted.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Revision up to which all changes are included.
    #[serde(rename = "at")]
    pub revision: u64,
}

/// All items up to a revision, and the most recent deletions.
#[derive(Debug, Default)]
pub struct Feed {
    items: BTreeMap<Arc<str>, Item>,
    /// Most recent deletions with their revisions, in the order of arrival.
    deletions: VecDeque<(u64, Arc<str>)>,
    /// Revision of the newest deletion that was discarded.
    last_discarded: u64,
    revision: u64,
}

impl Feed {
    /// Revision up to which all changes are known; zero if none are.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies changes; returns the items that changed on this node. A snapshot
    /// older than the known revision is ignored.
    pub fn apply(&mut self, delta: Delta) -> Vec<Item> {
        let mut changed = Vec::new();
        if delta.is_complete {
            if delta.revision < self.revision {
                return changed;
            }
            self.delete_missing(&delta, &mut changed);
        }
        for item in delta.items {
            self.apply_item(item, &mut changed);
        }
        self.revision = self.revision.max(delta.revision);
        changed
    }

    /// Deletes the items that a snapshot does not list, except those changed
    /// after it.
    fn delete_missing(&mut self, delta: &Delta, changed: &mut Vec<Item>) {
        let listed: std::collections::HashSet<_> = delta.items.iter().map(|i| &i.key).collect();
        let missing = self.items.values().filter(|i| !listed.contains(&i.key));
        let missing: Vec<_> = missing
            .filter(|i| i.revision <= delta.revision)
            .map(|i| Arc::clone(&i.key))
            .collect();
        for key in missing {
            let item = Item {
                key,
                revision: delta.revision,
                value: None,
            };
            self.apply_item(item, changed);
        }
    }

    /// Applies the change of one item unless a newer revision is known.
    fn apply_item(&mut self, item: Item, changed: &mut Vec<Item>) {
        let known = self.items.get(&item.key).map_or(0, |i| i.revision);
        if item.revision <= known {
            return;
        }
        if item.value.is_some() {
            self.items.insert(Arc::clone(&item.key), item.clone());
            changed.push(item);
            return;
        }
        self.deletions
            .push_back((item.revision, Arc::clone(&item.key)));
        if self.deletions.len() > MAX_DELETIONS
            && let Some((revision, _)) = self.deletions.pop_front()
        {
            self.last_discarded = self.last_discarded.max(revision);
        }
        if self.items.remove(&item.key).is_some() {
            changed.push(item);
        }
    }

    /// Changes for a node that knows all changes up to `after`; all items if
    /// `after` is zero or older than the deletions kept here.
    #[must_use]
    pub fn since(&self, after: u64) -> Delta {
        let is_complete = after == 0 || after < self.last_discarded;
        let newer = |i: &&Item| is_complete || i.revision > after;
        let mut items: Vec<_> = self.items.values().filter(newer).cloned().collect();
        if !is_complete {
            let missing = self
                .deletions
                .iter()
                .filter(|(revision, key)| *revision > after && !self.items.contains_key(key));
            items.extend(missing.map(|(revision, key)| Item {
                key: Arc::clone(key),
                revision: *revision,
                value: None,
            }));
        }
        Delta {
            items,
            is_complete,
            revision: self.revision,
        }
    }
}
