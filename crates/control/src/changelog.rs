//! Log of a leader's state: the latest item per key, ordered by the last
//! change. A receiver sends the position up to which it is complete and gets
//! the later items that it needs, up to a limit of bytes per message.

use std::collections::BTreeMap;

use heatherrun_kernel::control::{LogEntry, LogUpdate, Patch};
use heatherrun_kernel::port::KeyValue;
use heatherrun_kernel::{DomainId, NodeId, Revision, TargetId};

/// Estimated encoded size of an item without its names and values.
const ITEM_OVERHEAD_BYTES: usize = 40;

/// Maximum number of deletion entries kept in the log.
const MAX_DELETED_ENTRIES: usize = 4_096;

/// Identifies what an item describes; a later item with the same key replaces it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// Part of the configuration, by name.
    Config(String),
    /// Revision of the configuration in force.
    Head,
    /// Member node.
    Member(NodeId),
    /// Owner of a unit.
    Owner(TargetId),
    /// Rollout state of the configuration in a failure domain.
    Rollout(DomainId),
}

/// Returns the key of `item`.
#[must_use]
pub fn item_key(item: &LogEntry) -> Key {
    match item {
        LogEntry::Config(kv) => Key::Config(kv.key.clone()),
        LogEntry::Patch(patch) => Key::Config(patch.key.clone()),
        LogEntry::Head(_) => Key::Head,
        LogEntry::Member(update) => Key::Member(update.info.id),
        LogEntry::Left(node) => Key::Member(*node),
        LogEntry::Owner(update) => Key::Owner(update.unit),
        LogEntry::Rollout(status) => Key::Rollout(status.domain),
    }
}

#[derive(Clone, Debug)]
struct Entry {
    item: LogEntry,
    seq: u64,
    /// Position of the entry that this one replaced; `u64::MAX` if none.
    previous_seq: u64,
    /// Difference from the replaced entry, for a configuration part.
    patch: Option<Patch>,
}

/// Change log of one leader.
#[derive(Clone, Debug, Default)]
pub struct Log {
    seq: u64,
    entries: BTreeMap<Key, Entry>,
    keys_by_seq: BTreeMap<u64, Key>,
    /// Position of the newest deletion entry that was pruned. A receiver
    /// behind it may have missed a deletion and needs a reset.
    pruned_seq: u64,
    deleted_count: usize,
}

impl Log {
    /// Position of the newest item.
    #[must_use]
    pub const fn seq(&self) -> u64 {
        self.seq
    }

    /// Records an item unless the log holds an equal one; returns whether it was
    /// added.
    pub fn record(&mut self, item: LogEntry) -> bool {
        let key = item_key(&item);
        let old = self.entries.get(&key);
        if old.is_some_and(|e| e.item == item) {
            return false;
        }
        self.seq += 1;
        let patch = old.and_then(|e| config_patch(&e.item, &item));
        let previous_seq = old.map_or(u64::MAX, |e| e.seq);
        if let Some(old) = old {
            self.keys_by_seq.remove(&old.seq);
        }
        self.deleted_count += usize::from(is_deletion(&item));
        self.keys_by_seq.insert(self.seq, key.clone());
        let entry = Entry {
            item,
            seq: self.seq,
            previous_seq,
            patch,
        };
        self.entries.insert(key, entry);
        self.prune_deletions();
        true
    }

    /// Returns the items that changed after `log_position` and satisfy
    /// `is_wanted`, up to `max_bytes` but at least one item. A receiver without
    /// a usable position gets a reset: all current items, without deletions.
    #[must_use]
    pub fn changes_since(
        &self,
        log_position: u64,
        max_bytes: usize,
        is_wanted: impl Fn(&LogEntry) -> bool,
    ) -> LogUpdate {
        let reset = log_position == 0 || log_position < self.pruned_seq || log_position > self.seq;
        let log_position = if reset { 0 } else { log_position };
        let mut updates = LogUpdate {
            reset,
            log_position,
            ..LogUpdate::default()
        };
        let mut used_bytes = 0;
        for (seq, key) in self.keys_by_seq.range(log_position + 1..) {
            let entry = &self.entries[key];
            if !is_wanted(&entry.item) || (reset && is_deletion(&entry.item)) {
                updates.log_position = *seq;
                continue;
            }
            let item = entry.item_for(log_position);
            used_bytes += estimated_bytes(&item);
            if used_bytes > max_bytes && !updates.items.is_empty() {
                updates.more = true;
                break;
            }
            updates.items.push(item);
            updates.log_position = *seq;
        }
        updates
    }

    /// Returns the items whose last change is at or before `log_position` and
    /// that satisfy `is_wanted`.
    pub(crate) fn changes_until(
        &self,
        log_position: u64,
        is_wanted: impl Fn(&LogEntry) -> bool,
    ) -> Vec<LogEntry> {
        let old = self.keys_by_seq.range(..=log_position);
        let items = old.map(|(_, key)| &self.entries[key].item);
        items.filter(|item| is_wanted(item)).cloned().collect()
    }

    /// Drops the oldest deletion entries, half of the limit, once there are more
    /// than the limit.
    fn prune_deletions(&mut self) {
        if self.deleted_count <= MAX_DELETED_ENTRIES {
            return;
        }
        let is_deleted = |key: &&Key| is_deletion(&self.entries[*key].item);
        let old: Vec<_> = self
            .keys_by_seq
            .values()
            .filter(is_deleted)
            .cloned()
            .collect();
        for key in old.into_iter().take(MAX_DELETED_ENTRIES / 2) {
            if let Some(entry) = self.entries.remove(&key) {
                self.keys_by_seq.remove(&entry.seq);
                self.pruned_seq = self.pruned_seq.max(entry.seq);
            }
        }
        self.deleted_count = MAX_DELETED_ENTRIES - MAX_DELETED_ENTRIES / 2;
    }
}

impl Entry {
    /// The item to send to a receiver at position `log_position`: a patch if it has the
    /// replaced version, otherwise the whole item.
    fn item_for(&self, log_position: u64) -> LogEntry {
        match &self.patch {
            Some(patch) if log_position >= self.previous_seq => LogEntry::Patch(patch.clone()),
            _ => self.item.clone(),
        }
    }
}

fn is_deletion(item: &LogEntry) -> bool {
    match item {
        LogEntry::Left(_) => true,
        LogEntry::Config(kv) => kv.value.is_none(),
        LogEntry::Owner(update) => update.owner.is_none(),
        _ => false,
    }
}

/// Estimates the encoded size of an item.
#[must_use]
pub fn estimated_bytes(item: &LogEntry) -> usize {
    let content = match item {
        LogEntry::Config(kv) => kv.key.len() + kv.value.as_ref().map_or(0, Vec::len),
        LogEntry::Patch(patch) => patch.key.len() + patch.middle.len(),
        LogEntry::Member(update) => update.info.name.len() + ITEM_OVERHEAD_BYTES,
        LogEntry::Rollout(status) => status.behind.iter().map(String::len).sum(),
        LogEntry::Head(_) | LogEntry::Left(_) | LogEntry::Owner(_) => 0,
    };
    content + ITEM_OVERHEAD_BYTES
}

fn config_patch(old: &LogEntry, new: &LogEntry) -> Option<Patch> {
    let (LogEntry::Config(old), LogEntry::Config(new)) = (old, new) else {
        return None;
    };
    make_patch(old, new)
}

/// Returns the difference between two versions of a value; none if either
/// version is a deletion.
#[must_use]
pub fn make_patch(old: &KeyValue, new: &KeyValue) -> Option<Patch> {
    let (from, to) = (old.value.as_deref()?, new.value.as_deref()?);
    let common = from.iter().zip(to).take_while(|(a, b)| a == b);
    let head = common.count();
    let max_tail = from.len().min(to.len()) - head;
    let reversed = from.iter().rev().zip(to.iter().rev());
    let tail = reversed.take(max_tail).take_while(|(a, b)| a == b).count();
    Some(Patch {
        key: new.key.clone(),
        from: old.revision,
        to: new.revision,
        head: u32::try_from(head).ok()?,
        tail: u32::try_from(tail).ok()?,
        middle: to[head..to.len() - tail].to_vec(),
    })
}

/// Applies `patch` to `old`; none if `old` is not the version that the patch
/// is based on.
#[must_use]
pub fn apply_patch(old: &KeyValue, patch: &Patch) -> Option<KeyValue> {
    let value = old.value.as_deref()?;
    let (head, tail) = (patch.head as usize, patch.tail as usize);
    if old.revision != patch.from || head + tail > value.len() {
        return None;
    }
    let mut new_value = value[..head].to_vec();
    new_value.extend(&patch.middle);
    new_value.extend(&value[value.len() - tail..]);
    Some(KeyValue {
        key: patch.key.clone(),
        revision: patch.to,
        value: Some(new_value),
    })
}

/// Item that announces the revision in force.
#[must_use]
pub const fn head_item(revision: Revision) -> LogEntry {
    LogEntry::Head(revision)
}
