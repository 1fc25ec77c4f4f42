//! Fleet-wide rate and concurrency limits of customers, enforced by every daemon independently.
//!
//! A contract is divided into [`UNIT_COUNT`] units. A small part of the rate and concurrency is the
//! base share, which all members divide among themselves. The units belong to keepers, one or two
//! in each failure domain, which are selected from the roster by rendezvous hashing of the
//! customer. A holder is a daemon with callers of the customer. It requests leases from the keepers
//! according to its demand; such a request is called an ask. The rights of a node are the rate and
//! slots that it may use: its base share and its leases.
//!
//! ```text
//! caller -> CustomerShare::admit -> Admitted | Refused | Wait
//!              |       ^
//!          Ask v       | Grant (rate, slots, tokens; ends on the holder's own clock, counted
//!           ShareKeeper             from when the ask was sent)
//! ```
//!
//! No unit is ever used twice, even if nodes are partitioned, lost, paused or restarted:
//!
//! - Only active members keep units or use a base share. A member becomes active only after every
//!   other member has adopted a roster that lists it. Any two active members therefore list each
//!   other, so both rank the same keeper first, and each divides by a count that includes all
//!   active members.
//! - A holder that adopts a roster drops its leases from members that are no longer keepers. When
//!   all members have adopted the roster, or the longest lease has expired, the new keeper may
//!   lease the unit.
//! - A lease ends at the holder before the keeper reuses the unit: the holder counts from before
//!   the ask was sent, the keeper from after the ask arrived, and the keeper adds the clock drift.

mod active;
mod bucket;
mod contract;
mod customer;
mod demand;
mod keeper;
mod lease;
mod message;
mod node;
mod pool;
mod ring;
mod settings;
mod view;

pub use customer::CustomerShare;
pub use keeper::ShareKeeper;
pub use message::{AskEntry, GrantEntry, ShareMessage};
pub use node::ShareNode;
pub use ring::{KeeperPlace, PLACE_COUNT, ShareRing, UNIT_COUNT};
pub use settings::ShareSettings;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{CustomerName, DomainName, InstanceId};

/// Dense number of a customer on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CustomerIndex(pub u32);

/// Limits of one contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerLimit {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Fleet-wide rate, in thousandths of a request per second.
    pub rate_millis: u32,
    /// Fleet-wide number of concurrent requests.
    pub concurrency: u32,
}

/// Member of the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareMember {
    /// Node and incarnation of the member.
    pub instance: InstanceId,
    /// Failure domain of the member.
    pub domain: DomainName,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// The request may run. The caller must call [`ShareNode::finished`] when it ends.
    Admitted,
    /// A grant or token is expected soon: try again with [`ShareNode::admit_again`] after
    /// [`ShareCommand::Ready`] or at `until`, whichever comes first. The request holds no slot or
    /// token meanwhile.
    Wait {
        /// Latest time to try again, since the node started.
        until: Duration,
    },
    /// The limit of the customer is used up.
    Refused {
        /// Time until a token or slot is expected to be available on this node.
        retry_after: Duration,
    },
}

/// Input of a [`ShareNode`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareEvent {
    /// A contract was added or amended.
    Contract {
        /// Dense number of the customer.
        index: CustomerIndex,
        /// Limits of the contract.
        limit: CustomerLimit,
    },
    /// A contract was removed.
    Withdrawn {
        /// Dense number of the customer.
        index: CustomerIndex,
    },
    /// The roster changed, or more members have adopted it.
    ///
    /// A member stays in the list until its stop is certain: it announced that it leaves, a later
    /// incarnation of the same node announced itself, or it was recorded as lost longer ago than
    /// [`ShareSettings::removal_wait`]. A member that is only unresponsive stays in the list.
    Roster {
        /// Version of the roster; grows with each change. Equals the log offset if the roster comes
        /// from the log.
        version: u64,
        /// All members, in any order.
        members: Arc<[ShareMember]>,
        /// Highest version that every member of this list is known to have adopted.
        settled: u64,
    },
    /// This node has confirmed that all members still list it: it has read the log to its end, or
    /// has recently received messages from at least half of the members at this version.
    ///
    /// Ignored unless the roster in force here is of this version. Otherwise, a node that was
    /// disconnected could act on an old roster after others have stopped waiting for it.
    Anchored {
        /// Newest known version of the roster.
        version: u64,
        /// Time at which the confirmation started, since the node started.
        since: Duration,
    },
    /// This node was paused for a time that its monotonic clock may not show, because the wall
    /// clock has advanced further. All leases are dropped, and the node has no rights until
    /// [`Self::Anchored`].
    Resumed,
    /// A share message of an instance arrived.
    Received {
        /// Sender.
        from: InstanceId,
        /// Content of the message.
        message: ShareMessage,
    },
}

/// Output of a [`ShareNode`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareCommand {
    /// Send a message to one node.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Content of the message.
        message: ShareMessage,
    },
    /// The rights of a customer increased: try its waiting requests again, in order, until one is
    /// not admitted.
    Ready {
        /// Dense number of the customer.
        index: CustomerIndex,
    },
}
