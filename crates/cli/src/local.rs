//! Commands that call no node.

use std::{borrow::Cow, fs, io::Read as _, path::Path};

use anyhow::{Context as _, Result};
use heatherrun_kernel::registry;
use heatherrun_report::plugins;
use heatherrun_report::story::{self, Story};
use heatherrun_settings::{Checked, Settings};
use serde::Serialize;

use crate::args::Why;
use crate::command::print;
use crate::reply::{Exit, Reply, push_line};

/// Text of a file.
pub(crate) fn read(file: &Path) -> Result<String> {
    let name = file.display();
    fs::read_to_string(file).with_context(|| format!("cannot read {name}; name a readable file"))
}

/// Checks a settings file.
pub(crate) fn check(file: &Path) -> Result<Reply> {
    let name = file.display().to_string();
    let Checked { value, warnings } = heatherrun_settings::check(&name, &read(file)?)?;
    let mut text = String::new();
    for warning in &warnings {
        push_line(&mut text, format_args!("{warning}"));
    }
    let what = match value {
        Settings::Node(node) => format!("settings of node {}", node.name),
        Settings::Tier(tier) => format!(
            "configuration of {} services in {} failure domains",
            tier.services.len(),
            tier.domains.len()
        ),
    };
    push_line(&mut text, format_args!("{name}: {what}: no fault"));
    Ok(Reply::done(text))
}

/// Tells what became of one request.
pub(crate) fn why(why: &Why, json: bool) -> Result<Reply> {
    let mut text = String::new();
    for file in &why.files {
        text.push_str(&read_logs(&fs::read(file).with_context(|| {
            let name = file.display();
            format!("cannot read {name}; name a readable file")
        })?));
        text.push('\n');
    }
    if why.files.is_empty() {
        let mut bytes = Vec::new();
        let read = std::io::stdin().lock().read_to_end(&mut bytes);
        read.context("cannot read standard input; name files of log lines")?;
        text = read_logs(&bytes).into_owned();
    }
    let lines: Vec<_> = story::lines(&text).collect();
    let Some(story) = Story::of(&lines, &why.id) else {
        let notes = format!(
            "heatherrun: none of {} log lines names request {}; add the lines of all nodes, also \
             those of `log.dropped` times\n",
            lines.len(),
            why.id
        );
        return Ok(Reply::failed(Exit::NoLine, notes));
    };
    Ok(print(&story, json, story::text))
}

/// Text of log bytes; a line that was cut inside a character is kept.
fn read_logs(bytes: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(bytes)
}

/// One plug-in for programs.
#[derive(Debug, Serialize)]
struct Listed {
    kind: &'static str,
    name: &'static str,
    about: &'static str,
}

/// Lists the plug-ins linked into this program.
pub(crate) fn plugins(json: bool) -> Reply {
    let listed = |p: &registry::Plugin| Listed {
        kind: p.kind().name(),
        name: p.name,
        about: p.about,
    };
    let all: Vec<_> = registry::plugins().into_iter().map(listed).collect();
    print(&all, json, |_| plugins::table())
}
