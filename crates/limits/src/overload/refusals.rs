//! Counts of recent refusals by reason and by client account, for operators.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use sycamorelink_core::{CustomerName, RefusalCode};

/// Length of the part of the window that is dropped at once.
const SLICE_TIME: Duration = Duration::from_secs(5);
/// Number of slices in the window.
const SLICES: u64 = 12;
/// Maximum number of accounts that are counted by name in one slice. It bounds the memory of a
/// window, however many accounts a contract has.
const MAX_ACCOUNTS: usize = 64;

/// Refusals in one slice of the window.
#[derive(Clone, Debug, Default)]
struct RefusalSlice {
    number: u64,
    reasons: BTreeMap<RefusalCode, u32>,
    accounts: BTreeMap<CustomerName, u32>,
    other_accounts: u32,
}

/// Refusals of the last minute for one service, as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusalSummary {
    /// Number of refusals by reason.
    pub reasons: BTreeMap<RefusalCode, u32>,
    /// Number of refusals of the accounts with most refusals, most first.
    pub accounts: Vec<(CustomerName, u32)>,
    /// Number of refusals of all other accounts.
    pub other_accounts: u32,
}

/// Refusals of the last minute for one service.
///
/// The window ends at most one slice of 5 s short of a minute.
#[derive(Clone, Debug, Default)]
pub struct RefusalWindow {
    /// Slices with refusals, oldest first.
    slices: VecDeque<RefusalSlice>,
}

impl RefusalWindow {
    /// Time that the window covers.
    pub const LENGTH: Duration = Duration::from_mins(1);

    /// Counts a refusal; `account` is `None` if the caller has none.
    pub fn record(&mut self, now: Duration, code: RefusalCode, account: Option<&CustomerName>) {
        self.expire(now);
        let number = slice_number(now);
        if self.slices.back().is_none_or(|last| last.number != number) {
            self.slices.push_back(RefusalSlice {
                number,
                ..RefusalSlice::default()
            });
        }
        let Some(slice) = self.slices.back_mut() else {
            return;
        };
        add(slice.reasons.entry(code).or_default(), 1);
        let Some(account) = account else {
            return;
        };
        if let Some(count) = slice.accounts.get_mut(account) {
            add(count, 1);
        } else if slice.accounts.len() < MAX_ACCOUNTS {
            slice.accounts.insert(account.clone(), 1);
        } else {
            add(&mut slice.other_accounts, 1);
        }
    }

    /// Drops the refusals that are older than the window, and those from after `now`, which a clock
    /// that stepped back leaves behind.
    pub fn expire(&mut self, now: Duration) {
        self.slices.retain(|slice| is_covered(slice, now));
    }

    /// Returns whether the window has no refusals.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// Returns the refusals of the last minute, with at most `max_accounts` accounts.
    #[must_use]
    pub fn summary(&self, now: Duration, max_accounts: usize) -> RefusalSummary {
        let mut summary = RefusalSummary::default();
        let mut by_account: BTreeMap<&CustomerName, u32> = BTreeMap::new();
        for slice in self.slices.iter().filter(|slice| is_covered(slice, now)) {
            for (code, count) in &slice.reasons {
                add(summary.reasons.entry(*code).or_default(), *count);
            }
            for (account, count) in &slice.accounts {
                add(by_account.entry(account).or_default(), *count);
            }
            add(&mut summary.other_accounts, slice.other_accounts);
        }
        let mut ranked: Vec<(&CustomerName, u32)> = by_account.into_iter().collect();
        ranked.sort_by(|(a, more), (b, less)| less.cmp(more).then_with(|| a.cmp(b)));
        for (_, count) in ranked.iter().skip(max_accounts) {
            add(&mut summary.other_accounts, *count);
        }
        let most = ranked.into_iter().take(max_accounts);
        summary.accounts = most.map(|(name, count)| (name.clone(), count)).collect();
        summary
    }
}

fn slice_number(now: Duration) -> u64 {
    now.as_secs() / SLICE_TIME.as_secs()
}

fn is_covered(slice: &RefusalSlice, now: Duration) -> bool {
    let age = slice_number(now).checked_sub(slice.number);
    age.is_some_and(|age| age < SLICES)
}

fn add(count: &mut u32, more: u32) {
    *count = count.saturating_add(more);
}
