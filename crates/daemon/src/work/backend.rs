//! Connections to the backend servers beside this node.
//!
//! Connections are kept and reused one request at a time. A connection goes back only after a whole
//! reply was read from it: failure: a late reply to a request given up before would be read as the
//! reply to the next one, and a caller would get somebody else's answer. A connection with anything
//! outstanding is closed instead.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::error::Error as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::part::{BodyBroken, BodyReceiver};

/// Longest time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that bytes sent may stay unacknowledged before a connection counts as silent.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Time between two keep-alive probes while a reply is awaited.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as silent.
const PROBE_COUNT: u32 = 2;
/// Looks at whether a backend server still takes connections.
const END_LOOKS: u32 = 2;
/// Pause between two of them.
const END_PAUSE: Duration = Duration::from_millis(20);
/// Idle connections kept for one backend server.
const IDLE_LIMIT: usize = 16;

/// A request body on its way to a backend server.
pub type BackendBody = UnsyncBoxBody<Bytes, BodyBroken>;

/// Why a request got no response head.
#[derive(Debug, thiserror::Error)]
pub enum SendFailure {
    /// Nothing of the request was sent.
    #[error("no connection to the backend server")]
    NotSent,
    /// Some of it may have been sent.
    #[error("the connection broke before a reply")]
    Broken {
        /// Whether nothing came back for the bytes sent, rather than a reset or an end.
        silent: bool,
    },
}

/// An open connection.
#[derive(Debug)]
pub struct BackendConnection {
    sender: SendRequest<BackendBody>,
    slot: u16,
}

/// Idle connections by backend server.
#[derive(Clone, Debug, Default)]
pub struct BackendPool {
    idle: Rc<RefCell<BTreeMap<u16, Vec<SendRequest<BackendBody>>>>>,
}

impl BackendPool {
    /// Sends a request, on a kept connection if one is open, and waits for the response head.
    ///
    /// A request that was surely not sent on a kept connection is sent on a new one.
    ///
    /// # Errors
    ///
    /// Whether anything was sent.
    pub async fn send(
        &self,
        slot: u16,
        address: SocketAddr,
        request: Request<BackendBody>,
    ) -> Result<(Response<Incoming>, BackendConnection), SendFailure> {
        let mut request = request;
        while let Some(mut sender) = self.take(slot) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, BackendConnection { sender, slot })),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(broken(&error.into_error())),
                },
            }
        }
        let mut sender = connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, BackendConnection { sender, slot })),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendFailure::NotSent),
                None => Err(broken(&error.into_error())),
            },
        }
    }

    /// Keeps a connection whose last reply was read whole.
    pub fn keep(&self, connection: BackendConnection) {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.entry(connection.slot).or_default();
        if senders.len() < IDLE_LIMIT {
            senders.push(connection.sender);
        }
    }

    /// Closes the kept connections to one backend server: one of them went silent, and whatever
    /// lost track of it may have lost the others of the same age.
    pub fn discard(&self, slot: u16) {
        self.idle.borrow_mut().remove(&slot);
    }

    fn take(&self, slot: u16) -> Option<SendRequest<BackendBody>> {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(&slot)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

/// Tells a connection that went silent from one that was reset or closed.
fn broken(error: &hyper::Error) -> SendFailure {
    let cause = error
        .source()
        .and_then(|cause| cause.downcast_ref::<std::io::Error>());
    let silent = cause.is_some_and(|cause| cause.kind() == std::io::ErrorKind::TimedOut);
    SendFailure::Broken { silent }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<BackendBody>, SendFailure> {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = opened else {
        return Err(SendFailure::NotSent);
    };
    let _ = stream.set_nodelay(true);
    watch_silence(&stream);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| SendFailure::NotSent)?;
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Failure: something between the two ends loses track of an open connection; requests on it wait
/// for their deadline, and the backend server is taken for slow. The kernel of the other end
/// acknowledges what it gets even when the server behind it is slow, so bytes that stay
/// unacknowledged mean that the path is gone and say nothing about the server.
fn watch_silence(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(SILENCE_LIMIT));
}

/// Whether the backend server ended: it refuses new connections.
///
/// A server that ends closes its sockets one after the other, and a connection may be seen broken
/// before the listener is closed. So a server counts as alive only when it takes connections for a
/// while.
pub async fn has_ended(address: SocketAddr) -> bool {
    for _ in 0..END_LOOKS {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if !matches!(opened, Ok(Ok(_))) {
            return true;
        }
        tokio::time::sleep(END_PAUSE).await;
    }
    false
}

/// A body for the backend server from the chunks as they come.
#[must_use]
pub fn backend_body(chunks: BodyReceiver) -> BackendBody {
    let stream = futures_util::stream::unfold(chunks, |mut chunks| async move {
        let chunk = chunks.recv().await?;
        Some((chunk.map(Frame::data), chunks))
    });
    UnsyncBoxBody::new(StreamBody::new(stream))
}
