//! Ejection: the worst first, never below the floor, longer each time.

use std::time::Duration;

use crate::facts::UpstreamPhase;
use crate::finding::PoolFinding;
use crate::pool::ServicePool;
use crate::record::ServiceState;
use crate::tick::in_play;

/// Most doublings of an ejection.
pub(crate) const STRIKES_MAX: u8 = 8;

/// Evidence older than this ejects nobody: an upstream that the floor held and that has recovered
/// since would otherwise go as soon as the floor lets it.
const FRESH: Duration = Duration::from_secs(2);

impl ServicePool {
    /// Orders the upstreams by score, worst first; equal scores by id, so that nodes with the same
    /// news eject the same ones.
    pub(crate) fn rank(&mut self) {
        let mut ranking = std::mem::take(&mut self.ranking);
        ranking.clear();
        let from = self.settings.shift_from;
        let suspects = self
            .records
            .iter()
            .enumerate()
            .filter(|(_, record)| {
                let suspect = record.suspicion - self.common >= from;
                in_play(record) && (suspect || record.shifted)
            })
            .map(|(place, _)| place);
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
        for place in 0..self.records.len() {
            let record = &mut self.records[place];
            let mark = if record.probing() {
                self.settings.shift_full
            } else {
                self.settings.eject_at
            };
            let high = record.suspicion - self.common >= mark;
            if !high || self.shared {
                record.high_since = None;
                record.held = false;
            } else if record.high_since.is_none() {
                record.high_since = Some(now);
            }
        }
        for rank in 0..self.ranking.len() {
            self.eject_one(now, self.ranking[rank], findings);
        }
    }

    fn eject_one(&mut self, now: Duration, place: usize, findings: &mut Vec<PoolFinding>) {
        let record = &self.records[place];
        let Some(since) = record.high_since else {
            return;
        };
        let probing = record.probing();
        let confirmed = now.saturating_sub(since) >= self.settings.confirm_for;
        let fresh = now.saturating_sub(record.risen_at) <= FRESH;
        let ripe = probing || (confirmed && fresh);
        if !ripe {
            return;
        }
        let cause = record.cause();
        if !probing && !self.ledger.may_eject(record) {
            if !record.held {
                findings.push(PoolFinding::FloorHeld {
                    id: record.id,
                    cause,
                });
            }
            self.records[place].held = true;
            return;
        }
        if !probing {
            self.ledger.book_ejected(&self.records[place]);
        }
        if !self.records[place].shifted {
            self.strike(now, place);
        }
        let record = &mut self.records[place];
        let until = now + record.hold;
        record.state = ServiceState::Ejected { cause, until };
        record.ejected_at = now;
        record.high_since = None;
        record.held = false;
        findings.push(PoolFinding::Ejected {
            id: record.id,
            cause,
            until,
        });
        self.list_candidate(place);
    }

    /// Counts a shift or an ejection and sets how long it holds: twice as long as the last one,
    /// unless that is long ago. An ejection that follows a shift is the same event.
    pub(crate) fn strike(&mut self, now: Duration, place: usize) {
        let settings = &self.settings;
        let record = &mut self.records[place];
        let mut calm = now.saturating_sub(record.strike_at);
        while calm >= settings.forgive_after && record.strikes > 0 {
            calm = calm.saturating_sub(settings.forgive_after);
            record.strikes -= 1;
        }
        let factor = 1_u32 << record.strikes.min(STRIKES_MAX);
        record.strikes = (record.strikes + 1).min(STRIKES_MAX);
        record.strike_at = now;
        record.hold = (settings.eject_for * factor).min(settings.eject_longest);
    }

    /// Brings upstreams back when the floor asks for more than is in service, best first.
    pub(crate) fn keep_floor(&mut self, now: Duration) {
        let mut ledger = std::mem::take(&mut self.ledger);
        ledger.recount(
            self.rule,
            self.settings.domain_share,
            self.settings.domain_count,
            self.records.iter(),
        );
        while !ledger.status.kept() {
            let Some(place) = self.least_bad() else {
                break;
            };
            let record = &mut self.records[place];
            record.state = ServiceState::InService;
            record.weight = 1.0;
            record.high_since = None;
            record.strike_at = now;
            ledger.book_restored(record);
        }
        self.ledger = ledger;
        for place in 0..self.records.len() {
            self.list_candidate(place);
        }
    }

    /// The ready upstream out of service with the lowest score.
    fn least_bad(&self) -> Option<usize> {
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
            .map(|(place, _)| place)
    }
}
