//! Retry budget: limits retries to a share of first tries, so that retries cannot outlast the fault
//! that caused them.
//!
//! Each first try deposits `percent` of a token, a minimum accrues with time, and each repeat (a
//! retry or a hedge) withdraws one token. Deposits older than the window no longer count. One
//! budget belongs to one customer and service. Hedges have a separate budget, so that hedges for
//! slow replies cannot use up the retries for failed requests.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList};

/// Number of parts of the window in which deposits are summed; each part expires as a whole.
const WINDOW_PARTS: usize = 10;
/// Token units per token.
const TOKEN: u64 = 100_000;
/// Token units that one first try deposits for each percent.
const TOKEN_PER_PERCENT: u64 = TOKEN / 100;

/// Units of a [`BudgetPart`] per repeat.
pub const MILLIS_PER_REPEAT: u64 = 1000;

/// One node's part of a budget that many nodes share, in thousandths of a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetPart {
    /// Repeats that each window allows regardless of the traffic.
    pub slack: u64,
    /// Remaining budget that allows a repeat: a whole repeat, or less where the parts are small.
    ///
    /// If a fleet-wide limit is divided into parts smaller than a repeat, no node would ever have a
    /// whole one, and requests would fail that the fleet could repeat. When many nodes draw their
    /// thresholds evenly from one to a thousand, their total repeats equal the sum of their parts.
    /// A single node exceeds its own part by less than one repeat.
    pub threshold: u64,
}

impl Default for BudgetPart {
    fn default() -> Self {
        Self {
            slack: 0,
            threshold: MILLIS_PER_REPEAT,
        }
    }
}

/// Settings of one budget.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetSettings {
    /// Repeats allowed for each hundred first tries.
    pub percent: u32,
    /// Repeats allowed each second whatever the traffic.
    pub minimum_per_second: u32,
    /// How long a first try counts.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub window: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            percent: 10,
            minimum_per_second: 1,
            window: Duration::from_secs(10),
        }
    }
}

impl BudgetSettings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns every finding, with its path below `place`.
    pub fn validate(&self, place: &str) -> Result<(), FindingList> {
        let mut findings = FindingList::default();
        findings.expect(
            self.percent <= 100,
            &format!("{place}.percent"),
            "must be 0 to 100",
        );
        findings.expect(
            self.window >= Duration::from_secs(1),
            &format!("{place}.window"),
            "must be 1s or more",
        );
        findings.into_result()
    }
}

/// Budget of one customer at one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    minimum_per_second: u64,
    part_duration: Duration,
    window: Duration,
    node_part: BudgetPart,
    deposits: [u64; WINDOW_PARTS],
    /// Time of each withdrawal, oldest first.
    ///
    /// Unlike deposits, withdrawals are not summed by parts of the window: a withdrawal would
    /// expire up to one part early, and a window could hold nearly twice the budget.
    withdrawals: VecDeque<Duration>,
    /// End of each repeat that is lent to another node, oldest first. A loan counts as a withdrawal
    /// until one window after its end.
    lent: VecDeque<Duration>,
    /// Time of each charge that exceeded the balance, oldest first. These charges are also in
    /// `withdrawals`.
    overdrafts: VecDeque<Duration>,
    newest_part: u64,
    /// Latest `now` of any call. Keeps `withdrawals` in order if the clock steps back.
    latest_now: Duration,
}

impl RetryBudget {
    /// Creates a budget that holds the minimum of one window.
    #[must_use]
    pub fn new(settings: &BudgetSettings) -> Self {
        Self {
            percent: u64::from(settings.percent),
            minimum_per_second: u64::from(settings.minimum_per_second),
            part_duration: settings.window / u32::try_from(WINDOW_PARTS).unwrap_or(u32::MAX),
            window: settings.window,
            node_part: BudgetPart::default(),
            deposits: [0; WINDOW_PARTS],
            withdrawals: VecDeque::new(),
            lent: VecDeque::new(),
            overdrafts: VecDeque::new(),
            newest_part: 0,
            latest_now: Duration::ZERO,
        }
    }

    /// Sets this node's part of a budget that many nodes share.
    pub fn set_part(&mut self, part: BudgetPart) {
        self.node_part = part;
    }

    /// Sets the repeats allowed for each hundred first tries from now on.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Records one first try.
    pub fn deposit(&mut self, now: Duration) {
        let index = self.advance(now);
        self.deposits[index] += self.percent * TOKEN_PER_PERCENT;
    }

    /// Withdraws one repeat. Returns false if the repeat must not be sent.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        self.advance(now);
        if self.balance_units() / TOKEN == 0 {
            return false;
        }
        self.withdrawals.push_back(self.latest_now);
        true
    }

    /// Withdraws one repeat that is sent regardless of the balance. A deficit lasts until the
    /// window has passed.
    pub fn charge(&mut self, now: Duration) {
        self.advance(now);
        if self.balance_units() / TOKEN == 0 {
            self.overdrafts.push_back(self.latest_now);
        }
        self.withdrawals.push_back(self.latest_now);
    }

    /// Reverts the withdrawal of a repeat that was not sent. Removes the oldest withdrawal, so that
    /// no later one expires early.
    pub fn refund(&mut self, now: Duration) {
        self.advance(now);
        self.withdrawals.pop_front();
    }

    /// Restarts the window of a repeat that was withdrawn earlier and is sent now. Replaces the
    /// oldest withdrawal.
    pub fn restart_withdrawal(&mut self, now: Duration) {
        self.refund(now);
        self.withdrawals.push_back(self.latest_now);
    }

    /// Returns the number of whole repeats that this budget could still withdraw `duration` from
    /// now if nothing else is deposited or withdrawn.
    ///
    /// Deposits that expire earlier do not count. A loan may be used until its end, and the window
    /// that ends with its use no longer contains these deposits.
    pub fn balance_after(&mut self, now: Duration, duration: Duration) -> u64 {
        self.advance(now);
        let horizon = self.horizon().max(self.latest_now + duration);
        self.balance_units_at(horizon) / TOKEN
    }

    /// Lends repeats for `duration`. They count as withdrawals until one window after the end of
    /// the loan, since the borrower may use them until that end.
    ///
    /// Lends as many as requested; the caller limits the number with [`Self::balance_after`].
    pub fn lend(&mut self, now: Duration, repeats: u64, duration: Duration) {
        self.advance(now);
        let end = self.latest_now + duration;
        self.lent.extend((0..repeats).map(|_| end));
    }

    /// Returns the number of charges in the window that exceeded the balance and that no deposit
    /// has made up for.
    pub fn overdrawn(&mut self, now: Duration) -> u64 {
        self.advance(now);
        let taken = TOKEN * self.withdrawal_count();
        let deficit = taken.saturating_sub(self.allowance_units(self.latest_now));
        deficit.div_ceil(TOKEN).min(self.overdrafts.len() as u64)
    }

    /// Covers overdrawn charges with borrowed repeats and returns how many were covered. The
    /// withdrawals are removed here, because the lender counts them for longer than this budget
    /// would.
    pub fn cover_overdrafts(&mut self, now: Duration, repeats: u64) -> u64 {
        let covered = self.overdrawn(now).min(repeats);
        for _ in 0..covered {
            self.overdrafts.pop_front();
            self.withdrawals.pop_front();
        }
        covered
    }

    /// Returns the number of whole repeats left.
    pub fn balance(&mut self, now: Duration) -> u64 {
        self.advance(now);
        self.balance_units() / TOKEN
    }

    fn balance_units(&self) -> u64 {
        self.balance_units_at(self.horizon())
    }

    /// Returns the latest time at which a repeat that this budget granted may still be made.
    ///
    /// While a loan is out, a withdrawal must not rely on deposits that expire before its end:
    /// otherwise, the loan and the withdrawal together could exceed what the window at that end
    /// allows.
    fn horizon(&self) -> Duration {
        let last_end = self.lent.back().copied().unwrap_or_default();
        last_end.max(self.latest_now)
    }

    fn balance_units_at(&self, horizon: Duration) -> u64 {
        let taken = TOKEN * self.withdrawal_count();
        self.allowance_units(horizon).saturating_sub(taken)
    }

    fn withdrawal_count(&self) -> u64 {
        (self.withdrawals.len() + self.lent.len()) as u64
    }

    /// Returns what the window that ends at `horizon` allows, from the deposits made so far.
    fn allowance_units(&self, horizon: Duration) -> u64 {
        let minimum = self.minimum_per_second * TOKEN * self.window.as_secs().max(1);
        let BudgetPart { slack, threshold } = self.node_part;
        let advance_credit = MILLIS_PER_REPEAT.saturating_sub(threshold);
        let node_share = (slack + advance_credit) * (TOKEN / MILLIS_PER_REPEAT);
        let expiring_parts = self.part_number(horizon).saturating_sub(self.newest_part);
        let kept_parts = (WINDOW_PARTS as u64).saturating_sub(expiring_parts);
        let newest_parts = (0..kept_parts).filter_map(|age| self.newest_part.checked_sub(age));
        let deposits: u64 = newest_parts
            .map(|number| self.deposits[index_of(number)])
            .sum();
        minimum + node_share + deposits
    }

    fn part_number(&self, at: Duration) -> u64 {
        u64::try_from(at.as_nanos() / self.part_duration.as_nanos().max(1)).unwrap_or(0)
    }

    /// Removes expired withdrawals and deposits, and returns the index of the newest part of the
    /// deposits.
    fn advance(&mut self, now: Duration) -> usize {
        self.latest_now = self.latest_now.max(now);
        let oldest = self.latest_now.checked_sub(self.window);
        if let Some(oldest) = oldest {
            remove_until(&mut self.withdrawals, oldest);
            remove_until(&mut self.lent, oldest);
            remove_until(&mut self.overdrafts, oldest);
        }
        let part_count = WINDOW_PARTS as u64;
        let part_number = self.part_number(now);
        let first_part = self.newest_part + 1;
        let elapsed_parts = part_number.saturating_sub(self.newest_part).min(part_count);
        for part_number in first_part..first_part + elapsed_parts {
            let index = index_of(part_number);
            self.deposits[index] = 0;
        }
        self.newest_part = self.newest_part.max(part_number);
        index_of(self.newest_part)
    }
}

/// Removes the times up to `oldest` from the front of an ascending list.
fn remove_until(times: &mut VecDeque<Duration>, oldest: Duration) {
    let expired = times.iter().take_while(|at| **at <= oldest).count();
    times.drain(..expired);
}

fn index_of(part_number: u64) -> usize {
    usize::try_from(part_number % WINDOW_PARTS as u64).unwrap_or(0)
}
