//! Settings of the roster.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, FindingList};

/// Smallest datagram limit that holds the bucket hashes and the message header, in bytes.
const MIN_DATAGRAM_BYTES: usize = 800;

/// Smallest budget that covers probes and their replies, in bytes per second.
const MIN_BYTES_PER_SECOND: u32 = 1_000;

/// Settings of the roster. Every value has a default.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RosterSettings {
    /// Time between two probes of members.
    #[serde_as(as = "DurationText")]
    pub probe_interval: Duration,
    /// Time a probe waits for the member's own reply before helpers are asked.
    #[serde_as(as = "DurationText")]
    pub probe_timeout: Duration,
    /// Time within which helpers must reply.
    #[serde_as(as = "DurationText")]
    pub helper_timeout: Duration,
    /// Number of helpers per indirect probe, from as many failure domains as possible.
    pub helpers: usize,
    /// Time from suspicion to death with all confirmations.
    #[serde_as(as = "DurationText")]
    pub suspicion_shortest: Duration,
    /// Time from suspicion to death without any confirmation.
    #[serde_as(as = "DurationText")]
    pub suspicion_longest: Duration,
    /// Confirming observers besides the first that give the shortest suspicion.
    pub confirmations: usize,
    /// Time between two gossip rounds.
    #[serde_as(as = "DurationText")]
    pub gossip_interval: Duration,
    /// Peers contacted per round.
    pub fanout: usize,
    /// Peers that a leaving node contacts at once.
    pub leave_fanout: usize,
    /// Transmissions of a rumour per node, for each power of ten of the fleet's size.
    pub transmit_factor: u32,
    /// Minimum time between two digest exchanges started by this node.
    #[serde_as(as = "DurationText")]
    pub sync_interval: Duration,
    /// Time between two probes of dead members, which detect that a partition has healed.
    #[serde_as(as = "DurationText")]
    pub dead_probe_interval: Duration,
    /// Time for which a removed member is remembered and probed.
    #[serde_as(as = "DurationText")]
    pub forget_after: Duration,
    /// Gap between two calls after which this node concludes that it was paused.
    #[serde_as(as = "DurationText")]
    pub stall_threshold: Duration,
    /// Bytes sent per second, including IP and UDP headers.
    pub bytes_per_second: u32,
    /// Largest burst, in bytes.
    pub burst_bytes: u32,
    /// Largest datagram payload, in bytes, excluding the frame header and authentication code.
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
    /// Checks the values and their relations; an empty list means that they are valid.
    #[must_use]
    pub fn validate(&self) -> FindingList {
        let mut findings = FindingList::default();
        self.check_times(&mut findings);
        self.check_counts(&mut findings);
        findings
    }

    fn check_times(&self, findings: &mut FindingList) {
        for (setting, value) in [
            ("probe_interval", self.probe_interval),
            ("probe_timeout", self.probe_timeout),
            ("helper_timeout", self.helper_timeout),
            ("suspicion_shortest", self.suspicion_shortest),
            ("gossip_interval", self.gossip_interval),
            ("sync_interval", self.sync_interval),
            ("dead_probe_interval", self.dead_probe_interval),
            ("forget_after", self.forget_after),
        ] {
            findings.expect(!value.is_zero(), setting, "must be longer than zero");
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
        for (setting, value) in [
            ("helpers", self.helpers),
            ("fanout", self.fanout),
            ("leave_fanout", self.leave_fanout),
            ("transmit_factor", self.transmit_factor as usize),
        ] {
            findings.expect(value > 0, setting, "must be at least 1");
        }
        findings.expect(
            self.bytes_per_second >= MIN_BYTES_PER_SECOND,
            "bytes_per_second",
            "must be at least 1000, or probes go unanswered",
        );
        findings.expect(
            self.burst_bytes >= self.bytes_per_second,
            "burst_bytes",
            "must be at least bytes_per_second",
        );
        findings.expect(
            (MIN_DATAGRAM_BYTES..=1_400).contains(&self.datagram_bytes),
            "datagram_bytes",
            "must be from 800 to 1400",
        );
    }
}
