//! Account of the bytes that the daemon holds for requests that wait and replies that are not read.
//!
//! ```text
//!  request ─ try_reserve ─▶ body ──▶ attempt, executor ─▶ backend server
//!     └─ no room: refused as not run                        │
//!  caller ◀─────────── held reply ◀── reply buffer ◀────────┘
//! ```
//!
//! Under overload control requests wait for seconds, and a daemon has 160 MB of memory. Bytes are
//! counted from the moment they are read until the last reference to them is dropped.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::Bytes;

/// Shared account of memory in bytes; clones share one balance.
///
/// An account without a limit counts nothing.
#[derive(Clone, Debug, Default)]
pub struct MemoryAccount {
    balance: Option<Arc<AccountBalance>>,
}

#[derive(Debug)]
struct AccountBalance {
    limit: u64,
    used: AtomicU64,
    /// Whether the limit applies. Bytes are counted in any case, so that the balance is right when
    /// a contract switches the limit on.
    enforced: AtomicBool,
}

impl MemoryAccount {
    /// Creates an account that holds at most this many bytes; `None` for an account without a limit.
    #[must_use]
    pub fn new(limit: Option<u64>) -> Self {
        let balance = limit.map(|limit| {
            Arc::new(AccountBalance {
                limit,
                used: AtomicU64::new(0),
                enforced: AtomicBool::new(true),
            })
        });
        Self { balance }
    }

    /// Returns the bytes in use; zero without a limit.
    #[must_use]
    pub fn used(&self) -> u64 {
        let balance = self.balance.as_ref();
        balance.map_or(0, |balance| balance.used.load(Ordering::Relaxed))
    }

    /// Sets whether the limit applies.
    ///
    /// The settings alone do not tell whether the contract in force has objectives for which
    /// overload control is meant.
    pub fn enforce(&self, enforced: bool) {
        if let Some(balance) = &self.balance {
            balance.enforced.store(enforced, Ordering::Relaxed);
        }
    }

    /// Returns the limit in bytes that applies; `None` without one.
    #[must_use]
    pub fn limit(&self) -> Option<u64> {
        let balance = self.balance.as_ref()?;
        balance
            .enforced
            .load(Ordering::Relaxed)
            .then_some(balance.limit)
    }

    /// Returns whether no further byte fits.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.limit().is_some_and(|limit| self.used() >= limit)
    }

    /// Reserves bytes for a new request. Returns `None` if they do not fit.
    #[must_use]
    pub fn try_reserve(&self, bytes: u64) -> Option<MemoryReservation> {
        let mut reservation = self.reserve(0);
        let has_room = !self.is_full() && reservation.try_grow(bytes);
        has_room.then_some(reservation)
    }

    /// Reserves bytes that are held already, even beyond the limit.
    #[must_use]
    pub fn reserve(&self, bytes: u64) -> MemoryReservation {
        let mut reservation = MemoryReservation {
            account: self.clone(),
            bytes: 0,
        };
        reservation.grow(bytes);
        reservation
    }

    /// Counts bytes until the last reference to them is dropped.
    #[must_use]
    pub fn hold(&self, bytes: Bytes) -> Bytes {
        let reservation = self.reserve(bytes.len() as u64);
        reservation.hold(bytes)
    }
}

/// Bytes reserved in a [`MemoryAccount`], which are released on drop.
pub struct MemoryReservation {
    account: MemoryAccount,
    bytes: u64,
}

impl MemoryReservation {
    /// Adds bytes. Returns false, and adds nothing, if they do not fit.
    #[must_use]
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        let Some(balance) = &self.account.balance else {
            return true;
        };
        let limit = self.account.limit().unwrap_or(u64::MAX);
        let grown = |used: u64| used.checked_add(bytes).filter(|used| *used <= limit);
        let order = Ordering::Relaxed;
        let fits = balance.used.fetch_update(order, order, grown).is_ok();
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Adds bytes that are held already, even beyond the limit.
    pub fn grow(&mut self, bytes: u64) {
        if let Some(balance) = &self.account.balance {
            balance.used.fetch_add(bytes, Ordering::Relaxed);
            self.bytes += bytes;
        }
    }

    /// Returns the reserved bytes; zero if the account has no limit.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Sets the reservation to the length of the bytes, and keeps it until the last reference to
    /// them is dropped.
    #[must_use]
    pub fn hold(mut self, bytes: Bytes) -> Bytes {
        if self.account.balance.is_none() || bytes.is_empty() {
            return bytes;
        }
        let length = bytes.len() as u64;
        self.release(self.bytes.saturating_sub(length));
        self.grow(length.saturating_sub(self.bytes));
        Bytes::from_owner(HeldBytes {
            bytes,
            _reservation: self,
        })
    }

    fn release(&mut self, bytes: u64) {
        if let Some(balance) = &self.account.balance {
            balance.used.fetch_sub(bytes, Ordering::Relaxed);
            self.bytes -= bytes;
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

impl fmt::Debug for MemoryReservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = f.debug_struct("MemoryReservation");
        text.field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

struct HeldBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
