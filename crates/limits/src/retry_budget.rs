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
            newest_part: 0,
            latest_now: Duration::ZERO,
        }
    }

    /// Sets this node's part of a budget that many nodes share.
    pub fn set_part(&mut self, part: BudgetPart) {
        self.node_part = part;
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
        self.charge(now);
    }

    /// Returns the number of whole repeats left.
    pub fn balance(&mut self, now: Duration) -> u64 {
        self.advance(now);
        self.balance_units() / TOKEN
    }

    fn balance_units(&self) -> u64 {
        let minimum = self.minimum_per_second * TOKEN * self.window.as_secs().max(1);
        let deposits: u64 = self.deposits.iter().sum();
        let withdrawals = TOKEN * self.withdrawals.len() as u64;
        let BudgetPart { slack, threshold } = self.node_part;
        let advance_credit = MILLIS_PER_REPEAT.saturating_sub(threshold);
        let node_share = (slack + advance_credit) * (TOKEN / MILLIS_PER_REPEAT);
        (minimum + node_share + deposits).saturating_sub(withdrawals)
    }

    /// Removes expired withdrawals and deposits, and returns the index of the newest part of the
    /// deposits.
    fn advance(&mut self, now: Duration) -> usize {
        self.latest_now = self.latest_now.max(now);
        let is_expired = |at: &Duration| *at + self.window <= self.latest_now;
        let expired = self
            .withdrawals
            .iter()
            .take_while(|at| is_expired(at))
            .count();
        self.withdrawals.drain(..expired);
        let part_count = WINDOW_PARTS as u64;
        let part_number =
            u64::try_from(now.as_nanos() / self.part_duration.as_nanos().max(1)).unwrap_or(0);
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

fn index_of(part_number: u64) -> usize {
    usize::try_from(part_number % WINDOW_PARTS as u64).unwrap_or(0)
}
