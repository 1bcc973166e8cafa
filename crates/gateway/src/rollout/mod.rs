//! Roll-outs of a service's version at this node: what it knows of each order,
//! the policy that requests follow, and the counts of calls by version. See
//! `docs/design/rollouts.md`.
//!
//! [`decider`] decides on the orders if this node holds the lease, [`report`]
//! sends the counts to the node that does.

pub mod decider;
pub mod inbox;
pub mod observer;
pub mod report;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwap;
use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, NodeEntry, RolloutOrder, RolloutStatus};
use heatherrun_routing::rollout::Limits;
use heatherrun_routing::rollout::exposure::first_credit;
use heatherrun_routing::rollout::policy::{Groups, MAX_VIEW_AGE, Mode, Policy};
use heatherrun_routing::rollout::state::RolloutState;
use heatherrun_routing::rollout::step;
use heatherrun_routing::target::Target;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use self::inbox::Inbox;
pub use self::observer::{Attempt, observe};

/// Age of the process below which it may have counted calls to the version
/// before a restart, so that its first call is not rounded up.
const RESTART_TIME: Time = Time::from_millis(5_000);

/// The node that decides on roll-outs, as it registers in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeciderEntry {
    /// Format; 1.
    pub v: u32,
    /// Name of the node.
    pub node: Name,
    /// Its address for other nodes.
    pub peers: SocketAddr,
}

/// What this node knows of the roll-out of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// The order and its store revision.
    pub order: Option<(RolloutOrder, u64)>,
    /// When this node learned of the order.
    pub order_seen: Time,
    /// The latest state.
    pub state: Option<RolloutState>,
    /// Store revision of the state's key; zero if it is absent.
    pub state_revision: u64,
    /// Number of the state in the store. It is lower than that of the latest
    /// state after the store came back from a copy.
    pub stored_seq: u64,
    /// When this node learned of the state.
    pub state_seen: Time,
    /// Since when the state has its phase.
    pub phase_since: Time,
    /// The published status.
    pub status: Option<RolloutStatus>,
    /// Store revision of the status; zero if it is absent.
    pub status_revision: u64,
    /// Counts of the present order.
    attempt: Option<Arc<Attempt>>,
}

impl ServiceView {
    /// The order with its revision, borrowed.
    #[must_use]
    pub fn order(&self) -> Option<(&RolloutOrder, u64)> {
        self.order
            .as_ref()
            .map(|(order, revision)| (order, *revision))
    }

    /// Whether a decider is needed for the service.
    #[must_use]
    pub fn has_work(&self) -> bool {
        let is_unstored = self.state.as_ref().is_some_and(|s| s.seq > self.stored_seq);
        is_unstored || step::has_work(self.order(), self.state.as_ref(), self.status.as_ref())
    }
}

/// What requests follow for one service.
#[derive(Debug)]
pub struct Followed {
    policy: Policy,
    /// Number of the state that this is from.
    pub seq: u64,
    /// Counts of the present order; none once it is decided.
    pub attempt: Option<Arc<Attempt>>,
}

impl Followed {
    /// Groups the targets for a call, as [`Policy::group`] does. `is_first` says
    /// whether the call is the first one of its shard: only such calls test the
    /// version.
    #[must_use]
    pub fn group(
        &self,
        now: Time,
        targets: &[Arc<Target>],
        is_usable: impl Fn(&Target) -> bool,
        is_first: bool,
        is_fresh: bool,
    ) -> Groups {
        let takes_new = match (self.policy.mode, &self.attempt) {
            (Mode::Share(share), Some(attempt)) => is_first && attempt.exposure.allows(share),
            _ => false,
        };
        self.policy
            .group(now, targets, is_usable, takes_new, is_fresh)
    }
}

/// All roll-outs as this node knows them.
pub struct Rollouts {
    own: NodeEntry,
    limits: Option<Limits>,
    views: Mutex<BTreeMap<Name, ServiceView>>,
    /// Number of nodes that serve, or served until recently.
    serving: AtomicUsize,
    /// What requests follow, by service; empty without roll-outs.
    followed: ArcSwap<HashMap<Name, Arc<Followed>>>,
    decider: Mutex<Option<DeciderEntry>>,
    /// Latest time at which this node's view was known to be complete, in
    /// microseconds.
    fresh_at: AtomicU64,
    /// Until when this node decides, in microseconds.
    deciding_until: AtomicU64,
    inbox: Mutex<Inbox>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Rollouts {
    /// Creates the view of a node that knows of no order. Without `limits` there
    /// are no roll-outs, and orders are ignored.
    #[must_use]
    pub fn new(own: &NodeEntry, limits: Option<Limits>) -> Self {
        Self {
            own: own.clone(),
            limits,
            views: Mutex::default(),
            serving: AtomicUsize::new(0),
            followed: ArcSwap::default(),
            decider: Mutex::default(),
            fresh_at: AtomicU64::new(0),
            deciding_until: AtomicU64::new(0),
            inbox: Mutex::default(),
        }
    }

    /// What requests to a service follow; `None` when versions have no effect.
    #[must_use]
    pub fn followed(&self, service: &Name) -> Option<Arc<Followed>> {
        let followed = self.followed.load();
        if followed.is_empty() {
            return None;
        }
        followed.get(service).cloned()
    }

    /// All services whose requests follow a policy.
    #[must_use]
    pub fn all_followed(&self) -> Arc<HashMap<Name, Arc<Followed>>> {
        self.followed.load_full()
    }

    /// Whether the target must receive no calls.
    #[must_use]
    pub fn is_refused(&self, now: Time, target: &Target) -> bool {
        let followed = self.followed(&target.entry.service);
        followed.is_some_and(|followed| followed.policy.is_refused(now, target))
    }

    /// Whether this node's view is recent enough to send calls to a version
    /// under test.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        now.since(Time(self.fresh_at.load(Ordering::Relaxed))) <= MAX_VIEW_AGE
    }

    /// Records that the view was complete at this time.
    pub fn record_fresh(&self, at: Time) {
        self.fresh_at.fetch_max(at.0, Ordering::Relaxed);
    }

    /// The node that decides, as far as known.
    #[must_use]
    pub fn decider(&self) -> Option<DeciderEntry> {
        lock(&self.decider).clone()
    }

    /// Records how many nodes serve, or served until recently.
    pub fn set_serving(&self, count: usize) {
        self.serving.store(count, Ordering::Relaxed);
    }

    /// Applies the entry of the node that decides, or its end.
    pub fn set_decider(&self, value: Option<&[u8]>) {
        let entry = value.and_then(|v| serde_json::from_slice(v).ok());
        let entry: Option<DeciderEntry> = entry.filter(|e: &DeciderEntry| e.v == 1);
        log::info!(node = entry.as_ref().map(|e| &*e.node); "rollout.decider");
        *lock(&self.decider) = entry;
    }

    /// Applies an order, or that it was withdrawn.
    pub fn set_order(&self, now: Time, service: &Name, order: Option<RolloutOrder>, revision: u64) {
        self.update(service, |view| {
            view.order = order.map(|order| (order, revision));
            view.order_seen = now;
        });
    }

    /// Applies a published status, or its deletion.
    pub fn set_status(&self, service: &Name, status: Option<RolloutStatus>, revision: u64) {
        self.update(service, |view| {
            view.status_revision = revision;
            view.status = status;
        });
    }

    /// Applies the state of a service that was read in the store. A state that
    /// is older than the known one is not followed: the store may have come back
    /// from a copy.
    pub fn apply_state(&self, now: Time, service: &str, value: Option<&[u8]>, revision: u64) {
        let state = value.and_then(RolloutState::decode);
        if value.is_some() && state.is_none() {
            log::warn!(service, revision; "rollout.unreadable");
        }
        self.update(&Name::from(service), |view| {
            // The feed is behind what this node wrote itself.
            if value.is_none() || revision >= view.state_revision {
                view.state_revision = if value.is_some() { revision } else { 0 };
                view.stored_seq = state.as_ref().map_or(0, |state| state.seq);
            }
            if let Some(state) = state {
                self.follow(now, service, view, state);
            }
        });
    }

    /// Records that the store came back from a copy: its revisions are others
    /// now, and it may lack the latest states.
    pub fn record_new_era(&self) {
        for view in lock(&self.views).values_mut() {
            (view.state_revision, view.stored_seq) = (0, 0);
        }
    }

    /// Forgets the revision of a service's state, which is read anew.
    pub fn forget_revision(&self, service: &Name) {
        if let Some(view) = lock(&self.views).get_mut(service) {
            view.state_revision = 0;
        }
    }

    /// Follows a state that the decider sent.
    pub fn follow_sent(&self, now: Time, service: &str, value: &[u8]) {
        if let Some(state) = RolloutState::decode(value) {
            self.update(&Name::from(service), |view| {
                self.follow(now, service, view, state);
            });
        }
    }

    fn follow(&self, now: Time, service: &str, view: &mut ServiceView, state: RolloutState) {
        let known = view.state.as_ref();
        if known.is_some_and(|known| known.seq >= state.seq) {
            return;
        }
        let key = |state: &RolloutState| (state.began, state.phase);
        if known.map(key) != Some(key(&state)) {
            view.phase_since = now;
            let (version, phase, seq) = (&*state.version, state.phase.name(), state.seq);
            log::info!(service, version, phase, seq; "rollout.followed");
        }
        if known.is_none_or(|known| known.began != state.began) {
            let attempt = Attempt::new(state.began, &state.version, self.credit(now, service));
            view.attempt = Some(Arc::new(attempt));
        }
        view.state_seen = now;
        view.state = Some(state);
    }

    /// Fraction of a call that this node may send the version at once.
    fn credit(&self, now: Time, service: &str) -> f64 {
        if now < RESTART_TIME {
            return 0.0;
        }
        let hash = xxh3_64(format!("{}/{service}", self.own.name).as_bytes());
        let high_bits = u32::try_from(hash >> 32).unwrap_or_default();
        let position = f64::from(high_bits) / f64::from(u32::MAX);
        let slack = self.limits.map_or(0, |limits| limits.slack);
        first_credit(position, slack, self.serving.load(Ordering::Relaxed))
    }

    fn update(&self, service: &Name, change: impl FnOnce(&mut ServiceView)) {
        let mut views = lock(&self.views);
        let view = views.entry(Name::clone(service)).or_default();
        change(view);
        if self.limits.is_none() {
            return;
        }
        let (state, status) = (view.state.as_ref(), view.status.as_ref());
        let policy = Policy::new(view.phase_since, view.order(), state, status);
        let is_decided = state.is_none_or(|s| s.phase.is_final());
        let followed = policy.map(|policy| {
            Arc::new(Followed {
                policy,
                seq: state.map_or(0, |s| s.seq),
                attempt: view.attempt.clone().filter(|_| !is_decided),
            })
        });
        let mut all = HashMap::clone(&self.followed.load());
        match followed {
            Some(followed) => all.insert(Name::clone(service), followed),
            None => all.remove(service),
        };
        self.followed.store(Arc::new(all));
    }
}
