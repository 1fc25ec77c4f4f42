//! Aggregation of the measurements of many runs into one table row.

use serde::Serialize;

use super::fault::{FaultScope, SituationEvent, SituationPlan};
use super::meter::RunMeter;
use super::services::{ServiceShape, to_f64};
use super::simulation::TRIGGER_AT;

/// Seconds in a day.
const DAY: f64 = 86_400.0;

/// Figures of one run, ready to be aggregated.
#[derive(Clone, Debug, Default)]
pub struct RunFigures {
    /// Detection time of each faulty upstream in seconds, `None` when it was not detected.
    detections: Vec<Option<f64>>,
    sent_before: Vec<u32>,
    shares: Vec<f64>,
    latencies: [f64; 3],
    served: f64,
    offered: f64,
    refused: f64,
    failed: f64,
    retries: f64,
    requests: f64,
    false_ejections: usize,
    false_shifts: usize,
    upstream_days: f64,
    recovery: f64,
    goodput: f64,
    least_serving: f64,
    least_weight: f64,
    evidence_peak: u32,
}

impl RunFigures {
    /// Computes the figures of one run. `faulty` lists the upstreams that the situation affects.
    #[must_use]
    pub fn from_run(
        shape: &ServiceShape,
        plan: &SituationPlan,
        meter: &RunMeter,
        faulty: &[usize],
    ) -> Self {
        let (start, end) = (TRIGGER_AT, TRIGGER_AT + plan.duration);
        let mut figures = Self::default();
        for &upstream in faulty {
            let found = meter.detection(upstream, start, end);
            figures.detections.push(found.map(|(seconds, _)| seconds));
            if let Some((_, sent)) = found {
                figures.sent_before.push(sent);
            }
            figures.shares.push(meter.share(upstream, start, end));
        }
        let quantile = |share| micros_to_ms(meter.latency.value_at_quantile(share));
        figures.latencies = [quantile(0.5), quantile(0.99), quantile(0.999)];
        let seconds = plan.duration.as_secs_f64();
        figures.served = counter_to_f64(meter.served);
        figures.offered = counter_to_f64(meter.offered);
        figures.refused = counter_to_f64(meter.refused);
        figures.failed = counter_to_f64(meter.failed);
        figures.retries = counter_to_f64(meter.retries);
        figures.requests = counter_to_f64(meter.requests);
        figures.false_ejections = meter.false_ejections();
        figures.false_shifts = meter.false_shifts();
        let run_seconds = (TRIGGER_AT + plan.duration + plan.cooldown).as_secs_f64();
        figures.upstream_days = run_seconds * to_f64(shape.upstreams) / DAY;
        figures.recovery = meter.recovery(end);
        let mut achievable_rate = (figures.offered / seconds).min(shape.capacity_rate());
        if let SituationEvent::Burst { .. } = plan.event {
            let mean = meter.slot_time.0 / counter_to_f64(meter.slot_time.1).max(1.0);
            achievable_rate = shape.capacity_slots() / mean.max(1e-9);
        }
        figures.goodput = figures.served / seconds / achievable_rate.max(1e-9);
        figures.least_serving = meter.least_serving;
        figures.least_weight = meter.least_weight;
        figures.evidence_peak = meter.evidence_peak();
        figures
    }
}

/// Returns whether the situation has faulty upstreams that a chooser is expected to detect.
#[must_use]
pub fn expects_detection(event: &SituationEvent) -> bool {
    match event {
        SituationEvent::Gray { scope, .. } => *scope != FaultScope::All,
        SituationEvent::Flapping { .. } => true,
        _ => false,
    }
}

/// One row of the table.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TableRow {
    /// Name of the situation.
    pub situation: String,
    /// Name of the service.
    pub service: String,
    /// Name of the upstream selection algorithm.
    pub chooser: String,
    /// Number of aggregated runs.
    pub runs: usize,
    /// Share of faulty upstreams that were detected; `None` when the situation has none to detect.
    pub detected: Option<f64>,
    /// Median detection time in seconds; `None` when fewer than half were detected.
    pub detection_median: Option<f64>,
    /// 99th percentile of the detection time in seconds; `None` when it falls on an upstream that
    /// was not detected.
    pub detection_p99: Option<f64>,
    /// Median number of requests sent to a faulty upstream before its detection.
    pub sent_before: Option<f64>,
    /// Requests sent to a faulty upstream during the whole fault, as a share of its fair share.
    pub sick_share: Option<f64>,
    /// Number of false ejections; repeated ejections of one upstream within 30 s count once.
    pub false_ejections: usize,
    /// False ejections per upstream-day.
    pub false_ejections_per_day: f64,
    /// Number of times a healthy upstream lost more than half of its weight.
    pub false_shifts: usize,
    /// Simulated upstream-days in which false ejections and shifts were counted.
    pub upstream_days: f64,
    /// Requests that failed for their caller, in percent.
    pub errors: f64,
    /// Requests refused before they ran, in percent.
    pub refused: f64,
    /// Latency percentiles 50, 99 and 99.9 of served requests, in milliseconds.
    pub latency: [f64; 3],
    /// Served requests relative to the smaller of offered load and capacity. In a burst: relative
    /// to all slots being busy all the time at the measured time per slot.
    pub goodput: f64,
    /// Retries per request.
    pub retries: f64,
    /// 99th percentile of the recovery time: seconds from the end of the event until no later
    /// second has more than 2% unsuccessful requests.
    pub recovery_p99: f64,
    /// Lowest share of slots in service in any daemon's view, over all runs.
    pub least_serving: f64,
    /// Lowest share of capacity left by the weights of all daemons together, over all runs.
    pub least_weight: f64,
    /// Largest number of bytes of evidence that one node sent in one second.
    pub evidence_peak: u32,
}

impl TableRow {
    /// Aggregates runs into one row.
    #[must_use]
    pub fn combine(situation: &str, service: &str, chooser: &str, runs: &[RunFigures]) -> Self {
        let sum = |value: fn(&RunFigures) -> f64| runs.iter().map(value).sum::<f64>();
        let mean = |value: fn(&RunFigures) -> f64| sum(value) / to_f64(runs.len()).max(1.0);
        let least = |value: fn(&RunFigures) -> f64| runs.iter().map(value).fold(1.0, f64::min);
        let events = |value: fn(&RunFigures) -> usize| runs.iter().map(value).sum::<usize>();
        let mut detections: Vec<f64> = runs
            .iter()
            .flat_map(|run| &run.detections)
            .map(|found| found.unwrap_or(f64::INFINITY))
            .collect();
        detections.sort_by(f64::total_cmp);
        let found = detections.iter().filter(|time| time.is_finite()).count();
        let mut sent: Vec<f64> = runs
            .iter()
            .flat_map(|run| &run.sent_before)
            .map(|&sent| f64::from(sent))
            .collect();
        sent.sort_by(f64::total_cmp);
        let shares: Vec<f64> = runs.iter().flat_map(|run| run.shares.clone()).collect();
        let mut recoveries: Vec<f64> = runs.iter().map(|run| run.recovery).collect();
        recoveries.sort_by(f64::total_cmp);
        let offered = sum(|run| run.offered).max(1.0);
        let days = sum(|run| run.upstream_days);
        let false_ejections = events(|run| run.false_ejections);
        Self {
            situation: situation.to_owned(),
            service: service.to_owned(),
            chooser: chooser.to_owned(),
            runs: runs.len(),
            detected: (!detections.is_empty()).then(|| to_f64(found) / to_f64(detections.len())),
            detection_median: quantile(&detections, 0.5),
            detection_p99: quantile(&detections, 0.99),
            sent_before: quantile(&sent, 0.5),
            sick_share: (!shares.is_empty())
                .then(|| shares.iter().sum::<f64>() / to_f64(shares.len())),
            false_ejections,
            false_ejections_per_day: to_f64(false_ejections) / days.max(1e-9),
            false_shifts: events(|run| run.false_shifts),
            upstream_days: days,
            errors: sum(|run| run.failed) / offered * 100.0,
            refused: sum(|run| run.refused) / offered * 100.0,
            latency: [
                mean(|run| run.latencies[0]),
                mean(|run| run.latencies[1]),
                mean(|run| run.latencies[2]),
            ],
            goodput: mean(|run| run.goodput),
            retries: sum(|run| run.retries) / sum(|run| run.requests).max(1.0),
            recovery_p99: quantile(&recoveries, 0.99).unwrap_or(0.0),
            least_serving: least(|run| run.least_serving),
            least_weight: least(|run| run.least_weight),
            evidence_peak: runs.iter().map(|run| run.evidence_peak).max().unwrap_or(0),
        }
    }
}

/// Returns the quantile `share` of sorted values; `None` when there are none or the value is
/// infinite.
fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    if sorted.is_empty() {
        return None;
    }
    let mut index = 0;
    while index + 1 < sorted.len() && to_f64(index + 1) < share * to_f64(sorted.len()) {
        index += 1;
    }
    Some(sorted[index]).filter(|value| value.is_finite())
}

fn counter_to_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

fn micros_to_ms(micros: u64) -> f64 {
    counter_to_f64(micros) / 1_000.0
}
