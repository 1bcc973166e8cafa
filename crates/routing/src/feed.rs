//! Items of the platform's store as one node holds them, and the difference
//! that another node lacks. Nodes read the store or each other; a newer
//! revision of an item always goes before an older one.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

/// Deletions that are remembered. A node that lacks older ones is sent all.
const MOST_DELETIONS: usize = 2_000;

/// One item of the store; no value when it was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// Value.
    pub value: Option<Arc<[u8]>>,
}

/// What changed in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Items that changed, or all items.
    pub items: Vec<Item>,
    /// Whether these are all items: others are deleted.
    pub whole: bool,
    /// Revision up to which it tells all changes.
    pub at: u64,
}

/// All items up to a revision.
#[derive(Debug, Default)]
pub struct Feed {
    items: BTreeMap<Arc<str>, Item>,
    deleted: VecDeque<(u64, Arc<str>)>,
    /// Revision of the newest deletion that is not remembered.
    forgotten: u64,
    at: u64,
}

impl Feed {
    /// Revision up to which all changes are known; zero when nothing is.
    #[must_use]
    pub const fn at(&self) -> u64 {
        self.at
    }

    /// Takes a difference; returns the items that are new to this node.
    pub fn apply(&mut self, delta: Delta) -> Vec<Item> {
        let mut new = Vec::new();
        if delta.whole {
            if delta.at < self.at {
                return new;
            }
            self.delete_missing(&delta, &mut new);
        }
        for item in delta.items {
            self.take(item, &mut new);
        }
        self.at = self.at.max(delta.at);
        new
    }

    fn delete_missing(&mut self, delta: &Delta, new: &mut Vec<Item>) {
        let there: std::collections::HashSet<_> = delta.items.iter().map(|i| &i.key).collect();
        let gone = self.items.values().filter(|i| !there.contains(&i.key));
        let gone: Vec<_> = gone
            .filter(|i| i.revision <= delta.at)
            .map(|i| Arc::clone(&i.key))
            .collect();
        for key in gone {
            let item = Item {
                key,
                revision: delta.at,
                value: None,
            };
            self.take(item, new);
        }
    }

    fn take(&mut self, item: Item, new: &mut Vec<Item>) {
        let known = self.items.get(&item.key).map_or(0, |i| i.revision);
        if item.revision <= known {
            return;
        }
        if item.value.is_some() {
            self.items.insert(Arc::clone(&item.key), item.clone());
            new.push(item);
            return;
        }
        self.deleted
            .push_back((item.revision, Arc::clone(&item.key)));
        if self.deleted.len() > MOST_DELETIONS
            && let Some((revision, _)) = self.deleted.pop_front()
        {
            self.forgotten = self.forgotten.max(revision);
        }
        if self.items.remove(&item.key).is_some() {
            new.push(item);
        }
    }

    /// What a node lacks that knows all up to `after`; everything when `after`
    /// is zero.
    #[must_use]
    pub fn since(&self, after: u64) -> Delta {
        let whole = after == 0 || after < self.forgotten;
        let newer = |i: &&Item| whole || i.revision > after;
        let mut items: Vec<_> = self.items.values().filter(newer).cloned().collect();
        if !whole {
            let gone = self
                .deleted
                .iter()
                .filter(|(revision, key)| *revision > after && !self.items.contains_key(key));
            items.extend(gone.map(|(revision, key)| Item {
                key: Arc::clone(key),
                revision: *revision,
                value: None,
            }));
        }
        Delta {
            items,
            whole,
            at: self.at,
        }
    }
}
