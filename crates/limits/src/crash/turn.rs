//! Turns that a node has granted as owner, and turns that it has requested.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::InstanceId;

use super::CrashSignature;

/// Turn that this node has granted.
#[derive(Debug, Clone, Copy)]
struct GrantedTurn {
    holder: InstanceId,
    expires_at: Duration,
}

/// Turns that this node has granted as owner.
#[derive(Debug, Default)]
pub struct TurnTable {
    granted: BTreeMap<CrashSignature, GrantedTurn>,
}

impl TurnTable {
    /// Grants the turn unless another grant is still in force.
    pub fn grant(
        &mut self,
        now: Duration,
        signature: CrashSignature,
        holder: InstanceId,
        duration: Duration,
    ) -> bool {
        let current = self.granted.get(&signature);
        if current.is_some_and(|turn| now < turn.expires_at) {
            return false;
        }
        let turn = GrantedTurn {
            holder,
            expires_at: now + duration,
        };
        self.granted.insert(signature, turn);
        true
    }

    /// Ends a turn if `holder` has it.
    pub fn release(&mut self, signature: CrashSignature, holder: InstanceId) {
        if self
            .granted
            .get(&signature)
            .is_some_and(|turn| turn.holder == holder)
        {
            self.granted.remove(&signature);
        }
    }

    /// Removes turns that have expired.
    pub fn expire(&mut self, now: Duration) {
        self.granted.retain(|_, turn| now < turn.expires_at);
    }
}

/// Request for a turn that the owner has not answered yet.
#[derive(Debug, Clone, Copy)]
struct PendingTurn {
    signature: CrashSignature,
    requested_at: Duration,
}

/// Requests for turns that the owner has not answered yet.
#[derive(Debug, Default)]
pub struct AskTable {
    pending: BTreeMap<u64, PendingTurn>,
}

impl AskTable {
    /// Adds a request for a turn.
    pub fn insert(&mut self, now: Duration, ask: u64, signature: CrashSignature) {
        self.pending.insert(
            ask,
            PendingTurn {
                signature,
                requested_at: now,
            },
        );
    }

    /// Removes an open request and returns its signature. Returns `None` if the request is not
    /// open.
    pub fn close(&mut self, ask: u64) -> Option<CrashSignature> {
        self.pending.remove(&ask).map(|pending| pending.signature)
    }

    /// Removes the requests that have been open for `wait` and returns them.
    pub fn expire(&mut self, now: Duration, wait: Duration) -> Vec<(u64, CrashSignature)> {
        let expired: Vec<(u64, CrashSignature)> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.requested_at + wait)
            .map(|(ask, pending)| (*ask, pending.signature))
            .collect();
        for (ask, _) in &expired {
            self.pending.remove(ask);
        }
        expired
    }
}
