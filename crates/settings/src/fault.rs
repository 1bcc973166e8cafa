//! Faults that the validation of settings reports.

use std::fmt;

/// Whether a file with the fault is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The file is rejected.
    Error,
    /// The file is accepted.
    Warning,
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file as given by the caller.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Path of the key, such as `services[0].limits.deadline_ms`; empty for
    /// the whole file.
    pub key: String,
    /// Whether the fault rejects the file.
    pub severity: Severity,
    /// What is wrong.
    pub detail: String,
    /// How to correct it.
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

/// Error for a rejected settings file, with every fault found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Errors, ordered by line.
    pub faults: Vec<Fault>,
    /// Warnings, ordered by line.
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
