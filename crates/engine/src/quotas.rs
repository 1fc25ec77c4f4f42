//! Quotas of client accounts: what this node admits of each, and the accounts that it keeps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use sycamorelink_contract::AccountRule;
use sycamorelink_core::{InstanceId, RefusalCode, RequestRefusal, RunState, name_hash};
use sycamorelink_limits::quota::keepers_of;
use sycamorelink_limits::{
    AccountId, QuotaHolder, QuotaKeeper, QuotaMessage, QuotaSettings, QuotaTerms, ShareNews,
    UseReport,
};
use sycamorelink_policy::PolicyMechanism;

use crate::command::NodeCommand;
use crate::message::PeerMessage;
use crate::node::NodeEngine;
use crate::request::RequestState;

/// Time between two looks at who is there: some times shorter than a death takes to be found.
const MEMBERS_PAUSE: Duration = Duration::from_millis(500);
/// How long a fleet that has shrunk counts as its former size.
///
/// Failure: a part of the fleet is cut off, each side finds the other dead, and each admits the whole
/// quota. A part that was really lost is back or replaced within this time.
const SIZE_MEMORY: Duration = Duration::from_mins(1);

/// What this node knows of quotas.
#[derive(Debug)]
pub(crate) struct QuotaState {
    holder: QuotaHolder,
    keeper: QuotaKeeper,
    terms: BTreeMap<AccountId, QuotaTerms>,
    members: Vec<InstanceId>,
    next_look: Duration,
    /// When the fleet had which size, each greater than all later ones.
    sizes: VecDeque<(Duration, usize)>,
}

impl QuotaState {
    pub(crate) fn new(settings: QuotaSettings, seed: u64) -> Self {
        Self {
            holder: QuotaHolder::new(settings, seed),
            keeper: QuotaKeeper::new(settings),
            terms: BTreeMap::new(),
            members: Vec::new(),
            next_look: Duration::ZERO,
            sizes: VecDeque::new(),
        }
    }

    fn note_members(&mut self, now: Duration, members: Vec<InstanceId>) {
        let size = members.len();
        self.members = members;
        self.sizes
            .retain(|(seen, old)| *old > size && now < *seen + SIZE_MEMORY);
        self.sizes.push_back((now, size));
    }

    /// Which part of the fleet is in sight.
    fn part_in_sight(&self) -> f64 {
        let most = self.sizes.iter().map(|(_, size)| *size).max();
        let most = u32::try_from(most.unwrap_or(1)).unwrap_or(u32::MAX);
        let present = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        f64::from(present.max(1)) / f64::from(most.max(1))
    }
}

/// The terms of an account that has a quota.
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
    /// The refusal with the time until the next one is due.
    pub(crate) fn take_quota(
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
        let taken = self.quotas.holder.admit(now, id, terms);
        taken.map_err(|wait| RequestRefusal::not_run(RefusalCode::LimitExceeded).retry_after(wait))
    }

    /// Gives back what a request took that is refused unrun.
    pub(crate) fn give_quota_back(&mut self, state: &RequestState, refusal: &RequestRefusal) {
        if refusal.run != RunState::NotRun {
            return;
        }
        let taken = state.account.as_deref().and_then(terms_of);
        if let Some((id, _)) = taken {
            self.quotas.holder.give_back(id);
        }
    }

    /// Takes over the quotas of a new contract.
    pub(crate) fn refresh_quotas(&mut self) {
        let table = self.fleet.known.as_ref().map(|(_, table)| table);
        let accounts = table.into_iter().flat_map(|table| table.accounts());
        self.quotas.terms = accounts.filter_map(|account| terms_of(account)).collect();
    }

    /// Sends the reports that are due.
    pub(crate) fn tick_quotas(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        if self.quotas.terms.is_empty() {
            return;
        }
        if now >= self.quotas.next_look {
            self.quotas.next_look = now + MEMBERS_PAUSE;
            let members = self.present_instances();
            self.quotas.note_members(now, members);
        }
        let mut told: BTreeMap<InstanceId, Vec<UseReport>> = BTreeMap::new();
        for report in self.quotas.holder.reports(now) {
            for keeper in keepers_of(report.account, &self.quotas.members) {
                told.entry(keeper).or_default().push(report);
            }
        }
        for (keeper, reports) in told {
            if keeper == self.own.instance {
                self.take_reports(now, reports);
            } else {
                let message = PeerMessage::Quota(QuotaMessage::Report(reports));
                self.send_peer(keeper, message, out);
            }
        }
        self.tell_shares_of_quotas(now, out);
    }

    fn tell_shares_of_quotas(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let news = self.quotas.keeper.news(now);
        if news.is_empty() {
            return;
        }
        for peer in self.quotas.members.clone() {
            if peer != self.own.instance {
                let message = PeerMessage::Quota(QuotaMessage::Shares(news.clone()));
                self.send_peer(peer, message, out);
            }
        }
        self.take_shares(now, self.own.instance, news);
    }

    /// This node and all members that are not held dead.
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
            QuotaMessage::Report(reports) => self.take_reports(now, reports),
            QuotaMessage::Shares(news) => self.take_shares(now, from, news),
        }
    }

    fn take_reports(&mut self, now: Duration, reports: Vec<UseReport>) {
        let part = self.quotas.part_in_sight();
        for report in reports {
            // An account that the contract here does not have is refused or free in a newer one.
            if let Some(terms) = self.quotas.terms.get(&report.account) {
                let terms = terms.scaled(part);
                self.quotas.keeper.reported(now, report, terms);
            }
        }
    }

    fn take_shares(&mut self, now: Duration, keeper: InstanceId, news: Vec<ShareNews>) {
        for news in news {
            self.quotas.holder.told(now, keeper, news);
        }
    }
}
