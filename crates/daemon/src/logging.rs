//! Writes logs with logforth: one line of key=value pairs for each event.
//!
//! The message of a record is the event's name. Time, level and VM name come
//! next, then the pairs of the record. A value with spaces, quotes, equals
//! signs, backslashes or control characters is quoted.

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

/// Formats a record as one line of key=value pairs.
#[derive(Clone, Debug)]
pub struct KeyValueLayout {
    /// Name of this VM, written as `vm`; a `node` pair may name another VM.
    pub vm: String,
}

impl Layout for KeyValueLayout {
    fn format(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, Error> {
        let mut line = LineBuffer(String::with_capacity(128));
        line.push_pair("event", &record.payload().to_string());
        line.push_pair("time", &format_unix_time(record.time()));
        let level = record.level().name().to_ascii_lowercase();
        line.push_pair("level", &level);
        line.push_pair("vm", &self.vm);
        record.key_values().visit(&mut line)?;
        for diagnostic in diagnostics {
            diagnostic.visit(&mut line)?;
        }
        Ok(line.0.into_bytes())
    }
}

/// Formats the seconds since the Unix epoch, with three decimal places.
fn format_unix_time(time: SystemTime) -> String {
    let elapsed = time.duration_since(SystemTime::UNIX_EPOCH);
    let elapsed = elapsed.unwrap_or_default();
    format!("{}.{:03}", elapsed.as_secs(), elapsed.subsec_millis())
}

/// Buffer for one line.
struct LineBuffer(String);

impl LineBuffer {
    fn push_pair(&mut self, key: &str, value: &str) {
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

impl Visitor for LineBuffer {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        self.push_pair(key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Parses the log level of the settings; an empty `name` selects `info`.
///
/// # Errors
/// If there is no level with this name.
pub fn parse_level(name: &str) -> anyhow::Result<LevelFilter> {
    if name.is_empty() {
        return Ok(LevelFilter::Info);
    }
    name.parse()
        .ok()
        .context("unknown log level; use error, warn, info, debug or trace")
}

/// Creates a logger for the `log` crate that writes to `append`.
#[must_use]
pub fn log_bridge(append: impl Append) -> LogBridge {
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .build();
    LogBridge::new(logger)
}

/// Maximum number of lines that wait to be written. The queue is bounded and
/// drops lines when full, so that a stalled reader of standard output doesn't
/// block the node.
const MAX_QUEUED_LINES: usize = 4_096;

/// Interval at which dropped lines are reported.
const DROPPED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Lines dropped since the last report.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Maximum time that a flush waits for the queue to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which a flush checks whether the queue has been written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Passes lines to a writer thread through a bounded queue; lines that don't
/// fit are dropped and counted.
#[derive(Debug)]
pub struct QueuedWriter {
    layout: KeyValueLayout,
    lines: Sender<Vec<u8>>,
    sent: AtomicU64,
    written: Arc<AtomicU64>,
}

impl QueuedWriter {
    /// Starts the writer thread of `out`, with a queue of `capacity` lines.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(
        layout: KeyValueLayout,
        out: impl Write + Send + 'static,
        capacity: usize,
    ) -> io::Result<Self> {
        let (lines, queue) = channel::bounded(capacity);
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

/// Writes lines until the queue is closed. A failure to write can't be logged
/// either, so its lines only count as dropped.
fn write_lines(queue: &Receiver<Vec<u8>>, mut out: impl Write, written: &AtomicU64) {
    for line in queue {
        let mut batch = vec![line];
        batch.extend(queue.try_iter());
        let result = out.write_all(&batch.concat()).and_then(|()| out.flush());
        let count = batch.len() as u64;
        if result.is_err() {
            DROPPED_LINES.fetch_add(count, Ordering::Relaxed);
        }
        written.fetch_add(count, Ordering::Release);
    }
}

impl Append for QueuedWriter {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_ok() {
            self.sent.fetch_add(1, Ordering::Relaxed);
        } else {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let sent = self.sent.load(Ordering::Relaxed);
        while self.written.load(Ordering::Acquire) < sent && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Ok(())
    }
}

/// Returns the number of lines dropped since the last call, and resets it.
#[must_use]
pub fn reset_dropped_lines() -> u64 {
    DROPPED_LINES.swap(0, Ordering::Relaxed)
}

/// Logs the number of dropped lines at an interval; never returns.
pub async fn report_dropped_lines() {
    loop {
        tokio::time::sleep(DROPPED_REPORT_INTERVAL).await;
        let lines = reset_dropped_lines();
        if lines > 0 {
            log::warn!(lines; "log.dropped");
        }
    }
}

/// Passes on only the events of this project's crates: libraries would log
/// each message between nodes several times.
struct OwnEvents(LogBridge);

/// Prefix of the log targets of this project's crates.
const OWN_TARGET_PREFIX: &str = "heatherrun";

impl log::Log for OwnEvents {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.target().starts_with(OWN_TARGET_PREFIX) && self.0.enabled(metadata)
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

/// Installs the global logger: writes events at level `name` and above to
/// standard output, with `vm` as the name of the VM.
///
/// # Errors
/// If there is no level with this name, or a global logger is already set.
pub fn start(vm: &str, name: &str) -> anyhow::Result<()> {
    let layout = KeyValueLayout { vm: vm.to_owned() };
    let queued = QueuedWriter::start(layout, io::stdout(), MAX_QUEUED_LINES);
    let logger = OwnEvents(log_bridge(
        queued.context("cannot start the log writer thread")?,
    ));
    log::set_boxed_logger(Box::new(logger)).context("a global logger is already set")?;
    log::set_max_level(parse_level(name)?);
    Ok(())
}
