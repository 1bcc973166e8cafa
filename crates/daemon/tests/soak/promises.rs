//! Checks the promises of the tier against the requests that callers sent and
//! searchers received.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::RangeInclusive;
use std::time::Duration;

use heatherrun_ports::http_client::ExchangeError;
use tokio::time::Instant;

use crate::callers::{HANG_TIMEOUT, SentRequest};
use crate::common::searcher::Searcher;

/// Time after its report from which a draining searcher must receive no new
/// requests; the user documentation names 3 s.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Records that the searchers of each shard return, by service.
pub const RECORDS: [(&str, &str); 3] = [
    ("s0", "record-0000-aaaarecord-0003-dddd"),
    ("s1", "record-0002-cccc"),
    ("s2", "record-0001-bbbb"),
];

/// A searcher, its service and the start of its drain.
pub struct KnownSearcher {
    pub searcher: Searcher,
    pub service: String,
    /// When the store accepted the report that the searcher is draining.
    pub drain_started: Option<Instant>,
}

/// A graceful shutdown of a node, from the signal to the exit.
pub struct Shutdown {
    pub node: usize,
    pub span: RangeInclusive<Instant>,
}

/// Time for which the process of a node was stopped by a signal.
pub struct Pause {
    pub node: usize,
    pub span: RangeInclusive<Instant>,
}

impl Pause {
    /// Part of the time of a request at the same node.
    fn overlap(&self, sent: &SentRequest) -> Duration {
        if self.node != sent.node {
            return Duration::ZERO;
        }
        let end = sent.ended.min(*self.span.end());
        end.saturating_duration_since(sent.started.max(*self.span.start()))
    }
}

/// Everything recorded in one run.
#[derive(Default)]
pub struct Recorded {
    pub sent: Vec<SentRequest>,
    pub searchers: Vec<KnownSearcher>,
    /// Graceful shutdowns in runs without overlapping faults.
    pub shutdowns: Vec<Shutdown>,
    /// Pauses of nodes. A step that waits for the exit of another node prolongs
    /// them.
    pub pauses: Vec<Pause>,
    /// Periods in which a fault of a node or of the store was active.
    pub disruptions: Vec<RangeInclusive<Instant>>,
}

/// Maps each request id to the searchers that ran it, or may have, and the times
/// at which it arrived there.
fn executions(recorded: &Recorded) -> HashMap<String, Vec<(&KnownSearcher, Instant)>> {
    let mut executions: HashMap<String, Vec<(&KnownSearcher, Instant)>> = HashMap::new();
    for known in &recorded.searchers {
        for arrival in known.searcher.seen() {
            let id = arrival.header("request-id").unwrap_or_default();
            if let Some(at) = arrival.at.filter(|_| !arrival.refused) {
                executions.entry(id).or_default().push((known, at));
            }
        }
    }
    executions
}

/// Returns the first violation of each kind.
pub fn find_violations(recorded: &Recorded) -> Vec<String> {
    let executions = executions(recorded);
    let mut violations: BTreeMap<&str, String> = BTreeMap::new();
    let mut record_violation = |kind: &'static str, detail: String| {
        violations
            .entry(kind)
            .or_insert(format!("{kind}: {detail}"));
    };
    let mut sent_ids = BTreeSet::new();
    for sent in &recorded.sent {
        sent_ids.insert(sent.id.as_str());
        let ran = executions.get(&sent.id).map_or(&[][..], Vec::as_slice);
        if sent.route == "once" && ran.len() > 1 {
            record_violation("twice", format!("{} ran {} times", sent.id, ran.len()));
        }
        let paused: Duration = recorded.pauses.iter().map(|p| p.overlap(sent)).sum();
        if (sent.ended - sent.started).saturating_sub(paused) >= HANG_TIMEOUT {
            record_violation("hangs", format!("{} of node {}", sent.id, sent.node));
        }
        match &sent.result {
            Ok(reply) => {
                let status = reply.status().as_u16();
                if matches!(status, 429 | 503) && sent.route == "once" && !ran.is_empty() {
                    record_violation(
                        "refused",
                        format!("{} was reported as not run, but ran", sent.id),
                    );
                }
                if matches!(status, 400..=428 | 430..=499) {
                    record_violation("denied", format!("{} got {status}", sent.id));
                }
                if status == 200
                    && let Err(why) = check_answer(sent, &recorded.searchers)
                {
                    record_violation("mixed", format!("{}: {why}", sent.id));
                }
            }
            Err(ExchangeError::Lost | ExchangeError::BadReply) => {
                let interrupts = |s: &Shutdown| s.node == sent.node && s.span.contains(&sent.ended);
                if !ran.is_empty() && recorded.shutdowns.iter().any(interrupts) {
                    record_violation(
                        "lost",
                        format!("{} was interrupted by a graceful shutdown", sent.id),
                    );
                }
            }
            Err(_) => {}
        }
    }
    if let Some(id) = executions.keys().find(|id| !sent_ids.contains(id.as_str())) {
        record_violation("unasked", format!("{id} ran, but no caller sent it"));
    }
    for (id, ran) in &executions {
        for (known, at) in ran {
            let is_late = known
                .drain_started
                .is_some_and(|drain_started| *at > drain_started + DRAIN_TIMEOUT);
            let explains = |span: &RangeInclusive<Instant>| {
                (*span.start()..=*span.end() + DRAIN_TIMEOUT).contains(at)
            };
            if is_late && !recorded.disruptions.iter().any(explains) {
                let name = &known.searcher.id;
                record_violation("drain", format!("{id} reached {name} after its drain"));
            }
        }
    }
    violations.into_values().collect()
}

/// Checks that a successful answer consists of the records of the searchers that
/// it names.
fn check_answer(sent: &SentRequest, searchers: &[KnownSearcher]) -> Result<(), String> {
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
    let answering: BTreeSet<_> = parts.iter().copied().collect();
    let missing: usize = header("missing-shards").parse().unwrap_or(usize::MAX);
    if answering.len() != parts.len() || parts.len() + missing != RECORDS.len() {
        return Err(format!("parts {parts:?} and {missing} missing"));
    }
    let records = RECORDS
        .iter()
        .filter(|(service, _)| answering.contains(service));
    let mut records: Vec<_> = records
        .flat_map(|(_, records)| records.as_bytes().chunks(16))
        .map(String::from_utf8_lossy)
        .collect();
    records.sort_by(|a, b| b.cmp(a));
    records.truncate(3);
    if body == records.concat() {
        Ok(())
    } else {
        Err(format!("records {body:?} of {answering:?}"))
    }
}
