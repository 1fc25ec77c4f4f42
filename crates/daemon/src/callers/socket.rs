//! Table of the callers' connections.
//!
//! The HTTP library owns a connection and neither reads it while it handles one of its requests nor
//! reports how much of a reply the kernel has taken. A second handle lets the exchange detect a
//! disconnect early, and the table tells the daemon which replies a stop would cut off.

use std::collections::BTreeMap;
use std::future::pending;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::open_replies::{OpenReplies, OpenReply};

/// Delay before an exchange watches its connection, which saves short requests the system calls.
const WATCH_DELAY: Duration = Duration::from_millis(20);
/// Size of the buffer into which unread bytes are discarded.
const DISCARD_BUFFER: usize = 8 << 10;
/// Largest number of buffers that are discarded of a connection when the daemon stops.
const MAX_DISCARDS: usize = 64;

/// A caller's connection, shared by its server, its exchanges and the stop of the daemon.
#[derive(Clone, Debug)]
pub struct CallerSocket(Arc<SocketState>);

#[derive(Debug)]
struct SocketState {
    peer: SocketAddr,
    handle: TcpStream,
    /// Bytes that the HTTP library is writing and the kernel has not taken.
    unsent: AtomicU64,
    /// Bytes of the current reply that the HTTP library has not asked for.
    withheld: AtomicU64,
    /// Replies whose last byte the HTTP library has, until the kernel has taken it.
    ended: Mutex<Vec<OpenReply>>,
}

impl CallerSocket {
    /// Shuts the connection down in both directions.
    pub fn shut_down(&self) {
        let _ = self.0.handle.shutdown(Shutdown::Both);
    }

    /// Ends the sending direction. What the kernel has taken is still delivered.
    pub(super) fn end_sending(&self) -> io::Result<()> {
        self.0.handle.shutdown(Shutdown::Write)
    }

    /// Returns whether the caller or the server closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        match self.0.handle.peek(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Sets how many bytes of the current reply the HTTP library has not asked for.
    pub(super) fn set_withheld(&self, bytes: u64) {
        self.0.withheld.store(bytes, Ordering::Relaxed);
    }

    /// Records that the HTTP library has the last byte of a reply. The next complete write
    /// includes it.
    pub(super) fn end_reply(&self, reply: OpenReply) {
        if let Ok(mut ended) = self.0.ended.lock() {
            ended.push(reply);
        }
    }

    /// Records the start of a write of this many bytes. Returns the number of replies that are
    /// written completely with it.
    pub(super) fn begin_write(&self, bytes: usize) -> usize {
        self.0.unsent.store(bytes as u64, Ordering::Relaxed);
        self.0.ended.lock().map_or(0, |ended| ended.len())
    }

    /// Records how many bytes of a write the kernel did not take. `ending` is what
    /// [`Self::begin_write`] returned.
    pub(super) fn end_write(&self, unsent: usize, ending: usize) {
        self.0.unsent.store(unsent as u64, Ordering::Relaxed);
        if unsent == 0
            && let Ok(mut ended) = self.0.ended.lock()
        {
            let written = ending.min(ended.len());
            ended.drain(..written);
        }
    }

    fn left(&self) -> u64 {
        self.0.unsent.load(Ordering::Relaxed) + self.0.withheld.load(Ordering::Relaxed)
    }

    /// Ends the connection, so that the caller gets what the kernel has taken.
    ///
    /// The kernel resets a connection that is closed with unread bytes, and drops what it has not
    /// sent.
    fn close(&self) {
        let _ = self.end_sending();
        let mut buffer = [0; DISCARD_BUFFER];
        for _ in 0..MAX_DISCARDS {
            if !(&self.0.handle)
                .read(&mut buffer)
                .is_ok_and(|count| count > 0)
            {
                return;
            }
        }
    }
}

/// A reply that the caller has not got completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsentReply {
    /// Address of the caller.
    pub peer: SocketAddr,
    /// Bytes that the kernel has not taken.
    pub left: u64,
}

/// Open connections of callers, by the caller's address.
#[derive(Clone, Debug, Default)]
pub struct CallerSockets {
    open: Arc<Mutex<BTreeMap<SocketAddr, CallerSocket>>>,
    replies: OpenReplies,
}

impl CallerSockets {
    /// Creates an empty table whose replies are counted in `replies`.
    #[must_use]
    pub fn new(replies: OpenReplies) -> Self {
        Self {
            replies,
            ..Self::default()
        }
    }

    /// Returns the connection from an address, or `None` when there is none.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<CallerSocket> {
        self.open.lock().ok()?.get(&peer).cloned()
    }

    /// Counts a reply as open until the returned value is dropped.
    #[must_use]
    pub fn open_reply(&self) -> OpenReply {
        self.replies.open()
    }

    /// Ends all connections. Returns the replies that are cut off by it.
    #[must_use]
    pub fn close_all(&self) -> Vec<UnsentReply> {
        let open = self.open.lock();
        let open = open.map_or_else(|_| BTreeMap::new(), |mut open| std::mem::take(&mut *open));
        let mut unsent = Vec::new();
        for socket in open.into_values() {
            let left = socket.left();
            if left > 0 {
                let peer = socket.0.peer;
                unsent.push(UnsentReply { peer, left });
            }
            socket.close();
        }
        unsent
    }

    /// Adds a connection, of which `handle` is a second handle.
    pub(super) fn register(&self, handle: TcpStream) -> io::Result<SocketRegistration> {
        let peer = handle.peer_addr()?;
        let socket = CallerSocket(Arc::new(SocketState {
            peer,
            handle,
            unsent: AtomicU64::new(0),
            withheld: AtomicU64::new(0),
            ended: Mutex::default(),
        }));
        if let Ok(mut open) = self.open.lock() {
            open.insert(peer, socket.clone());
        }
        Ok(SocketRegistration {
            sockets: self.clone(),
            socket,
        })
    }
}

/// Entry of a connection in the table, which is removed on drop.
#[derive(Debug)]
pub(super) struct SocketRegistration {
    sockets: CallerSockets,
    socket: CallerSocket,
}

impl SocketRegistration {
    pub(super) fn socket(&self) -> &CallerSocket {
        &self.socket
    }

    pub(super) fn open_reply(&self) -> OpenReply {
        self.sockets.open_reply()
    }
}

impl Drop for SocketRegistration {
    fn drop(&mut self) {
        if let Ok(mut ended) = self.socket.0.ended.lock() {
            ended.clear();
        }
        let Ok(mut open) = self.sockets.open.lock() else {
            return;
        };
        let peer = self.socket.0.peer;
        // A new connection from the same address may have taken the place.
        let is_own = open
            .get(&peer)
            .is_some_and(|other| Arc::ptr_eq(&other.0, &self.socket.0));
        if is_own {
            open.remove(&peer);
        }
    }
}

/// Resolves when the caller disconnects. Never resolves when a disconnect cannot be detected.
pub async fn wait_for_disconnect(socket: Option<CallerSocket>) {
    let Some(socket) = socket else {
        return pending().await;
    };
    tokio::time::sleep(WATCH_DELAY).await;
    let watched = socket
        .0
        .handle
        .try_clone()
        .and_then(tokio::net::TcpStream::from_std);
    let Ok(watched) = watched else {
        return pending().await;
    };
    let mut byte = [0];
    match watched.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => pending().await,
    }
}
