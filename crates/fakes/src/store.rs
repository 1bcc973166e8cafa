//! The platform's key-value service and VM list in memory.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use heatherrun_kernel::port::{
    KeyValue, Platform, StoreAnswer, StoreCall, StoreError, StoreReply, Vm, async_fn,
};
use heatherrun_kernel::{Era, Revision};
use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Largest value, in bytes.
const MOST_BYTES: usize = 1 << 20;

/// Reads that the service takes in a second.
const READS: u64 = 2_000;

/// Writes that the service takes in a second.
const WRITES: u64 = 300;

/// Keys of one page.
const PAGE_KEYS: usize = 50;

/// What goes wrong, as data; nothing by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Calls to the key-value service are refused.
    pub down: bool,
    /// Reads of the list of VMs are refused.
    pub list_down: bool,
    /// Milliseconds that each call takes.
    pub slow_ms: u64,
    /// Each call of this count takes effect without an answer; zero for none.
    pub lose_every: u64,
    /// Watches find that their history is gone.
    pub forgets: bool,
    /// Milliseconds by which a watch tells of changes late.
    pub watch_ms: u64,
    /// Milliseconds by which the list of VMs lags.
    pub list_ms: u64,
    /// Reads a second beyond which calls are refused; zero for the default.
    pub reads: u64,
    /// Writes a second beyond which calls are refused; zero for the default.
    pub writes: u64,
}

/// Calls made so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads of a key, of changes, and waiting watches.
    pub reads: u64,
    /// Writes of a key and of leases.
    pub writes: u64,
    /// Reads of the list of VMs.
    pub lists: u64,
    /// Calls refused, of those above.
    pub refused: u64,
    /// Bytes of the keys and values that reads returned.
    pub bytes: u64,
}

/// Content of the store at one moment.
#[derive(Clone)]
pub struct Copied {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

#[derive(Default)]
struct State {
    era: Era,
    revision: u64,
    counts: Counts,
    faults: Faults,
    /// What stale reads of later pages show; the current content if none.
    stale: Option<Copied>,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Lists of VMs with the time from which each is shown.
    vms: Vec<(Instant, Vec<Vm>)>,
    /// Second that the rates count for, with its reads and writes.
    second: Option<(Instant, u64, u64)>,
}

#[derive(Clone)]
struct Entry {
    revision: u64,
    value: Option<Vec<u8>>,
    lease: u64,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls made so far; a waiting watch is one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        let counts = self.counts();
        counts.reads + counts.writes + counts.lists
    }

    /// Calls made so far, by kind.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// Ends all leases at once.
    pub fn expire_leases(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        for (end, _) in state.leases.values_mut() {
            *end = now;
        }
        state.expire(now);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets the VM list; it shows late when that is a fault.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let mut state = self.lock();
        let at = Instant::now() + Duration::from_millis(state.faults.list_ms);
        state.vms.push((at, vms));
    }

    /// The port of this store.
    #[must_use]
    pub fn platform(&self) -> Platform {
        let store = self.clone();
        Platform {
            call: async_fn(move |call| {
                let store = store.clone();
                async move { store.answer(call).await }
            }),
        }
    }

    /// Makes one call; also tells the era of the store that answered it.
    pub async fn answer(&self, call: StoreCall) -> StoreAnswer {
        let era = self.lock().era;
        let result = self.call(call).await;
        if self.lock().era != era {
            // The restore cuts the connections of waiting calls.
            return Err(StoreError::NoAnswer).into();
        }
        StoreAnswer { era, result }
    }

    /// Copies the content of the store.
    #[must_use]
    pub fn copy(&self) -> Copied {
        let state = self.lock();
        Copied {
            revision: state.revision,
            keys: state.keys.clone(),
            leases: state.leases.clone(),
        }
    }

    /// Comes back from a copy: what was written since is gone, revisions are
    /// given out again, and the era rises by one.
    pub fn restore(&self, copied: Copied) {
        let mut state = self.lock();
        state.revision = copied.revision;
        state.keys = copied.keys;
        state.leases = copied.leases;
        state.era.0 += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// From now on stale reads of a page after the first show this copy, as a
    /// replica that lags behind; with none, the current content.
    pub fn set_stale_pages(&self, copied: Option<Copied>) {
        self.lock().stale = copied;
    }

    /// Makes one call.
    ///
    /// # Errors
    /// [`StoreError::TooLarge`] when a value exceeds the limit, and what the
    /// faults bring.
    pub async fn call(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        let (slow, refused, lost) = self.lock().admit(&call);
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        if refused {
            return Err(StoreError::Unavailable);
        }
        let reply = match &call {
            StoreCall::Watch {
                prefix,
                after,
                wait,
            } => self.watch(prefix, *after, *wait).await,
            _ => self.lock().apply(call),
        };
        self.changed.notify_waiters();
        if let Ok(reply) = &reply {
            self.lock().counts.bytes += reply_bytes(reply);
        }
        if lost {
            return Err(StoreError::NoAnswer);
        }
        reply
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<StoreReply, StoreError> {
        let end = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let (faults, found) = {
                let mut state = self.lock();
                (state.faults, state.changes(prefix, after))
            };
            if faults.down {
                return Err(StoreError::NoAnswer);
            }
            if faults.forgets || self.lock().revision < after.0 {
                return Err(StoreError::Forgotten);
            }
            if let StoreReply::Changes(keys, _) = &found
                && (!keys.is_empty() || Instant::now() >= end)
            {
                if !wait.is_zero() {
                    tokio::time::sleep(Duration::from_millis(faults.watch_ms)).await;
                }
                return Ok(found);
            }
            let _ = tokio::time::timeout_at(end, changed).await;
        }
    }
}

impl State {
    /// Counts a call; tells how long it takes, whether it is refused and
    /// whether its answer is lost.
    fn admit(&mut self, call: &StoreCall) -> (Duration, bool, bool) {
        let faults = self.faults;
        let counts = &mut self.counts;
        let (refused, lost) = match call {
            StoreCall::Vms => {
                counts.lists += 1;
                (faults.list_down, false)
            }
            StoreCall::Get { .. } | StoreCall::List { .. } | StoreCall::Watch { .. } => {
                counts.reads += 1;
                (faults.down || self.exceeds(1, 0), self.loses())
            }
            _ => {
                counts.writes += 1;
                (faults.down || self.exceeds(0, 1), self.loses())
            }
        };
        self.counts.refused += u64::from(refused);
        (Duration::from_millis(faults.slow_ms), refused, lost)
    }

    fn loses(&self) -> bool {
        let every = self.faults.lose_every;
        every > 0 && (self.counts.reads + self.counts.writes).is_multiple_of(every)
    }

    /// Counts towards the rates of this second.
    fn exceeds(&mut self, reads: u64, writes: u64) -> bool {
        let now = Instant::now();
        let second = self.second.get_or_insert((now, 0, 0));
        if now.duration_since(second.0) >= Duration::from_secs(1) {
            *second = (now, 0, 0);
        }
        second.1 += reads;
        second.2 += writes;
        let rate = |set: u64, default: u64| if set == 0 { default } else { set };
        second.1 > rate(self.faults.reads, READS) || second.2 > rate(self.faults.writes, WRITES)
    }

    /// The newest list of VMs that shows already.
    fn list(&mut self) -> Vec<Vm> {
        let now = Instant::now();
        let shown = self.vms.iter().rposition(|(at, _)| *at <= now);
        if let Some(shown) = shown {
            self.vms.drain(..shown);
        }
        let first = self.vms.first().filter(|(at, _)| *at <= now);
        first.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    fn apply(&mut self, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.expire(Instant::now());
        Ok(match call {
            StoreCall::Get { key } => StoreReply::Value(self.get(&key)),
            StoreCall::Swap {
                key,
                expect,
                value,
                lease,
            } => return self.swap(key, expect, value, lease),
            StoreCall::List {
                prefix,
                after,
                stale,
            } => match &self.stale {
                Some(copied) if stale && !after.is_empty() => {
                    page(&copied.keys, copied.revision, &prefix, &after)
                }
                _ => page(&self.keys, self.revision, &prefix, &after),
            },
            StoreCall::Watch { prefix, after, .. } => self.changes(&prefix, after),
            StoreCall::Grant { ttl } => {
                self.revision += 1;
                self.leases
                    .insert(self.revision, (Instant::now() + ttl, ttl));
                StoreReply::Lease(self.revision)
            }
            StoreCall::Renew { lease } => match self.leases.get_mut(&lease) {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    StoreReply::Lease(lease)
                }
                None => StoreReply::NoLease,
            },
            StoreCall::Revoke { lease } => {
                self.leases.remove(&lease);
                self.drop_keys(lease);
                StoreReply::NoLease
            }
            StoreCall::Vms => StoreReply::Vms(self.list()),
        })
    }

    fn get(&self, key: &str) -> Option<KeyValue> {
        let entry = self.keys.get(key)?;
        entry.value.as_ref()?;
        Some(key_value(key, entry))
    }

    fn swap(
        &mut self,
        key: String,
        expect: Revision,
        value: Option<Vec<u8>>,
        lease: u64,
    ) -> Result<StoreReply, StoreError> {
        if value.as_ref().is_some_and(|v| v.len() > MOST_BYTES) {
            return Err(StoreError::TooLarge);
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Ok(StoreReply::NoLease);
        }
        let stands = self.get(&key).map(|kv| kv.revision).unwrap_or_default();
        if stands != expect {
            return Ok(StoreReply::Conflict(stands));
        }
        self.revision += 1;
        let revision = self.revision;
        let entry = Entry {
            revision,
            value,
            lease,
        };
        self.keys.insert(key, entry);
        Ok(StoreReply::Swapped(Revision(revision)))
    }

    fn changes(&mut self, prefix: &str, after: Revision) -> StoreReply {
        self.expire(Instant::now());
        let mut found: Vec<_> = self
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.revision > after.0)
            .map(|(key, entry)| key_value(key, entry))
            .collect();
        found.sort_by_key(|kv| kv.revision);
        StoreReply::Changes(found, Revision(self.revision))
    }

    fn expire(&mut self, now: Instant) {
        let lapsed: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in lapsed {
            self.leases.remove(&lease);
            self.drop_keys(lease);
        }
    }

    fn drop_keys(&mut self, lease: u64) {
        for entry in self.keys.values_mut() {
            if entry.lease == lease && lease != 0 && entry.value.is_some() {
                self.revision += 1;
                entry.revision = self.revision;
                entry.value = None;
            }
        }
    }
}

fn page(keys: &BTreeMap<String, Entry>, revision: u64, prefix: &str, after: &str) -> StoreReply {
    let there = keys.iter().filter(|(key, entry)| {
        key.starts_with(prefix) && key.as_str() > after && entry.value.is_some()
    });
    let mut found: Vec<_> = there.map(|(key, entry)| key_value(key, entry)).collect();
    let more = found.len() > PAGE_KEYS;
    found.truncate(PAGE_KEYS);
    StoreReply::Page(found, more, Revision(revision))
}

/// Bytes of the keys and values in a reply.
fn reply_bytes(reply: &StoreReply) -> u64 {
    let found = match reply {
        StoreReply::Value(Some(found)) => std::slice::from_ref(found),
        StoreReply::Page(found, ..) | StoreReply::Changes(found, _) => found,
        _ => &[],
    };
    let sizes = found
        .iter()
        .map(|kv| kv.key.len() + kv.value.as_ref().map_or(0, Vec::len));
    sizes.map(|size| size as u64).sum()
}

fn key_value(key: &str, entry: &Entry) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        revision: Revision(entry.revision),
        value: entry.value.clone(),
    }
}
