//! Evidence about one request signature.

use std::collections::BTreeSet;
use std::time::Duration;

use sycamorelink_core::ServiceName;

use super::{CrashCheck, CrashEvidence, CrashSignature, CrashVictim};

/// Number of backend servers that one request may crash before it is blocked.
const CRASH_LIMIT: usize = 2;
/// Maximum number of victims that an entry stores. Exceeds [`CRASH_LIMIT`] only so that a clearing
/// can name the victims.
const MAX_VICTIMS: usize = 8;

/// Evidence about one request signature.
///
/// Both sets only grow, so that evidence may arrive in any order and any number of times.
#[derive(Debug, Clone)]
pub struct CrashEntry {
    service: ServiceName,
    victims: BTreeSet<CrashVictim>,
    cleared: BTreeSet<CrashVictim>,
    /// Time at which the newest victim was added.
    pub changed_at: Duration,
}

impl CrashEntry {
    /// Creates an entry without evidence.
    #[must_use]
    pub fn new(now: Duration, service: ServiceName) -> Self {
        Self {
            service,
            victims: BTreeSet::new(),
            cleared: BTreeSet::new(),
            changed_at: now,
        }
    }

    /// Returns the service that the request belongs to.
    #[must_use]
    pub const fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Adds evidence. Returns true if any of it was new.
    pub fn merge<V, C>(&mut self, now: Duration, victims: V, cleared: C) -> bool
    where
        V: IntoIterator<Item = CrashVictim>,
        C: IntoIterator<Item = CrashVictim>,
    {
        let before = (self.victims.len(), self.cleared.len());
        for victim in victims {
            if self.victims.len() < MAX_VICTIMS {
                self.victims.insert(victim);
            }
        }
        for victim in cleared {
            if self.cleared.len() < MAX_VICTIMS {
                self.cleared.insert(victim);
            }
        }
        if self.victims.len() > before.0 {
            self.changed_at = now;
        }
        before != (self.victims.len(), self.cleared.len())
    }

    /// Clears all known victims after a run that completed. Returns true if any was not cleared
    /// before.
    ///
    /// A completed run shows that the request did not cause the crashes known so far.
    pub fn mark_cleared(&mut self) -> bool {
        let before = self.cleared.len();
        self.cleared.extend(self.victims.iter().copied());
        self.cleared.len() > before
    }

    /// Returns the number of victims that are not cleared.
    #[must_use]
    pub fn crash_count(&self) -> usize {
        self.victims.difference(&self.cleared).count()
    }

    /// Returns whether the request is blocked.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        self.crash_count() >= CRASH_LIMIT
    }

    /// Returns the verdict for the request. `time_left` is the time until the entry expires.
    #[must_use]
    pub fn check(&self, time_left: Duration) -> CrashCheck {
        match self.crash_count() {
            0 => CrashCheck::Clear,
            count if count < CRASH_LIMIT => CrashCheck::Probation,
            _ => CrashCheck::Stopped {
                retry_after: time_left,
            },
        }
    }

    /// Returns all evidence in the form of a message.
    #[must_use]
    pub fn evidence(&self, signature: CrashSignature) -> CrashEvidence {
        CrashEvidence {
            service: self.service.clone(),
            signature,
            victims: self.victims.iter().copied().collect(),
            cleared: self.cleared.iter().copied().collect(),
        }
    }
}
