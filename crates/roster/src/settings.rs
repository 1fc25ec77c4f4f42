//! Settings of the roster.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList};

/// Smallest datagram limit that still holds a bucket digest and its header, in bytes.
const SMALLEST_DATAGRAM: usize = 800;

/// Smallest budget at which probes and their answers alone fit, in bytes a second.
const SMALLEST_BUDGET: u32 = 1_000;

/// Settings of the roster. Every value has a default.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RosterSettings {
    /// Time between two probes of members.
    #[serde_as(as = "DurationText")]
    pub probe_interval: Duration,
    /// How long a probe waits for the member's own answer before helpers are asked.
    #[serde_as(as = "DurationText")]
    pub probe_timeout: Duration,
    /// How long helpers have to answer.
    #[serde_as(as = "DurationText")]
    pub helper_timeout: Duration,
    /// Helpers asked for one indirect probe, taken from as many failure domains as possible.
    pub helpers: usize,
    /// Shortest time from suspicion to death, with all confirmations there.
    #[serde_as(as = "DurationText")]
    pub suspicion_shortest: Duration,
    /// Longest time from suspicion to death, with no confirmation.
    #[serde_as(as = "DurationText")]
    pub suspicion_longest: Duration,
    /// Other observers that must confirm for the shortest suspicion.
    pub confirmations: usize,
    /// Time between two rounds of rumours.
    #[serde_as(as = "DurationText")]
    pub gossip_interval: Duration,
    /// Peers told in each round.
    pub fanout: usize,
    /// Peers a leaving node tells directly, at once.
    pub leave_fanout: usize,
    /// Times a rumour is sent on by each node, for each power of ten of the fleet's size.
    pub transmit_factor: u32,
    /// Shortest time between two digest exchanges started by this node.
    #[serde_as(as = "DurationText")]
    pub sync_interval: Duration,
    /// Time between two probes of members found dead, so that a healed cut is noticed.
    #[serde_as(as = "DurationText")]
    pub dead_probe_interval: Duration,
    /// How long a dead member is remembered and probed.
    #[serde_as(as = "DurationText")]
    pub forget_after: Duration,
    /// Silence of the node itself after which it takes itself for paused.
    #[serde_as(as = "DurationText")]
    pub stall_threshold: Duration,
    /// Bytes sent a second, with headers of IP and UDP.
    pub bytes_per_second: u32,
    /// Bytes that may be saved up for a burst.
    pub burst_bytes: u32,
    /// Largest datagram payload, in bytes. What seals a datagram comes on top.
    pub datagram_bytes: usize,
}

impl Default for RosterSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            helper_timeout: Duration::from_millis(700),
            helpers: 3,
            suspicion_shortest: Duration::from_secs(2),
            suspicion_longest: Duration::from_secs(8),
            confirmations: 2,
            gossip_interval: Duration::from_millis(200),
            fanout: 3,
            leave_fanout: 24,
            transmit_factor: 3,
            sync_interval: Duration::from_secs(3),
            dead_probe_interval: Duration::from_secs(2),
            forget_after: Duration::from_hours(3),
            stall_threshold: Duration::from_millis(1_500),
            bytes_per_second: 7_000,
            burst_bytes: 14_000,
            datagram_bytes: 1_182,
        }
    }
}

impl RosterSettings {
    /// Checks the values against each other.
    #[must_use]
    pub fn validate(&self) -> FindingList {
        let mut findings = FindingList::default();
        self.check_times(&mut findings);
        self.check_counts(&mut findings);
        findings
    }

    fn check_times(&self, findings: &mut FindingList) {
        for (place, value) in [
            ("probe_interval", self.probe_interval),
            ("probe_timeout", self.probe_timeout),
            ("helper_timeout", self.helper_timeout),
            ("suspicion_shortest", self.suspicion_shortest),
            ("gossip_interval", self.gossip_interval),
            ("sync_interval", self.sync_interval),
            ("dead_probe_interval", self.dead_probe_interval),
            ("forget_after", self.forget_after),
        ] {
            findings.expect(!value.is_zero(), place, "must be longer than zero");
        }
        findings.expect(
            self.probe_timeout + self.helper_timeout <= self.probe_interval,
            "helper_timeout",
            "with probe_timeout it must fit into probe_interval",
        );
        findings.expect(
            self.suspicion_shortest <= self.suspicion_longest,
            "suspicion_longest",
            "must be at least suspicion_shortest",
        );
        findings.expect(
            self.stall_threshold >= self.gossip_interval * 2,
            "stall_threshold",
            "must be at least twice gossip_interval",
        );
    }

    fn check_counts(&self, findings: &mut FindingList) {
        for (place, value) in [
            ("helpers", self.helpers),
            ("fanout", self.fanout),
            ("leave_fanout", self.leave_fanout),
            ("transmit_factor", self.transmit_factor as usize),
        ] {
            findings.expect(value > 0, place, "must be at least 1");
        }
        findings.expect(
            self.bytes_per_second >= SMALLEST_BUDGET,
            "bytes_per_second",
            "must be at least 1000, or probes go unanswered",
        );
        findings.expect(
            self.burst_bytes >= self.bytes_per_second,
            "burst_bytes",
            "must be at least bytes_per_second",
        );
        findings.expect(
            (SMALLEST_DATAGRAM..=1_400).contains(&self.datagram_bytes),
            "datagram_bytes",
            "must be from 800 to 1400",
        );
    }
}
