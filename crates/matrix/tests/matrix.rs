//! Runs every cell of the fault matrix and prints the outcomes.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use heatherrun_matrix::cell::{Cell, cells};
use heatherrun_matrix::run::run;
use heatherrun_matrix::table::{Outcome, table};

/// Threads that run cells; each cell is deterministic by itself.
const THREADS: usize = 8;

fn outcome(cell: Cell) -> Outcome {
    if cell.never().is_some() {
        return Outcome::Never;
    }
    let result = run(cell);
    if !result.broken.is_empty() {
        let (step, fault) = (cell.step.name(), cell.fault.name());
        for broken in &result.broken {
            println!("{step} x {fault}: {:?}: {}", broken.promise, broken.seen);
        }
        return Outcome::Broke(result.broken.iter().map(|b| b.promise).collect());
    }
    if !result.fired {
        return Outcome::Missed;
    }
    Outcome::Held(result.endings.join("/"))
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
