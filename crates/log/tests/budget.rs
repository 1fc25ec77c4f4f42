//! Appends that wait for the budget.

mod support;

use std::cell::Cell;
use std::time::Duration;

use support::run;
use sycamorelink_core::ManualClock;
use sycamorelink_log::{AppendBudget, AppendPurpose, await_budget};

/// Looks at the stop after which the test gives up.
const MOST_LOOKS: u32 = 3;

// The operator tells a drained daemon to stop and waits for it to end. Appends still wait for the
// budget, more than half a minute's worth. The node makes what the burst allows and drops the rest:
// peers have agreed on all of it.
#[test]
fn appends_that_wait_do_not_hold_up_a_stop() {
    let clock = ManualClock::new(Duration::ZERO);
    let mut budget = AppendBudget::new(2.0, 16);
    let purpose = AppendPurpose::RosterChange;
    run(async {
        let mut made = 0;
        for _ in 0..64 {
            if await_budget(&mut budget, &clock, purpose, || true).await {
                made += 1;
            }
        }
        assert_eq!(made, 15);
    });
}

// A node that goes on waits for room as long as it takes.
#[test]
fn a_node_that_goes_on_waits_for_room() {
    let clock = ManualClock::new(Duration::ZERO);
    let mut budget = AppendBudget::new(2.0, 2);
    let purpose = AppendPurpose::RosterChange;
    let looks = Cell::new(0);
    let is_stopping = || {
        looks.set(looks.get() + 1);
        looks.get() > MOST_LOOKS
    };
    run(async {
        let first = await_budget(&mut budget, &clock, purpose, || true).await;
        let second = await_budget(&mut budget, &clock, purpose, is_stopping).await;
        assert!(first && !second);
    });
    assert_eq!(looks.get(), MOST_LOOKS + 1);
}
