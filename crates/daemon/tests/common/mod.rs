//! A log appender that keeps its lines in memory.

use std::sync::{Arc, Mutex, PoisonError};

use heatherrun_daemon::logging::KeyValueLayout;
use logforth::{Append, Diagnostic, Error, Layout as _};

/// Lines written so far, shared with the test.
pub type SharedLines = Arc<Mutex<Vec<String>>>;

/// Formats records as the daemon does and appends the lines to a vector.
#[derive(Debug)]
pub struct MemoryAppender {
    layout: KeyValueLayout,
    lines: SharedLines,
}

impl MemoryAppender {
    /// Creates an appender to `lines`, for a VM named `entry-1`.
    pub fn new(lines: &SharedLines) -> Self {
        let vm = "entry-1".to_owned();
        Self {
            layout: KeyValueLayout { vm },
            lines: Arc::clone(lines),
        }
    }
}

impl Append for MemoryAppender {
    fn append(
        &self,
        record: &logforth::record::Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let line = self.layout.format(record, diagnostics)?;
        let line = String::from_utf8_lossy(&line).into_owned();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}
