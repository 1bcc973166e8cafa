//! Reading and checking of settings in JSON with comments.

use serde::de::DeserializeOwned;

/// Failure to read a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {detail}; correct the file and run `heatherrun check` on it")]
pub struct SettingsError {
    /// File.
    pub file: String,
    /// What is wrong.
    pub detail: String,
}

/// Reads `text`, the content of `file`, as JSON with comments.
///
/// # Errors
/// [`SettingsError`] when the text is malformed or holds an unknown key.
pub fn read<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    let fault = |detail: String| SettingsError {
        file: file.to_owned(),
        detail,
    };
    let options = jsonc_parser::ParseOptions::default();
    let value: serde_json::Value =
        jsonc_parser::parse_to_serde_value(text, &options).map_err(|e| fault(e.to_string()))?;
    serde_json::from_value(value).map_err(|e| fault(e.to_string()))
}
