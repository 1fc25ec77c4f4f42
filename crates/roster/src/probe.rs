//! Probes that wait for a reply.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sycamorelink_core::NodeId;

/// Stage of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// The member was pinged directly.
    Direct,
    /// Helpers were asked to ping the member.
    Indirect,
    /// The member was pinged on behalf of another node.
    Delegated {
        /// Gossip address of the node that asked.
        requester: SocketAddr,
        /// The probe's number on that node.
        sequence: u32,
    },
}

/// State of one probe.
#[derive(Clone, Debug)]
pub(crate) struct ProbeRecord {
    pub(crate) target: NodeId,
    pub(crate) started: Duration,
    pub(crate) deadline: Duration,
    pub(crate) stage: ProbeStage,
    /// Number of helpers asked.
    pub(crate) asked: usize,
    /// Helpers that reported no reply from the member.
    pub(crate) failed_helpers: Vec<NodeId>,
}

/// Running probes by their sequence numbers.
#[derive(Debug, Default)]
pub(crate) struct ProbeTable {
    records: BTreeMap<u32, ProbeRecord>,
    next_sequence: u32,
}

impl ProbeTable {
    /// Starts a probe and returns its sequence number.
    pub(crate) fn start(
        &mut self,
        now: Duration,
        target: NodeId,
        stage: ProbeStage,
        timeout: Duration,
    ) -> u32 {
        let sequence = self.next_number();
        let record = ProbeRecord {
            target,
            started: now,
            deadline: now + timeout,
            stage,
            asked: 0,
            failed_helpers: Vec::new(),
        };
        self.records.insert(sequence, record);
        sequence
    }

    /// Returns a sequence number for a ping whose reply needs no record.
    pub(crate) fn next_number(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    pub(crate) fn get_mut(&mut self, sequence: u32) -> Option<&mut ProbeRecord> {
        self.records.get_mut(&sequence)
    }

    pub(crate) fn finish(&mut self, sequence: u32) -> Option<ProbeRecord> {
        self.records.remove(&sequence)
    }

    /// Puts a probe back for its next stage.
    pub(crate) fn resume(&mut self, sequence: u32, record: ProbeRecord) {
        self.records.insert(sequence, record);
    }

    /// Returns whether a probe of the member on this node's own behalf is running.
    pub(crate) fn is_probing(&self, target: NodeId) -> bool {
        self.records
            .values()
            .any(|record| record.target == target && !record.is_delegated())
    }

    /// Removes and returns the probes whose deadline has passed.
    pub(crate) fn take_due(&mut self, now: Duration) -> Vec<(u32, ProbeRecord)> {
        let due: Vec<u32> = self
            .records
            .iter()
            .filter(|(_, record)| record.deadline <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        due.into_iter()
            .filter_map(|sequence| Some((sequence, self.records.remove(&sequence)?)))
            .collect()
    }

    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        self.records.values().map(|record| record.deadline).min()
    }

    /// Removes all probes.
    pub(crate) fn clear(&mut self) {
        self.records.clear();
    }
}

impl ProbeRecord {
    pub(crate) const fn is_delegated(&self) -> bool {
        matches!(self.stage, ProbeStage::Delegated { .. })
    }
}
