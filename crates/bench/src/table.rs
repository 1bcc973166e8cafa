//! The table that each experiment prints.

use crate::cell::Cell;
use crate::tally::Tally;

/// What the targets counted in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Strain {
    /// Most calls on a warm target, and what it bears.
    pub warm: (u16, u16),
    /// Most calls on a cold target, and what it bears.
    pub cold: (u16, u16),
    /// Arrivals past what a target bears.
    pub breaches: u64,
    /// Arrivals past what a cold target bears that its owner could not know.
    pub unknowable: u64,
    /// Restarts of targets.
    pub falls: u64,
}

impl Strain {
    /// What the targets of `cell` counted.
    #[must_use]
    pub fn of(cell: &Cell) -> Self {
        let mut strain = Self::default();
        for searcher in cell.searchers.values() {
            let (counts, settings) = (searcher.counts(), searcher.settings());
            let cold = (settings.bears / settings.cold.divisor).max(1);
            strain.warm = worse(strain.warm, (counts.peak, settings.bears));
            strain.cold = worse(strain.cold, (counts.cold_peak, cold));
            strain.breaches += counts.breaches;
            strain.unknowable += counts.unknowable;
            strain.falls += counts.falls;
        }
        strain
    }
}

/// The pair of peak and bound that is nearer to its bound, or further over.
fn worse(a: (u16, u16), b: (u16, u16)) -> (u16, u16) {
    let over = |p: (u16, u16)| u32::from(p.0) * 1_000 / u32::from(p.1.max(1));
    if over(b) > over(a) || a.1 == 0 { b } else { a }
}

/// One run, ready to print.
#[derive(Clone, Debug)]
pub struct Row {
    /// What was run.
    pub case: String,
    /// Who served.
    pub server: String,
    /// Answers.
    pub tally: Tally,
    /// Targets.
    pub strain: Strain,
    /// Remarks.
    pub notes: Vec<String>,
    /// Targets that one request crashed, at the most.
    pub worst: u64,
}

/// Prints the heading of a table.
pub fn heading(title: &str, seed: u64) {
    println!("\n## {title} (seed {seed})\n");
    println!(
        "| case | server | asked | p50 ms | p99 ms | p99.9 ms | coverage % | extra % | refused \
         | unknown | lost | doubled | false cover | false not run | warm peak/bears \
         | cold peak/bears | breaches | unknowable | falls | notes |"
    );
    println!("|{}", " --- |".repeat(20));
}

/// Prints one row.
pub fn print(row: &Row) {
    let mut notes = row.notes.clone();
    for (kind, count) in &row.tally.kinds {
        notes.push(format!("{count} {kind}"));
    }
    let (t, s) = (&row.tally, &row.strain);
    println!(
        "| {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.3} | {:.2} | {} | {} | {} | {} | {} | {} \
         | {}/{} | {}/{} | {} | {} | {} | {} |",
        row.case,
        row.server,
        t.asked,
        t.millis(50.0),
        t.millis(99.0),
        t.millis(99.9),
        t.coverage(),
        t.extra(),
        t.refused,
        t.unknown,
        t.lost,
        t.doubled,
        t.false_cover,
        t.false_not_run,
        s.warm.0,
        s.warm.1,
        s.cold.0,
        s.cold.1,
        s.breaches,
        s.unknowable,
        s.falls,
        notes.join("; "),
    );
}
