//! `replan`: snapshot and shard map change while queries run.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::view::Service;
use heatherrun_kernel::{MapRev, Revision, ServiceId, ShardIx, Snapshot};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::cell::Cell;
use crate::plan::{Plan, ServicePlan};
use crate::trial::Trial;

/// Time between two changes; no multiple of a query's length, so that the
/// changes meet queries at each of their steps.
const PERIOD: Duration = Duration::from_millis(487);

/// Time over which a rolling change reaches all searchers or nodes.
const ROLL: Duration = Duration::from_millis(200);

/// Load in per cent.
const LOAD: u32 = 30;

/// What changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// All searchers go to the next snapshot and drop the old one.
    Jump,
    /// Searchers take the next snapshot one by one and drop the old one
    /// after all have it.
    Roll,
    /// Shards move to other searchers; searchers and nodes learn of it one
    /// by one.
    Map,
    /// Shards move, and the snapshot jumps in the middle of it.
    Both,
}

/// All cases.
#[must_use]
pub fn trials(seed: u64, span: Duration) -> Vec<Trial> {
    let plans = [
        (
            "kernwerk",
            Plan::kernwerk(vec![ServicePlan::sharded("buyer-desk", 10, 3, 30)], seed),
        ),
        (
            "cooperative",
            Plan::cooperative(vec![ServicePlan::sharded("balanca", 15, 2, 25)], seed),
        ),
    ];
    let changes = [
        ("snapshot jumps", Change::Jump),
        ("snapshot rolls", Change::Roll),
        ("shard map", Change::Map),
        ("map and snapshot", Change::Both),
    ];
    let mut trials = Vec::new();
    for (tier, plan) in plans {
        for (label, change) in changes {
            let trial = Trial::steady(format!("{tier} {label}"), &plan, LOAD, span);
            trials.push(trial.with(move |cell| keep_changing(cell, change, span)));
        }
    }
    trials
}

async fn keep_changing(cell: Arc<Cell>, change: Change, span: Duration) {
    let service = cell.plan.services[0].name;
    let mut rng = SmallRng::seed_from_u64(cell.plan.seed);
    let mut snapshot = Snapshot(1);
    let mut map = MapRev(1);
    for _ in 0..span.as_millis() / PERIOD.as_millis() {
        let begin = tokio::time::Instant::now();
        snapshot.0 += 1;
        map.0 += 1;
        match change {
            Change::Jump => jump(&cell, snapshot),
            Change::Roll => roll(&cell, snapshot, &mut rng).await,
            Change::Map => move_shards(&cell, service, map, None, &mut rng).await,
            Change::Both => move_shards(&cell, service, map, Some(snapshot), &mut rng).await,
        }
        tokio::time::sleep_until(begin + PERIOD).await;
    }
}

fn jump(cell: &Cell, snapshot: Snapshot) {
    for searcher in cell.searchers.values() {
        searcher.change(|settings| settings.snapshots = (snapshot, snapshot));
    }
}

async fn roll(cell: &Cell, snapshot: Snapshot, rng: &mut SmallRng) {
    let mut searchers: Vec<_> = cell.searchers.values().collect();
    let pause = ROLL / u32::try_from(searchers.len()).unwrap_or(1);
    while !searchers.is_empty() {
        let searcher = searchers.swap_remove(rng.random_range(0..searchers.len()));
        searcher.change(|settings| settings.snapshots.1 = snapshot);
        tokio::time::sleep(pause).await;
    }
    tokio::time::sleep(ROLL).await;
    for searcher in cell.searchers.values() {
        searcher.change(|settings| settings.snapshots.0 = snapshot);
    }
}

/// Gives each shard to the searchers of the next one.
fn moved(old: &Service, map: MapRev) -> Service {
    let mut service = old.clone();
    service.shards.rotate_left(1);
    service.map = map;
    service
}

async fn move_shards(
    cell: &Cell,
    name: &str,
    map: MapRev,
    snapshot: Option<Snapshot>,
    rng: &mut SmallRng,
) {
    let id = ServiceId::from_name(name);
    let old = Arc::clone(&cell.nodes[0].view.load().services[&id]);
    let next = Arc::new(moved(&old, map));
    cell.add_map(&next);
    let mut nodes: Vec<_> = cell.nodes.iter().collect();
    let half = nodes.len() / 2;
    let pause = ROLL / u32::try_from(nodes.len()).unwrap_or(1);
    while !nodes.is_empty() {
        if nodes.len() == half {
            move_searchers(cell, &next);
            if let Some(snapshot) = snapshot {
                jump(cell, snapshot);
            }
        }
        let node = nodes.swap_remove(rng.random_range(0..nodes.len()));
        node.view.update(|view| {
            view.services.insert(id, Arc::clone(&next));
            view.revision = Revision(map.0);
            for (shard, replicas) in next.shards.iter().enumerate() {
                for replica in replicas {
                    let Some(target) = view.targets.get_mut(replica) else {
                        continue;
                    };
                    Arc::make_mut(target).shard = index(shard);
                }
            }
        });
        tokio::time::sleep(pause).await;
    }
}

fn move_searchers(cell: &Cell, next: &Service) {
    for (shard, replicas) in next.shards.iter().enumerate() {
        for replica in replicas {
            cell.searchers[replica].change(|settings| {
                settings.shard = index(shard);
                settings.map = next.map;
            });
        }
    }
}

fn index(shard: usize) -> ShardIx {
    ShardIx(u16::try_from(shard).unwrap_or(u16::MAX))
}
