//! The leader's background tasks: watching the store for the configuration and
//! the other leaders, reading the list of VMs, and notifying members of
//! changes.

use std::sync::Arc;
use std::time::Duration;

use heatherrun_control::lead::LeaderRecord;
use heatherrun_control::manifest::{CONFIG_KEY_PREFIX, StoredConfig};
use heatherrun_control::replica::UpdateScope;
use heatherrun_kernel::control::{ControlRequest, LogEntry, LogUpdate};
use heatherrun_kernel::port::{KeyValue, StoreCall, StoreReply};
use heatherrun_kernel::{Epoch, Revision};

use super::{Control, ControlState, RemoteLeader};

/// Prefix of the store keys that name leaders.
pub(super) const LEADER_KEY_PREFIX: &str = "lead/";

/// Longest time that one watch call waits for changes.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);

/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval between two reads of the list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Longest interval between two runs of the leader's periodic work.
const LEADER_WORK_INTERVAL: Duration = Duration::from_millis(200);

impl Control {
    /// Watches the store while this node leads.
    pub(super) async fn run_store_watch(self: &Arc<Self>) {
        let mut after = Revision(0);
        let mut wait = Duration::ZERO;
        loop {
            if !self.leads() {
                (after, wait) = (Revision(0), Duration::ZERO);
                self.wait_for_wake(&self.store_wake).await;
                continue;
            }
            let watch = StoreCall::Watch {
                prefix: String::new(),
                after,
                wait,
            };
            let reply = tokio::select! {
                biased;
                reply = self.call_store(watch) => Some(reply),
                () = self.store_wake.notified() => None,
            };
            match reply {
                Some(Ok(StoreReply::Changes(changed, revision))) => {
                    after = revision;
                    wait = MAX_WATCH_WAIT;
                    self.apply_store_changes(changed);
                }
                Some(_) => {
                    wait = Duration::ZERO;
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                }
                None => wait = Duration::ZERO,
            }
        }
    }

    /// Waits for a notification, at most [`READ_RETRY_DELAY`].
    async fn wait_for_wake(&self, notify: &tokio::sync::Notify) {
        tokio::select! {
            biased;
            () = notify.notified() => {}
            () = tokio::time::sleep(READ_RETRY_DELAY) => {}
        }
    }

    /// Records changed leaders, and applies a new configuration once all its
    /// keys were read.
    fn apply_store_changes(&self, changed: Vec<KeyValue>) {
        let mut state = self.lock();
        let mut config_changes = Vec::new();
        for change in changed {
            if change.key.starts_with(CONFIG_KEY_PREFIX) {
                config_changes.push(change);
            } else if change.key.starts_with(LEADER_KEY_PREFIX) {
                record_leader(&mut state, &change);
            }
        }
        state.config_keys.add(config_changes);
        let Some(config) = state.config_keys.complete() else {
            return;
        };
        if config.revision > state.replica.head() {
            let updates = config_updates(&state, config);
            self.apply_updates(&mut state, updates, UpdateScope::Nothing);
        }
    }

    /// Reads the list of VMs while this node leads.
    pub(super) async fn run_vm_list(self: &Arc<Self>) {
        loop {
            if self.leads() {
                self.refresh_vm_list().await;
            }
            tokio::time::sleep(VM_LIST_INTERVAL).await;
        }
    }

    /// Does the leader's periodic work, and notifies members that should send a
    /// heartbeat at once. A leader of many members announces only a new revision
    /// to all; other updates reach them with their next heartbeat.
    pub(super) async fn run_leader_work(self: &Arc<Self>) {
        let mut announced_seq = 0;
        let mut announced_revision = Revision(0);
        loop {
            self.wait_for_work().await;
            let (peers, seq, current_revision, nodes_to_notify) = {
                let mut state = self.lock();
                let now = self.clock.now();
                if state.leadership.tenure().is_none() {
                    continue;
                }
                self.propagate_local_changes(&mut state, now);
                let current_revision = state.config_revision();
                let Some(domain_leader) = &state.domain_leader else {
                    continue;
                };
                let nodes_to_notify = domain_leader.grants.nodes_to_notify();
                (
                    domain_leader.peers(self.node_info.id),
                    domain_leader.log.seq(),
                    current_revision,
                    nodes_to_notify,
                )
            };
            if nodes_to_notify.contains(&self.node_info.id) {
                self.heartbeat_wake.notify_one();
            }
            let announce_all = current_revision != announced_revision
                || (seq != announced_seq
                    && peers.len() < heatherrun_control::cell::MAX_UNPARTITIONED_NODES);
            (announced_revision, announced_seq) = (current_revision, seq);
            for peer in peers {
                if announce_all || nodes_to_notify.contains(&peer.id) {
                    let control = Arc::clone(self);
                    let nudge = ControlRequest::Nudge(current_revision);
                    tokio::spawn(async move { control.send_message(&peer, nudge).await });
                }
            }
        }
    }

    /// Waits for a notification, at most [`LEADER_WORK_INTERVAL`].
    async fn wait_for_work(&self) {
        tokio::select! {
            biased;
            () = self.leader_wake.notified() => {}
            () = tokio::time::sleep(LEADER_WORK_INTERVAL) => {}
        }
    }
}

/// Records the leader that `change` names; a deleted or malformed key is
/// ignored, and the last known leader stays.
fn record_leader(state: &mut ControlState, change: &KeyValue) {
    let value = change.value.as_deref().unwrap_or_default();
    let Ok(record) = serde_json::from_slice::<LeaderRecord>(value) else {
        return;
    };
    let domain = record.info.domain;
    let known = state.remote_leaders.get(&domain);
    if known.is_some_and(|r| r.info == record.info) {
        return;
    }
    let last_heard = known.map(|r| r.last_heard).unwrap_or_default();
    let remote = RemoteLeader {
        info: record.info,
        term: Epoch(0),
        log_position: 0,
        last_heard,
    };
    state.remote_leaders.insert(domain, remote);
}

/// The updates that bring the replica to a configuration read from the store.
fn config_updates(state: &ControlState, config: StoredConfig) -> LogUpdate {
    let mut items = Vec::new();
    for (name, part) in &state.replica.config {
        if !config.parts.iter().any(|p| p.key == *name) {
            items.push(LogEntry::Config(KeyValue {
                key: part.key.clone(),
                revision: config.revision,
                value: None,
            }));
        }
    }
    items.extend(config.parts.into_iter().map(LogEntry::Config));
    items.push(LogEntry::Head(config.revision));
    LogUpdate {
        items,
        more: true,
        ..LogUpdate::default()
    }
}
