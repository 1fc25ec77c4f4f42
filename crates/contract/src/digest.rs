//! SHA-256 digests, displayed as 64 hexadecimal digits.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a digest in bytes.
pub(crate) const DIGEST_BYTES: usize = 32;

const HEX_BASE: u32 = 16;

/// SHA-256 digest.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentDigest(pub [u8; DIGEST_BYTES]);

impl ContentDigest {
    /// Returns the digest of bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Returns the digest of several parts, each preceded by its length.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Adds an item to the digest of a set or removes it, by XOR. The order does not matter.
    pub fn toggle(&mut self, part: &Self) {
        for (byte, other) in self.0.iter_mut().zip(part.0) {
            *byte ^= other;
        }
    }

    /// Compares two digests in constant time.
    #[must_use]
    pub fn ct_eq(&self, other: &Self) -> bool {
        bool::from(self.0.ct_eq(&other.0))
    }

    /// Parses 64 hexadecimal digits.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != DIGEST_BYTES * 2 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let high = char::from(pair[0]).to_digit(HEX_BASE)?;
            let low = char::from(pair[1]).to_digit(HEX_BASE)?;
            *byte = u8::try_from(high * HEX_BASE + low).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl Serialize for ContentDigest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for ContentDigest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            Self::from_hex(&text)
                .ok_or_else(|| D::Error::custom("not 64 hexadecimal digits of a SHA-256 digest"))
        } else {
            <[u8; DIGEST_BYTES]>::deserialize(deserializer).map(Self)
        }
    }
}
