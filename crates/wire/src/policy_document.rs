//! Compression of [`PolicyDocument`]s.

use bytes::Bytes;

use crate::PolicyDocument;

/// Maximum length of a policy document in bytes, before compression.
pub const POLICY_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Error for a policy document whose body cannot be decompressed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyBodyError {
    /// The body names a length of more than [`POLICY_BYTES_MAX`].
    TooLarge(usize),
    /// The body is not a compressed document.
    Malformed,
}

impl std::fmt::Display for PolicyBodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge(len) => write!(f, "policy document of {len} bytes is too large"),
            Self::Malformed => f.write_str("policy document is not compressed as it says"),
        }
    }
}

impl std::error::Error for PolicyBodyError {}

impl PolicyDocument {
    /// Creates a document with a compressed body. Routes resemble each other, so it takes a small
    /// part of the links between instances, where every gateway fetches every version.
    pub fn compress(version: u64, text: &[u8]) -> Self {
        let body = Bytes::from(lz4_flex::block::compress_prepend_size(text));
        Self { version, body, compressed: true }
    }

    /// The document, or `None` if it has no body. Messages and snapshots state with such a document that
    /// there is none yet; its version, 0, is a valid one otherwise.
    pub fn into_present(self) -> Option<Self> {
        (!self.body.is_empty()).then_some(self)
    }

    /// The text of the document.
    ///
    /// # Errors
    ///
    /// Fails if the body cannot be decompressed.
    pub fn text(&self) -> Result<Bytes, PolicyBodyError> {
        if !self.compressed {
            return Ok(self.body.clone());
        }
        let (len, _) = lz4_flex::block::uncompressed_size(&self.body)
            .map_err(|_| PolicyBodyError::Malformed)?;
        if len > POLICY_BYTES_MAX {
            return Err(PolicyBodyError::TooLarge(len));
        }
        let text = lz4_flex::block::decompress_size_prepended(&self.body);
        text.map(Bytes::from).map_err(|_| PolicyBodyError::Malformed)
    }
}
