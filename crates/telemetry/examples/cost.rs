//! Measures the cost of telemetry on the request path, and the size of burn reports.
//!
//! Run it with `cargo run --release -p sycamorelink-telemetry --example cost`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use sycamorelink_core::{CustomerName, InstanceId, NodeId, NodeIncarnation, ServiceName};
use sycamorelink_telemetry::burn::{
    BurnLedger, BurnOutcome, BurnPage, BurnReport, BurnSummary, ObjectiveSource, ObjectiveTerm,
    ReportDetail,
};
use sycamorelink_telemetry::event::{EventCode, EventThrottle};
use sycamorelink_telemetry::metric::{
    MetricName, MetricRegistry, MetricSettings, MetricTags, NoopSink,
};

/// Number of operations per measurement.
const OPERATION_COUNT: u32 = 2_000_000;
/// Number of series in the measured ledger, equal to its default maximum.
const SERIES_COUNT: u32 = 128;
/// Number of daemons whose reports are merged.
const DAEMON_COUNT: u64 = 2_300;

/// Source without any contracts, so that the default objective applies.
struct NoObjectives;

impl ObjectiveSource for NoObjectives {
    fn objective(&self, _: &CustomerName, _: &ServiceName) -> Option<ObjectiveTerm> {
        None
    }
}

fn main() {
    measure_request_path();
    let ledger = measure_ledger();
    measure_reports(&ledger);
}

fn measure_request_path() {
    let registry = MetricRegistry::new(&MetricSettings::default());
    let tags = MetricTags::new().with("service", "orders");
    let counter = registry.counter(MetricName::Attempts, &tags);
    let timer = registry.timer(MetricName::Latency, &tags);
    let throttle = EventThrottle::new(Duration::from_secs(10), 5);
    time_operation("counter", |_| counter.add(1));
    time_operation("timer", |number| {
        timer.record(Duration::from_micros(u64::from(number % 9_000)));
    });
    time_operation("suppressed event", |_| {
        let _ = black_box(throttle.admit(Duration::ZERO, EventCode::ReplyTruncated));
    });
    for number in 0..1_000 {
        let tags = MetricTags::new().with("service", &format!("service-{number}"));
        registry.counter(MetricName::Requests, &tags).add(1);
    }
    let start = Instant::now();
    let count = registry.flush(&NoopSink);
    println!(
        "flush of {} lines, {} bytes: {:?}",
        count.sent,
        count.bytes,
        start.elapsed()
    );
}

fn measure_ledger() -> BurnLedger {
    let instance = instance(0);
    let mut ledger = BurnLedger::new(instance, Duration::from_hours(480_000));
    let names: Vec<_> = (0..SERIES_COUNT)
        .map(|number| {
            let customer = CustomerName::new(&format!("customer-{:03}", number / 4));
            let service = ServiceName::new(&format!("service-{:03}", number % 4));
            (customer, service)
        })
        .collect();
    time_operation("burn record", |number| {
        let (customer, service) = &names[(number % SERIES_COUNT) as usize];
        // The operations cover three days, so that every bucket is in use at the end.
        let now = Duration::from_millis(u64::from(number) * 130);
        let outcome = BurnOutcome::ALL[(number % 6) as usize];
        ledger.record(now, customer, service, outcome);
    });
    ledger
}

fn measure_reports(ledger: &BurnLedger) {
    let now = Duration::from_millis(u64::from(OPERATION_COUNT) * 130);
    for detail in [ReportDetail::Windows, ReportDetail::Points] {
        let start = Instant::now();
        let report = ledger.report(now, detail, &NoObjectives);
        let elapsed = start.elapsed();
        let text = serde_json::to_string(&report).unwrap_or_default();
        let rows = report.rows.len();
        println!(
            "{detail:?} of {rows} rows: made in {elapsed:?}, {} bytes of JSON",
            text.len()
        );
    }
    let report = ledger.report(now, ReportDetail::Points, &NoObjectives);
    let start = Instant::now();
    let mut sum = BurnReport::default();
    for number in 0..DAEMON_COUNT {
        let mut next = report.clone();
        next.sources[0].instance = self::instance(number);
        sum.merge(&next);
    }
    println!(
        "merge of {DAEMON_COUNT} reports with points: {:?}",
        start.elapsed()
    );
    let start = Instant::now();
    let page = BurnPage(&BurnSummary::of(&sum)).to_string();
    println!("page of {} bytes: {:?}", page.len(), start.elapsed());
}

fn instance(number: u64) -> InstanceId {
    InstanceId {
        node: NodeId(number),
        incarnation: NodeIncarnation(1),
    }
}

fn time_operation<F>(name: &str, mut operation: F)
where
    F: FnMut(u32),
{
    let start = Instant::now();
    for number in 0..OPERATION_COUNT {
        operation(number);
    }
    println!("{name}: {:?} each", start.elapsed() / OPERATION_COUNT);
}
