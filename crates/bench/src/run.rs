//! Runs trials, each on a single-threaded runtime with a paused clock, a few
//! at the same time.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use crate::args::Args;
use crate::baseline::{Baseline, Manner};
use crate::load::Server;
use crate::table::{self, Row};
use crate::trial::Trial;

/// Runs at the same time.
const THREADS: usize = 3;

/// Who serves, with its name in the table; each run needs its own.
#[must_use]
pub fn servers(seed: u64) -> Vec<(&'static str, Server)> {
    let baseline = |manner| Server::Baseline(Baseline::new(manner, seed));
    vec![
        ("heatherrun", Server::Tier),
        ("random", baseline(Manner::Random)),
        ("least", baseline(Manner::Least)),
        ("fixed hedge", baseline(Manner::Hedged)),
    ]
}

/// Runs `future` on a single-threaded runtime with a paused clock.
///
/// # Panics
/// When the runtime cannot be built.
pub fn paused<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("a runtime of one thread").block_on(future)
}

/// Runs the wanted trials against every server and returns their rows.
///
/// # Panics
/// When a trial panics.
pub fn rows(args: &Args, trials: &[Trial]) -> Vec<Row> {
    let mut cases = Vec::new();
    for trial in trials.iter().filter(|t| args.wants(&t.name)) {
        let count = if args.alone { 1 } else { usize::MAX };
        for (name, server) in servers(args.seed).into_iter().take(count) {
            cases.push((trial, name, server));
        }
    }
    let next = AtomicUsize::new(0);
    let made = Mutex::new(vec![Vec::new(); cases.len()]);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((ix, case)) = take(&next, &cases) {
                    let rows = case.0.run(case.1, &case.2);
                    made.lock().unwrap_or_else(PoisonError::into_inner)[ix] = rows;
                }
            });
        }
    });
    let made = made.into_inner().unwrap_or_else(PoisonError::into_inner);
    made.into_iter().flatten().collect()
}

fn take<'a, T>(next: &AtomicUsize, cases: &'a [T]) -> Option<(usize, &'a T)> {
    let ix = next.fetch_add(1, Ordering::Relaxed);
    cases.get(ix).map(|case| (ix, case))
}

/// Runs an experiment and prints its table; returns the rows.
#[must_use]
pub fn experiment(title: &str, args: &Args, trials: &[Trial]) -> Vec<Row> {
    let rows = rows(args, trials);
    table::heading(title, args.seed);
    for row in &rows {
        table::print(row);
    }
    rows
}
