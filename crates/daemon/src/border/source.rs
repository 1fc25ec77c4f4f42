//! Where contracts come from, and where nodes find each other.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use sycamorelink_contract::FleetContract;
use sycamorelink_log::LogError;

/// What a call to a border resolves to.
pub type BorderFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, LogError>> + Send + 'a>>;

/// What one look at the source brought.
#[derive(Clone, Debug)]
pub enum SourceNews {
    /// The newest contract.
    Contract(Arc<FleetContract>),
    /// A contract that cannot be read. The one in force stays.
    Unreadable {
        /// Why.
        reason: String,
    },
    /// The source answered and has nothing new.
    Unchanged,
}

/// Where a fleet contract comes from.
pub trait ContractSource: Send {
    /// Waits for news: at once the first time, then until there is something new or the source's
    /// own longest wait is over. After an error the next call begins anew.
    fn next(&mut self) -> BorderFuture<'_, SourceNews>;
}

/// How one node can be found by others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Where it gossips.
    pub gossip: SocketAddr,
    /// Incarnation of the life that wrote the entry.
    pub incarnation: u64,
}

/// Where nodes leave their addresses for each other.
pub trait MemberDirectory: Send + Sync {
    /// Leaves this node's entry, in place of an earlier one of the same name.
    fn announce<'a>(&'a self, entry: &'a MemberEntry) -> BorderFuture<'a, ()>;

    /// Resolves when the directory was restored from an older copy, so that entries may be lost.
    fn restored(&self) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        Box::pin(std::future::pending())
    }

    /// All entries, also of nodes that have ended.
    fn list(&self) -> BorderFuture<'_, Vec<MemberEntry>>;

    /// Takes an entry away, when its node leaves for good.
    fn withdraw<'a>(&'a self, name: &'a str) -> BorderFuture<'a, ()>;
}
