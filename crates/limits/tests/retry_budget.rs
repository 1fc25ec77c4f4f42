//! Tests for retry budgets.

use std::time::Duration;

use sycamorelink_limits::{BudgetPart, BudgetSettings, MILLIS_PER_REPEAT, RetryBudget};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn settings(percent: u32, minimum: u32) -> BudgetSettings {
    BudgetSettings {
        percent,
        minimum_per_second: minimum,
        ..BudgetSettings::default()
    }
}

// Guards against a retry storm. When every first try fails, a thousand first tries allow a tenth of
// that in repeats.
#[test]
fn repeats_are_limited_to_a_tenth_of_first_tries() {
    let mut budget = RetryBudget::new(&settings(10, 0));
    let mut sent = 0;
    for millis in 0..1000 {
        budget.deposit(at(millis));
        sent += u32::from(budget.withdraw(at(millis)));
    }
    assert_eq!(sent, 100);
}

#[test]
fn minimum_holds_without_traffic() {
    let mut budget = RetryBudget::new(&settings(10, 2));
    assert_eq!(budget.balance(at(0)), 20);
    while budget.withdraw(at(0)) {}
    assert_eq!(budget.balance(at(9_000)), 0);
    assert_eq!(budget.balance(at(10_000)), 20);
}

#[test]
fn deposits_expire_with_the_window() {
    let mut budget = RetryBudget::new(&settings(10, 0));
    for _ in 0..100 {
        budget.deposit(at(500));
    }
    assert_eq!(budget.balance(at(500)), 10);
    assert_eq!(budget.balance(at(9_900)), 10);
    assert_eq!(budget.balance(at(10_500)), 0);
    assert_eq!(budget.balance(at(500_000)), 0);
}

#[test]
fn stopped_or_reversed_clock_adds_nothing() {
    let mut budget = RetryBudget::new(&settings(100, 0));
    budget.deposit(at(20_000));
    assert!(budget.withdraw(at(19_000)));
    assert!(!budget.withdraw(at(20_000)));
}

// Guards against small parts that never allow a repeat. A hundred nodes share a limit of 75 repeats
// per window, three quarters of a repeat each. With evenly spread thresholds, they repeat 75 times
// in total.
#[test]
fn small_parts_add_up_to_the_limit() {
    let mut sent = 0;
    for node in 1..=100 {
        let mut budget = RetryBudget::new(&settings(0, 0));
        budget.set_part(BudgetPart {
            slack: 750,
            threshold: node * MILLIS_PER_REPEAT / 100,
        });
        for failure in 0..20 {
            sent += u32::from(budget.withdraw(at(failure)));
        }
    }
    assert_eq!(sent, 75);
}

// Guards against a threshold below a whole repeat allowing more than one repeat per window.
#[test]
fn part_below_one_repeat_is_used_once_per_window() {
    let mut budget = RetryBudget::new(&settings(0, 0));
    budget.set_part(BudgetPart {
        slack: 750,
        threshold: 400,
    });
    assert!(budget.withdraw(at(500)));
    assert!(!budget.withdraw(at(9_900)));
    assert!(budget.withdraw(at(10_500)));
}

// Guards against losing track of repeats that cannot be refused. Their charge reduces the balance
// until the window has passed.
#[test]
fn charges_beyond_the_budget_leave_a_deficit() {
    let mut budget = RetryBudget::new(&settings(100, 0));
    budget.charge(at(0));
    budget.charge(at(0));
    budget.deposit(at(100));
    budget.deposit(at(100));
    assert!(!budget.withdraw(at(200)));
    budget.deposit(at(300));
    assert!(budget.withdraw(at(400)));
}

// Guards against withdrawals late in a part of the window that expire early and allow twice the
// budget in one window.
#[test]
fn no_window_holds_more_repeats_than_the_budget() {
    let mut budget = RetryBudget::new(&settings(0, 1));
    let mut withdrawn = Vec::new();
    for millis in (900..40_000).step_by(10) {
        if budget.withdraw(at(millis)) {
            withdrawn.push(millis);
        }
    }
    let count_in_window = |start: u64| {
        let window = start..start + 10_000;
        withdrawn
            .iter()
            .filter(|millis| window.contains(millis))
            .count()
    };
    let max_count = withdrawn
        .iter()
        .map(|millis| count_in_window(*millis))
        .max();
    assert_eq!(max_count, Some(10));
}

// Guards against repeats that wait for a slot and expire from the budget less than a window after
// they reached their server.
#[test]
fn restarted_withdrawal_counts_for_a_full_window() {
    let mut budget = RetryBudget::new(&settings(0, 1));
    while budget.withdraw(at(0)) {}
    for _ in 0..10 {
        budget.restart_withdrawal(at(3_000));
    }
    assert_eq!(budget.balance(at(12_900)), 0);
    assert_eq!(budget.balance(at(13_000)), 10);
}
