//! Addresses that the backend servers of this node announced.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Maximum number of incarnations whose address is remembered per slot.
const MAX_INCARNATIONS: usize = 8;

/// Addresses of the backend servers of this node, by slot and incarnation.
///
/// An announcement may be a delayed one of an earlier incarnation, or come from another writer. Its
/// address must not get the work of the incarnation that runs.
#[derive(Clone, Debug, Default)]
pub struct BackendDirectory {
    slots: Arc<Mutex<BTreeMap<u16, Vec<AnnouncedAddress>>>>,
}

#[derive(Debug)]
struct AnnouncedAddress {
    /// Name of the incarnation; `None` if the server does not announce one.
    life: Option<Arc<str>>,
    address: SocketAddr,
}

impl BackendDirectory {
    /// Sets the address that an incarnation of a backend server announced.
    pub fn insert(&self, slot: u16, life: Option<Arc<str>>, address: SocketAddr) {
        let Ok(mut slots) = self.slots.lock() else {
            return;
        };
        let announced = slots.entry(slot).or_default();
        announced.retain(|other| other.life != life);
        announced.push(AnnouncedAddress { life, address });
        if announced.len() > MAX_INCARNATIONS {
            announced.remove(0);
        }
    }

    /// Returns the address of an incarnation of a backend server, or the one announced last if the
    /// incarnation is not named. Returns `None` before its first announcement.
    #[must_use]
    pub fn address(&self, slot: u16, life: Option<&str>) -> Option<SocketAddr> {
        let slots = self.slots.lock().ok()?;
        let mut announced = slots.get(&slot)?.iter().rev();
        let found = announced.find(|known| life.is_none() || known.life.as_deref() == life);
        found.map(|known| known.address)
    }
}
