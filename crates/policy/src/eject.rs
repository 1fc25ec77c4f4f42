//! Ejection: highest scores first, never below the floor, and longer for each repetition.

use std::time::Duration;

use crate::facts::UpstreamPhase;
use crate::finding::PoolFinding;
use crate::pool::ServicePool;
use crate::record::ServiceState;
use crate::tick::is_selectable;

/// Maximum number of times that the length of an ejection doubles.
pub(crate) const MAX_STRIKES: u8 = 8;

/// Age up to which evidence may eject an upstream. Without this limit, an upstream that the floor
/// kept in service and that has recovered since would be ejected as soon as the floor allows it.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(2);

impl ServicePool {
    /// Orders the suspects by score, highest first, and equal scores by id, so that nodes with the
    /// same evidence eject the same upstreams.
    pub(crate) fn rank(&mut self) {
        let mut ranking = std::mem::take(&mut self.ranking);
        ranking.clear();
        let from = self.settings.shift_from;
        let suspects = self
            .records
            .iter()
            .enumerate()
            .filter(|(_, record)| {
                let suspect = record.suspicion - self.common_score >= from;
                is_selectable(record) && (suspect || record.shifted)
            })
            .map(|(index, _)| index);
        ranking.extend(suspects);
        ranking.sort_unstable_by(|&left, &right| {
            let (left, right) = (&self.records[left], &self.records[right]);
            right
                .suspicion
                .total_cmp(&left.suspicion)
                .then(left.id.cmp(&right.id))
        });
        self.ranking = ranking;
    }

    pub(crate) fn eject(&mut self, now: Duration, findings: &mut Vec<PoolFinding>) {
        for index in 0..self.records.len() {
            let record = &mut self.records[index];
            let threshold = if record.is_probing() {
                self.settings.shift_full
            } else {
                self.settings.eject_at
            };
            let above = record.suspicion - self.common_score >= threshold;
            if !above || self.shared {
                record.above_threshold_since = None;
                record.floor_held = false;
            } else if record.above_threshold_since.is_none() {
                record.above_threshold_since = Some(now);
            }
        }
        for rank in 0..self.ranking.len() {
            self.eject_one(now, self.ranking[rank], findings);
        }
    }

    fn eject_one(&mut self, now: Duration, index: usize, findings: &mut Vec<PoolFinding>) {
        let record = &self.records[index];
        let Some(since) = record.above_threshold_since else {
            return;
        };
        let probing = record.is_probing();
        let confirmed = now.saturating_sub(since) >= self.settings.confirm_for;
        let fresh = now.saturating_sub(record.last_rise) <= MAX_EVIDENCE_AGE;
        let due = probing || (confirmed && fresh);
        if !due {
            return;
        }
        let cause = record.cause();
        if !probing && !self.ledger.may_eject(record) {
            if !record.floor_held {
                findings.push(PoolFinding::FloorHeld {
                    id: record.id,
                    cause,
                });
            }
            self.records[index].floor_held = true;
            return;
        }
        if !probing {
            self.ledger.record_ejected(&self.records[index]);
        }
        if !self.records[index].shifted {
            self.add_strike(now, index);
        }
        let record = &mut self.records[index];
        let until = now + record.hold;
        record.state = ServiceState::Ejected { cause, until };
        record.ejected_at = now;
        record.above_threshold_since = None;
        record.floor_held = false;
        findings.push(PoolFinding::Ejected {
            id: record.id,
            cause,
            until,
        });
        self.update_candidate(index);
    }

    /// Counts a shift or an ejection and sets how long it holds: twice as long as the last one,
    /// unless that was long ago. An ejection that follows a shift is the same event.
    pub(crate) fn add_strike(&mut self, now: Duration, index: usize) {
        let settings = &self.settings;
        let record = &mut self.records[index];
        let mut quiet = now.saturating_sub(record.strike_at);
        while quiet >= settings.forgive_after && record.strikes > 0 {
            quiet = quiet.saturating_sub(settings.forgive_after);
            record.strikes -= 1;
        }
        let factor = 1_u32 << record.strikes.min(MAX_STRIKES);
        record.strikes = (record.strikes + 1).min(MAX_STRIKES);
        record.strike_at = now;
        record.hold = (settings.eject_for * factor).min(settings.eject_longest);
    }

    /// Returns upstreams to service while the floor requires more capacity, lowest scores first.
    pub(crate) fn enforce_floor(&mut self, now: Duration) {
        let mut ledger = std::mem::take(&mut self.ledger);
        ledger.recount(
            self.rule,
            self.settings.domain_share,
            self.settings.domain_count,
            self.records.iter(),
        );
        while !ledger.status.kept() {
            let Some(index) = self.lowest_scored() else {
                break;
            };
            let record = &mut self.records[index];
            record.state = ServiceState::InService;
            record.weight = 1.0;
            record.above_threshold_since = None;
            record.strike_at = now;
            ledger.record_restored(record);
        }
        self.ledger = ledger;
        for index in 0..self.records.len() {
            self.update_candidate(index);
        }
    }

    /// Returns the ready upstream out of service with the lowest score.
    fn lowest_scored(&self) -> Option<usize> {
        self.records
            .iter()
            .enumerate()
            .filter(|(_, record)| {
                record.phase == UpstreamPhase::Ready && record.state != ServiceState::InService
            })
            .min_by(|(_, left), (_, right)| {
                left.suspicion
                    .total_cmp(&right.suspicion)
                    .then(left.id.cmp(&right.id))
            })
            .map(|(index, _)| index)
    }
}
