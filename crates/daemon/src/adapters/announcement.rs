//! Adapter for the announcements of backend servers.

use std::fmt::Debug;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Response};
use sycamorelink_engine::NodeEvent;

/// One HTTP request to the port that accepts announcements.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncementCall<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path, with percent-encoding.
    pub path: &'a str,
    /// Body.
    pub body: &'a Bytes,
}

/// Content of an announcement and the response to it.
#[derive(Debug)]
pub struct AnnouncementAnswer {
    /// Slot and address of the backend server; `None` when the request does not give them.
    pub address: Option<(u16, SocketAddr)>,
    /// Event for the engine, if the announcement causes one.
    pub event: Option<NodeEvent>,
    /// HTTP response.
    pub reply: Response<Bytes>,
}

/// Protocol in which backend servers announce themselves, besides the native one.
pub trait AnnouncementAdapter: Debug + Send + Sync {
    /// Parses a request. Returns `None` when the request is no announcement.
    fn read(&self, call: AnnouncementCall<'_>) -> Option<AnnouncementAnswer>;
}
