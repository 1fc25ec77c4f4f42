//! Holder and keeper of one node.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::InstanceId;

use super::contract::ContractTable;
use super::message::{AskEntry, GrantEntry};
use super::view::RosterView;
use super::{
    Admission, CustomerIndex, CustomerShare, ShareCommand, ShareEvent, ShareKeeper, ShareMember,
    ShareMessage, ShareSettings,
};

/// Maximum number of rounds of asks and grants between a node and itself in one call. Each round
/// moves on to the next keeper place, and there are fewer places than rounds.
const MAX_LOCAL_ROUNDS: usize = 64;

/// Participant of one node in the fleet-wide limits.
///
/// A node that is its own keeper answers its own asks within the same call: in a fleet of one, the
/// first request of a customer is admitted at the next [`Self::tick`].
#[derive(Debug)]
pub struct ShareNode {
    own: InstanceId,
    contracts: ContractTable,
    view: RosterView,
    share: CustomerShare,
    keeper: ShareKeeper,
}

impl ShareNode {
    /// Creates a node without contracts and without a roster.
    #[must_use]
    pub fn new(own: InstanceId, settings: ShareSettings) -> Self {
        Self {
            own,
            contracts: ContractTable::default(),
            view: RosterView::new(own, settings.clone()),
            share: CustomerShare::new(own, settings.clone()),
            keeper: ShareKeeper::new(settings),
        }
    }

    /// Returns the instance id of this node.
    #[must_use]
    pub const fn own(&self) -> InstanceId {
        self.own
    }

    /// Returns the holder side.
    #[must_use]
    pub const fn share(&self) -> &CustomerShare {
        &self.share
    }

    /// Returns the keeper side.
    #[must_use]
    pub const fn keeper(&self) -> &ShareKeeper {
        &self.keeper
    }

    /// Returns whether this node keeps units and uses a base share.
    #[must_use]
    pub fn is_active(&self, now: Duration) -> bool {
        self.view.is_active(now)
    }

    /// Decides on one request. After [`Admission::Wait`], call [`Self::tick`] immediately so that
    /// the ask for a lease is sent.
    pub fn admit(&mut self, now: Duration, index: CustomerIndex) -> Admission {
        self.share
            .admit(now, index, false, &self.contracts, &self.view)
    }

    /// Decides on a request that has waited. Does not count the request as demand again and never
    /// returns [`Admission::Wait`].
    pub fn admit_again(&mut self, now: Duration, index: CustomerIndex) -> Admission {
        self.share
            .admit(now, index, true, &self.contracts, &self.view)
    }

    /// Frees the slot of an admitted request.
    pub fn finished(&mut self, now: Duration, index: CustomerIndex) {
        self.share.finished(now, index);
    }

    /// Processes an event.
    pub fn handle(&mut self, now: Duration, event: ShareEvent, out: &mut Vec<ShareCommand>) {
        match event {
            ShareEvent::Contract { index, limit } => {
                self.contracts.set(index, &limit);
                self.share.reserve(index);
                self.amend(now, index);
            }
            ShareEvent::Withdrawn { index } => {
                self.contracts.remove(index);
                self.amend(now, index);
            }
            ShareEvent::Roster {
                version,
                members,
                settled,
            } => self.follow_roster(now, version, &members, settled),
            ShareEvent::Anchored { version, since } => self.view.anchor(now, version, since),
            ShareEvent::Resumed => {
                self.view.clear_anchor();
                self.share.drop_leases(now, &self.view);
            }
            ShareEvent::Received { from, message } => self.on_message(now, from, &message, out),
        }
        self.send_due_asks(now, out);
    }

    /// Sends due asks and expires leases. Call this about every 100 ms, and after
    /// [`Admission::Wait`].
    pub fn tick(&mut self, now: Duration, out: &mut Vec<ShareCommand>) {
        self.view.refresh(now);
        self.keeper.tick(now, &self.contracts, &self.view);
        self.send_due_asks(now, out);
    }

    fn amend(&mut self, now: Duration, index: CustomerIndex) {
        self.share.amend(now, index, &self.contracts, &self.view);
    }

    fn follow_roster(
        &mut self,
        now: Duration,
        version: u64,
        members: &[ShareMember],
        settled: u64,
    ) {
        let change = self.view.adopt(now, version, members, settled);
        if change.members {
            self.share.follow_roster(now, &self.view, change.domains);
        }
        self.keeper.follow_roster(now, &self.contracts, &self.view);
    }

    fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: &ShareMessage,
        out: &mut Vec<ShareCommand>,
    ) {
        match message {
            ShareMessage::Ask { layout, entries } => {
                let entries = self.answer_asks(now, from, *layout, entries);
                let message = ShareMessage::Grant { entries };
                out.push(ShareCommand::Send { to: from, message });
            }
            ShareMessage::Grant { entries } => self.apply_grants(now, from, entries, out),
        }
    }

    fn answer_asks(
        &mut self,
        now: Duration,
        from: InstanceId,
        layout: u32,
        asks: &[AskEntry],
    ) -> Vec<GrantEntry> {
        asks.iter()
            .filter_map(|ask| {
                self.keeper
                    .on_ask(now, from, layout, ask, &self.contracts, &self.view)
            })
            .collect()
    }

    fn apply_grants(
        &mut self,
        now: Duration,
        from: InstanceId,
        grants: &[GrantEntry],
        out: &mut Vec<ShareCommand>,
    ) {
        self.share
            .apply_grants(now, from, grants, &self.contracts, &self.view, out);
    }

    /// Sends the asks that are due and answers those to this node itself.
    fn send_due_asks(&mut self, now: Duration, out: &mut Vec<ShareCommand>) {
        for _ in 0..MAX_LOCAL_ROUNDS {
            let mut asks = BTreeMap::new();
            self.share.plan(now, &self.view, &mut asks);
            let own = asks.remove(&self.own);
            let layout = self.view.layout();
            for (to, entries) in asks {
                let message = ShareMessage::Ask { layout, entries };
                out.push(ShareCommand::Send { to, message });
            }
            let Some(own) = own else {
                return;
            };
            let grants = self.answer_asks(now, self.own, layout, &own);
            self.apply_grants(now, self.own, &grants, out);
        }
    }
}
