//! Accepts peer connections until a drain begins, then waits for the open ones to close.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::handshake::PeerIdentity;
use crate::server::{PeerHandler, serve_connection};
use crate::settings::WireSettings;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves connections until `drain` becomes true, then until the last reply has been written.
///
/// A handler may return while the last bytes of its reply still wait for the peer's flow-control
/// window. Stopping there would truncate the reply to a slow reader, so this function returns only
/// once all connections are closed. The caller bounds the wait, and closes what is left, by dropping
/// the future. Must run inside a `LocalSet`.
pub async fn serve_listener<M>(
    listener: TcpListener,
    identity: &PeerIdentity,
    settings: WireSettings,
    handler: Rc<dyn PeerHandler<M>>,
    drain: watch::Receiver<bool>,
) where
    M: DeserializeOwned + 'static,
{
    let mut connections = JoinSet::new();
    let mut drained = drain.clone();
    loop {
        tokio::select! {
            accepted = listener.accept(), if connections.len() < settings.max_connections => {
                let Some((stream, address)) = prepare_accepted(accepted).await else {
                    continue;
                };
                let (identity, handler) = (identity.clone(), Rc::clone(&handler));
                let drain = drain.clone();
                connections.spawn_local(async move {
                    let shared = Rc::clone(&handler);
                    let served = serve_connection(stream, &identity, settings, shared, drain);
                    if let Err(error) = served.await {
                        handler.refused(address, &error);
                    }
                });
            }
            Some(_) = connections.join_next() => {}
            _ = drained.wait_for(|drain| *drain) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn prepare_accepted(
    accepted: io::Result<(TcpStream, SocketAddr)>,
) -> Option<(TcpStream, SocketAddr)> {
    match accepted {
        Ok((stream, address)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, address))
        }
        Err(error) => {
            tracing::warn!(%error, "failed to accept a peer connection");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}
