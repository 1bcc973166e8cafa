//! Control plane of one node: runs the tasks that carry out the decisions of
//! `heatherrun_control`, with its network and store calls.
//!
//! Every node sends heartbeats to the leader of its failure domain
//! ([`heartbeat`]). A node without a responsive leader takes part in an
//! election ([`election`]). Only the leader watches the store ([`watch`]),
//! pulls updates from the leaders of other failure domains ([`peer_sync`]) and
//! leads failure domains that have no nodes ([`orphans`]). Once-only records
//! move with their partition ([`once_records`]). [`shutdown`] drains the node.

pub mod election;
pub mod heartbeat;
pub mod once_records;
pub mod orphans;
pub mod peer_sync;
pub mod shutdown;
pub mod watch;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use heatherrun_control::domain_leader::{self, DomainLeader, HeartbeatContext};
use heatherrun_control::grants;
use heatherrun_control::lead::Leadership;
use heatherrun_control::manifest::ConfigKeys;
use heatherrun_control::replica::{self, Change, Replica, UpdateScope};
use heatherrun_control::rights::Rights;
use heatherrun_kernel::control::{
    ControlAnswer, ControlRequest, Heartbeat, LogEntry, LogUpdate, MemberUpdate, RolloutStatus,
    UpdateAnswer, UpdateRequest,
};
use heatherrun_kernel::message::{NodeInfo, OnceRecords};
use heatherrun_kernel::port::{Peers, Platform, StoreCall, StoreError, StoreReply, Vm, VmState};
use heatherrun_kernel::view::Availability;
use heatherrun_kernel::{Clock, DomainId, Epoch, NodeId, Revision, TargetId, Time, ViewCell};
use tokio::sync::Notify;

use crate::owner::Owner;

/// Added to two heartbeat intervals: without an answer for this long, the
/// leader counts as unresponsive.
const LEADER_TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// A view that was last confirmed fresh this long ago is uncertain.
const MAX_VIEW_AGE: Duration = Duration::from_secs(15);

/// Returns the current load of this node in per cent.
pub type LoadFn = Arc<dyn Fn() -> u8 + Send + Sync>;

/// Closes a partition to further claims and returns its once-only records.
pub type ExportFn = Arc<dyn Fn(TargetId) -> Option<OnceRecords> + Send + Sync>;

/// The leader that this node follows.
#[derive(Clone, Debug)]
struct KnownLeader {
    info: NodeInfo,
    /// Term that `log_position` belongs to; zero before the first answer.
    term: Epoch,
    /// Position in the leader's log up to which updates were received.
    log_position: u64,
}

/// The leader of another failure domain, as the local leader knows it.
#[derive(Clone, Debug)]
struct RemoteLeader {
    info: NodeInfo,
    /// Term that `log_position` belongs to; zero requests the whole log.
    term: Epoch,
    /// Position in the leader's log up to which updates were received.
    log_position: u64,
    /// When it last answered an update request as leader.
    last_heard: Time,
}

/// Mutable control-plane state of one node.
struct ControlState {
    /// This node's part in the election of its failure domain.
    leadership: Leadership,
    current_leader: Option<KnownLeader>,
    /// When `current_leader` last answered a heartbeat, or was first followed.
    leader_heard: Time,
    /// Send time of the last heartbeat that was answered.
    acked_heartbeat: Time,
    /// Interval that the leader asked for in its last answer.
    heartbeat_interval: Duration,
    /// Whether the next heartbeat includes the node's addresses and all units
    /// that it holds, instead of their digest only.
    send_full: bool,
    /// Whether this node is draining.
    leaving: bool,
    /// Configuration, nodes and owners as received from leaders.
    replica: Replica,
    /// State of the leader role, kept after a lease is lost until another node
    /// is known to lead.
    domain_leader: Option<DomainLeader>,
    /// Configuration keys read from the store.
    config_keys: ConfigKeys,
    remote_leaders: BTreeMap<DomainId, RemoteLeader>,
    /// VMs in the platform's list, as last read.
    listed_vms: Vec<Vm>,
    /// Records of partitions that this node no longer holds, to be sent to
    /// the next holders.
    once_records: Vec<OnceRecords>,
    /// When the store last answered this node.
    store_answered: Time,
    /// When a store call last failed; none once one succeeds again.
    store_failed: Option<Time>,
}

/// The control plane of one node.
pub struct Control {
    node_info: NodeInfo,
    clock: Clock,
    view: Arc<ViewCell>,
    rights: Arc<ArcSwap<Rights>>,
    owner: Arc<Owner>,
    read_load: LoadFn,
    export_records: ExportFn,
    peers: Peers,
    platform: Platform,
    state: Mutex<ControlState>,
    /// Time up to which the view is confirmed fresh, in microseconds on the
    /// node's clock.
    confirmed_at: AtomicU64,
    /// Configuration writes started here; makes their ids unique.
    write_count: AtomicU64,
    /// Triggers a heartbeat at once.
    heartbeat_wake: Notify,
    /// Wakes the election task.
    election_wake: Notify,
    /// Wakes the leader's periodic task.
    leader_wake: Notify,
    /// Interrupts the leader's watch so that it reads the store at once.
    store_wake: Notify,
}

/// Dependencies of a [`Control`].
pub struct Parts {
    /// Names and addresses of this node.
    pub info: NodeInfo,
    /// Clock of the runtime.
    pub clock: Clock,
    /// View of the tier that requests use; updated by the control plane.
    pub view: Arc<ViewCell>,
    /// Units that the node may use; updated by the control plane.
    pub rights: Arc<ArcSwap<Rights>>,
    /// Sends calls to the targets that this node owns.
    pub owner: Arc<Owner>,
    /// Returns the load of the node.
    pub load: LoadFn,
    /// Closes a partition that moves to another node and returns its records.
    pub export: ExportFn,
    /// Sends messages to other nodes.
    pub peers: Peers,
    /// Calls the platform's store and VM list.
    pub platform: Platform,
}

impl Control {
    /// Creates the control plane with an empty view and no leader.
    #[must_use]
    pub fn new(parts: Parts) -> Arc<Self> {
        let state = ControlState {
            leadership: Leadership::new(parts.info.id),
            current_leader: None,
            leader_heard: Time(0),
            acked_heartbeat: Time(0),
            heartbeat_interval: domain_leader::heartbeat_interval(1),
            send_full: true,
            leaving: false,
            replica: Replica::default(),
            domain_leader: None,
            config_keys: ConfigKeys::default(),
            remote_leaders: BTreeMap::new(),
            listed_vms: Vec::new(),
            once_records: Vec::new(),
            store_answered: Time(0),
            store_failed: None,
        };
        Arc::new(Self {
            node_info: parts.info,
            clock: parts.clock,
            view: parts.view,
            rights: parts.rights,
            owner: parts.owner,
            read_load: parts.load,
            export_records: parts.export,
            peers: parts.peers,
            platform: parts.platform,
            state: Mutex::new(state),
            confirmed_at: AtomicU64::new(0),
            write_count: AtomicU64::new(0),
            heartbeat_wake: Notify::new(),
            election_wake: Notify::new(),
            leader_wake: Notify::new(),
            store_wake: Notify::new(),
        })
    }

    /// Runs all control tasks of the node; never returns.
    pub async fn run(self: &Arc<Self>) {
        self.refresh_vm_list().await;
        tokio::join!(
            self.run_election(),
            self.run_heartbeats(),
            self.run_leader_work(),
            self.run_store_watch(),
            self.run_vm_list(),
            self.run_leader_pulls(),
            self.run_orphan_leadership(),
        );
    }

    /// Handles a control message of a peer. Messages that [`Control`] does not
    /// serve are refused.
    #[must_use]
    pub fn answer(&self, message: &ControlRequest) -> ControlAnswer {
        match message {
            ControlRequest::Heartbeat(heartbeat) => self.handle_heartbeat(heartbeat),
            ControlRequest::Update(request) => {
                ControlAnswer::Update(self.handle_update_request(request))
            }
            ControlRequest::Nudge(_) => {
                self.heartbeat_wake.notify_one();
                self.store_wake.notify_one();
                ControlAnswer::Accepted
            }
            ControlRequest::Drain => {
                self.begin_stop();
                ControlAnswer::Accepted
            }
            ControlRequest::Rollout => ControlAnswer::Rollout(self.lock().local_rollout()),
            _ => ControlAnswer::Refused(None),
        }
    }

    /// Answers a heartbeat of a member, or refuses it and names the leader when
    /// this node does not lead.
    fn handle_heartbeat(&self, heartbeat: &Heartbeat) -> ControlAnswer {
        let mut state = self.lock();
        let now = self.clock.now();
        state.leadership.check_lease(now);
        let tenure = state.leadership.tenure();
        let store_age = now.since(state.store_answered);
        let revision = state.replica.head();
        let has_contact = state.has_contact(&self.node_info, now);
        let ControlState {
            domain_leader,
            current_leader,
            ..
        } = &mut *state;
        let (Some(tenure), Some(domain_leader)) = (tenure, domain_leader) else {
            let hint = current_leader.as_ref().map(|l| l.info.id);
            return ControlAnswer::Refused(hint.filter(|id| *id != self.node_info.id));
        };
        let context = HeartbeatContext {
            now,
            me: self.node_info.id,
            tenure: &tenure,
            store_age,
            has_contact,
        };
        let answer = domain_leader.on_heartbeat(&context, heartbeat);
        if heartbeat.revision > revision {
            log::info!(node = heartbeat.from.to_string().as_str(), revision = heartbeat.revision.0; "config.peer_newer");
            self.store_wake.notify_one();
        }
        self.propagate_local_changes(&mut state, now);
        ControlAnswer::Heartbeat(answer)
    }

    /// Answers an update request: a leader sends its log from the requested
    /// position, any other node names its leader and sends everything that it
    /// knows.
    fn handle_update_request(&self, request: &UpdateRequest) -> UpdateAnswer {
        let state = self.lock();
        let now = self.clock.now();
        let leads = state.leadership.tenure().is_some();
        let up_to_date = request.term == Epoch(0) && request.log_position == state.replica.head().0;
        if leads && let Some(domain_leader) = &state.domain_leader {
            let sender = state.replica.view.nodes.get(&request.from);
            let domain = sender.map_or(self.node_info.domain, |m| m.info.domain);
            let updates = if up_to_date {
                LogUpdate::default()
            } else {
                domain_leader.updates_for_peer(domain, request.term, request.log_position)
            };
            return UpdateAnswer {
                leader: Some(self.node_info.clone()),
                term: domain_leader.term(),
                update: updates,
            };
        }
        let responsive = now.since(state.leader_heard) < state.leader_timeout();
        let current_leader = state.current_leader.as_ref().filter(|_| responsive);
        let items = if up_to_date {
            Vec::new()
        } else {
            replica::state_items(&state.replica)
        };
        UpdateAnswer {
            leader: current_leader.map(|l| l.info.clone()),
            term: Epoch(0),
            update: LogUpdate {
                items,
                more: true,
                ..LogUpdate::default()
            },
        }
    }

    fn lock(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this node leads its failure domain.
    #[must_use]
    pub fn leads(&self) -> bool {
        let state = self.lock();
        state.domain_leader.is_some() && state.leadership.tenure().is_some()
    }

    /// Whether the view of this node is uncertain because it was not confirmed
    /// fresh recently.
    #[must_use]
    pub fn doubted(&self) -> bool {
        self.view_age() >= MAX_VIEW_AGE
    }

    /// Time since the view was last confirmed fresh.
    #[must_use]
    pub fn view_age(&self) -> Duration {
        let confirmed_at = Time(self.confirmed_at.load(Ordering::Relaxed));
        self.clock.now().since(confirmed_at)
    }

    /// Records that the view was fresh at `at`; an earlier time has no effect.
    fn confirm_view(&self, at: Time) {
        self.confirmed_at.fetch_max(at.0, Ordering::Relaxed);
    }

    /// On how many nodes the configuration is in force, for each failure
    /// domain. In a large tier only leaders receive this, so another node asks
    /// its leader and uses its own state when that does not answer.
    pub async fn rollout_status(&self) -> Vec<RolloutStatus> {
        let (local, leader) = {
            let state = self.lock();
            let leader = state.current_leader.as_ref().map(|l| l.info.clone());
            (state.local_rollout(), leader)
        };
        let Some(leader) = leader.filter(|l| l.id != self.node_info.id) else {
            return local;
        };
        match self.send_message(&leader, ControlRequest::Rollout).await {
            Some(ControlAnswer::Rollout(rollout)) => rollout,
            _ => local,
        }
    }

    /// Services of the configuration in force, as declared.
    #[must_use]
    pub fn services(&self) -> Vec<heatherrun_schema::v1::Service> {
        let state = self.lock();
        heatherrun_control::manifest::config(state.replica.config.values()).services
    }

    /// Unix time in milliseconds: the start time of the process plus the time
    /// that the runtime's clock has advanced since.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.node_info.started + self.clock.now().0 / 1_000
    }

    /// Returns a new id for a configuration write, unique across nodes and
    /// restarts.
    #[must_use]
    pub fn write_id(&self) -> String {
        let count = self.write_count.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{:x}-{count:x}",
            self.node_info.id, self.node_info.started
        )
    }

    /// Notifies the leader that the configuration changed, so that it reads
    /// the store at once.
    pub async fn announce_revision(&self, revision: Revision) {
        self.store_wake.notify_one();
        let leader = self.lock().current_leader.as_ref().map(|l| l.info.clone());
        if let Some(leader) = leader.filter(|l| l.id != self.node_info.id) {
            self.send_message(&leader, ControlRequest::Nudge(revision))
                .await;
        }
    }

    /// Requests the drain of another node; returns whether it accepted.
    pub async fn request_drain(&self, node: &NodeInfo) -> bool {
        matches!(
            self.send_message(node, ControlRequest::Drain).await,
            Some(ControlAnswer::Accepted)
        )
    }

    /// Makes one call to the platform and records whether the store answered.
    /// The VM list is not served by the store, so its calls don't count.
    pub(crate) async fn call_store(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        let is_store_call = !matches!(call, StoreCall::Vms);
        let reply = (self.platform.call)(call).await.result;
        if is_store_call {
            let now = self.clock.now();
            let mut state = self.lock();
            match &reply {
                Ok(_) => {
                    state.store_answered = now;
                    state.store_failed = None;
                }
                Err(_) => state.store_failed = Some(now),
            }
        }
        reply
    }

    /// Applies updates to the replica, publishes the new view and, on a leader,
    /// propagates the change. Returns true when a patch failed and the updates
    /// must be sent again.
    fn apply_updates(
        &self,
        state: &mut ControlState,
        updates: LogUpdate,
        scope: UpdateScope,
    ) -> bool {
        let change = state.replica.apply(updates, scope);
        let patch_failed = change.patch_failed;
        self.propagate_change(state, change);
        patch_failed
    }

    /// Publishes a change of the replica and passes it on to the tasks that
    /// depend on it.
    fn propagate_change(&self, state: &mut ControlState, change: Change) {
        if change.is_empty() {
            return;
        }
        if let Some(revision) = change.head {
            log::info!(node = self.node_info.name.as_str(), revision = revision.0; "config.in_force");
        }
        let new_revision = change.head.is_some();
        let needs_plan = change.head.is_some() || has_node_change(&change.items);
        self.publish_view(state);
        let now = self.clock.now();
        let ControlState {
            domain_leader,
            replica,
            ..
        } = state;
        if let Some(domain_leader) = domain_leader {
            domain_leader.publish(change.into_items());
            if needs_plan {
                domain_leader.update_units(now, replica);
            }
            self.leader_wake.notify_one();
        }
        if new_revision {
            self.heartbeat_wake.notify_one();
        }
        self.forward_records(state);
    }

    /// Makes the replica's view the one that requests use.
    fn publish_view(&self, state: &ControlState) {
        let confirmed_at = Time(self.confirmed_at.load(Ordering::Relaxed));
        let new_view = &state.replica.view;
        self.view.update(|view| {
            view.clone_from(new_view);
            view.confirmed_at = confirmed_at;
        });
    }

    /// Applies and propagates the changes that the leader found in its own
    /// failure domain, such as unresponsive members.
    fn propagate_local_changes(&self, state: &mut ControlState, now: Time) {
        let revision = state.replica.head();
        let Some(domain_leader) = &mut state.domain_leader else {
            return;
        };
        let updates = LogUpdate {
            items: domain_leader.collect_updates(now, revision),
            more: true,
            ..LogUpdate::default()
        };
        self.apply_updates(state, updates, UpdateScope::Nothing);
    }

    /// Reads the platform's list of VMs, and adds VMs that are not known yet
    /// as nodes.
    async fn refresh_vm_list(&self) {
        let Ok(StoreReply::Vms(vms)) = self.call_store(StoreCall::Vms).await else {
            return;
        };
        let now = self.clock.now();
        let mut state = self.lock();
        let mut items = Vec::new();
        for vm in &vms {
            let info = domain_leader::node_info(vm);
            if state.replica.view.nodes.contains_key(&info.id) {
                continue;
            }
            items.push(LogEntry::Member(MemberUpdate {
                info,
                standing: match vm.state {
                    VmState::Live => Availability::Live,
                    VmState::Leaving => Availability::Leaving,
                },
                load: 0,
            }));
        }
        if let Some(domain_leader) = &mut state.domain_leader {
            domain_leader.set_listed_vms(now, &vms);
        }
        state.listed_vms = vms;
        let updates = LogUpdate {
            items,
            more: true,
            ..LogUpdate::default()
        };
        self.apply_updates(&mut state, updates, UpdateScope::Nothing);
    }

    /// Sends a control message; returns none when no answer came.
    async fn send_message(&self, to: &NodeInfo, message: ControlRequest) -> Option<ControlAnswer> {
        (self.peers.control)((to.peers, message)).await.ok()
    }
}

impl ControlState {
    /// The rollout status of each failure domain as known locally.
    fn local_rollout(&self) -> Vec<RolloutStatus> {
        self.replica.rollouts.values().cloned().collect()
    }

    /// A leader that was not heard from for this long is unresponsive.
    fn leader_timeout(&self) -> Duration {
        self.heartbeat_interval * 2 + LEADER_TIMEOUT_SLACK
    }

    /// Whether no leader is known, or the known one is unresponsive.
    fn is_leaderless(&self, now: Time) -> bool {
        self.current_leader.is_none() || now.since(self.leader_heard) >= self.leader_timeout()
    }

    /// Whether a leader of another failure domain answered recently, or no
    /// other node is known.
    fn has_contact(&self, local: &NodeInfo, now: Time) -> bool {
        let others = self
            .remote_leaders
            .iter()
            .filter(|(d, _)| **d != local.domain);
        let mut recent =
            others.map(|(_, r)| now.since(r.last_heard) < grants::UNRESPONSIVE_TIMEOUT);
        let alone = self.replica.view.nodes.keys().all(|n| *n == local.id);
        alone || recent.any(|r| r)
    }

    /// Follows a new leader, which needs all updates and a full heartbeat. Does
    /// nothing when it is the current leader already.
    fn follow_leader(&mut self, info: NodeInfo, now: Time) {
        if self.current_leader.as_ref().is_some_and(|l| l.info == info) {
            return;
        }
        self.current_leader = Some(KnownLeader {
            info,
            term: Epoch(0),
            log_position: 0,
        });
        self.leader_heard = now;
        self.send_full = true;
    }

    fn config_revision(&self) -> Revision {
        self.replica.head()
    }
}

/// Whether a node changed or left, so that units must be assigned again.
fn has_node_change(items: &[LogEntry]) -> bool {
    items
        .iter()
        .any(|i| matches!(i, LogEntry::Member(_) | LogEntry::Left(_)))
}

/// Store key that names the leader of `domain`.
fn leader_key(domain: DomainId) -> String {
    format!("{}{domain}", watch::LEADER_KEY_PREFIX)
}

/// Store key that records the last term of `domain` and how it ended.
fn term_key(domain: DomainId) -> String {
    format!("term/{domain}")
}

/// Live nodes of `domain`, ranked by rendezvous hashing: the order in which
/// they try to become leader.
fn election_candidates(state: &ControlState, domain: DomainId) -> Vec<NodeId> {
    let nodes = state.replica.view.nodes.values();
    let live = nodes.filter(|m| m.info.domain == domain && m.standing == Availability::Live);
    let mut ids: Vec<_> = live.map(|m| m.info.id).collect();
    let seed = heatherrun_kernel::TargetId(domain.0);
    ids.sort_by_key(|n| std::cmp::Reverse(heatherrun_control::rendezvous::weight(seed, *n)));
    ids
}

/// Longest time until a unit whose holder is gone gets a new owner.
pub const MAX_TAKEOVER_DELAY: Duration = grants::UNIT_RELEASE_DELAY;
