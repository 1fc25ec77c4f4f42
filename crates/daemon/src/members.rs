//! How this node finds others and is found, by a directory that only some nodes are listed in.
//!
//! Every node reads the directory once when it starts. A node writes an entry by chance, the seldomer
//! the more entries it found, so that the directory grows with the square root of the fleet; and the
//! nodes that follow the source of contracts always have one, so that a lost entry is replaced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::NodeClock;
use sycamorelink_engine::NodeEvent;
use sycamorelink_log::{BackoffSettings, LogError, OutageBackoff};
use tokio::sync::{Notify, watch};

use crate::border::{MemberDirectory, MemberEntry};
use crate::inbox::ShellInput;
use crate::ring::RingSender;

/// Pauses while the directory refuses or cannot be reached. The whole fleet calls one service that
/// bounds its calls: a call of each node about every half second is a hundredth of its bound.
pub const DIRECTORY_BACKOFF: BackoffSettings = BackoffSettings {
    least: Duration::from_millis(150),
    greatest: Duration::from_secs(2),
    share: 0.2,
};
/// Entries that are always written, and the weight of chance beyond: among `n` nodes the directory grows
/// to the square root of twice this times `n`.
const ENTRY_WEIGHT: f64 = 3.0;
/// Entries found from which a node that wrote its own need not look again: of nodes that start together,
/// one of these tells them of each other.
const ENTRIES_KNOWN: usize = 3;
/// Time over which the nodes of a fleet that starts for the first time spread their first look, so that
/// the later ones find the entries of the earlier.
const START_SPREAD: Duration = Duration::from_secs(1);
/// Time over which nodes spread when the directory was restored from an older copy.
const RESTORE_SPREAD: Duration = Duration::from_secs(1);
/// How long a node follows the source of contracts before it writes an entry: while nodes join, some take
/// themselves for followers that are not.
const LIST_AFTER: Duration = Duration::from_secs(1);
/// Chance that a node that found only nodes out of reach writes an entry at its first further look; four
/// times as much at each later one, so that a fleet that lost all listed nodes does not write at once.
const LONE_CHANCE: f64 = 1.0 / 64.0;
/// See [`LONE_CHANCE`].
const LONE_GROWTH: f64 = 4.0;
/// Longest wait for the withdrawal of this node's entry when it leaves.
const WITHDRAW_LIMIT: Duration = Duration::from_millis(200);

/// When a node writes an entry.
#[derive(Debug)]
pub struct ListingPolicy {
    random: SmallRng,
    lone_chance: f64,
}

impl ListingPolicy {
    /// The policy of one node.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            lone_chance: LONE_CHANCE,
        }
    }

    /// Whether a node that found so many entries of others writes one at its start.
    pub fn is_listed_beside(&mut self, others: usize) -> bool {
        let others = u32::try_from(others).unwrap_or(u32::MAX);
        let chance = ENTRY_WEIGHT / f64::from(others.max(1));
        self.random.random_bool(chance.min(1.0))
    }

    /// Whether a node that has met nobody so far writes one.
    pub fn is_listed_alone(&mut self) -> bool {
        let chance = self.lone_chance.min(1.0);
        self.lone_chance = chance * LONE_GROWTH;
        self.random.random_bool(chance)
    }

    /// A moment within this time.
    pub fn spread(&mut self, over: Duration) -> Duration {
        over.mul_f64(self.random.random())
    }
}

/// What the duty is started with.
pub struct MemberParts {
    /// The directory.
    pub directory: Arc<dyn MemberDirectory>,
    /// This node's own entry.
    pub entry: MemberEntry,
    /// Entries that were read before the start; none when they still are to be read.
    pub earlier: Vec<MemberEntry>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Time.
    pub clock: Arc<dyn NodeClock>,
    /// Where events go.
    pub inbox: RingSender<ShellInput>,
    /// Spreads the nodes' tries.
    pub seed: u64,
}

/// What other duties ask of this one.
#[derive(Clone, Debug, Default)]
pub struct MemberAsks {
    /// Look for others: this node is alone.
    pub find: Arc<Notify>,
    /// Set to the incarnation that is to be left for the next life, once this one was found too low.
    pub recorded: watch::Sender<Option<u64>>,
}

/// The duty.
pub struct MemberDuty {
    directory: Arc<dyn MemberDirectory>,
    entry: MemberEntry,
    earlier: Vec<MemberEntry>,
    first_start: bool,
    clock: Arc<dyn NodeClock>,
    inbox: RingSender<ShellInput>,
    policy: ListingPolicy,
    backoff: OutageBackoff,
    /// Whether the directory holds this node's entry.
    listed: bool,
}

impl MemberDuty {
    /// A duty that has not begun.
    #[must_use]
    pub fn new(parts: MemberParts) -> Self {
        let own = parts
            .earlier
            .iter()
            .find(|entry| entry.name == parts.entry.name && entry.gossip == parts.entry.gossip);
        Self {
            listed: own.is_some(),
            directory: parts.directory,
            entry: parts.entry,
            earlier: parts.earlier,
            first_start: parts.first_start,
            clock: parts.clock,
            inbox: parts.inbox,
            policy: ListingPolicy::new(parts.seed),
            backoff: OutageBackoff::new(DIRECTORY_BACKOFF, parts.seed),
        }
    }

    /// Runs until it is dropped; `following` tells whether this node follows the source of contracts, and
    /// `leave` is set once the next life can begin with a greater incarnation.
    pub async fn run(
        &mut self,
        asks: MemberAsks,
        mut following: watch::Receiver<bool>,
        leave: &AtomicBool,
    ) {
        let mut recorded = asks.recorded.subscribe();
        self.first_look().await;
        let directory = Arc::clone(&self.directory);
        loop {
            tokio::select! {
                Ok(()) = following.changed() => self.follow(&mut following).await,
                () = asks.find.notified() => self.look_alone().await,
                () = directory.restored() => self.restore().await,
                Ok(()) = recorded.changed() => {
                    let incarnation = *recorded.borrow_and_update();
                    self.record(incarnation).await;
                    leave.store(true, Ordering::Release);
                }
            }
        }
    }

    /// Takes this node's entry away. Where that fails the entry stays, and other nodes find at their
    /// first probe that nobody is there.
    pub async fn withdraw(&self) {
        if !self.listed {
            return;
        }
        let withdrawn = self.directory.withdraw(&self.entry.name);
        match tokio::time::timeout(WITHDRAW_LIMIT, withdrawn).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::debug!(%error, "this node's entry was not taken away"),
            Err(_) => tracing::debug!("this node's entry was not taken away in time"),
        }
    }

    async fn first_look(&mut self) {
        let mut entries = std::mem::take(&mut self.earlier);
        if entries.is_empty() {
            if self.first_start {
                let wait = self.policy.spread(START_SPREAD);
                tokio::time::sleep(wait).await;
            }
            entries = self.read().await;
        }
        let others = self.tell_seeds(&entries).await;
        let found = NodeEvent::DirectoryRead { entries: others };
        self.tell(found).await;
        if self.listed || !self.policy.is_listed_beside(others) {
            return;
        }
        self.be_listed().await;
        // Of two nodes that start together, the one that reads later finds the other.
        if others < ENTRIES_KNOWN {
            let entries = self.read().await;
            self.tell_seeds(&entries).await;
        }
    }

    /// A node that goes on following the source has an entry.
    async fn follow(&mut self, following: &mut watch::Receiver<bool>) {
        if !*following.borrow_and_update() {
            return;
        }
        tokio::time::sleep(LIST_AFTER).await;
        if *following.borrow_and_update() {
            self.be_listed().await;
        }
    }

    /// A further look of a node that has met nobody.
    async fn look_alone(&mut self) {
        if self.policy.is_listed_alone() {
            self.listed = false;
            self.be_listed().await;
        }
        let entries = self.read().await;
        self.tell_seeds(&entries).await;
    }

    /// The directory came back from an older copy: the entry is written again if it was lost.
    async fn restore(&mut self) {
        if !self.listed {
            return;
        }
        let wait = self.policy.spread(RESTORE_SPREAD);
        tokio::time::sleep(wait).await;
        let entries = self.read().await;
        self.listed = entries.contains(&self.entry);
        self.be_listed().await;
    }

    /// Leaves an incarnation for the next life to begin above.
    async fn record(&mut self, incarnation: Option<u64>) {
        let Some(incarnation) = incarnation else {
            return;
        };
        self.entry.incarnation = incarnation;
        self.listed = false;
        self.be_listed().await;
        // The entry is to outlast this life.
        self.listed = false;
    }

    /// Writes the entry unless the directory holds it, trying until it is there.
    async fn be_listed(&mut self) {
        while !self.listed {
            match self.directory.announce(&self.entry).await {
                Ok(()) => {
                    self.backoff.succeed();
                    self.listed = true;
                }
                Err(error) => {
                    self.pause(&error, "this node could not leave its address")
                        .await;
                }
            }
        }
    }

    async fn read(&mut self) -> Vec<MemberEntry> {
        loop {
            match self.directory.list().await {
                Ok(entries) => {
                    self.backoff.succeed();
                    return entries;
                }
                Err(error) => {
                    self.pause(&error, "the addresses of others could not be read")
                        .await;
                }
            }
        }
    }

    async fn pause(&mut self, error: &LogError, what: &str) {
        let pause = pause_after(error, self.backoff.fail(self.clock.now()));
        tracing::debug!(%error, ?pause, "{what}");
        tokio::time::sleep(pause).await;
    }

    /// Tells the addresses of all but this node; how many there are.
    async fn tell_seeds(&self, entries: &[MemberEntry]) -> usize {
        let others = entries.iter().filter(|other| other.name != self.entry.name);
        let seeds: Vec<SocketAddr> = others.map(|other| other.gossip).collect();
        let count = seeds.len();
        self.tell(NodeEvent::SeedsFound(seeds)).await;
        count
    }

    async fn tell(&self, event: NodeEvent) {
        self.inbox.send(ShellInput::Event(event)).await;
    }
}

/// The pause that a refusal asks for, if it is longer.
#[must_use]
pub fn pause_after(error: &LogError, pause: Duration) -> Duration {
    match error {
        LogError::Throttled { retry_after } => pause.max(*retry_after),
        _ => pause,
    }
}
