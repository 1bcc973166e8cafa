//! A node for the tests of the state machine of one request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;

use super::{at, ms, plan, target};
use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Repeat;
use heatherrun_routing::choice::Hold;
use heatherrun_routing::extra_calls::Need;
use heatherrun_routing::plan::Plan;
use heatherrun_routing::scatter::{CallToSend, Context, TargetChoice};
use heatherrun_routing::silence::Silence;
use heatherrun_routing::target::{Distance, Target};

/// Stands in for the node: targets of each shard, the remaining extra calls,
/// whether all targets are at their limit, and the shards whose targets all
/// want no calls.
pub struct TestNode {
    pub quiet: HashMap<usize, Time>,
    pub shards: Vec<Vec<Arc<Target>>>,
    pub extra: Cell<u32>,
    pub full: Cell<bool>,
    /// Needs of the extra calls that were asked for.
    pub needs: RefCell<Vec<Need>>,
    /// Shards whose targets are all silent.
    pub silences: RefCell<HashMap<usize, Silence>>,
}

impl TestNode {
    pub fn new(shards: usize, replicas: usize) -> Self {
        let replica = |shard: usize, n: usize| {
            let distance = if n == 0 {
                Distance::Domain
            } else {
                Distance::Far
            };
            target(&format!("{shard}-{n}"), distance)
        };
        let shard = |shard| (0..replicas).map(|n| replica(shard, n)).collect();
        Self {
            quiet: HashMap::new(),
            shards: (0..shards).map(shard).collect(),
            extra: Cell::new(u32::MAX),
            full: Cell::new(false),
            needs: RefCell::default(),
            silences: RefCell::default(),
        }
    }

    pub fn with<R>(&self, decision: impl FnOnce(&Context<'_>) -> R) -> R {
        let context = Context {
            choose: &|shard, tried| {
                if self.full.get() {
                    return TargetChoice::AtCapacity;
                }
                if let Some(until) = self.quiet.get(&shard) {
                    return TargetChoice::Held(*until, Hold::Quiet);
                }
                let may_call = |t: &&Arc<Target>| !tried.contains(&t.entry.id) && t.accepts_calls();
                match self.shards[shard].iter().find(may_call) {
                    Some(found) => TargetChoice::Target(Arc::clone(found)),
                    None => TargetChoice::NoTarget,
                }
            },
            take_extra: &|_, need| {
                self.needs.borrow_mut().push(need);
                let left = self.extra.get();
                self.extra.set(left.saturating_sub(1));
                left > 0
            },
            silence: &|shard| {
                let silences = self.silences.borrow();
                silences.get(&shard).copied().unwrap_or(Silence::None)
            },
            hedge_delay: &|_| ms(20),
            record_overdue: &|_| true,
        };
        decision(&context)
    }
}

/// Ids of the targets of the calls.
pub fn target_ids(calls_to_send: &[CallToSend]) -> Vec<String> {
    calls_to_send
        .iter()
        .map(|s| s.target.entry.id.to_string())
        .collect()
}

/// Plan of a request that may run once, to one service.
pub fn once_plan() -> Plan {
    Plan {
        repeat: Repeat::Once,
        answer_by: at(794),
        ..plan(1.0)
    }
}
