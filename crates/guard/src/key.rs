//! Idempotency keys, which identify a request across all of its resends.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{CustomerName, stable_hash};

/// Creation time of a key, or the validity window of a key without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyTime {
    /// Time embedded in a `UUIDv7` key, in milliseconds since the Unix epoch. The time is part of
    /// the key and therefore the same in every resend.
    Timed(u64),
    /// Window of a key without a time, in milliseconds. Resends are recognised for this long after
    /// the first send, at most half of [`keep_for`](crate::GuardSettings::keep_for). The guarantee
    /// for such keys depends on the clocks of the nodes; a contract has to opt in.
    Window(u64),
}

/// Hashed idempotency key of a customer.
///
/// Equality and order use only the hash: the time is derived from the key, or from a contract that
/// may be amended between two sends.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct KeyId {
    /// Stable hash of customer and key.
    pub hash: u128,
    /// Creation time or window of the key.
    pub time: KeyTime,
}

impl KeyId {
    /// Hashes a customer's key. The same text from another customer gives a different key.
    #[must_use]
    pub fn of(customer: &CustomerName, key: &str, time: KeyTime) -> Self {
        let parts = [customer.as_str().as_bytes(), key.as_bytes()];
        let hash = wide_hash(&parts);
        Self { hash, time }
    }

    /// Returns the time in a `UUIDv7`, in milliseconds since the Unix epoch.
    ///
    /// Returns `None` if the text is not a `UUIDv7` in its hyphenated or plain form.
    #[must_use]
    pub fn uuid_time(key: &str) -> Option<u64> {
        let plain: String = key.chars().filter(|letter| *letter != '-').collect();
        if plain.len() != UUID_DIGITS || !matches!(key.len(), UUID_DIGITS | UUID_HYPHENATED) {
            return None;
        }
        let value = u128::from_str_radix(&plain, 16).ok()?;
        let version = (value >> 76) & 0xf;
        let variant = (value >> 62) & 0x3;
        if version != 7 || variant != 2 {
            return None;
        }
        u64::try_from(value >> 80).ok()
    }

    /// Returns the range of the key when the hash space is split into `ranges` equal ranges.
    #[must_use]
    pub fn range(&self, ranges: u16) -> RangeId {
        let top = (self.hash >> 112) * u128::from(ranges.max(1));
        RangeId(u16::try_from(top >> 16).unwrap_or_default())
    }
}

impl PartialEq for KeyId {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash
    }
}

impl Eq for KeyId {}

impl PartialOrd for KeyId {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for KeyId {
    fn cmp(&self, other: &Self) -> Ordering {
        self.hash.cmp(&other.hash)
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.hash >> 96)
    }
}

/// Number of digits of a UUID without hyphens.
const UUID_DIGITS: usize = 32;
/// Number of characters of a UUID with hyphens.
const UUID_HYPHENATED: usize = 36;

/// Stable hash of method, target and body, which distinguishes a resend from another request that
/// reuses the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyFingerprint(pub u128);

impl KeyFingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(method: &str, target: &str, body: &[u8]) -> Self {
        Self(wide_hash(&[method.as_bytes(), target.as_bytes(), body]))
    }
}

/// Index of a key range. Each range has its own seats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RangeId(pub u16);

impl fmt::Display for RangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// Concatenates two 64-bit stable hashes with different prefixes to a 128-bit hash.
fn wide_hash(parts: &[&[u8]]) -> u128 {
    let mut high = vec![b"high".as_slice()];
    let mut low = vec![b"low".as_slice()];
    high.extend_from_slice(parts);
    low.extend_from_slice(parts);
    (u128::from(stable_hash(&high)) << 64) | u128::from(stable_hash(&low))
}
