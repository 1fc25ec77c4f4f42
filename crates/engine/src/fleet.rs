//! A fleet contract: taken from its source or from a peer, spread, and read for each request.
//!
//! ```text
//! source ──▶ adopt ──▶ FleetTable ──▶ open_request
//!              │ ▲
//!       rumour ▼ │ contract
//!            peers
//! ```
//!
//! A contract replaces the one in force only when its version is greater, whoever offers it. A node
//! that the source turns away hears the newest version as a rumour and asks a peer for it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use sycamorelink_contract::{
    AccountRule, CustomerIndex as TableIndex, FleetContract, FleetTable, RouteRule,
};
use sycamorelink_core::{CustomerName, InstanceId, NodeId, RefusalCode};
use sycamorelink_limits::{BudgetPart, WHOLE_REPEAT};
use sycamorelink_policy::PoolSettings;
use sycamorelink_roster::{RosterEvent, topic};

use crate::command::NodeCommand;
use crate::contact::ContactState;
use crate::contracts::{HEAD_KEY, leaning_of};
use crate::event::CallerRequest;
use crate::following::FollowState;
use crate::message::{ContractAsk, PeerMessage};
use crate::node::NodeEngine;
use crate::note::NodeNote;

/// Index of the one customer of a fleet contract; no customer of a chain of contracts has it.
pub(crate) const FLEET_INDEX: TableIndex = TableIndex(u32::MAX);
/// How long a rumour of a newer version may be ahead of the source before a peer is asked: a
/// source in health answers its waiting readers within some ten milliseconds.
const SOURCE_LEAD: Duration = Duration::from_millis(200);
/// The same after a node of the same failure domain announced the version and was asked for it. Large contracts
/// that follow each other closely take longer than a pause; asked for elsewhere too, they fill the links.
const TRANSFER_LEAD: Duration = Duration::from_millis(800);
/// Pause before another peer is asked: over a link of 10 Mbit/s a contract of 100 KB takes a fifth of it, and
/// a few others are sent it as well. Asked for sooner, it comes twice, and the links of those that have it
/// are full.
const PULL_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two questions of a node whether there is a newer contract: two of them fit into the time in
/// which a contract must be in force, and each is some sixty bytes.
const CHECK_PAUSE: Duration = Duration::from_secs(1);
/// Peers asked at the same time after the first one has not answered. With a third of the fleet
/// unreachable, at least one of two peers usually answers.
const PARALLEL_PULLS: usize = 2;
/// Bounds the record of missing versions. Only the oldest one determines when peers are asked.
const MISSING_VERSIONS_MAX: usize = 64;
/// Which peer that is asked is the one that published the version. Many hear of it from gossip, so the
/// nodes on the way down the tree and others go first.
const ORIGIN_ASKED: u32 = 2;
/// First ejection under a fleet contract: the breaker beside each server answers within a fault, and
/// callers' scores, which are slower, should not keep capacity away after it.
const FLEET_EJECTION: Duration = Duration::from_secs(3);
/// How long a new or returned upstream takes to its full share where it does not say how long it
/// stays slow: the time that a process takes to fill its caches and pools.
const FLEET_WARM_UP: Duration = Duration::from_secs(3);
/// Time constant with which scores fade, some lengths of a fault.
const FLEET_FADE: Duration = Duration::from_secs(15);
/// Step between two draws of one route, as a share of the whole. The golden ratio spreads any run
/// of draws more evenly over the parts than chance would, whatever their weights.
const DRAW_STEP: f64 = 0.618_033_988_749_894_9;
/// Period over which repeats count towards the bound of the fleet.
const REPEAT_WINDOW: Duration = Duration::from_secs(10);
/// How long a node keeps what it drew as the threshold of its retry budgets: their window. Kept
/// longer, a node that drew badly repeats nothing for a whole fault; drawn anew at each failure, every
/// node would soon draw low.
const THRESHOLD_TIME: Duration = REPEAT_WINDOW;

/// Where the contracts of a fleet come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ContractForm {
    /// One for each customer, each a chain of amended versions in the log.
    #[default]
    Customers,
    /// One for the whole fleet, published as a whole and open to callers without a token. No route
    /// takes keys and no customer has limits, so neither guards nor shares run.
    Fleet,
}

/// The fleet contract as far as this node knows it.
#[derive(Debug)]
pub(crate) struct FleetState {
    /// The contract in force and its compiled form.
    pub(crate) known: Option<(Arc<FleetContract>, Arc<FleetTable>)>,
    /// The newest version heard of, and the node that published or announced it.
    head: Option<(u64, NodeId)>,
    /// Versions newer than the one in force, each with the time when it was first heard of.
    missing: BTreeMap<u64, Duration>,
    /// Number of pull rounds since this node fell behind.
    asked: u32,
    /// The newest version announced by a node of the same failure domain and requested from it.
    told: u64,
    /// A node of another failure domain that announced a newer version and has not been asked yet.
    other_domain_holder: Option<InstanceId>,
    /// When peers are next asked whether there is a newer one.
    next_check: Duration,
    /// Who follows the source.
    pub(crate) follow: FollowState,
    /// Last known contact of this node's ancestors with the source.
    pub(crate) contact: ContactState,
    /// Where the next draw for a split route stands, from 0 to 1.
    draw: f64,
    pub(crate) random: SmallRng,
    /// What has to be left of a retry budget for a repeat, in thousandths of one, and until when
    /// that holds.
    threshold: (u64, Duration),
}

impl FleetState {
    /// Nodes start their draws at different places, so that they do not all send to one part at
    /// the same time.
    pub(crate) fn new(first_start: bool, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        Self {
            known: None,
            head: None,
            missing: BTreeMap::new(),
            asked: 0,
            told: 0,
            other_domain_holder: None,
            next_check: Duration::ZERO,
            follow: FollowState::new(first_start, seed),
            contact: ContactState::default(),
            draw: random.random(),
            threshold: (WHOLE_REPEAT, Duration::ZERO),
            random,
        }
    }

    /// What has to be left for a repeat, in thousandths of one. The first draw holds for a part of
    /// the usual time, so that nodes that start together draw apart.
    ///
    /// It took the mean worth of ten played days with trouble, in fleets of 85 and 100, from 0.611 to
    /// 0.622 (one play of each day before and after).
    fn repeat_threshold(&mut self, now: Duration) -> u64 {
        let (drawn, until) = self.threshold;
        if now < until {
            return drawn;
        }
        let kept = if until.is_zero() {
            THRESHOLD_TIME.mul_f64(self.random.random())
        } else {
            THRESHOLD_TIME
        };
        let drawn = self.random.random_range(1..=WHOLE_REPEAT);
        self.threshold = (drawn, now + kept);
        drawn
    }

    /// Whether a newer version than the one in force was heard of so long ago.
    pub(crate) fn is_overdue(&self, now: Duration, patience: Duration) -> bool {
        self.behind_since()
            .is_some_and(|heard| now >= heard + patience)
    }

    /// When the oldest missing version was first heard of. Newer versions do not reset this time;
    /// otherwise frequent changes would postpone the pull indefinitely.
    fn behind_since(&self) -> Option<Duration> {
        self.missing.values().min().copied()
    }

    /// How long the oldest missing version may take before other peers are asked for it.
    fn pull_lead(&self) -> Duration {
        let oldest = self.missing.keys().next();
        match oldest {
            Some(oldest) if *oldest <= self.told => TRANSFER_LEAD,
            _ => SOURCE_LEAD,
        }
    }

    /// Records a version that is newer than any known one. `holder` published or announced it.
    fn record_head(&mut self, now: Duration, version: u64, holder: NodeId) {
        let known = self.head.map_or(0, |(version, _)| version);
        if version <= known.max(self.version()) {
            return;
        }
        if self.missing.is_empty() {
            self.asked = 0;
        }
        self.head = Some((version, holder));
        if self.missing.len() < MISSING_VERSIONS_MAX {
            self.missing.insert(version, now);
        }
    }

    /// Forgets what is no longer missing once a version is in force.
    fn forget_missing(&mut self, now: Duration) {
        let version = self.version();
        self.missing = self.missing.split_off(&(version + 1));
        self.other_domain_holder = None;
        // The head may lie beyond the recorded versions.
        if let Some((head, _)) = self.head
            && head > version
        {
            self.missing.entry(head).or_insert(now);
        }
    }

    /// Time since this version was first heard of, or `None` if it was not recorded as missing.
    fn heard_ago(&self, now: Duration, version: u64) -> Option<Duration> {
        let heard = self.missing.get(&version)?;
        Some(now.saturating_sub(*heard))
    }

    /// The version in force, 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.known.as_ref().map_or(0, |(_, table)| table.version())
    }
}

impl NodeEngine {
    /// Whether the contracts are one for the whole fleet.
    pub(crate) fn has_fleet_form(&self) -> bool {
        self.settings.contracts == ContractForm::Fleet
    }

    /// Whether any contract is in force.
    pub(crate) fn knows_contracts(&self) -> bool {
        !self.in_force.is_empty() || self.fleet.known.is_some()
    }

    /// Version of the fleet contract in force, 0 for none.
    #[must_use]
    pub fn fleet_version(&self) -> u64 {
        self.fleet.version()
    }

    /// Takes a contract unless one as new is in force.
    pub(crate) fn adopt_fleet(
        &mut self,
        now: Duration,
        contract: Arc<FleetContract>,
        from: Option<InstanceId>,
        out: &mut Vec<NodeCommand>,
    ) {
        let version = contract.version;
        let before = self.fleet.version();
        if version <= before {
            return;
        }
        if let Some(finding) = contract.validate().0.into_iter().next() {
            out.push(NodeCommand::Note(NodeNote::ContractRejected {
                offset: version,
                reason: format!("{}: {}", finding.place, finding.message),
            }));
            return;
        }
        let table = Arc::new(FleetTable::new(&contract));
        self.fleet.known = Some((contract, table));
        out.push(NodeCommand::Note(NodeNote::FleetContractTaken {
            version,
            before,
            from,
            heard_ago: self.fleet.heard_ago(now, version),
        }));
        self.fleet.forget_missing(now);
        self.refresh_fleet_pools();
        self.refresh_quotas();
        out.push(NodeCommand::ContractsChanged);
        let event = RosterEvent::Publish {
            topic: topic::CONTRACT_HEAD,
            key: HEAD_KEY,
            version,
            body: Vec::new(),
        };
        self.tell_roster(now, event, out);
        self.tell_head(version, out);
    }

    fn refresh_fleet_pools(&mut self) {
        let settings = self.fleet_pool_settings();
        for pool in self.pools.values_mut() {
            pool.apply(settings.clone());
        }
    }

    /// This node's part of the retries that the whole fleet may make.
    pub(crate) fn retry_part(&mut self, now: Duration) -> BudgetPart {
        if !self.has_fleet_form() {
            return BudgetPart::default();
        }
        let members = self.roster.member_count();
        self.slack_part(now, members)
    }

    /// The part of one of so many holders in what may be repeated besides the share.
    ///
    /// The slack is zero during the first window of a node that joins a running fleet. The node does
    /// not know what it withdrew before a restart, so each restart would otherwise refill its part.
    pub(crate) fn slack_part(&mut self, now: Duration, holders: usize) -> BudgetPart {
        let may_be_exhausted = !self.settings.first_start && now < REPEAT_WINDOW;
        let slack = self.fleet.known.as_ref().filter(|_| !may_be_exhausted);
        let slack = slack.map_or(0, |(contract, _)| u64::from(contract.retry_slack));
        let holders = u64::try_from(holders).unwrap_or(u64::MAX);
        BudgetPart {
            slack: slack * WHOLE_REPEAT / holders.max(1),
            threshold: self.fleet.repeat_threshold(now),
        }
    }

    /// Settings of the pools under the fleet contract.
    pub(crate) fn fleet_pool_settings(&self) -> PoolSettings {
        let leaning = self.fleet.known.as_ref();
        let leaning = leaning.map(|(contract, _)| leaning_of(contract.leaning));
        PoolSettings {
            eject_for: FLEET_EJECTION,
            eject_longest: FLEET_EJECTION * 4,
            forgive_after: FLEET_EJECTION * 8,
            warm_up: FLEET_WARM_UP,
            fade: FLEET_FADE,
            ..PoolSettings::for_leaning(leaning.unwrap_or_default())
        }
    }

    /// Somebody in the fleet has this version.
    pub(crate) fn on_fleet_head(&mut self, now: Duration, version: u64, origin: NodeId) {
        self.fleet.record_head(now, version, origin);
    }

    /// Handles the announcement that another node has this version. A node of the same failure
    /// domain is asked for it at once. A node of another domain is asked only if the version does
    /// not arrive within this domain, because traffic between domains is billed.
    pub(crate) fn on_head_told(
        &mut self,
        now: Duration,
        from: InstanceId,
        version: u64,
        out: &mut Vec<NodeCommand>,
    ) {
        let own = self.fleet.version();
        if version <= own {
            return;
        }
        let was_behind = self.fleet.behind_since().is_some();
        self.fleet.record_head(now, version, from.node);
        if !self.shares_domain(from) {
            self.fleet.other_domain_holder = Some(from);
            return;
        }
        if version <= self.fleet.told {
            return;
        }
        self.fleet.told = version;
        if !was_behind {
            self.next_pull = now + PULL_PAUSE;
        }
        let ask = ContractAsk::Fleet { newer_than: own };
        self.send_peer(from, PeerMessage::ContractPull { ask }, out);
    }

    fn shares_domain(&self, instance: InstanceId) -> bool {
        let member = self.roster.member(instance.node);
        member.is_some_and(|member| member.facts.domain == self.own.domain)
    }

    /// Asks a peer for the newest contract, when the source has not given it in time. A node that
    /// starts while the source is away asks whether or not it heard of a version.
    pub(crate) fn pull_fleet(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if now < self.next_pull {
            return;
        }
        let own = self.fleet.version();
        let peers = match self.fleet.behind_since() {
            Some(heard) if now < heard + self.fleet.pull_lead() => return,
            Some(_) => self.next_pull_peers(),
            None if own == 0 => self.pull_source().into_iter().collect(),
            None => return self.check_for_newer(now, out),
        };
        if peers.is_empty() {
            return;
        }
        self.next_pull = now + PULL_PAUSE;
        for peer in peers {
            let ask = ContractAsk::Fleet { newer_than: own };
            self.send_peer(peer, PeerMessage::ContractPull { ask }, out);
        }
    }

    /// Selects the peers to ask next for a missing version. The first round asks the node of another
    /// domain that announced a version, or else the parent in this domain. Later rounds ask several
    /// peers at a time, since those that have not answered may be unreachable.
    fn next_pull_peers(&mut self) -> Vec<InstanceId> {
        let asked = self.fleet.asked;
        self.fleet.asked = asked.saturating_add(1);
        if asked == 0 {
            let other_domain_holder = self.fleet.other_domain_holder.take();
            let parent = self.domain_order().parent();
            let parent = parent.and_then(|node| self.instance_of(node));
            let first = other_domain_holder
                .or(parent)
                .or_else(|| self.pull_source());
            return first.into_iter().collect();
        }
        let origin = self.fleet.head.filter(|_| asked == ORIGIN_ASKED);
        let origin = origin.and_then(|(_, node)| self.instance_of(node));
        let other_domain_holder = self.fleet.other_domain_holder.take();
        let others = (0..PARALLEL_PULLS).filter_map(|_| self.pull_source());
        let mut peers: Vec<InstanceId> = other_domain_holder
            .into_iter()
            .chain(origin)
            .chain(others)
            .collect();
        peers.dedup();
        peers.truncate(PARALLEL_PULLS);
        peers
    }

    /// Asks whether there is a newer contract, in case that nobody tells this node: the one above it in its
    /// failure domain, and another node in turn anywhere. Nothing comes back if there is none.
    fn check_for_newer(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if self.fleet.follow.active || now < self.fleet.next_check {
            return;
        }
        self.fleet.next_check = now + CHECK_PAUSE;
        let parent = self.domain_order().parent();
        let parent = parent.and_then(|node| self.instance_of(node));
        let newer_than = self.fleet.version();
        for peer in parent.into_iter().chain(self.pull_source()) {
            let ask = ContractAsk::Fleet { newer_than };
            self.send_peer(peer, PeerMessage::ContractPull { ask }, out);
        }
    }

    /// Answers a peer that asks for a newer contract, if this node has one.
    pub(crate) fn on_fleet_ask(
        &mut self,
        now: Duration,
        from: InstanceId,
        newer_than: u64,
        out: &mut Vec<NodeCommand>,
    ) {
        let Some((contract, _)) = &self.fleet.known else {
            if let Some(age) = self.source_seen_ago(now) {
                self.send_peer(from, PeerMessage::SourceSeen { age }, out);
            }
            return;
        };
        if contract.version <= newer_than {
            return;
        }
        match serde_json::to_vec(contract.as_ref()) {
            Ok(page) => {
                let ask = ContractAsk::Fleet { newer_than };
                self.send_peer(from, PeerMessage::ContractPage { ask, page }, out);
            }
            Err(error) => out.push(NodeCommand::Note(NodeNote::ContractRejected {
                offset: contract.version,
                reason: format!("the contract cannot be encoded for a peer: {error}"),
            })),
        }
    }

    pub(crate) fn on_fleet_page(
        &mut self,
        now: Duration,
        from: InstanceId,
        page: &[u8],
        out: &mut Vec<NodeCommand>,
    ) {
        match serde_json::from_slice::<FleetContract>(page) {
            Ok(contract) => self.adopt_fleet(now, Arc::new(contract), Some(from), out),
            Err(error) => out.push(NodeCommand::Note(NodeNote::ContractRejected {
                offset: self.fleet.version(),
                reason: format!("a contract from {from} cannot be read: {error}"),
            })),
        }
    }

    /// Name of the client account whose key a request brings, for what is told of its refusal.
    pub(crate) fn account_named_by(&self, caller: &CallerRequest) -> Option<CustomerName> {
        let key = caller.account_key?;
        let (_, table) = self.fleet.known.as_ref()?;
        table.account(&key).map(|account| account.name().clone())
    }

    /// The rule for a request under the fleet contract, and the client account that it belongs to.
    pub(crate) fn fleet_rule(
        &mut self,
        caller: &CallerRequest,
    ) -> Result<(RouteRule, Option<Arc<AccountRule>>), RefusalCode> {
        let Some((_, table)) = self.fleet.known.clone() else {
            return Err(RefusalCode::NotReady);
        };
        let rule = table
            .find(&caller.host, &caller.path)
            .ok_or(RefusalCode::UnknownRoute)?;
        let account = caller.account_key.and_then(|key| table.account(&key));
        if account.is_none() && table.has_accounts() && !rule.is_public() {
            return Err(RefusalCode::UnknownCustomer);
        }
        if rule.is_split() {
            self.fleet.draw = (self.fleet.draw + DRAW_STEP).fract();
        }
        let mut rule = rule
            .part(self.fleet.draw)
            .cloned()
            .ok_or(RefusalCode::UnknownRoute)?;
        if let Some(account) = account {
            rule.terms = Arc::clone(&account.terms);
            rule.priority = account.priority.unwrap_or(rule.priority);
        }
        Ok((rule, account.cloned()))
    }
}
