//! The gossip thread: receives gossip datagrams from peers.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anyhow::Context;
use sycamorelink_engine::NodeEvent;
use sycamorelink_roster::RosterMessage;
use sycamorelink_telemetry::{EventCode, EventFields, MetricName, MetricTags};
use sycamorelink_wire::{DATAGRAM_BYTES, FleetKeys, decode_datagram};

use crate::inbox::DecisionInput;
use crate::metrics::NodeTelemetry;
use crate::ring::RingSender;

/// Socket read timeout, which bounds the delay until the thread notices the stop flag.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts the thread. The thread ends within [`RECEIVE_TIMEOUT`] after `stop` is set.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
pub fn start_gossip(
    socket: UdpSocket,
    keys: Arc<FleetKeys>,
    inbox: RingSender<DecisionInput>,
    telemetry: NodeTelemetry,
    stop: Arc<AtomicBool>,
) -> anyhow::Result<JoinHandle<()>> {
    socket
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .context("cannot set the gossip socket's timeout")?;
    thread::Builder::new()
        .name("gossip".to_owned())
        .spawn(move || receive(&socket, &keys, &inbox, &telemetry, &stop))
        .context("cannot start the gossip thread")
}

fn receive(
    socket: &UdpSocket,
    keys: &FleetKeys,
    inbox: &RingSender<DecisionInput>,
    telemetry: &NodeTelemetry,
    stop: &AtomicBool,
) {
    let tags = MetricTags::new().with("kind", "gossip");
    let registry = &telemetry.registry;
    let received = registry.counter(MetricName::ControlBytesReceived, &tags);
    let mut buffer = [0; DATAGRAM_BYTES + 1];
    while !stop.load(Ordering::Relaxed) {
        match socket.recv_from(&mut buffer) {
            Ok((length, from)) => match decode_datagram::<RosterMessage>(keys, &buffer[..length]) {
                Ok(message) => {
                    received.add(length as u64);
                    let event = NodeEvent::DatagramReceived { from, message };
                    if inbox.try_send(DecisionInput::Event(event)).is_err() {
                        telemetry.record_ring_full("decision");
                    }
                }
                Err(error) => {
                    let fields = EventFields::new().address(&from).reason(&error);
                    telemetry.events.emit(EventCode::DatagramRefused, &fields);
                }
            },
            Err(error) if is_transient(&error) => {}
            Err(error) => {
                tracing::debug!(%error, "failed to receive a datagram");
                thread::sleep(RECEIVE_TIMEOUT);
            }
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}
