//! Adapters for the source of contracts and the member directory.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use sycamorelink_contract::FleetContract;
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

/// Directory in which nodes publish their addresses for each other.
pub trait MemberDirectory: Send + Sync {
    /// Writes this node's entry, replacing an earlier one of the same name.
    fn announce<'a>(&'a self, entry: &'a MemberEntry) -> AdapterFuture<'a, ()>;

    /// Resolves when the directory was restored from an older copy, so that entries may be lost.
    fn restored(&self) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        Box::pin(std::future::pending())
    }

    /// Returns all entries, including those of nodes that have stopped.
    fn list(&self) -> AdapterFuture<'_, Vec<MemberEntry>>;

    /// Removes the entry of a node that leaves permanently.
    fn withdraw<'a>(&'a self, name: &'a str) -> AdapterFuture<'a, ()>;
}
