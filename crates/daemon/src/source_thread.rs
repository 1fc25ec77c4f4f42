//! The source thread: follows the source of the fleet contract, and runs the duty that finds other
//! nodes.
//!
//! ```text
//!  ContractSource ── news ──▶ decision thread
//!  MemberDirectory ◀─ entry ─ MemberDuty ── addresses of others ──▶ decision thread
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

use crate::border::{ContractSource, SourceNews};
use crate::inbox::ShellInput;
use crate::log_thread::{APPEND_DEPTH, LogOrder};
use crate::members::{DIRECTORY_BACKOFF, MemberAsks, MemberDuty, MemberParts, pause_after};
use crate::metrics::NodeTelemetry;
use crate::ring::RingSender;

/// Pause before the source is asked again after it gave a contract: a tenth of the time that a
/// contract may take to be in force everywhere.
const CONTRACT_PAUSE: Duration = Duration::from_millis(200);
/// What the source thread is started with.
pub struct SourceParts {
    /// The source.
    pub contracts: Box<dyn ContractSource>,
    /// How nodes find each other.
    pub members: Option<MemberParts>,
    /// Set once this life is to end so that the next one can begin with a greater incarnation.
    pub leave: Arc<AtomicBool>,
    /// Time.
    pub clock: Arc<dyn NodeClock>,
    /// Where events go.
    pub inbox: RingSender<ShellInput>,
    /// Spreads the nodes' tries.
    pub seed: u64,
    /// Events.
    pub telemetry: NodeTelemetry,
}

/// Starts the thread; it ends when the sender of orders is dropped. Orders for the log are not
/// expected under a fleet contract.
///
/// # Errors
///
/// When the thread cannot be started.
pub fn start_source(
    parts: SourceParts,
) -> anyhow::Result<(mpsc::Sender<LogOrder>, JoinHandle<()>)> {
    let (sender, orders) = mpsc::channel(APPEND_DEPTH);
    let thread = thread::Builder::new()
        .name("source".to_owned())
        .spawn(move || run_thread(parts, orders))
        .context("cannot start the source thread")?;
    Ok((sender, thread))
}

fn run_thread(mut parts: SourceParts, mut orders: mpsc::Receiver<LogOrder>) {
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
    let mut duty = parts.members.take().map(MemberDuty::new);
    let leave = Arc::clone(&parts.leave);
    LocalSet::new().block_on(&runtime, async move {
        let (follow, following) = watch::channel(false);
        let asks = MemberAsks::default();
        tokio::select! {
            () = follow_source(parts, following.clone()) => {}
            () = take_orders(&mut orders, &follow, &asks) => {}
            () = find_members(duty.as_mut(), asks.clone(), following, &leave) => {}
        }
        if let Some(duty) = duty {
            duty.withdraw().await;
        }
    });
}

async fn find_members(
    duty: Option<&mut MemberDuty>,
    asks: MemberAsks,
    following: watch::Receiver<bool>,
    leave: &AtomicBool,
) {
    match duty {
        Some(duty) => duty.run(asks, following, leave).await,
        None => std::future::pending().await,
    }
}

/// Takes orders until their sender is dropped.
async fn take_orders(
    orders: &mut mpsc::Receiver<LogOrder>,
    follow: &watch::Sender<bool>,
    asks: &MemberAsks,
) {
    while let Some(order) = orders.recv().await {
        match order {
            LogOrder::Follow { follow: begin } => {
                tracing::debug!(begin, "whether this node follows the source of contracts");
                follow.send_replace(begin);
            }
            LogOrder::FindMembers => asks.find.notify_one(),
            LogOrder::RecordIncarnation { incarnation } => {
                asks.recorded.send_replace(Some(incarnation));
            }
            order => tracing::debug!(?order, "a log order came under a fleet contract"),
        }
    }
}

/// Looks at the source while this node is to follow it.
async fn follow_source(mut parts: SourceParts, mut following: watch::Receiver<bool>) {
    let mut backoff = OutageBackoff::new(DIRECTORY_BACKOFF, parts.seed);
    while following.wait_for(|follow| *follow).await.is_ok() {
        tokio::select! {
            () = look(&mut parts, &mut backoff) => {}
            _ = following.wait_for(|follow| !*follow) => {}
        }
    }
}

async fn look(parts: &mut SourceParts, backoff: &mut OutageBackoff) {
    match parts.contracts.next().await {
        Ok(news) => {
            backoff.succeed();
            tell(&parts.inbox, NodeEvent::LogReachable(true)).await;
            take_news(parts, news).await;
        }
        Err(error) => {
            tell(&parts.inbox, NodeEvent::LogReachable(false)).await;
            let pause = pause_after(&error, backoff.fail(parts.clock.now()));
            tracing::debug!(%error, ?pause, "the source of contracts did not answer");
            tokio::time::sleep(pause).await;
        }
    }
}

async fn take_news(parts: &SourceParts, news: SourceNews) {
    match news {
        SourceNews::Contract(contract) => {
            tell(&parts.inbox, NodeEvent::FleetContract(contract)).await;
            // Contracts that come in quick succession are read together.
            tokio::time::sleep(CONTRACT_PAUSE).await;
        }
        SourceNews::Unreadable { reason } => {
            let fields = EventFields::new().reason(&reason);
            let events = &parts.telemetry.events;
            events.emit(EventCode::PoisonRecord, &fields);
        }
        SourceNews::Unchanged => {}
    }
}

async fn tell(inbox: &RingSender<ShellInput>, event: NodeEvent) {
    inbox.send(ShellInput::Event(event)).await;
}
