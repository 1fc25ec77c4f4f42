//! Loans of repeats between backend servers that share one bound on repeats.
//!
//! ```text
//! borrower                                    lender
//! records the time ── LoanAsk ──────────────▶ drops duplicates (LoanAskHistory)
//!                                             withdraws until the end of the loan + one window
//! credit until that time ◀── repeats ──────── (RepeatBooks::lend)
//! + LOAN_DURATION (RepeatBooks::accept)
//! ```
//!
//! The borrower counts [`LOAN_DURATION`] from before its ask, the lender from its later grant. The
//! lender's withdrawal therefore covers every time at which the borrower can use the loan and one
//! window after it, so that the sum over both is the same as if the lender made the repeat itself.
//! A borrowed repeat is not withdrawn at the borrower. Lost, late and repeated messages leave
//! withdrawals at the lender that nobody uses, never the reverse.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use sycamorelink_core::InstanceId;

use crate::retry_budget::{BudgetPart, BudgetSettings, RetryBudget};

/// Duration of a loan.
pub const LOAN_DURATION: Duration = Duration::from_secs(1);
/// Period whose repeats count as the demand of a server.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of asks of one server that are not answered yet.
const MAX_OPEN_ASKS: usize = 3;
/// Maximum number of asks of one server in [`ASK_PERIOD`].
const MAX_ASKS: usize = 5;
/// Period over which asks are limited.
const ASK_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a lender that had nothing to lend is not asked again.
const REFUSAL_RETENTION: Duration = Duration::from_secs(1);
/// Time for which the newest ask of a borrower is remembered. A duplicate that arrives later is
/// granted again, which loses repeats but creates none.
const ASK_RETENTION: Duration = Duration::from_mins(1);

/// What a repeat was withdrawn from in one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RepeatFunding {
    /// The server's own budget.
    Own {
        /// Time of the withdrawal.
        at: Duration,
    },
    /// A loan, whose lender counts the repeat.
    Loan {
        /// Time until which the repeat may be made.
        end: Duration,
    },
}

/// What a repeat was withdrawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatOrigin {
    all: RepeatFunding,
    /// `None` for work that makes no calls.
    calling: Option<RepeatFunding>,
}

impl RepeatOrigin {
    /// Returns the origin of a repeat that was withdrawn from the server's own budgets at `at`.
    #[must_use]
    pub fn own(at: Duration, calls: bool) -> Self {
        let own = RepeatFunding::Own { at };
        Self {
            all: own,
            calling: calls.then_some(own),
        }
    }

    /// Returns the origin of a repeat that is not withdrawn from any budget: a refund of it returns
    /// nothing, and it needs a new withdrawal.
    #[must_use]
    pub fn unfunded(calls: bool) -> Self {
        let none = RepeatFunding::Loan {
            end: Duration::ZERO,
        };
        Self {
            all: none,
            calling: calls.then_some(none),
        }
    }

    /// Returns the time until which a borrowed repeat may be made; `None` if the server's own
    /// budget for all work counts it.
    #[must_use]
    pub fn borrowed_until(&self) -> Option<Duration> {
        match self.all {
            RepeatFunding::Own { .. } => None,
            RepeatFunding::Loan { end } => Some(end),
        }
    }

    /// Ends the loans that the repeat was taken from, so that it needs a new withdrawal.
    pub fn end_loans(&mut self) {
        let fundings = [Some(&mut self.all), self.calling.as_mut()];
        for funding in fundings.into_iter().flatten() {
            if let RepeatFunding::Loan { end } = funding {
                *end = Duration::ZERO;
            }
        }
    }
}

/// A server that may lend repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanCandidate {
    /// Daemon beside the server.
    pub instance: InstanceId,
    /// Whole repeats left at the server; `None` if unknown.
    pub balance: Option<u64>,
}

/// A question for repeats, to be sent to one lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanAsk {
    /// Daemon that is asked.
    pub lender: InstanceId,
    /// Number that identifies the ask.
    pub ask: u64,
    /// Number of repeats.
    pub wanted: u64,
    /// Whether the repeats are for work that makes calls, so that they count in both budgets.
    pub calling: bool,
}

/// Reason for dropping a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GrantError {
    /// The ask was already answered, has expired or was never made.
    #[error("no open ask has this number")]
    NotAsked,
    /// Another daemon, or another incarnation of it, was asked.
    #[error("another incarnation was asked")]
    OtherLender,
    /// The loan has ended.
    #[error("the loan has ended")]
    Ended,
    /// More repeats were granted than asked for.
    #[error("more was granted than asked for")]
    AboveAsk,
}

/// Selects up to `count` lenders: those with the most repeats left first, then those with an
/// unknown balance in random order. Candidates without a repeat left are not selected.
pub fn choose_lenders<R>(
    candidates: &[LoanCandidate],
    count: usize,
    random: &mut R,
) -> Vec<InstanceId>
where
    R: Rng,
{
    let candidates = candidates
        .iter()
        .filter(|candidate| candidate.balance != Some(0));
    let mut ranked: Vec<(Reverse<u64>, u64, InstanceId)> = candidates
        .map(|candidate| {
            let balance = candidate.balance.unwrap_or(0);
            (Reverse(balance), random.random(), candidate.instance)
        })
        .collect();
    ranked.sort_unstable();
    let chosen = ranked.into_iter().take(count);
    chosen.map(|(_, _, instance)| instance).collect()
}

/// Borrowed repeats that are not used yet, with the end of their loan in ascending order.
#[derive(Clone, Debug, Default)]
struct BorrowedRepeats {
    ends: VecDeque<Duration>,
}

impl BorrowedRepeats {
    fn add(&mut self, end: Duration, repeats: u64) {
        let index = self.ends.partition_point(|known| *known <= end);
        for _ in 0..repeats {
            self.ends.insert(index, end);
        }
    }

    /// Removes loans that have ended and returns their number.
    fn remove_ended(&mut self, now: Duration) -> u64 {
        let ended = self.ends.partition_point(|end| *end <= now);
        self.ends.drain(..ended);
        ended as u64
    }

    fn take(&mut self, now: Duration) -> Option<Duration> {
        let index = self.ends.partition_point(|end| *end <= now);
        self.ends.remove(index)
    }

    fn count(&self, now: Duration) -> u64 {
        (self.ends.len() - self.ends.partition_point(|end| *end <= now)) as u64
    }
}

/// One budget of a server, with what is borrowed for it and how much is requested from it.
#[derive(Clone, Debug)]
struct BudgetBooks {
    budget: RetryBudget,
    borrowed: BorrowedRepeats,
    /// Time of each repeat that was requested, whether granted or not, and of each charge.
    requested: VecDeque<Duration>,
    window: Duration,
}

impl BudgetBooks {
    fn new(settings: &BudgetSettings) -> Self {
        Self {
            budget: RetryBudget::new(settings),
            borrowed: BorrowedRepeats::default(),
            requested: VecDeque::new(),
            window: settings.window,
        }
    }

    /// Withdraws a repeat from a loan, or from the server's own budget without one.
    fn withdraw(&mut self, now: Duration) -> Option<RepeatFunding> {
        if let Some(end) = self.borrowed.take(now) {
            return Some(RepeatFunding::Loan { end });
        }
        let withdrawn = self.budget.withdraw(now);
        withdrawn.then_some(RepeatFunding::Own { at: now })
    }

    fn refund(&mut self, now: Duration, funding: RepeatFunding) {
        match funding {
            RepeatFunding::Own { at } if now < at + self.window => self.budget.refund(now),
            RepeatFunding::Loan { end } if now < end => self.borrowed.add(end, 1),
            RepeatFunding::Own { .. } | RepeatFunding::Loan { .. } => {}
        }
    }

    /// Returns the funding of a repeat that is made now, or `None` if it must not be made.
    fn restart(&mut self, now: Duration, funding: RepeatFunding) -> Option<RepeatFunding> {
        match funding {
            RepeatFunding::Own { at } if now < at + self.window => {
                self.budget.restart_withdrawal(now);
                Some(RepeatFunding::Own { at: now })
            }
            RepeatFunding::Loan { end } if now < end => Some(funding),
            RepeatFunding::Own { .. } | RepeatFunding::Loan { .. } => self.withdraw(now),
        }
    }

    fn record_request(&mut self, now: Duration) {
        self.demand(now);
        self.requested.push_back(now);
    }

    fn demand(&mut self, now: Duration) -> u64 {
        let is_old = |at: &Duration| *at + DEMAND_PERIOD <= now;
        while self.requested.front().is_some_and(is_old) {
            self.requested.pop_front();
        }
        self.requested.len() as u64
    }

    /// Returns the number of whole repeats that may be lent: half of what remains at the end of the
    /// loan beyond the demand of a second.
    fn lendable(&mut self, now: Duration) -> u64 {
        let left = self.budget.balance_after(now, LOAN_DURATION);
        left.saturating_sub(self.demand(now)) / 2
    }

    /// Returns by how much the demand of a second exceeds what the server holds.
    fn shortage(&mut self, now: Duration) -> u64 {
        let needed = self.demand(now) + self.budget.overdrawn(now);
        let held = self.budget.balance(now) + self.borrowed.count(now);
        needed.saturating_sub(held)
    }
}

/// An ask without an answer.
#[derive(Clone, Copy, Debug)]
struct OpenAsk {
    lender: InstanceId,
    wanted: u64,
    calling: bool,
    /// Time at which the ask was created, before it was sent.
    at: Duration,
}

/// The books of one backend server: its budgets for repeats, with what it lends and borrows.
///
/// Repeats of work that makes calls are withdrawn from, lent by and credited to both budgets.
#[derive(Clone, Debug)]
pub struct RepeatBooks {
    all: BudgetBooks,
    calling: BudgetBooks,
    open_asks: BTreeMap<u64, OpenAsk>,
    /// Time of each recent ask, oldest first.
    ask_times: VecDeque<Duration>,
    /// Lenders that recently had nothing to lend, and since when.
    refused_by: BTreeMap<InstanceId, Duration>,
}

impl RepeatBooks {
    /// Creates books from the settings of the budget for all work and of the one for work that
    /// makes calls.
    #[must_use]
    pub fn new(all: &BudgetSettings, calling: &BudgetSettings) -> Self {
        Self {
            all: BudgetBooks::new(all),
            calling: BudgetBooks::new(calling),
            open_asks: BTreeMap::new(),
            ask_times: VecDeque::new(),
            refused_by: BTreeMap::new(),
        }
    }

    /// Sets the server's parts of the two budgets.
    pub fn set_parts(&mut self, all: BudgetPart, calling: BudgetPart) {
        self.all.budget.set_part(all);
        self.calling.budget.set_part(calling);
    }

    /// Sets the repeats that each hundred requests allow from now on in the two budgets.
    pub fn set_percents(&mut self, all: u32, calling: u32) {
        self.all.budget.set_percent(all);
        self.calling.budget.set_percent(calling);
    }

    /// Records the first arrival of a request.
    pub fn deposit(&mut self, now: Duration, calls: bool) {
        self.all.budget.deposit(now);
        if calls {
            self.calling.budget.deposit(now);
        }
    }

    /// Withdraws an arrival that cannot be refused, even if no repeat is left.
    pub fn charge(&mut self, now: Duration) {
        self.all.budget.charge(now);
    }

    /// Records that a repeat was requested from this server, or that it was charged. The requests
    /// of the last second are its demand.
    pub fn record_request(&mut self, now: Duration, calls: bool) {
        self.all.record_request(now);
        if calls {
            self.calling.record_request(now);
        }
    }

    /// Withdraws one repeat, from loans first. Returns `None` if the repeat must not be made.
    pub fn withdraw(&mut self, now: Duration, calls: bool) -> Option<RepeatOrigin> {
        let calling = if calls {
            Some(self.calling.withdraw(now)?)
        } else {
            None
        };
        let Some(all) = self.all.withdraw(now) else {
            if let Some(funding) = calling {
                self.calling.refund(now, funding);
            }
            return None;
        };
        Some(RepeatOrigin { all, calling })
    }

    /// Reverts the withdrawal of a repeat that was not made.
    pub fn refund(&mut self, now: Duration, origin: RepeatOrigin) {
        self.all.refund(now, origin.all);
        if let Some(funding) = origin.calling {
            self.calling.refund(now, funding);
        }
    }

    /// Restarts the window of a repeat that was withdrawn earlier and is made now. Returns its
    /// origin from now on, or `None` if it must not be made; it is then refunded.
    ///
    /// Guards against work that waits for a slot until after the end of its loan, or until its own
    /// withdrawal has expired. Such a repeat needs a new withdrawal.
    pub fn restart(&mut self, now: Duration, origin: RepeatOrigin) -> Option<RepeatOrigin> {
        let calling = match origin.calling {
            Some(funding) => {
                let Some(funding) = self.calling.restart(now, funding) else {
                    self.all.refund(now, origin.all);
                    return None;
                };
                Some(funding)
            }
            None => None,
        };
        let Some(all) = self.all.restart(now, origin.all) else {
            if let Some(funding) = calling {
                self.calling.refund(now, funding);
            }
            return None;
        };
        Some(RepeatOrigin { all, calling })
    }

    /// Returns the number of whole repeats left, including borrowed ones.
    pub fn balance(&mut self, now: Duration) -> u64 {
        self.all.budget.balance(now) + self.all.borrowed.count(now)
    }

    /// Returns the number of repeats requested in the last second.
    pub fn demand(&mut self, now: Duration) -> u64 {
        self.all.demand(now)
    }

    /// Lends up to `wanted` repeats for [`LOAN_DURATION`] and returns how many. The server keeps
    /// what was requested from it in the last second, and at least half of the rest.
    pub fn lend(&mut self, now: Duration, wanted: u64, calling: bool) -> u64 {
        let mut repeats = wanted.min(self.all.lendable(now));
        if calling {
            repeats = repeats.min(self.calling.lendable(now));
            self.calling.budget.lend(now, repeats, LOAN_DURATION);
        }
        self.all.budget.lend(now, repeats, LOAN_DURATION);
        repeats
    }

    /// Returns how many repeats the server should borrow, and whether for work that makes calls;
    /// `None` if it needs none or has asked for enough.
    pub fn shortage(&mut self, now: Duration) -> Option<(u64, bool)> {
        self.open_asks.retain(|_, ask| now < ask.at + LOAN_DURATION);
        let asked: u64 = self.open_asks.values().map(|ask| ask.wanted).sum();
        let calling_asks = self.open_asks.values().filter(|ask| ask.calling);
        let asked_calling: u64 = calling_asks.map(|ask| ask.wanted).sum();
        let calling = self.calling.shortage(now).saturating_sub(asked_calling);
        if calling > 0 {
            return Some((calling, true));
        }
        let all = self.all.shortage(now).saturating_sub(asked);
        (all > 0).then_some((all, false))
    }

    /// Returns the asks to send now: for the shortage, divided among lenders chosen by
    /// [`choose_lenders`], with at most three open and five in a second.
    ///
    /// `next_ask` is the number of the next ask of this daemon and is advanced.
    pub fn asks<R>(
        &mut self,
        now: Duration,
        candidates: &[LoanCandidate],
        next_ask: &mut u64,
        random: &mut R,
    ) -> Vec<LoanAsk>
    where
        R: Rng,
    {
        let Some((shortage, calling)) = self.shortage(now) else {
            return Vec::new();
        };
        let is_old = |at: &Duration| *at + ASK_PERIOD <= now;
        while self.ask_times.front().is_some_and(is_old) {
            self.ask_times.pop_front();
        }
        self.refused_by
            .retain(|_, since| now < *since + REFUSAL_RETENTION);
        let open = MAX_OPEN_ASKS.saturating_sub(self.open_asks.len());
        let count = open.min(MAX_ASKS.saturating_sub(self.ask_times.len()));
        let candidates: Vec<LoanCandidate> = candidates
            .iter()
            .filter(|candidate| !self.refused_by.contains_key(&candidate.instance))
            .copied()
            .collect();
        let lenders = choose_lenders(&candidates, count, random);
        let mut left = shortage;
        let mut asks = Vec::new();
        for (index, lender) in lenders.iter().enumerate() {
            let wanted = left.div_ceil((lenders.len() - index) as u64);
            if wanted == 0 {
                break;
            }
            left -= wanted;
            let ask = *next_ask;
            *next_ask = next_ask.wrapping_add(1);
            let lender = *lender;
            self.ask_times.push_back(now);
            let open_ask = OpenAsk {
                lender,
                wanted,
                calling,
                at: now,
            };
            self.open_asks.insert(ask, open_ask);
            asks.push(LoanAsk {
                lender,
                ask,
                wanted,
                calling,
            });
        }
        asks
    }

    /// Returns whether an ask is open.
    #[must_use]
    pub fn has_asked(&self, ask: u64) -> bool {
        self.open_asks.contains_key(&ask)
    }

    /// Credits the answer of a lender to an ask. Overdrawn charges are covered first; the rest may
    /// be used until [`LOAN_DURATION`] after the ask was created.
    ///
    /// # Errors
    ///
    /// Returns why the grant was dropped. The repeats are then lost until the lender's withdrawals
    /// expire.
    pub fn accept(
        &mut self,
        now: Duration,
        from: InstanceId,
        ask: u64,
        repeats: u64,
    ) -> Result<(), GrantError> {
        let open = *self.open_asks.get(&ask).ok_or(GrantError::NotAsked)?;
        if open.lender != from {
            return Err(GrantError::OtherLender);
        }
        self.open_asks.remove(&ask);
        if repeats > open.wanted {
            return Err(GrantError::AboveAsk);
        }
        if repeats == 0 {
            self.refused_by.insert(from, now);
            return Ok(());
        }
        let end = open.at + LOAN_DURATION;
        if now >= end {
            return Err(GrantError::Ended);
        }
        let covered = self.all.budget.cover_overdrafts(now, repeats);
        self.all.borrowed.add(end, repeats - covered);
        if open.calling {
            self.calling.borrowed.add(end, repeats);
        }
        Ok(())
    }

    /// Removes borrowed repeats whose loan has ended and returns their number, counted in the
    /// budget for all work.
    pub fn remove_ended(&mut self, now: Duration) -> u64 {
        self.calling.borrowed.remove_ended(now);
        self.all.borrowed.remove_ended(now)
    }

    /// Drops all borrowed repeats and open asks and returns the number of repeats dropped.
    ///
    /// Called after a pause that the monotonic clock may not show. The loans may have ended at
    /// their lenders, and the clock of this daemon would not tell.
    pub fn drop_loans(&mut self) -> u64 {
        self.open_asks.clear();
        self.calling.borrowed.ends.clear();
        let dropped = self.all.borrowed.ends.len() as u64;
        self.all.borrowed.ends.clear();
        dropped
    }
}

/// Numbers of the asks that a daemon has answered.
///
/// The numbers of a borrower ascend. An ask that is not newer than the last one is a duplicate or
/// was overtaken, and is not answered.
#[derive(Clone, Debug, Default)]
pub struct LoanAskHistory {
    newest: BTreeMap<InstanceId, (u64, Duration)>,
}

impl LoanAskHistory {
    /// Records an ask and returns whether it is to be answered.
    pub fn record(&mut self, now: Duration, from: InstanceId, ask: u64) -> bool {
        let newest = self.newest.get(&from);
        if newest.is_some_and(|(newest, _)| ask <= *newest) {
            return false;
        }
        self.newest.insert(from, (ask, now));
        true
    }

    /// Forgets borrowers that have not asked for a minute.
    pub fn remove_old(&mut self, now: Duration) {
        self.newest.retain(|_, (_, at)| now < *at + ASK_RETENTION);
    }
}
