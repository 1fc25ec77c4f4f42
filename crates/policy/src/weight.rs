//! Weights from scores, and the findings about them.

use std::time::Duration;

use crate::finding::PoolFinding;
use crate::pool::ServicePool;
use crate::record::{NoticeLevel, ServiceState};

/// Weight left at a score of `shift_full`.
const FULL_SHIFT_WEIGHT: f64 = 0.05;

/// Weight below which an upstream counts as shifted.
const SHIFTED_WEIGHT: f64 = 0.5;

impl ServicePool {
    /// Sets all weights. Takes only as much weight as the floor allows, highest scores first.
    pub(crate) fn set_weights(&mut self, now: Duration) {
        self.spare_weight = f64::from(self.ledger.spare_slots());
        for index in 0..self.records.len() {
            let warm_weight = self.warm_weight(now, index);
            let record = &mut self.records[index];
            record.weight = warm_weight;
            if !record.is_pickable() || record.state != ServiceState::InService {
                continue;
            }
            let slots = f64::from(record.slots.max(1));
            if record.trial.is_some() {
                record.weight = warm_weight.max(1.0 - self.spare_weight.max(0.0) / slots);
            }
            self.spare_weight -= (1.0 - record.weight) * slots;
        }
        for rank in 0..self.ranking.len() {
            self.update_weight(now, self.ranking[rank]);
        }
    }

    /// Sets the weight of one upstream from its score. An upstream in service keeps as much weight
    /// as the floor requires, because taking weight reduces capacity just as an ejection does.
    pub(crate) fn update_weight(&mut self, now: Duration, index: usize) {
        let target = self.score_weight(index) * self.warm_weight(now, index);
        let record = &mut self.records[index];
        if record.state != ServiceState::InService {
            record.weight = target;
            return;
        }
        let slots = f64::from(record.slots.max(1));
        let taken = (record.weight - target).min(self.spare_weight.max(0.0) / slots);
        self.spare_weight -= taken * slots;
        record.weight -= taken;
        let full = record.suspicion - self.common_score >= self.settings.shift_full;
        let shifts = full && record.weight < SHIFTED_WEIGHT && !self.shared;
        if shifts && !record.shifted {
            record.shifted = true;
            self.add_strike(now, index);
        }
    }

    fn score_weight(&self, index: usize) -> f64 {
        let settings = &self.settings;
        if self.records[index].shifted {
            return settings.probe_weight;
        }
        let above = self.records[index].suspicion - self.common_score - settings.shift_from;
        if above <= 0.0 {
            return 1.0;
        }
        let full = if self.shared {
            settings.eject_at
        } else {
            settings.shift_full
        };
        let range = full - settings.shift_from;
        FULL_SHIFT_WEIGHT
            .powf(above / range)
            .max(settings.probe_weight)
    }

    /// Returns the share of its weight that a new or a probed upstream gets. A probed upstream
    /// starts with few requests, and its share grows with the square of time. Its own node observes
    /// all of them, so a fault is detected again after as few requests as on any other upstream.
    fn warm_weight(&self, now: Duration, index: usize) -> f64 {
        let record = &self.records[index];
        let retried_since = match record.state {
            ServiceState::Probing { since } => Some(since),
            _ => record.trial,
        };
        if let Some(since) = retried_since {
            let age = now.saturating_sub(since).as_secs_f64();
            let share = age / self.settings.warm_up.as_secs_f64();
            return (share * share).clamp(self.settings.probe_weight, 1.0);
        }
        let Some(since) = record.ready_since else {
            return 1.0;
        };
        let age = now.saturating_sub(since).as_secs_f64();
        let share = age / self.settings.warm_up.as_secs_f64().max(1e-3);
        share.clamp(0.1, 1.0)
    }

    pub(crate) fn emit_findings(&mut self, now: Duration, findings: &mut Vec<PoolFinding>) {
        for index in 0..self.records.len() {
            if let Some(finding) = self.next_finding(now, index) {
                findings.push(finding);
            }
        }
    }

    /// Returns the finding about one upstream if its level changed since the last tick.
    fn next_finding(&mut self, now: Duration, index: usize) -> Option<PoolFinding> {
        let from = self.settings.shift_from;
        let full = if self.shared {
            self.settings.eject_at
        } else {
            self.settings.shift_full
        };
        let (warm_up, common_score) = (self.settings.warm_up, self.common_score);
        let record = &mut self.records[index];
        let (id, cause, suspicion) = (record.id, record.cause(), record.suspicion);
        match record.state {
            ServiceState::Ejected { .. } => return None,
            ServiceState::Probing { since } => {
                let passed = now.saturating_sub(since) >= warm_up && suspicion < from;
                if passed {
                    record.state = ServiceState::InService;
                    record.strike_at = now;
                    record.notice = NoticeLevel::Quiet;
                }
                return passed.then_some(PoolFinding::Readmitted { id });
            }
            ServiceState::InService => {}
        }
        let level = if suspicion < from * 0.5 {
            NoticeLevel::Quiet
        } else if suspicion < from {
            record.notice.min(NoticeLevel::Suspected)
        } else if suspicion - common_score >= full {
            NoticeLevel::Shifted
        } else {
            record.notice.max(NoticeLevel::Suspected)
        };
        let raised = level > record.notice;
        record.notice = level;
        let weight = record.weight;
        match level {
            NoticeLevel::Shifted if raised => Some(PoolFinding::Shifted { id, cause, weight }),
            NoticeLevel::Suspected if raised => Some(PoolFinding::Suspected {
                id,
                cause,
                suspicion,
            }),
            _ => None,
        }
    }
}
