//! Loans of repeats between the nodes beside the backend servers of a service.
//!
//! ```text
//! borrower                                        lender
//! repeat refused, or fewer left than requested
//! in a second ──── Ask { wanted } ──────────────▶ withdraws what it can spare
//! credit for the rest of the second ◀── Grant ─── (none: 0 repeats)
//! ```
//!
//! The books and the reason why the bound holds are in [`sycamorelink_limits::overload::loans`].

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use sycamorelink_core::{InstanceId, NodeId, RefusalCode, ServiceName};
use sycamorelink_limits::{LoanAskHistory, LoanCandidate, RepeatBooks, RepeatOrigin, WorkId};
use sycamorelink_policy::{PolicyMechanism, UpstreamPhase};
use sycamorelink_roster::UpstreamPhase as RosterPhase;

use crate::command::NodeCommand;
use crate::executor::upstream_id;
use crate::message::PeerMessage;
use crate::node::NodeEngine;
use crate::note::NodeNote;
use crate::request::WorkPhase;

/// Largest number of repeats in one ask. More than a server runs in a second, so that a larger
/// number is an error of the sender.
const MAX_WANTED: u32 = 10_000;
/// Bits by which the incarnation is shifted for the first number of an ask. Asks of two
/// incarnations of a node then never have the same number.
const INCARNATION_SHIFT: u32 = 20;

/// A message about a loan of repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatLoanMessage {
    /// Asks for repeats that the receiver's backend servers do not need.
    Ask {
        /// Service of the backend servers.
        service: ServiceName,
        /// Number of repeats.
        wanted: u32,
        /// Whether the repeats are for work that makes calls and count in both budgets.
        calling: bool,
        /// Number that identifies the ask; greater than that of every earlier ask of the sender.
        ask: u64,
    },
    /// Answers an `Ask`.
    Grant {
        /// Service of the backend servers.
        service: ServiceName,
        /// Number of repeats lent; 0 if the sender needs all that it has.
        repeats: u32,
        /// Number of the ask.
        ask: u64,
    },
}

/// State of a node for loans, apart from the books of its backend servers.
#[derive(Debug)]
pub(crate) struct LoanState {
    history: LoanAskHistory,
    next_ask: u64,
    random: SmallRng,
}

impl LoanState {
    pub(crate) fn new(own: InstanceId, seed: u64) -> Self {
        Self {
            history: LoanAskHistory::default(),
            next_ask: own.incarnation.0 << INCARNATION_SHIFT,
            random: SmallRng::seed_from_u64(seed),
        }
    }
}

impl NodeEngine {
    /// Returns whether the local backend servers lend and borrow repeats.
    pub(crate) fn lends_repeats(&self) -> bool {
        self.counts_repeats_at_executor()
            && self.uses_overload_mechanism(PolicyMechanism::RepeatLoans)
    }

    /// Asks other servers for repeats if a local server holds fewer than are requested from it in a
    /// second.
    pub(crate) fn ask_for_repeats(&mut self, now: Duration, slot: u16, out: &mut Vec<NodeCommand>) {
        if !self.lends_repeats() {
            return;
        }
        let Some(books) = self.repeat_books(now, slot) else {
            return;
        };
        if books.shortage(now).is_none() {
            return;
        }
        let Some(upstream) = self.upstreams.get(&slot).filter(|known| known.available) else {
            return;
        };
        let service = upstream.announced.service.clone();
        let candidates = self.loan_candidates(now, &service);
        let Some(upstream) = self.upstreams.get_mut(&slot) else {
            return;
        };
        let Some(books) = &mut upstream.repeats else {
            return;
        };
        let loans = &mut self.loans;
        let asks = books.asks(now, &candidates, &mut loans.next_ask, &mut loans.random);
        let (balance, demand) = (books.balance(now), books.demand(now));
        for ask in asks {
            out.push(NodeCommand::Note(NodeNote::LoanAsked {
                id: upstream_id(self.own.instance, slot),
                service: service.clone(),
                lender: ask.lender,
                wanted: ask.wanted,
                balance,
                demand,
            }));
            let message = RepeatLoanMessage::Ask {
                service: service.clone(),
                wanted: saturating_u32(ask.wanted).min(MAX_WANTED),
                calling: ask.calling,
                ask: ask.ask,
            };
            self.send_peer(ask.lender, PeerMessage::RepeatLoan(message), out);
        }
    }

    /// Returns the nodes that may lend repeats of a service, with the balances from their capacity
    /// records.
    fn loan_candidates(&self, now: Duration, service: &ServiceName) -> Vec<LoanCandidate> {
        let upstreams = self.roster.upstreams(service.as_str());
        let ready = upstreams
            .into_iter()
            .filter(|(_, facts)| facts.phase == RosterPhase::Ready);
        let table = self.capacity.tables.get(service);
        let mut balances: BTreeMap<NodeId, Option<u64>> = BTreeMap::new();
        for (id, _) in ready.filter(|(id, _)| id.node != self.own.instance.node) {
            let balance = balances.entry(id.node).or_default();
            if let Some(record) = table.and_then(|table| table.record(now, id)) {
                *balance = Some(balance.unwrap_or(0) + u64::from(record.repeats));
            }
        }
        let candidates = balances.into_iter().filter_map(|(node, balance)| {
            let instance = self.instance_of(node)?;
            Some(LoanCandidate { instance, balance })
        });
        candidates.collect()
    }

    pub(crate) fn on_repeat_loan(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: RepeatLoanMessage,
        out: &mut Vec<NodeCommand>,
    ) {
        if !self.lends_repeats() {
            return;
        }
        match message {
            RepeatLoanMessage::Ask {
                service,
                wanted,
                calling,
                ask,
            } => {
                let reason = if wanted == 0 || wanted > MAX_WANTED {
                    Some("an implausible number was asked for")
                } else if self.loans.history.record(now, from, ask) {
                    None
                } else {
                    Some("the ask is a duplicate or was overtaken")
                };
                if let Some(reason) = reason {
                    drop_message(from, service, reason.to_owned(), out);
                    return;
                }
                let repeats = self.lend_repeats(now, from, &service, (wanted, calling), out);
                let message = RepeatLoanMessage::Grant {
                    service,
                    repeats,
                    ask,
                };
                self.send_peer(from, PeerMessage::RepeatLoan(message), out);
            }
            RepeatLoanMessage::Grant {
                service,
                repeats,
                ask,
            } => self.on_repeat_grant(now, from, service, (repeats, ask), out),
        }
    }

    /// Lends repeats of the local backend servers of a service and returns their number.
    fn lend_repeats(
        &mut self,
        now: Duration,
        borrower: InstanceId,
        service: &ServiceName,
        (wanted, calling): (u32, bool),
        out: &mut Vec<NodeCommand>,
    ) -> u32 {
        let lenders = self.upstreams.iter().filter(|(_, upstream)| {
            upstream.available
                && upstream.announced.phase == UpstreamPhase::Ready
                && upstream.announced.service == *service
        });
        let slots: Vec<u16> = lenders.map(|(slot, _)| *slot).collect();
        let slots = if self.draining.is_some() {
            Vec::new()
        } else {
            slots
        };
        let mut left = u64::from(wanted);
        let (mut balance, mut demand) = (0, 0);
        for slot in slots {
            if let Some(books) = self.repeat_books(now, slot) {
                left -= books.lend(now, left, calling);
                balance += books.balance(now);
                demand += books.demand(now);
            }
        }
        let repeats = wanted - saturating_u32(left);
        out.push(NodeCommand::Note(NodeNote::LoanAnswered {
            service: service.clone(),
            borrower,
            wanted,
            repeats,
            balance,
            demand,
        }));
        repeats
    }

    fn on_repeat_grant(
        &mut self,
        now: Duration,
        from: InstanceId,
        service: ServiceName,
        (repeats, ask): (u32, u64),
        out: &mut Vec<NodeCommand>,
    ) {
        // An ask belongs to one server. If another service took its place, its books are gone.
        let asked = self.upstreams.iter().find(|(_, upstream)| {
            upstream.announced.service == service
                && upstream
                    .repeats
                    .as_ref()
                    .is_some_and(|books| books.has_asked(ask))
        });
        let Some(slot) = asked.map(|(slot, _)| *slot) else {
            drop_message(from, service, "no open ask has this number".to_owned(), out);
            return;
        };
        let id = upstream_id(self.own.instance, slot);
        let Some(books) = self.repeat_books(now, slot) else {
            return;
        };
        if let Err(error) = books.accept(now, from, ask, u64::from(repeats)) {
            drop_message(from, service, error.to_string(), out);
            return;
        }
        let balance = books.balance(now);
        out.push(NodeCommand::Note(NodeNote::LoanReceived {
            id,
            service,
            lender: from,
            repeats,
            balance,
        }));
        self.ask_for_repeats(now, slot, out);
    }

    /// Ends loans, refuses the work that waits on them, and asks for repeats that are needed.
    pub(crate) fn tick_repeat_loans(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.loans.history.remove_old(now);
        let mut with_books = Vec::new();
        for (slot, upstream) in &mut self.upstreams {
            let Some(books) = &mut upstream.repeats else {
                continue;
            };
            with_books.push(*slot);
            let repeats = books.remove_ended(now);
            if repeats > 0 {
                let service = upstream.announced.service.clone();
                out.push(NodeCommand::Note(NodeNote::LoanEnded { service, repeats }));
            }
        }
        if !self.lends_repeats() {
            return;
        }
        self.renew_waiting_repeats(now, out);
        for slot in with_books {
            self.ask_for_repeats(now, slot, out);
        }
    }

    /// Withdraws queued repeats again whose loan has ended. Those for which no repeat is left are
    /// refused, so that their callers need not wait for a slot that they cannot use.
    fn renew_waiting_repeats(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        let waiting = self.works.iter().filter(|(_, state)| {
            let end = state.repeat.and_then(|origin| origin.borrowed_until());
            state.phase == WorkPhase::Queued && end.is_some_and(|end| end <= now)
        });
        let waiting: Vec<(WorkId, u16)> = waiting
            .map(|(work, state)| (*work, state.offer.slot))
            .collect();
        for (work, slot) in waiting {
            let origin = self.works.get(&work).and_then(|state| state.repeat);
            let books = self.repeat_books(now, slot);
            let renewed = books
                .zip(origin)
                .and_then(|(books, origin)| books.restart(now, origin));
            if let Some(state) = self.works.get_mut(&work) {
                state.repeat = renewed.or(Some(RepeatOrigin::unfunded(false)));
            }
            if renewed.is_none() {
                self.refuse_waiting(now, work, RefusalCode::RepeatsSpent, out);
            }
        }
    }

    /// Drops all borrowed repeats after a pause that the monotonic clock may not show: their
    /// lenders may no longer count them.
    pub(crate) fn on_resumed(&mut self, out: &mut Vec<NodeCommand>) {
        for upstream in self.upstreams.values_mut() {
            let books = upstream.repeats.as_mut();
            let repeats = books.map_or(0, RepeatBooks::drop_loans);
            if repeats > 0 {
                let service = upstream.announced.service.clone();
                out.push(NodeCommand::Note(NodeNote::LoanEnded { service, repeats }));
            }
        }
        // Work that waits on a loan must withdraw again before it runs.
        for state in self.works.values_mut() {
            if let Some(origin) = &mut state.repeat {
                origin.end_loans();
            }
        }
    }
}

/// Reports a message that was dropped.
fn drop_message(
    from: InstanceId,
    service: ServiceName,
    reason: String,
    out: &mut Vec<NodeCommand>,
) {
    out.push(NodeCommand::Note(NodeNote::LoanDropped {
        service,
        from,
        reason,
    }));
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
