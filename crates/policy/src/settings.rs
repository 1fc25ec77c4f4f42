//! Settings of detection and balancing, with defaults that need no tuning.
//!
//! `docs/design/detection.md` explains each default.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::FindingList;
use sycamorelink_core::unit::DurationText;

/// Kind of detection error that a service would rather accept.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Leaning {
    /// Few healthy upstreams are ejected, but a faulty one stays a little longer.
    FewFalseEjections,
    /// Default thresholds.
    #[default]
    Balanced,
    /// Faulty upstreams are ejected fast, but now and then a healthy one is, too.
    FastDetection,
}

/// Settings of one service's pool.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PoolSettings {
    /// Score in nats above which an upstream loses weight.
    pub shift_from: f64,
    /// Score in nats at which an upstream keeps a twentieth of its weight.
    pub shift_full: f64,
    /// Score in nats at which an upstream is ejected.
    pub eject_at: f64,
    /// How long the score has to stay at `eject-at` before the ejection.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub confirm_for: Duration,
    /// Greatest contribution of one calling peer to a score, as a share of `shift-full`.
    pub peer_share: f64,
    /// Share of suspected upstreams above which the cause is taken to be shared.
    pub shared_share: f64,
    /// Slowdown, relative to its peers, that the latency test detects.
    pub slow_ratio: f64,
    /// Share of bad replies that the error tests detect.
    pub sick_rate: f64,
    /// Lower bound of the share of bad replies that counts as usual.
    pub usual_rate: f64,
    /// Length of the first ejection of an upstream; each further one doubles it.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub eject_for: Duration,
    /// Longest ejection, however often an upstream was ejected.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub eject_longest: Duration,
    /// Time in service after which one earlier ejection is forgotten.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub forgive_after: Duration,
    /// Fraction of its fair share of requests that an upstream gets while it is probed after an
    /// ejection.
    pub probe_weight: f64,
    /// Time in which a new upstream reaches its full weight.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub warm_up: Duration,
    /// Time constant with which a score decays without new evidence.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub fade: Duration,
    /// Least change of a score, in nats, that is reported to peers.
    pub report_step: f64,
    /// Maximum number of upstreams in one report.
    pub report_size: u16,
    /// Share of each failure domain's slots that ejections leave in service.
    pub domain_share: f64,
    /// Failure domains that ejections leave in service, if there are that many.
    pub domain_count: u16,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            shift_from: 6.0,
            shift_full: 12.0,
            eject_at: 24.0,
            confirm_for: Duration::from_secs(2),
            peer_share: 0.34,
            shared_share: 0.6,
            slow_ratio: 5.0,
            sick_rate: 0.2,
            usual_rate: 0.001,
            eject_for: Duration::from_secs(8),
            eject_longest: Duration::from_mins(5),
            forgive_after: Duration::from_mins(10),
            probe_weight: 0.02,
            warm_up: Duration::from_secs(10),
            fade: Duration::from_mins(1),
            report_step: 4.0,
            report_size: 8,
            domain_share: 0.25,
            domain_count: 2,
        }
    }
}

impl PoolSettings {
    /// Returns the settings for a leaning.
    #[must_use]
    pub fn for_leaning(leaning: Leaning) -> Self {
        let settings = Self::default();
        match leaning {
            Leaning::Balanced => settings,
            Leaning::FewFalseEjections => Self {
                shift_from: 6.0,
                shift_full: 16.0,
                eject_at: 30.0,
                confirm_for: Duration::from_secs(3),
                ..settings
            },
            Leaning::FastDetection => Self {
                shift_from: 3.0,
                shift_full: 8.0,
                eject_at: 18.0,
                confirm_for: Duration::from_secs(1),
                ..settings
            },
        }
    }

    /// Checks the settings against each other and returns every violation.
    #[must_use]
    pub fn validate(&self) -> FindingList {
        let mut findings = FindingList::default();
        self.check_scores(&mut findings);
        self.check_shares(&mut findings);
        self.check_times(&mut findings);
        findings
    }

    fn check_scores(&self, findings: &mut FindingList) {
        findings.expect(
            self.shift_from > 0.0 && self.shift_from < self.shift_full,
            "shift-from",
            "must be above 0 and below shift-full",
        );
        findings.expect(
            self.shift_full <= self.eject_at,
            "shift-full",
            "must not exceed eject-at: weight goes before removal",
        );
        findings.expect(
            self.eject_at <= 100.0,
            "eject-at",
            "must not exceed 100 nats: nothing would ever be ejected",
        );
        findings.expect(
            self.report_step > 0.0 && self.report_step < self.shift_full,
            "report-step",
            "must be above 0 and below shift-full: peers would hear too late",
        );
        findings.expect(self.report_size > 0, "report-size", "must be at least 1");
        findings.expect(
            self.slow_ratio >= 1.2 && self.slow_ratio <= 100.0,
            "slow-ratio",
            "must be from 1.2 to 100",
        );
    }

    fn check_shares(&self, findings: &mut FindingList) {
        findings.expect(
            self.usual_rate > 0.0 && self.usual_rate < self.sick_rate,
            "usual-rate",
            "must be above 0 and below sick-rate",
        );
        findings.expect(self.sick_rate < 1.0, "sick-rate", "must be below 1");
        findings.expect(
            self.peer_share > 0.0 && self.peer_share < 1.0,
            "peer-share",
            "must be above 0 and below 1: one peer alone must not eject",
        );
        findings.expect(
            self.shared_share >= 0.5 && self.shared_share <= 1.0,
            "shared-share",
            "must be from 0.5 to 1",
        );
        findings.expect(
            self.probe_weight > 0.0 && self.probe_weight <= 0.5,
            "probe-weight",
            "must be above 0 and at most 0.5",
        );
        findings.expect(
            self.domain_share >= 0.0 && self.domain_share <= 1.0,
            "domain-share",
            "must be from 0 to 1",
        );
    }

    fn check_times(&self, findings: &mut FindingList) {
        findings.expect(
            !self.eject_for.is_zero() && self.eject_for <= self.eject_longest,
            "eject-for",
            "must be above 0 and at most eject-longest",
        );
        findings.expect(
            self.forgive_after > self.eject_for,
            "forgive-after",
            "must exceed eject-for: flapping would never lengthen an ejection",
        );
        findings.expect(
            self.confirm_for <= Duration::from_mins(1),
            "confirm-for",
            "must be at most 1m",
        );
        findings.expect(
            self.fade > self.confirm_for,
            "fade",
            "must exceed confirm-for: scores would fade before they are confirmed",
        );
    }
}
