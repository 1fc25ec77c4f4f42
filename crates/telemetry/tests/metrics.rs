//! Metrics from the handle to the statsd lines, and latency summaries.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::time::Duration;

use sycamorelink_telemetry::latency::LatencySummary;
use sycamorelink_telemetry::metric::{
    MetricName, MetricRegistry, MetricSample, MetricSettings, MetricSink, MetricTags, SinkError,
    open_sink,
};

/// Maximum time to wait for a datagram.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Sink that records samples as text, or refuses all of them.
#[derive(Debug, Default)]
struct RecordingSink {
    lines: Mutex<Vec<String>>,
    refuses: bool,
}

impl RecordingSink {
    fn take(&self) -> Vec<String> {
        std::mem::take(&mut self.lines.lock().expect("no test panics with the lock"))
    }
}

impl MetricSink for RecordingSink {
    fn send(&self, sample: &MetricSample<'_>) -> Result<(), SinkError> {
        if self.refuses {
            let error = std::io::Error::other("full");
            return Err(SinkError::Client(error.into()));
        }
        let tags: Vec<_> = sample
            .tags
            .iter()
            .map(|(tag, value)| format!("{tag}={value}"))
            .collect();
        let line = format!(
            "{} {} {} [{}]",
            sample.name,
            sample.kind,
            sample.value,
            tags.join(" ")
        );
        let mut lines = self.lines.lock().expect("no test panics with the lock");
        lines.push(line);
        Ok(())
    }
}

fn service(name: &str) -> MetricTags {
    MetricTags::new().with("service", name)
}

#[test]
fn names_are_unique_lowercase_and_described() {
    let names: BTreeSet<_> = MetricName::ALL.iter().map(|name| name.as_str()).collect();
    assert_eq!(names.len(), MetricName::ALL.len());
    for name in MetricName::ALL {
        let is_plain = |letter: char| letter.is_ascii_lowercase() || letter == '_';
        assert!(name.as_str().chars().all(is_plain), "{name}");
        assert!(name.meaning().ends_with('.'), "{name}");
    }
}

#[test]
fn flush_sends_changed_series() {
    let registry = MetricRegistry::new(&MetricSettings::default());
    let attempts = registry.counter(MetricName::Attempts, &service("orders"));
    let slots = registry.gauge(MetricName::SlotsUsed, &service("orders"));
    let latency = registry.timer(MetricName::Latency, &service("orders"));
    let sink = RecordingSink::default();

    attempts.add(2);
    attempts.clone().add(3);
    slots.set(4);
    for millis in 1..=100 {
        latency.record(Duration::from_millis(millis));
    }
    registry.flush(&sink);
    insta::assert_snapshot!(sink.take().join("\n"), @r#"
    attempts counter 5 [service=orders]
    slots_used gauge 4 [service=orders]
    latency.count counter 100 [service=orders]
    latency.p50 gauge 50175 [service=orders]
    latency.p99 gauge 99327 [service=orders]
    latency.p999 gauge 100351 [service=orders]
    "#);

    // Without a change, nothing is sent.
    registry.flush(&sink);
    assert!(sink.take().is_empty());
    // An unchanged gauge is sent again every 30 flushes, for a receiver that restarted.
    for _ in 0..60 {
        registry.flush(&sink);
    }
    assert_eq!(sink.take(), ["slots_used gauge 4 [service=orders]"; 2]);
}

/// The sink refuses all samples of one flush. The next flush sends the counts and the gauge, so
/// that no count is lost.
#[test]
fn refused_counts_are_sent_later() {
    let registry = MetricRegistry::new(&MetricSettings::default());
    registry
        .counter(MetricName::KeysClosed, &MetricTags::new())
        .add(7);
    registry
        .gauge(MetricName::KeysHeld, &MetricTags::new())
        .set(3);
    let refusing = RecordingSink {
        refuses: true,
        ..RecordingSink::default()
    };
    let count = registry.flush(&refusing);
    assert_eq!((count.sent, count.dropped), (0, 2));

    let sink = RecordingSink::default();
    registry.flush(&sink);
    assert_eq!(
        sink.take(),
        ["keys_closed counter 7 []", "keys_held gauge 3 []"]
    );
}

/// 500 counters change before each flush, and the byte budget is enough for only some of them. Each
/// flush stays within the budget, every series is sent in turn, and no count is lost.
#[test]
fn byte_budget_holds_and_every_series_is_sent() {
    let settings = MetricSettings {
        budget_bytes: 1024,
        ..MetricSettings::default()
    };
    let registry = MetricRegistry::new(&settings);
    let counters: Vec<_> = (0..500)
        .map(|number| registry.counter(MetricName::Attempts, &service(&format!("s{number:03}"))))
        .collect();
    let sink = RecordingSink::default();
    let mut seen = BTreeSet::new();
    let mut total = 0;
    for _ in 0..100 {
        for counter in &counters {
            counter.add(1);
        }
        let count = registry.flush(&sink);
        assert!(count.bytes < 1024 + 64, "{count:?}");
        for line in sink.take() {
            let mut words = line.split(' ');
            let value: u64 = words.nth(2).and_then(|word| word.parse().ok()).unwrap_or(0);
            total += value;
            seen.insert(words.next().unwrap_or_default().to_owned());
        }
    }
    assert_eq!(seen.len(), 500);
    while registry.flush(&sink).sent > 0 {
        for line in sink.take() {
            let value = line.split(' ').nth(2).and_then(|word| word.parse().ok());
            total += value.unwrap_or(0);
        }
    }
    assert_eq!(total, 50_000);
}

#[test]
fn series_beyond_the_maximum_are_shared() {
    let settings = MetricSettings {
        max_series: 3,
        ..MetricSettings::default()
    };
    let registry = MetricRegistry::new(&settings);
    for number in 0..10 {
        let tags = service(&format!("s{number}"));
        registry.counter(MetricName::Attempts, &tags).add(1);
        registry.gauge(MetricName::SlotsUsed, &tags).set(1);
    }
    let sink = RecordingSink::default();
    registry.flush(&sink);
    insta::assert_snapshot!(sink.take().join("\n"), @r#"
    attempts counter 1 [service=s0]
    slots_used gauge 1 [service=s0]
    attempts counter 1 [service=s1]
    attempts counter 8 [service=(other)]
    "#);
}

/// A tag value with separators of the statsd format would be parsed as another metric.
#[test]
fn separators_in_tags_are_replaced() {
    let tags = MetricTags::new().with("customer", "a:b|c#d,e@f\ng");
    let shown: Vec<_> = tags.iter().collect();
    assert_eq!(shown, [("customer", "a_b_c_d_e_f_g")]);
}

#[test]
fn statsd_lines_reach_the_receiver() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("loopback has a port");
    receiver
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .expect("the timeout can be set");
    let settings = MetricSettings {
        address: receiver.local_addr().ok(),
        ..MetricSettings::default()
    };
    let sink = open_sink(&settings).expect("loopback takes metrics");
    let registry = MetricRegistry::new(&settings);
    registry
        .counter(MetricName::Attempts, &service("orders"))
        .add(5);
    registry
        .gauge(MetricName::LogReachable, &MetricTags::new())
        .set(1);
    registry.flush(sink.as_ref());

    let mut text = String::new();
    let mut buffer = [0; 2048];
    while text.lines().count() < 2 {
        let length = receiver
            .recv(&mut buffer)
            .expect("a datagram arrives in time");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    insta::assert_snapshot!(text.trim(), @r#"
    sycamorelink.attempts:5|c|#service:orders
    sycamorelink.log_reachable:1|g
    "#);
}

#[test]
fn without_an_address_nothing_is_sent() {
    let sink = open_sink(&MetricSettings::default()).expect("no address needs no socket");
    let registry = MetricRegistry::new(&MetricSettings::default());
    registry
        .counter(MetricName::Events, &MetricTags::new())
        .add(1);
    assert_eq!(registry.flush(sink.as_ref()).dropped, 0);
}

#[test]
fn invalid_settings_are_reported() {
    let text = r#"{"prefix": "", "budget-bytes": 10, "max-series": 0, "max-timers": 0}"#;
    let settings: MetricSettings =
        serde_json::from_str(text).expect("the settings have valid fields");
    let mut findings = sycamorelink_core::FindingList::default();
    settings.check("telemetry.metrics", &mut findings);
    insta::assert_snapshot!(findings, @r#"
    telemetry.metrics.prefix: must not be empty
    telemetry.metrics.budget-bytes: must be at least 512 bytes
    telemetry.metrics.max-series: must be at least 1
    telemetry.metrics.max-timers: must be at least 1
    "#);
}

#[test]
fn merged_summaries_equal_one_summary() {
    let mut all = LatencySummary::new();
    let mut parts = [LatencySummary::new(), LatencySummary::new()];
    for micros in 1..=20_000u64 {
        let latency = Duration::from_micros(micros * 7);
        all.record(latency);
        parts[usize::from(micros % 3 == 0)].record(latency);
    }
    let [mut merged, other] = parts;
    merged.merge(&other);
    assert_eq!(merged, all);

    let text = serde_json::to_string(&merged).expect("a summary is plain data");
    let read: LatencySummary =
        serde_json::from_str(&text).expect("the written summary can be parsed");
    assert_eq!(read.percentiles(), all.percentiles());
    insta::assert_json_snapshot!(all.percentiles(), @r#"
    {
      "count": 20000,
      "p50_us": 70143,
      "p99_us": 139263,
      "p999_us": 140287,
      "max_us": 140287
    }
    "#);
}

#[test]
fn latencies_beyond_the_range_count_at_its_ends() {
    let mut summary = LatencySummary::new();
    summary.record(Duration::ZERO);
    summary.record(Duration::MAX);
    assert_eq!(summary.count(), 2);
    assert!(summary.quantile(1.0) >= Duration::from_mins(5));
    summary.clear();
    assert_eq!(summary.count(), 0);
    assert_eq!(summary.quantile(0.99), Duration::ZERO);
}
