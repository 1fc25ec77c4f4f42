//! Membership of daemons and their upstreams, spread by gossip.
//!
//! The crate holds decision logic without I/O: [`NodeRoster::handle`] takes a [`RosterEvent`] and
//! the time since the node started, and appends [`RosterCommand`]s. The daemon sends the datagrams,
//! sets a timer for [`NodeRoster::next_wake`] and passes on the datagrams that arrive. The same
//! seed and events give the same commands.
//!
//! ```text
//! own upstreams, leave, published updates ---+
//! datagrams of peers --------> merge -> table +-> queue -> gossip rounds -> Send
//!                                |      |
//!                                |      +-> digests: differences are pulled -> Send
//!                                |      +-> MemberUp/Changed/Down, Upstream..., Rumour
//! reports of requests --> probes +-> suspicion -> death, or refutation
//! ```
//!
//! The tables of all nodes converge to the same content regardless of the order in which updates
//! arrive: members are ordered by incarnation, revision and standing, slots by incarnation and
//! sequence, and topic keys by version.

mod budget;
mod digest;
mod event;
mod facts;
mod health;
mod message;
mod names;
mod node;
mod packer;
mod probe;
mod queue;
mod settings;
mod size;
mod slots;
mod suspicion;
mod table;
pub mod topic;
mod topics;

pub use event::{DownCause, RosterCommand, RosterEvent, RosterNote};
pub use facts::{MemberFacts, MemberStanding, MemberView, UpstreamFacts, UpstreamPhase};
pub use message::{
    BucketList, MemberDigest, MemberRumour, MessagePurpose, RosterMessage, SlotRun, TopicHead,
};
pub use node::NodeRoster;
pub use settings::RosterSettings;
pub use size::encoded_size;
