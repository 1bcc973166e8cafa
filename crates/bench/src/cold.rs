//! `cold`: targets turn cold at random, with and without a restart.

use std::{sync::Arc, time::Duration};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::cell::Cell;
use crate::plan::{self, Plan};
use crate::trial::Trial;

/// Time between two cold turns.
const PERIOD: Duration = Duration::from_millis(250);

/// How targets turn cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// Without losing a call or saying so.
    Quiet,
    /// By a restart.
    Restart,
    /// One way or the other.
    Both,
}

/// All cases.
#[must_use]
pub fn trials(seed: u64, span: Duration) -> Vec<Trial> {
    let plans = [
        ("kernwerk", Plan::kernwerk(plan::kernwerk_services(), seed)),
        (
            "cooperative",
            Plan::cooperative(plan::cooperative_services(), seed),
        ),
    ];
    let turns = [
        ("quiet", Turn::Quiet),
        ("restarts", Turn::Restart),
        ("both", Turn::Both),
    ];
    let mut trials = Vec::new();
    for (tier, plan) in plans {
        for load in [30, 60] {
            for (label, turn) in turns {
                let trial = Trial::steady(format!("{tier} {load}% {label}"), &plan, load, span);
                trials.push(trial.with(move |cell| turn_cold(cell, turn, span)));
            }
        }
    }
    trials
}

async fn turn_cold(cell: Arc<Cell>, turn: Turn, span: Duration) {
    let mut rng = SmallRng::seed_from_u64(cell.plan.seed);
    let searchers: Vec<_> = cell.searchers.values().collect();
    for _ in 0..span.as_millis() / PERIOD.as_millis() {
        let searcher = searchers[rng.random_range(0..searchers.len())];
        let coin = rng.random_range(0..2) == 0;
        let quiet = match turn {
            Turn::Quiet => true,
            Turn::Restart => false,
            Turn::Both => coin,
        };
        if quiet {
            searcher.chill();
        } else {
            searcher.restart();
        }
        tokio::time::sleep(PERIOD).await;
    }
}
