//! Commands that show the past: configuration changes, recent queries and
//! service-level burn.

use std::fs;

use anyhow::{Context as _, Result};
use heatherrun_kernel::registry;
use heatherrun_report::{Table, merge, units};
use heatherrun_schema::v1;

use crate::args::Burn;
use crate::command::format_reply;
use crate::reply::{Exit, Reply, push_line};
use crate::session::Session;

pub(crate) fn history(session: &Session, json: bool) -> Result<Reply> {
    let request = v1::HistoryRequest::default();
    let answer = session.client().history(&request)?;
    Ok(format_reply(&answer, json, |answer| {
        let mut table = Table::new(&["revision", "at", "change"]);
        for change in &answer.changes {
            table.row([
                change.revision.to_string(),
                units::utc(change.unix_ms),
                change.summary.clone(),
            ]);
        }
        table.to_string()
    }))
}

pub(crate) fn diff(session: &Session, from: u64, json: bool) -> Result<Reply> {
    let answer = session.client().history(&v1::HistoryRequest { from })?;
    Ok(format_reply(&answer, json, |answer| {
        if answer.diff.is_empty() {
            return format!("nothing changed since revision {from}\n");
        }
        answer.diff.join("\n") + "\n"
    }))
}

/// Calls every node in turn, as only the node that handled the query keeps a
/// record of its attempts.
pub(crate) fn explain(session: &Session, id: &str, json: bool) -> Result<Reply> {
    let mut warnings = String::new();
    let mut last_error = None;
    let mut not_found = 0;
    for node in &session.nodes {
        let request = v1::ExplainRequest { id: id.to_owned() };
        match session.client_for(node).explain(&request) {
            Ok(answer) if answer.found => return Ok(format_reply(&answer, json, attempts_text)),
            Ok(_) => not_found += 1,
            Err(e) => {
                push_line(&mut warnings, format_args!("heatherrun: {e}"));
                last_error = Some(e);
            }
        }
    }
    match last_error {
        Some(e) if not_found == 0 => Err(e.into()),
        _ => {
            let remedy = "name the node that answered it with --node, soon after the query";
            push_line(
                &mut warnings,
                format_args!(
                    "heatherrun: {not_found} nodes have no record of query {id:?}; {remedy}"
                ),
            );
            Ok(Reply::failed(Exit::Refused, warnings))
        }
    }
}

fn attempts_text(answer: &v1::ExplainAnswer) -> String {
    let summary = format!(
        "query {} on snapshot {} took {} with {} attempts\n",
        answer.id,
        answer.snapshot,
        units::micros(answer.took_us),
        answer.attempts.len()
    );
    let mut table = Table::new(&[
        "shard", "attempt", "target", "owner", "sent at", "took", "outcome",
    ]);
    for attempt in &answer.attempts {
        table.row([
            attempt.shard.to_string(),
            attempt.reason.clone(),
            attempt.target.clone(),
            attempt.owner.clone(),
            units::micros(attempt.sent_us),
            units::micros(attempt.took_us),
            attempt.outcome.clone(),
        ]);
    }
    summary + &table.to_string()
}

/// Merges the burn of all nodes that can be reached; the others are listed as
/// not counted.
pub(crate) fn burn(session: &Session, burn: &Burn, json: bool) -> Result<Reply> {
    let request = v1::BurnRequest {
        service: burn.service.clone().unwrap_or_default(),
    };
    let mut merged = v1::BurnAnswer::default();
    let mut warnings = String::new();
    let mut last_error = None;
    for node in &session.nodes {
        match session.client_for(node).burn(&request) {
            Ok(answer) => merge::merge(&mut merged, answer),
            Err(e) => {
                push_line(&mut warnings, format_args!("not counted: {e}"));
                last_error = Some(e);
            }
        }
    }
    if let (true, Some(e)) = (merged.nodes.is_empty(), last_error) {
        return Err(e.into());
    }
    let mut reply = if let Some(file) = &burn.html {
        let name = file.display();
        let page = registry::report("html")?(&merged);
        fs::write(file, page).with_context(|| format!("cannot write {name}; name another file"))?;
        Reply::done(format!("wrote {name}\n"))
    } else {
        let format = if json { "json" } else { "table" };
        Reply::done(registry::report(format)?(&merged))
    };
    reply.stderr = warnings;
    Ok(reply)
}
