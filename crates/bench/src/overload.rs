//! `overload`: load of 80, 120 and 300 per cent of the capacity, and back.

use std::time::Duration;

use crate::load::Phase;
use crate::plan::{Plan, ServicePlan};
use crate::table::Row;
use crate::tally::{BIN, Tally};
use crate::trial::{Trial, WARM_UP};

/// Load before and after, in per cent of the capacity.
const USUAL: f64 = 80.0;

/// Load a little past the capacity.
const SOME: f64 = 120.0;

/// Load far past the capacity.
const MUCH: f64 = 300.0;

/// Part of the usual goodput at which it counts as back.
const BACK: f64 = 0.9;

/// All cases; each phase takes `span`, and the last one twice as long.
#[must_use]
pub fn trials(seed: u64, span: Duration) -> Vec<Trial> {
    let plans = [
        (
            "buyer-desk",
            Plan::kernwerk(vec![ServicePlan::sharded("buyer-desk", 10, 3, 30)], seed),
        ),
        (
            "lotes",
            Plan::cooperative(vec![ServicePlan::sharded("lotes", 10, 2, 25)], seed),
        ),
        (
            "broker-feed",
            Plan::kernwerk(vec![ServicePlan::pooled("broker-feed", 4, 6, 110)], seed),
        ),
    ];
    let mut trials = Vec::new();
    for (name, plan) in plans {
        let mut trial = Trial::steady(name, &plan, 0, span * 5);
        for (load, service) in trial.loads.iter_mut().zip(&plan.services) {
            let phase = |percent: f64, span| Phase {
                rate: service.capacity() * percent / 100.0,
                span,
            };
            load.phases = vec![
                phase(USUAL, WARM_UP + span),
                phase(SOME, span),
                phase(MUCH, span),
                phase(USUAL, span * 2),
            ];
        }
        trials.push(trial);
    }
    trials
}

/// What became of the goodput.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Goodput {
    /// Whole answers per second before.
    pub before: f64,
    /// Most whole answers per second, over one phase.
    pub peak: f64,
    /// Whole answers per second at the highest load.
    pub much: f64,
    /// Fewest whole answers per second in one bin at the highest load.
    pub least: f64,
    /// Time from the end of the overload until goodput is back.
    pub back: Option<Duration>,
}

impl Goodput {
    /// Goodput of a run of [`trials`] with this `span`.
    #[must_use]
    pub fn of(tally: &Tally, span: Duration) -> Self {
        let start = bins(WARM_UP);
        let step = bins(span);
        let phase = |n: usize| rate(&tally.goodput, start + n * step, step);
        let much = start + 2 * step;
        let least = (much..much + step).map(|bin| rate(&tally.goodput, bin, 1));
        let after = (much + step..much + 3 * step)
            .position(|bin| rate(&tally.goodput, bin, 1) >= phase(0) * BACK);
        Self {
            before: phase(0),
            peak: (0..3).map(phase).fold(0.0, f64::max),
            much: phase(2),
            least: least.fold(f64::MAX, f64::min),
            back: after.map(|n| BIN * u32::try_from(n).unwrap_or(u32::MAX)),
        }
    }
}

fn bins(span: Duration) -> usize {
    usize::try_from(span.as_millis() / BIN.as_millis()).unwrap_or(0)
}

#[allow(clippy::cast_precision_loss)]
fn rate(goodput: &[u64], from: usize, count: usize) -> f64 {
    let sum: u64 = goodput.iter().skip(from).take(count).sum();
    sum as f64 / (BIN.as_secs_f64() * count as f64)
}

/// Prints the goodput of each run.
pub fn print_goodput(rows: &[Row], span: Duration) {
    println!(
        "\n| case | server | before /s | peak /s | at 300% /s | of peak % | least bin /s \
         | back after s | urgent % | normal % | batch % |"
    );
    println!("|{}", " --- |".repeat(11));
    for row in rows {
        let goodput = Goodput::of(&row.tally, span);
        let back = goodput.back.map_or_else(
            || "never".to_owned(),
            |back| format!("{:.1}", back.as_secs_f64()),
        );
        let [batch, normal, urgent] = row.tally.classes.map(|(asked, whole)| share(whole, asked));
        println!(
            "| {} | {} | {:.0} | {:.0} | {:.0} | {:.1} | {:.0} | {back} | {urgent:.1} \
             | {normal:.1} | {batch:.1} |",
            row.case,
            row.server,
            goodput.before,
            goodput.peak,
            goodput.much,
            100.0 * goodput.much / goodput.peak.max(1.0),
            goodput.least,
        );
    }
}

#[allow(clippy::cast_precision_loss)]
fn share(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}
