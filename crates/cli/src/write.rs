//! Commands that change the tier.

use std::time::Duration;

use anyhow::Result;
use heatherrun_report::{Table, units};
use heatherrun_schema::v1;

use crate::args::{Apply, Direction, Domain, Drain, Marks};
use crate::command::print;
use crate::local;
use crate::reply::{Exit, Reply, push_line};
use crate::session::Session;
use crate::show;

/// Time between two looks whether a revision is in force everywhere.
const LOOK: Duration = Duration::from_millis(500);

pub(crate) fn apply(apply: &Apply, session: &Session, json: bool) -> Result<Reply> {
    let file = apply.file.display().to_string();
    let checked = heatherrun_settings::read_tier(&file, &local::read(&apply.file)?)?;
    let request = v1::ApplyRequest {
        config: Some(checked.value),
        base: apply.base,
        dry_run: apply.dry_run,
    };
    let answer = session.client().apply(&request)?;
    let mut reply = finish(answer, apply.dry_run, apply.wait, session, json);
    for warning in &checked.warnings {
        push_line(&mut reply.notes, format_args!("{warning}"));
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
    Ok(finish(answer, domain.dry_run, domain.wait, session, json))
}

/// Tells the outcome of a write, and waits for it to be in force if asked.
fn finish(
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
    let mut reply = print(&answer, json, |answer| outcome(answer, dry_run));
    reply.exit = exit;
    reply
}

fn outcome(answer: &v1::ApplyAnswer, dry_run: bool) -> String {
    let mut text = String::new();
    for change in &answer.changes {
        push_line(&mut text, format_args!("{change}"));
    }
    for warning in &answer.warnings {
        push_line(&mut text, format_args!("warning: {warning}"));
    }
    let revision = answer.revision;
    let end = match (dry_run, answer.accepted) {
        (true, _) if answer.changes.is_empty() => {
            format!("nothing would change at revision {revision}\n")
        }
        (true, _) => format!("dry run at revision {revision}\n"),
        (false, true) => format!("accepted as revision {revision}\n"),
        (false, false) => format!("refused; the newest revision is {revision}\n"),
    };
    text.push_str(&end);
    if !answer.detail.is_empty() {
        push_line(&mut text, format_args!("{}", answer.detail));
    }
    if let Some(force) = &answer.force {
        text += &show::force(force);
    }
    text
}

const fn is_everywhere(force: &v1::Force, revision: u64) -> bool {
    force.revision >= revision && force.nodes == force.total && force.total > 0
}

/// Where the revision is in force after at most `secs`.
fn wait_in_force(revision: u64, secs: u64, session: &Session) -> Option<v1::Force> {
    let mut seen = None;
    let mut waited = Duration::ZERO;
    loop {
        if let Ok(status) = session.client().status(&v1::StatusRequest {}) {
            seen = status.force.or(seen);
        }
        let done = seen.as_ref().is_some_and(|f| is_everywhere(f, revision));
        if done || waited >= Duration::from_secs(secs) {
            return seen;
        }
        (session.pause)(LOOK);
        waited += LOOK;
    }
}

pub(crate) fn drain(drain: &Drain, session: &Session, json: bool) -> Result<Reply> {
    let request = v1::DrainRequest {
        node: drain.name.clone(),
    };
    let answer = session.client().drain(&request)?;
    let mut reply = print(&answer, json, |answer| {
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
    let clears = !clear.is_empty();
    let answer = session.client().marks(&v1::MarksRequest { clear })?;
    let mut reply = print(&answer, json, |answer| list_marks(answer, clears));
    if clears && !answer.cleared {
        reply.exit = Exit::Refused;
    }
    Ok(reply)
}

fn list_marks(answer: &v1::MarksAnswer, clears: bool) -> String {
    let mut text = match (clears, answer.cleared) {
        (true, true) => "cleared on this node, which tells the others\n".to_owned(),
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
