//! The HTTP server of both stand-ins, with graceful drain and simulated crashes.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};

use crate::reply::ReplyResult;

/// Delay before another attempt to bind the address after a simulated crash.
const REBIND_DELAY: Duration = Duration::from_millis(20);

/// Longest time that a drain waits for the requests in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Handler of the requests to one stand-in.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    /// Handles one request. An error closes the connection without a reply.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = ReplyResult> + Send>>;
}

/// Command to the accept loop.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ServerCommand {
    /// Closes the listener and all connections at once and listens again after the delay. `None`
    /// ends the server.
    Crash(Option<Duration>),
    /// Closes the listener, finishes the requests in flight and ends the server.
    Drain,
}

/// Reason why the accept loop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerExit {
    /// A drain completed or reached its timeout.
    Drained,
    /// A simulated crash without a restart ended the server, or its task failed.
    Crashed,
}

/// A running accept loop. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub(crate) struct ServerTask {
    address: SocketAddr,
    commands: mpsc::UnboundedSender<ServerCommand>,
    task: JoinHandle<ServerExit>,
}

impl ServerTask {
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and waits for the requests in flight.
    pub(crate) async fn drain(&mut self) -> ServerExit {
        let _ = self.commands.send(ServerCommand::Drain);
        self.wait().await
    }

    pub(crate) async fn wait(&mut self) -> ServerExit {
        (&mut self.task).await.unwrap_or(ServerExit::Crashed)
    }
}

impl Drop for ServerTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A server that is bound but does not accept connections yet.
///
/// Binding is a separate step because the stand-in needs the address before it serves.
pub(crate) struct BoundServer {
    listener: TcpListener,
    address: SocketAddr,
    sender: mpsc::UnboundedSender<ServerCommand>,
    receiver: mpsc::UnboundedReceiver<ServerCommand>,
}

impl BoundServer {
    pub(crate) async fn bind(bind: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(bind).await?;
        let address = listener.local_addr()?;
        let (sender, receiver) = mpsc::unbounded_channel();
        Ok(Self {
            listener,
            address,
            sender,
            receiver,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn commands(&self) -> mpsc::UnboundedSender<ServerCommand> {
        self.sender.clone()
    }

    pub(crate) fn serve<H>(self, handler: Arc<H>) -> ServerTask
    where
        H: RequestHandler,
    {
        let task = tokio::spawn(accept_loop(
            self.listener,
            self.address,
            self.receiver,
            handler,
        ));
        ServerTask {
            address: self.address,
            commands: self.sender,
            task,
        }
    }
}

async fn accept_loop<H>(
    mut listener: TcpListener,
    address: SocketAddr,
    mut commands: mpsc::UnboundedReceiver<ServerCommand>,
    handler: Arc<H>,
) -> ServerExit
where
    H: RequestHandler,
{
    let (drain_sender, drain_receiver) = watch::channel(false);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(ServerCommand::Crash(restart_after)) => {
                    connections.shutdown().await;
                    drop(listener);
                    let Some(restart_after) = restart_after else {
                        return ServerExit::Crashed;
                    };
                    tokio::time::sleep(restart_after).await;
                    listener = rebind(address).await;
                }
                Some(ServerCommand::Drain) | None => break,
            },
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                connections.spawn(serve_connection(
                    stream,
                    drain_receiver.clone(),
                    Arc::clone(&handler),
                ));
            },
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    let _ = drain_sender.send(true);
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, async {
        while connections.join_next().await.is_some() {}
    })
    .await;
    ServerExit::Drained
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_DELAY).await,
        }
    }
}

async fn serve_connection<H>(
    stream: TcpStream,
    mut drain_receiver: watch::Receiver<bool>,
    handler: Arc<H>,
) where
    H: RequestHandler,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| Arc::clone(&handler).handle(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = drain_receiver.wait_for(|draining| *draining) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
