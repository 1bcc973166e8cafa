//! What a check of settings reports.

use std::fmt;

/// Whether a file with the fault may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The file is refused.
    Error,
    /// The file is used.
    Warning,
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// File.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Path of the key, such as `services[0].limits.deadline_ms`; empty for
    /// the whole file.
    pub key: String,
    /// Whether the file may be used.
    pub severity: Severity,
    /// What is wrong.
    pub detail: String,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}:{}: ", self.file, self.line)?;
        if self.severity == Severity::Warning {
            out.write_str("warning: ")?;
        }
        if !self.key.is_empty() {
            write!(out, "{}: ", self.key)?;
        }
        write!(out, "{}; {}", self.detail, self.remedy)
    }
}

/// A settings file that is refused, with every fault found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Faults in the order of their lines.
    pub faults: Vec<Fault>,
    /// Warnings in the order of their lines.
    pub warnings: Vec<Fault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in self.warnings.iter().chain(&self.faults) {
            writeln!(out, "{fault}")?;
        }
        let count = self.faults.len();
        let noun = if count == 1 { "fault" } else { "faults" };
        write!(out, "{count} {noun}; nothing was changed")
    }
}

impl std::error::Error for SettingsError {}
