//! Connection pool for the backend servers of this node.
//!
//! A connection carries one request at a time and returns to the pool only after its reply was read
//! completely. Otherwise a late reply to an abandoned request would be read as the reply to the
//! next one and reach the wrong caller, so a connection with an outstanding reply is closed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::error::Error as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
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
use tokio::sync::Notify;

use crate::body::{BodyReceiver, BodyTruncated};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that sent bytes may stay unacknowledged before a connection counts as silent.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(1);
/// Interval of TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection counts as silent.
const KEEPALIVE_COUNT: u32 = 2;
/// Connections that a backend server must accept to count as running.
const LIVENESS_CHECKS: u32 = 2;
/// Pause after each of these connections.
const LIVENESS_CHECK_PAUSE: Duration = Duration::from_millis(20);
/// Largest number of idle connections to one backend server.
const MAX_IDLE: usize = 16;
/// Greatest size of a reply's head and of a chunk of its body, in bytes. The channels between the
/// threads hold some chunks of each reply whose caller reads slowly.
const READ_BUFFER_LIMIT: usize = 64 << 10;
/// Interim replies (status 1xx) before the final one after which a reply counts as malformed.
const MAX_INTERIM_REPLIES: usize = 16;

/// Request body sent to a backend server.
pub type BackendBody = UnsyncBoxBody<Bytes, BodyTruncated>;

/// Reason why a request got no response head.
#[derive(Debug, thiserror::Error)]
pub enum SendFailure {
    /// No byte of the request was sent.
    #[error("no connection to the backend server")]
    NotSent,
    /// The backend server sent interim replies without end, or switched protocols.
    #[error("interim replies in place of a final one")]
    Interim,
    /// Some of the request may have been sent.
    #[error("the connection broke before a reply")]
    Broken {
        /// Whether the sent bytes timed out unacknowledged, as opposed to a reset or a close.
        silent: bool,
    },
}

/// Open connection to a backend server.
#[derive(Debug)]
pub struct BackendConnection {
    sender: SendRequest<BackendBody>,
    slot: u16,
}

/// Idle connections by the slot of their backend server.
#[derive(Clone, Debug, Default)]
pub struct BackendPool {
    idle: Rc<RefCell<BTreeMap<u16, Vec<SendRequest<BackendBody>>>>>,
}

impl BackendPool {
    /// Sends a request, on a pooled connection if one is open, and waits for the response head.
    ///
    /// A request that was certainly not sent on a pooled connection is sent on another one.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] only when no part of the request was sent.
    pub async fn send(
        &self,
        slot: u16,
        address: SocketAddr,
        request: Request<BackendBody>,
    ) -> Result<(Response<Incoming>, BackendConnection), SendFailure> {
        let mut request = request;
        let too_many = limit_interim_replies(&mut request);
        let sent = tokio::select! {
            sent = self.send_on_any(slot, address, request) => sent?,
            () = too_many.notified() => return Err(SendFailure::Interim),
        };
        // The HTTP library hands over a 101 as the final reply, but no request asks for an upgrade.
        if sent.0.status().is_informational() {
            return Err(SendFailure::Interim);
        }
        Ok(sent)
    }

    async fn send_on_any(
        &self,
        slot: u16,
        address: SocketAddr,
        request: Request<BackendBody>,
    ) -> Result<(Response<Incoming>, BackendConnection), SendFailure> {
        let mut request = request;
        while let Some(mut sender) = self.take_idle(slot) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, BackendConnection { sender, slot })),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(broken_failure(&error.into_error())),
                },
            }
        }
        let mut sender = connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, BackendConnection { sender, slot })),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendFailure::NotSent),
                None => Err(broken_failure(&error.into_error())),
            },
        }
    }

    /// Returns a connection whose last reply was read completely to the pool.
    pub fn put_back(&self, connection: BackendConnection) {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.entry(connection.slot).or_default();
        if senders.len() < MAX_IDLE {
            senders.push(connection.sender);
        }
    }

    /// Closes the idle connections to a backend server after one of them went silent: a middlebox
    /// that dropped one connection may have dropped others of the same age.
    pub fn discard_idle(&self, slot: u16) {
        self.idle.borrow_mut().remove(&slot);
    }

    fn take_idle(&self, slot: u16) -> Option<SendRequest<BackendBody>> {
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

/// Counts the interim replies to a request. The result is notified when there are too many.
///
/// The HTTP library skips interim replies. A server that sends nothing else would hold its slot, and
/// use the processor, until the deadline.
fn limit_interim_replies(request: &mut Request<BackendBody>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let count = AtomicUsize::new(0);
    let exceeded = Arc::clone(&too_many);
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_REPLIES {
            exceeded.notify_one();
        }
    });
    too_many
}

/// Distinguishes a connection that went silent from one that was reset or closed.
fn broken_failure(error: &hyper::Error) -> SendFailure {
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
    set_silence_timeouts(&stream);
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_LIMIT)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(|_| SendFailure::NotSent)?;
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sets TCP timeouts that detect a dead path. If a middlebox drops an open connection, requests on
/// it would wait for their deadline and the backend server would appear slow. The remote kernel
/// acknowledges bytes even when the server process is slow, so unacknowledged bytes mean that the
/// path is broken and do not count against the server.
fn set_silence_timeouts(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_COUNT);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
}

/// Returns whether a backend server refuses new connections, which means that it has terminated.
///
/// A terminating server closes its sockets one after the other, so a connection may break before
/// the listener is closed. A server therefore counts as running only when it accepts several
/// connections in a row.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    for _ in 0..LIVENESS_CHECKS {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if !matches!(opened, Ok(Ok(_))) {
            return true;
        }
        tokio::time::sleep(LIVENESS_CHECK_PAUSE).await;
    }
    false
}

/// Returns a request body that streams the chunks as they arrive.
#[must_use]
pub fn backend_body(chunks: BodyReceiver) -> BackendBody {
    let stream = futures_util::stream::unfold(chunks, |mut chunks| async move {
        let chunk = chunks.chunk().await.transpose()?;
        Some((chunk.map(Frame::data), chunks))
    });
    UnsyncBoxBody::new(StreamBody::new(stream))
}
