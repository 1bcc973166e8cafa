//! Update requests to peers: leaders pull updates from each other at a fixed
//! interval, and a node without a responsive leader queries several peers for
//! one and for the configuration.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use heatherrun_control::grants::UNRESPONSIVE_TIMEOUT;
use heatherrun_control::replica::UpdateScope;
use heatherrun_control::rights::Rights;
use heatherrun_kernel::control::{
    ControlAnswer, ControlRequest, LogEntry, LogUpdate, MemberUpdate, UpdateAnswer, UpdateRequest,
};
use heatherrun_kernel::message::NodeInfo;
use heatherrun_kernel::view::Availability;
use heatherrun_kernel::{DomainId, Epoch, NodeId};

use super::{Control, ControlState, RemoteLeader};

/// Interval between two pulls from another leader.
const LEADER_PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Most peers that a node without a responsive leader queries.
const MAX_QUERIED_PEERS: usize = 4;

impl Control {
    /// Pulls updates from the other leaders while this node leads.
    pub(super) async fn run_leader_pulls(self: &Arc<Self>) {
        loop {
            tokio::time::sleep(LEADER_PULL_INTERVAL).await;
            if !self.leads() {
                continue;
            }
            let others = self.other_leaders();
            join_all(
                others
                    .iter()
                    .map(|(domain, remote)| self.pull_leader(*domain, remote)),
            )
            .await;
            self.mark_unresponsive();
        }
    }

    /// Known leaders of the other failure domains.
    fn other_leaders(&self) -> Vec<(DomainId, RemoteLeader)> {
        let state = self.lock();
        let is_remote = |d: &DomainId| *d != self.node_info.domain;
        let others = state.remote_leaders.iter().filter(|(d, _)| is_remote(d));
        others.map(|(d, r)| (*d, r.clone())).collect()
    }

    /// Pulls updates from the leader of `domain`. A node that leads no more
    /// names its successor, which is pulled next time.
    async fn pull_leader(&self, domain: DomainId, remote: &RemoteLeader) {
        let request = UpdateRequest {
            from: self.node_info.id,
            term: remote.term,
            log_position: remote.log_position,
        };
        let Some(ControlAnswer::Update(answer)) = self
            .send_message(&remote.info, ControlRequest::Update(request))
            .await
        else {
            return;
        };
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(current) = state.remote_leaders.get_mut(&domain) else {
            return;
        };
        if answer.term == Epoch(0) {
            if let Some(leader) = answer.leader.filter(|l| l.domain == domain) {
                *current = RemoteLeader {
                    info: leader,
                    term: Epoch(0),
                    log_position: 0,
                    last_heard: current.last_heard,
                };
            }
            return;
        }
        *current = RemoteLeader {
            info: remote.info.clone(),
            term: answer.term,
            log_position: answer.update.log_position,
            last_heard: now,
        };
        if self.apply_updates(&mut state, answer.update, UpdateScope::Domain(domain))
            && let Some(current) = state.remote_leaders.get_mut(&domain)
        {
            current.term = Epoch(0);
        }
    }

    /// Marks the nodes of a failure domain whose leader is unresponsive as
    /// unresponsive too, and as gone when the platform no longer lists them.
    fn mark_unresponsive(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut items = Vec::new();
        let ControlState {
            remote_leaders,
            replica,
            listed_vms,
            ..
        } = &mut *state;
        for member in replica.view.nodes.values() {
            let domain = member.info.domain;
            if domain == self.node_info.domain {
                continue;
            }
            let remote = remote_leaders.get_mut(&domain);
            if remote
                .as_ref()
                .is_some_and(|r| now.since(r.last_heard) < UNRESPONSIVE_TIMEOUT)
            {
                continue;
            }
            if let Some(remote) = remote {
                remote.term = Epoch(0);
            }
            if !listed_vms
                .iter()
                .any(|vm| NodeId::from_name(&vm.name) == member.info.id)
            {
                items.push(LogEntry::Left(member.info.id));
                continue;
            }
            items.push(LogEntry::Member(MemberUpdate {
                info: member.info.clone(),
                standing: Availability::Silent,
                load: member.load,
            }));
        }
        let updates = LogUpdate {
            items,
            more: true,
            ..LogUpdate::default()
        };
        self.apply_updates(&mut state, updates, UpdateScope::Nothing);
    }

    /// Queries some peers, those of this failure domain first, for a leader and
    /// for the configuration. Returns true once one names a responsive leader.
    ///
    /// While the store fails, an answer also extends the rights: it shows that
    /// this node is not cut off itself.
    pub(super) async fn query_peers(&self) -> bool {
        let sent = self.clock.now();
        let (peers, revision, store_down) = {
            let state = self.lock();
            (
                self.nearest_peers(&state),
                state.config_revision(),
                state.store_failed.is_some(),
            )
        };
        let request = UpdateRequest {
            from: self.node_info.id,
            term: Epoch(0),
            log_position: revision.0,
        };
        let queries = peers
            .iter()
            .map(|p| self.send_message(p, ControlRequest::Update(request.clone())));
        let mut answers: FuturesUnordered<_> = queries.collect();
        while let Some(answer) = answers.next().await {
            let Some(ControlAnswer::Update(answer)) = answer else {
                continue;
            };
            if store_down {
                let mut rights = Rights::clone(&self.rights.load());
                rights.confirm_outage(sent);
                self.rights.store(Arc::new(rights));
            }
            if self.on_update_answer(answer) {
                return true;
            }
        }
        false
    }

    /// Applies the updates of an answer, and follows the leader that it names.
    /// Returns false when it names none that could be followed.
    fn on_update_answer(&self, answer: UpdateAnswer) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let updates = LogUpdate {
            reset: false,
            more: true,
            ..answer.update
        };
        self.apply_updates(&mut state, updates, UpdateScope::Nothing);
        let in_domain =
            |l: &NodeInfo| l.domain == self.node_info.domain && l.id != self.node_info.id;
        let Some(leader) = answer.leader.filter(in_domain) else {
            return false;
        };
        let unresponsive = state.is_leaderless(now)
            && state
                .current_leader
                .as_ref()
                .is_some_and(|l| l.info == leader);
        if unresponsive {
            return false;
        }
        state.follow_leader(leader, now);
        self.heartbeat_wake.notify_one();
        true
    }

    /// The peers to query: responsive ones first, then those of this failure
    /// domain.
    fn nearest_peers(&self, state: &ControlState) -> Vec<NodeInfo> {
        let others = state.replica.view.nodes.values();
        let mut peers: Vec<_> = others.filter(|m| m.info.id != self.node_info.id).collect();
        let sort_key = |m: &&heatherrun_kernel::view::Member| {
            let unresponsive = m.standing == Availability::Silent;
            (
                unresponsive,
                m.info.domain != self.node_info.domain,
                m.info.id,
            )
        };
        peers.sort_by_key(sort_key);
        peers
            .into_iter()
            .take(MAX_QUERIED_PEERS)
            .map(|m| m.info.clone())
            .collect()
    }
}
