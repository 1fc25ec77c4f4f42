//! Evidence that the node sends to its peers and receives from them.
//!
//! A report holds only significant changes: scores that have moved by `report_step` since they were
//! last sent, scores that have crossed a threshold, and refreshes of high scores. Changes are
//! measured from the last sent value, so several small changes can't hide a crossing of
//! `shift_from`.

use std::time::Duration;

use sycamorelink_core::NodeId;

use crate::eject::MAX_STRIKES;
use crate::evidence::{EvidenceRole, EvidenceScores, UpstreamEvidence};
use crate::pool::ServicePool;
use crate::record::{EvidenceView, PeerScores, UpstreamRecord, highest};
use crate::score::{KIND_COUNT, KindScores};

/// Maximum number of peers whose scores are kept for one upstream.
const MAX_PEERS: usize = 64;

/// Interval after which an upstream's own node sends a high score again, for peers that missed it
/// or are new. A caller doesn't refresh: without new attempts its score describes only the past.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Evidence that is due to be sent, with its priority.
struct PendingReport {
    priority: f64,
    index: usize,
    view: EvidenceView,
}

impl ServicePool {
    /// Returns the evidence to send to all peers, at most `report_size` entries. Empty when no
    /// score changed significantly. Must be called about every 100 ms.
    ///
    /// While most upstreams look faulty to this node as a caller, it sends nothing in that role: the
    /// node may be cut off, and its peers would take weight from healthy upstreams. It still reports
    /// the upstreams that run on it, because that evidence doesn't depend on the network path.
    pub fn report(&mut self, now: Duration) -> Vec<UpstreamEvidence> {
        let mut pending = self.pending_reports(now);
        pending.sort_unstable_by(|left, right| {
            right
                .priority
                .total_cmp(&left.priority)
                .then(left.index.cmp(&right.index))
        });
        pending.truncate(usize::from(self.settings.report_size));
        pending
            .into_iter()
            .map(|report| self.records[report.index].report_view(now, report.view))
            .collect()
    }

    fn pending_reports(&self, now: Duration) -> Vec<PendingReport> {
        let mut pending = Vec::new();
        for (index, record) in self.records.iter().enumerate() {
            for view in [EvidenceView::Beside, EvidenceView::Caller] {
                let suppressed = view == EvidenceView::Caller && self.observer_suspect;
                if suppressed || record.has_nothing_to_report(view) {
                    continue;
                }
                if let Some(priority) = self.report_priority(now, record, view) {
                    pending.push(PendingReport {
                        priority,
                        index,
                        view,
                    });
                }
            }
        }
        pending
    }

    fn report_priority(
        &self,
        now: Duration,
        record: &UpstreamRecord,
        view: EvidenceView,
    ) -> Option<f64> {
        let settings = &self.settings;
        let (scores, sent, from) = match view {
            EvidenceView::Caller => (&record.own, &record.sent_own, settings.shift_full),
            EvidenceView::Beside => (&record.beside, &record.sent_beside, settings.shift_from),
        };
        let (high, sent_high) = (highest(scores), highest(&sent.scores));
        if high < from && sent_high < from {
            return None;
        }
        let change = scores
            .iter()
            .zip(&sent.scores)
            .map(|(score, sent)| (score - sent).abs())
            .fold(0.0, f64::max);
        let crossed = [from, settings.shift_full, settings.eject_at]
            .iter()
            .any(|threshold| (high < *threshold) != (sent_high < *threshold));
        let aged = now.saturating_sub(sent.at) >= REFRESH_INTERVAL;
        let stale = high >= from && aged && view == EvidenceView::Beside;
        (crossed || stale || change >= self.settings.report_step).then_some(change.max(high))
    }

    /// Merges the evidence that a peer reported.
    pub fn merge(&mut self, now: Duration, from: NodeId, evidence: &[UpstreamEvidence]) {
        self.has_peer_reports = true;
        for update in evidence {
            let Some(&index) = self.index_by_id.get(&update.id) else {
                continue;
            };
            let scores = update.scores.to_scores();
            let cap = self.score_cap();
            let record = &mut self.records[index];
            match update.role {
                // Only an upstream's own node may report in this role, so a faulty or malicious
                // node can only harm its own upstreams.
                EvidenceRole::Beside if from == update.id.node => {
                    record.reported = scores.map(|score| score.min(cap));
                    record.merge_strikes(now, update.strikes);
                }
                EvidenceRole::Beside => continue,
                EvidenceRole::Caller => record.store_peer_scores(from, scores),
            }
            self.sum_peer_scores(index);
            self.records[index].combine();
            self.update_weight(now, index);
        }
    }

    /// Adds up the scores that calling peers reported for an upstream. Each peer counts up to a
    /// share of a full shift, so that one peer alone, which may itself be cut off, has little
    /// effect.
    pub(crate) fn sum_peer_scores(&mut self, index: usize) {
        let max_per_peer = self.settings.shift_full * self.settings.peer_share;
        let record = &mut self.records[index];
        let mut sum = [0.0; KIND_COUNT];
        for peer in &record.peers {
            for (kind, sum) in sum.iter_mut().enumerate() {
                *sum += (peer.scores[kind] - peer.discounted[kind]).clamp(0.0, max_per_peer);
            }
        }
        record.peer_sum = sum;
    }
}

impl UpstreamRecord {
    /// Returns whether a view has no scores to report and none to withdraw.
    fn has_nothing_to_report(&self, view: EvidenceView) -> bool {
        let (scores, sent) = match view {
            EvidenceView::Caller => (&self.own, &self.sent_own),
            EvidenceView::Beside => (&self.beside, &self.sent_beside),
        };
        highest(scores) <= 0.0 && highest(&sent.scores) <= 0.0
    }

    fn report_view(&mut self, now: Duration, view: EvidenceView) -> UpstreamEvidence {
        let (role, scores, sent) = match view {
            EvidenceView::Caller => (EvidenceRole::Caller, &self.own, &mut self.sent_own),
            EvidenceView::Beside => (EvidenceRole::Beside, &self.beside, &mut self.sent_beside),
        };
        sent.scores = *scores;
        sent.at = now;
        UpstreamEvidence {
            id: self.id,
            role,
            strikes: self.strikes,
            samples: std::mem::take(&mut self.samples),
            scores: EvidenceScores::from_scores(scores),
        }
    }

    /// Adopts a higher number of strikes that the upstream's own node reported.
    fn merge_strikes(&mut self, now: Duration, reported: u8) {
        if reported > self.strikes {
            self.strikes = reported.min(MAX_STRIKES);
            self.strike_at = now;
        }
    }

    /// Stores the scores of a calling peer. When the table is full, they replace those of the peer
    /// with the lowest scores.
    fn store_peer_scores(&mut self, node: NodeId, scores: KindScores) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.node == node) {
            peer.scores = scores;
            for (discounted, score) in peer.discounted.iter_mut().zip(scores) {
                *discounted = discounted.min(score);
            }
            return;
        }
        if self.peers.len() >= MAX_PEERS {
            let least = (0..self.peers.len()).min_by(|&left, &right| {
                highest(&self.peers[left].scores).total_cmp(&highest(&self.peers[right].scores))
            });
            if let Some(least) = least {
                self.peers.swap_remove(least);
            }
        }
        self.peers.push(PeerScores {
            node,
            scores,
            discounted: [0.0; KIND_COUNT],
        });
    }
}
