//! Client side of a connection between two nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request, Version};
use serde::Serialize;
use sycamorelink_core::InstanceId;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::client_exchange::{BodySender, ReplyReceiver};
use crate::connection::{CloseReason, ConnectionState, ConnectionWatch};
use crate::error::{ConnectError, WireError};
use crate::frame::FrameKind;
use crate::handshake::{PeerIdentity, connect_handshake};
use crate::heartbeat::run_heartbeat;
use crate::message::{MessageSender, write_messages};
use crate::settings::WireSettings;
use crate::stream::{FrameWriter, value_frame};
use crate::work::WorkHead;

/// Path of work streams.
pub(crate) const WORK_PATH: &str = "/work";

/// Path of message streams.
pub(crate) const MESSAGE_PATH: &str = "/messages";

/// The paths as absolute URIs, which h2 requires. The authority is a placeholder, since the
/// handshake identifies both sides.
const WORK_URI: &str = "http://peer/work";
const MESSAGE_URI: &str = "http://peer/messages";

/// Connection to a peer. Clones share the connection, which closes when the last clone and the last
/// exchange are dropped.
#[derive(Clone, Debug)]
pub struct PeerConnection {
    peer: InstanceId,
    sender: SendRequest<Bytes>,
    state: ConnectionState,
    settings: WireSettings,
}

impl PeerConnection {
    /// Connects to a peer and runs the handshake. With a target, the peer must be that instance;
    /// without one, any instance is accepted, for example at a seed address.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached, is another instance, or holds no key of the fleet.
    pub async fn connect(
        address: SocketAddr,
        identity: &PeerIdentity,
        target: Option<InstanceId>,
        settings: WireSettings,
    ) -> Result<Self, ConnectError> {
        let connecting = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|error| ConnectError::Unreachable(error.to_string()))?;
            let _ = stream.set_nodelay(true);
            Self::open(stream, identity, target, settings).await
        };
        tokio::time::timeout(settings.connect_limit, connecting)
            .await
            .map_err(|_| ConnectError::TimedOut)?
    }

    /// Runs the handshake over a byte stream that is already open, without a timeout. For `target`,
    /// see [`Self::connect`].
    ///
    /// # Errors
    ///
    /// As for [`Self::connect`].
    pub async fn open<I>(
        mut io: I,
        identity: &PeerIdentity,
        target: Option<InstanceId>,
        settings: WireSettings,
    ) -> Result<Self, ConnectError>
    where
        I: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let peer = connect_handshake(&mut io, identity, target).await?;
        let (sender, mut connection) = h2::client::Builder::new()
            .enable_push(false)
            .initial_window_size(settings.stream_window)
            .initial_connection_window_size(settings.connection_window())
            .handshake::<_, Bytes>(io)
            .await
            .map_err(|error| ConnectError::Unreachable(error.to_string()))?;
        let state = ConnectionState::new();
        let pings = connection.ping_pong();
        tokio::spawn(drive(connection, pings, state.clone(), settings));
        Ok(Self {
            peer,
            sender,
            state,
            settings,
        })
    }

    /// Returns the peer's instance as authenticated in the handshake.
    #[must_use]
    pub fn peer(&self) -> InstanceId {
        self.peer
    }

    /// Returns a watch that reports when and why the connection ends.
    #[must_use]
    pub fn watch(&self) -> ConnectionWatch {
        self.state.watch()
    }

    /// Returns whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state.close_reason().is_some()
    }

    /// Returns the number of open work streams.
    #[must_use]
    pub fn open_work(&self) -> usize {
        self.state.open_count()
    }

    /// Returns how long the reply to a heartbeat has been outstanding, or `None` if no heartbeat
    /// waits for one.
    #[must_use]
    pub fn unresponsive_for(&self) -> Option<Duration> {
        self.state.unresponsive_for()
    }

    /// Returns the time since the connection was last used, or `None` while work is open.
    #[must_use]
    pub fn idle_for(&self) -> Option<Duration> {
        self.state.idle_for()
    }

    /// Returns whether a round trip to the peer was confirmed at most `age` ago, or is confirmed
    /// within `wait`.
    ///
    /// If a peer disappeared while the connection was idle, a request sent to it would fail without
    /// showing whether it ran. A request withheld after a failed check has certainly not run. The
    /// check counts as open work and so triggers a heartbeat at once; it costs one round trip, and
    /// only after an idle period.
    pub async fn is_alive(&self, age: Duration, wait: Duration) -> bool {
        if self.state.time_since_round_trip() <= age {
            return true;
        }
        // With all streams in use, sending the request fails as not sent anyway.
        let Some(_open) = self.state.open_work(self.settings.max_streams) else {
            return true;
        };
        let round_trip = self.state.wait_for_round_trip(age);
        tokio::time::timeout(wait, round_trip).await.is_ok()
    }

    /// Sends the head of a request and returns the body sender and the reply receiver. Dropping
    /// both cancels the request at the peer.
    ///
    /// # Errors
    ///
    /// Fails if no stream can be opened; see [`WireError::run_state`].
    pub async fn work(&self, head: &WorkHead) -> Result<(BodySender, ReplyReceiver), WireError> {
        let limits = self.settings.frames;
        let frame = value_frame(FrameKind::WorkHead, head, &limits)
            .map_err(|error| WireError::NotOpened(error.to_string()))?;
        // Above the peer's limit a stream would wait inside h2, and a later failure would not show
        // whether it was sent. An error returned here guarantees that it was not.
        let open = self
            .state
            .open_work(self.settings.max_streams)
            .ok_or(WireError::TooManyStreams)?;
        let (response, stream) = self.open_stream(WORK_URI).await?;
        let mut writer = FrameWriter::new(stream);
        writer
            .write(frame, false)
            .await
            .map_err(|error| self.state.refine_error(error))?;
        let body = BodySender::new(writer, limits, self.state.clone());
        let reply = ReplyReceiver::new(response, open, self.peer, head.attempt, limits);
        Ok((body, reply))
    }

    /// Opens the message stream to the peer.
    ///
    /// # Errors
    ///
    /// Fails if no stream can be opened.
    pub async fn messages<M>(&self) -> Result<MessageSender<M>, WireError>
    where
        M: Serialize,
    {
        let (response, stream) = self.open_stream(MESSAGE_URI).await?;
        let (sender, queue) = mpsc::channel(self.settings.message_queue_capacity);
        let limit = self.settings.connect_limit;
        tokio::spawn(async move {
            write_messages(queue, FrameWriter::new(stream)).await;
            // If the response were dropped before the peer has read to the end, the stream would be
            // reset and the messages in flight lost.
            let _ = tokio::time::timeout(limit, response).await;
        });
        Ok(MessageSender::new(
            sender,
            self.settings.frames,
            self.state.clone(),
        ))
    }

    async fn open_stream(
        &self,
        uri: &'static str,
    ) -> Result<(h2::client::ResponseFuture, h2::SendStream<Bytes>), WireError> {
        let mut sender = self
            .sender
            .clone()
            .ready()
            .await
            .map_err(|error| self.not_opened(&error))?;
        let mut request = Request::new(());
        *request.method_mut() = Method::POST;
        *request.version_mut() = Version::HTTP_2;
        *request.uri_mut() = http::Uri::from_static(uri);
        sender
            .send_request(request, false)
            .map_err(|error| self.not_opened(&error))
    }

    fn not_opened(&self, error: &h2::Error) -> WireError {
        let reason = match self.state.close_reason() {
            Some(CloseReason::Silent) => "connection went silent".to_owned(),
            _ => error.to_string(),
        };
        WireError::NotOpened(reason)
    }
}

/// Drives the connection until it ends or a heartbeat times out.
async fn drive<I>(
    connection: h2::client::Connection<I, Bytes>,
    pings: Option<h2::PingPong>,
    state: ConnectionState,
    settings: WireSettings,
) where
    I: AsyncRead + AsyncWrite + Unpin,
{
    let heartbeat = async {
        match pings {
            Some(pings) => run_heartbeat(pings, state.clone(), settings).await,
            None => std::future::pending().await,
        }
    };
    let reason = tokio::select! {
        ended = connection => match ended {
            Ok(()) => CloseReason::Lost("closed".to_owned()),
            Err(error) => CloseReason::Lost(error.to_string()),
        },
        () = heartbeat => CloseReason::Silent,
    };
    tracing::debug!(?reason, "peer connection ended");
    state.close(reason);
}
