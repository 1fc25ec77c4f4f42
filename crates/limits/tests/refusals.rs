//! Counts of the refusals of the last minute.

use std::time::Duration;

use sycamorelink_core::{CustomerName, RefusalCode};
use sycamorelink_limits::{RefusalSummary, RefusalWindow};

const START: Duration = Duration::from_secs(100);

fn account(number: usize) -> CustomerName {
    CustomerName::new(&format!("account-{number:04}"))
}

// Guards against a view in which refusals of an earlier overload stay after it has ended.
#[test]
fn refusals_leave_the_window_after_a_minute() {
    let mut window = RefusalWindow::default();
    window.record(START, RefusalCode::Overloaded, None);
    let later = START + RefusalWindow::LENGTH;
    let count = |at: Duration| window.summary(at, 10).reasons.values().sum::<u32>();
    assert_eq!(count(later.saturating_sub(Duration::from_secs(5))), 1);
    assert_eq!(count(later), 0);
    window.expire(later);
    assert!(window.is_empty());
}

// Guards against refusals that stay for hours after the clock stepped back.
#[test]
fn refusals_from_after_a_clock_step_are_dropped() {
    let mut window = RefusalWindow::default();
    window.record(START, RefusalCode::Overloaded, None);
    let earlier = START.saturating_sub(Duration::from_secs(50));
    assert_eq!(window.summary(earlier, 10), RefusalSummary::default());
    window.record(earlier, RefusalCode::LimitExceeded, None);
    let reasons = window.summary(earlier, 10).reasons;
    assert_eq!(reasons, [(RefusalCode::LimitExceeded, 1)].into());
}

// Guards against memory that grows with the number of accounts of a contract. The refusals of the
// accounts that have no count of their own are not lost.
#[test]
fn number_of_counted_accounts_is_bounded() {
    let mut window = RefusalWindow::default();
    for number in 0..1_000 {
        window.record(START, RefusalCode::Overloaded, Some(&account(number)));
    }
    window.record(START, RefusalCode::LimitExceeded, Some(&account(7)));
    let summary = window.summary(START, 10);
    assert_eq!(summary.accounts.len(), 10);
    assert_eq!(summary.accounts[0], (account(7), 2));
    let named: u32 = summary.accounts.iter().map(|(_, count)| count).sum();
    assert_eq!(named + summary.other_accounts, 1_001);
    assert_eq!(summary.reasons.values().sum::<u32>(), 1_001);
}
