//! Discovery of other nodes through a member directory that lists only some of the fleet.
//!
//! Every node reads the directory once when it starts. A node writes its entry with a probability
//! that falls with the number of entries it found, so the directory grows with the square root of
//! the fleet. Nodes that follow the source of contracts always write an entry, which replaces
//! entries that were lost.

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

use crate::adapters::{DirectoryListing, MemberDirectory, MemberEntry};
use crate::inbox::DecisionInput;
use crate::ring::RingSender;

/// Backoff while the directory rejects calls or is unreachable. The whole fleet calls one
/// rate-limited service: one call per node about every half second is a hundredth of its limit.
pub const DIRECTORY_BACKOFF: BackoffSettings = BackoffSettings {
    least: Duration::from_millis(150),
    greatest: Duration::from_secs(2),
    share: 0.2,
};
/// Number of entries below which a node always writes its own, and weight of the probability above
/// it: with `n` nodes the directory grows to `sqrt(2 * ENTRY_WEIGHT * n)` entries.
const ENTRY_WEIGHT: f64 = 3.0;
/// Number of entries of other nodes that a node must find when it starts to skip the second read.
/// Nodes that start at the same time learn of each other through the nodes of these entries.
const SUFFICIENT_ENTRIES: usize = 3;
/// Interval over which the nodes of a fleet that starts for the first time spread their first read,
/// so that later nodes find the entries of earlier ones.
const START_SPREAD: Duration = Duration::from_secs(1);
/// Interval over which nodes spread their reads after the directory was restored from an older
/// copy.
const RESTORE_SPREAD: Duration = Duration::from_secs(1);
/// Time that a node follows the source of contracts before it writes an entry. While nodes join,
/// the choice of followers changes, and some nodes follow the source only for a short time.
const LISTING_DELAY: Duration = Duration::from_secs(1);
/// Probability that a node that reached no other node writes an entry at its first retry. Each
/// retry multiplies the probability by [`ISOLATED_CHANCE_GROWTH`], so that the remaining nodes of a
/// fleet whose listed nodes are all lost do not write all at once.
const ISOLATED_CHANCE: f64 = 1.0 / 64.0;
/// Growth factor of [`ISOLATED_CHANCE`] per retry.
const ISOLATED_CHANCE_GROWTH: f64 = 4.0;
/// Timeout for removing this node's entry when the node leaves.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(200);

/// Randomized policy that decides when a node writes a directory entry.
#[derive(Debug)]
pub struct ListingPolicy {
    random: SmallRng,
    isolated_chance: f64,
}

impl ListingPolicy {
    /// Creates the policy of one node; `seed` makes its choices reproducible.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            isolated_chance: ISOLATED_CHANCE,
        }
    }

    /// Returns whether a node that found `others` entries of other nodes writes its own entry when
    /// it starts.
    pub fn should_list_at_start(&mut self, others: usize) -> bool {
        let others = u32::try_from(others).unwrap_or(u32::MAX);
        let chance = ENTRY_WEIGHT / f64::from(others.max(1));
        self.random.random_bool(chance.min(1.0))
    }

    /// Returns whether a node that has reached no other node writes an entry. The probability grows
    /// with each call.
    pub fn should_list_when_isolated(&mut self) -> bool {
        let chance = self.isolated_chance.min(1.0);
        self.isolated_chance = chance * ISOLATED_CHANCE_GROWTH;
        self.random.random_bool(chance)
    }

    /// Returns a random delay below `over`.
    pub fn spread(&mut self, over: Duration) -> Duration {
        over.mul_f64(self.random.random())
    }
}

/// Arguments of [`MemberTask::new`].
pub struct MemberParts {
    /// Directory that nodes write their addresses to.
    pub directory: Arc<dyn MemberDirectory>,
    /// This node's own entry.
    pub entry: MemberEntry,
    /// Content of the directory before the start; `None` when the task has yet to read it.
    pub listing: Option<DirectoryListing>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Source of the current time.
    pub clock: Arc<dyn NodeClock>,
    /// Ring of the decision thread, for events.
    pub inbox: RingSender<DecisionInput>,
    /// Seed of the randomized delays, different for each node.
    pub seed: u64,
}

/// Requests from other tasks to [`MemberTask::run`].
#[derive(Clone, Debug, Default)]
pub struct MemberSignals {
    /// Notified when this node knows no other node and should read the directory again.
    pub find: Arc<Notify>,
    /// Incarnation to write to the directory for the next start, set when the roster finds the
    /// current one too low.
    pub incarnation: watch::Sender<Option<u64>>,
}

/// Task that keeps this node's directory entry and finds other nodes.
pub struct MemberTask {
    directory: Arc<dyn MemberDirectory>,
    entry: MemberEntry,
    listing: Option<DirectoryListing>,
    first_start: bool,
    clock: Arc<dyn NodeClock>,
    inbox: RingSender<DecisionInput>,
    policy: ListingPolicy,
    backoff: OutageBackoff,
    /// Whether the directory holds this node's current entry.
    listed: bool,
}

impl MemberTask {
    /// Creates a task that has not started.
    #[must_use]
    pub fn new(parts: MemberParts) -> Self {
        let members = parts.listing.iter().flat_map(|listing| &listing.members);
        let own = members
            .clone()
            .find(|entry| entry.name == parts.entry.name && entry.gossip == parts.entry.gossip);
        Self {
            listed: own.is_some(),
            directory: parts.directory,
            entry: parts.entry,
            listing: parts.listing,
            first_start: parts.first_start,
            clock: parts.clock,
            inbox: parts.inbox,
            policy: ListingPolicy::new(parts.seed),
            backoff: OutageBackoff::new(DIRECTORY_BACKOFF, parts.seed),
        }
    }

    /// Runs until the future is dropped. `following` holds whether this node follows the source of
    /// contracts. The task sets `leave` once the directory holds the incarnation that the next
    /// start must exceed.
    pub async fn run(
        &mut self,
        signals: MemberSignals,
        mut following: watch::Receiver<bool>,
        leave: &AtomicBool,
    ) {
        let mut incarnations = signals.incarnation.subscribe();
        self.start_discovery().await;
        let directory = Arc::clone(&self.directory);
        loop {
            tokio::select! {
                Ok(()) = following.changed() => self.on_following_changed(&mut following).await,
                () = signals.find.notified() => self.retry_discovery().await,
                () = directory.restored() => self.on_directory_restored().await,
                Ok(()) = incarnations.changed() => {
                    let incarnation = *incarnations.borrow_and_update();
                    self.record_incarnation(incarnation).await;
                    leave.store(true, Ordering::Release);
                }
            }
        }
    }

    /// Removes this node's entry. When the removal fails the entry stays, and other nodes detect
    /// with their first probe that the node is gone.
    pub async fn withdraw(&self) {
        if !self.listed {
            return;
        }
        let withdrawn = self.directory.withdraw(&self.entry.name);
        match tokio::time::timeout(WITHDRAW_TIMEOUT, withdrawn).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::debug!(%error, "failed to remove the directory entry"),
            Err(_) => tracing::debug!("timed out removing the directory entry"),
        }
    }

    async fn start_discovery(&mut self) {
        let listing = if let Some(listing) = self.listing.take() {
            listing
        } else {
            if self.first_start {
                let wait = self.policy.spread(START_SPREAD);
                tokio::time::sleep(wait).await;
            }
            self.read_directory().await
        };
        let leaving = listing.leaving_servers(&self.entry.name, self.clock.wall());
        self.send_event(NodeEvent::LeavingServersRead(leaving))
            .await;
        let entries = listing.members;
        let others = self.send_seeds(&entries).await;
        let found = NodeEvent::DirectoryRead { entries: others };
        self.send_event(found).await;
        if self.listed || !self.policy.should_list_at_start(others) {
            return;
        }
        self.write_entry().await;
        // Of two nodes that start at the same time, the one that reads later finds the other.
        if others < SUFFICIENT_ENTRIES {
            let entries = self.read_entries().await;
            self.send_seeds(&entries).await;
        }
    }

    /// Writes this node's entry if the node is still following the source after [`LISTING_DELAY`].
    async fn on_following_changed(&mut self, following: &mut watch::Receiver<bool>) {
        if !*following.borrow_and_update() {
            return;
        }
        tokio::time::sleep(LISTING_DELAY).await;
        if *following.borrow_and_update() {
            self.write_entry().await;
        }
    }

    /// Reads the directory again for a node that has reached no other node.
    async fn retry_discovery(&mut self) {
        if self.policy.should_list_when_isolated() {
            self.listed = false;
            self.write_entry().await;
        }
        let entries = self.read_entries().await;
        self.send_seeds(&entries).await;
    }

    /// Writes the entry again if the directory was restored from an older copy without it.
    async fn on_directory_restored(&mut self) {
        if !self.listed {
            return;
        }
        let wait = self.policy.spread(RESTORE_SPREAD);
        tokio::time::sleep(wait).await;
        let entries = self.read_entries().await;
        self.listed = entries.contains(&self.entry);
        self.write_entry().await;
    }

    /// Writes the incarnation that the next start must exceed.
    async fn record_incarnation(&mut self, incarnation: Option<u64>) {
        let Some(incarnation) = incarnation else {
            return;
        };
        self.entry.incarnation = incarnation;
        self.listed = false;
        self.write_entry().await;
        // Clears the flag so that `withdraw` leaves this entry for the next start.
        self.listed = false;
    }

    /// Writes the entry unless the directory holds it, retrying until the write succeeds.
    async fn write_entry(&mut self) {
        while !self.listed {
            match self.directory.announce(&self.entry).await {
                Ok(()) => {
                    self.backoff.succeed();
                    self.listed = true;
                }
                Err(error) => {
                    self.pause(&error, "failed to write the directory entry")
                        .await;
                }
            }
        }
    }

    async fn read_entries(&mut self) -> Vec<MemberEntry> {
        self.read_directory().await.members
    }

    async fn read_directory(&mut self) -> DirectoryListing {
        loop {
            match self.directory.list().await {
                Ok(listing) => {
                    self.backoff.succeed();
                    return listing;
                }
                Err(error) => {
                    self.pause(&error, "failed to read the member directory")
                        .await;
                }
            }
        }
    }

    async fn pause(&mut self, error: &LogError, message: &str) {
        let pause = pause_after(error, self.backoff.fail(self.clock.now()));
        tracing::debug!(%error, ?pause, "{message}");
        tokio::time::sleep(pause).await;
    }

    /// Sends the engine the addresses of all nodes but this one and returns their number.
    async fn send_seeds(&self, entries: &[MemberEntry]) -> usize {
        let others = entries.iter().filter(|other| other.name != self.entry.name);
        let seeds: Vec<SocketAddr> = others.map(|other| other.gossip).collect();
        let count = seeds.len();
        self.send_event(NodeEvent::SeedsFound(seeds)).await;
        count
    }

    async fn send_event(&self, event: NodeEvent) {
        self.inbox.send(DecisionInput::Event(event)).await;
    }
}

/// Returns `pause`, or the delay that a throttled call requests if that is longer.
#[must_use]
pub fn pause_after(error: &LogError, pause: Duration) -> Duration {
    match error {
        LogError::Throttled { retry_after } => pause.max(*retry_after),
        _ => pause,
    }
}
