//! Detects callers that disconnect while their request is in progress.
//!
//! The HTTP library does not read a connection while it handles one of its requests, so it detects
//! a disconnect only when it writes the response. A second handle to each connection lets the
//! exchange detect the end of the stream earlier.

use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// Delay before an exchange watches its connection, which saves short requests the system calls.
const WATCH_DELAY: Duration = Duration::from_millis(20);
/// Number of accepted connections between two sweeps that remove closed ones from the table.
const SWEEP_EVERY: usize = 32;

/// Second handle to a caller's connection.
#[derive(Clone, Debug)]
pub struct CallerSocket(Arc<TcpStream>);

impl CallerSocket {
    /// Shuts the connection down in both directions.
    pub fn shut_down(&self) {
        let _ = self.0.shutdown(Shutdown::Both);
    }

    /// Returns whether the caller or the server closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        match self.0.peek(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

#[derive(Debug, Default)]
struct SocketTable {
    open: BTreeMap<SocketAddr, CallerSocket>,
    accepted: usize,
}

/// Open connections of callers, by the caller's address.
#[derive(Clone, Debug, Default)]
pub struct CallerSockets {
    table: Arc<Mutex<SocketTable>>,
}

impl CallerSockets {
    /// Returns the connection from an address, or `None` when there is none.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<CallerSocket> {
        self.table.lock().ok()?.open.get(&peer).cloned()
    }

    fn insert(&self, peer: SocketAddr, stream: TcpStream) {
        let Ok(mut table) = self.table.lock() else {
            return;
        };
        table.open.insert(peer, CallerSocket(Arc::new(stream)));
        table.accepted += 1;
        if table.accepted.is_multiple_of(SWEEP_EVERY) {
            table.open.retain(|_, socket| !socket.is_closed());
        }
    }
}

/// Listener that registers each accepted connection in [`CallerSockets`].
#[derive(Debug)]
pub struct TrackedListener {
    listener: std::net::TcpListener,
    sockets: CallerSockets,
}

impl TrackedListener {
    /// Wraps a bound listener.
    #[must_use]
    pub fn new(listener: std::net::TcpListener, sockets: CallerSockets) -> Self {
        Self { listener, sockets }
    }
}

impl IntoListener for TrackedListener {
    type Listener = TrackedAcceptor;

    fn into_listener(self) -> io::Result<TrackedAcceptor> {
        self.listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(self.listener)?;
        Ok(TrackedAcceptor {
            listener,
            sockets: self.sockets,
        })
    }
}

/// [`TrackedListener`] once it runs inside the server's runtime.
#[derive(Debug)]
pub struct TrackedAcceptor {
    listener: tokio::net::TcpListener,
    sockets: CallerSockets,
}

impl Listen for TrackedAcceptor {
    async fn accept(&self) -> io::Result<Stream> {
        let (stream, peer) = self.listener.accept().await?;
        let _ = stream.set_nodelay(true);
        let stream = stream.into_std()?;
        if let Ok(handle) = stream.try_clone() {
            self.sockets.insert(peer, handle);
        }
        Ok(Stream::Tcp(stream, peer))
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
