//! Where metrics go: a statsd address, or nowhere.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, MetricError, StatsdClient};

use super::{MetricKind, MetricSettings, MetricTags};
use crate::latency::LatencySummary;

/// One value of one metric at a flush.
#[derive(Clone, Copy, Debug)]
pub struct MetricSample<'a> {
    /// Name without the prefix.
    pub name: &'a str,
    /// How the receiver adds it up. Timers come as gauges, one for each percentile.
    pub kind: MetricKind,
    /// Tags by name.
    pub tags: &'a MetricTags,
    /// The value.
    pub value: u64,
}

/// Takes samples. A call must not block: the flush runs on a thread with other duties.
pub trait MetricSink: Send + Sync + fmt::Debug {
    /// Takes one sample.
    ///
    /// # Errors
    ///
    /// [`SinkError`] when the sample is lost.
    fn send(&self, sample: &MetricSample<'_>) -> Result<(), SinkError>;

    /// Takes the durations of a timer since the last flush. False leaves them to [`Self::send`], as
    /// a count and percentiles.
    fn send_durations(&self, _name: &str, _tags: &MetricTags, _summary: &LatencySummary) -> bool {
        false
    }

    /// Sends what is buffered.
    fn flush(&self) {}

    /// Samples lost so far after `send` took them.
    fn lost(&self) -> u64 {
        0
    }
}

/// Metrics could not be set up or sent.
#[derive(Debug, thiserror::Error)]
pub enum SinkError {
    /// No socket for the address.
    #[error("no socket to send metrics to {address}")]
    Socket {
        /// Where metrics should go.
        address: SocketAddr,
        /// Why not.
        #[source]
        source: std::io::Error,
    },
    /// The page's state is lost.
    #[error("the page of metrics cannot be written")]
    Page,
    /// The client refused.
    #[error("metrics are not sent: {0}")]
    Client(#[from] MetricError),
}

/// Drops everything, for a daemon whose settings name no address.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopSink;

impl MetricSink for NoopSink {
    fn send(&self, _sample: &MetricSample<'_>) -> Result<(), SinkError> {
        Ok(())
    }
}

/// Sends to a statsd address over UDP, several lines in a datagram.
///
/// The socket does not block and the flush is off the request path, so no queue stands between:
/// cadence's queuing sink would also hold the last lines of a flush back until the next one.
#[derive(Debug)]
pub struct StatsdSink {
    client: StatsdClient,
    lost: Arc<AtomicU64>,
}

impl StatsdSink {
    /// A sink to the address.
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
    let any = match address.ip() {
        IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
    };
    let socket = UdpSocket::bind((any, 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Gives every sample to two sinks.
#[derive(Debug)]
pub struct PairSink {
    first: Box<dyn MetricSink>,
    second: Box<dyn MetricSink>,
}

impl PairSink {
    /// A sink before two others.
    #[must_use]
    pub fn new(first: Box<dyn MetricSink>, second: Box<dyn MetricSink>) -> Self {
        Self { first, second }
    }
}

impl MetricSink for PairSink {
    fn send(&self, sample: &MetricSample<'_>) -> Result<(), SinkError> {
        // The second takes it whatever became of the first: a count that is sent again after an
        // error would be counted twice there.
        let sent = self.first.send(sample);
        self.second.send(sample)?;
        sent
    }

    fn send_durations(&self, name: &str, tags: &MetricTags, summary: &LatencySummary) -> bool {
        self.first.send_durations(name, tags, summary);
        self.second.send_durations(name, tags, summary);
        // A sink without histograms gets percentiles; they do the other no harm.
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

/// The sink that the settings ask for.
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
