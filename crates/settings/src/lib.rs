//! Parses and validates settings files in JSON with comments.
//!
//! Validation doesn't stop at the first fault: each one is reported with file,
//! line, key and remedy, and a file with an error is rejected as a whole.
//! [`document`] parses the text and checks it against the schema, [`node`] and
//! [`tier`] validate the values, and [`fault`] defines the reported faults.

mod document;
mod fault;
mod lines;
mod nearest;
mod node;
mod searcher;
mod tier;

pub use fault::{Fault, SettingsError, Severity};

use heatherrun_schema::v1::{NodeSettings, TierConfig};
use serde::de::DeserializeOwned;

use crate::document::Document;

/// Settings that passed validation.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked<T> {
    /// The parsed settings.
    pub value: T,
    /// Faults that don't reject the file.
    pub warnings: Vec<Fault>,
}

/// Kind of a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of one daemon.
    Node,
    /// Configuration of the tier.
    Tier,
}

impl FileKind {
    /// Describes the content of such a file, for messages.
    #[must_use]
    pub const fn description(self) -> &'static str {
        match self {
            Self::Node => "the settings of a node",
            Self::Tier => "the configuration of a tier",
        }
    }

    /// Name of the schema message that describes the file.
    #[must_use]
    pub const fn message_name(self) -> &'static str {
        match self {
            Self::Node => "NodeSettings",
            Self::Tier => "TierConfig",
        }
    }
}

/// Settings of either kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Settings {
    /// Settings of one daemon.
    Node(Box<NodeSettings>),
    /// Configuration of the tier.
    Tier(TierConfig),
}

/// Reads the settings of a daemon from `text`, the content of `file`.
///
/// # Errors
/// [`SettingsError`] with every fault of the file.
pub fn read_node(file: &str, text: &str) -> Result<Checked<NodeSettings>, SettingsError> {
    let document = document::parse(file, text, FileKind::Node)?;
    let checked = validate(document, node::check)?;
    Ok(checked.map(node::fill_defaults))
}

/// Reads the configuration of a tier from `text`, the content of `file`.
///
/// # Errors
/// [`SettingsError`] with every fault of the file.
pub fn read_tier(file: &str, text: &str) -> Result<Checked<TierConfig>, SettingsError> {
    let document = document::parse(file, text, FileKind::Tier)?;
    validate(document, tier::check)
}

/// Validates a configuration that was not read from a file. The lines of its
/// faults are those of its pretty-printed JSON.
///
/// # Errors
/// [`SettingsError`] with every fault.
pub fn check_tier(config: &TierConfig) -> Result<(), SettingsError> {
    let text = serde_json::to_string_pretty(config).unwrap_or_default();
    read_tier("request", &text).map(|_| ())
}

/// Reads a file of either kind, which is detected from its top-level keys.
///
/// # Errors
/// [`SettingsError`] with every fault of the file.
pub fn check(file: &str, text: &str) -> Result<Checked<Settings>, SettingsError> {
    match document::detect_kind(text) {
        FileKind::Node => read_node(file, text).map(|c| c.map(|n| Settings::Node(Box::new(n)))),
        FileKind::Tier => read_tier(file, text).map(|c| c.map(Settings::Tier)),
    }
}

impl<T> Checked<T> {
    fn map<U>(self, convert: impl FnOnce(T) -> U) -> Checked<U> {
        Checked {
            value: convert(self.value),
            warnings: self.warnings,
        }
    }
}

fn validate<T: DeserializeOwned>(
    mut document: Document,
    check: impl FnOnce(&T, &mut Document),
) -> Result<Checked<T>, SettingsError> {
    let tree = std::mem::take(&mut document.tree);
    let value = match serde_json::from_value(tree) {
        Ok(value) => value,
        Err(e) => {
            document.add_error("", &e.to_string(), "write the values that the schema names");
            return Err(document.into_error());
        }
    };
    check(&value, &mut document);
    let (faults, warnings) = document.into_errors_and_warnings();
    if faults.is_empty() {
        Ok(Checked { value, warnings })
    } else {
        Err(SettingsError { faults, warnings })
    }
}
