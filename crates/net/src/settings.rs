//! Reads settings from YAML into validated types; errors have a code, the key and the line.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use crocustally_core::Code;
use serde::de::DeserializeOwned;

/// Error in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Numbered code of the error.
    pub code: Code,
    /// Key with the invalid value; empty if unknown.
    pub key: String,
    /// Description, with the line number if it is known.
    pub detail: String,
}

impl SettingsError {
    /// Creates the error for an invalid value of `key`.
    pub fn invalid(key: &str, detail: impl Into<String>) -> Self {
        Self { code: Code::SettingsInvalid, key: key.to_owned(), detail: detail.into() }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code.number(), self.code.text())?;
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " {}", self.detail)
    }
}

/// Reads a settings file as `R` and validates it by conversion to `T`.
///
/// Unknown keys are rejected by `R`, which denies them.
///
/// # Errors
///
/// [`Code::SettingsUnreadable`], [`Code::SettingsMalformed`], or the error of the conversion.
pub fn load_settings<R, T>(path: &Path) -> Result<T, SettingsError>
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = SettingsError>,
{
    let error = |code, detail| SettingsError { code, key: String::new(), detail };
    let text = fs::read_to_string(path)
        .map_err(|e| error(Code::SettingsUnreadable, format!("{}: {e}", path.display())))?;
    let raw: R =
        serde_saphyr::from_str(&text).map_err(|e| error(Code::SettingsMalformed, e.to_string()))?;
    let mut settings = T::try_from(raw);
    if let Err(e) = &mut settings {
        add_line_number(e, &text);
    }
    settings
}

/// Parses `ip:port`; host names are not resolved, since the platform assigns IP addresses.
///
/// # Errors
///
/// [`Code::SettingsInvalid`] for `key` if `text` has another form.
pub fn parse_address(key: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|_| SettingsError::invalid(key, format!("{text:?} is not ip:port")))
}

/// Adds the line number of the key to the error, found by a search of the text: the conversion
/// knows only keys.
fn add_line_number(e: &mut SettingsError, text: &str) {
    let last = e.key.rsplit('.').next().unwrap_or(&e.key);
    let pattern = format!("{last}:");
    let is_key = |l: &str| {
        l.match_indices(&pattern).any(|(at, _)| at == 0 || " {,".contains(&l[at - 1..at]))
    };
    if let Some(line) = text.lines().position(is_key) {
        e.detail = format!("{} (line {})", e.detail, line + 1);
    }
}
