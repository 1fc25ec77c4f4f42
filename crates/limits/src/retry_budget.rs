//! Retry budget: repeats allowed as a share of first tries, so that retries cannot outlive the
//! fault that caused them.
//!
//! Each first try deposits `percent` of a token, a minimum accrues with time, and each retry
//! withdraws one token. Deposits older than the window no longer count. One budget belongs to one
//! customer and service; hedges have a budget of their own, so that hedges for slow replies cannot
//! use up the retries for failed ones.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList};

/// Parts of the window by which deposits are summed; each part expires as a whole.
const WINDOW_PARTS: usize = 10;
/// One token in the smallest unit.
const TOKEN: u64 = 100_000;
/// Token units that one first try deposits for each percent.
const TOKEN_PER_PERCENT: u64 = TOKEN / 100;

/// One whole repeat in the unit of a [`BudgetPart`].
pub const WHOLE_REPEAT: u64 = 1000;

/// One node's part of a budget that many nodes share, in thousandths of a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetPart {
    /// Repeats that each window allows whatever the traffic.
    pub slack: u64,
    /// What has to be left for a repeat: a whole one, or less where the parts are small.
    ///
    /// Failure: a bound of the whole fleet is kept in so small parts that no node ever has a whole
    /// repeat, and requests fail that the fleet might repeat. Where each of many nodes draws its
    /// threshold evenly from one to a thousand, what they allow together is the sum of their parts; a
    /// node alone goes beyond its own part by less than one repeat.
    pub threshold: u64,
}

impl Default for BudgetPart {
    fn default() -> Self {
        Self {
            slack: 0,
            threshold: WHOLE_REPEAT,
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
    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Every finding with its place under `place`.
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

/// The budget of one customer at one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    minimum_per_second: u64,
    part: Duration,
    window: Duration,
    part_of_all: BudgetPart,
    deposits: [u64; WINDOW_PARTS],
    /// Time of each withdrawal, oldest first.
    ///
    /// Not summed by parts of the window like deposits: a withdrawal would expire up to one part early, and
    /// a window could hold nearly twice the budget.
    withdrawals: VecDeque<Duration>,
    newest: u64,
    /// Latest `now` of any call, so that a clock that steps back keeps `withdrawals` in order.
    latest_now: Duration,
}

impl RetryBudget {
    /// Creates a budget that holds the minimum of one window.
    #[must_use]
    pub fn new(settings: &BudgetSettings) -> Self {
        Self {
            percent: u64::from(settings.percent),
            minimum_per_second: u64::from(settings.minimum_per_second),
            part: settings.window / u32::try_from(WINDOW_PARTS).unwrap_or(u32::MAX),
            window: settings.window,
            part_of_all: BudgetPart::default(),
            deposits: [0; WINDOW_PARTS],
            withdrawals: VecDeque::new(),
            newest: 0,
            latest_now: Duration::ZERO,
        }
    }

    /// Sets this node's part of a budget that many nodes share.
    pub fn set_part(&mut self, part: BudgetPart) {
        self.part_of_all = part;
    }

    /// Counts one first try.
    pub fn deposit(&mut self, now: Duration) {
        let slot = self.advance(now);
        self.deposits[slot] += self.percent * TOKEN_PER_PERCENT;
    }

    /// Takes one repeat out of the budget. False means that the repeat must not be sent.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        self.advance(now);
        if self.balance_units() / TOKEN == 0 {
            return false;
        }
        self.withdrawals.push_back(self.latest_now);
        true
    }

    /// Takes one repeat that is made whether or not one is left. What is owed is missing until the window
    /// has passed.
    pub fn charge(&mut self, now: Duration) {
        self.advance(now);
        self.withdrawals.push_back(self.latest_now);
    }

    /// Gives back a repeat that was taken and not made. Removes the oldest withdrawal, so that no later one
    /// expires early.
    pub fn refund(&mut self, now: Duration) {
        self.advance(now);
        self.withdrawals.pop_front();
    }

    /// Restarts the window of a repeat that was taken earlier and is made now. Replaces the oldest withdrawal.
    pub fn restart_withdrawal(&mut self, now: Duration) {
        self.refund(now);
        self.charge(now);
    }

    /// Whole repeats left.
    pub fn balance(&mut self, now: Duration) -> u64 {
        self.advance(now);
        self.balance_units() / TOKEN
    }

    fn balance_units(&self) -> u64 {
        let minimum = self.minimum_per_second * TOKEN * self.window.as_secs().max(1);
        let deposits: u64 = self.deposits.iter().sum();
        let withdrawals = TOKEN * self.withdrawals.len() as u64;
        let BudgetPart { slack, threshold } = self.part_of_all;
        let ahead = WHOLE_REPEAT.saturating_sub(threshold);
        let shared = (slack + ahead) * (TOKEN / WHOLE_REPEAT);
        (minimum + shared + deposits).saturating_sub(withdrawals)
    }

    /// Removes expired withdrawals and deposits, and returns the slot of the newest part of the deposits.
    fn advance(&mut self, now: Duration) -> usize {
        self.latest_now = self.latest_now.max(now);
        let is_expired = |at: &Duration| *at + self.window <= self.latest_now;
        let expired = self
            .withdrawals
            .iter()
            .take_while(|at| is_expired(at))
            .count();
        self.withdrawals.drain(..expired);
        let parts = WINDOW_PARTS as u64;
        let number = u64::try_from(now.as_nanos() / self.part.as_nanos().max(1)).unwrap_or(0);
        let first = self.newest + 1;
        let passed = number.saturating_sub(self.newest).min(parts);
        for number in first..first + passed {
            let slot = slot_of(number);
            self.deposits[slot] = 0;
        }
        self.newest = self.newest.max(number);
        slot_of(self.newest)
    }
}

fn slot_of(number: u64) -> usize {
    usize::try_from(number % WINDOW_PARTS as u64).unwrap_or(0)
}
