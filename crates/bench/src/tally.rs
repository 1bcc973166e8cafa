//! What came of each request, checked against what the searchers recorded.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use heatherrun_kernel::message::Class;
use heatherrun_kernel::{MapRev, Snapshot, TargetId, Time};

use crate::cell::Cell;

/// Longest latency told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// Decimal digits to which latencies are kept.
const DIGITS: u8 = 3;

/// Time over which goodput is counted.
pub const BIN: Duration = Duration::from_millis(500);

/// How a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Search over all shards.
    Search,
    /// Repeatable request to one searcher.
    Repeatable,
    /// Request that runs at most once.
    Once,
}

/// What a client was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// An answer.
    Answer(Answer),
    /// A refusal that says the request did not run.
    NotRun(String),
    /// A refusal that says the request may have run.
    Unknown(String),
    /// Nothing in time.
    Nothing,
}

/// What an answer claims.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Snapshot of every reply.
    pub snapshot: Snapshot,
    /// Shards reached.
    pub reached: usize,
    /// Shards in all.
    pub total: usize,
    /// Shards not covered.
    pub missing: Vec<usize>,
    /// Lots, as identifier and text.
    pub lots: Vec<(String, String)>,
    /// Calls made.
    pub attempts: usize,
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Body, which no other request has unless its caller repeats it.
    pub body: String,
    /// When the client sent it.
    pub start: Time,
    /// When the client had the answer.
    pub end: Time,
    /// Service.
    pub service: &'static str,
    /// How it was sent.
    pub kind: Kind,
    /// Class.
    pub class: Class,
    /// What the client was told.
    pub told: Told,
}

/// Counts and latencies of one run.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests sent before this point warm the targets and are not measured.
    pub from: Time,
    /// Requests sent after this point are not measured.
    pub until: Time,
    /// Latency of answers, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests measured.
    pub asked: u64,
    /// Answers measured.
    pub answered: u64,
    /// Shards reached and wanted by measured answers.
    pub covered: (usize, usize),
    /// Calls and first attempts of measured answers.
    pub calls: (usize, usize),
    /// Refusals that say the request did not run.
    pub refused: u64,
    /// Refusals that say the request may have run.
    pub unknown: u64,
    /// Requests whose client was told nothing.
    pub lost: u64,
    /// Once-only requests that ran twice, and lots twice in an answer.
    pub doubled: u64,
    /// Answers that claim a shard that was not searched at their snapshot, or
    /// hold what is not their own.
    pub false_cover: u64,
    /// Refusals that say "not run" of a request that ran.
    pub false_not_run: u64,
    /// Whole answers by [`BIN`] of their end.
    pub goodput: Vec<u64>,
    /// Requests sent and whole answers by class.
    pub classes: [(u64, u64); 3],
    /// Measured refusals by their kind.
    pub kinds: BTreeMap<String, u64>,
    denied: Vec<String>,
    once: Vec<String>,
}

impl Tally {
    /// Tally that measures requests sent in `from..until`.
    ///
    /// # Panics
    /// Never: the bounds of the histogram are constants that it accepts.
    #[must_use]
    pub fn new(from: Duration, until: Duration) -> Self {
        Self {
            from: Time::default() + from,
            until: Time::default() + until,
            latency: Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("the bounds hold"),
            asked: 0,
            answered: 0,
            covered: (0, 0),
            calls: (0, 0),
            refused: 0,
            unknown: 0,
            lost: 0,
            doubled: 0,
            false_cover: 0,
            false_not_run: 0,
            goodput: Vec::new(),
            classes: [(0, 0); 3],
            kinds: BTreeMap::new(),
            denied: Vec::new(),
            once: Vec::new(),
        }
    }

    /// Takes one outcome and checks it.
    pub fn take(&mut self, cell: &Cell, outcome: Outcome) {
        let measured = (self.from..self.until).contains(&outcome.start);
        self.asked += u64::from(measured);
        self.classes[outcome.class as usize].0 += u64::from(measured);
        if outcome.kind == Kind::Once {
            self.once.push(outcome.body.clone());
        }
        if let Told::NotRun(kind) | Told::Unknown(kind) = &outcome.told
            && measured
        {
            *self.kinds.entry(kind.clone()).or_default() += 1;
        }
        match &outcome.told {
            Told::Answer(answer) => {
                self.check(cell, &outcome, answer);
                if measured {
                    self.measure(&outcome, answer);
                }
            }
            Told::NotRun(_) => {
                self.refused += u64::from(measured);
                self.denied.push(outcome.body);
            }
            Told::Unknown(_) => self.unknown += u64::from(measured),
            Told::Nothing => self.lost += 1,
        }
    }

    fn measure(&mut self, outcome: &Outcome, answer: &Answer) {
        let took = outcome.end.since(outcome.start);
        self.latency
            .saturating_record(heatherrun_kernel::time::micros(took));
        self.answered += 1;
        self.covered.0 += answer.reached;
        self.covered.1 += answer.total;
        self.calls.0 += answer.attempts;
        self.calls.1 += answer.total;
        if answer.reached < answer.total {
            return;
        }
        self.classes[outcome.class as usize].1 += 1;
        let bin = outcome.end.0 / heatherrun_kernel::time::micros(BIN);
        let bin = usize::try_from(bin).unwrap_or(usize::MAX);
        if self.goodput.len() <= bin {
            self.goodput.resize(bin + 1, 0);
        }
        self.goodput[bin] += 1;
    }

    fn check(&mut self, cell: &Cell, outcome: &Outcome, answer: &Answer) {
        let mut ids: Vec<_> = answer.lots.iter().map(|(id, _)| id).collect();
        ids.sort();
        self.doubled += u64::from(ids.windows(2).any(|pair| pair[0] == pair[1]));
        let own = answer.lots.iter().all(|(_, text)| *text == outcome.body);
        let counted = answer.reached + answer.missing.len() == answer.total
            && answer.lots.len() == answer.reached;
        let mut maps = cell.maps(outcome.service);
        let true_cover = maps.any(|(map, shards)| covered(cell, outcome, answer, map, &shards));
        self.false_cover += u64::from(!(own && counted && true_cover));
    }

    /// Checks what can only be known when all is quiet.
    pub fn close(&mut self, cell: &Cell) {
        let started = |body: &str| -> u32 {
            let runs = cell
                .searchers
                .values()
                .map(|s| s.runs(body.as_bytes()).started);
            runs.sum()
        };
        for body in std::mem::take(&mut self.denied) {
            self.false_not_run += u64::from(started(&body) > 0);
        }
        self.once.sort();
        self.once.dedup();
        for body in std::mem::take(&mut self.once) {
            self.doubled += u64::from(started(&body) > 1);
        }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        let _ = self.latency.add(&other.latency);
        self.asked += other.asked;
        self.answered += other.answered;
        self.covered.0 += other.covered.0;
        self.covered.1 += other.covered.1;
        self.calls.0 += other.calls.0;
        self.calls.1 += other.calls.1;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.false_cover += other.false_cover;
        self.false_not_run += other.false_not_run;
        for (kind, count) in &other.kinds {
            *self.kinds.entry(kind.clone()).or_default() += count;
        }
        for (mine, theirs) in self.classes.iter_mut().zip(other.classes) {
            mine.0 += theirs.0;
            mine.1 += theirs.1;
        }
        let bins = self.goodput.len().max(other.goodput.len());
        self.goodput.resize(bins, 0);
        for (mine, theirs) in self.goodput.iter_mut().zip(&other.goodput) {
            *mine += theirs;
        }
    }

    /// Latency at a percentile, in milliseconds.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn millis(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1_000.0
    }

    /// Shards reached, in per cent of those that answers wanted.
    #[must_use]
    pub fn coverage(&self) -> f64 {
        percent(self.covered.0, self.covered.1)
    }

    /// Calls beyond first attempts, in per cent of first attempts.
    #[must_use]
    pub fn extra(&self) -> f64 {
        percent(self.calls.0.saturating_sub(self.calls.1), self.calls.1)
    }
}

/// Whether each shard that the answer claims was searched under `map` at the
/// answer's snapshot.
fn covered(
    cell: &Cell,
    outcome: &Outcome,
    answer: &Answer,
    map: MapRev,
    shards: &[Vec<TargetId>],
) -> bool {
    let searched = |shard: usize| {
        shards[shard].iter().any(|id| {
            let runs = cell.searchers[id].runs(outcome.body.as_bytes());
            let at = |(snapshot, m): &(Snapshot, MapRev)| *snapshot == answer.snapshot && *m == map;
            runs.ended.iter().any(at)
        })
    };
    answer.total == shards.len()
        && (0..shards.len())
            .filter(|s| !answer.missing.contains(s))
            .all(searched)
}

#[allow(clippy::cast_precision_loss)]
fn percent(part: usize, whole: usize) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}
