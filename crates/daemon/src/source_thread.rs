//! The source thread: follows the source of the fleet contract and runs the task that finds other
//! nodes.
//!
//! ```text
//!  ContractSource ─ update ─▶ decision thread
//!  MemberDirectory ◀─ entry ─ MemberTask ── addresses of others ──▶ decision thread
//! ```

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anyhow::Context;
use sycamorelink_core::NodeClock;
use sycamorelink_engine::NodeEvent;
use sycamorelink_log::OutageBackoff;
use sycamorelink_telemetry::{EventCode, EventFields};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

use crate::adapters::{ContractSource, SourceUpdate};
use crate::inbox::DecisionInput;
use crate::leaving_record::LeavingRecord;
use crate::log_thread::{COMMAND_DEPTH, LogCommand};
use crate::members::{DIRECTORY_BACKOFF, MemberParts, MemberSignals, MemberTask, pause_after};
use crate::metrics::NodeTelemetry;
use crate::ring::RingSender;

/// Pause before the next read of the source after a new contract: a tenth of the time in which a
/// contract must come into force on every node.
const CONTRACT_PAUSE: Duration = Duration::from_millis(200);

/// Arguments of [`start_source`].
pub struct SourceParts {
    /// Source of the fleet contract.
    pub contracts: Box<dyn ContractSource>,
    /// Arguments of the task that finds other nodes; `None` without a member directory.
    pub members: Option<MemberParts>,
    /// Set when the daemon must restart with a greater incarnation.
    pub leave: Arc<AtomicBool>,
    /// Source of the current time.
    pub clock: Arc<dyn NodeClock>,
    /// Ring of the decision thread, for events.
    pub inbox: RingSender<DecisionInput>,
    /// Seed of the randomized delays, different for each node.
    pub seed: u64,
    /// Event log.
    pub telemetry: NodeTelemetry,
    /// Record of the local backend servers that leave.
    pub leaving_record: LeavingRecord,
}

/// Starts the thread. The thread ends when the returned sender of commands is dropped, and ignores
/// commands for the log, which is not used with a fleet contract.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
pub fn start_source(
    parts: SourceParts,
) -> anyhow::Result<(mpsc::Sender<LogCommand>, JoinHandle<()>)> {
    let (sender, commands) = mpsc::channel(COMMAND_DEPTH);
    let thread = thread::Builder::new()
        .name("source".to_owned())
        .spawn(move || run_thread(parts, commands))
        .context("cannot start the source thread")?;
    Ok((sender, thread))
}

fn run_thread(mut parts: SourceParts, mut commands: mpsc::Receiver<LogCommand>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let fields = EventFields::new().reason(&error);
            parts.telemetry.events.emit(EventCode::DutyFailed, &fields);
            return;
        }
    };
    let members = parts.members.take();
    let record = parts.leaving_record.clone();
    let directory = members
        .as_ref()
        .map(|members| Arc::clone(&members.directory));
    let name = members
        .as_ref()
        .map_or_else(|| Arc::from(""), |members| Arc::clone(&members.entry.name));
    let (clock, seed) = (Arc::clone(&parts.clock), parts.seed);
    let mut task = members.map(MemberTask::new);
    let leave = Arc::clone(&parts.leave);
    LocalSet::new().block_on(&runtime, async move {
        let (follow, following) = watch::channel(false);
        let signals = MemberSignals::default();
        tokio::select! {
            () = follow_source(parts, following.clone()) => {}
            () = run_commands(&mut commands, &follow, &signals) => {}
            () = find_members(task.as_mut(), signals.clone(), following, &leave) => {}
            () = record.run(directory, name, clock.as_ref(), seed) => {}
        }
        if let Some(task) = task {
            task.withdraw().await;
        }
    });
}

async fn find_members(
    task: Option<&mut MemberTask>,
    signals: MemberSignals,
    following: watch::Receiver<bool>,
    leave: &AtomicBool,
) {
    match task {
        Some(task) => task.run(signals, following, leave).await,
        None => std::future::pending().await,
    }
}

/// Executes commands until their sender is dropped.
async fn run_commands(
    commands: &mut mpsc::Receiver<LogCommand>,
    follow: &watch::Sender<bool>,
    signals: &MemberSignals,
) {
    while let Some(command) = commands.recv().await {
        match command {
            LogCommand::Follow { follow: begin } => {
                tracing::debug!(
                    begin,
                    "changed whether this node follows the source of contracts"
                );
                follow.send_replace(begin);
            }
            LogCommand::FindMembers => signals.find.notify_one(),
            LogCommand::RecordIncarnation { incarnation } => {
                signals.incarnation.send_replace(Some(incarnation));
            }
            command => tracing::debug!(
                order = ?command,
                "ignored a log command: contracts come from a source"
            ),
        }
    }
}

/// Reads updates from the source while this node is a follower.
async fn follow_source(mut parts: SourceParts, mut following: watch::Receiver<bool>) {
    let mut backoff = OutageBackoff::new(DIRECTORY_BACKOFF, parts.seed);
    while following.wait_for(|follow| *follow).await.is_ok() {
        tokio::select! {
            () = poll_source(&mut parts, &mut backoff) => {}
            _ = following.wait_for(|follow| !*follow) => {}
        }
    }
}

async fn poll_source(parts: &mut SourceParts, backoff: &mut OutageBackoff) {
    match parts.contracts.next().await {
        Ok(update) => {
            backoff.succeed();
            send_event(&parts.inbox, NodeEvent::LogReachable(true)).await;
            on_update(parts, update).await;
        }
        Err(error) => {
            send_event(&parts.inbox, NodeEvent::LogReachable(false)).await;
            let pause = pause_after(&error, backoff.fail(parts.clock.now()));
            tracing::debug!(%error, ?pause, "failed to read the source of contracts");
            tokio::time::sleep(pause).await;
        }
    }
}

async fn on_update(parts: &SourceParts, update: SourceUpdate) {
    match update {
        SourceUpdate::Contract(contract) => {
            send_event(&parts.inbox, NodeEvent::FleetContract(contract)).await;
            // The pause combines contracts that change in quick succession into one update.
            tokio::time::sleep(CONTRACT_PAUSE).await;
        }
        SourceUpdate::Unreadable { reason } => {
            let fields = EventFields::new().reason(&reason);
            let events = &parts.telemetry.events;
            events.emit(EventCode::PoisonRecord, &fields);
        }
        SourceUpdate::Unchanged => {}
    }
}

async fn send_event(inbox: &RingSender<DecisionInput>, event: NodeEvent) {
    inbox.send(DecisionInput::Event(event)).await;
}
