//! [`PartSet`]: the parts of one prompt.

use std::ops::Deref;
use std::sync::Arc;

use super::PromptPart;

/// Parts in ascending order, each once. Clones share them: a request in flight is known under its parts at
/// several places, and a prompt may have thousands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PartSet(Arc<[PromptPart]>);

impl PartSet {
    /// Whether the part is in the set.
    pub fn has(&self, part: PromptPart) -> bool {
        self.0.binary_search(&part).is_ok()
    }

    /// Whether all parts of another set are in this one.
    pub fn has_all(&self, other: &Self) -> bool {
        other.iter().all(|part| self.has(*part))
    }

    /// The numbers of the parts, for a message.
    pub fn to_wire(&self) -> Vec<u64> {
        self.iter().map(|part| part.0).collect()
    }
}

impl Deref for PartSet {
    type Target = [PromptPart];

    fn deref(&self) -> &[PromptPart] {
        &self.0
    }
}

impl From<Vec<PromptPart>> for PartSet {
    fn from(mut parts: Vec<PromptPart>) -> Self {
        parts.sort_unstable();
        parts.dedup();
        Self(parts.into())
    }
}

impl FromIterator<PromptPart> for PartSet {
    fn from_iter<I: IntoIterator<Item = PromptPart>>(parts: I) -> Self {
        parts.into_iter().collect::<Vec<_>>().into()
    }
}

impl From<&[u64]> for PartSet {
    fn from(numbers: &[u64]) -> Self {
        numbers.iter().copied().map(PromptPart).collect()
    }
}
