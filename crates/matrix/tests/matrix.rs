//! Runs every cell of the fault matrix and prints the outcomes.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use heatherrun_matrix::cell::{Cell, cells};
use heatherrun_matrix::run::{Kind, run};
use heatherrun_matrix::table::{Outcome, table};

/// Threads that run cells; each cell is deterministic by itself.
const THREADS: usize = 8;

fn outcome(cell: Cell) -> Outcome {
    if cell.never().is_some() {
        return Outcome::Never;
    }
    let searched = run(cell, Kind::Search);
    let sent = if cell.step.is_control() {
        searched.clone()
    } else {
        run(cell, Kind::Once)
    };
    let mut promises = Vec::new();
    for broken in searched.broken.iter().chain(&sent.broken) {
        let (step, fault) = (cell.step.name(), cell.fault.name());
        println!("{step} x {fault}: {:?}: {}", broken.promise, broken.seen);
        promises.push(broken.promise);
    }
    promises.sort_unstable();
    promises.dedup();
    if !promises.is_empty() {
        return Outcome::Broke(promises);
    }
    if !searched.fired || !sent.fired {
        return Outcome::Missed;
    }
    Outcome::Held([searched.endings[0], sent.endings[1]].join("/"))
}

fn run_all() -> BTreeMap<Cell, Outcome> {
    let all: Vec<Cell> = cells().collect();
    let (next, outcomes) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(cell) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = outcome(*cell);
                    outcomes.lock().unwrap().insert(*cell, outcome);
                }
            });
        }
    });
    outcomes.into_inner().unwrap()
}

#[test]
fn matrix_every_cell_holds() {
    let outcomes = run_all();
    println!("{}", table(|cell| outcomes[&cell].clone()));
    let good = |o: &&Outcome| matches!(o, Outcome::Held(_) | Outcome::Never);
    let bad = outcomes.values().filter(|o| !good(o)).count();
    assert_eq!(bad, 0, "cells that broke a promise or were not reached");
}
