//! Waiting for the append budget.

mod support;

use std::cell::Cell;
use std::time::Duration;

use support::run_local;
use sycamorelink_core::ManualClock;
use sycamorelink_log::{AppendBudget, AppendPurpose, await_budget};

/// Number of stop checks that report a running node.
const MAX_STOP_CHECKS: u32 = 3;

// A drained daemon is told to stop while more than half a minute's worth of appends wait for the
// budget. The node makes those that the burst allows and drops the rest, which its peers hold too.
#[test]
fn waiting_appends_do_not_delay_a_stop() {
    let clock = ManualClock::new(Duration::ZERO);
    let mut budget = AppendBudget::new(2.0, 16);
    let purpose = AppendPurpose::RosterChange;
    run_local(async {
        let mut append_count = 0;
        for _ in 0..64 {
            if await_budget(&mut budget, &clock, purpose, || true).await {
                append_count += 1;
            }
        }
        assert_eq!(append_count, 15);
    });
}

// A node that is not stopping waits until the append is allowed.
#[test]
fn running_node_waits_for_the_budget() {
    let clock = ManualClock::new(Duration::ZERO);
    let mut budget = AppendBudget::new(2.0, 2);
    let purpose = AppendPurpose::RosterChange;
    let stop_checks = Cell::new(0);
    let is_stopping = || {
        stop_checks.set(stop_checks.get() + 1);
        stop_checks.get() > MAX_STOP_CHECKS
    };
    run_local(async {
        let first = await_budget(&mut budget, &clock, purpose, || true).await;
        let second = await_budget(&mut budget, &clock, purpose, is_stopping).await;
        assert!(first && !second);
    });
    assert_eq!(stop_checks.get(), MAX_STOP_CHECKS + 1);
}
