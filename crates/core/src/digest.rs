//! [`Digest`]: a 128-bit content hash.

use bytes::Bytes;

/// The first 16 bytes of a BLAKE3 hash over length-prefixed parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; 16]);

/// Error for a byte slice whose length is not 16.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidDigestLength;

impl Digest {
    /// Hashes `parts`; the boundaries between the parts affect the result.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut out = [0; 16];
        out.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(out)
    }

    /// Hash of a bearer key as stored in tickets: the full BLAKE3 hash in hexadecimal.
    pub fn key_hash(key: &[u8]) -> String {
        blake3::hash(key).to_hex().to_string()
    }

    /// The bytes, for a message field.
    pub fn to_bytes(self) -> Bytes {
        Bytes::copy_from_slice(&self.0)
    }

    /// The first 8 bytes as a little-endian number.
    pub fn to_u64(self) -> u64 {
        let mut out = [0; 8];
        out.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(out)
    }

    /// The bytes in hexadecimal.
    pub fn hex(self) -> String {
        self.0.iter().map(|b| format!("{b:02x}")).collect()
    }
}

impl TryFrom<&[u8]> for Digest {
    type Error = InvalidDigestLength;

    fn try_from(buf: &[u8]) -> Result<Self, InvalidDigestLength> {
        Ok(Self(buf.try_into().map_err(|_| InvalidDigestLength)?))
    }
}
