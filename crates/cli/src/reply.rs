//! Output and exit code of a command.

use std::fmt::Write as _;

use anyhow::Error;
use heatherrun_schema::CallError;
use heatherrun_settings::SettingsError;

/// Exit codes of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The tier refused the call.
    Refused = 1,
    /// The command line or a file is invalid; nothing was sent.
    BadInput = 2,
    /// No node was reached.
    NoNode = 3,
    /// The change was accepted, but was not in force on every node within
    /// `--wait`.
    NotInForce = 4,
    /// The answer was lost; the call may have taken effect.
    Unknown = 5,
    /// No log line names the request.
    NoLogLine = 6,
}

/// Appends `line` and a newline to `text`.
pub(crate) fn push_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    let _ = writeln!(text, "{line}");
}

/// Output and exit code of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
    /// Exit code.
    pub exit: Exit,
}

impl Reply {
    /// Successful reply that prints `stdout`.
    #[must_use]
    pub fn done(stdout: impl Into<String>) -> Self {
        Self {
            stdout: stdout.into(),
            stderr: String::new(),
            exit: Exit::Done,
        }
    }

    /// Failed reply that prints `stderr`.
    #[must_use]
    pub fn failed(exit: Exit, stderr: impl Into<String>) -> Self {
        Self {
            stdout: String::new(),
            stderr: stderr.into(),
            exit,
        }
    }

    /// Failed reply that prints `error`; the error's type decides the exit code.
    #[must_use]
    pub fn from_error(error: &Error) -> Self {
        let exit = match error.downcast_ref::<CallError>() {
            Some(CallError::Unreached(_)) => Exit::NoNode,
            Some(CallError::Transport(_)) => Exit::Unknown,
            Some(_) => Exit::Refused,
            None => Exit::BadInput,
        };
        let message = if error.is::<SettingsError>() {
            format!("{error}\n")
        } else {
            format!("heatherrun: {error:#}\n")
        };
        Self::failed(exit, message)
    }
}
