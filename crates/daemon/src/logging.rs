//! Logs by logforth: one line of key=value pairs for each event.
//!
//! The message of a record is the event's name. Its pairs follow the time,
//! the level and the name of the VM; a value with spaces, quotes or an equals
//! sign stands in quotes.

use std::{
    fmt::Write as _,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use anyhow::Context as _;
use crossbeam::channel::{self, Receiver, Sender};
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

/// Lines that may wait to be written. A reader of standard output that stands
/// still must not stop the node.
const QUEUED_LINES: usize = 4_096;

/// Time between two looks at whether lines were dropped.
const DROPPED_PERIOD: Duration = Duration::from_secs(1);

/// Lines dropped since that was last told.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Longest wait of a flush for a reader of standard output.
const FLUSH_TIME: Duration = Duration::from_millis(500);

/// Pause between two looks at what is written.
const FLUSH_LOOK: Duration = Duration::from_millis(2);

/// Hands lines to a thread that writes them; a line that finds no room is
/// dropped and counted.
#[derive(Debug)]
pub struct Queued {
    layout: KeyValueLayout,
    lines: Sender<Vec<u8>>,
    sent: AtomicU64,
    written: Arc<AtomicU64>,
}

impl Queued {
    /// Queue of at most `room` lines in front of `out`.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn start(
        layout: KeyValueLayout,
        out: impl Write + Send + 'static,
        room: usize,
    ) -> io::Result<Self> {
        let (lines, queue) = channel::bounded(room);
        let written = Arc::<AtomicU64>::default();
        let count = Arc::clone(&written);
        let writer = thread::Builder::new().name("log".to_owned());
        writer.spawn(move || write_lines(&queue, out, &count))?;
        Ok(Self {
            layout,
            lines,
            sent: AtomicU64::new(0),
            written,
        })
    }
}

/// Writes lines as they come, until the queue is closed. A line that cannot
/// be written has nowhere to be told of; it counts as dropped.
fn write_lines(queue: &Receiver<Vec<u8>>, mut out: impl Write, written: &AtomicU64) {
    for line in queue {
        let mut lines = vec![line];
        lines.extend(queue.try_iter());
        let wrote = out.write_all(&lines.concat()).and_then(|()| out.flush());
        let count = lines.len() as u64;
        if wrote.is_err() {
            DROPPED.fetch_add(count, Ordering::Relaxed);
        }
        written.fetch_add(count, Ordering::Release);
    }
}

impl Append for Queued {
    fn append(&self, record: &Record<'_>, more: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, more)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_ok() {
            self.sent.fetch_add(1, Ordering::Relaxed);
        } else {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let end = Instant::now() + FLUSH_TIME;
        let sent = self.sent.load(Ordering::Relaxed);
        while self.written.load(Ordering::Acquire) < sent && Instant::now() < end {
            thread::sleep(FLUSH_LOOK);
        }
        Ok(())
    }
}

/// Lines dropped since the last call.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.swap(0, Ordering::Relaxed)
}

/// Tells of dropped lines, for ever.
pub async fn tell_dropped() {
    loop {
        tokio::time::sleep(DROPPED_PERIOD).await;
        let lines = dropped();
        if lines > 0 {
            log::warn!(lines; "log.dropped");
        }
    }
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
    let queued = Queued::start(layout, io::stdout(), QUEUED_LINES);
    let own = OwnEvents(bridge(queued.context("no thread for the log")?));
    log::set_boxed_logger(Box::new(own)).context("logs go elsewhere already")?;
    log::set_max_level(level(name)?);
    Ok(())
}
