//! Detection of network partitions, when a large part of the fleet becomes unreachable.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamorelink_core::NodeId;

/// Minimum number of lost daemons for a partition; a single loss is a failure of that daemon.
const MIN_LOST: usize = 2;
/// A partition is reported when at least one in this many known daemons is lost. The loss of one of
/// three failure domains is above that share.
const PARTITION_DIVISOR: usize = 4;
/// A partition is over when fewer than one in this many known daemons are lost.
const HEALED_DIVISOR: usize = 8;
/// Time after which a lost daemon no longer counts: by then it was replaced under another name, or
/// its loss was reported long ago.
const LOST_RETENTION: Duration = Duration::from_hours(1);

/// Start or end of a network partition, as seen by one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionChange {
    /// A large part of the fleet is unreachable.
    Detected {
        /// Number of lost daemons.
        lost: usize,
        /// Number of known daemons, including the lost ones.
        known: usize,
    },
    /// Most of the fleet is reachable again.
    Healed {
        /// Number of daemons still lost.
        lost: usize,
    },
}

/// Detects network partitions on one daemon, by the share of known daemons that are lost.
///
/// Without the monitor, a partition between failure domains would only show as a hundred log lines
/// about single daemons, and operators would look at these daemons instead of the network. Daemons
/// that left by themselves do not count as lost.
#[derive(Debug, Default)]
pub struct PartitionMonitor {
    up: BTreeSet<NodeId>,
    lost: BTreeMap<NodeId, Duration>,
    partitioned: bool,
}

impl PartitionMonitor {
    /// Records that a daemon is up.
    pub fn up(&mut self, node: NodeId) -> Option<PartitionChange> {
        self.lost.remove(&node);
        self.up.insert(node);
        self.change()
    }

    /// Records that the fleet has declared a daemon down.
    pub fn lost(&mut self, now: Duration, node: NodeId) -> Option<PartitionChange> {
        self.up.remove(&node);
        self.lost.insert(node, now);
        self.change()
    }

    /// Records that a daemon left by itself.
    pub fn left(&mut self, node: NodeId) {
        self.up.remove(&node);
        self.lost.remove(&node);
    }

    /// Drops daemons that were lost more than an hour ago.
    ///
    /// When this ends a partition, no change is reported, because no daemon came back.
    pub fn expire_lost(&mut self, now: Duration) {
        self.lost
            .retain(|_, since| now.saturating_sub(*since) < LOST_RETENTION);
        self.partitioned &= !self.is_healed();
    }

    fn change(&mut self) -> Option<PartitionChange> {
        let lost = self.lost.len();
        let known = lost + self.up.len();
        if !self.partitioned && lost >= MIN_LOST && lost * PARTITION_DIVISOR >= known {
            self.partitioned = true;
            return Some(PartitionChange::Detected { lost, known });
        }
        if self.partitioned && self.is_healed() {
            self.partitioned = false;
            return Some(PartitionChange::Healed { lost });
        }
        None
    }

    fn is_healed(&self) -> bool {
        self.lost.len() * HEALED_DIVISOR < self.lost.len() + self.up.len()
    }
}
