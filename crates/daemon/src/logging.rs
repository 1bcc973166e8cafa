//! Logs by logforth: one line of key=value pairs for each event.
//!
//! The message of a record is the event's name. Its pairs follow the time,
//! the level and the name of the VM; a value with spaces, quotes or an equals
//! sign stands in quotes.

use std::{fmt::Write as _, time::SystemTime};

use anyhow::Context as _;
use log::LevelFilter;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};
use logforth_bridge_log::LogBridge;

/// Layout of one line.
#[derive(Clone, Debug)]
pub struct KeyValueLayout {
    /// Name of this VM; `node` in a pair may name another one.
    pub vm: String,
}

impl Layout for KeyValueLayout {
    fn format(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, Error> {
        let mut line = Line(String::with_capacity(128));
        line.pair("event", &record.payload().to_string());
        line.pair("time", &unix_time(record.time()));
        let level = record.level().name().to_ascii_lowercase();
        line.pair("level", &level);
        line.pair("vm", &self.vm);
        record.key_values().visit(&mut line)?;
        for diagnostic in diagnostics {
            diagnostic.visit(&mut line)?;
        }
        Ok(line.0.into_bytes())
    }
}

/// Seconds since 1970 with milliseconds.
fn unix_time(time: SystemTime) -> String {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    let since = since.unwrap_or_default();
    format!("{}.{:03}", since.as_secs(), since.subsec_millis())
}

/// One line being written.
struct Line(String);

impl Line {
    fn pair(&mut self, key: &str, value: &str) {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        let needs_quotes = |c: char| c.is_whitespace() || c.is_control() || "\"=\\".contains(c);
        let _ = if value.is_empty() || value.contains(needs_quotes) {
            write!(self.0, "{key}={value:?}")
        } else {
            write!(self.0, "{key}={value}")
        };
    }
}

impl Visitor for Line {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        self.pair(key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Level that the settings name; `info` when they name none.
///
/// # Errors
/// When there is no level of this name.
pub fn level(name: &str) -> anyhow::Result<LevelFilter> {
    if name.is_empty() {
        return Ok(LevelFilter::Info);
    }
    name.parse()
        .ok()
        .context("no such level; use error, warn, info, debug or trace")
}

/// Log that writes to `append`.
#[must_use]
pub fn bridge(append: impl Append) -> LogBridge {
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .build();
    LogBridge::new(logger)
}

/// Passes on the events of this project alone: libraries log each message
/// between nodes several times.
struct OwnEvents(LogBridge);

/// Beginning of the targets of this project's events.
const OWN: &str = "heatherrun";

impl log::Log for OwnEvents {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.target().starts_with(OWN) && self.0.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            self.0.log(record);
        }
    }

    fn flush(&self) {
        self.0.flush();
    }
}

/// Logs the events of `vm` at level `name` and above to standard output from now
/// on.
///
/// # Errors
/// When there is no level of this name, or logs go elsewhere already.
pub fn start(vm: &str, name: &str) -> anyhow::Result<()> {
    let layout = KeyValueLayout { vm: vm.to_owned() };
    let stdout = logforth::append::Stdout::default().with_layout(layout);
    let own = OwnEvents(bridge(stdout));
    log::set_boxed_logger(Box::new(own)).context("logs go elsewhere already")?;
    log::set_max_level(level(name)?);
    Ok(())
}
