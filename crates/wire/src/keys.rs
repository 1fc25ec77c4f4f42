//! Fleet keys and the message authentication codes (MACs) computed with them.

use std::fmt;
use std::sync::Arc;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use sycamorelink_core::FindingList;

/// Minimum length of a key in bytes. Anyone who records a handshake can try keys offline, so a key
/// must not be guessable.
const MIN_KEY_BYTES: usize = 32;

/// Size in bytes of the truncated MAC that datagrams carry.
pub(crate) const SHORT_MAC_BYTES: usize = 16;

/// Full HMAC-SHA256 output.
pub(crate) type FullMac = [u8; 32];

/// HMAC-SHA256 output truncated to [`SHORT_MAC_BYTES`].
pub(crate) type ShortMac = [u8; SHORT_MAC_BYTES];

/// Secret shared by all nodes of a fleet.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FleetKey(Arc<str>);

impl FleetKey {
    /// Creates a key from its text. [`FleetKeys::check`] reports keys that are too short.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the id of the key, which reveals nothing about the key itself.
    #[must_use]
    pub fn id(&self) -> KeyId {
        let mac = self.mac(MacPurpose::KeyId, b"");
        KeyId(
            mac.first_chunk()
                .map_or(0, |part| u64::from_le_bytes(*part)),
        )
    }

    pub(crate) fn mac(&self, purpose: MacPurpose, data: &[u8]) -> FullMac {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.0.as_bytes())
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        mac.update(&[purpose as u8]);
        mac.update(data);
        mac.finalize().into_bytes().into()
    }

    pub(crate) fn short_mac(&self, purpose: MacPurpose, data: &[u8]) -> ShortMac {
        let mut short = ShortMac::default();
        short.copy_from_slice(&self.mac(purpose, data)[..SHORT_MAC_BYTES]);
        short
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "FleetKey({})", self.id())
    }
}

/// Purpose of a MAC. The MAC covers its purpose, so that it cannot be reused for another one.
#[derive(Clone, Copy, Debug)]
pub(crate) enum MacPurpose {
    KeyId = 1,
    ClientProof = 2,
    ServerProof = 3,
    Datagram = 4,
}

/// Compares two MACs in constant time.
pub(crate) fn macs_equal(left: &[u8], right: &[u8]) -> bool {
    left.ct_eq(right).into()
}

/// Id of a fleet key: the first eight bytes of a MAC computed with the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyId(pub u64);

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Keys of a fleet: one to send with and optionally a second one to accept.
///
/// A rotation takes three passes over the fleet: accept the new key (`current` old, `previous`
/// new), send with it (`current` new, `previous` old), remove the old one (`current` new).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetKeys {
    /// Key to send with.
    pub current: FleetKey,
    /// Second key to accept during a rotation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<FleetKey>,
}

impl FleetKeys {
    /// Creates a key set with a single key, that is without a rotation in progress.
    #[must_use]
    pub fn only(current: &str) -> Self {
        Self {
            current: FleetKey::new(current),
            previous: None,
        }
    }

    /// Returns findings about keys that are too short. Their paths begin with `place`.
    #[must_use]
    pub fn check(&self, place: &str) -> FindingList {
        let mut findings = FindingList::default();
        for (name, key) in [
            ("current", Some(&self.current)),
            ("previous", self.previous.as_ref()),
        ] {
            findings.expect(
                key.is_none_or(|key| key.0.len() >= MIN_KEY_BYTES),
                &format!("{place}.{name}"),
                "must have at least 32 characters, from a random source",
            );
        }
        findings
    }

    pub(crate) fn accepted(&self) -> Vec<&FleetKey> {
        std::iter::once(&self.current)
            .chain(self.previous.as_ref())
            .collect()
    }

    pub(crate) fn find(&self, id: KeyId) -> Option<&FleetKey> {
        self.accepted().into_iter().find(|key| key.id() == id)
    }
}
