//! Pool of a node's connections to its peers: one per peer, opened on first use.
//!
//! Each end of an idle connection uses tens of kilobytes, and a node may talk to every other node
//! of the fleet. The pool therefore closes the connections that have been idle longest when it
//! holds more than [`WireSettings::max_pooled`].

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use sycamorelink_core::InstanceId;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::client::PeerConnection;
use crate::error::{ConnectError, WireError};
use crate::handshake::PeerIdentity;
use crate::message::{MessageError, MessageSender};
use crate::settings::WireSettings;

/// Reason why a message was not queued.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PoolError {
    /// The peer cannot be reached.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The message stream could not be opened.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The message stream did not accept the message.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Connections to peers, keyed by instance: a restarted peer has another entry. Clones share the
/// pool.
#[derive(Debug)]
pub struct PeerPool<M> {
    shared: Rc<PoolShared<M>>,
}

impl<M> Clone for PeerPool<M> {
    fn clone(&self) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
        }
    }
}

#[derive(Debug)]
struct PoolShared<M> {
    identity: PeerIdentity,
    settings: WireSettings,
    entries: RefCell<BTreeMap<InstanceId, Rc<PeerEntry<M>>>>,
}

#[derive(Debug)]
struct PeerEntry<M> {
    /// Locked while connecting, so that concurrent requests open a single connection.
    link: Mutex<PeerLink<M>>,
}

#[derive(Debug)]
enum PeerLink<M> {
    Closed,
    /// The last connect failed. The error is kept so that the requests which waited for that
    /// connect do not each retry in turn and time out one after another.
    Failed {
        at: Instant,
        error: ConnectError,
    },
    Open(Box<OpenLink<M>>),
}

#[derive(Debug)]
struct OpenLink<M> {
    connection: PeerConnection,
    messages: Option<MessageSender<M>>,
}

impl<M> PeerPool<M>
where
    M: Serialize,
{
    /// Creates an empty pool.
    #[must_use]
    pub fn new(identity: PeerIdentity, settings: WireSettings) -> Self {
        Self {
            shared: Rc::new(PoolShared {
                identity,
                settings,
                entries: RefCell::default(),
            }),
        }
    }

    /// Returns the open connection to a peer, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened, or if a connect to the peer failed within the last
    /// [`WireSettings::reconnect_delay`]. Nothing was sent.
    pub async fn connection(
        &self,
        peer: InstanceId,
        address: SocketAddr,
    ) -> Result<PeerConnection, ConnectError> {
        let entry = self.entry(peer);
        let mut link = entry.link.lock().await;
        self.open_or_connect(&mut link, peer, address).await
    }

    /// Queues a message to a peer. Queued messages are lost if the connection breaks.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or the message cannot be queued.
    pub async fn send(
        &self,
        peer: InstanceId,
        address: SocketAddr,
        message: &M,
    ) -> Result<(), PoolError> {
        let entry = self.entry(peer);
        let mut link = entry.link.lock().await;
        let connection = self.open_or_connect(&mut link, peer, address).await?;
        let PeerLink::Open(open) = &mut *link else {
            return Err(MessageError::Closed.into());
        };
        let messages = &mut open.messages;
        if messages.as_ref().is_none_or(MessageSender::is_closed) {
            *messages = Some(connection.messages().await?);
        }
        match messages {
            Some(sender) => Ok(sender.send(message)?),
            None => Err(MessageError::Closed.into()),
        }
    }

    /// Returns the peers whose reply to a heartbeat has been outstanding for longer than `limit`.
    /// Their connections are still open.
    #[must_use]
    pub fn unresponsive_peers(&self, limit: Duration) -> Vec<InstanceId> {
        let entries = self.shared.entries.borrow();
        let unresponsive = entries.iter().filter(|(_, entry)| {
            let Ok(link) = entry.link.try_lock() else {
                return false;
            };
            match &*link {
                PeerLink::Open(open) if !open.connection.is_closed() => {
                    let outstanding = open.connection.unresponsive_for();
                    outstanding.is_some_and(|outstanding| outstanding > limit)
                }
                _ => false,
            }
        });
        unresponsive.map(|(peer, _)| *peer).collect()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open_entries().len()
    }

    async fn open_or_connect(
        &self,
        link: &mut PeerLink<M>,
        peer: InstanceId,
        address: SocketAddr,
    ) -> Result<PeerConnection, ConnectError> {
        let settings = self.shared.settings;
        match link {
            PeerLink::Open(open) if !open.connection.is_closed() => {
                return Ok(open.connection.clone());
            }
            PeerLink::Failed { at, error } if at.elapsed() < settings.reconnect_delay => {
                return Err(error.clone());
            }
            _ => *link = PeerLink::Closed,
        }
        let identity = &self.shared.identity;
        match PeerConnection::connect(address, identity, Some(peer), settings).await {
            Ok(connection) => {
                self.evict_idle();
                *link = PeerLink::Open(Box::new(OpenLink {
                    connection: connection.clone(),
                    messages: None,
                }));
                Ok(connection)
            }
            Err(error) => {
                *link = PeerLink::Failed {
                    at: Instant::now(),
                    error: error.clone(),
                };
                Err(error)
            }
        }
    }

    /// Closes the connections that have been idle longest until one more fits. Connections with
    /// open work stay open even above the limit.
    fn evict_idle(&self) {
        let mut idle = self.open_entries();
        let excess = (idle.len() + 1).saturating_sub(self.shared.settings.max_pooled);
        idle.retain(|(idle_for, _)| idle_for.is_some());
        idle.sort_by_key(|(idle_for, _)| std::cmp::Reverse(*idle_for));
        for (_, entry) in idle.into_iter().take(excess) {
            if let Ok(mut link) = entry.link.try_lock() {
                *link = PeerLink::Closed;
            }
        }
    }

    /// Returns the open connections whose entry is not locked, each with its idle time.
    fn open_entries(&self) -> Vec<(Option<Duration>, Rc<PeerEntry<M>>)> {
        let entries = self.shared.entries.borrow();
        let open = entries.values().filter_map(|entry| {
            let link = entry.link.try_lock().ok()?;
            match &*link {
                PeerLink::Open(open) if !open.connection.is_closed() => {
                    Some((open.connection.idle_for(), Rc::clone(entry)))
                }
                _ => None,
            }
        });
        open.collect()
    }

    fn entry(&self, peer: InstanceId) -> Rc<PeerEntry<M>> {
        let mut entries = self.shared.entries.borrow_mut();
        if let Some(known) = entries.get(&peer) {
            return Rc::clone(known);
        }
        // Entries of earlier incarnations of the peer are no longer needed.
        entries.retain(|known, _| known.node != peer.node || *known > peer);
        let entry = Rc::new(PeerEntry {
            link: Mutex::new(PeerLink::Closed),
        });
        entries.insert(peer, Rc::clone(&entry));
        entry
    }
}
