//! Dispatches a parsed command line to the function that runs its command.

use heatherrun_schema::v1;
use serde::Serialize;

use crate::args::{Arguments, Command};
use crate::reply::Reply;
use crate::session::Session;
use crate::{history, local, show, write};

/// Runs the command; an error is turned into a reply with its message and
/// exit code.
pub fn run(arguments: &Arguments, session: &Session) -> Reply {
    let json = arguments.json;
    let status = || session.client().status(&v1::StatusRequest {});
    let reply = match &arguments.command {
        Command::Check(check) => local::check(&check.file),
        Command::Plugins(_) => Ok(local::plugins(json)),
        Command::Why(why) => local::why(why, json),
        Command::Apply(apply) => write::apply(apply, session, json),
        Command::Domain(domain) => write::domain(domain, session, json),
        Command::Drain(drain) => write::drain(drain, session, json),
        Command::Marks(marks) => write::marks(marks, session, json),
        Command::Status(_) => status()
            .map(|status| format_reply(&status, json, show::status))
            .map_err(Into::into),
        Command::Services(_) => status()
            .map(|s| format_reply(&s.services, json, |s| show::services(s)))
            .map_err(Into::into),
        Command::Limits(_) => status()
            .map(|s| format_reply(&s.services, json, |s| show::limits(s)))
            .map_err(Into::into),
        Command::Nodes(_) => status()
            .map(|s| format_reply(&s.nodes, json, |n| show::nodes(n)))
            .map_err(Into::into),
        Command::Shards(shards) => status()
            .map_err(Into::into)
            .and_then(|s| show::select_services(s.services, shards.service.as_deref()))
            .map(|s| format_reply(&s, json, |s| show::shards(s))),
        Command::Targets(targets) => status()
            .map_err(Into::into)
            .and_then(|s| show::select_targets(s, targets.service.as_deref()))
            .map(|t| format_reply(&t, json, |t| show::targets(t))),
        Command::History(_) => history::history(session, json),
        Command::Diff(diff) => history::diff(session, diff.from, json),
        Command::Explain(explain) => history::explain(session, &explain.id, json),
        Command::Burn(burn) => history::burn(session, burn, json),
    };
    reply.unwrap_or_else(|e| Reply::from_error(&e))
}

/// Formats `value` as JSON if `json` is set, otherwise with `to_text`.
pub(crate) fn format_reply<T: Serialize>(
    value: &T,
    json: bool,
    to_text: impl Fn(&T) -> String,
) -> Reply {
    if !json {
        return Reply::done(to_text(value));
    }
    match serde_json::to_string_pretty(value) {
        Ok(text) => Reply::done(text + "\n"),
        Err(e) => Reply::from_error(&e.into()),
    }
}
