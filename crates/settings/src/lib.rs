//! Reading and checking of settings in JSON with comments.
//!
//! A file is checked whole: every fault is listed with file, line, key and
//! remedy, and nothing is used of a file that has one. [`shape`] goes through
//! the text by the schema's fields, [`node`] and [`tier`] check what values
//! mean together, [`fault`] is what they report.

mod fault;
mod lines;
mod nearest;
mod node;
mod searcher;
mod shape;
mod tier;

pub use fault::{Fault, SettingsError, Severity};

use heatherrun_schema::v1::{NodeSettings, TierConfig};
use serde::de::DeserializeOwned;

use crate::shape::Shaped;

/// Settings that hold no fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked<T> {
    /// Settings.
    pub value: T,
    /// What is allowed but looks wrong.
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
    /// What such a file holds, in words.
    #[must_use]
    pub const fn words(self) -> &'static str {
        match self {
            Self::Node => "the settings of a node",
            Self::Tier => "the configuration of a tier",
        }
    }

    /// Name of the schema's message.
    #[must_use]
    pub const fn message(self) -> &'static str {
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
    let shaped = shape::read(file, text, FileKind::Node)?;
    let checked = finish(shaped, node::check)?;
    Ok(checked.map(node::fill))
}

/// Reads the configuration of a tier from `text`, the content of `file`.
///
/// # Errors
/// [`SettingsError`] with every fault of the file.
pub fn read_tier(file: &str, text: &str) -> Result<Checked<TierConfig>, SettingsError> {
    let shaped = shape::read(file, text, FileKind::Tier)?;
    finish(shaped, tier::check)
}

/// Checks a configuration that was not read from a file; its faults name the
/// lines of its JSON form.
///
/// # Errors
/// [`SettingsError`] with every fault.
pub fn check_tier(config: &TierConfig) -> Result<(), SettingsError> {
    let text = serde_json::to_string_pretty(config).unwrap_or_default();
    read_tier("request", &text).map(|_| ())
}

/// Checks a file of either kind, told apart by its keys.
///
/// # Errors
/// [`SettingsError`] with every fault of the file.
pub fn check(file: &str, text: &str) -> Result<Checked<Settings>, SettingsError> {
    match shape::kind(text) {
        FileKind::Node => read_node(file, text).map(|c| c.map(|n| Settings::Node(Box::new(n)))),
        FileKind::Tier => read_tier(file, text).map(|c| c.map(Settings::Tier)),
    }
}

impl<T> Checked<T> {
    fn map<U>(self, wrap: impl FnOnce(T) -> U) -> Checked<U> {
        Checked {
            value: wrap(self.value),
            warnings: self.warnings,
        }
    }
}

fn finish<T: DeserializeOwned>(
    mut shaped: Shaped,
    check: impl FnOnce(&T, &mut Shaped),
) -> Result<Checked<T>, SettingsError> {
    let tree = std::mem::take(&mut shaped.tree);
    let value = match serde_json::from_value(tree) {
        Ok(value) => value,
        Err(e) => {
            shaped.fault("", &e.to_string(), "write the values that the schema names");
            return Err(shaped.into_error());
        }
    };
    check(&value, &mut shaped);
    let (faults, warnings) = shaped.split();
    if faults.is_empty() {
        Ok(Checked { value, warnings })
    } else {
        Err(SettingsError { faults, warnings })
    }
}
