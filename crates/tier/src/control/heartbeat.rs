//! Heartbeats of a node to the leader of its failure domain, and the grants
//! and updates that come with the answers.

use std::sync::Arc;
use std::time::Duration;

use heatherrun_control::domain_leader;
use heatherrun_control::replica::UpdateScope;
use heatherrun_control::rights::Rights;
use heatherrun_kernel::control::{ControlAnswer, ControlRequest, Heartbeat, HeartbeatAnswer};
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::{Epoch, NodeId, Time};

use super::{Control, ControlState, KnownLeader};

/// Delay before the next heartbeat when a prompt one is needed, such as to
/// fetch more updates.
const FOLLOWUP_DELAY: Duration = Duration::from_millis(20);

/// Delay before the next heartbeat when the leader did not answer.
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Control {
    /// Sends heartbeats for ever, and logs when the view becomes uncertain or
    /// is confirmed again.
    pub(super) async fn run_heartbeats(self: &Arc<Self>) {
        let mut uncertain = false;
        loop {
            let delay = self.send_heartbeat().await;
            if self.doubted() != uncertain {
                uncertain = !uncertain;
                self.log_view_state(uncertain);
            }
            tokio::select! {
                biased;
                () = self.heartbeat_wake.notified() => {}
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    /// Logs a change between a confirmed and an uncertain view.
    fn log_view_state(&self, uncertain: bool) {
        let node = self.node_info.name.as_str();
        if uncertain {
            log::warn!(node; "view.doubted");
        } else {
            log::info!(node; "view.proved");
        }
    }

    /// Sends one heartbeat; returns the delay before the next one.
    async fn send_heartbeat(self: &Arc<Self>) -> Duration {
        let Some((leader, heartbeat)) = self.build_heartbeat() else {
            return HEARTBEAT_RETRY_DELAY;
        };
        let sent = heartbeat.sent;
        let answer = if leader.id == self.node_info.id {
            Some(self.handle_heartbeat(&heartbeat))
        } else {
            self.send_message(&leader, ControlRequest::Heartbeat(heartbeat))
                .await
        };
        match answer {
            Some(ControlAnswer::Heartbeat(answer)) if answer.echo == sent => {
                self.on_heartbeat_answer(&leader, answer)
            }
            Some(ControlAnswer::Refused(hint)) => {
                self.on_heartbeat_refused(&leader, hint);
                HEARTBEAT_RETRY_DELAY
            }
            _ => HEARTBEAT_RETRY_DELAY,
        }
    }

    /// Returns the leader and a heartbeat for it, or none while there is no
    /// leader.
    fn build_heartbeat(&self) -> Option<(NodeInfo, Heartbeat)> {
        let mut state = self.lock();
        let now = self.clock.now();
        if state.leadership.tenure().is_some() {
            // An elected node follows only itself, even before it can grant.
            state.domain_leader.as_ref()?;
            state.follow_leader(self.node_info.clone(), now);
        }
        let current_leader = state.current_leader.clone()?;
        let rights = self.prune_rights(now);
        let held = rights.reported_grants(now);
        let heartbeat = Heartbeat {
            from: self.node_info.id,
            info: state.send_full.then(|| self.node_info.clone()),
            sent: now,
            ack: state.acked_heartbeat,
            revision: state.config_revision(),
            load: (self.read_load)(),
            leaving: state.leaving,
            digest: heatherrun_control::grants::digest(&held),
            held: state.send_full.then_some(held),
            term: current_leader.term,
            log_position: current_leader.log_position,
        };
        Some((current_leader.info, heartbeat))
    }

    /// Drops rights that can no longer be used, so that the heartbeat does not
    /// report them; returns the rest.
    fn prune_rights(&self, now: Time) -> Arc<Rights> {
        let rights = self.rights.load_full();
        let mut pruned = Rights::clone(&rights);
        if rights.draining.is_empty() {
            pruned.drop_unusable(now, |_| false);
        } else {
            let reports = self.owner.reports();
            pruned.drop_unusable(now, |unit| {
                reports.iter().any(|(id, r)| *id == unit && r.in_flight > 0)
            });
        }
        if pruned == *rights {
            return rights;
        }
        let pruned = Arc::new(pruned);
        self.rights.store(Arc::clone(&pruned));
        pruned
    }

    /// Handles the refusal of a node that does not lead: follows the leader that
    /// it named, if any, and wakes the election.
    fn on_heartbeat_refused(&self, from: &NodeInfo, hint: Option<NodeId>) {
        let mut state = self.lock();
        let now = self.clock.now();
        let hinted = hint.and_then(|id| state.replica.view.nodes.get(&id));
        let info = hinted.map(|m| m.info.clone());
        if state
            .current_leader
            .as_ref()
            .is_none_or(|l| l.info != *from)
        {
            return;
        }
        state.current_leader = None;
        if let Some(info) = info
            && info.id != self.node_info.id
        {
            state.follow_leader(info, now);
        }
        self.election_wake.notify_one();
    }

    /// Applies the grants and updates of an answer; returns the delay before
    /// the next heartbeat.
    fn on_heartbeat_answer(&self, from: &NodeInfo, answer: HeartbeatAnswer) -> Duration {
        let mut state = self.lock();
        let now = self.clock.now();
        if state
            .current_leader
            .as_ref()
            .is_none_or(|l| l.info != *from)
        {
            return FOLLOWUP_DELAY;
        }
        state.leader_heard = now;
        state.acked_heartbeat = answer.echo;
        state.heartbeat_interval = answer.period;
        state.send_full = answer.resend_state;
        self.confirm_view(Time(
            now.0
                .saturating_sub(heatherrun_kernel::time::micros(answer.age)),
        ));
        self.apply_grants(&mut state, now, &answer);
        let (term, log_position, more) =
            (answer.term, answer.update.log_position, answer.update.more);
        let is_leader = from.id == self.node_info.id;
        if !is_leader {
            // Another node leads now, so the state kept for a re-election of
            // this one is stale.
            state.domain_leader = None;
        }
        let patch_failed =
            !is_leader && self.apply_updates(&mut state, answer.update, UpdateScope::All);
        state.current_leader = Some(KnownLeader {
            info: from.clone(),
            term: if patch_failed { Epoch(0) } else { term },
            log_position,
        });
        // The leader frees a unit once a heartbeat no longer reports it.
        let units_changed = answer.grants.is_some() || !self.rights.load().draining.is_empty();
        if answer.resend_state || units_changed || (more && !is_leader) {
            return FOLLOWUP_DELAY;
        }
        if is_leader {
            domain_leader::heartbeat_interval(1)
        } else {
            answer.period
        }
    }

    /// Replaces the rights by the grants of an answer, or extends them when
    /// the leader confirmed the digest that was sent.
    fn apply_grants(&self, state: &mut ControlState, now: Time, answer: &HeartbeatAnswer) {
        let until = answer.echo + answer.valid;
        let unix_ms = self.unix_ms();
        let mut rights = Rights::clone(&self.rights.load());
        rights.store_unavailable = answer.store_unavailable;
        if let Some(grants) = &answer.grants {
            self.close_moved_records(state, &rights, grants);
            rights.replace_grants(now, grants, unix_ms);
            rights.valid_until = until;
        } else if !answer.resend_state {
            rights.extend(now, until, unix_ms);
        }
        self.rights.store(Arc::new(rights));
    }
}
