//! Things worth a numbered event, as types; the daemon turns them into log lines and metrics.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::ContractVersion;
use sycamorelink_core::{
    CustomerName, InstanceId, RefusalCode, RequestId, RequestRefusal, ServiceName, SettingFinding,
    UpstreamId,
};
use sycamorelink_guard::GuardNote;
use sycamorelink_policy::{LoadHint, PoolFinding, SampleKind, UpstreamView};
use sycamorelink_roster::{DownCause, RosterNote};

use crate::event::WorkEnd;
use crate::repeats::RepeatBudgetView;

/// One thing worth an event.
#[derive(Clone, Debug)]
pub enum NodeNote {
    /// A request got its final answer; counted for burn.
    RequestSettled(RequestSummary),
    /// A request was tried again elsewhere.
    RetryMade {
        /// The request.
        request: Arc<str>,
        /// Its service.
        service: ServiceName,
        /// Where the failed attempt was.
        from: UpstreamId,
    },
    /// A retry was wanted and the budget had none left.
    RetryBudgetSpent {
        /// The request.
        request: Arc<str>,
        /// Whose budget.
        customer: CustomerName,
        /// For which service.
        service: ServiceName,
    },
    /// A second attempt was sent before the first one answered.
    HedgeSent {
        /// The request.
        request: Arc<str>,
        /// Its service.
        service: ServiceName,
        /// Where the second attempt went.
        to: UpstreamId,
    },
    /// A second attempt brought the reply while the first was still open.
    HedgeWon {
        /// The request.
        request: RequestId,
        /// Its service.
        service: ServiceName,
    },
    /// An attempt was no longer needed and is stopped.
    CancelSent {
        /// The request.
        request: Arc<str>,
        /// Its service.
        service: ServiceName,
        /// Where the attempt is.
        to: UpstreamId,
    },
    /// A reply was not whole or not this request's and was dropped.
    ReplyRejected {
        /// The request.
        request: Arc<str>,
        /// Its service.
        service: ServiceName,
        /// Where it came from.
        from: UpstreamId,
    },
    /// A reply came after its request was answered and was dropped.
    ReplyLate {
        /// The request.
        request: RequestId,
    },
    /// A resend got the answer kept from the first send.
    ReplyReplayed {
        /// The resend.
        request: RequestId,
        /// Whether the reply itself was still kept.
        whole: bool,
    },
    /// A keyed request reached an upstream and its end is not known.
    RunUnproven {
        /// The request.
        request: Arc<str>,
        /// Its service.
        service: ServiceName,
    },
    /// A dispatch was stopped at its executor because its grant is not in force.
    FenceHeld {
        /// The request.
        request: RequestId,
    },
    /// Detection found or did something.
    Pool {
        /// The service.
        service: ServiceName,
        /// What.
        finding: PoolFinding,
    },
    /// At-most-once machinery.
    Guard(GuardNote),
    /// A member came.
    MemberUp(InstanceId),
    /// A member is gone.
    MemberDown {
        /// Which life.
        instance: InstanceId,
        /// Why.
        cause: DownCause,
    },
    /// Membership machinery.
    Roster(RosterNote),
    /// This node goes on under a greater incarnation.
    IncarnationRaised(InstanceId),
    /// A newer life of this node runs elsewhere; this one stops.
    Superseded(InstanceId),
    /// A change of a contract was read from the log and is in force here.
    ContractAccepted {
        /// Offset of the record.
        offset: u64,
        /// The customer.
        customer: CustomerName,
        /// The new version.
        version: ContractVersion,
    },
    /// An attempt was sent.
    AttemptSent {
        /// The caller's own id of the request, else the fleet's.
        label: Arc<str>,
        /// Number of the attempt.
        number: u16,
        /// Where it went.
        to: UpstreamId,
        /// The service.
        service: ServiceName,
        /// Path prefix of the route that chose the service.
        prefix: Arc<str>,
        /// Version of the contract that the route is from.
        version: ContractVersion,
        /// Time left to the deadline.
        left: Duration,
        /// What was known of the upstream when it was picked; none for one never heard of.
        view: Option<UpstreamView>,
    },
    /// The node beside an upstream decided on work that was offered.
    WorkDecided {
        /// The caller's own id of the request, else the fleet's.
        label: Arc<str>,
        /// Number of the attempt.
        number: u16,
        /// The upstream.
        id: UpstreamId,
        /// The service that was asked for.
        service: ServiceName,
        /// None when it may run or wait for a slot.
        refused: Option<RefusalCode>,
        /// Load beside the upstream.
        load: LoadHint,
        /// Odds in nats that the upstream fails part of its requests.
        odds: f64,
        /// Time left to the deadline.
        left: Duration,
        /// State of the bound on repeats; none unless this is a repeat counted at its server.
        repeat_budget: Option<RepeatBudgetView>,
    },
    /// Work ended at an upstream.
    WorkDone {
        /// The caller's own id of the request, else the fleet's.
        label: Arc<str>,
        /// Number of the attempt.
        number: u16,
        /// The upstream.
        id: UpstreamId,
        /// The service.
        service: ServiceName,
        /// How it ended.
        end: WorkEnd,
        /// Status of a whole reply.
        status: Option<u16>,
        /// Time that it waited for a slot.
        waited: Duration,
        /// Time that the backend server took.
        took: Duration,
    },
    /// The node beside an upstream begins or ends to hold work off it.
    BreakerTurned {
        /// The upstream.
        id: UpstreamId,
        /// The service.
        service: ServiceName,
        /// Whether work is held off from now on.
        suspect: bool,
        /// How the run ended that decided it; none when it was time that passed.
        kind: Option<SampleKind>,
        /// Odds in nats that the upstream fails part of its requests.
        odds: f64,
    },
    /// A newer fleet contract is in force.
    FleetContractTaken {
        /// Its version.
        version: u64,
        /// The version that it replaces, 0 for none.
        before: u64,
        /// The peer that it came from; none when it came from its source.
        from: Option<InstanceId>,
        /// Time since this node first heard of the version; none unless it is the newest version
        /// heard of.
        heard_ago: Option<Duration>,
    },
    /// This node started or stopped following the source of fleet contracts.
    SourceFollowed {
        /// Whether it now follows the source.
        follow: bool,
        /// The version in force.
        version: u64,
        /// Number of present members in its roster, including itself.
        members: usize,
    },
    /// A change in the log has no effect.
    ContractRejected {
        /// Offset of the record.
        offset: u64,
        /// Why.
        reason: String,
    },
    /// A record of the contract stream cannot be read.
    PoisonRecord {
        /// Offset of the record.
        offset: u64,
        /// Why.
        reason: String,
    },
    /// Contracts carried forward were read from the log.
    ContractsCarried {
        /// Offset of the record.
        offset: u64,
    },
    /// Contracts come close to being dropped by the log and were not carried forward; told again
    /// at each look while it lasts.
    CarriesLate {
        /// How many.
        late: usize,
    },
    /// A peer has newer contracts and the log does not give them; they are asked for.
    ContractsBehind {
        /// Offset up to which this node has them.
        offset: u64,
        /// Offset that a peer told of.
        head: u64,
    },
    /// A peer or a record told something about contracts that is not so.
    ContractFinding(SettingFinding),
    /// Contracts came from a peer.
    ContractsAdopted {
        /// The peer.
        from: InstanceId,
        /// Offset that its book had reached.
        offset: u64,
    },
    /// The platform's log can be reached, or no longer.
    LogReachable(bool),
    /// A request that crashed backend servers was stopped.
    CrashRequestStopped {
        /// The request.
        request: RequestId,
    },
    /// A backend server beside this node announced itself.
    UpstreamAnnounced {
        /// The upstream.
        id: UpstreamId,
        /// Its service.
        service: ServiceName,
    },
    /// A backend server beside this node takes work.
    UpstreamReady {
        /// The upstream.
        id: UpstreamId,
        /// Its service.
        service: ServiceName,
    },
    /// A backend server beside this node leaves.
    UpstreamLeaving {
        /// The upstream.
        id: UpstreamId,
        /// Its service.
        service: ServiceName,
    },
    /// A backend server beside this node stopped renewing its announcement.
    UpstreamLapsed {
        /// The upstream.
        id: UpstreamId,
        /// Its service.
        service: ServiceName,
    },
    /// A backend server beside this node ended while it ran work.
    UpstreamCrashed {
        /// The upstream.
        id: UpstreamId,
        /// Its service.
        service: ServiceName,
    },
    /// A backend server beside this node is gone with nothing in flight.
    UpstreamGone {
        /// The upstream.
        id: UpstreamId,
        /// Its service.
        service: ServiceName,
    },
}

/// How one request ended.
#[derive(Clone, Debug)]
pub struct RequestSummary {
    /// The caller's own id of the request, else the fleet's.
    pub label: Arc<str>,
    /// The request.
    pub request: RequestId,
    /// Customer, where known.
    pub customer: Option<CustomerName>,
    /// Service, where known.
    pub service: Option<ServiceName>,
    /// The refusal, or none when a reply was handed on.
    pub refusal: Option<RequestRefusal>,
    /// Status of the reply handed on.
    pub status: Option<u16>,
    /// Time from arrival to the final answer's beginning.
    pub latency: std::time::Duration,
    /// Attempts made.
    pub attempts: u16,
}
