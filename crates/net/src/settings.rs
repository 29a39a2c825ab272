//! Reading settings: YAML in, checked types out, or a numbered refusal with line and key.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use crocustally_core::Code;
use serde::de::DeserializeOwned;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Its numbered code.
    pub code: Code,
    /// Key that is wrong, where it is known.
    pub key: String,
    /// What is wrong with it, with the line where the reader knows it.
    pub detail: String,
}

impl SettingsError {
    /// A value that cannot be used.
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

/// Reads a file and converts it; unknown keys are refused by the raw type.
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
    let mut checked = T::try_from(raw);
    if let Err(e) = &mut checked {
        add_line(e, &text);
    }
    checked
}

/// Reads `ip:port`; names are refused, since the platform gives IP numbers.
pub fn parse_address(key: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|_| SettingsError::invalid(key, format!("{text:?} is not ip:port")))
}

/// The conversion knows keys but not lines, so look the key up in the text.
fn add_line(e: &mut SettingsError, text: &str) {
    let last = e.key.rsplit('.').next().unwrap_or(&e.key);
    let words = format!("{last}:");
    let is_key =
        |l: &str| l.match_indices(&words).any(|(at, _)| at == 0 || " {,".contains(&l[at - 1..at]));
    if let Some(line) = text.lines().position(is_key) {
        e.detail = format!("{} (line {})", e.detail, line + 1);
    }
}
