//! Searches through every node in one state of the tier, and what callers saw.

use heatherrun_standins::local::LocalTier;

use crate::caller::Caller;
use crate::{DOMAIN, SHARDS};

/// Searches through each node.
const SEARCHES: usize = 20;

/// What callers saw in one state of the tier.
#[derive(Clone, Debug, Default)]
pub struct Phase {
    label: String,
    whole: usize,
    partial: usize,
    refused: usize,
    attempts: u32,
    times: Vec<u64>,
    /// Calls that arrived in the failure domain.
    calls: u64,
}

impl Phase {
    /// Searches through every node, and prints the first answer of each.
    pub async fn run(tier: &LocalTier, caller: &Caller, label: &str) -> Self {
        let mut phase = Self {
            label: label.to_owned(),
            ..Self::default()
        };
        println!("\nSearches with {label}:");
        let before = calls(tier);
        for turn in 0..SEARCHES {
            for local in &tier.nodes {
                let result = caller.search(local.callers, "apricot kernels").await;
                if turn == 0 {
                    print_answer(&local.node.info.name, &result);
                }
                phase.add(result);
            }
        }
        phase.calls = calls(tier) - before;
        phase.times.sort_unstable();
        phase
    }

    fn add(&mut self, result: anyhow::Result<heatherrun_schema::v1::SearchAnswer>) {
        let Ok(answer) = result else {
            self.refused += 1;
            return;
        };
        let coverage = answer.coverage.unwrap_or_default();
        if coverage.reached == coverage.total {
            self.whole += 1;
        } else {
            self.partial += 1;
        }
        self.attempts += answer.attempts;
        self.times.push(answer.took_us);
    }

    /// Whether every answer covered every shard.
    pub fn is_whole(&self) -> bool {
        self.partial == 0 && self.refused == 0
    }

    fn percentile(&self, percent: usize) -> f64 {
        let at = (self.times.len() * percent / 100).min(self.times.len().saturating_sub(1));
        let micros = self.times.get(at).copied().unwrap_or(0);
        std::time::Duration::from_micros(micros).as_secs_f64() * 1e3
    }

    /// Calls beyond one for each shard, in per cent.
    fn extra(&self) -> f64 {
        let answers = u32::try_from(self.whole + self.partial).unwrap_or(u32::MAX);
        let first = f64::from(answers.max(1)) * f64::from(SHARDS);
        (f64::from(self.attempts) - first) * 100.0 / first
    }
}

/// Calls that arrived at searchers in the failure domain.
fn calls(tier: &LocalTier) -> u64 {
    let mut total = 0;
    for local in &tier.searchers {
        if local.config.domain == DOMAIN {
            total += local.searcher.counts().arrived;
        }
    }
    total
}

fn print_answer(node: &str, result: &anyhow::Result<heatherrun_schema::v1::SearchAnswer>) {
    match result {
        Ok(answer) => {
            let coverage = answer.coverage.clone().unwrap_or_default();
            println!(
                "  {node}: {} lots, {} of {} shards, snapshot {}, {} calls, {} us",
                answer.lots.len(),
                coverage.reached,
                coverage.total,
                answer.snapshot,
                answer.attempts,
                answer.took_us,
            );
        }
        Err(e) => println!("  {node}: {e}"),
    }
}

/// Prints one line for each state.
pub fn print(phases: &[Phase]) {
    println!(
        "\n{:<16} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>14}",
        "state", "whole", "partial", "refused", "p50 ms", "p99 ms", "extra %", "calls to ticino"
    );
    for phase in phases {
        println!(
            "{:<16} {:>6} {:>8} {:>8} {:>8.1} {:>8.1} {:>8.1} {:>14}",
            phase.label,
            phase.whole,
            phase.partial,
            phase.refused,
            phase.percentile(50),
            phase.percentile(99),
            phase.extra(),
            phase.calls,
        );
    }
}
