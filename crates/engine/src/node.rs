//! The node: its parts, and the way of an event through them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{ContractBook, ContractVersion, RouteTable, SnapshotAssembly};
use sycamorelink_core::{AttemptId, InstanceId, NodeId, RequestId, ServiceName, UpstreamId};
use sycamorelink_guard::{GuardIdentity, GuardNode};
use sycamorelink_limits::crash::CrashVictim;
use sycamorelink_limits::{
    CrashRegistry, CustomerIndex, HolderCount, RetryBudget, ShareMember, ShareNode, SlotGate,
    WorkId,
};
use sycamorelink_policy::{CallRates, ServicePool, UpstreamBreaker};
use sycamorelink_roster::{MemberFacts, NodeRoster, RosterEvent};

use crate::command::NodeCommand;
use crate::dispatch::QUIET_FOR;
use crate::event::{LifeId, NodeEvent, UpstreamAnnouncement};
use crate::fencing::FenceMark;
use crate::fleet::{ContractForm, FleetState};
use crate::joining::JoinState;
use crate::leaving::LeavingRecords;
use crate::meeting::MeetingState;
use crate::quotas::QuotaState;
use crate::repeats::RepeatPots;
use crate::request::{RequestState, WorkState};
use crate::settings::EngineSettings;
use crate::standing::ToldStanding;

/// Time between two runs of the periodic work.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How long the news of a leaving node takes to reach every peer.
pub(crate) const LEAVE_NEWS: Duration = Duration::from_secs(2);
/// How long callers must have been quiet before a leaving node stops.
pub(crate) const LEAVE_QUIET: Duration = Duration::from_millis(500);
/// Runs of the periodic work, ten a second, in which a leaving node looks for takers of its seats.
/// Time in which it stood still does not count.
pub(crate) const HANDOVER_TICKS: u32 = 100;
/// How long a leaving backend server still takes work from peers that have not heard of it.
pub(crate) const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// Budgets of one customer at one service.
#[derive(Debug)]
pub(crate) struct BudgetPair {
    pub(crate) retries: RetryBudget,
    /// Sends after one that the backend server turned away unrun.
    pub(crate) resends: RetryBudget,
    pub(crate) hedges: RetryBudget,
}

/// A backend server beside this node.
#[derive(Debug)]
pub(crate) struct LocalUpstream {
    pub(crate) announced: UpstreamAnnouncement,
    pub(crate) gate: SlotGate,
    pub(crate) breaker: UpstreamBreaker,
    /// Repeats that it may be handed; none before the first.
    pub(crate) repeats: Option<RepeatPots>,
    /// What callers' nodes were last told of it.
    pub(crate) told: Option<ToldStanding>,
    /// When the announcement lapses unless it is renewed.
    pub(crate) lapses: Duration,
    /// When a leaving backend server takes no more work.
    pub(crate) closes: Option<Duration>,
    /// Counts the lives of the backend server.
    pub(crate) life: u64,
    /// Whether it may be given work.
    pub(crate) up: bool,
    /// Lives that ended, newest last.
    pub(crate) ended: Vec<LifeId>,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerPurpose {
    /// The request's deadline.
    Deadline,
    /// A second attempt, unless the first has ended.
    Hedge,
    /// Another try for a share of the limits.
    Share,
    /// The end of the wait for word of a lost attempt.
    Fence,
}

/// How far a leaving node is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HandoverState {
    /// Its seats of the guard are not handed over.
    #[default]
    SeatsHeld,
    /// They are.
    SeatsGiven,
    /// Nothing is in flight either; the daemon was told.
    Drained,
}

/// One node's decisions.
#[derive(Debug)]
pub struct NodeEngine {
    pub(crate) own: MemberFacts,
    pub(crate) settings: EngineSettings,
    pub(crate) seed: u64,
    pub(crate) book: ContractBook,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) in_force: BTreeMap<CustomerIndex, ContractVersion>,
    pub(crate) fleet: FleetState,
    pub(crate) meeting: MeetingState,
    pub(crate) joining: JoinState,
    pub(crate) quotas: QuotaState,
    pub(crate) leavings: LeavingRecords,
    pub(crate) roster: NodeRoster,
    pub(crate) guard: GuardNode,
    pub(crate) shares: ShareNode,
    pub(crate) share_queue: BTreeMap<CustomerIndex, BTreeSet<RequestId>>,
    pub(crate) crash: CrashRegistry,
    pub(crate) pools: BTreeMap<ServiceName, ServicePool>,
    /// When a request last asked for a service.
    pub(crate) pool_used: BTreeMap<ServiceName, Duration>,
    pub(crate) budgets: BTreeMap<(CustomerIndex, ServiceName), BudgetPair>,
    pub(crate) upstreams: BTreeMap<u16, LocalUpstream>,
    /// Attempts that were begun or refused here, and until when that is remembered.
    pub(crate) fences: BTreeMap<AttemptId, (FenceMark, Duration)>,
    /// Upstreams of other nodes that hold work off, and until when they are not asked again.
    pub(crate) held_off: BTreeMap<UpstreamId, Duration>,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    pub(crate) works: BTreeMap<WorkId, WorkState>,
    pub(crate) turns: BTreeMap<u64, WorkId>,
    /// Work whose failure is told once the other executors know of the crash.
    pub(crate) held_works: BTreeMap<CrashVictim, Vec<WorkId>>,
    pub(crate) timers: BTreeSet<(Duration, TimerPurpose, RequestId)>,
    pub(crate) next_tick: Duration,
    pub(crate) next_pull: Duration,
    pub(crate) log_reachable: bool,
    pub(crate) log_oldest: u64,
    pub(crate) contract_head: u64,
    pub(crate) next_carry: Duration,
    pub(crate) pull_turn: usize,
    pub(crate) assembly: Option<SnapshotAssembly>,
    pub(crate) wall: Duration,
    pub(crate) heads: BTreeMap<NodeId, u64>,
    pub(crate) share_members: BTreeMap<NodeId, ShareMember>,
    /// Lives that said goodbye, so that no peer that missed it brings them back.
    pub(crate) share_left: BTreeSet<InstanceId>,
    pub(crate) roster_version: u64,
    pub(crate) roster_settled: u64,
    pub(crate) roster_changed_at: Duration,
    pub(crate) roster_digest: u64,
    pub(crate) digests: BTreeMap<InstanceId, u64>,
    pub(crate) next_digest: Duration,
    pub(crate) next_anchor: Duration,
    /// Since when this node leaves.
    pub(crate) draining: Option<Duration>,
    pub(crate) last_request: Duration,
    /// Which work of the backend servers beside this node makes calls.
    pub(crate) call_rates: CallRates,
    /// The number of servers among which the bound on repeats of each service is divided.
    pub(crate) holder_counts: BTreeMap<ServiceName, HolderCount>,
    pub(crate) next_holder_count: Duration,
    /// When a request without an account, which may be a call of the backend server beside this node, got a
    /// failure as its answer.
    pub(crate) call_failed: Option<Duration>,
    pub(crate) handover: HandoverState,
    leaving_ticks: u32,
    /// Whether peers were told that this node ended.
    departed: bool,
    /// Time of the newest event.
    pub(crate) now: Duration,
    first_seeds: Vec<SocketAddr>,
    seeded: bool,
}

impl NodeEngine {
    /// A node that knows nothing yet but itself.
    ///
    /// `wall` is the wall-clock time since the Unix epoch at the node's own time zero.
    #[must_use]
    pub fn new(own: MemberFacts, settings: EngineSettings, wall: Duration, seed: u64) -> Self {
        let identity = GuardIdentity {
            instance: own.instance,
            domain: own.domain.clone(),
            wall_at_start: wall,
        };
        let first_asked = usize::try_from(own.instance.node.0 ^ seed).unwrap_or(0);
        let roster = NodeRoster::new(settings.roster.clone(), own.clone(), seed);
        let quotas = QuotaState::new(settings.quota, seed);
        let fleet = FleetState::new(settings.first_start, seed);
        let meeting = MeetingState::new(settings.first_start);
        let recalls = settings.contracts == ContractForm::Fleet && !settings.first_start;
        let leavings = if recalls {
            LeavingRecords::default()
        } else {
            LeavingRecords::without_recall()
        };
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
            meeting,
            joining: JoinState::default(),
            quotas,
            leavings,
            share_queue: BTreeMap::new(),
            pools: BTreeMap::new(),
            pool_used: BTreeMap::new(),
            budgets: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            fences: BTreeMap::new(),
            held_off: BTreeMap::new(),
            requests: BTreeMap::new(),
            works: BTreeMap::new(),
            turns: BTreeMap::new(),
            held_works: BTreeMap::new(),
            timers: BTreeSet::new(),
            next_tick: Duration::ZERO,
            next_pull: Duration::ZERO,
            log_reachable: false,
            log_oldest: 0,
            contract_head: 0,
            next_carry: Duration::ZERO,
            // Nodes that start together begin with different peers, so that not all ask the same one.
            pull_turn: first_asked,
            assembly: None,
            wall,
            heads: BTreeMap::new(),
            share_members: BTreeMap::new(),
            share_left: BTreeSet::new(),
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
            call_failed: None,
            handover: HandoverState::default(),
            leaving_ticks: 0,
            departed: false,
            now: Duration::ZERO,
            first_seeds: Vec::new(),
            seeded: false,
        }
    }

    /// Gossip addresses of some other nodes, the way into the fleet.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.first_seeds = seeds;
        self
    }

    /// Takes one event at `now`, the time since the node started, and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: NodeEvent, out: &mut Vec<NodeCommand>) {
        self.now = now;
        match event {
            NodeEvent::Tick => self.on_tick(now, out),
            NodeEvent::RequestArrived(caller) => self.on_request(now, caller, out),
            NodeEvent::BodyRead {
                request,
                fingerprint,
            } => {
                self.on_body(now, request, fingerprint, out);
            }
            NodeEvent::CallerGone { request } => self.on_caller_gone(now, request, out),
            NodeEvent::AttemptEnded(report) => self.on_attempt_ended(now, &report, out),
            NodeEvent::WorkOffered(offer) => self.on_work_offered(now, offer, out),
            NodeEvent::WorkCancelled { work } => self.on_work_cancelled(now, work, out),
            NodeEvent::WorkBroke { work } => self.on_work_broke(now, work, out),
            NodeEvent::WorkEnded(report) => self.on_work_ended(now, &report, out),
            NodeEvent::PeerReceived { from, message } => {
                self.on_peer_message(now, from, message, out);
            }
            NodeEvent::DatagramReceived { from, message } => {
                self.tell_roster(now, RosterEvent::Datagram { from, message }, out);
            }
            NodeEvent::SeedsFound(seeds) => {
                self.tell_roster(now, RosterEvent::Seeds(seeds), out);
            }
            NodeEvent::PeerUnreachable { node } => {
                self.tell_roster(now, RosterEvent::Unreachable { node }, out);
            }
            NodeEvent::PeerQuiet { node } => self.hold_node_off(now, node, QUIET_FOR),
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
            NodeEvent::FleetContract(contract) => self.adopt_fleet(now, contract, None, out),
            NodeEvent::DirectoryRead { entries } => self.on_directory_read(entries),
            NodeEvent::LogReachable(reachable) => self.on_log_reachable(now, reachable, out),
            NodeEvent::ContractReadBack { offset, bytes } => self.on_read_back(offset, &bytes),
            NodeEvent::DrainRequested => self.on_drain(now, out),
            NodeEvent::Departed => {
                self.departed = true;
                self.tell_roster(now, RosterEvent::Depart, out);
            }
        }
        self.check_drained(now, out);
    }

    /// When the next `Tick` is due, as time since the node started.
    ///
    /// Failure: a node that said goodbye is woken without end until its process stops, because the
    /// membership no longer takes ticks and so stays due. It has nothing to do any more and is not
    /// asked.
    #[must_use]
    pub fn next_wake(&self) -> Duration {
        let timer = self.timers.first().map(|(at, ..)| *at);
        let guard = self.guard_wake();
        let roster = (!self.departed).then(|| self.roster.next_wake());
        [timer, guard, roster]
            .into_iter()
            .flatten()
            .fold(self.next_tick, Duration::min)
    }

    /// This life of this node.
    #[must_use]
    pub fn own_instance(&self) -> InstanceId {
        self.own.instance
    }

    /// The compiled contracts in force.
    #[must_use]
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// The contracts as read from the log.
    #[must_use]
    pub fn book(&self) -> &ContractBook {
        &self.book
    }

    /// Whether requests can be served: contracts are known, and the node is not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.draining.is_none() && self.knows_contracts()
    }

    /// Requests and pieces of work in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.works.len()
    }

    fn on_tick(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if !self.seeded {
            self.seeded = true;
            let seeds = std::mem::take(&mut self.first_seeds);
            // Under a fleet contract seeds are read from a directory. A node that took itself for joined
            // before it has any would take up the whole membership only slowly.
            if !seeds.is_empty() || !self.has_fleet_form() {
                self.tell_roster(now, RosterEvent::Seeds(seeds), out);
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
            self.tell_roster(now, RosterEvent::Tick, out);
        }
        if self.guard_wake().is_some_and(|at| at <= now) {
            self.tell_guard(now, sycamorelink_guard::GuardEvent::Tick, out);
        }
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        self.leaving_ticks += u32::from(self.draining.is_some());
        self.settle_roster(now, out);
        self.tick_shares(now, out);
        self.tick_pools(now, out);
        self.tick_standings(now, out);
        self.tick_gates(now, out);
        self.tick_crash(now, out);
        self.forget_fences(now);
        self.lapse_upstreams(now, out);
        if self.has_fleet_form() {
            self.tick_leavings(now, out);
            self.tick_meeting(now, out);
            self.tick_joining(now, out);
            self.choose_follower(now, out);
            self.tick_contact(now, out);
            self.pull_fleet(now, out);
            self.tick_quotas(now, out);
            self.tick_holder_counts(now);
        } else {
            self.keep_contracts(now, out);
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

    /// Begins to leave: peers are told at once, seats are handed over, and what is in flight is
    /// finished before `Drained`.
    fn on_drain(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(now);
        self.tell_roster(now, RosterEvent::Leave, out);
        self.tell_guard(now, sycamorelink_guard::GuardEvent::DrainRequested, out);
    }

    /// Failure: a node stops the moment it is idle, while peers that have not yet heard of its
    /// leaving send it more work, which then fails. It stays for as long as the news takes, and
    /// until callers have been quiet for a while.
    ///
    /// Failure: a node whose seats nobody can take, alone or cut off, never tells that it is
    /// drained, and the platform ends it by force. Alone it waits for nobody; else it gives its
    /// seats up after [`HANDOVER_TICKS`], and the survivors strike them as those of a dead node.
    fn check_drained(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let Some(since) = self.draining else {
            return;
        };
        if self.handover == HandoverState::Drained {
            return;
        }
        let heard = now >= since + LEAVE_NEWS && now >= self.last_request + LEAVE_QUIET;
        let idle = self.requests.is_empty() && self.works.is_empty();
        let given = self.has_fleet_form()
            || self.handover == HandoverState::SeatsGiven
            || self.roster.member_count() < 2
            || self.leaving_ticks >= HANDOVER_TICKS;
        if heard && idle && given {
            self.handover = HandoverState::Drained;
            out.push(NodeCommand::Drained);
        }
    }
}
