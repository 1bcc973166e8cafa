//! `tail`: single slow calls, and one replica that is slow for a while.

use std::time::Duration;

use heatherrun_fakes::searcher::Stragglers;

use crate::cell::Cell;
use crate::plan;
use crate::trial::Trial;

/// Factor of slow calls and slow replicas.
const SLOW: f64 = 10.0;

/// Part of the calls that are slow.
const SHARE: f64 = 0.01;

/// All cases.
#[must_use]
pub fn trials(seed: u64, span: Duration) -> Vec<Trial> {
    let mut trials = Vec::new();
    for (tier, plan) in plan::tiers(seed) {
        for load in [30, 60, 85] {
            let name = |slow: &str| format!("{tier} {load}% {slow}");
            trials.push(Trial::steady(name("plain"), &plan, load, span));
            let calls = Trial::steady(name("1% of calls 10x"), &plan, load, span);
            trials.push(calls.with(|cell| async move { slow_calls(&cell) }));
            let replica = Trial::steady(name("a replica 10x"), &plan, load, span);
            trials.push(replica.with(|cell| async move { slow_replica(&cell) }));
        }
    }
    trials
}

/// Makes one call in a hundred slow.
pub fn slow_calls(cell: &Cell) {
    for searcher in cell.searchers.values() {
        searcher.change(|settings| {
            settings.stragglers = Stragglers {
                share: SHARE,
                factor: SLOW,
            };
        });
    }
}

/// Makes one replica of the first service slow.
pub fn slow_replica(cell: &Cell) {
    let shards = cell.shards(cell.plan.services[0].name);
    cell.searchers[&shards[0][0]].change(|settings| settings.slowness = SLOW);
}
