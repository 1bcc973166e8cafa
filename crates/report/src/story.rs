//! The story of one request, told from log lines of several nodes.
//!
//! [`lines`] reads `key=value` lines and passes over all others, [`Story::of`]
//! picks those of one request and what happened around it, and [`text`]
//! prints the story. Lines are ordered by their nodes' time of day.

use std::{borrow::Cow, collections::BTreeMap, fmt::Write as _};

use serde::Serialize;

/// Seconds before the request's first line and after its last one in which
/// lines about its targets and its node tell something.
const AROUND_SECS: f64 = 5.0;

/// Lines around the request that are told at the most.
const MOST_AROUND: usize = 40;

/// Last lines of a request, and the outcome that each tells.
const OUTCOMES: [(&str, &str); 7] = [
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
];

/// Reasons in lines, and what each means.
const REASONS: [(&str, &str); 7] = [
    ("no-target", "no searcher is known that may be sent it"),
    (
        "no-room",
        "all searchers were at this node's part of their connections",
    ),
    ("not-sent", "no searcher could be reached"),
    ("refused", "searchers said that they did not run it"),
    ("late", "no reply came in time"),
    ("failed", "a searcher answered with a failure"),
    (
        "lost",
        "a connection was lost while a searcher had the call",
    ),
];

/// Events that tell of one target.
const OF_TARGET: [&str; 4] = [
    "target.new",
    "target.draining",
    "target.lapsed",
    "request.crashed-target",
];

/// Events that tell of what a node knew.
const OF_NODE: [&str; 10] = [
    "config.in-force",
    "domain.out",
    "domain.back",
    "store.lost",
    "store.regained",
    "store.outage-ended",
    "log.dropped",
    "view.doubted",
    "stop.asked",
    "stop.closing",
];

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line<'a> {
    /// Name of the event.
    pub event: Cow<'a, str>,
    /// Unix time in seconds.
    pub time: f64,
    /// VM that wrote it.
    pub vm: Cow<'a, str>,
    /// The event's own pairs, in order.
    pub pairs: Vec<(&'a str, Cow<'a, str>)>,
}

impl Line<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(k, _)| *k == key)?;
        Some(&pair.1)
    }
}

/// One line of a story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Milliseconds after the request's first line.
    pub after_ms: f64,
    /// VM that wrote it.
    pub vm: String,
    /// Name of the event.
    pub event: String,
    /// The event's own pairs without the request's id.
    pub pairs: BTreeMap<String, String>,
}

/// One request as its lines tell it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Story {
    /// Id.
    pub id: String,
    /// What became of it; none when its last line is missing.
    pub outcome: Option<String>,
    /// What decided that.
    pub reason: Option<String>,
    /// Whether it may have run, as far as a line says.
    pub may_have_run: Option<bool>,
    /// What its last line says of route, version, parts, attempts and hedges.
    pub facts: BTreeMap<String, String>,
    /// Its lines.
    pub steps: Vec<Step>,
    /// What happened around it to its targets and its nodes.
    pub around: Vec<Step>,
}

/// Reads the log lines of a text. What stands before `event=` in a line, such
/// as the mark of a collector, is passed over.
pub fn lines(text: &str) -> impl Iterator<Item = Line<'_>> {
    text.lines().filter_map(line)
}

fn line(text: &str) -> Option<Line<'_>> {
    // A line that was cut and runs into the next one names two events; the
    // last one is whole.
    let mut rest = &text[text.rfind("event=")?..];
    let mut pairs = Vec::new();
    while let Some((key, value, after)) = pair(rest) {
        pairs.push((key, value));
        rest = after;
    }
    let mut take = |key| {
        let at = pairs.iter().position(|(k, _)| *k == key)?;
        Some(pairs.remove(at).1)
    };
    let (event, time, vm) = (take("event")?, take("time")?, take("vm")?);
    take("level");
    Some(Line {
        event,
        time: time.parse().ok()?,
        vm,
        pairs,
    })
}

/// The first pair of `text`, and what follows it.
fn pair(text: &str) -> Option<(&str, Cow<'_, str>, &str)> {
    let (key, rest) = text.trim_start().split_once('=')?;
    if !rest.starts_with('"') {
        let end = rest.find(' ').unwrap_or(rest.len());
        return Some((key, Cow::Borrowed(&rest[..end]), &rest[end..]));
    }
    let mut escaped = false;
    let end = rest.char_indices().skip(1).find(|(_, c)| {
        let ends = *c == '"' && !escaped;
        escaped = *c == '\\' && !escaped;
        ends
    });
    let end = end?.0 + 1;
    let quoted = &rest[..end];
    let value = serde_json::from_str(quoted).unwrap_or_else(|_| quoted.to_owned());
    Some((key, Cow::Owned(value), &rest[end..]))
}

impl Story {
    /// Story of the request `id`; none when no line names it.
    #[must_use]
    pub fn of(lines: &[Line<'_>], id: &str) -> Option<Self> {
        let mut own: Vec<_> = lines.iter().filter(|l| l.get("id") == Some(id)).collect();
        own.sort_by(|a, b| a.time.total_cmp(&b.time));
        let (first, last) = (own.first()?.time, own.last()?.time);
        let end = own.iter().rev().find_map(|l| Some((*l, outcome(l)?)));
        let near: Vec<_> = lines
            .iter()
            .filter(|l| (first - AROUND_SECS..=last + AROUND_SECS).contains(&l.time))
            .filter(|l| is_around(l, &own))
            .collect();
        let step = |line: &&Line<'_>| step(line, first);
        let mut around: Vec<_> = near.iter().map(step).collect();
        around.sort_by(|a, b| a.after_ms.total_cmp(&b.after_ms));
        around.truncate(MOST_AROUND);
        Some(Self {
            id: id.to_owned(),
            outcome: end.map(|(_, outcome)| outcome.to_owned()),
            reason: end.and_then(|(line, _)| reason(line)),
            may_have_run: end.and_then(|(line, _)| may_have_run(line)),
            facts: end.map(|(line, _)| facts(line)).unwrap_or_default(),
            steps: own.iter().map(step).collect(),
            around,
        })
    }
}

fn outcome(line: &Line<'_>) -> Option<&'static str> {
    let found = OUTCOMES.iter().find(|(event, _)| *event == line.event);
    found.map(|(_, outcome)| *outcome)
}

/// Whether a line tells of a target or a node of the request.
fn is_around(line: &Line<'_>, own: &[&Line<'_>]) -> bool {
    let event = &*line.event;
    if OF_TARGET.contains(&event) {
        let target = line.get("target");
        return own
            .iter()
            .any(|o| target.is_some() && o.get("target") == target);
    }
    OF_NODE.contains(&event) && own.iter().any(|o| o.vm == line.vm)
}

fn step(line: &Line<'_>, first: f64) -> Step {
    let pairs = line.pairs.iter().filter(|(key, _)| *key != "id");
    Step {
        after_ms: ((line.time - first) * 1_000.0).round(),
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

/// What decided the outcome: the cause of the whole, or of each shard that is
/// missing.
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
    let told = counts.into_iter();
    let told = told.map(|(cause, count)| format!("{} (shards: {count})", meaning(cause)));
    Some(told.collect::<Vec<_>>().join("; "))
}

/// The story as text.
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
        let word = if may_have_run {
            "may have run"
        } else {
            "not run"
        };
        let _ = writeln!(out, "run: {word}");
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
