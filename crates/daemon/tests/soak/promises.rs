//! The promises that a run is held to, from what callers and searchers saw.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::RangeInclusive;
use std::time::Duration;

use heatherrun_ports::http_client::ExchangeError;
use tokio::time::Instant;

use crate::callers::{HANGS, Sent};
use crate::common::searcher::Searcher;

/// Time after which a leaving searcher gets nothing new; the users' pages
/// name 3 s.
const DRAIN: Duration = Duration::from_secs(3);

/// Records that each searcher of a shard answers with.
pub const RECORDS: [(&str, &str); 3] = [
    ("s0", "record-0000-aaaarecord-0003-dddd"),
    ("s1", "record-0002-cccc"),
    ("s2", "record-0001-bbbb"),
];

/// A searcher and what was done to it.
pub struct Known {
    pub searcher: Searcher,
    pub service: String,
    /// When the store took the report that it leaves.
    pub leaves: Option<Instant>,
}

/// A planned stop of a node: from its signal to its end.
pub struct Stop {
    pub node: usize,
    pub span: RangeInclusive<Instant>,
}

/// Everything a run saw.
#[derive(Default)]
pub struct Seen {
    pub sent: Vec<Sent>,
    pub searchers: Vec<Known>,
    /// Planned stops beside which nothing else was harmed.
    pub stops: Vec<Stop>,
    /// Times at which some process or link was harmed.
    pub harmed: Vec<RangeInclusive<Instant>>,
}

/// Arrivals of each request at searchers that ran it or may have.
fn runs(seen: &Seen) -> HashMap<String, Vec<(&Known, Instant)>> {
    let mut runs: HashMap<String, Vec<(&Known, Instant)>> = HashMap::new();
    for known in &seen.searchers {
        for arrived in known.searcher.seen() {
            let id = arrived.header("request-id").unwrap_or_default();
            if let Some(at) = arrived.at.filter(|_| !arrived.refused) {
                runs.entry(id).or_default().push((known, at));
            }
        }
    }
    runs
}

/// The first broken promise of each kind.
pub fn breaches(seen: &Seen) -> Vec<String> {
    let runs = runs(seen);
    let mut found: BTreeMap<&str, String> = BTreeMap::new();
    let mut note = |kind: &'static str, why: String| {
        found.entry(kind).or_insert(format!("{kind}: {why}"));
    };
    let mut asked = BTreeSet::new();
    for sent in &seen.sent {
        asked.insert(sent.id.as_str());
        let ran = runs.get(&sent.id).map_or(&[][..], Vec::as_slice);
        if sent.route == "once" && ran.len() > 1 {
            note("twice", format!("{} ran {} times", sent.id, ran.len()));
        }
        if sent.ended - sent.at >= HANGS {
            note("hangs", format!("{} of node {}", sent.id, sent.node));
        }
        match &sent.result {
            Ok(reply) => {
                let status = reply.status().as_u16();
                if matches!(status, 429 | 503) && sent.route == "once" && !ran.is_empty() {
                    note("refused", format!("{} was told not run and ran", sent.id));
                }
                if matches!(status, 400..=428 | 430..=499) {
                    note("denied", format!("{} got {status}", sent.id));
                }
                if status == 200
                    && let Err(why) = check_answer(sent, &seen.searchers)
                {
                    note("mixed", format!("{}: {why}", sent.id));
                }
            }
            Err(ExchangeError::Lost | ExchangeError::BadReply) => {
                let cut = |s: &Stop| s.node == sent.node && s.span.contains(&sent.ended);
                if !ran.is_empty() && seen.stops.iter().any(cut) {
                    note("lost", format!("{} was cut by a planned stop", sent.id));
                }
            }
            Err(_) => {}
        }
    }
    if let Some(id) = runs.keys().find(|id| !asked.contains(id.as_str())) {
        note("unasked", format!("{id} ran, and no caller sent it"));
    }
    for (id, ran) in &runs {
        for (known, at) in ran {
            let late = known.leaves.is_some_and(|leaves| *at > leaves + DRAIN);
            let harmed =
                |span: &RangeInclusive<Instant>| (*span.start()..=*span.end() + DRAIN).contains(at);
            if late && !seen.harmed.iter().any(harmed) {
                let name = &known.searcher.id;
                note("drain", format!("{id} reached {name} after it left"));
            }
        }
    }
    found.into_values().collect()
}

/// Whether a success is what searchers answered.
fn check_answer(sent: &Sent, searchers: &[Known]) -> Result<(), String> {
    let reply = sent.result.as_ref().map_err(ToString::to_string)?;
    let body = String::from_utf8_lossy(reply.body()).into_owned();
    let header = |name: &str| {
        let value = reply.headers().get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    };
    let service_of = |stamp: &str| {
        let id = stamp.trim().strip_prefix("stamp-");
        let known = searchers
            .iter()
            .find(|k| Some(k.searcher.id.as_str()) == id);
        known
            .map(|k| k.service.as_str())
            .ok_or(format!("stamp {stamp:?}"))
    };
    if sent.route != "all" {
        let service = service_of(header("server-stamp"))?;
        if body != service {
            return Err(format!("body {body:?} under a stamp of {service}"));
        }
        let allowed: &[&str] = if sent.route == "moved" {
            &["one", "two"]
        } else {
            &["one"]
        };
        if !allowed.contains(&service) {
            return Err(format!("ran at {service}"));
        }
        return Ok(());
    }
    let stamps = header("shard-stamps");
    let parts: Vec<_> = stamps
        .split(',')
        .map(service_of)
        .collect::<Result<_, _>>()?;
    let named: BTreeSet<_> = parts.iter().copied().collect();
    let missing: usize = header("missing-shards").parse().unwrap_or(usize::MAX);
    if named.len() != parts.len() || parts.len() + missing != RECORDS.len() {
        return Err(format!("parts {parts:?} and {missing} missing"));
    }
    let records = RECORDS
        .iter()
        .filter(|(service, _)| named.contains(service));
    let mut records: Vec<_> = records
        .flat_map(|(_, records)| records.as_bytes().chunks(16))
        .map(String::from_utf8_lossy)
        .collect();
    records.sort_by(|a, b| b.cmp(a));
    records.truncate(3);
    if body == records.concat() {
        Ok(())
    } else {
        Err(format!("records {body:?} of {named:?}"))
    }
}
