//! How backend servers announce themselves.

use std::fmt::Debug;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Response};
use sycamorelink_engine::NodeEvent;

/// One call to the port that takes announcements.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncementCall<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path, escapes and all.
    pub path: &'a str,
    /// Body.
    pub body: &'a Bytes,
}

/// What an announcement says, and its answer.
#[derive(Debug)]
pub struct AnnouncementAnswer {
    /// Number and address of the backend server, where the call tells them.
    pub address: Option<(u16, SocketAddr)>,
    /// What the decisions are told.
    pub event: Option<NodeEvent>,
    /// The answer.
    pub reply: Response<Bytes>,
}

/// Another form in which backend servers announce themselves.
pub trait AnnouncementBorder: Debug + Send + Sync {
    /// Reads a call; none when it is no announcement.
    fn read(&self, call: AnnouncementCall<'_>) -> Option<AnnouncementAnswer>;
}
