//! Addresses that the backend servers of this node announced.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Addresses of the backend servers of this node, by slot.
#[derive(Clone, Debug, Default)]
pub struct BackendDirectory {
    addresses: Arc<Mutex<BTreeMap<u16, SocketAddr>>>,
}

impl BackendDirectory {
    /// Sets the address of a backend server.
    pub fn insert(&self, slot: u16, address: SocketAddr) {
        if let Ok(mut addresses) = self.addresses.lock() {
            addresses.insert(slot, address);
        }
    }

    /// Returns the address of a backend server, or `None` before its first announcement.
    #[must_use]
    pub fn address(&self, slot: u16) -> Option<SocketAddr> {
        self.addresses.lock().ok()?.get(&slot).copied()
    }
}
