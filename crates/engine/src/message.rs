//! What nodes say to each other over the inner protocol's message streams.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_core::{AttemptId, CustomerName, InstanceId, ServiceName, UpstreamId};
use sycamorelink_guard::GuardMessage;
use sycamorelink_limits::{CrashMessage, QuotaMessage, ShareMember, ShareMessage};
use sycamorelink_policy::{LoadHint, UpstreamEvidence};
use sycamorelink_roster::RosterMessage;

use crate::leaving::LeavingMessage;

/// One message between two nodes. Each may be lost, repeated or overtaken.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// At-most-once grants, custody and records.
    Guard(GuardMessage),
    /// Shares of a customer's limits.
    Share(ShareMessage),
    /// Which members the sender shares limits with.
    RosterDigest {
        /// Hash over the members and their lives.
        digest: u64,
    },
    /// The members that the sender shares limits with, sent to a peer that keeps using others.
    ShareList {
        /// The members, silent ones too.
        members: Vec<ShareMember>,
        /// Lives that said goodbye.
        left: Vec<InstanceId>,
    },
    /// A request that crashed a backend server.
    Crash(CrashMessage),
    /// What the sender saw of a service's upstreams.
    Evidence {
        /// The service.
        service: ServiceName,
        /// The evidence.
        evidence: Vec<UpstreamEvidence>,
    },
    /// What the node beside an upstream tells those who have work there: that it turned suspect or sound, or
    /// that a run of theirs has become late on a suspect one.
    Standing {
        /// The service.
        service: ServiceName,
        /// The upstream, beside the sender.
        id: UpstreamId,
        /// Its load, and the chance that it fails part of its requests.
        load: LoadHint,
    },
    /// Asks what became of an attempt that the sender offered, and has it refused unless it was begun.
    FenceAsk {
        /// The attempt.
        attempt: AttemptId,
    },
    /// What became of it.
    FenceAnswer {
        /// The attempt.
        attempt: AttemptId,
        /// Whether a backend server was handed it; if not, none will be.
        begun: bool,
    },
    /// Asks how far the receiver has read the contracts.
    HeadAsk {
        /// Number of the question.
        ask: u64,
    },
    /// How far the sender has read the contracts.
    HeadReply {
        /// Number of the question.
        ask: u64,
        /// Offset of the next contract record it expects.
        offset: u64,
    },
    /// Asks for contracts.
    ContractPull {
        /// Which.
        ask: ContractAsk,
    },
    /// Some contracts, in the contract package's own form.
    ContractPage {
        /// What was asked for.
        ask: ContractAsk,
        /// The page, as JSON.
        page: Vec<u8>,
    },
    /// Tells that the sender has this version of the fleet contract, to be taken from it.
    FleetHead {
        /// The version.
        version: u64,
    },
    /// What was admitted of client accounts, and the parts of their quotas.
    Quota(QuotaMessage),
    /// Backend servers that leave, kept for the next life of the node beside them.
    Leaving(LeavingMessage),
    /// The source of the fleet contract was reached, and had no contract.
    SourceSeen {
        /// How long ago.
        age: Duration,
    },
    /// The sender, or an ancestor in the tree of its failure domain, reached the source of the fleet
    /// contract. Sent periodically to the children in that tree.
    SourceContact {
        /// How long ago.
        age: Duration,
        /// The version that the sender has.
        version: u64,
    },
    /// Asks for what the sender lacks of the membership.
    RosterAsk {
        /// Hashes of what it holds.
        hashes: Vec<u8>,
    },
    /// What the receiver lacks of the membership.
    RosterState {
        /// The state, taken like a datagram.
        state: RosterMessage,
    },
}

/// Which contracts a node asks a peer for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ContractAsk {
    /// The page after a customer, the first for none.
    Page(Option<CustomerName>),
    /// Everything newer than this version.
    Newer(u64),
    /// The fleet contract, if it is newer than this version.
    Fleet {
        /// The version that the asker has, 0 for none.
        newer_than: u64,
    },
}
