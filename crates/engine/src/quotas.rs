//! Quotas of client accounts: admission at this node, and division of a quota among the nodes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use sycamorelink_contract::AccountRule;
use sycamorelink_core::{InstanceId, RefusalCode, RequestRefusal, RunState, name_hash};
use sycamorelink_limits::quota::keepers_of;
use sycamorelink_limits::{
    AccountId, QuotaHolder, QuotaKeeper, QuotaMessage, QuotaSettings, QuotaTerms, ShareUpdate,
    UsageReport,
};
use sycamorelink_policy::PolicyMechanism;

use crate::command::NodeCommand;
use crate::message::PeerMessage;
use crate::node::NodeEngine;
use crate::request::RequestState;

/// Interval at which the list of present members is updated: a fraction of the time that the
/// detection of a dead node takes.
const MEMBER_REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a fleet that has shrunk still counts at its former size.
///
/// Guards against each side of a partition admitting the whole quota after it declared the other
/// side dead. Lost nodes are back or replaced within this time.
const SIZE_RETENTION: Duration = Duration::from_mins(1);

/// Quota state of this node.
#[derive(Debug)]
pub(crate) struct QuotaState {
    holder: QuotaHolder,
    keeper: QuotaKeeper,
    terms: BTreeMap<AccountId, QuotaTerms>,
    members: Vec<InstanceId>,
    next_refresh: Duration,
    /// Recent sizes of the fleet with the time of each, in strictly decreasing order of size.
    sizes: VecDeque<(Duration, usize)>,
}

impl QuotaState {
    pub(crate) fn new(settings: QuotaSettings, seed: u64) -> Self {
        Self {
            holder: QuotaHolder::new(settings, seed),
            keeper: QuotaKeeper::new(settings),
            terms: BTreeMap::new(),
            members: Vec::new(),
            next_refresh: Duration::ZERO,
            sizes: VecDeque::new(),
        }
    }

    fn record_members(&mut self, now: Duration, members: Vec<InstanceId>) {
        let size = members.len();
        self.members = members;
        self.sizes
            .retain(|(seen_at, old_size)| *old_size > size && now < *seen_at + SIZE_RETENTION);
        self.sizes.push_back((now, size));
    }

    /// Returns the present members as a fraction of the recent maximum size of the fleet.
    fn visible_fraction(&self) -> f64 {
        let recent_max = self.sizes.iter().map(|(_, size)| *size).max();
        let recent_max = u32::try_from(recent_max.unwrap_or(1)).unwrap_or(u32::MAX);
        let present = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        f64::from(present.max(1)) / f64::from(recent_max.max(1))
    }
}

/// Returns the quota terms of an account, or `None` if it has no quota.
fn terms_of(account: &AccountRule) -> Option<(AccountId, QuotaTerms)> {
    let quota = account.quota?;
    let terms = QuotaTerms {
        rate: quota.rate,
        burst: quota.burst,
    };
    Some((AccountId(name_hash(account.name().as_str())), terms))
}

impl NodeEngine {
    /// Takes one request from the quota of its account.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the time until the next request is admitted.
    pub(crate) fn withdraw_quota(
        &mut self,
        now: Duration,
        account: &AccountRule,
    ) -> Result<(), RequestRefusal> {
        if !self.settings.policy.is_on(PolicyMechanism::AccountQuotas) {
            return Ok(());
        }
        let Some((id, terms)) = terms_of(account) else {
            return Ok(());
        };
        let admitted = self.quotas.holder.admit(now, id, terms);
        admitted
            .map_err(|wait| RequestRefusal::not_run(RefusalCode::LimitExceeded).retry_after(wait))
    }

    /// Refunds the quota of a request that was refused without having run.
    pub(crate) fn refund_quota(&mut self, state: &RequestState, refusal: &RequestRefusal) {
        if refusal.run != RunState::NotRun {
            return;
        }
        let quota = state.account.as_deref().and_then(terms_of);
        if let Some((id, _)) = quota {
            self.quotas.holder.refund(id);
        }
    }

    /// Applies the quotas of a new contract.
    pub(crate) fn refresh_quotas(&mut self) {
        let table = self.fleet.current.as_ref().map(|(_, table)| table);
        let accounts = table.into_iter().flat_map(|table| table.accounts());
        self.quotas.terms = accounts.filter_map(|account| terms_of(account)).collect();
    }

    /// Sends the due usage reports to the members that divide the quotas of the accounts.
    pub(crate) fn tick_quotas(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if self.quotas.terms.is_empty() {
            return;
        }
        if now >= self.quotas.next_refresh {
            self.quotas.next_refresh = now + MEMBER_REFRESH_INTERVAL;
            let members = self.present_instances();
            self.quotas.record_members(now, members);
        }
        let mut outgoing: BTreeMap<InstanceId, Vec<UsageReport>> = BTreeMap::new();
        for report in self.quotas.holder.reports(now) {
            for keeper in keepers_of(report.account, &self.quotas.members) {
                outgoing.entry(keeper).or_default().push(report);
            }
        }
        for (keeper, reports) in outgoing {
            if keeper == self.own.instance {
                self.on_usage_reports(now, reports);
            } else {
                let message = PeerMessage::Quota(QuotaMessage::Report(reports));
                self.send_peer(keeper, message, out);
            }
        }
        self.send_quota_shares(now, out);
    }

    fn send_quota_shares(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let updates = self.quotas.keeper.news(now);
        if updates.is_empty() {
            return;
        }
        for peer in self.quotas.members.clone() {
            if peer != self.own.instance {
                let message = PeerMessage::Quota(QuotaMessage::Shares(updates.clone()));
                self.send_peer(peer, message, out);
            }
        }
        self.on_quota_shares(now, self.own.instance, updates);
    }

    /// Returns this node's instance and those of all members that are not declared dead.
    pub(crate) fn present_instances(&self) -> Vec<InstanceId> {
        let own = self.own.instance;
        let members = self.roster.members().into_iter();
        let others = members
            .filter(|member| member.standing.is_present())
            .map(|member| member.facts.instance)
            .filter(|instance| instance.node != own.node);
        others.chain([own]).collect()
    }

    pub(crate) fn on_quota_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: QuotaMessage,
    ) {
        match message {
            QuotaMessage::Report(reports) => self.on_usage_reports(now, reports),
            QuotaMessage::Shares(updates) => self.on_quota_shares(now, from, updates),
        }
    }

    fn on_usage_reports(&mut self, now: Duration, reports: Vec<UsageReport>) {
        let fraction = self.quotas.visible_fraction();
        for report in reports {
            // An account that is missing from this node's contract is either unknown and refused,
            // or without a quota in a newer contract.
            if let Some(terms) = self.quotas.terms.get(&report.account) {
                let terms = terms.scaled(fraction);
                self.quotas.keeper.on_report(now, report, terms);
            }
        }
    }

    fn on_quota_shares(&mut self, now: Duration, keeper: InstanceId, updates: Vec<ShareUpdate>) {
        for update in updates {
            self.quotas.holder.told(now, keeper, update);
        }
    }
}
