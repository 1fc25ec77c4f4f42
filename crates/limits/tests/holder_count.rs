//! Tests for the number of holders among which a limit is divided.

use std::time::Duration;

use sycamorelink_limits::HolderCount;

const RETENTION: Duration = Duration::from_mins(1);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

// Guards against parts that grow while partitioned holders still use theirs.
#[test]
fn lower_count_takes_effect_after_retention() {
    let mut count = HolderCount::new(RETENTION);
    assert_eq!(count.observe(at(0), 40), 40);
    assert_eq!(count.observe(at(59), 20), 40);
    assert_eq!(count.observe(at(100), 20), 40);
    assert_eq!(count.observe(at(119), 20), 40);
    assert_eq!(count.observe(at(181), 20), 20);
}

#[test]
fn higher_count_takes_effect_immediately() {
    let mut count = HolderCount::new(RETENTION);
    assert_eq!(count.observe(at(0), 3), 3);
    assert_eq!(count.observe(at(1), 40), 40);
}

// Guards against an outdated maximum being retained after a long time without observations.
#[test]
fn outdated_maximum_is_discarded() {
    let mut count = HolderCount::new(RETENTION);
    assert_eq!(count.observe(at(0), 40), 40);
    assert_eq!(count.observe(at(600), 20), 20);
}
