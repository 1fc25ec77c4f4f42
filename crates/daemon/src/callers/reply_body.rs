//! Body of a reply to a caller, which counts as open until the kernel has taken it.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use xitca_web::body::{Body, Frame, ResponseBody, SizeHint};
use xitca_web::error::BodyError;

use super::socket::CallerSocket;
use crate::open_replies::OpenReply;

/// Largest part of a body that is passed to the HTTP library at once. The library copies a part
/// into its write buffer, where the memory account does not count it.
const PART_LIMIT: usize = 32 << 10;

/// Body that is passed to the HTTP library in parts, as the caller reads it.
pub struct ReplyBody {
    inner: ResponseBody,
    /// Rest of the last frame of `inner`.
    rest: Bytes,
    /// Bytes that the HTTP library has not asked for; `None` if the length is unknown.
    withheld: Option<u64>,
    socket: Option<CallerSocket>,
    reply: Option<OpenReply>,
}

impl ReplyBody {
    /// Wraps the body of `reply`, which is sent to `socket`.
    #[must_use]
    pub fn new(inner: ResponseBody, socket: Option<CallerSocket>, reply: OpenReply) -> Self {
        let withheld = match inner.size_hint() {
            SizeHint::Exact(length) => Some(length),
            SizeHint::None => Some(0),
            SizeHint::Unknown => None,
        };
        let body = Self {
            inner,
            rest: Bytes::new(),
            withheld,
            socket,
            reply: Some(reply),
        };
        body.report_withheld();
        body
    }

    fn next_part(&mut self) -> Frame<Bytes> {
        let part = self.rest.split_to(self.rest.len().min(PART_LIMIT));
        if let Some(withheld) = &mut self.withheld {
            *withheld = withheld.saturating_sub(part.len() as u64);
        }
        self.report_withheld();
        // The library writes nothing after the last byte of a body with a length.
        if self.withheld == Some(0) {
            self.end();
        }
        Frame::Data(part)
    }

    fn report_withheld(&self) {
        if let Some(socket) = &self.socket {
            socket.set_withheld(self.withheld.unwrap_or(0));
        }
    }

    fn end(&mut self) {
        if let (Some(socket), Some(reply)) = (&self.socket, self.reply.take()) {
            socket.end_reply(reply);
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        while self.rest.is_empty() {
            match Pin::new(&mut self.inner).poll_frame(cx) {
                Poll::Ready(Some(Ok(Frame::Data(bytes)))) => self.rest = bytes,
                other => return other,
            }
        }
        Poll::Ready(Some(Ok(self.next_part())))
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for ReplyBody {
    fn drop(&mut self) {
        self.withheld = self.withheld.map(|_| 0);
        self.report_withheld();
        self.end();
    }
}
