//! Quotas of teams: charges requests, tells the granters of this node's demand,
//! and answers as a granter.
//!
//! The decisions are those of [`heatherrun_routing::quota`].

mod charge;
mod messages;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Name, NodeEntry};
use heatherrun_routing::quota::contact::Contact;
use heatherrun_routing::quota::granter::Granter;
use heatherrun_routing::quota::stock::Stock;
use heatherrun_routing::quota::{self, Limit, MAX_GROUPS, Standing};
use heatherrun_routing::table::RouteTable;
use tokio::sync::{Notify, watch};

use crate::exchange::Exchange;
use crate::state::State;
use crate::supervise;

pub use self::charge::{Charge, Credit, charge_team};

/// Number of groups of teams.
#[expect(clippy::cast_possible_truncation, reason = "a small constant")]
const GROUPS: usize = MAX_GROUPS as usize;

/// A team with a limit.
#[derive(Debug)]
struct TeamQuota {
    name: Name,
    group: usize,
    /// Its credit here, and the limit that it is for.
    stock: Mutex<(Stock, Limit)>,
    /// Requests that wait for credit.
    waiting: AtomicU32,
    /// Whether this node may admit a request without credit.
    may_advance: AtomicBool,
}

impl TeamQuota {
    fn lock(&self) -> MutexGuard<'_, (Stock, Limit)> {
        self.stock.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Granter of one group of teams, and the contact with it.
struct Group {
    contact: Mutex<(Contact, Option<SocketAddr>)>,
    granter: Mutex<Granter>,
    /// First group with the same granter, whose task sends the message.
    first: AtomicUsize,
    /// Wakes the task of this group when a request waits.
    ask: Notify,
    /// Changes with each answer of the granter.
    answers: watch::Sender<()>,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            contact: Mutex::default(),
            granter: Mutex::default(),
            first: AtomicUsize::new(0),
            ask: Notify::new(),
            answers: watch::Sender::new(()),
        }
    }
}

impl Group {
    fn contact(&self) -> MutexGuard<'_, (Contact, Option<SocketAddr>)> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn granter(&self) -> MutexGuard<'_, Granter> {
        self.granter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Interval at which the granters' buckets are filled although no message
/// arrives, from which a granter tells that it has been suspended.
const FILL_INTERVAL: Duration = Duration::from_millis(200);

/// What the teams and granters were last derived from, and when.
#[derive(Default)]
struct Basis {
    table: Option<Arc<RouteTable>>,
    nodes: Arc<Vec<NodeEntry>>,
    serving: Arc<Vec<NodeEntry>>,
    filled_at: Time,
}

impl Basis {
    fn is_same(&self, table: Option<&Arc<RouteTable>>, nodes: &Arc<Vec<NodeEntry>>) -> bool {
        let is_same_table = match (&self.table, table) {
            (Some(old), Some(new)) => Arc::ptr_eq(old, new),
            (old, new) => old.is_none() && new.is_none(),
        };
        is_same_table && Arc::ptr_eq(&self.nodes, nodes)
    }
}

/// Quotas of teams at this node.
#[derive(Default)]
pub struct Quota {
    /// Teams with a limit, by name.
    teams: ArcSwap<HashMap<Name, Arc<TeamQuota>>>,
    groups: [Group; GROUPS],
    basis: Mutex<Basis>,
    exchange: Exchange,
}

/// Spawns the tasks that tell the granters of this node's demand.
pub fn spawn(state: &Arc<State>) {
    for group in 0..GROUPS {
        let own = Arc::clone(state);
        supervise::spawn("quota", move || messages::run(Arc::clone(&own), group));
    }
}

impl Quota {
    /// Follows changes of the configuration and of the nodes.
    fn update(&self, state: &State, now: Time) {
        let mut basis = self.basis.lock().unwrap_or_else(PoisonError::into_inner);
        let table = state.route_table.load_full();
        let (nodes, serving) = (state.nodes.load_full(), state.serving.load_full());
        if basis.is_same(table.as_ref(), &nodes) && Arc::ptr_eq(&basis.serving, &serving) {
            let is_filled = now.since(basis.filled_at) < FILL_INTERVAL;
            if is_filled || self.teams.load().is_empty() {
                return;
            }
        } else {
            self.update_teams(state, table.as_deref(), &nodes, &serving);
        }
        self.update_granters(state, now, &serving);
        *basis = Basis {
            table,
            nodes,
            serving,
            filled_at: now,
        };
    }

    /// Takes the teams with a limit from the configuration; the state of others
    /// is dropped.
    fn update_teams(
        &self,
        state: &State,
        table: Option<&RouteTable>,
        nodes: &[NodeEntry],
        serving: &[NodeEntry],
    ) {
        let old = self.teams.load();
        let config = table.map(RouteTable::config);
        let teams = config.iter().flat_map(|c| c.teams());
        let mut new = HashMap::new();
        for team in teams {
            let Some(limit) = Limit::of(team) else {
                continue;
            };
            let fresh = || {
                Arc::new(TeamQuota {
                    name: Name::clone(&team.name),
                    group: usize::try_from(quota::group(&team.name)).unwrap_or_default(),
                    stock: Mutex::new((Stock::default(), limit)),
                    waiting: AtomicU32::new(0),
                    may_advance: AtomicBool::new(false),
                })
            };
            let entry = old.get(&team.name).map_or_else(fresh, Arc::clone);
            let is_serving = |n: &NodeEntry| serving.iter().any(|s| s.name == n.name);
            let granter = quota::granter(quota::group(&team.name), serving.iter().map(|n| &n.name));
            let granter = serving.iter().find(|n| Some(&n.name) == granter);
            let is_near = |n: &NodeEntry| granter.is_none_or(|g| g.region == n.region);
            let ranked = nodes
                .iter()
                .map(|n| (&n.name, Standing::new(is_serving(n), is_near(n))));
            let may_advance = quota::may_advance(&team.name, &state.own_entry.name, ranked);
            entry.may_advance.store(may_advance, Ordering::Relaxed);
            {
                let mut stock = entry.lock();
                let (stock, old_limit) = &mut *stock;
                stock.limit_changed(*old_limit, limit);
                *old_limit = limit;
            }
            new.insert(Name::clone(&team.name), entry);
        }
        self.teams.store(Arc::new(new));
    }

    /// Chooses the granter of each group, and fills the buckets of those that
    /// this node grants.
    fn update_granters(&self, state: &State, now: Time, serving: &[NodeEntry]) {
        let teams = self.teams.load();
        let own = &state.own_entry.name;
        let mut granters: Vec<Option<&Name>> = Vec::with_capacity(GROUPS);
        for (ix, group) in self.groups.iter().enumerate() {
            let names = serving.iter().map(|n| &n.name);
            let name = quota::granter(u64::try_from(ix).unwrap_or_default(), names);
            let node = serving.iter().find(|n| Some(&n.name) == name);
            {
                let mut contact = group.contact();
                let (contact, address) = &mut *contact;
                *address = node.map(|n| n.peers);
                if contact.set_granter(name) && !teams.is_empty() {
                    let granter = name.map_or("", |n| n);
                    log::info!(group = ix, granter; "quota.granter");
                }
            }
            let first = granters.iter().position(|g| *g == name).unwrap_or(ix);
            group.first.store(first, Ordering::Relaxed);
            granters.push(name);
            let mut buckets = group.granter();
            buckets.set_nodes(now, serving.iter().map(|n| (&n.name, n.power)));
            // The limits change under the lock of the stock only.
            let granted = teams
                .values()
                .filter(|t| t.group == ix && name == Some(own));
            let granted: Vec<_> = granted.map(|t| (&t.name, t.lock().1)).collect();
            buckets.set_teams(now, granted);
            buckets.fill(now);
        }
    }
}
