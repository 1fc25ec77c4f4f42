//! Settings of the inner protocol.

use std::time::Duration;

use crate::frame::FrameLimits;

/// Limits and intervals of the inner protocol. All nodes of a fleet use the same values.
#[derive(Clone, Copy, Debug)]
pub struct WireSettings {
    /// Maximum payload sizes.
    pub frames: FrameLimits,
    /// Maximum number of open work streams on a connection; further requests fail unsent.
    pub max_streams: u32,
    /// Flow-control window of a stream in bytes. Together with [`Self::max_streams`] it bounds the
    /// memory of a connection: the connection's window is their product, so that a stream that
    /// is not read never blocks the others.
    pub stream_window: u32,
    /// Maximum duration of TCP connect and handshake together.
    pub connect_limit: Duration,
    /// Maximum wait of the server for the head of a work stream.
    pub head_limit: Duration,
    /// Time since the last confirmed round trip after which a connection with open work sends a
    /// heartbeat.
    pub heartbeat_interval: Duration,
    /// Heartbeat interval of a connection without open work.
    pub idle_heartbeat_interval: Duration,
    /// Maximum wait for the reply to a heartbeat. Together with [`Self::heartbeat_interval`] it
    /// bounds how long a dead connection stays undetected while requests are open.
    pub heartbeat_limit: Duration,
    /// Maximum number of connections that a listener serves; further ones wait in the accept queue.
    pub max_connections: usize,
    /// Number of open connections above which a pool closes the one that has been idle longest.
    pub max_pooled: usize,
    /// Time after a failed connect during which a pool does not retry the same peer.
    pub reconnect_delay: Duration,
    /// Maximum number of messages queued to a peer; sending fails beyond that.
    pub message_queue_capacity: usize,
}

impl Default for WireSettings {
    fn default() -> Self {
        Self {
            frames: FrameLimits::default(),
            max_streams: 128,
            stream_window: 128 * 1024,
            connect_limit: Duration::from_secs(1),
            head_limit: Duration::from_secs(2),
            heartbeat_interval: Duration::from_millis(250),
            idle_heartbeat_interval: Duration::from_secs(20),
            heartbeat_limit: Duration::from_millis(700),
            max_connections: 8192,
            max_pooled: 512,
            reconnect_delay: Duration::from_millis(200),
            message_queue_capacity: 1024,
        }
    }
}

/// Factor by which heartbeat intervals and timeouts of the server side are longer than those of the
/// client side. The server uses them only to cancel work of a peer that is gone, and must not close
/// the connection of a peer that is merely paused.
const SERVER_HEARTBEAT_FACTOR: u32 = 8;

impl WireSettings {
    pub(crate) fn for_server(mut self) -> Self {
        self.heartbeat_interval *= SERVER_HEARTBEAT_FACTOR;
        self.idle_heartbeat_interval *= SERVER_HEARTBEAT_FACTOR;
        self.heartbeat_limit *= SERVER_HEARTBEAT_FACTOR;
        self
    }

    pub(crate) fn connection_window(&self) -> u32 {
        /// Maximum flow-control window of HTTP/2 in bytes.
        const MAX_WINDOW: u32 = (1 << 31) - 1;
        self.stream_window
            .saturating_mul(self.max_streams.saturating_add(1))
            .min(MAX_WINDOW)
    }
}
