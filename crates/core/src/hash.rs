//! Hashes with the same value on every node and in every build.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Hashes a sequence of byte strings.
///
/// The length of each part is hashed as well, so that `("ab", "c")` and `("a", "bc")` differ.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}

/// Returns the [`stable_hash`] of a name as a single part.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    stable_hash(&[name.as_bytes()])
}
