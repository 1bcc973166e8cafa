//! Reconstructs the course of one request from the log lines of several nodes.
//!
//! [`lines`] parses `key=value` lines and skips all others, [`Story::of`]
//! selects the lines of one request and related events close to it in time,
//! and [`text`] formats the result. Lines are ordered by the wall-clock time of
//! the nodes that wrote them.

use std::{borrow::Cow, collections::BTreeMap, fmt::Write as _};

use serde::Serialize;

/// Seconds before the request's first line and after its last one within which
/// events of its targets and nodes are included.
const AROUND_SECS: f64 = 5.0;

/// Maximum number of related events included.
const MAX_AROUND: usize = 40;

/// Events that end a request, and the outcome that each stands for.
const OUTCOMES: [(&str, &str); 10] = [
    ("request.answered", "answered"),
    ("request.partial", "answered without some shards"),
    ("request.failed", "not answered"),
    ("request.refused", "refused"),
    ("request.rejected", "rejected: the caller's fault"),
    (
        "request.no-route",
        "refused: no route for its host and path",
    ),
    ("request.banned", "refused: it crashes its targets"),
    (
        "request.unauthorized",
        "refused: its key does not authenticate it",
    ),
    (
        "request.no-region",
        "refused: its route and its team have no region in common",
    ),
    (
        "request.no-room",
        "refused: too many requests were waiting for its searchers",
    ),
];

/// Causes in log lines, and the meaning of each.
const REASONS: [(&str, &str); 14] = [
    ("no-target", "no searcher is known that may be sent it"),
    (
        "no-room",
        "all searchers were at this node's part of their connections",
    ),
    (
        "quiet",
        "all searchers had asked for quiet (Retry-After on a refusal)",
    ),
    (
        "limited",
        "all searchers took a limited rate or paused after refusals",
    ),
    (
        "silent",
        "no searcher had replied for some time, and the rest sufficed",
    ),
    ("not-sent", "no searcher could be reached"),
    ("refused", "searchers said that they did not run it"),
    (
        "missing",
        "401: the route is not public, and the request had no key",
    ),
    (
        "malformed",
        "401: Authorization is not one \"Bearer KEY\" of visible ASCII",
    ),
    (
        "unknown",
        "401: no team of the node's configuration has the key",
    ),
    (
        "outdated",
        "503: the node's configuration was too old to trust a key",
    ),
    ("late", "no reply came in time"),
    ("failed", "a searcher answered with a failure"),
    (
        "lost",
        "a connection was lost while a searcher had the call",
    ),
];

/// Events about one target, which the line names.
const TARGET_EVENTS: [&str; 6] = [
    "target.new",
    "target.draining",
    "target.lapsed",
    "target.leaving",
    "target.quiet",
    "request.crashed-target",
];

/// Events about the state of the node that logged them.
const NODE_EVENTS: [&str; 17] = [
    "admission.limited",
    "admission.open",
    "config.in-force",
    "domain.out",
    "domain.back",
    "store.lost",
    "store.regained",
    "store.outage-ended",
    "store.restored",
    "node.shares",
    "node.slept",
    "node.load",
    "task.failed",
    "log.dropped",
    "view.doubted",
    "stop.asked",
    "stop.closing",
];

/// One parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line<'a> {
    /// Name of the event.
    pub event: Cow<'a, str>,
    /// Unix time in seconds.
    pub time: f64,
    /// VM that wrote the line.
    pub vm: Cow<'a, str>,
    /// The other key-value pairs without the level, in order.
    pub pairs: Vec<(&'a str, Cow<'a, str>)>,
}

impl Line<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(k, _)| *k == key)?;
        Some(&pair.1)
    }
}

/// One log line of a story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Milliseconds after the request's first line.
    pub after_ms: f64,
    /// VM that wrote the line.
    pub vm: String,
    /// Name of the event.
    pub event: String,
    /// The other key-value pairs, without the level and the request's id.
    pub pairs: BTreeMap<String, String>,
}

/// Course of one request according to its log lines.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Story {
    /// Id of the request.
    pub id: String,
    /// Outcome of the request; none when the line that ends it is missing.
    pub outcome: Option<String>,
    /// Reason for the outcome.
    pub reason: Option<String>,
    /// Whether a searcher may have run the request; none when the line that ends
    /// it doesn't say.
    pub may_have_run: Option<bool>,
    /// Route, version, shards, attempts, hedges and similar values of the line
    /// that ends the request.
    pub facts: BTreeMap<String, String>,
    /// Log lines of the request, by time.
    pub steps: Vec<Step>,
    /// Related events of its targets and nodes, by time.
    pub around: Vec<Step>,
}

/// Parses the log lines in a text. Anything before `event=` in a line, such as
/// the prefix of a log collector, is skipped.
pub fn lines(text: &str) -> impl Iterator<Item = Line<'_>> {
    text.lines().filter_map(parse_line)
}

fn parse_line(text: &str) -> Option<Line<'_>> {
    // A truncated line that runs into the next one holds two events, of which
    // only the last is complete.
    let mut rest = &text[text.rfind("event=")?..];
    let mut pairs = Vec::new();
    while let Some((key, value, after)) = parse_pair(rest) {
        pairs.push((key, value));
        rest = after;
    }
    let mut remove = |key| {
        let index = pairs.iter().position(|(k, _)| *k == key)?;
        Some(pairs.remove(index).1)
    };
    let (event, time, vm) = (remove("event")?, remove("time")?, remove("vm")?);
    remove("level");
    Some(Line {
        event,
        time: time.parse().ok()?,
        vm,
        pairs,
    })
}

/// Parses the first `key=value` pair of `text`, whose value may be quoted, and
/// returns it with the rest of the text.
fn parse_pair(text: &str) -> Option<(&str, Cow<'_, str>, &str)> {
    let (key, rest) = text.trim_start().split_once('=')?;
    if !rest.starts_with('"') {
        let end = rest.find(' ').unwrap_or(rest.len());
        return Some((key, Cow::Borrowed(&rest[..end]), &rest[end..]));
    }
    let mut escaped = false;
    let end = rest.char_indices().skip(1).find(|(_, c)| {
        let closes = *c == '"' && !escaped;
        escaped = *c == '\\' && !escaped;
        closes
    });
    let end = end?.0 + 1;
    let quoted = &rest[..end];
    let value = serde_json::from_str(quoted).unwrap_or_else(|_| quoted.to_owned());
    Some((key, Cow::Owned(value), &rest[end..]))
}

impl Story {
    /// Reconstructs the request `id`; none when no line names it.
    #[must_use]
    pub fn of(lines: &[Line<'_>], id: &str) -> Option<Self> {
        let mut request_lines: Vec<_> = lines.iter().filter(|l| l.get("id") == Some(id)).collect();
        request_lines.sort_by(|a, b| a.time.total_cmp(&b.time));
        let (first, last) = (request_lines.first()?.time, request_lines.last()?.time);
        let end = request_lines
            .iter()
            .rev()
            .find_map(|l| Some((*l, outcome(l)?)));
        let related: Vec<_> = lines
            .iter()
            .filter(|l| (first - AROUND_SECS..=last + AROUND_SECS).contains(&l.time))
            .filter(|l| is_related(l, &request_lines))
            .collect();
        let step = |line: &&Line<'_>| step(line, first);
        let mut around: Vec<_> = related.iter().map(step).collect();
        around.sort_by(|a, b| a.after_ms.total_cmp(&b.after_ms));
        around.truncate(MAX_AROUND);
        Some(Self {
            id: id.to_owned(),
            outcome: end.map(|(_, outcome)| outcome.to_owned()),
            reason: end.and_then(|(line, _)| reason(line)),
            may_have_run: end.and_then(|(line, _)| may_have_run(line)),
            facts: end.map(|(line, _)| facts(line)).unwrap_or_default(),
            steps: request_lines.iter().map(step).collect(),
            around,
        })
    }
}

fn outcome(line: &Line<'_>) -> Option<&'static str> {
    let found = OUTCOMES.iter().find(|(event, _)| *event == line.event);
    found.map(|(_, outcome)| *outcome)
}

/// Whether a line is an event of a target or node that occurs in
/// `request_lines`.
fn is_related(line: &Line<'_>, request_lines: &[&Line<'_>]) -> bool {
    let event = &*line.event;
    if TARGET_EVENTS.contains(&event) {
        let target = line.get("target");
        return request_lines
            .iter()
            .any(|o| target.is_some() && o.get("target") == target);
    }
    NODE_EVENTS.contains(&event) && request_lines.iter().any(|o| o.vm == line.vm)
}

/// Converts a line to a step; `start` is the Unix time of the request's first
/// line in seconds.
fn step(line: &Line<'_>, start: f64) -> Step {
    let pairs = line.pairs.iter().filter(|(key, _)| *key != "id");
    Step {
        after_ms: ((line.time - start) * 1_000.0).round(),
        vm: line.vm.to_string(),
        event: line.event.to_string(),
        pairs: pairs
            .map(|(k, v)| ((*k).to_owned(), v.to_string()))
            .collect(),
    }
}

fn facts(line: &Line<'_>) -> BTreeMap<String, String> {
    let keys = [
        "route", "service", "version", "shards", "calls", "hedges", "attempts", "missing",
        "reached", "total", "left_us", "took_us",
    ];
    let known = keys.iter().filter_map(|k| Some((*k, line.get(k)?)));
    known.map(|(k, v)| (k.to_owned(), v.to_owned())).collect()
}

fn may_have_run(line: &Line<'_>) -> Option<bool> {
    if let Some(not_run) = line.get("not_run") {
        return Some(not_run != "true");
    }
    line.get("ran").map(|ran| ran != "NotRun" && ran != "false")
}

/// Reason for the outcome: the cause for the whole request, or else the causes
/// for the missing shards with their numbers.
fn reason(line: &Line<'_>) -> Option<String> {
    let meaning = |cause: &str| {
        let found = REASONS.iter().find(|(name, _)| *name == cause);
        found.map_or_else(|| cause.to_owned(), |(name, why)| format!("{name}: {why}"))
    };
    if let Some(cause) = line.get("cause").or_else(|| line.get("kind")) {
        return Some(meaning(cause));
    }
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for shard in line.get("missing")?.split(',') {
        if let Some((_, cause)) = shard.rsplit_once(':') {
            *counts.entry(cause).or_default() += 1;
        }
    }
    let reasons = counts.into_iter();
    let reasons = reasons.map(|(cause, count)| format!("{} (shards: {count})", meaning(cause)));
    Some(reasons.collect::<Vec<_>>().join("; "))
}

/// Formats a story as text.
#[must_use]
pub fn text(story: &Story) -> String {
    let mut out = String::new();
    let outcome = story.outcome.as_deref();
    let outcome = outcome.unwrap_or("unknown: its last line is not among these lines");
    let _ = writeln!(out, "request {}: {outcome}", story.id);
    if let Some(reason) = &story.reason {
        let _ = writeln!(out, "reason: {reason}");
    }
    if let Some(may_have_run) = story.may_have_run {
        let run = if may_have_run {
            "may have run"
        } else {
            "not run"
        };
        let _ = writeln!(out, "run: {run}");
    }
    for (key, value) in &story.facts {
        let _ = writeln!(out, "{key}: {value}");
    }
    for (title, steps) in [("lines", &story.steps), ("around it", &story.around)] {
        if steps.is_empty() {
            continue;
        }
        let _ = writeln!(out, "\n{title}, milliseconds after its first line:");
        for step in steps {
            let _ = write!(out, "{:>8.0}  {}  {}", step.after_ms, step.vm, step.event);
            for (key, value) in &step.pairs {
                let _ = write!(out, "  {key}={value}");
            }
            out.push('\n');
        }
    }
    out
}
