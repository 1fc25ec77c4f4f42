//! Snapshot test of the quick table of shares, admission and retries.

use sycamorelink_lab::shares::{LimiterKind, ShareOptions, run_table};

#[test]
fn quick_table_matches_snapshot() {
    let table = run_table(&ShareOptions::quick());
    insta::assert_snapshot!(table.to_text());
    for row in table.shares {
        if row.limiter == LimiterKind::Leases {
            let fault = row.fault.name();
            assert!(row.in_force_percent <= 100.0, "above the contract: {fault}");
            assert!(row.overshoot_percent <= 0.0, "above the contract: {fault}");
        }
    }
}
