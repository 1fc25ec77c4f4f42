//! Typed notes on what the engine did; the daemon turns them into log lines and metrics.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::ContractVersion;
use sycamorelink_core::{
    CustomerName, InstanceId, RefusalCode, RequestId, RequestRefusal, ServiceName, SettingFinding,
    UpstreamId,
};
use sycamorelink_guard::GuardNote;
use sycamorelink_limits::{LimitChange, QueuePlace, ReturnAdvice, ServiceOutlook, WaitReason};
use sycamorelink_policy::{
    CapacityError, DeclineCounts, ExpectedTime, LoadHint, PoolFinding, SampleKind, UpstreamView,
};
use sycamorelink_roster::{DownCause, RosterNote};

use crate::capacity::RefusedForecast;
use crate::event::WorkEnd;
use crate::repeats::RepeatBudgetView;
use crate::rivals::TakeoverReason;

/// Decision of a deadline queue on offered or queued work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueStep {
    /// The work waits at this place.
    Queued(QueuePlace),
    /// The work is refused at once, since it can be served neither in time nor late.
    Declined(QueuePlace),
    /// The work is refused after waiting, since it can no longer meet its deadline.
    Expired,
    /// The work is refused after waiting, since the queue was full and an offer sorts before it.
    Displaced,
    /// The work is refused after waiting, since its account is above its share and an offer of
    /// another account took its place.
    DisplacedByShare,
}

/// Occurrences that the daemon records as numbered events.
#[derive(Clone, Debug)]
pub enum NodeNote {
    /// A request got its final answer, which counts towards the error budget.
    RequestSettled(RequestSummary),
    /// A request was retried at another upstream.
    RetryMade {
        /// Id of the request.
        request: Arc<str>,
        /// Service of the request.
        service: ServiceName,
        /// Upstream of the failed attempt.
        from: UpstreamId,
    },
    /// A retry was denied because the retry budget is exhausted.
    RetryBudgetSpent {
        /// Id of the request.
        request: Arc<str>,
        /// Customer whose budget is exhausted.
        customer: CustomerName,
        /// Service for which the retry was meant.
        service: ServiceName,
    },
    /// A request waits until a backend server is likely to accept it.
    WaitStarted {
        /// Id of the request.
        request: Arc<str>,
        /// Service of the request.
        service: ServiceName,
        /// Why the request waits.
        reason: WaitReason,
        /// Place in the order of all waiting requests, from 0.
        place: usize,
        /// Number of waiting requests, including this one.
        waiting: usize,
        /// Time left until the deadline.
        left: Duration,
        /// Time until the expected release; `None` if unknown.
        expected: Option<Duration>,
    },
    /// A waiting request is sent to a backend server again.
    WaitReleased {
        /// Id of the request.
        request: Arc<str>,
        /// Service of the request.
        service: ServiceName,
        /// Why the request waited.
        reason: WaitReason,
        /// Time that the request waited.
        waited: Duration,
        /// Time left until the deadline.
        left: Duration,
    },
    /// A request ended while it waited.
    WaitEnded {
        /// Id of the request.
        request: Arc<str>,
        /// Service of the request.
        service: ServiceName,
        /// Why the request waited.
        reason: WaitReason,
        /// Why the wait ended.
        end: WaitEnd,
        /// Time that the request waited.
        waited: Duration,
        /// Time left until the deadline.
        left: Duration,
    },
    /// A service started to decline much of its work, or accepts work again.
    DecliningChanged {
        /// Name of the service.
        service: ServiceName,
        /// Whether the service declines from now on.
        declining: bool,
        /// Arrivals on which the decision is based.
        counts: DeclineCounts,
        /// Number of requests that wait, for any service.
        waiting: usize,
    },
    /// A second attempt was sent before the first one ended.
    HedgeSent {
        /// Id of the request.
        request: Arc<str>,
        /// Service of the request.
        service: ServiceName,
        /// Upstream of the second attempt.
        to: UpstreamId,
    },
    /// A second attempt returned the reply while the first was still open.
    HedgeWon {
        /// Id of the request.
        request: RequestId,
        /// Service of the request.
        service: ServiceName,
    },
    /// An attempt was no longer needed and is cancelled.
    CancelSent {
        /// Id of the request.
        request: Arc<str>,
        /// Service of the request.
        service: ServiceName,
        /// Upstream of the attempt.
        to: UpstreamId,
    },
    /// A reply was incomplete or belonged to another request, and was dropped.
    ReplyRejected {
        /// Id of the request.
        request: Arc<str>,
        /// Service of the request.
        service: ServiceName,
        /// Upstream that sent the reply.
        from: UpstreamId,
    },
    /// A reply arrived after its request was answered, and was dropped.
    ReplyLate {
        /// Id of the request.
        request: RequestId,
    },
    /// A resend was answered with the stored reply of the first send.
    ReplyReplayed {
        /// Id of the resend.
        request: RequestId,
        /// Whether the reply itself was still stored; if not, the answer only says that the request
        /// ran.
        whole: bool,
    },
    /// A keyed request reached an upstream, and whether it ran is unknown.
    RunUnproven {
        /// Id of the request.
        request: Arc<str>,
        /// Service of the request.
        service: ServiceName,
    },
    /// An executor refused a dispatch whose grant is not in force.
    FenceHeld {
        /// Id of the request.
        request: RequestId,
    },
    /// Failure detection changed its view of an upstream or a service.
    Pool {
        /// Service of the pool.
        service: ServiceName,
        /// Finding reported by the pool.
        finding: PoolFinding,
    },
    /// A note of the at-most-once guard.
    Guard(GuardNote),
    /// Instance of a member that joined.
    MemberUp(InstanceId),
    /// A member left or was found dead.
    MemberDown {
        /// Instance of the member.
        instance: InstanceId,
        /// Why the member is gone.
        cause: DownCause,
    },
    /// A note of the membership protocol.
    Roster(RosterNote),
    /// This node continues under a higher incarnation.
    IncarnationRaised(InstanceId),
    /// A newer incarnation of this node runs elsewhere, and this one stops.
    Superseded(InstanceId),
    /// A contract change was read from the log and is in force here.
    ContractAccepted {
        /// Offset of the record in the contract stream.
        offset: u64,
        /// Customer of the contract.
        customer: CustomerName,
        /// Version now in force.
        version: ContractVersion,
    },
    /// An attempt was sent.
    AttemptSent {
        /// Request id given by the caller, or the one that the fleet generated.
        label: Arc<str>,
        /// Number of the attempt within its request, from 0.
        number: u16,
        /// Target of the attempt.
        to: UpstreamId,
        /// Service of the request.
        service: ServiceName,
        /// Path prefix of the route that selected the service.
        prefix: Arc<str>,
        /// Version of the contract that contains the route.
        version: ContractVersion,
        /// Time left until the deadline.
        left: Duration,
        /// State of the upstream when it was selected; `None` if the pool did not know it.
        view: Option<UpstreamView>,
        /// Expected time to the reply; `None` where no capacity reports are known.
        expected: Option<ExpectedTime>,
    },
    /// The node beside an upstream accepted or refused offered work.
    WorkDecided {
        /// Request id given by the caller, or the one that the fleet generated.
        label: Arc<str>,
        /// Number of the attempt within its request, from 0.
        number: u16,
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the request.
        service: ServiceName,
        /// Code of the refusal; `None` if the work may run or wait for a slot.
        refused: Option<RefusalCode>,
        /// Load of the upstream.
        load: LoadHint,
        /// Odds in nats that the upstream fails part of its requests.
        odds: f64,
        /// Time left until the deadline.
        left: Duration,
        /// State of the bound on repeats; `None` unless this is a repeat that its server counts.
        repeat_budget: Option<RepeatBudgetView>,
        /// Decision of the deadline queue; `None` if the work did not have to wait there or starts
        /// now.
        queue: Option<QueueStep>,
    },
    /// Work in a deadline queue can no longer meet its objective and waits as late.
    WorkBecameLate {
        /// Request id given by the caller, or the one that the fleet generated.
        label: Arc<str>,
        /// Number of the attempt within its request, from 0.
        number: u16,
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the request.
        service: ServiceName,
        /// Time since the work was offered.
        waited: Duration,
        /// Time left until the deadline.
        left: Duration,
    },
    /// Work ended at an upstream.
    WorkDone {
        /// Request id given by the caller, or the one that the fleet generated.
        label: Arc<str>,
        /// Number of the attempt within its request, from 0.
        number: u16,
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the request.
        service: ServiceName,
        /// End of the work at the backend server, as the executor saw it.
        end: WorkEnd,
        /// HTTP status of a complete reply; `None` otherwise.
        status: Option<u16>,
        /// Time that the work waited for a slot.
        waited: Duration,
        /// Time that the backend server took.
        took: Duration,
    },
    /// The breaker beside an upstream started or stopped rejecting work.
    BreakerChanged {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the upstream.
        service: ServiceName,
        /// Whether work is rejected from now on.
        suspect: bool,
        /// Result of the run that caused the change; `None` if time passed caused it.
        kind: Option<SampleKind>,
        /// Odds in nats that the upstream fails part of its requests.
        odds: f64,
    },
    /// A newer fleet contract is in force.
    FleetContractAdopted {
        /// Version now in force.
        version: u64,
        /// Version that was replaced; 0 for none.
        before: u64,
        /// Peer that sent the contract; `None` if it came from the source.
        from: Option<InstanceId>,
        /// Time since this node first learned of the version; `None` unless it is the newest known
        /// version.
        known_for: Option<Duration>,
    },
    /// The fleet contract was sent to a peer.
    FleetContractSent {
        /// Receiver of the contract.
        to: InstanceId,
        /// Version that was sent.
        version: u64,
        /// Version that the receiver had; 0 for none.
        newer_than: u64,
        /// Size of the encoded contract.
        bytes: usize,
    },
    /// A peer sent a fleet contract.
    FleetContractReceived {
        /// Sender of the contract.
        from: InstanceId,
        /// Version in force when it arrived; 0 for none.
        before: u64,
        /// Size of the encoded contract.
        bytes: usize,
        /// Whether it was put into force.
        applied: bool,
    },
    /// This node started or stopped following the source of fleet contracts.
    SourceFollowed {
        /// Whether it now follows the source.
        follow: bool,
        /// Version in force.
        version: u64,
        /// Number of present members in the roster, including this node.
        members: usize,
    },
    /// A contract change in the log has no effect.
    ContractRejected {
        /// Offset of the record in the contract stream.
        offset: u64,
        /// Why the change was rejected.
        reason: String,
    },
    /// A record of the contract stream cannot be decoded.
    PoisonRecord {
        /// Offset of the record in the contract stream.
        offset: u64,
        /// Why decoding failed.
        reason: String,
    },
    /// Contracts that were carried forward were read from the log.
    ContractsCarriedForward {
        /// Offset of the record in the contract stream.
        offset: u64,
    },
    /// Contracts will soon be dropped by the log and were not carried forward. Repeated at each
    /// check while this lasts.
    CarriesOverdue {
        /// Number of these contracts.
        late: usize,
    },
    /// A peer has newer contracts that the log does not return; they are requested from peers.
    ContractsBehind {
        /// Offset up to which this node has the contracts.
        offset: u64,
        /// Offset reported by a peer.
        head: u64,
    },
    /// A peer or a record contains incorrect information about contracts.
    ContractFinding(SettingFinding),
    /// Contracts were received from a peer.
    ContractsAdopted {
        /// Peer that sent the contracts.
        from: InstanceId,
        /// Contract offset that the peer had reached.
        offset: u64,
    },
    /// The platform's log became reachable or unreachable.
    LogReachable(bool),
    /// A request that crashed backend servers was stopped.
    CrashRequestStopped {
        /// Id of the request.
        request: RequestId,
    },
    /// A local backend server announced itself.
    UpstreamAnnounced {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the upstream.
        service: ServiceName,
    },
    /// A local backend server accepts work.
    UpstreamReady {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the upstream.
        service: ServiceName,
    },
    /// A local backend server reported a limit on the requests that it gets, another one, or none
    /// any more.
    ServerLimitChanged {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the upstream.
        service: ServiceName,
        /// Requests per second; `None` if it reports no limit any more.
        rate: Option<f64>,
        /// Time since it first reported a limit.
        limited_for: Duration,
    },
    /// The learned concurrency limit of a local backend server changed.
    ConcurrencyLimitChanged {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the upstream.
        service: ServiceName,
        /// The change, and what it was decided from.
        change: LimitChange,
    },
    /// Work was refused at a backend server that limits the requests that it gets.
    ServerLimitHeld {
        /// Service of the upstream.
        service: ServiceName,
    },
    /// A local backend server lacks repeats and asks another one for some.
    LoanAsked {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the upstream.
        service: ServiceName,
        /// Node that is asked.
        lender: InstanceId,
        /// Number of repeats asked for.
        wanted: u64,
        /// Whole repeats left here.
        balance: u64,
        /// Repeats requested here in the last second.
        demand: u64,
    },
    /// The local backend servers were asked for repeats. None were lent if `repeats` is 0.
    LoanAnswered {
        /// Service of the upstreams.
        service: ServiceName,
        /// Node that asked.
        borrower: InstanceId,
        /// Number of repeats asked for.
        wanted: u32,
        /// Number of repeats lent.
        repeats: u32,
        /// Whole repeats left here after that.
        balance: u64,
        /// Repeats requested here in the last second.
        demand: u64,
    },
    /// A local backend server got the answer to its ask. None were lent if `repeats` is 0.
    LoanReceived {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the upstream.
        service: ServiceName,
        /// Node that answered.
        lender: InstanceId,
        /// Number of repeats lent.
        repeats: u32,
        /// Whole repeats left here, with the borrowed ones.
        balance: u64,
    },
    /// A message about a loan was dropped.
    LoanDropped {
        /// Service of the upstreams.
        service: ServiceName,
        /// Sender.
        from: InstanceId,
        /// Why it was dropped.
        reason: String,
    },
    /// Borrowed repeats were not used before their loan ended.
    LoanEnded {
        /// Service of the upstream.
        service: ServiceName,
        /// Number of repeats.
        repeats: u64,
    },
    /// A local backend server is leaving.
    UpstreamLeaving {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the upstream.
        service: ServiceName,
    },
    /// The announcement of a local backend server expired.
    UpstreamLapsed {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the upstream.
        service: ServiceName,
    },
    /// An incarnation of a local backend server that is not the current one announced itself.
    RivalAnnounced {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service that the incarnation announced.
        service: ServiceName,
        /// Name of the incarnation.
        rival: Arc<str>,
        /// Name of the current incarnation.
        current: Arc<str>,
        /// Reason for which it takes the place of the current one; `None` if it does not.
        reason: Option<TakeoverReason>,
    },
    /// A local backend server crashed while it ran work.
    UpstreamCrashed {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the upstream.
        service: ServiceName,
    },
    /// A local backend server is gone and has nothing in flight.
    UpstreamGone {
        /// Id of the upstream.
        id: UpstreamId,
        /// Service of the upstream.
        service: ServiceName,
    },
    /// A refused caller was advised when to retry.
    ReturnAdvised {
        /// Request id given by the caller, or the one that the fleet generated.
        request: Arc<str>,
        /// Service of the request.
        service: ServiceName,
        /// The advice.
        advice: ReturnAdvice,
        /// Capacity of the service that the advice is based on.
        outlook: ServiceOutlook,
    },
    /// A peer sent an implausible capacity record, which was dropped. At most one per second and
    /// sender.
    CapacityReportInvalid {
        /// Sender of the report, which need not be the node beside the upstream.
        from: InstanceId,
        /// Service of the upstream.
        service: ServiceName,
        /// Id of the upstream.
        id: UpstreamId,
        /// The implausible value.
        error: CapacityError,
    },
}

/// Why the wait of a request ended without a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// The time left does not suffice for a run.
    Expired,
    /// The queue was full, and a request went before this one.
    Displaced,
    /// The caller disconnected.
    CallerGone,
    /// The node started to drain.
    Draining,
    /// A new contract switched the caller queue off.
    SwitchedOff,
}

impl WaitEnd {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::Displaced => "displaced",
            Self::CallerGone => "caller-gone",
            Self::Draining => "draining",
            Self::SwitchedOff => "switched-off",
        }
    }
}

/// The outcome of one request.
#[derive(Clone, Debug)]
pub struct RequestSummary {
    /// Request id given by the caller, or the one that the fleet generated.
    pub label: Arc<str>,
    /// Id that this node assigned to the request.
    pub request: RequestId,
    /// Customer of the request; `None` if no contract matched.
    pub customer: Option<CustomerName>,
    /// Service of the request; `None` if no route matched.
    pub service: Option<ServiceName>,
    /// The refusal; `None` when a reply was forwarded.
    pub refusal: Option<RequestRefusal>,
    /// HTTP status of the forwarded reply.
    pub status: Option<u16>,
    /// Time from the arrival to the start of the final answer.
    pub latency: std::time::Duration,
    /// Number of attempts that were sent.
    pub attempts: u16,
    /// Number of attempts that were refused as overloaded by the node beside the upstream.
    pub overloaded_offers: u16,
    /// The forecast that refused the request; `None` otherwise.
    pub forecast: Option<RefusedForecast>,
}
