//! Commands on what was: changes, recent queries, service-level burn.

use std::fs;

use anyhow::{Context as _, Result};
use heatherrun_kernel::registry;
use heatherrun_report::{Table, merge, units};
use heatherrun_schema::v1;

use crate::args::Burn;
use crate::command::print;
use crate::reply::{Exit, Reply, push_line};
use crate::session::Session;

pub(crate) fn history(session: &Session, json: bool) -> Result<Reply> {
    let request = v1::HistoryRequest::default();
    let answer = session.client().history(&request)?;
    Ok(print(&answer, json, |answer| {
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
    Ok(print(&answer, json, |answer| {
        if answer.diff.is_empty() {
            return format!("nothing changed since revision {from}\n");
        }
        answer.diff.join("\n") + "\n"
    }))
}

/// The node that took the query knows how it went: all are asked.
pub(crate) fn explain(session: &Session, id: &str, json: bool) -> Result<Reply> {
    let mut notes = String::new();
    let mut failed = None;
    let mut asked = 0;
    for node in &session.nodes {
        let request = v1::ExplainRequest { id: id.to_owned() };
        match session.client_of(node).explain(&request) {
            Ok(answer) if answer.found => return Ok(print(&answer, json, attempts)),
            Ok(_) => asked += 1,
            Err(e) => {
                push_line(&mut notes, format_args!("heatherrun: {e}"));
                failed = Some(e);
            }
        }
    }
    match failed {
        Some(e) if asked == 0 => Err(e.into()),
        _ => {
            let remedy = "name the node that answered it with --node, soon after";
            push_line(
                &mut notes,
                format_args!("heatherrun: {asked} nodes keep no query {id:?}; {remedy}"),
            );
            Ok(Reply::failed(Exit::Refused, notes))
        }
    }
}

fn attempts(answer: &v1::ExplainAnswer) -> String {
    let head = format!(
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
    head + &table.to_string()
}

/// Burn of all nodes that can be reached, added up.
pub(crate) fn burn(session: &Session, burn: &Burn, json: bool) -> Result<Reply> {
    let request = v1::BurnRequest {
        service: burn.service.clone().unwrap_or_default(),
    };
    let mut sum = v1::BurnAnswer::default();
    let mut notes = String::new();
    let mut failed = None;
    for node in &session.nodes {
        match session.client_of(node).burn(&request) {
            Ok(answer) => merge::merge(&mut sum, answer),
            Err(e) => {
                push_line(&mut notes, format_args!("not counted: {e}"));
                failed = Some(e);
            }
        }
    }
    if let (true, Some(e)) = (sum.nodes.is_empty(), failed) {
        return Err(e.into());
    }
    let mut reply = if let Some(file) = &burn.html {
        let name = file.display();
        let page = registry::report("html")?(&sum);
        fs::write(file, page).with_context(|| format!("cannot write {name}; name another file"))?;
        Reply::done(format!("wrote {name}\n"))
    } else {
        let kind = if json { "json" } else { "table" };
        Reply::done(registry::report(kind)?(&sum))
    };
    reply.notes = notes;
    Ok(reply)
}
