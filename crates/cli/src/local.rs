//! Commands that call no node.

use std::{borrow::Cow, fs, io::Read as _, path::Path};

use anyhow::{Context as _, Result};
use heatherrun_kernel::registry;
use heatherrun_report::plugins;
use heatherrun_report::story::{self, Story};
use heatherrun_settings::{Checked, Settings};
use serde::Serialize;

use crate::args::Why;
use crate::command::format_reply;
use crate::reply::{Exit, Reply, push_line};

/// Reads a text file; the error names the file.
pub(crate) fn read_file(file: &Path) -> Result<String> {
    let name = file.display();
    fs::read_to_string(file).with_context(|| format!("cannot read {name}; name a readable file"))
}

/// Checks a settings file of a node or a tier.
pub(crate) fn check(file: &Path) -> Result<Reply> {
    let name = file.display().to_string();
    let Checked { value, warnings } = heatherrun_settings::check(&name, &read_file(file)?)?;
    let mut text = String::new();
    for warning in &warnings {
        push_line(&mut text, format_args!("{warning}"));
    }
    let summary = match value {
        Settings::Node(node) => format!("settings of node {}", node.name),
        Settings::Tier(tier) => format!(
            "configuration of {} services in {} failure domains",
            tier.services.len(),
            tier.domains.len()
        ),
    };
    push_line(&mut text, format_args!("{name}: {summary}: no fault"));
    Ok(Reply::done(text))
}

/// Shows the outcome of one request and its reason, from log lines.
pub(crate) fn why(why: &Why, json: bool) -> Result<Reply> {
    let mut text = String::new();
    for file in &why.files {
        text.push_str(&decode_log(&fs::read(file).with_context(|| {
            let name = file.display();
            format!("cannot read {name}; name a readable file")
        })?));
        text.push('\n');
    }
    if why.files.is_empty() {
        let mut bytes = Vec::new();
        let read_result = std::io::stdin().lock().read_to_end(&mut bytes);
        read_result.context("cannot read standard input; name files of log lines")?;
        text = decode_log(&bytes).into_owned();
    }
    let lines: Vec<_> = story::lines(&text).collect();
    let Some(story) = Story::of(&lines, &why.id) else {
        let message = format!(
            "heatherrun: none of {} log lines names request {}; add the lines of all nodes, also \
             those of `log.dropped` times\n",
            lines.len(),
            why.id
        );
        return Ok(Reply::failed(Exit::NoLogLine, message));
    };
    Ok(format_reply(&story, json, story::text))
}

/// Decodes log bytes as UTF-8. Invalid bytes, as of a line truncated inside a
/// character, are replaced, so that the rest of the log is still read.
fn decode_log(bytes: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(bytes)
}

/// JSON output for one plug-in.
#[derive(Debug, Serialize)]
struct PluginEntry {
    kind: &'static str,
    name: &'static str,
    about: &'static str,
}

/// Lists the plug-ins linked into this program.
pub(crate) fn plugins(json: bool) -> Reply {
    let entry = |p: &registry::Plugin| PluginEntry {
        kind: p.kind().name(),
        name: p.name,
        about: p.about,
    };
    let all: Vec<_> = registry::plugins().into_iter().map(entry).collect();
    format_reply(&all, json, |_| plugins::table())
}
