//! Messages that nodes exchange over the streams of the peer protocol.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamorelink_contract::ContractStamp;
use sycamorelink_core::{AttemptId, CustomerName, InstanceId, ServiceName, UpstreamId};
use sycamorelink_guard::GuardMessage;
use sycamorelink_limits::{CrashMessage, QuotaMessage, ShareMember, ShareMessage};
use sycamorelink_policy::{CapacityRecord, LoadHint, UpstreamEvidence};
use sycamorelink_roster::RosterMessage;

use crate::leaving::LeavingMessage;
use crate::limit_records::LimitedServer;
use crate::repeat_loans::RepeatLoanMessage;

/// A message between two nodes. Any message may be lost, duplicated or reordered.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// At-most-once grants, custody transfers and records.
    Guard(GuardMessage),
    /// Shares of a customer's limits.
    Share(ShareMessage),
    /// Digest of the members with which the sender shares limits.
    RosterDigest {
        /// Hash of the members and their incarnations.
        digest: u64,
    },
    /// The members with which the sender shares limits, sent to a peer whose digest stays
    /// different.
    ShareList {
        /// The members, including those that do not respond.
        members: Vec<ShareMember>,
        /// Instances that announced their departure.
        left: Vec<InstanceId>,
    },
    /// Reports on requests that crashed a backend server, and turns to run them.
    Crash(CrashMessage),
    /// Failures and latencies that the sender observed at the upstreams of a service.
    Evidence {
        /// Service of the upstreams.
        service: ServiceName,
        /// Observations of each upstream.
        evidence: Vec<UpstreamEvidence>,
    },
    /// Health of an upstream, sent by the node beside the upstream to nodes with work there when
    /// the upstream turns suspect or healthy, or when one of their runs on a suspect upstream is
    /// late.
    Standing {
        /// Service of the upstream.
        service: ServiceName,
        /// The upstream, which is local to the sender.
        id: UpstreamId,
        /// Load of the upstream, and the chance that it fails part of its requests.
        load: LoadHint,
    },
    /// Asks for the state of an attempt that the sender offered. The receiver refuses the attempt
    /// from then on unless it was started.
    FenceAsk {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Answer to `FenceAsk`.
    FenceAnswer {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Whether a backend server was given the attempt; if false, none will be.
        begun: bool,
    },
    /// Asks up to which offset the receiver has read the contract stream.
    HeadAsk {
        /// Number that matches the reply to the question.
        ask: u64,
    },
    /// Answer to `HeadAsk`.
    HeadReply {
        /// Number that matches the reply to the question.
        ask: u64,
        /// Offset of the next contract record that the sender expects.
        offset: u64,
    },
    /// Requests contracts.
    ContractPull {
        /// Which contracts are requested.
        ask: ContractAsk,
    },
    /// A page of contracts, in the encoding of the contract package.
    ContractPage {
        /// The request that the page answers.
        ask: ContractAsk,
        /// The page, as JSON; the encoded patch for [`ContractAsk::FleetPatch`].
        page: Vec<u8>,
    },
    /// Announces that the sender can serve this version of the fleet contract.
    FleetHead {
        /// Version of the fleet contract.
        version: u64,
    },
    /// Admitted requests of client accounts, and the parts of their quotas.
    Quota(QuotaMessage),
    /// Leaving backend servers, stored for the next incarnation of the node beside them.
    Leaving(LeavingMessage),
    /// Reports that the source of the fleet contract was reached and had no contract.
    SourceSeen {
        /// Time since the source was reached.
        age: Duration,
    },
    /// Reports that the sender, or an ancestor in the distribution tree of its failure domain,
    /// reached the source of the fleet contract. Sent periodically to the children in that tree.
    SourceContact {
        /// Time since the source was reached.
        age: Duration,
        /// Version that the sender has.
        version: u64,
    },
    /// Requests the parts of the membership that the sender lacks.
    RosterAsk {
        /// Hashes of the membership state that the sender holds.
        hashes: Vec<u8>,
    },
    /// Membership state that the receiver lacks.
    RosterState {
        /// The state, handled like a gossip datagram.
        state: RosterMessage,
    },
    /// Limit of a local backend server, stored for the next incarnation of the node beside it.
    ServerLimit(LimitedServer),
    /// The limits that the sender has stored for the receiver.
    StoredLimits(Vec<LimitedServer>),
    /// The freshest capacity records that the sender knows. Sent only where overload control is on.
    Capacity {
        /// Service of the upstreams.
        service: ServiceName,
        /// Records of the sender's upstreams, and of those of other nodes.
        records: Vec<CapacityRecord>,
    },
    /// Loans of repeats between backend servers. Only sent where overload control is on.
    RepeatLoan(RepeatLoanMessage),
}

/// Contracts that a node requests from a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ContractAsk {
    /// The page that follows this customer; the first page for `None`.
    Page(Option<CustomerName>),
    /// All contracts newer than this version.
    Newer(u64),
    /// The whole fleet contract as JSON, if the peer has a newer version. Only requested from peers
    /// that may not know [`Self::FleetPatch`].
    Fleet {
        /// Version that the requesting node has; 0 for none.
        newer_than: u64,
    },
    /// A patch that leads to the fleet contract of the peer, if the peer has a newer version.
    FleetPatch {
        /// The contract that the requesting node has. `None` requests the whole contract.
        base: Option<ContractStamp>,
    },
}
