//! What a leader knows, ordered by the time of its last change. A receiver
//! names the position up to which it has everything and gets what changed
//! since, as far as it needs it and a bound on bytes allows.

use std::collections::BTreeMap;

use heatherrun_kernel::control::{Item, News, Patch};
use heatherrun_kernel::port::KeyValue;
use heatherrun_kernel::{DomainId, NodeId, Revision, TargetId};

/// Bytes of an item besides its names and values.
const ITEM_BYTES: usize = 40;

/// Entries of things that are gone which are kept at the most.
const GONE: usize = 4_096;

/// What an item is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// Part of the configuration.
    Config(String),
    /// Revision in force.
    Head,
    /// Node.
    Member(NodeId),
    /// Owner of a unit.
    Owner(TargetId),
    /// Force in a failure domain.
    Force(DomainId),
}

/// The thing that `item` is about.
#[must_use]
pub fn key(item: &Item) -> Key {
    match item {
        Item::Config(kv) => Key::Config(kv.key.clone()),
        Item::Patch(patch) => Key::Config(patch.key.clone()),
        Item::Head(_) => Key::Head,
        Item::Member(note) => Key::Member(note.info.id),
        Item::Left(node) => Key::Member(*node),
        Item::Owner(note) => Key::Owner(note.unit),
        Item::Force(note) => Key::Force(note.domain),
    }
}

#[derive(Clone, Debug)]
struct Entry {
    item: Item,
    seq: u64,
    before: u64,
    patch: Option<Patch>,
}

/// The log of one leader.
#[derive(Clone, Debug, Default)]
pub struct Log {
    seq: u64,
    entries: BTreeMap<Key, Entry>,
    order: BTreeMap<u64, Key>,
    floor: u64,
    gone: usize,
}

impl Log {
    /// Position of the newest item.
    #[must_use]
    pub const fn seq(&self) -> u64 {
        self.seq
    }

    /// Adds an item unless it stands already; returns whether it was added.
    pub fn put(&mut self, item: Item) -> bool {
        let key = key(&item);
        let old = self.entries.get(&key);
        if old.is_some_and(|e| e.item == item) {
            return false;
        }
        self.seq += 1;
        let patch = old.and_then(|e| delta(&e.item, &item));
        let before = old.map_or(u64::MAX, |e| e.seq);
        if let Some(old) = old {
            self.order.remove(&old.seq);
        }
        self.gone += usize::from(is_gone(&item));
        self.order.insert(self.seq, key.clone());
        let entry = Entry {
            item,
            seq: self.seq,
            before,
            patch,
        };
        self.entries.insert(key, entry);
        self.prune();
        true
    }

    /// What changed after `seen` and passes `wants`, at most `bytes` of it
    /// but one item at least.
    #[must_use]
    pub fn since(&self, seen: u64, bytes: usize, wants: impl Fn(&Item) -> bool) -> News {
        let reset = seen == 0 || seen < self.floor || seen > self.seq;
        let seen = if reset { 0 } else { seen };
        let mut news = News {
            reset,
            seen,
            ..News::default()
        };
        let mut spent = 0;
        for (seq, key) in self.order.range(seen + 1..) {
            let entry = &self.entries[key];
            if !wants(&entry.item) || (reset && is_gone(&entry.item)) {
                news.seen = *seq;
                continue;
            }
            let item = entry.item_for(seen);
            spent += cost(&item);
            if spent > bytes && !news.items.is_empty() {
                news.more = true;
                break;
            }
            news.items.push(item);
            news.seen = *seq;
        }
        news
    }

    /// What changed last at `seen` or before and passes `wants`.
    pub(crate) fn until(&self, seen: u64, wants: impl Fn(&Item) -> bool) -> Vec<Item> {
        let old = self.order.range(..=seen);
        let items = old.map(|(_, key)| &self.entries[key].item);
        items.filter(|item| wants(item)).cloned().collect()
    }

    /// Drops the oldest entries of things that are gone.
    fn prune(&mut self) {
        if self.gone <= GONE {
            return;
        }
        let is_old = |key: &&Key| is_gone(&self.entries[*key].item);
        let old: Vec<_> = self.order.values().filter(is_old).cloned().collect();
        for key in old.into_iter().take(GONE / 2) {
            if let Some(entry) = self.entries.remove(&key) {
                self.order.remove(&entry.seq);
                self.floor = self.floor.max(entry.seq);
            }
        }
        self.gone = GONE - GONE / 2;
    }
}

impl Entry {
    fn item_for(&self, seen: u64) -> Item {
        match &self.patch {
            Some(patch) if seen >= self.before => Item::Patch(patch.clone()),
            _ => self.item.clone(),
        }
    }
}

fn is_gone(item: &Item) -> bool {
    match item {
        Item::Left(_) => true,
        Item::Config(kv) => kv.value.is_none(),
        Item::Owner(note) => note.owner.is_none(),
        _ => false,
    }
}

/// Size of an item on the wire, roughly.
#[must_use]
pub fn cost(item: &Item) -> usize {
    let own = match item {
        Item::Config(kv) => kv.key.len() + kv.value.as_ref().map_or(0, Vec::len),
        Item::Patch(patch) => patch.key.len() + patch.middle.len(),
        Item::Member(note) => note.info.name.len() + ITEM_BYTES,
        Item::Force(note) => note.behind.iter().map(String::len).sum(),
        Item::Head(_) | Item::Left(_) | Item::Owner(_) => 0,
    };
    own + ITEM_BYTES
}

fn delta(old: &Item, new: &Item) -> Option<Patch> {
    let (Item::Config(old), Item::Config(new)) = (old, new) else {
        return None;
    };
    patch(old, new)
}

/// The difference between two versions of a value, when it is the smaller.
#[must_use]
pub fn patch(old: &KeyValue, new: &KeyValue) -> Option<Patch> {
    let (from, to) = (old.value.as_deref()?, new.value.as_deref()?);
    let same = from.iter().zip(to).take_while(|(a, b)| a == b);
    let head = same.count();
    let most = from.len().min(to.len()) - head;
    let ends = from.iter().rev().zip(to.iter().rev());
    let tail = ends.take(most).take_while(|(a, b)| a == b).count();
    Some(Patch {
        key: new.key.clone(),
        from: old.revision,
        to: new.revision,
        head: u32::try_from(head).ok()?,
        tail: u32::try_from(tail).ok()?,
        middle: to[head..to.len() - tail].to_vec(),
    })
}

/// The new version that `patch` makes of `old`; none when `old` is not the
/// version that it was made from.
#[must_use]
pub fn patched(old: &KeyValue, patch: &Patch) -> Option<KeyValue> {
    let value = old.value.as_deref()?;
    let (head, tail) = (patch.head as usize, patch.tail as usize);
    if old.revision != patch.from || head + tail > value.len() {
        return None;
    }
    let mut made = value[..head].to_vec();
    made.extend(&patch.middle);
    made.extend(&value[value.len() - tail..]);
    Some(KeyValue {
        key: patch.key.clone(),
        revision: patch.to,
        value: Some(made),
    })
}

/// Item that tells the revision in force.
#[must_use]
pub const fn head(revision: Revision) -> Item {
    Item::Head(revision)
}
