//! Sinks of metrics: a statsd receiver, none, or two at once.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, MetricError, StatsdClient};

use super::{MetricKind, MetricSettings, MetricTags};
use crate::latency::LatencySummary;

/// Value of one series at a flush.
#[derive(Clone, Copy, Debug)]
pub struct MetricSample<'a> {
    /// Metric name without the prefix; parts of a timer have a suffix such as `.p99`.
    pub name: &'a str,
    /// Aggregation by the receiver. A timer is sent as a counter and a gauge per
    /// percentile.
    pub kind: MetricKind,
    /// Tags of the series.
    pub tags: &'a MetricTags,
    /// Count since the last flush, or value of the gauge.
    pub value: u64,
}

/// Receiver of samples. Calls must not block, because the flush shares its thread with other work.
pub trait MetricSink: Send + Sync + fmt::Debug {
    /// Accepts one sample.
    ///
    /// # Errors
    ///
    /// [`SinkError`] when the sink refuses the sample.
    fn send(&self, sample: &MetricSample<'_>) -> Result<(), SinkError>;

    /// Accepts the histogram of a timer since the last flush.
    ///
    /// Returns false when the sink takes no histograms; the flush then sends a count and
    /// percentiles through [`Self::send`].
    fn send_durations(&self, _name: &str, _tags: &MetricTags, _summary: &LatencySummary) -> bool {
        false
    }

    /// Sends buffered samples.
    fn flush(&self) {}

    /// Returns the number of samples lost so far after [`Self::send`] accepted them.
    fn lost(&self) -> u64 {
        0
    }
}

/// Error of setting up a sink or sending a sample.
#[derive(Debug, thiserror::Error)]
pub enum SinkError {
    /// No socket could be opened for the address.
    #[error("no socket to send metrics to {address}")]
    Socket {
        /// Address of the receiver.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The state of the page is unusable because a thread panicked while it held the lock.
    #[error("the page of metrics cannot be written")]
    Page,
    /// The statsd client returned an error.
    #[error("metrics are not sent: {0}")]
    Client(#[from] MetricError),
}

/// Sink that discards all samples, for a daemon without a statsd address in its settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopSink;

impl MetricSink for NoopSink {
    fn send(&self, _sample: &MetricSample<'_>) -> Result<(), SinkError> {
        Ok(())
    }
}

/// Sink that sends to a statsd receiver over UDP, several lines per datagram.
///
/// The sink needs no queue, because the socket is non-blocking and the flush is not on the request
/// path. The queuing sink of cadence would also delay the last lines of a flush until the next one.
#[derive(Debug)]
pub struct StatsdSink {
    client: StatsdClient,
    lost: Arc<AtomicU64>,
}

impl StatsdSink {
    /// Opens a socket to the address.
    ///
    /// # Errors
    ///
    /// [`SinkError::Socket`] when no socket can be opened.
    pub fn connect(address: SocketAddr, prefix: &str) -> Result<Self, SinkError> {
        let socket =
            open_socket(address).map_err(|source| SinkError::Socket { address, source })?;
        let udp = BufferedUdpMetricSink::from(address, socket)?;
        let lost = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&lost);
        let client = StatsdClient::builder(prefix, udp)
            .with_error_handler(move |_| {
                counter.fetch_add(1, Ordering::Relaxed);
            })
            .build();
        Ok(Self { client, lost })
    }
}

impl MetricSink for StatsdSink {
    fn send(&self, sample: &MetricSample<'_>) -> Result<(), SinkError> {
        match sample.kind {
            MetricKind::Counter => {
                let mut line = self.client.count_with_tags(sample.name, sample.value);
                for (tag, value) in sample.tags.iter() {
                    line = line.with_tag(tag, value);
                }
                line.try_send()?;
            }
            MetricKind::Gauge | MetricKind::Timer => {
                let mut line = self.client.gauge_with_tags(sample.name, sample.value);
                for (tag, value) in sample.tags.iter() {
                    line = line.with_tag(tag, value);
                }
                line.try_send()?;
            }
        }
        Ok(())
    }

    fn flush(&self) {
        if self.client.flush().is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }
}

fn open_socket(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let unspecified = match address.ip() {
        IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
    };
    let socket = UdpSocket::bind((unspecified, 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Sink that forwards every sample to two sinks.
#[derive(Debug)]
pub struct TeeSink {
    first: Box<dyn MetricSink>,
    second: Box<dyn MetricSink>,
}

impl TeeSink {
    /// Creates a sink that forwards to both sinks.
    #[must_use]
    pub fn new(first: Box<dyn MetricSink>, second: Box<dyn MetricSink>) -> Self {
        Self { first, second }
    }
}

impl MetricSink for TeeSink {
    fn send(&self, sample: &MetricSample<'_>) -> Result<(), SinkError> {
        // The second sink gets the sample even if the first one fails. After an error the registry
        // sends a count again, so the sink that accepted it counts it twice.
        let sent = self.first.send(sample);
        self.second.send(sample)?;
        sent
    }

    fn send_durations(&self, name: &str, tags: &MetricTags, summary: &LatencySummary) -> bool {
        self.first.send_durations(name, tags, summary);
        self.second.send_durations(name, tags, summary);
        // A sink without histograms needs the percentiles; for the other one they are redundant.
        false
    }

    fn flush(&self) {
        self.first.flush();
        self.second.flush();
    }

    fn lost(&self) -> u64 {
        self.first.lost() + self.second.lost()
    }
}

/// Opens the sink for the address in the settings, or a [`NoopSink`] without an address.
///
/// # Errors
///
/// [`SinkError`] when the address cannot be used.
pub fn open_sink(settings: &MetricSettings) -> Result<Box<dyn MetricSink>, SinkError> {
    match settings.address {
        Some(address) => {
            let sink = StatsdSink::connect(address, &settings.prefix)?;
            Ok(Box::new(sink))
        }
        None => Ok(Box::new(NoopSink)),
    }
}
