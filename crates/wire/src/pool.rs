//! A node's connections to its peers: one for each, opened when first needed.
//!
//! Each end of an idle connection holds tens of kilobytes, and a node may come to talk to every
//! other one. So a pool keeps a bounded number, and closes the one idle for longest.

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

/// Why a message was not sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PoolError {
    /// The peer cannot be reached.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection takes no message stream.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The message stream takes no message.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Connections to peers by their life: a restarted peer is another entry. Clones share it.
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
    /// Held while connecting, so that many requests at once open one connection.
    link: Mutex<PeerLink<M>>,
}

#[derive(Debug)]
enum PeerLink<M> {
    Closed,
    /// The last try failed. Without it, each of the requests that waited for that try would make
    /// one of its own, one after the other, and wait for a peer that does not answer.
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
    /// A pool without connections.
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

    /// The open connection to a peer, or a new one.
    ///
    /// # Errors
    ///
    /// When none can be opened, or none could a moment ago; nothing was sent then.
    pub async fn connection(
        &self,
        peer: InstanceId,
        address: SocketAddr,
    ) -> Result<PeerConnection, ConnectError> {
        let entry = self.entry(peer);
        let mut link = entry.link.lock().await;
        self.open(&mut link, peer, address).await
    }

    /// Queues a message for a peer. It may still be lost with the connection.
    ///
    /// # Errors
    ///
    /// When the peer cannot be reached or the message cannot be queued.
    pub async fn send(
        &self,
        peer: InstanceId,
        address: SocketAddr,
        message: &M,
    ) -> Result<(), PoolError> {
        let entry = self.entry(peer);
        let mut link = entry.link.lock().await;
        let connection = self.open(&mut link, peer, address).await?;
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

    /// Peers that have owed the answer to a heartbeat for longer than the limit. Their connections
    /// are not given up yet.
    #[must_use]
    pub fn quiet_peers(&self, limit: Duration) -> Vec<InstanceId> {
        let entries = self.shared.entries.borrow();
        let quiet = entries.iter().filter(|(_, entry)| {
            let Ok(link) = entry.link.try_lock() else {
                return false;
            };
            match &*link {
                PeerLink::Open(open) if !open.connection.is_closed() => {
                    let owed = open.connection.quiet_for();
                    owed.is_some_and(|owed| owed > limit)
                }
                _ => false,
            }
        });
        quiet.map(|(peer, _)| *peer).collect()
    }

    /// Connections that are open now.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open_entries().len()
    }

    async fn open(
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
            PeerLink::Failed { at, error } if at.elapsed() < settings.retry_pause => {
                return Err(error.clone());
            }
            _ => *link = PeerLink::Closed,
        }
        let identity = &self.shared.identity;
        match PeerConnection::connect(address, identity, Some(peer), settings).await {
            Ok(connection) => {
                self.make_room();
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

    /// Closes connections idle for longest until there is room for one more. Those with open work
    /// stay, also beyond the bound.
    fn make_room(&self) {
        let mut idle = self.open_entries();
        let excess = (idle.len() + 1).saturating_sub(self.shared.settings.pooled);
        idle.retain(|(idle_for, _)| idle_for.is_some());
        idle.sort_by_key(|(idle_for, _)| std::cmp::Reverse(*idle_for));
        for (_, entry) in idle.into_iter().take(excess) {
            if let Ok(mut link) = entry.link.try_lock() {
                *link = PeerLink::Closed;
            }
        }
    }

    /// Open connections that nobody is busy with, each with the time it has been idle.
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
        // Entries of earlier lives of this node are of no more use.
        entries.retain(|known, _| known.node != peer.node || *known > peer);
        let entry = Rc::new(PeerEntry {
            link: Mutex::new(PeerLink::Closed),
        });
        entries.insert(peer, Rc::clone(&entry));
        entry
    }
}
