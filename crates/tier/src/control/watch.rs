//! The leader's reading of the platform: configuration, the other leaders,
//! and the list of VMs; and its periodic work.

use std::sync::Arc;
use std::time::Duration;

use heatherrun_control::lead::Record;
use heatherrun_control::manifest::{PREFIX, Whole};
use heatherrun_control::replica::Scope;
use heatherrun_kernel::control::{Ask, Item, News};
use heatherrun_kernel::port::{KeyValue, StoreCall, StoreReply};
use heatherrun_kernel::{Epoch, Revision};

use super::{Control, Remote, State};

/// Prefix of the keys that name leaders.
pub(super) const LEAD: &str = "lead/";

/// Longest wait of one watch.
const WAIT: Duration = Duration::from_secs(10);

/// Time until a failed read is tried again.
const AGAIN: Duration = Duration::from_millis(500);

/// Time between two reads of the list of VMs.
const LIST: Duration = Duration::from_secs(2);

/// Time between two rounds of the leader's work.
const WORK: Duration = Duration::from_millis(200);

impl Control {
    /// Reads the store while this node leads.
    pub(super) async fn run_watch(self: &Arc<Self>) {
        let mut after = Revision(0);
        let mut wait = Duration::ZERO;
        loop {
            if !self.leads() {
                (after, wait) = (Revision(0), Duration::ZERO);
                self.idle(&self.read).await;
                continue;
            }
            let watch = StoreCall::Watch {
                prefix: String::new(),
                after,
                wait,
            };
            let reply = tokio::select! {
                biased;
                reply = self.store(watch) => Some(reply),
                () = self.read.notified() => None,
            };
            match reply {
                Some(Ok(StoreReply::Changes(found, revision))) => {
                    after = revision;
                    wait = WAIT;
                    self.on_changes(found);
                }
                Some(_) => {
                    wait = Duration::ZERO;
                    tokio::time::sleep(AGAIN).await;
                }
                None => wait = Duration::ZERO,
            }
        }
    }

    async fn idle(&self, notify: &tokio::sync::Notify) {
        tokio::select! {
            biased;
            () = notify.notified() => {}
            () = tokio::time::sleep(AGAIN) => {}
        }
    }

    fn on_changes(&self, found: Vec<KeyValue>) {
        let mut state = self.lock();
        let mut config = Vec::new();
        for change in found {
            if change.key.starts_with(PREFIX) {
                config.push(change);
            } else if change.key.starts_with(LEAD) {
                note_leader(&mut state, &change);
            }
        }
        state.pool.take(config);
        let Some(whole) = state.pool.whole() else {
            return;
        };
        if whole.revision > state.replica.head() {
            let news = news(&state, whole);
            self.take_news(&mut state, news, Scope::Nothing);
        }
    }

    /// Reads the list of VMs while this node leads.
    pub(super) async fn run_list(self: &Arc<Self>) {
        loop {
            if self.leads() {
                self.list_vms().await;
            }
            tokio::time::sleep(LIST).await;
        }
    }

    /// Does the leader's periodic work and tells members of changes.
    pub(super) async fn run_work(self: &Arc<Self>) {
        let mut told = 0;
        let mut head = Revision(0);
        loop {
            self.idle_work().await;
            let (peers, seq, now_head, waiting) = {
                let mut state = self.lock();
                let now = self.clock.now();
                if state.lead.tenure().is_none() {
                    continue;
                }
                self.tick_desk(&mut state, now);
                let now_head = state.head();
                let Some(desk) = &state.desk else {
                    continue;
                };
                let waiting = desk.grants.waiting();
                (desk.peers(self.info.id), desk.log.seq(), now_head, waiting)
            };
            if waiting.contains(&self.info.id) {
                self.beat.notify_one();
            }
            let urgent =
                now_head != head || (seq != told && peers.len() < heatherrun_control::cell::WHOLE);
            (head, told) = (now_head, seq);
            for peer in peers {
                if urgent || waiting.contains(&peer.id) {
                    let control = Arc::clone(self);
                    let nudge = Ask::Nudge(now_head);
                    tokio::spawn(async move { control.ask(&peer, nudge).await });
                }
            }
        }
    }

    async fn idle_work(&self) {
        tokio::select! {
            biased;
            () = self.work.notified() => {}
            () = tokio::time::sleep(WORK) => {}
        }
    }
}

/// Notes the leader of another failure domain, or that there is none.
fn note_leader(state: &mut State, change: &KeyValue) {
    let value = change.value.as_deref().unwrap_or_default();
    let Ok(record) = serde_json::from_slice::<Record>(value) else {
        return;
    };
    let domain = record.info.domain;
    let known = state.remotes.get(&domain);
    if known.is_some_and(|r| r.info == record.info) {
        return;
    }
    let heard = known.map(|r| r.heard).unwrap_or_default();
    let remote = Remote {
        info: record.info,
        term: Epoch(0),
        seen: 0,
        heard,
    };
    state.remotes.insert(domain, remote);
}

/// What a configuration read from the store changes, as news.
fn news(state: &State, whole: Whole) -> News {
    let mut items = Vec::new();
    for (name, part) in &state.replica.config {
        if !whole.parts.iter().any(|p| p.key == *name) {
            items.push(Item::Config(KeyValue {
                key: part.key.clone(),
                revision: whole.revision,
                value: None,
            }));
        }
    }
    items.extend(whole.parts.into_iter().map(Item::Config));
    items.push(Item::Head(whole.revision));
    News {
        items,
        more: true,
        ..News::default()
    }
}
