//! The connecting side of a connection between two nodes.

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

use crate::connection::{CloseReason, ConnectionState, ConnectionWatch};
use crate::error::{ConnectError, WireError};
use crate::exchange::{BodySender, ReplyReceiver};
use crate::frame::FrameKind;
use crate::handshake::{PeerIdentity, connect_handshake};
use crate::heartbeat::watch_silence;
use crate::message::{MessageSender, write_messages};
use crate::settings::WireSettings;
use crate::stream::{FrameWriter, value_frame};
use crate::work::WorkHead;

/// Path of a work stream.
pub(crate) const WORK_PATH: &str = "/work";

/// Path of a message stream.
pub(crate) const MESSAGE_PATH: &str = "/messages";

/// The same as h2 wants them: whole. The authority says nothing; the handshake told who is who.
const WORK_URI: &str = "http://peer/work";
const MESSAGE_URI: &str = "http://peer/messages";

/// An open connection to a peer. Clones share it; it closes when the last clone and the last
/// exchange are dropped.
#[derive(Clone, Debug)]
pub struct PeerConnection {
    peer: InstanceId,
    sender: SendRequest<Bytes>,
    state: ConnectionState,
    settings: WireSettings,
}

impl PeerConnection {
    /// Connects to a peer and proves the fleet key. With a target, only that instance will do;
    /// without one, whoever answers, such as at a seed address.
    ///
    /// # Errors
    ///
    /// When the peer cannot be reached, is another instance, or is not of this fleet.
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

    /// The same over an open stream of bytes, without a limit on the time.
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

    /// The peer's instance, as it proved it.
    #[must_use]
    pub fn peer(&self) -> InstanceId {
        self.peer
    }

    /// Tells when and why the connection ends.
    #[must_use]
    pub fn watch(&self) -> ConnectionWatch {
        self.state.watch()
    }

    /// Whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state.close_reason().is_some()
    }

    /// Streams of work that are open now.
    #[must_use]
    pub fn open_work(&self) -> usize {
        self.state.open_count()
    }

    /// How long the peer has owed the answer to a heartbeat; none while it owes nothing.
    #[must_use]
    pub fn quiet_for(&self) -> Option<Duration> {
        self.state.quiet_for()
    }

    /// How long nothing was sent on it; nothing while work is open.
    #[must_use]
    pub fn idle_for(&self) -> Option<Duration> {
        self.state.idle_for()
    }

    /// Whether the peer answered a round trip no longer ago than `age`, or does so within `wait`.
    ///
    /// Failure: a peer is lost without a word, and a request is sent into a connection that was
    /// idle since; nobody can say afterwards whether it ran. Asked first, a peer that does not
    /// answer has certainly not got it. Open work makes the heartbeat go out at once, so a peer in
    /// health costs a round trip, and only after a pause.
    pub async fn is_alive(&self, age: Duration, wait: Duration) -> bool {
        if self.state.proved_for() <= age {
            return true;
        }
        // With all streams taken, sending the work fails as not sent anyway.
        let Some(_open) = self.state.open_work(self.settings.streams) else {
            return true;
        };
        let proof = self.state.proved_within(age);
        tokio::time::timeout(wait, proof).await.is_ok()
    }

    /// Sends the head of a request. The body and the reply then go their own ways; dropping both
    /// cancels the request at the peer.
    ///
    /// # Errors
    ///
    /// When no stream can be opened; see [`WireError::run_state`].
    pub async fn work(&self, head: &WorkHead) -> Result<(BodySender, ReplyReceiver), WireError> {
        let limits = self.settings.frames;
        let frame = value_frame(FrameKind::WorkHead, head, &limits)
            .map_err(|error| WireError::NotOpened(error.to_string()))?;
        // Beyond the peer's limit a stream would wait inside h2, and nobody could say whether it
        // was sent. Here it certainly was not.
        let open = self
            .state
            .open_work(self.settings.streams)
            .ok_or(WireError::TooManyStreams)?;
        let (response, stream) = self.open_stream(WORK_URI).await?;
        let mut writer = FrameWriter::new(stream);
        writer
            .write(frame, false)
            .await
            .map_err(|error| self.state.explain(error))?;
        let body = BodySender::new(writer, limits, self.state.clone());
        let reply = ReplyReceiver::new(response, open, self.peer, head.attempt, limits);
        Ok((body, reply))
    }

    /// Opens the stream of messages to the peer.
    ///
    /// # Errors
    ///
    /// When no stream can be opened.
    pub async fn messages<M>(&self) -> Result<MessageSender<M>, WireError>
    where
        M: Serialize,
    {
        let (response, stream) = self.open_stream(MESSAGE_URI).await?;
        let (sender, queue) = mpsc::channel(self.settings.message_queue);
        let limit = self.settings.connect_limit;
        tokio::spawn(async move {
            write_messages(queue, FrameWriter::new(stream)).await;
            // Dropped before the peer has read to the end, the stream would be reset and the
            // messages under way lost with it.
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

/// Moves the connection's bytes until it ends or goes silent.
async fn drive<I>(
    connection: h2::client::Connection<I, Bytes>,
    pings: Option<h2::PingPong>,
    state: ConnectionState,
    settings: WireSettings,
) where
    I: AsyncRead + AsyncWrite + Unpin,
{
    let silence = async {
        match pings {
            Some(pings) => watch_silence(pings, state.clone(), settings).await,
            None => std::future::pending().await,
        }
    };
    let reason = tokio::select! {
        ended = connection => match ended {
            Ok(()) => CloseReason::Lost("closed".to_owned()),
            Err(error) => CloseReason::Lost(error.to_string()),
        },
        () = silence => CloseReason::Silent,
    };
    tracing::debug!(?reason, "connection to a peer ended");
    state.close(reason);
}
