//! Detection of network partitions from lost daemons.

use std::time::Duration;

use sycamorelink_core::NodeId;
use sycamorelink_telemetry::reach::{PartitionChange, PartitionMonitor};

const MINUTE: Duration = Duration::from_mins(1);
const HOUR: Duration = Duration::from_hours(1);

fn monitor_of(count: u64) -> PartitionMonitor {
    let mut monitor = PartitionMonitor::default();
    for node in 0..count {
        assert_eq!(monitor.up(NodeId(node)), None);
    }
    monitor
}

/// The network between two failure domains fails, and a third of the fleet is lost one daemon at a
/// time. The partition and its end are each reported once.
#[test]
fn partition_and_its_end_are_reported_once() {
    let mut monitor = monitor_of(30);
    let changes: Vec<_> = (0..10)
        .filter_map(|node| monitor.lost(MINUTE, NodeId(node)))
        .collect();
    assert_eq!(changes, [PartitionChange::Detected { lost: 8, known: 30 }]);
    let changes: Vec<_> = (0..10)
        .filter_map(|node| monitor.up(NodeId(node)))
        .collect();
    assert_eq!(changes, [PartitionChange::Healed { lost: 3 }]);
}

/// The failure of a single daemon is not a partition, whatever the size of the fleet.
#[test]
fn single_losses_are_not_a_partition() {
    for count in [1, 2, 3, 100] {
        let mut monitor = monitor_of(count);
        assert_eq!(monitor.lost(MINUTE, NodeId(0)), None);
        assert_eq!(monitor.up(NodeId(0)), None);
    }
}

/// Two of three peers are lost. The daemon reaches only one and may itself be cut off.
#[test]
fn two_losses_partition_a_small_fleet() {
    let mut monitor = monitor_of(3);
    assert_eq!(monitor.lost(MINUTE, NodeId(0)), None);
    let split = PartitionChange::Detected { lost: 2, known: 3 };
    assert_eq!(monitor.lost(MINUTE, NodeId(1)), Some(split));
    assert_eq!(monitor.up(NodeId(0)), None);
    assert_eq!(
        monitor.up(NodeId(1)),
        Some(PartitionChange::Healed { lost: 0 })
    );
}

/// A release replaces every daemon, one after the other, under new names. Daemons that left do not
/// count as lost, and daemons lost more than an hour ago no longer count.
#[test]
fn replacements_are_not_a_partition() {
    let mut monitor = monitor_of(8);
    for node in 0..8 {
        monitor.left(NodeId(node));
        assert_eq!(monitor.up(NodeId(100 + node)), None);
    }
    for node in 0..8 {
        let now = HOUR * u32::try_from(node).expect("few daemons") * 2;
        monitor.expire_lost(now);
        assert_eq!(monitor.lost(now, NodeId(100 + node)), None);
        assert_eq!(monitor.up(NodeId(200 + node)), None);
    }
}

/// The lost daemons never come back. The partition expires without a report, and a later one is
/// reported again.
#[test]
fn partition_is_reported_again_after_lost_daemons_expire() {
    let mut monitor = monitor_of(4);
    assert_eq!(monitor.lost(MINUTE, NodeId(0)), None);
    assert!(monitor.lost(MINUTE, NodeId(1)).is_some());
    monitor.expire_lost(MINUTE + HOUR);
    assert_eq!(monitor.up(NodeId(4)), None);
    assert_eq!(monitor.lost(HOUR, NodeId(2)), None);
    assert!(monitor.lost(HOUR, NodeId(3)).is_some());
}
