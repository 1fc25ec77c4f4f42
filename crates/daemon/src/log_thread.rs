//! The log thread: follows this fleet's streams of the platform's log and appends to them.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use sycamorelink_core::NodeClock;
use sycamorelink_engine::{LogEntry, LogStream, NodeEvent};
use sycamorelink_log::{
    AppendBudget, AppendPurpose, FollowEvent, FollowSettings, FollowStep, LogClient, LogError,
    LogFollower, LogPage, ReadRange, await_budget,
};
use sycamorelink_telemetry::{EventCode, EventFields, MetricName, MetricTags};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

use crate::inbox::ShellInput;
use crate::metrics::NodeTelemetry;
use crate::ring::RingSender;

/// Appends that may wait.
pub const APPEND_DEPTH: usize = 256;
/// Appends a second that this node may make of its own accord. All nodes share several hundred.
const APPENDS_PER_SECOND: f64 = 2.0;
/// Appends that may come at once.
const APPEND_BURST: u32 = 16;
/// An append that takes this long is told as slow: many times what a log in health takes.
const SLOW_APPEND: Duration = Duration::from_secs(1);
/// Ending of the guard stream's name.
const GUARD_SUFFIX: &str = "-guard";

/// What the decision thread wants of the log.
#[derive(Debug)]
pub enum LogOrder {
    /// Append a record.
    Append {
        /// To which stream.
        stream: LogStream,
        /// The record.
        bytes: Vec<u8>,
    },
    /// Read one record of the contract stream.
    ReadBack {
        /// Its offset.
        offset: u64,
    },
    /// Follow the contract stream again from its oldest record.
    Reread,
    /// Begin to follow the source of the fleet contract, or cease to.
    Follow {
        /// Whether to follow it.
        follow: bool,
    },
    /// Look for other nodes.
    FindMembers,
    /// Leave an incarnation for the next life of this node to begin above.
    RecordIncarnation {
        /// The incarnation.
        incarnation: u64,
    },
}

/// What the log thread is started with.
pub struct LogParts {
    /// The log.
    pub client: Arc<dyn LogClient>,
    /// Name of the stream of contract changes.
    pub stream: Arc<str>,
    /// Time.
    pub clock: Arc<dyn NodeClock>,
    /// Where events go.
    pub inbox: RingSender<ShellInput>,
    /// Spreads the nodes' tries.
    pub seed: u64,
    /// Events and metrics.
    pub telemetry: NodeTelemetry,
}

/// Starts the thread; it ends when the sender of orders is dropped.
///
/// # Errors
///
/// When the thread cannot be started.
pub fn start_log(parts: LogParts) -> anyhow::Result<(mpsc::Sender<LogOrder>, JoinHandle<()>)> {
    let (sender, orders) = mpsc::channel(APPEND_DEPTH);
    let thread = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || run_thread(&Arc::new(parts), orders))
        .context("cannot start the log thread")?;
    Ok((sender, thread))
}

fn run_thread(parts: &Arc<LogParts>, orders: mpsc::Receiver<LogOrder>) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    LocalSet::new().block_on(&runtime, async {
        let rereads = watch::Sender::new(0);
        for stream in [LogStream::Contracts, LogStream::Guard] {
            let reread = rereads.subscribe();
            tokio::task::spawn_local(follow(Arc::clone(parts), stream, reread));
        }
        carry_out(parts, orders, rereads).await;
    });
}

fn name_of(parts: &LogParts, stream: LogStream) -> String {
    match stream {
        LogStream::Contracts => parts.stream.to_string(),
        LogStream::Guard => format!("{}{GUARD_SUFFIX}", parts.stream),
    }
}

async fn follow(parts: Arc<LogParts>, stream: LogStream, mut reread: watch::Receiver<u32>) {
    let name = name_of(&parts, stream);
    let mut follower = LogFollower::new(FollowSettings::default(), 0, parts.seed);
    let mut place = FollowPlace {
        stream,
        whole: true,
        told_current: false,
    };
    loop {
        if stream == LogStream::Contracts && reread.has_changed().unwrap_or(false) {
            reread.mark_unchanged();
            follower = LogFollower::new(FollowSettings::default(), 0, parts.seed);
        }
        match follower.step(parts.clock.now()) {
            FollowStep::Read(range) => match parts.client.read(&name, range).await {
                Ok(page) => place.on_page(&parts, &mut follower, page).await,
                Err(error) => {
                    let event = follower.error(parts.clock.now(), error);
                    place.on_event(&parts, event, (0, 0)).await;
                }
            },
            FollowStep::Wait { until } => {
                tokio::time::sleep(until.saturating_sub(parts.clock.now())).await;
            }
            FollowStep::Busy => tokio::task::yield_now().await,
        }
    }
}

/// How far one stream was followed.
struct FollowPlace {
    stream: LogStream,
    whole: bool,
    told_current: bool,
}

impl FollowPlace {
    async fn on_page(&mut self, parts: &LogParts, follower: &mut LogFollower, page: LogPage) {
        let bounds = (page.first, page.next);
        let event = follower.page(parts.clock.now(), page);
        self.on_event(parts, event, bounds).await;
    }

    async fn on_event(&mut self, parts: &LogParts, event: FollowEvent, (first, next): (u64, u64)) {
        let stream = self.stream;
        match event {
            FollowEvent::Records { records, at_end } => {
                tell(parts, NodeEvent::LogReachable(true)).await;
                let records = records
                    .into_iter()
                    .map(|record| LogEntry {
                        offset: record.offset,
                        bytes: Arc::from(record.data.as_ref()),
                    })
                    .collect();
                tell(
                    parts,
                    NodeEvent::LogRead {
                        stream,
                        first,
                        next,
                        records,
                    },
                )
                .await;
                if at_end && !self.told_current {
                    self.told_current = true;
                    let whole = self.whole;
                    tell(parts, NodeEvent::LogCurrent { stream, whole }).await;
                }
            }
            FollowEvent::Gap { from, first } => {
                self.whole = false;
                let stream_name = name_of(parts, stream);
                let fields = EventFields::new().offset(&from).limit(&first);
                let fields = fields.reason(&stream_name);
                parts.telemetry.events.emit(EventCode::LogTrimmed, &fields);
                tell(parts, NodeEvent::LogGap { stream, first }).await;
            }
            FollowEvent::Rewound { expected, next } => {
                let stream_name = name_of(parts, stream);
                let fields = EventFields::new().offset(&next).limit(&expected);
                let fields = fields.reason(&stream_name);
                parts
                    .telemetry
                    .events
                    .emit(EventCode::LogTruncated, &fields);
                tell(parts, NodeEvent::LogReachable(false)).await;
            }
            FollowEvent::Outage { .. } => {
                self.told_current = false;
                tell(parts, NodeEvent::LogReachable(false)).await;
            }
        }
    }
}

async fn tell(parts: &LogParts, event: NodeEvent) {
    parts.inbox.send(ShellInput::Event(event)).await;
}

async fn carry_out(
    parts: &LogParts,
    mut orders: mpsc::Receiver<LogOrder>,
    rereads: watch::Sender<u32>,
) {
    let mut budget = AppendBudget::new(APPENDS_PER_SECOND, APPEND_BURST);
    while let Some(order) = orders.recv().await {
        match order {
            LogOrder::Append { stream, bytes } => {
                let purpose = purpose_of(stream);
                let clock = parts.clock.as_ref();
                if await_budget(&mut budget, clock, purpose, || orders.is_closed()).await {
                    append(parts, stream, Bytes::from(bytes)).await;
                }
            }
            LogOrder::ReadBack { offset } => read_back(parts, offset).await,
            LogOrder::Reread => rereads.send_modify(|count| *count += 1),
            LogOrder::Follow { follow } => {
                tracing::debug!(follow, "the log of contracts has no source to follow");
            }
            order @ (LogOrder::FindMembers | LogOrder::RecordIncarnation { .. }) => {
                tracing::debug!(
                    ?order,
                    "daemons that read chains of contracts have no directory"
                );
            }
        }
    }
}

const fn purpose_of(stream: LogStream) -> AppendPurpose {
    match stream {
        LogStream::Contracts => AppendPurpose::CarryForward,
        LogStream::Guard => AppendPurpose::RosterChange,
    }
}

async fn append(parts: &LogParts, stream: LogStream, bytes: Bytes) {
    let name = name_of(parts, stream);
    let begun = parts.clock.now();
    let appended = parts.client.append(&name, bytes).await;
    let took = parts.clock.now().saturating_sub(begun);
    report_append(parts, took, appended.err().as_ref());
}

/// A record that cannot be read is asked for again when it is next due.
async fn read_back(parts: &LogParts, offset: u64) {
    let range = ReadRange {
        from: offset,
        max: 1,
        wait: Duration::ZERO,
    };
    let name = name_of(parts, LogStream::Contracts);
    let Ok(page) = parts.client.read(&name, range).await else {
        return;
    };
    if let Some(record) = page
        .records
        .first()
        .filter(|record| record.offset == offset)
    {
        let bytes = Arc::from(record.data.as_ref());
        tell(parts, NodeEvent::ContractReadBack { offset, bytes }).await;
    }
}

/// Counts an append and tells what went wrong. A failed one is made again when it is due.
fn report_append(parts: &LogParts, took: Duration, error: Option<&LogError>) {
    let telemetry = &parts.telemetry;
    let timer = MetricTags::new();
    let timer = telemetry.registry.timer(MetricName::LogLatency, &timer);
    timer.record(took);
    let (result, code) = match error {
        None => ("taken", None),
        Some(LogError::Uncertain { .. }) => ("uncertain", Some(EventCode::AppendUncertain)),
        Some(LogError::Throttled { .. }) => ("throttled", Some(EventCode::AppendThrottled)),
        Some(LogError::Rejected { .. } | LogError::Malformed { .. }) => {
            ("refused", Some(EventCode::AppendRefused))
        }
        Some(LogError::Unavailable { .. } | LogError::Trimmed { .. }) => ("unavailable", None),
    };
    let tags = MetricTags::new().with("result", result);
    telemetry
        .registry
        .counter(MetricName::LogAppends, &tags)
        .add(1);
    if let (Some(code), Some(error)) = (code, error) {
        telemetry
            .events
            .emit(code, &EventFields::new().reason(error));
    }
    if took >= SLOW_APPEND {
        let millis = took.as_millis();
        let fields = EventFields::new();
        let duration = format!("{millis}ms");
        telemetry
            .events
            .emit(EventCode::LogSlow, &fields.duration(&duration));
    }
}
