//! Periodic work of the daemons: ticks, evidence reports, and invariant checks after each tick.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_policy::UpstreamEvidence;

use super::chooser::ChooserNotice;
use super::fault::{FaultScope, SituationEvent};
use super::services::{NETWORK_DELAY, RECONNECT_TIME, to_f64};
use super::simulation::{EventKind, FleetSimulation, TRIGGER_AT, index_of, upstream_id};

/// Time between two ticks of a chooser.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reports of evidence.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes of one report without its records, with frame and integrity tag.
const REPORT_BYTES: u32 = 24;

/// Bytes of one record: id 9, slot 1, role 1, strikes 1, samples 2, and five varint scores of at
/// most 3 each.
const RECORD_BYTES: u32 = 29;

/// Minimum capacity share kept in service: the pool's default, used because no contract sets one in
/// these runs.
const DEFAULT_FLOOR: f64 = 0.5;

/// Time after a fault during which an ejection still counts as caused by it.
const EJECTION_GRACE: Duration = Duration::from_secs(5);

impl FleetSimulation {
    pub(super) fn on_tick(&mut self, node: usize) {
        self.schedule(TICK_INTERVAL, EventKind::Tick { node });
        let mut notices = std::mem::take(&mut self.notices);
        self.choosers[node].tick(self.now, &mut notices);
        for notice in notices.drain(..) {
            self.record_notice(node, notice);
        }
        self.notices = notices;
        self.check_floor(node);
    }

    fn record_notice(&mut self, node: usize, notice: ChooserNotice) {
        match notice {
            ChooserNotice::Ejected(id) => {
                let server = index_of(id);
                if self.is_false_ejection(node, server) {
                    self.meter.record_false_ejection(self.now, server);
                } else {
                    self.meter.true_ejections += 1;
                }
            }
            ChooserNotice::Shifted(id) => {
                let server = index_of(id);
                if self.is_false_ejection(node, server) {
                    self.meter.record_false_shift(self.now, server);
                }
            }
            ChooserNotice::Reconnect(id) => {
                let server = index_of(id);
                self.schedule(RECONNECT_TIME, EventKind::Reconnect { node, server });
            }
        }
    }

    /// Returns whether an ejection of this upstream by this daemon is a false positive.
    fn is_false_ejection(&self, node: usize, server: usize) -> bool {
        let active =
            self.now >= TRIGGER_AT && self.now < TRIGGER_AT + self.plan.duration + EJECTION_GRACE;
        if !active {
            return true;
        }
        match self.plan.event {
            SituationEvent::Gray {
                scope: FaultScope::All,
                ..
            } => true,
            SituationEvent::Gray { .. } | SituationEvent::Flapping { .. } => {
                !self.is_affected(server)
            }
            SituationEvent::ObserverCut => node != self.first_faulty,
            _ => true,
        }
    }

    fn check_floor(&mut self, node: usize) {
        let Some(status) = self.choosers[node].floor_status() else {
            return;
        };
        assert!(
            status.kept() || status.ejected_count == 0,
            "daemon {node} ejected below the floor at {:?}: {status:?}",
            self.now
        );
        let serving = f64::from(status.serving_slots) / f64::from(status.known_slots.max(1));
        self.meter.least_serving = self.meter.least_serving.min(serving);
        if node == 0 {
            self.check_fleet_weight();
        }
    }

    fn check_fleet_weight(&mut self) {
        let mut sum = 0.0;
        for index in 0..self.servers.len() {
            let id = upstream_id(index);
            let weight: f64 = self.choosers.iter().map(|chooser| chooser.weight(id)).sum();
            sum += weight / to_f64(self.choosers.len());
        }
        let share = sum / to_f64(self.servers.len());
        let restarts_upstreams = matches!(
            self.plan.event,
            SituationEvent::CrashRequest | SituationEvent::ColdRestart
        );
        assert!(
            restarts_upstreams || share > DEFAULT_FLOOR - 1e-6,
            "all weights together leave {share} of the capacity at {:?}",
            self.now
        );
        self.meter.least_weight = self.meter.least_weight.min(share);
    }

    pub(super) fn send_report(&mut self, node: usize) {
        self.schedule(REPORT_INTERVAL, EventKind::Report { node });
        let evidence = self.choosers[node].report(self.now);
        if evidence.is_empty() {
            return;
        }
        let evidence: Arc<[UpstreamEvidence]> = evidence.into();
        let size = REPORT_BYTES + RECORD_BYTES * u32::try_from(evidence.len()).unwrap_or(0);
        let peers = u32::try_from(self.choosers.len()).unwrap_or(1) - 1;
        let second = usize::try_from(self.now.as_secs()).unwrap_or(0);
        if let Some(bytes) = self.meter.evidence[node].get_mut(second) {
            *bytes += size * peers;
        }
        for to in 0..self.choosers.len() {
            if to != node && !self.is_cut(to, node) {
                let evidence = Arc::clone(&evidence);
                self.schedule(
                    NETWORK_DELAY,
                    EventKind::Deliver {
                        to,
                        from: node,
                        evidence,
                    },
                );
            }
        }
    }
}
