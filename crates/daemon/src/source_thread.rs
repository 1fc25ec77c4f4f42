//! The source thread: follows the source of the fleet contract, and leaves this node's address
//! where other nodes look for it.
//!
//! ```text
//!  ContractSource ── news ──▶ decision thread
//!  MemberDirectory ◀─ entry ─ source thread ── addresses of others ──▶ decision thread
//! ```

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anyhow::Context;
use sycamorelink_core::NodeClock;
use sycamorelink_engine::NodeEvent;
use sycamorelink_log::{BackoffSettings, LogError, OutageBackoff};
use sycamorelink_telemetry::{EventCode, EventFields};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

use crate::border::{ContractSource, MemberDirectory, MemberEntry, SourceNews};
use crate::inbox::ShellInput;
use crate::log_thread::{APPEND_DEPTH, LogOrder};
use crate::metrics::NodeTelemetry;
use crate::ring::RingSender;

/// Pauses while the source refuses or cannot be reached. The whole fleet calls one service that
/// bounds its calls: a call of each node about every half second is a hundredth of its bound.
const SOURCE_BACKOFF: BackoffSettings = BackoffSettings {
    least: Duration::from_millis(150),
    greatest: Duration::from_secs(2),
    share: 0.2,
};
/// Pause before the source is asked again after it gave a contract: a tenth of the time that a
/// contract may take to be in force everywhere.
const CONTRACT_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for the withdrawal of this node's entry when it leaves.
const WITHDRAW_LIMIT: Duration = Duration::from_millis(200);

/// What the source thread is started with.
pub struct SourceParts {
    /// The source.
    pub contracts: Box<dyn ContractSource>,
    /// Where nodes find each other.
    pub members: Option<Arc<dyn MemberDirectory>>,
    /// This node's own entry.
    pub entry: MemberEntry,
    /// Entries that were read before the start; none when they still are to be read.
    pub earlier: Vec<MemberEntry>,
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
    let members = parts.members.clone();
    let name = Arc::clone(&parts.entry.name);
    LocalSet::new().block_on(&runtime, async move {
        if let Some(members) = members.clone() {
            let meeting = meet_members(
                members,
                parts.entry.clone(),
                std::mem::take(&mut parts.earlier),
                Arc::clone(&parts.clock),
                parts.inbox.clone(),
                parts.seed,
            );
            tokio::task::spawn_local(meeting);
        }
        let (follow, following) = watch::channel(false);
        tokio::select! {
            () = follow_source(parts, following) => {}
            () = take_orders(&mut orders, &follow) => {}
        }
        if let Some(members) = members {
            withdraw(members.as_ref(), &name).await;
        }
    });
}

/// Takes this node's entry away. Where that fails the entry stays, and other nodes find at their first
/// probe that nobody is there.
async fn withdraw(members: &dyn MemberDirectory, name: &str) {
    match tokio::time::timeout(WITHDRAW_LIMIT, members.withdraw(name)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::debug!(%error, "this node's entry was not taken away"),
        Err(_) => tracing::debug!("this node's entry was not taken away in time"),
    }
}

/// Takes orders until their sender is dropped.
async fn take_orders(orders: &mut mpsc::Receiver<LogOrder>, follow: &watch::Sender<bool>) {
    while let Some(order) = orders.recv().await {
        match order {
            LogOrder::Follow { follow: begin } => {
                tracing::debug!(begin, "whether this node follows the source of contracts");
                follow.send_replace(begin);
            }
            order => tracing::debug!(?order, "a log order came under a fleet contract"),
        }
    }
}

/// Looks at the source while this node is to follow it.
async fn follow_source(mut parts: SourceParts, mut following: watch::Receiver<bool>) {
    let mut backoff = OutageBackoff::new(SOURCE_BACKOFF, parts.seed);
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

/// The pause that a refusal asks for, if it is longer.
fn pause_after(error: &LogError, pause: Duration) -> Duration {
    match error {
        LogError::Throttled { retry_after } => pause.max(*retry_after),
        _ => pause,
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

/// Leaves this node's entry, then reads those of others unless they were read before. Of two nodes
/// that start together the one that reads later finds the other, and gossip does the rest.
async fn meet_members(
    members: Arc<dyn MemberDirectory>,
    entry: MemberEntry,
    earlier: Vec<MemberEntry>,
    clock: Arc<dyn NodeClock>,
    inbox: RingSender<ShellInput>,
    seed: u64,
) {
    let mut backoff = OutageBackoff::new(SOURCE_BACKOFF, seed);
    let mut announced = false;
    let mut known = seeds_of(&earlier, &entry);
    if !known.is_empty() {
        tell(&inbox, NodeEvent::SeedsFound(known.clone())).await;
    }
    loop {
        let met = meet_once(members.as_ref(), &entry, &mut announced, &mut known).await;
        match met {
            Ok(()) => {
                tell(&inbox, NodeEvent::SeedsFound(known)).await;
                return;
            }
            Err(error) => {
                let pause = pause_after(&error, backoff.fail(clock.now()));
                tracing::debug!(%error, ?pause, "this node could not leave its address");
                tokio::time::sleep(pause).await;
            }
        }
    }
}

async fn meet_once(
    members: &dyn MemberDirectory,
    entry: &MemberEntry,
    announced: &mut bool,
    known: &mut Vec<SocketAddr>,
) -> Result<(), LogError> {
    if !*announced {
        members.announce(entry).await?;
        *announced = true;
    }
    if known.is_empty() {
        *known = seeds_of(&members.list().await?, entry);
    }
    Ok(())
}

/// Gossip addresses of all but the own entry.
fn seeds_of(entries: &[MemberEntry], own: &MemberEntry) -> Vec<SocketAddr> {
    let others = entries.iter().filter(|other| other.name != own.name);
    others.map(|other| other.gossip).collect()
}

async fn tell(inbox: &RingSender<ShellInput>, event: NodeEvent) {
    inbox.send(ShellInput::Event(event)).await;
}
