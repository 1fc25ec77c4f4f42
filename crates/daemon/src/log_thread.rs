//! The log thread: reads this fleet's streams of the platform's log and appends to them.

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

use crate::inbox::DecisionInput;
use crate::metrics::NodeTelemetry;
use crate::ring::RingSender;

/// Capacity of the command channel.
pub const COMMAND_DEPTH: usize = 256;
/// Appends per second that this node may make. All nodes together share several hundred.
const APPENDS_PER_SECOND: f64 = 2.0;
/// Largest burst of appends.
const APPEND_BURST: u32 = 16;
/// Duration from which an append is reported as slow: many times that of a healthy log.
const SLOW_APPEND_TIME: Duration = Duration::from_secs(1);
/// Suffix that turns the name of the contract stream into that of the guard stream.
const GUARD_SUFFIX: &str = "-guard";

/// Command from the decision thread to the log thread or the source thread.
#[derive(Debug)]
pub enum LogCommand {
    /// Appends a record.
    Append {
        /// Stream to append to.
        stream: LogStream,
        /// Encoded record.
        bytes: Vec<u8>,
    },
    /// Reads one record of the contract stream.
    ReadBack {
        /// Offset of the record.
        offset: u64,
    },
    /// Restarts reading the contract stream from its oldest record.
    Reread,
    /// Starts or stops following the source of the fleet contract.
    Follow {
        /// Whether to follow the source.
        follow: bool,
    },
    /// Searches for other nodes in the member directory.
    FindMembers,
    /// Writes the incarnation that this node's next start must exceed.
    RecordIncarnation {
        /// Incarnation to write.
        incarnation: u64,
    },
}

/// Arguments of [`start_log`].
pub struct LogParts {
    /// Client of the platform's log.
    pub client: Arc<dyn LogClient>,
    /// Name of the stream of contract changes.
    pub stream: Arc<str>,
    /// Source of the current time.
    pub clock: Arc<dyn NodeClock>,
    /// Ring of the decision thread, for events.
    pub inbox: RingSender<DecisionInput>,
    /// Seed of the randomized delays, different for each node.
    pub seed: u64,
    /// Event log and metrics.
    pub telemetry: NodeTelemetry,
}

/// Starts the thread. The thread ends when the returned sender of commands is dropped.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
pub fn start_log(parts: LogParts) -> anyhow::Result<(mpsc::Sender<LogCommand>, JoinHandle<()>)> {
    let (sender, commands) = mpsc::channel(COMMAND_DEPTH);
    let thread = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || run_thread(&Arc::new(parts), commands))
        .context("cannot start the log thread")?;
    Ok((sender, thread))
}

fn run_thread(parts: &Arc<LogParts>, commands: mpsc::Receiver<LogCommand>) {
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
            tokio::task::spawn_local(follow_stream(Arc::clone(parts), stream, reread));
        }
        run_commands(parts, commands, rereads).await;
    });
}

fn stream_name(parts: &LogParts, stream: LogStream) -> String {
    match stream {
        LogStream::Contracts => parts.stream.to_string(),
        LogStream::Guard => format!("{}{GUARD_SUFFIX}", parts.stream),
    }
}

async fn follow_stream(parts: Arc<LogParts>, stream: LogStream, mut reread: watch::Receiver<u32>) {
    let name = stream_name(&parts, stream);
    let mut follower = LogFollower::new(FollowSettings::default(), 0, parts.seed);
    let mut state = FollowState {
        stream,
        complete: true,
        reported_current: false,
    };
    loop {
        if stream == LogStream::Contracts && reread.has_changed().unwrap_or(false) {
            reread.mark_unchanged();
            follower = LogFollower::new(FollowSettings::default(), 0, parts.seed);
        }
        match follower.step(parts.clock.now()) {
            FollowStep::Read(range) => match parts.client.read(&name, range).await {
                Ok(page) => state.on_page(&parts, &mut follower, page).await,
                Err(error) => {
                    let event = follower.error(parts.clock.now(), error);
                    state.on_event(&parts, event, (0, 0)).await;
                }
            },
            FollowStep::Wait { until } => {
                tokio::time::sleep(until.saturating_sub(parts.clock.now())).await;
            }
            FollowStep::Busy => tokio::task::yield_now().await,
        }
    }
}

/// Progress of reading one stream.
struct FollowState {
    stream: LogStream,
    complete: bool,
    reported_current: bool,
}

impl FollowState {
    async fn on_page(&mut self, parts: &LogParts, follower: &mut LogFollower, page: LogPage) {
        let bounds = (page.first, page.next);
        let event = follower.page(parts.clock.now(), page);
        self.on_event(parts, event, bounds).await;
    }

    async fn on_event(&mut self, parts: &LogParts, event: FollowEvent, (first, next): (u64, u64)) {
        let stream = self.stream;
        match event {
            FollowEvent::Records { records, at_end } => {
                send_event(parts, NodeEvent::LogReachable(true)).await;
                let records = records
                    .into_iter()
                    .map(|record| LogEntry {
                        offset: record.offset,
                        bytes: Arc::from(record.data.as_ref()),
                    })
                    .collect();
                send_event(
                    parts,
                    NodeEvent::LogRead {
                        stream,
                        first,
                        next,
                        records,
                    },
                )
                .await;
                if at_end && !self.reported_current {
                    self.reported_current = true;
                    let whole = self.complete;
                    send_event(parts, NodeEvent::LogCurrent { stream, whole }).await;
                }
            }
            FollowEvent::Gap { from, first } => {
                self.complete = false;
                let stream_name = stream_name(parts, stream);
                let fields = EventFields::new().offset(&from).limit(&first);
                let fields = fields.reason(&stream_name);
                parts.telemetry.events.emit(EventCode::LogTrimmed, &fields);
                send_event(parts, NodeEvent::LogGap { stream, first }).await;
            }
            FollowEvent::Rewound { expected, next } => {
                let stream_name = stream_name(parts, stream);
                let fields = EventFields::new().offset(&next).limit(&expected);
                let fields = fields.reason(&stream_name);
                parts
                    .telemetry
                    .events
                    .emit(EventCode::LogTruncated, &fields);
                send_event(parts, NodeEvent::LogReachable(false)).await;
            }
            FollowEvent::Outage { .. } => {
                self.reported_current = false;
                send_event(parts, NodeEvent::LogReachable(false)).await;
            }
        }
    }
}

async fn send_event(parts: &LogParts, event: NodeEvent) {
    parts.inbox.send(DecisionInput::Event(event)).await;
}

async fn run_commands(
    parts: &LogParts,
    mut commands: mpsc::Receiver<LogCommand>,
    rereads: watch::Sender<u32>,
) {
    let mut budget = AppendBudget::new(APPENDS_PER_SECOND, APPEND_BURST);
    while let Some(command) = commands.recv().await {
        match command {
            LogCommand::Append { stream, bytes } => {
                let purpose = append_purpose(stream);
                let clock = parts.clock.as_ref();
                if await_budget(&mut budget, clock, purpose, || commands.is_closed()).await {
                    append(parts, stream, Bytes::from(bytes)).await;
                }
            }
            LogCommand::ReadBack { offset } => read_back(parts, offset).await,
            LogCommand::Reread => rereads.send_modify(|count| *count += 1),
            LogCommand::Follow { follow } => {
                tracing::debug!(
                    follow,
                    "ignored a command to follow a contract source: contracts come from the log"
                );
            }
            command @ (LogCommand::FindMembers | LogCommand::RecordIncarnation { .. }) => {
                tracing::debug!(
                    order = ?command,
                    "ignored a member directory command: contracts come from the log"
                );
            }
        }
    }
}

const fn append_purpose(stream: LogStream) -> AppendPurpose {
    match stream {
        LogStream::Contracts => AppendPurpose::CarryForward,
        LogStream::Guard => AppendPurpose::RosterChange,
    }
}

async fn append(parts: &LogParts, stream: LogStream, bytes: Bytes) {
    let name = stream_name(parts, stream);
    let started = parts.clock.now();
    let appended = parts.client.append(&name, bytes).await;
    let elapsed = parts.clock.now().saturating_sub(started);
    report_append(parts, elapsed, appended.err().as_ref());
}

/// Reads one contract record. A failed read is not retried here: the engine requests the record
/// again when it is next due.
async fn read_back(parts: &LogParts, offset: u64) {
    let range = ReadRange {
        from: offset,
        max: 1,
        wait: Duration::ZERO,
    };
    let name = stream_name(parts, LogStream::Contracts);
    let Ok(page) = parts.client.read(&name, range).await else {
        return;
    };
    if let Some(record) = page
        .records
        .first()
        .filter(|record| record.offset == offset)
    {
        let bytes = Arc::from(record.data.as_ref());
        send_event(parts, NodeEvent::ContractReadBack { offset, bytes }).await;
    }
}

/// Records the metrics and events of an append. The engine retries a failed append when it is due.
fn report_append(parts: &LogParts, elapsed: Duration, error: Option<&LogError>) {
    let telemetry = &parts.telemetry;
    let tags = MetricTags::new();
    let timer = telemetry.registry.timer(MetricName::LogLatency, &tags);
    timer.record(elapsed);
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
    if elapsed >= SLOW_APPEND_TIME {
        let millis = elapsed.as_millis();
        let fields = EventFields::new();
        let duration = format!("{millis}ms");
        telemetry
            .events
            .emit(EventCode::LogSlow, &fields.duration(&duration));
    }
}
