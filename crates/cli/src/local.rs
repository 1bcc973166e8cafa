//! Commands that call no node.

use std::{fs, path::Path};

use anyhow::{Context as _, Result};
use heatherrun_kernel::registry;
use heatherrun_report::plugins;
use heatherrun_settings::{Checked, Settings};
use serde::Serialize;

use crate::command::print;
use crate::reply::{Reply, push_line};

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
