//! The sockets of a daemon, opened before any thread starts.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use anyhow::Context;
use serde::Serialize;
use sycamorelink_telemetry::{EventCode, EventFields, emit};

use crate::settings::DaemonSettings;

/// Socket addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DaemonAddresses {
    /// Callers, HTTP.
    pub callers: SocketAddr,
    /// Operators, HTTP.
    pub operators: SocketAddr,
    /// Protocol between nodes, TCP.
    pub peers: SocketAddr,
    /// Gossip, UDP.
    pub gossip: SocketAddr,
    /// Readiness, HTTP.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ready: Option<SocketAddr>,
    /// Metrics page, HTTP.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub metrics: Option<SocketAddr>,
}

/// The open sockets of a daemon.
#[derive(Debug)]
pub struct DaemonSockets {
    pub callers: TcpListener,
    pub operators: TcpListener,
    pub peers: TcpListener,
    pub gossip: UdpSocket,
    pub ready: Option<TcpListener>,
    pub metrics: Option<TcpListener>,
}

impl DaemonSockets {
    /// Opens a socket for every address in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error for the first address that cannot be bound.
    pub fn bind(settings: &DaemonSettings) -> anyhow::Result<Self> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind_tcp("callers", listen.callers)?,
            operators: bind_tcp("operators", listen.operators)?,
            peers: bind_tcp("peers", listen.peers)?,
            gossip: UdpSocket::bind(listen.gossip)
                .inspect_err(|error| emit_listen_failed(listen.gossip, error))
                .with_context(|| format!("cannot listen for gossip on {}", listen.gossip))?,
            ready: listen
                .ready
                .map(|address| bind_tcp("readiness", address))
                .transpose()?,
            metrics: listen
                .metrics
                .map(|address| bind_tcp("metrics", address))
                .transpose()?,
        })
    }

    /// Returns the bound addresses, with the actual port where the settings ask for port 0.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system cannot report a socket's address.
    pub fn addresses(&self) -> anyhow::Result<DaemonAddresses> {
        Ok(DaemonAddresses {
            callers: self.callers.local_addr()?,
            operators: self.operators.local_addr()?,
            peers: self.peers.local_addr()?,
            gossip: self.gossip.local_addr()?,
            ready: address_of(self.ready.as_ref())?,
            metrics: address_of(self.metrics.as_ref())?,
        })
    }
}

fn address_of(listener: Option<&TcpListener>) -> std::io::Result<Option<SocketAddr>> {
    listener.map(TcpListener::local_addr).transpose()
}

fn bind_tcp(name: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .inspect_err(|error| emit_listen_failed(address, error))
        .with_context(|| format!("cannot listen for {name} on {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn emit_listen_failed(address: SocketAddr, error: &std::io::Error) {
    let fields = EventFields::new().address(&address).reason(error);
    emit(EventCode::ListenFailed, &fields);
}
