//! What a command prints, and how it exits.

use std::fmt::Write as _;

use anyhow::Error;
use heatherrun_schema::CallError;
use heatherrun_settings::SettingsError;

/// Exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// The tier refused the call.
    Refused = 1,
    /// The command line or a file holds a fault; nothing was sent.
    BadInput = 2,
    /// No node was reached.
    NoNode = 3,
    /// Accepted, but not in force on every node within the time to wait.
    NotInForce = 4,
    /// The answer is lost; the call may have taken effect.
    Unknown = 5,
    /// No line names the request.
    NoLine = 6,
}

/// Adds one line to `text`.
pub(crate) fn push_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    let _ = writeln!(text, "{line}");
}

/// What a command prints, and how it exits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// For standard output.
    pub text: String,
    /// For standard error.
    pub notes: String,
    /// Exit code.
    pub exit: Exit,
}

impl Reply {
    /// Done, with this text.
    #[must_use]
    pub fn done(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            notes: String::new(),
            exit: Exit::Done,
        }
    }

    /// Failed, with these lines on standard error.
    #[must_use]
    pub fn failed(exit: Exit, notes: impl Into<String>) -> Self {
        Self {
            text: String::new(),
            notes: notes.into(),
            exit,
        }
    }

    /// Failed by `error`; its kind gives the exit code.
    #[must_use]
    pub fn of_error(error: &Error) -> Self {
        let exit = match error.downcast_ref::<CallError>() {
            Some(CallError::Unreached(_)) => Exit::NoNode,
            Some(CallError::Transport(_)) => Exit::Unknown,
            Some(_) => Exit::Refused,
            None => Exit::BadInput,
        };
        let notes = if error.is::<SettingsError>() {
            format!("{error}\n")
        } else {
            format!("heatherrun: {error:#}\n")
        };
        Self::failed(exit, notes)
    }
}
