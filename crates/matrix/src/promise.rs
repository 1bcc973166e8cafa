//! The promises of the tier, judged on the records of one run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use heatherrun_kernel::{DomainId, TargetId, Time};
use heatherrun_schema::v1;

use crate::journal::{Ending, Records};

/// Time after which a taken-out domain or a leaving target gets no new work.
const OUT_TIME: Duration = Duration::from_secs(3);

/// Time within which an accepted configuration is in force everywhere.
const FORCE_TIME: Duration = Duration::from_secs(19);

/// Lots in the reply of one shard; see the fake searcher.
const LOTS_PER_SHARD: usize = 3;

/// One promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// Every answer comes from one snapshot.
    Snapshot,
    /// Every answer states its coverage truly.
    Coverage,
    /// A cold target gets no more than it bears.
    Cold,
    /// A taken-out failure domain gets no new work after a few seconds.
    DomainOut,
    /// A caller gets the whole answer to its own request.
    Whole,
    /// A refusal that says "not run" is true.
    NotRun,
    /// A once-only request runs at most once.
    Once,
    /// A leaving target gets no new work after a few seconds.
    Leaving,
    /// A planned stop cuts no request.
    Graceful,
    /// An accepted configuration is in force within seconds, never reverts.
    Config,
    /// After the fault is over, service is whole again.
    Recovery,
}

/// What a run leaves behind besides its records.
#[derive(Clone, Debug, Default)]
pub struct Aftermath {
    /// Arrivals past what a target bears, by target.
    pub breaches: Vec<(TargetId, u64)>,
    /// Nodes that were up and reachable to the end.
    pub alive: Vec<usize>,
    /// Whether the last searches through every live node covered all shards.
    pub recovered: bool,
    /// Nodes that were killed or paused, whose callers lose connections.
    pub hurt: BTreeSet<usize>,
    /// Nodes that were cut off from the store or paused at some time.
    pub behind: BTreeSet<usize>,
    /// End of the run.
    pub end: Time,
}

/// One broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Promise.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

/// Judges one run; empty when every promise held.
#[must_use]
pub fn judge(records: &Records, after: &Aftermath) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut check = |promise, seen: Option<String>| {
        if let Some(seen) = seen {
            broken.push(Broken { promise, seen });
        }
    };
    check(Promise::Snapshot, mixed_snapshot(records));
    check(Promise::Coverage, false_coverage(records));
    check(Promise::Cold, overrun(after));
    check(Promise::DomainOut, work_in_domain(records));
    check(Promise::Whole, not_whole(records));
    check(Promise::NotRun, false_not_run(records));
    check(Promise::Once, ran_twice(records));
    check(Promise::Leaving, work_on_leaving(records));
    check(Promise::Graceful, cut_request(records, after));
    check(
        Promise::Config,
        reverted(records).or_else(|| not_in_force(records, after)),
    );
    let whole = (!after.recovered).then(|| "searches not whole at the end".to_owned());
    check(Promise::Recovery, whole);
    broken
}

/// Answers with the text of their request.
fn answers(records: &Records) -> impl Iterator<Item = (&str, &v1::SearchAnswer)> {
    records.requests.iter().filter_map(|r| match &r.ending {
        Ending::Answer(answer) => Some((r.text.as_str(), answer)),
        _ => None,
    })
}

fn mixed_snapshot(records: &Records) -> Option<String> {
    for (text, answer) in answers(records) {
        let label = format!("@{}", answer.snapshot);
        if let Some(lot) = answer.lots.iter().find(|lot| !lot.id.ends_with(&label)) {
            return Some(format!(
                "{text}: lot {} in snapshot {}",
                lot.id, answer.snapshot
            ));
        }
    }
    None
}

/// Shards that an answer has lots of, with their count.
fn lots_by_shard(answer: &v1::SearchAnswer) -> BTreeMap<u32, usize> {
    let mut shards = BTreeMap::new();
    for lot in &answer.lots {
        let shard = lot.id.trim_start_matches('s').split('-').next();
        let shard = shard.and_then(|s| s.parse().ok()).unwrap_or(u32::MAX);
        *shards.entry(shard).or_insert(0) += 1;
    }
    shards
}

fn false_coverage(records: &Records) -> Option<String> {
    for (text, answer) in answers(records) {
        let coverage = answer.coverage.clone().unwrap_or_default();
        let shards = lots_by_shard(answer);
        let missing: BTreeSet<u32> = coverage.missing.iter().map(|m| m.shard).collect();
        let overlap = missing.iter().any(|shard| shards.contains_key(shard));
        let sum = shards.len() + missing.len();
        if overlap || shards.len() != coverage.reached as usize || sum != coverage.total as usize {
            return Some(format!("{text}: {coverage:?} but lots of {shards:?}"));
        }
    }
    None
}

fn overrun(after: &Aftermath) -> Option<String> {
    let (target, count) = after.breaches.iter().find(|(_, count)| *count > 0)?;
    Some(format!("target {target} overrun {count} times"))
}

fn work_in_domain(records: &Records) -> Option<String> {
    let (out, domain) = records.domain_out?;
    late_work(records, out, |_, d| d == domain)
}

fn work_on_leaving(records: &Records) -> Option<String> {
    let (out, target) = records.target_drain?;
    late_work(records, out, |t, _| t == target)
}

fn late_work(
    records: &Records,
    out: Time,
    concerned: impl Fn(TargetId, DomainId) -> bool,
) -> Option<String> {
    let late =
        |run: &&crate::journal::Run| run.at > out + OUT_TIME && concerned(run.target, run.domain);
    let run = records.runs.iter().find(late)?;
    Some(format!("{} sent at {} after {out}", run.text, run.at))
}

fn not_whole(records: &Records) -> Option<String> {
    for (text, answer) in answers(records) {
        if let Some(lot) = answer.lots.iter().find(|lot| lot.text != text) {
            return Some(format!("{text}: got a lot for {}", lot.text));
        }
        let shards = lots_by_shard(answer);
        if let Some((shard, count)) = shards.iter().find(|(_, count)| **count != LOTS_PER_SHARD) {
            return Some(format!("{text}: {count} lots of shard {shard}"));
        }
    }
    for request in &records.requests {
        if let Ending::Reply(reply) = &request.ending
            && reply.body != request.text
        {
            return Some(format!("{}: got the reply {}", request.text, reply.body));
        }
    }
    None
}

fn false_not_run(records: &Records) -> Option<String> {
    for request in &records.requests {
        let Ending::Refused(refused) = &request.ending else {
            continue;
        };
        if refused.ran() != v1::Ran::NotRun {
            continue;
        }
        let ran = |run: &&crate::journal::Run| run.text == request.text && run.at <= request.ended;
        if let Some(run) = records.runs.iter().find(ran) {
            return Some(format!(
                "{}: not run, but ran on {} at {}",
                request.text, run.target, run.at
            ));
        }
    }
    None
}

fn ran_twice(records: &Records) -> Option<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for run in records.runs.iter().filter(|run| run.text.contains("once")) {
        *counts.entry(&run.text).or_default() += 1;
    }
    let (text, count) = counts.into_iter().find(|(_, count)| *count > 1)?;
    Some(format!("{text} ran {count} times"))
}

fn cut_request(records: &Records, after: &Aftermath) -> Option<String> {
    let (_, node) = records.node_drain?;
    if after.hurt.contains(&node) {
        return None;
    }
    let cut = |r: &&crate::journal::Request| r.node == node && r.ending == Ending::Lost;
    let request = records.requests.iter().find(cut)?;
    Some(format!("{} was cut at {}", request.text, request.ended))
}

fn reverted(records: &Records) -> Option<String> {
    let mut newest = BTreeMap::new();
    for seen in &records.in_force {
        let before = newest.insert(seen.node, seen.revision);
        if before.is_some_and(|before| before > seen.revision) {
            return Some(format!("node {} went back to {}", seen.node, seen.revision));
        }
    }
    None
}

fn not_in_force(records: &Records, after: &Aftermath) -> Option<String> {
    for accepted in &records.accepted {
        let due = accepted.at + FORCE_TIME;
        if due > after.end {
            continue;
        }
        for node in after.alive.iter().filter(|n| !after.behind.contains(n)) {
            let seen = records.in_force.iter().rev();
            let last = seen
                .filter(|s| s.node == *node && s.at <= due)
                .map(|s| s.revision)
                .next();
            if last.is_none_or(|revision| revision < accepted.revision) {
                return Some(format!(
                    "node {node} at {last:?}, not {}",
                    accepted.revision
                ));
            }
        }
    }
    None
}
