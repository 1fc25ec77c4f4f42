//! Adapters for the source of contracts and the member directory.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::FleetContract;
use sycamorelink_engine::{LEAVING_RECORD_LIFETIME, LeavingServer};
use sycamorelink_log::LogError;

/// Future that an adapter's asynchronous method returns.
pub type AdapterFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, LogError>> + Send + 'a>>;

/// Result of one read of the source.
#[derive(Clone, Debug)]
pub enum SourceUpdate {
    /// Newest contract of the source, decoded.
    Contract(Arc<FleetContract>),
    /// A contract that cannot be decoded. The contract in force stays in force.
    Unreadable {
        /// Description of the error.
        reason: String,
    },
    /// No change since the last read.
    Unchanged,
}

/// Source of the fleet contract.
pub trait ContractSource: Send {
    /// Returns the current contract on the first call, and on later calls waits for a change or for
    /// the source's own timeout. The first call after an error behaves like the first call.
    fn next(&mut self) -> AdapterFuture<'_, SourceUpdate>;
}

/// Directory entry by which other nodes find a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Gossip address of the instance.
    pub gossip: SocketAddr,
    /// Incarnation of the instance when it wrote the entry.
    pub incarnation: u64,
}

/// Backend servers of a node that were leaving when it wrote the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingEntry {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Wall-clock time of the entry since the Unix epoch.
    pub recorded: Duration,
    /// The leaving servers.
    pub servers: Vec<LeavingServer>,
}

/// Content of a member directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryListing {
    /// Entries of all nodes, including those that have stopped.
    pub members: Vec<MemberEntry>,
    /// Leaving backend servers of all nodes that recorded any.
    pub leaving: Vec<LeavingEntry>,
}

impl DirectoryListing {
    /// Returns the servers that a node recorded as leaving, unless its entry is older than the
    /// servers can be.
    #[must_use]
    pub fn leaving_servers(&self, name: &str, wall: Duration) -> Vec<LeavingServer> {
        let entry = self.leaving.iter().find(|entry| &*entry.name == name);
        let is_valid = |entry: &&LeavingEntry| wall < entry.recorded + LEAVING_RECORD_LIFETIME;
        entry
            .filter(is_valid)
            .map(|entry| entry.servers.clone())
            .unwrap_or_default()
    }
}

/// Directory in which nodes publish their addresses for each other.
pub trait MemberDirectory: Send + Sync {
    /// Writes this node's entry, replacing an earlier one of the same name.
    fn announce<'a>(&'a self, entry: &'a MemberEntry) -> AdapterFuture<'a, ()>;

    /// Resolves when the directory was restored from an older copy, so that entries may be lost.
    fn restored(&self) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        Box::pin(std::future::pending())
    }

    /// Returns the content of the directory.
    fn list(&self) -> AdapterFuture<'_, DirectoryListing>;

    /// Writes the leaving backend servers of this node, replacing its earlier entry of them.
    fn record_leaving<'a>(&'a self, entry: &'a LeavingEntry) -> AdapterFuture<'a, ()>;

    /// Removes the entry of a node that leaves permanently.
    fn withdraw<'a>(&'a self, name: &'a str) -> AdapterFuture<'a, ()>;
}
