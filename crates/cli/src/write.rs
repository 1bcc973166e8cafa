//! Commands that change the tier.

use std::time::Duration;

use anyhow::Result;
use heatherrun_report::{Table, units};
use heatherrun_schema::v1;

use crate::args::{Apply, Direction, Domain, Drain, Marks};
use crate::command::format_reply;
use crate::local;
use crate::reply::{Exit, Reply, push_line};
use crate::session::Session;
use crate::show;

/// Interval between polls for whether a revision is in force on every node.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) fn apply(apply: &Apply, session: &Session, json: bool) -> Result<Reply> {
    let file = apply.file.display().to_string();
    let checked = heatherrun_settings::read_tier(&file, &local::read_file(&apply.file)?)?;
    let request = v1::ApplyRequest {
        config: Some(checked.value),
        base: apply.base,
        dry_run: apply.dry_run,
    };
    let answer = session.client().apply(&request)?;
    let mut reply = await_and_format(answer, apply.dry_run, apply.wait, session, json);
    for warning in &checked.warnings {
        push_line(&mut reply.stderr, format_args!("{warning}"));
    }
    Ok(reply)
}

pub(crate) fn domain(domain: &Domain, session: &Session, json: bool) -> Result<Reply> {
    let request = v1::DomainRequest {
        domain: domain.name.clone(),
        out: domain.direction == Direction::Out,
        dry_run: domain.dry_run,
    };
    let answer = session.client().set_domain(&request)?;
    Ok(await_and_format(
        answer,
        domain.dry_run,
        domain.wait,
        session,
        json,
    ))
}

/// Formats the outcome of a write. If it was accepted and `wait` is not zero,
/// first waits up to `wait` seconds for it to be in force on every node.
fn await_and_format(
    mut answer: v1::ApplyAnswer,
    dry_run: bool,
    wait: u64,
    session: &Session,
    json: bool,
) -> Reply {
    let mut exit = if answer.accepted || dry_run {
        Exit::Done
    } else {
        Exit::Refused
    };
    if answer.accepted && !dry_run && wait > 0 {
        answer.force = wait_in_force(answer.revision, wait, session).or(answer.force);
        let everywhere = answer
            .force
            .as_ref()
            .is_some_and(|f| is_everywhere(f, answer.revision));
        if !everywhere {
            exit = Exit::NotInForce;
        }
    }
    let mut reply = format_reply(&answer, json, |answer| outcome_text(answer, dry_run));
    reply.exit = exit;
    reply
}

fn outcome_text(answer: &v1::ApplyAnswer, dry_run: bool) -> String {
    let mut text = String::new();
    for change in &answer.changes {
        push_line(&mut text, format_args!("{change}"));
    }
    for warning in &answer.warnings {
        push_line(&mut text, format_args!("warning: {warning}"));
    }
    let revision = answer.revision;
    let result_line = match (dry_run, answer.accepted) {
        (true, _) if answer.changes.is_empty() => {
            format!("nothing would change at revision {revision}\n")
        }
        (true, _) => format!("dry run at revision {revision}\n"),
        (false, true) => format!("accepted as revision {revision}\n"),
        (false, false) => format!("refused; the newest revision is {revision}\n"),
    };
    text.push_str(&result_line);
    if !answer.detail.is_empty() {
        push_line(&mut text, format_args!("{}", answer.detail));
    }
    if let Some(force) = &answer.force {
        text += &show::in_force_line(force);
    }
    text
}

const fn is_everywhere(force: &v1::Force, revision: u64) -> bool {
    force.revision >= revision && force.nodes == force.total && force.total > 0
}

/// Polls until the revision is in force on every node, or the time slept
/// between polls reaches `timeout_secs`; returns the newest status received.
fn wait_in_force(revision: u64, timeout_secs: u64, session: &Session) -> Option<v1::Force> {
    let mut newest = None;
    let mut waited = Duration::ZERO;
    loop {
        if let Ok(status) = session.client().status(&v1::StatusRequest {}) {
            newest = status.force.or(newest);
        }
        let done = newest.as_ref().is_some_and(|f| is_everywhere(f, revision));
        if done || waited >= Duration::from_secs(timeout_secs) {
            return newest;
        }
        (session.sleep)(POLL_INTERVAL);
        waited += POLL_INTERVAL;
    }
}

pub(crate) fn drain(drain: &Drain, session: &Session, json: bool) -> Result<Reply> {
    let request = v1::DrainRequest {
        node: drain.name.clone(),
    };
    let answer = session.client().drain(&request)?;
    let mut reply = format_reply(&answer, json, |answer| {
        let state = if answer.started {
            "started"
        } else {
            "not started"
        };
        format!("drain of {} {state}: {}\n", drain.name, answer.detail)
    });
    if !answer.started {
        reply.exit = Exit::Refused;
    }
    Ok(reply)
}

pub(crate) fn marks(marks: &Marks, session: &Session, json: bool) -> Result<Reply> {
    let clear = marks.clear.clone().unwrap_or_default();
    let clear_requested = !clear.is_empty();
    let answer = session.client().marks(&v1::MarksRequest { clear })?;
    let mut reply = format_reply(&answer, json, |answer| marks_text(answer, clear_requested));
    if clear_requested && !answer.cleared {
        reply.exit = Exit::Refused;
    }
    Ok(reply)
}

fn marks_text(answer: &v1::MarksAnswer, clear_requested: bool) -> String {
    let mut text = match (clear_requested, answer.cleared) {
        (true, true) => "cleared on this node, which notifies the other nodes\n".to_owned(),
        (true, false) => "no request with this fingerprint is suspected\n".to_owned(),
        (false, _) => String::new(),
    };
    if answer.marks.is_empty() {
        return text + "no request is suspected of crashing targets\n";
    }
    let mut table = Table::new(&["fingerprint", "crashes", "last seen"]);
    for mark in &answer.marks {
        table.row([
            mark.fingerprint.clone(),
            mark.crashes.to_string(),
            format!("{} ago", units::secs(mark.age_ms / 1_000)),
        ]);
    }
    text += &table.to_string();
    text
}
