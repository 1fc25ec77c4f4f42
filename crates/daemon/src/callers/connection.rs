//! Connection of a caller as the HTTP library uses it.
//!
//! The library takes the stream from the acceptor that it would ask for a TLS session.
//!
//! ```text
//! reply body ──▶ HTTP library ── write ──▶ CallerStream ──▶ kernel
//!      │ last byte                             │ taken
//!      └───────────────▶ CallerSocket ◀────────┘
//! ```

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::time::Duration;

use bytes::BytesMut;
use tokio::time::{Instant, timeout, timeout_at};
use xitca_io::io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut};
use xitca_io::net::TcpStream;
use xitca_web::service::Service;

use super::socket::{CallerSockets, SocketRegistration};

/// Longest wait for further bytes of a caller whose connection is being closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for which the bytes of such a caller are read.
const LINGER_LIMIT: Duration = Duration::from_secs(10);
/// Size of the buffer into which they are read.
const LINGER_BUFFER: usize = 8 << 10;

/// Registers the accepted connections in a table.
#[derive(Clone, Debug)]
pub struct ConnectionAcceptor {
    sockets: CallerSockets,
}

impl ConnectionAcceptor {
    /// Creates an acceptor that registers connections in `sockets`.
    #[must_use]
    pub fn new(sockets: CallerSockets) -> Self {
        Self { sockets }
    }
}

impl Service for ConnectionAcceptor {
    type Response = Self;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Self, Infallible> {
        Ok(self.clone())
    }
}

impl Service<TcpStream> for ConnectionAcceptor {
    type Response = CallerStream;
    type Error = ();

    async fn call(&self, stream: TcpStream) -> Result<CallerStream, ()> {
        let _ = stream.set_nodelay(true);
        let handle = stream.as_fd().try_clone_to_owned();
        let registered = handle.and_then(|handle| self.sockets.register(handle.into()));
        match registered {
            Ok(registration) => Ok(CallerStream {
                stream,
                registration,
            }),
            Err(error) => {
                tracing::debug!(%error, "dropped a caller's connection");
                Err(())
            }
        }
    }
}

/// A caller's connection that records what the kernel has taken of its replies.
pub struct CallerStream {
    stream: TcpStream,
    registration: SocketRegistration,
}

impl AsyncBufRead for CallerStream {
    fn read<B>(&self, buf: B) -> impl Future<Output = (io::Result<usize>, B)>
    where
        B: BoundedBufMut,
    {
        self.stream.read(buf)
    }
}

impl AsyncBufWrite for CallerStream {
    async fn write<B>(&self, buf: B) -> (io::Result<usize>, B)
    where
        B: BoundedBuf,
    {
        let socket = self.registration.socket();
        let length = buf.bytes_init();
        let ending = socket.begin_write(length);
        let (result, buf) = self.stream.write(buf).await;
        if let Ok(written) = result {
            socket.end_write(length.saturating_sub(written), ending);
        }
        (result, buf)
    }

    /// Ends the sending direction and reads until the caller closes the connection.
    ///
    /// The caller of a request that was refused early still sends its body. A close with unread
    /// bytes would reset the connection, and the caller would lose the refusal.
    async fn shutdown(self, _: Shutdown) -> io::Result<()> {
        let _open = self.registration.open_reply();
        self.registration.socket().end_sending()?;
        let _ = timeout_at(Instant::now() + LINGER_LIMIT, self.discard_rest()).await;
        Ok(())
    }
}

impl CallerStream {
    async fn discard_rest(&self) {
        let mut buffer = BytesMut::with_capacity(LINGER_BUFFER);
        loop {
            let read = timeout(LINGER_TIMEOUT, self.stream.read(buffer)).await;
            let Ok((Ok(1..), read)) = read else {
                return;
            };
            buffer = read;
            buffer.clear();
        }
    }
}
