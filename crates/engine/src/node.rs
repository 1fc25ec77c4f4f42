//! The engine of one node: its state, event dispatch and timers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{ContractBook, ContractVersion, RouteTable, SnapshotAssembly};
use sycamorelink_core::{AttemptId, InstanceId, NodeId, RequestId, ServiceName, UpstreamId};
use sycamorelink_guard::{GuardIdentity, GuardNode};
use sycamorelink_limits::crash::CrashVictim;
use sycamorelink_limits::{
    CrashRegistry, CustomerIndex, HolderCount, RefusalWindow, RetryBudget, ReturnPacer,
    ServiceTimes, ShareMember, ShareNode, WorkId,
};
use sycamorelink_policy::{CallRates, ServicePool};
use sycamorelink_roster::{MemberFacts, NodeRoster, RosterEvent};

use crate::caller_queue::WaitState;
use crate::capacity::CapacityExchange;
use crate::command::NodeCommand;
use crate::discovery::DiscoveryState;
use crate::dispatch::OVERDUE_AVOIDANCE;
use crate::event::NodeEvent;
use crate::fencing::FenceMark;
use crate::fleet::{ContractMode, FleetState};
use crate::joining::JoinState;
use crate::leaving::LeavingRecords;
use crate::limit_records::LimitRecords;
use crate::local_upstream::LocalUpstream;
use crate::quotas::QuotaState;
use crate::repeat_loans::LoanState;
use crate::request::{RequestState, WorkState};
use crate::settings::EngineSettings;

/// Interval of the periodic work.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a leaving backend server accepts work from peers that still list it as ready.
pub(crate) const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// Retry, resend and hedge budgets of one customer at one service.
#[derive(Debug)]
pub(crate) struct CustomerBudgets {
    pub(crate) retries: RetryBudget,
    /// Budget for new attempts after the backend server declined to run one.
    pub(crate) resends: RetryBudget,
    pub(crate) hedges: RetryBudget,
}

/// Purpose of a request timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerPurpose {
    /// Deadline of the request.
    Deadline,
    /// Second attempt, unless the first has ended.
    Hedge,
    /// Next attempt to take a share of the limits.
    Share,
    /// End of the wait for a `FenceAnswer` about a lost attempt.
    Fence,
}

/// Progress of a leaving node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HandoverState {
    /// The node still holds its guard seats, the replicas of the at-most-once records.
    #[default]
    SeatsHeld,
    /// The guard seats are handed over.
    SeatsHandedOver,
    /// Nothing is in flight either, and the daemon was notified.
    Drained,
}

/// The decision logic of one node, with all its state.
#[derive(Debug)]
pub struct NodeEngine {
    pub(crate) own: MemberFacts,
    pub(crate) settings: EngineSettings,
    pub(crate) seed: u64,
    pub(crate) book: ContractBook,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) in_force: BTreeMap<CustomerIndex, ContractVersion>,
    pub(crate) fleet: FleetState,
    pub(crate) discovery: DiscoveryState,
    pub(crate) joining: JoinState,
    pub(crate) quotas: QuotaState,
    pub(crate) leaving_records: LeavingRecords,
    pub(crate) limit_records: LimitRecords,
    pub(crate) capacity: CapacityExchange,
    /// Sources of retry delays, by service of the contract in force.
    pub(crate) return_pacers: BTreeMap<ServiceName, ReturnPacer>,
    /// Run times of the services by kind, for the speed of the local backend servers.
    pub(crate) service_times: BTreeMap<ServiceName, ServiceTimes>,
    pub(crate) loans: LoanState,
    pub(crate) roster: NodeRoster,
    pub(crate) guard: GuardNode,
    pub(crate) shares: ShareNode,
    pub(crate) share_queue: BTreeMap<CustomerIndex, BTreeSet<RequestId>>,
    pub(crate) crash: CrashRegistry,
    pub(crate) pools: BTreeMap<ServiceName, ServicePool>,
    /// Time of the latest request for each service.
    pub(crate) pool_used: BTreeMap<ServiceName, Duration>,
    pub(crate) budgets: BTreeMap<(CustomerIndex, ServiceName), CustomerBudgets>,
    pub(crate) upstreams: BTreeMap<u16, LocalUpstream>,
    /// Attempts that were started or refused here, and when each entry expires.
    pub(crate) fences: BTreeMap<AttemptId, (FenceMark, Duration)>,
    /// Upstreams of other nodes that are not selected for the moment, and until when.
    pub(crate) avoided_upstreams: BTreeMap<UpstreamId, Duration>,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    /// Requests that wait until a backend server is likely to accept them.
    pub(crate) waits: WaitState,
    /// Recent refusals to callers of this node, where overload control applies.
    pub(crate) refusals: BTreeMap<ServiceName, RefusalWindow>,
    pub(crate) works: BTreeMap<WorkId, WorkState>,
    /// Work that waits for a turn to run, by the number of its request to the crash registry.
    pub(crate) awaiting_turn: BTreeMap<u64, WorkId>,
    /// Work whose failure is reported once the other executors acknowledged the crash report.
    pub(crate) held_failures: BTreeMap<CrashVictim, Vec<WorkId>>,
    pub(crate) timers: BTreeSet<(Duration, TimerPurpose, RequestId)>,
    pub(crate) next_tick: Duration,
    pub(crate) next_pull: Duration,
    pub(crate) log_reachable: bool,
    pub(crate) log_oldest: u64,
    pub(crate) contract_head: u64,
    pub(crate) next_carry: Duration,
    /// Counter by which peers are asked in rotation.
    pub(crate) peer_rotation: usize,
    pub(crate) assembly: Option<SnapshotAssembly>,
    /// Wall-clock time since the Unix epoch at the node's own time zero.
    pub(crate) wall_at_start: Duration,
    /// Next contract offset of each peer, as last reported.
    pub(crate) contract_offsets: BTreeMap<NodeId, u64>,
    pub(crate) share_members: BTreeMap<NodeId, ShareMember>,
    /// Instances that announced their departure. Kept so that a peer that missed the announcement
    /// does not add them again.
    pub(crate) departed_share_members: BTreeSet<InstanceId>,
    pub(crate) roster_version: u64,
    pub(crate) roster_settled: u64,
    pub(crate) roster_changed_at: Duration,
    pub(crate) roster_digest: u64,
    pub(crate) digests: BTreeMap<InstanceId, u64>,
    pub(crate) next_digest: Duration,
    pub(crate) next_anchor: Duration,
    /// Time at which this node began to leave.
    pub(crate) draining: Option<Duration>,
    pub(crate) last_request: Duration,
    /// Rates at which each kind of work on the local backend servers makes calls.
    pub(crate) call_rates: CallRates,
    /// Number of servers among which the bound on repeats of each service is divided.
    pub(crate) holder_counts: BTreeMap<ServiceName, HolderCount>,
    pub(crate) next_holder_count: Duration,
    /// Time of the latest failed answer to a request without an account. Such a request may be a
    /// call made by the backend server beside this node.
    pub(crate) last_failed_call: Option<Duration>,
    pub(crate) handover: HandoverState,
    pub(crate) leaving_ticks: u32,
    /// Replies that are not written completely, as last reported.
    pub(crate) open_replies: usize,
    /// Whether peers were notified that this node ended.
    departed: bool,
    /// When the waiting requests of this leaving node were recalled; `None` before.
    pub(crate) recalled_at: Option<Duration>,
    /// Time of the latest event.
    pub(crate) now: Duration,
    /// Gossip addresses of other nodes; `None` once the membership has them.
    initial_seeds: Option<Vec<SocketAddr>>,
}

impl NodeEngine {
    /// Returns an engine whose only member is the node itself.
    ///
    /// `wall_at_start` is the wall-clock time since the Unix epoch at the node's own time zero.
    #[must_use]
    pub fn new(
        own: MemberFacts,
        settings: EngineSettings,
        wall_at_start: Duration,
        seed: u64,
    ) -> Self {
        let identity = GuardIdentity {
            instance: own.instance,
            domain: own.domain.clone(),
            wall_at_start,
        };
        let first_peer = usize::try_from(own.instance.node.0 ^ seed).unwrap_or(0);
        let roster = NodeRoster::new(settings.roster.clone(), own.clone(), seed);
        let quotas = QuotaState::new(settings.quota, seed);
        let fleet = FleetState::new(settings.first_start, seed);
        let loans = LoanState::new(own.instance, seed);
        let discovery = DiscoveryState::new(settings.first_start);
        let capacity = CapacityExchange::new(own.instance.node, seed);
        let looks_up_leaving = settings.contracts == ContractMode::Fleet && !settings.first_start;
        let leaving_records = if looks_up_leaving {
            LeavingRecords::default()
        } else {
            LeavingRecords::without_lookup()
        };
        let waits = WaitState::new(&settings.overload);
        Self {
            guard: GuardNode::new(identity, settings.guard.clone(), seed),
            shares: ShareNode::new(own.instance, settings.share.clone()),
            crash: CrashRegistry::new(own.instance, settings.crash.clone()),
            roster,
            own,
            settings,
            seed,
            book: ContractBook::new(),
            table: Arc::default(),
            in_force: BTreeMap::new(),
            fleet,
            discovery,
            joining: JoinState::default(),
            quotas,
            leaving_records,
            limit_records: LimitRecords::default(),
            capacity,
            return_pacers: BTreeMap::new(),
            service_times: BTreeMap::new(),
            loans,
            share_queue: BTreeMap::new(),
            pools: BTreeMap::new(),
            pool_used: BTreeMap::new(),
            budgets: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            fences: BTreeMap::new(),
            avoided_upstreams: BTreeMap::new(),
            requests: BTreeMap::new(),
            waits,
            refusals: BTreeMap::new(),
            works: BTreeMap::new(),
            awaiting_turn: BTreeMap::new(),
            held_failures: BTreeMap::new(),
            timers: BTreeSet::new(),
            next_tick: Duration::ZERO,
            next_pull: Duration::ZERO,
            log_reachable: false,
            log_oldest: 0,
            contract_head: 0,
            next_carry: Duration::ZERO,
            // Nodes that start together begin with different peers, which spreads their first
            // pulls.
            peer_rotation: first_peer,
            assembly: None,
            wall_at_start,
            contract_offsets: BTreeMap::new(),
            share_members: BTreeMap::new(),
            departed_share_members: BTreeSet::new(),
            roster_version: 1,
            roster_settled: 0,
            roster_changed_at: Duration::ZERO,
            roster_digest: 0,
            digests: BTreeMap::new(),
            next_digest: Duration::ZERO,
            next_anchor: Duration::ZERO,
            draining: None,
            last_request: Duration::ZERO,
            call_rates: CallRates::default(),
            holder_counts: BTreeMap::new(),
            next_holder_count: Duration::ZERO,
            last_failed_call: None,
            handover: HandoverState::default(),
            leaving_ticks: 0,
            open_replies: 0,
            departed: false,
            recalled_at: None,
            now: Duration::ZERO,
            initial_seeds: Some(Vec::new()),
        }
    }

    /// Sets the gossip addresses of other nodes through which this node joins the fleet.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.initial_seeds = Some(seeds);
        self
    }

    /// Processes one event at `now`, the time since the node started, and appends the resulting
    /// commands to `out`.
    pub fn handle(&mut self, now: Duration, event: NodeEvent, out: &mut Vec<NodeCommand>) {
        self.now = now;
        let earlier = out.len();
        match event {
            NodeEvent::Tick => self.on_tick(now, out),
            NodeEvent::RequestArrived(caller) => self.on_request(now, caller, out),
            NodeEvent::BodyRead {
                request,
                fingerprint,
            } => {
                self.on_body(now, request, fingerprint, out);
            }
            NodeEvent::BodyNotKept { request } => self.on_body_not_kept(request),
            NodeEvent::CallerGone { request } => self.on_caller_gone(now, request, out),
            NodeEvent::AttemptEnded(report) => self.on_attempt_ended(now, &report, out),
            NodeEvent::WorkOffered(offer) => self.on_work_offered(now, offer, out),
            NodeEvent::WorkCancelled { work } => self.on_work_cancelled(now, work, out),
            NodeEvent::WorkConnectionLost { work } => self.on_work_connection_lost(now, work, out),
            NodeEvent::ServerNoticed { work, notice } => {
                self.on_server_notice(now, work, notice, out);
            }
            NodeEvent::WorkEnded(report) => self.on_work_ended(now, &report, out),
            NodeEvent::OpenReplies { count } => self.open_replies = count,
            NodeEvent::PeerReceived { from, message } => {
                self.on_peer_message(now, from, message, out);
            }
            NodeEvent::DatagramReceived { from, message } => {
                self.handle_roster_event(now, RosterEvent::Datagram { from, message }, out);
            }
            NodeEvent::SeedsFound(seeds) => {
                self.handle_roster_event(now, RosterEvent::Seeds(seeds), out);
            }
            NodeEvent::PeerUnreachable { node } => {
                self.handle_roster_event(now, RosterEvent::Unreachable { node }, out);
            }
            NodeEvent::PeerUnresponsive { node } => self.avoid_node(now, node, OVERDUE_AVOIDANCE),
            NodeEvent::PeerReconnected { node } => self.on_reconnected(now, node, out),
            NodeEvent::UpstreamAnnounced(announced) => self.on_announced(now, announced, out),
            NodeEvent::UpstreamWithdrawn { slot, life } => {
                self.on_withdrawal(now, slot, life.as_ref(), out);
            }
            NodeEvent::LogRead {
                stream,
                first,
                next,
                records,
            } => {
                self.on_log_read(now, stream, (first, next), &records, out);
            }
            NodeEvent::LogCurrent { stream, whole } => self.on_log_current(now, stream, whole, out),
            NodeEvent::LogGap { stream, first } => self.on_log_gap(now, stream, first, out),
            NodeEvent::FleetContract(contract) => self.apply_contract(now, contract, None, out),
            NodeEvent::DirectoryRead { entries } => self.on_directory_read(entries),
            NodeEvent::LeavingServersRead(servers) => {
                self.on_leaving_servers_read(now, servers, out);
            }
            NodeEvent::LogReachable(reachable) => self.on_log_reachable(now, reachable, out),
            NodeEvent::ContractReadBack { offset, bytes } => self.on_read_back(offset, &bytes),
            NodeEvent::DrainRequested => self.on_drain(now, out),
            NodeEvent::Resumed => {
                self.drop_capacity_records(now);
                self.on_resumed(out);
            }
            NodeEvent::Departed => {
                self.departed = true;
                self.handle_roster_event(now, RosterEvent::Depart, out);
            }
        }
        self.check_drained(now, out);
        self.count_refusals(now, out.get(earlier..).unwrap_or_default());
    }

    /// Returns the time at which the next `Tick` is due, as time since the node started.
    ///
    /// The membership of a departed node ignores ticks and would stay due forever, so the daemon
    /// would call the engine in a busy loop. The result therefore excludes the membership after a
    /// departure.
    #[must_use]
    pub fn next_wake(&self) -> Duration {
        let timer = self.timers.first().map(|(at, ..)| *at);
        let guard = self.next_guard_wake();
        let roster = (!self.departed).then(|| self.roster.next_wake());
        [timer, guard, roster]
            .into_iter()
            .flatten()
            .fold(self.next_tick, Duration::min)
    }

    /// Returns the instance of this node, with its incarnation.
    #[must_use]
    pub fn own_instance(&self) -> InstanceId {
        self.own.instance
    }

    /// Returns the compiled contracts in force.
    #[must_use]
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Returns the contracts as read from the log.
    #[must_use]
    pub fn book(&self) -> &ContractBook {
        &self.book
    }

    /// Returns whether requests can be served: contracts are known and the node is not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.draining.is_none() && self.has_contracts()
    }

    /// Returns the number of requests and pieces of work in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.works.len()
    }

    fn on_tick(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if let Some(seeds) = self.initial_seeds.take() {
            // Under a fleet contract the seeds come from a directory. If an empty list counted as
            // joined, the node would receive the whole membership only slowly.
            if !seeds.is_empty() || !self.uses_fleet_contract() {
                self.handle_roster_event(now, RosterEvent::Seeds(seeds), out);
            }
            let member = ShareMember {
                instance: self.own.instance,
                domain: self.own.domain.clone(),
            };
            self.share_members.insert(member.instance.node, member);
            self.roster_changed(now, out);
        }
        self.run_timers(now, out);
        if self.roster.next_wake() <= now {
            self.handle_roster_event(now, RosterEvent::Tick, out);
        }
        if self.next_guard_wake().is_some_and(|at| at <= now) {
            self.handle_guard_event(now, sycamorelink_guard::GuardEvent::Tick, out);
        }
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        self.leaving_ticks += u32::from(self.draining.is_some());
        self.settle_roster(now, out);
        self.tick_shares(now, out);
        self.tick_pools(now, out);
        self.tick_health(now, out);
        self.tick_gates(now, out);
        self.tick_crash(now, out);
        self.forget_fences(now);
        self.expire_upstreams(now, out);
        if self.uses_fleet_contract() {
            self.tick_leaving_servers(now, out);
            self.tick_discovery(now, out);
            self.tick_joining(now, out);
            self.update_following(now, out);
            self.tick_contact(now, out);
            self.pull_fleet_contract(now, out);
            self.tick_quotas(now, out);
            self.tick_holder_counts(now);
            self.tick_capacity(now, out);
            self.tick_repeat_loans(now, out);
            self.tick_caller_queue(now, out);
            self.expire_refusals(now);
            self.recall_waiting(now, out);
        } else {
            self.maintain_contracts(now, out);
            self.pull_contracts(now, out);
        }
    }

    fn run_timers(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        while let Some(&(at, purpose, request)) = self.timers.first() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            match purpose {
                TimerPurpose::Deadline => self.on_deadline(now, request, out),
                TimerPurpose::Hedge => self.on_hedge(now, request, out),
                TimerPurpose::Share => self.try_share(now, request, out),
                TimerPurpose::Fence => self.on_fence_answer(now, request, None, false, out),
            }
        }
    }
}
