//! Server side of a connection between two nodes.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Request, Response};
use serde::de::DeserializeOwned;
use sycamorelink_core::InstanceId;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;

use crate::client::{MESSAGE_PATH, WORK_PATH};
use crate::codec::decode_payload;
use crate::connection::{CloseReason, ConnectionState};
use crate::error::{ConnectError, WireError};
use crate::frame::FrameKind;
use crate::handshake::{PeerIdentity, accept_handshake};
use crate::heartbeat::run_heartbeat;
use crate::server_exchange::{BodyReceiver, ReplySender, WorkExchange};
use crate::settings::WireSettings;
use crate::stream::FrameReader;
use crate::work::WorkHead;

/// Maximum size of a stream's h2 header list in bytes. Requests of peers carry only pseudo-headers.
const MAX_H2_HEADER_BYTES: u32 = 4096;

/// Future returned by [`PeerHandler::work`].
pub type HandlerFuture = Pin<Box<dyn Future<Output = ()>>>;

/// Handler of requests and messages from peers. Implementations need not be `Send`.
pub trait PeerHandler<M>: 'static {
    /// Handles a request. The future is polled to completion even if the peer disconnects, so that
    /// it can record the outcome; [`ReplySender::cancelled`] reports the disconnect.
    fn work(&self, exchange: WorkExchange) -> HandlerFuture;

    /// Handles a message.
    fn message(&self, from: InstanceId, message: M);

    /// Handles the failure of an incoming connection's handshake. Logs a warning by default.
    fn refused(&self, from: SocketAddr, error: &ConnectError) {
        tracing::warn!(%from, %error, "refused a peer connection");
    }
}

/// Serves one connection until the peer closes it, a heartbeat times out, or a drain completes.
///
/// Once `drain` becomes true, new streams are refused and open ones are completed. Must run inside
/// a `LocalSet`.
///
/// # Errors
///
/// Fails if the handshake fails. An error on a single stream ends only that stream.
pub async fn serve_connection<I, M>(
    mut io: I,
    identity: &PeerIdentity,
    settings: WireSettings,
    handler: Rc<dyn PeerHandler<M>>,
    drain: watch::Receiver<bool>,
) -> Result<CloseReason, ConnectError>
where
    I: AsyncRead + AsyncWrite + Unpin,
    M: DeserializeOwned + 'static,
{
    let handshake = async {
        let peer = accept_handshake(&mut io, identity).await?;
        let connection = h2::server::Builder::new()
            .max_concurrent_streams(settings.max_streams.saturating_add(1))
            .max_header_list_size(MAX_H2_HEADER_BYTES)
            .initial_window_size(settings.stream_window)
            .initial_connection_window_size(settings.connection_window())
            .handshake::<_, Bytes>(io)
            .await
            .map_err(|error| ConnectError::Unreachable(error.to_string()))?;
        Ok::<_, ConnectError>((peer, connection))
    };
    let (peer, connection) = tokio::time::timeout(settings.connect_limit, handshake)
        .await
        .map_err(|_| ConnectError::TimedOut)??;
    let serving = Rc::new(ServingContext {
        peer,
        own: identity.instance,
        settings,
        handler,
        state: ConnectionState::new(),
        drain,
    });
    Ok(accept_streams(connection, &serving).await)
}

/// State shared by the streams of a connection.
struct ServingContext<M> {
    peer: InstanceId,
    own: InstanceId,
    settings: WireSettings,
    handler: Rc<dyn PeerHandler<M>>,
    state: ConnectionState,
    drain: watch::Receiver<bool>,
}

impl<M> ServingContext<M> {
    /// Waits until the drain has begun and no work is open. Messages are accepted until then, since
    /// requests in flight may depend on them.
    async fn drained(&self) {
        if self.drain.clone().wait_for(|drain| *drain).await.is_err() {
            // The sender is gone, so a drain can no longer be requested.
            return std::future::pending().await;
        }
        let _ = self
            .state
            .watch_open_work()
            .wait_for(|open| *open == 0)
            .await;
    }
}

async fn accept_streams<I, M>(
    mut connection: h2::server::Connection<I, Bytes>,
    serving: &Rc<ServingContext<M>>,
) -> CloseReason
where
    I: AsyncRead + AsyncWrite + Unpin,
    M: DeserializeOwned + 'static,
{
    let state = serving.state.clone();
    let pings = connection.ping_pong();
    let heartbeat = async {
        match pings {
            Some(pings) => run_heartbeat(pings, state, serving.settings.for_server()).await,
            None => std::future::pending().await,
        }
    };
    let mut heartbeat = std::pin::pin!(heartbeat);
    let mut drain = serving.drain.clone();
    let mut draining = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, response))) => {
                    tokio::task::spawn_local(serve_stream(Rc::clone(serving), request, response));
                }
                Some(Err(error)) => return CloseReason::Lost(error.to_string()),
                None => return CloseReason::Lost("closed".to_owned()),
            },
            () = heartbeat.as_mut() => return CloseReason::Silent,
            changed = drain.wait_for(|drain| *drain), if !draining => {
                draining = true;
                if changed.is_ok() {
                    connection.graceful_shutdown();
                }
            }
        }
    }
}

async fn serve_stream<M>(
    serving: Rc<ServingContext<M>>,
    request: Request<RecvStream>,
    mut response: SendResponse<Bytes>,
) where
    M: DeserializeOwned + 'static,
{
    let path = request.uri().path().to_owned();
    let reader = FrameReader::new(request.into_body(), serving.settings.frames);
    match path.as_str() {
        WORK_PATH => serve_work(&serving, reader, response).await,
        MESSAGE_PATH => {
            let ended = tokio::select! {
                ended = serve_messages(&serving, reader) => ended,
                () = serving.drained() => Ok(()),
            };
            match ended {
                Ok(()) => {
                    let _ = response.send_response(Response::new(()), true);
                }
                Err(error) => {
                    tracing::debug!(peer = %serving.peer, %error, "message stream ended");
                    response.send_reset(Reason::PROTOCOL_ERROR);
                }
            }
        }
        _ => response.send_reset(Reason::REFUSED_STREAM),
    }
}

async fn serve_work<M>(
    serving: &ServingContext<M>,
    mut reader: FrameReader,
    mut response: SendResponse<Bytes>,
) where
    M: 'static,
{
    let Some(open) = serving.state.open_work(serving.settings.max_streams) else {
        response.send_reset(Reason::REFUSED_STREAM);
        return;
    };
    let head = match read_head(serving, &mut reader).await {
        Ok(head) => head,
        Err(error) => {
            tracing::debug!(peer = %serving.peer, %error, "refused a work stream unprocessed");
            // REFUSED_STREAM tells the client that the request did not run.
            response.send_reset(Reason::REFUSED_STREAM);
            return;
        }
    };
    let limits = serving.settings.frames;
    let exchange = WorkExchange {
        peer: serving.peer,
        body: BodyReceiver::new(reader, head.body_length),
        reply: ReplySender::new(response, head.attempt, limits, open),
        head,
    };
    serving.handler.work(exchange).await;
}

async fn read_head<M>(
    serving: &ServingContext<M>,
    reader: &mut FrameReader,
) -> Result<WorkHead, WireError> {
    let read = tokio::time::timeout(serving.settings.head_limit, reader.next());
    let frame = read.await.map_err(|_| WireError::EndedEarly)??;
    let frame = frame.ok_or(WireError::EndedEarly)?;
    if frame.kind != FrameKind::WorkHead {
        return Err(WireError::UnexpectedFrame(frame.kind));
    }
    let head: WorkHead = decode_payload(&frame.payload)?;
    if head.upstream.node != serving.own.node {
        return Err(WireError::WrongInstance(serving.own));
    }
    Ok(head)
}

async fn serve_messages<M>(
    serving: &ServingContext<M>,
    mut reader: FrameReader,
) -> Result<(), WireError>
where
    M: DeserializeOwned + 'static,
{
    while let Some(frame) = reader.next().await? {
        if frame.kind != FrameKind::Message {
            return Err(WireError::UnexpectedFrame(frame.kind));
        }
        let message = decode_payload(&frame.payload)?;
        serving.handler.message(serving.peer, message);
    }
    Ok(())
}
