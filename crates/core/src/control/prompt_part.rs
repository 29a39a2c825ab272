//! [`PromptPart`]: identity of a part of prompts that several requests may share.

use std::fmt;

use crate::Digest;

/// A part of prompts, such as a system prompt or a document, that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// The part with this identifier: its number if it is hexadecimal and fits, else a hash.
    pub fn from_id(id: &[u8]) -> Self {
        let number =
            std::str::from_utf8(id).ok().and_then(|text| u64::from_str_radix(text, 16).ok());
        Self(number.unwrap_or_else(|| Digest::of(&[id]).to_u64()))
    }
}

/// Parts that a list for people names.
const PARTS_LISTED: usize = 8;

/// Names the first of some parts, and how many there are besides.
pub fn list_parts(numbers: &[u64], separator: &str) -> String {
    let named: Vec<_> =
        numbers.iter().take(PARTS_LISTED).map(|p| PromptPart(*p).to_string()).collect();
    let mut out = named.join(separator);
    if numbers.len() > PARTS_LISTED {
        out += &format!("{separator}{} more", numbers.len() - PARTS_LISTED);
    }
    out
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
