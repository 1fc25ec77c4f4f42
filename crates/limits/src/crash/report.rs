//! Reports that wait for acknowledgement by the executors of a service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamorelink_core::InstanceId;

use super::{CrashCommand, CrashEvidence, CrashMessage, CrashSettings, CrashVictim};

/// Interval at which an unacknowledged report is resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Report that waits for acknowledgement.
#[derive(Debug)]
struct PendingReport {
    evidence: Vec<CrashEvidence>,
    unacknowledged: BTreeSet<InstanceId>,
    last_sent_at: Duration,
    created_at: Duration,
    /// Victim whose failed answers are held back until the report is acknowledged.
    held: Option<CrashVictim>,
}

impl PendingReport {
    fn send_to_unacknowledged(&self, number: u64, out: &mut Vec<CrashCommand>) {
        for to in &self.unacknowledged {
            let message = CrashMessage::Report {
                number,
                evidence: self.evidence.clone(),
            };
            out.push(CrashCommand::Send { to: *to, message });
        }
    }
}

/// Reports that at least one executor has not acknowledged.
#[derive(Debug, Default)]
pub struct ReportTable {
    pending: BTreeMap<u64, PendingReport>,
    number: u64,
}

impl ReportTable {
    /// Sends evidence to executors.
    ///
    /// The failed answers of `held` are held back until all executors have acknowledged the report.
    pub fn send(
        &mut self,
        now: Duration,
        evidence: Vec<CrashEvidence>,
        unacknowledged: BTreeSet<InstanceId>,
        held: Option<CrashVictim>,
        out: &mut Vec<CrashCommand>,
    ) {
        self.number += 1;
        let report = PendingReport {
            evidence,
            unacknowledged,
            last_sent_at: now,
            created_at: now,
            held,
        };
        report.send_to_unacknowledged(self.number, out);
        self.pending.insert(self.number, report);
    }

    /// Records an acknowledgement.
    pub fn on_acknowledged(&mut self, number: u64, from: InstanceId) {
        if let Some(report) = self.pending.get_mut(&number) {
            report.unacknowledged.remove(&from);
        }
    }

    /// Stops waiting for nodes that are no longer executors.
    pub fn retain_executors(&mut self, members: &BTreeSet<InstanceId>) {
        for report in self.pending.values_mut() {
            report
                .unacknowledged
                .retain(|member| members.contains(member));
        }
    }

    /// Releases held answers and resends reports.
    ///
    /// Answers are released when their report is acknowledged or `report_wait` has passed.
    pub fn release_and_resend(
        &mut self,
        now: Duration,
        settings: &CrashSettings,
        out: &mut Vec<CrashCommand>,
    ) {
        self.pending.retain(|number, report| {
            let wait_is_over = now >= report.created_at + settings.report_wait;
            if (report.unacknowledged.is_empty() || wait_is_over)
                && let Some(victim) = report.held.take()
            {
                let missing = u32::try_from(report.unacknowledged.len()).unwrap_or(u32::MAX);
                out.push(CrashCommand::Release { victim, missing });
            }
            if now >= report.last_sent_at + RESEND_INTERVAL {
                report.last_sent_at = now;
                report.send_to_unacknowledged(*number, out);
            }
            !report.unacknowledged.is_empty() && now < report.created_at + settings.remember
        });
    }
}
