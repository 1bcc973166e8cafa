//! Log lines kept in memory.

use std::sync::{Arc, Mutex, PoisonError};

use heatherrun_daemon::logging::KeyValueLayout;
use logforth::{Append, Diagnostic, Error, Layout as _};

/// Lines written so far.
pub type Written = Arc<Mutex<Vec<String>>>;

/// Keeps lines.
#[derive(Debug)]
pub struct Lines {
    layout: KeyValueLayout,
    lines: Written,
}

impl Lines {
    /// Keeps lines in `lines`.
    pub fn new(lines: &Written) -> Self {
        let vm = "entry-1".to_owned();
        Self {
            layout: KeyValueLayout { vm },
            lines: Arc::clone(lines),
        }
    }
}

impl Append for Lines {
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
