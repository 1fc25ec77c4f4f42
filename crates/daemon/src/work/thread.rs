//! Runtime of the work thread: a single-threaded executor for all traffic between nodes and to
//! backend servers.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anyhow::Context;
use sycamorelink_core::InstanceId;
use sycamorelink_engine::{NodeEvent, PeerMessage};
use sycamorelink_limits::admission::WorkId;
use sycamorelink_policy::LoadHint;
use sycamorelink_wire::{PeerIdentity, PeerPool, WireSettings};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

use super::attempt::run_attempt;
use super::backend::BackendPool;
use super::serving::serve_peers;
use super::{AttemptTask, BackendDirectory};
use crate::adapters::BackendAdapter;
use crate::inbox::DecisionInput;
use crate::memory::MemoryAccount;
use crate::metrics::EventPort;
use crate::open_replies::OpenReplies;
use crate::ring::RingSender;

/// Interval between checks for quiet peers.
const QUIET_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time without a reply to a heartbeat before a peer gets no new work: 70 round trips, and
/// twice the longest pause of a process that has used up its CPU quota.
const QUIET_LIMIT: Duration = Duration::from_millis(200);
/// Capacity of the channels for attempts and for messages.
pub const CHANNEL_DEPTH: usize = 1024;

/// A message for a peer.
#[derive(Debug)]
pub struct OutboundMessage {
    /// Instance and incarnation of the receiver.
    pub to: InstanceId,
    /// Address of the receiver.
    pub address: SocketAddr,
    /// Content of the message.
    pub message: PeerMessage,
}

/// Loads of the backend servers of this node, as last published by the decision thread.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    loads: Arc<Mutex<BTreeMap<u16, LoadHint>>>,
}

impl LoadBoard {
    /// Sets the load of a backend server.
    pub fn set(&self, slot: u16, load: LoadHint) {
        if let Ok(mut loads) = self.loads.lock() {
            loads.insert(slot, load);
        }
    }

    /// Returns the load of a backend server, or `None` before it is first published.
    #[must_use]
    pub fn get(&self, slot: u16) -> Option<LoadHint> {
        self.loads.lock().ok()?.get(&slot).copied()
    }
}

/// State that the tasks of the work thread share.
#[derive(Clone, Debug)]
pub struct WorkContext {
    /// Instance and incarnation of this node.
    pub instance: InstanceId,
    /// Ring of the decision thread, for events.
    pub inbox: RingSender<DecisionInput>,
    /// Addresses of the backend servers.
    pub directory: BackendDirectory,
    /// Connections to the backend servers.
    pub backends: BackendPool,
    /// Connections to peers.
    pub peers: PeerPool<PeerMessage>,
    /// Loads of the backend servers.
    pub loads: LoadBoard,
    /// Event log.
    pub events: EventPort,
    /// Account of the bodies that wait here.
    pub memory: MemoryAccount,
    /// Protocol for requests to backend servers.
    pub adapter: Arc<dyn BackendAdapter>,
    /// Replies that are not written completely.
    pub open_replies: OpenReplies,
    work_counter: Rc<AtomicU64>,
}

impl WorkContext {
    /// Returns a new id for a piece of work.
    #[must_use]
    pub fn next_work(&self) -> WorkId {
        WorkId(self.work_counter.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends an event to the decision thread.
    pub async fn send_event(&self, event: NodeEvent) {
        self.inbox.send(DecisionInput::Event(event)).await;
    }
}

/// Arguments of [`WorkThread::start`].
#[derive(Debug)]
pub struct WorkParts {
    /// Identity of this node and the fleet keys that prove it.
    pub identity: PeerIdentity,
    /// Limits and timeouts of the protocol between nodes.
    pub wire: WireSettings,
    /// Listener for connections from peers.
    pub listener: TcpListener,
    /// Ring of the decision thread, for events.
    pub inbox: RingSender<DecisionInput>,
    /// Addresses of the backend servers.
    pub directory: BackendDirectory,
    /// Loads of the backend servers.
    pub loads: LoadBoard,
    /// Event log.
    pub events: EventPort,
    /// Account of the bodies that wait here.
    pub memory: MemoryAccount,
    /// Protocol for requests to backend servers.
    pub adapter: Arc<dyn BackendAdapter>,
    /// Replies that are not written completely.
    pub open_replies: OpenReplies,
    /// Set to true when the node stops accepting work from peers.
    pub drain: watch::Receiver<bool>,
}

/// Handle to the running thread and its input channels.
#[derive(Debug)]
pub struct WorkThread {
    /// Attempts to run.
    pub attempts: mpsc::Sender<AttemptTask>,
    /// Messages to peers.
    pub messages: mpsc::Sender<OutboundMessage>,
    /// Longest time to write the last replies to peers, once the thread should end.
    reply_limit: oneshot::Sender<Duration>,
    thread: JoinHandle<()>,
}

impl WorkThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread cannot be started.
    pub fn start(parts: WorkParts) -> anyhow::Result<Self> {
        let (attempts, attempt_receiver) = mpsc::channel(CHANNEL_DEPTH);
        let (messages, message_receiver) = mpsc::channel(CHANNEL_DEPTH);
        let (reply_limit, reply_limit_receiver) = oneshot::channel();
        let inputs = WorkInputs {
            attempts: attempt_receiver,
            messages: message_receiver,
            reply_limit: reply_limit_receiver,
        };
        let thread = thread::Builder::new()
            .name("work".to_owned())
            .spawn(move || run_thread(parts, inputs))
            .context("cannot start the work thread")?;
        Ok(Self {
            attempts,
            messages,
            reply_limit,
            thread,
        })
    }

    /// Waits for the end of the thread, which ends when all senders of attempts are dropped and the
    /// last replies to peers are written, or this time after that.
    pub fn join(self, reply_limit: Duration) {
        let _ = self.reply_limit.send(reply_limit);
        drop(self.attempts);
        drop(self.messages);
        let _ = self.thread.join();
    }
}

struct WorkInputs {
    attempts: mpsc::Receiver<AttemptTask>,
    messages: mpsc::Receiver<OutboundMessage>,
    reply_limit: oneshot::Receiver<Duration>,
}

fn run_thread(parts: WorkParts, inputs: WorkInputs) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let context = WorkContext {
            instance: parts.identity.instance,
            inbox: parts.inbox,
            directory: parts.directory,
            backends: BackendPool::default(),
            peers: PeerPool::new(parts.identity.clone(), parts.wire),
            loads: parts.loads,
            events: parts.events,
            memory: parts.memory,
            adapter: parts.adapter,
            open_replies: parts.open_replies,
            work_counter: Rc::new(AtomicU64::new(1)),
        };
        let serving = serve_peers(
            context.clone(),
            parts.identity,
            parts.wire,
            parts.listener,
            parts.drain,
        );
        let serving = tokio::task::spawn_local(serving);
        tokio::task::spawn_local(send_messages(context.clone(), inputs.messages));
        tokio::task::spawn_local(report_quiet_peers(context.clone()));
        run_attempts(context, inputs.attempts).await;
        let limit = inputs.reply_limit.await.unwrap_or_default();
        if tokio::time::timeout(limit, serving).await.is_err() {
            tracing::warn!("replies to peers were cut off");
        }
    });
}

async fn run_attempts(context: WorkContext, mut attempts: mpsc::Receiver<AttemptTask>) {
    while let Some(task) = attempts.recv().await {
        tokio::task::spawn_local(run_attempt(context.clone(), task));
    }
}

/// Reports peers that have not replied to a heartbeat within [`QUIET_LIMIT`].
async fn report_quiet_peers(context: WorkContext) {
    loop {
        tokio::time::sleep(QUIET_CHECK_INTERVAL).await;
        for peer in context.peers.unresponsive_peers(QUIET_LIMIT) {
            context
                .send_event(NodeEvent::PeerUnresponsive { node: peer.node })
                .await;
        }
    }
}

/// Sends each message in its own task, so that an unreachable peer does not delay the others.
async fn send_messages(context: WorkContext, mut messages: mpsc::Receiver<OutboundMessage>) {
    while let Some(outbound) = messages.recv().await {
        let context = context.clone();
        tokio::task::spawn_local(async move {
            let sent = context
                .peers
                .send(outbound.to, outbound.address, &outbound.message)
                .await;
            if let Err(error) = sent {
                tracing::debug!(peer = %outbound.to, %error, "failed to reach a peer");
                context
                    .send_event(NodeEvent::PeerUnreachable {
                        node: outbound.to.node,
                    })
                    .await;
            }
        });
    }
}
