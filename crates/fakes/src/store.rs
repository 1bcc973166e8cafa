//! The platform's key-value service and VM list in memory.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use heatherrun_kernel::Revision;
use heatherrun_kernel::port::{
    KeyValue, Platform, StoreCall, StoreError, StoreReply, Vm, async_fn,
};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Largest value, in bytes.
const MOST_BYTES: usize = 1 << 20;

#[derive(Default)]
struct State {
    revision: u64,
    calls: u64,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    vms: Vec<Vm>,
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
        self.lock().calls
    }

    /// Sets the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().vms = vms;
    }

    /// The port of this store.
    #[must_use]
    pub fn platform(&self) -> Platform {
        let store = self.clone();
        Platform {
            call: async_fn(move |call| {
                let store = store.clone();
                async move { store.call(call).await }
            }),
        }
    }

    /// Makes one call.
    ///
    /// # Errors
    /// [`StoreError::TooLarge`] when a value exceeds the limit.
    pub async fn call(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.lock().calls += 1;
        if let StoreCall::Watch {
            prefix,
            after,
            wait,
        } = &call
        {
            return Ok(self.watch(prefix, *after, *wait).await);
        }
        let reply = self.lock().apply(call);
        self.changed.notify_waiters();
        reply
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> StoreReply {
        let end = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let found = self.lock().changes(prefix, after);
            if let StoreReply::Changes(keys, _) = &found
                && (!keys.is_empty() || Instant::now() >= end)
            {
                return found;
            }
            let _ = tokio::time::timeout_at(end, changed).await;
        }
    }
}

impl State {
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
            StoreCall::Vms => StoreReply::Vms(self.vms.clone()),
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

fn key_value(key: &str, entry: &Entry) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        revision: Revision(entry.revision),
        value: entry.value.clone(),
    }
}
