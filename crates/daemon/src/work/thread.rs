//! The work thread itself: one single-threaded runtime for everything between nodes and towards
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
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

use super::attempt::run_attempt;
use super::backend::BackendPool;
use super::serving::serve_peers;
use super::{AttemptTask, BackendDirectory};
use crate::border::BackendBorder;
use crate::inbox::ShellInput;
use crate::metrics::EventPort;
use crate::ring::RingSender;

/// Time between two looks at which peers are quiet.
const QUIET_LOOK: Duration = Duration::from_millis(100);
/// How long a peer may owe the answer to a heartbeat before it gets no new work: seventy times the
/// way there and back, and twice the longest stop of a process whose share of a core is used up.
const QUIET_LIMIT: Duration = Duration::from_millis(200);
/// Attempts and messages that may wait for the work thread.
pub const ORDER_DEPTH: usize = 1024;

/// A message for a peer.
#[derive(Debug)]
pub struct PeerOrder {
    /// The life that is meant.
    pub to: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// What to say.
    pub message: PeerMessage,
}

/// Loads beside the backend servers of this node, as the decision thread last told them.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    loads: Arc<Mutex<BTreeMap<u16, LoadHint>>>,
}

impl LoadBoard {
    /// Notes a load.
    pub fn set(&self, slot: u16, load: LoadHint) {
        if let Ok(mut loads) = self.loads.lock() {
            loads.insert(slot, load);
        }
    }

    /// The load of one backend server.
    #[must_use]
    pub fn get(&self, slot: u16) -> Option<LoadHint> {
        self.loads.lock().ok()?.get(&slot).copied()
    }
}

/// What the tasks of the work thread share.
#[derive(Clone, Debug)]
pub struct WorkContext {
    /// This life of this node.
    pub instance: InstanceId,
    /// Where events go.
    pub inbox: RingSender<ShellInput>,
    /// Where the backend servers listen.
    pub directory: BackendDirectory,
    /// Connections to them.
    pub backends: BackendPool,
    /// Connections to peers.
    pub peers: PeerPool<PeerMessage>,
    /// Loads beside the backend servers.
    pub loads: LoadBoard,
    /// Where events are logged.
    pub events: EventPort,
    /// How backend servers are spoken to.
    pub border: Arc<dyn BackendBorder>,
    works: Rc<AtomicU64>,
}

impl WorkContext {
    /// A number for a new piece of work.
    #[must_use]
    pub fn next_work(&self) -> WorkId {
        WorkId(self.works.fetch_add(1, Ordering::Relaxed))
    }

    /// Tells the decision thread.
    pub async fn tell(&self, event: NodeEvent) {
        self.inbox.send(ShellInput::Event(event)).await;
    }
}

/// What the work thread is started with.
#[derive(Debug)]
pub struct WorkParts {
    /// Proof of this node.
    pub identity: PeerIdentity,
    /// Limits of the inner protocol.
    pub wire: WireSettings,
    /// Where peers connect to.
    pub listener: TcpListener,
    /// Where events go.
    pub inbox: RingSender<ShellInput>,
    /// Where the backend servers listen.
    pub directory: BackendDirectory,
    /// Loads beside them.
    pub loads: LoadBoard,
    /// Where events are logged.
    pub events: EventPort,
    /// How backend servers are spoken to.
    pub border: Arc<dyn BackendBorder>,
    /// Turns true when the node stops taking work from peers.
    pub drain: watch::Receiver<bool>,
}

/// The running thread, and where its orders go.
#[derive(Debug)]
pub struct WorkThread {
    /// Attempts to carry out.
    pub attempts: mpsc::Sender<AttemptTask>,
    /// Messages to peers.
    pub messages: mpsc::Sender<PeerOrder>,
    thread: JoinHandle<()>,
}

impl WorkThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// When the thread cannot be started.
    pub fn start(parts: WorkParts) -> anyhow::Result<Self> {
        let (attempts, attempt_orders) = mpsc::channel(ORDER_DEPTH);
        let (messages, message_orders) = mpsc::channel(ORDER_DEPTH);
        let thread = thread::Builder::new()
            .name("work".to_owned())
            .spawn(move || run_thread(parts, attempt_orders, message_orders))
            .context("cannot start the work thread")?;
        Ok(Self {
            attempts,
            messages,
            thread,
        })
    }

    /// Waits for the thread's end; it ends when all senders of orders are dropped.
    pub fn join(self) {
        drop(self.attempts);
        drop(self.messages);
        let _ = self.thread.join();
    }
}

fn run_thread(
    parts: WorkParts,
    attempts: mpsc::Receiver<AttemptTask>,
    messages: mpsc::Receiver<PeerOrder>,
) {
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
            border: parts.border,
            works: Rc::new(AtomicU64::new(1)),
        };
        let serving = serve_peers(
            context.clone(),
            parts.identity,
            parts.wire,
            parts.listener,
            parts.drain,
        );
        let serving = tokio::task::spawn_local(serving);
        tokio::task::spawn_local(send_messages(context.clone(), messages));
        tokio::task::spawn_local(watch_quiet(context.clone()));
        take_attempts(context, attempts).await;
        let _ = serving.await;
    });
}

async fn take_attempts(context: WorkContext, mut attempts: mpsc::Receiver<AttemptTask>) {
    while let Some(task) = attempts.recv().await {
        tokio::task::spawn_local(run_attempt(context.clone(), task));
    }
}

/// Tells of peers that owe the answer to a heartbeat.
async fn watch_quiet(context: WorkContext) {
    loop {
        tokio::time::sleep(QUIET_LOOK).await;
        for peer in context.peers.quiet_peers(QUIET_LIMIT) {
            context.tell(NodeEvent::PeerQuiet { node: peer.node }).await;
        }
    }
}

/// Each message goes on its own, so that a peer that cannot be reached holds up no other.
async fn send_messages(context: WorkContext, mut messages: mpsc::Receiver<PeerOrder>) {
    while let Some(order) = messages.recv().await {
        let context = context.clone();
        tokio::task::spawn_local(async move {
            let sent = context
                .peers
                .send(order.to, order.address, &order.message)
                .await;
            if let Err(error) = sent {
                tracing::debug!(peer = %order.to, %error, "cannot reach a peer");
                context
                    .tell(NodeEvent::PeerUnreachable {
                        node: order.to.node,
                    })
                    .await;
            }
        });
    }
}
