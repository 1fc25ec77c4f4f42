//! The event catalogue, the lookup of codes, and the logging of events.

use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use sycamorelink_core::{RefusalCode, RunState};
use sycamorelink_telemetry::event::{
    EventCode, EventEntry, EventFields, EventGroup, EventThrottle, RefusalEntry, ThrottleDecision,
    emit, explain,
};
use sycamorelink_telemetry::log::{LogFormat, LogSettings};
use sycamorelink_telemetry::metric::{MetricName, MetricRegistry, MetricSettings, MetricTags};
use tracing_subscriber::fmt::MakeWriter;

/// Writer that stores the log output; clones share one buffer.
#[derive(Clone, Debug, Default)]
struct LogCapture(Arc<Mutex<Vec<u8>>>);

impl LogCapture {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("no test panics with the lock").clone();
        String::from_utf8(bytes).expect("logs are text")
    }
}

impl io::Write for LogCapture {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut captured = self.0.lock().expect("no test panics with the lock");
        captured.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'w> MakeWriter<'w> for LogCapture {
    type Writer = Self;

    fn make_writer(&'w self) -> Self::Writer {
        self.clone()
    }
}

fn logged_text<F>(settings: &LogSettings, action: F) -> String
where
    F: FnOnce(),
{
    let capture = LogCapture::default();
    let subscriber = settings
        .subscriber(capture.clone())
        .expect("the level is valid");
    tracing::subscriber::with_default(subscriber, action);
    capture.text()
}

fn json_settings(level: &str) -> LogSettings {
    LogSettings {
        format: LogFormat::Json,
        level: level.to_owned(),
        ..LogSettings::default()
    }
}

/// Parses a line as JSON and removes its timestamp.
fn without_time(line: &str) -> serde_json::Value {
    let mut value: serde_json::Value = serde_json::from_str(line).expect("a line is JSON");
    let object = value.as_object_mut().expect("a line is an object");
    assert!(object.remove("timestamp").is_some());
    value
}

#[test]
fn numbers_and_names_are_unique_and_sorted() {
    let numbers: Vec<_> = EventCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted_by(|left, right| left < right));
    let names: BTreeSet<_> = EventCode::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(names.len(), EventCode::ALL.len());
    for code in EventCode::ALL {
        let is_kebab_case = |letter: char| letter.is_ascii_lowercase() || letter == '-';
        assert!(
            code.name().chars().all(is_kebab_case),
            "{code}: {}",
            code.name()
        );
        assert_eq!(EventCode::from_number(code.number()), Some(*code));
    }
}

#[test]
fn group_entries_have_numbers_of_the_group() {
    let total: usize = EventGroup::ALL
        .iter()
        .map(|group| group.entries().count())
        .sum();
    assert_eq!(total, EventEntry::all().len());
    for (index, group) in EventGroup::ALL.iter().enumerate() {
        let first_number = (index + 1) * 1000;
        for entry in group.entries() {
            let number = usize::from(entry.code.number());
            assert!(
                (first_number..first_number + 1000).contains(&number),
                "{number}"
            );
        }
    }
}

#[test]
fn texts_are_full_sentences() {
    for entry in EventEntry::all() {
        for text in [entry.meaning, entry.action] {
            assert!(text.ends_with('.'), "{}: {text:?}", entry.code);
            assert!(!text.contains("  "), "{}: {text:?}", entry.code);
        }
        let message = entry.code.message();
        assert!(!message.ends_with('.'), "{}: {message:?}", entry.code);
    }
}

/// Texts refer operators to other codes, which must exist.
#[test]
fn codes_in_texts_exist() {
    for entry in EventEntry::all() {
        for text in [entry.meaning, entry.action] {
            for part in text.split('`').skip(1).step_by(2) {
                if part.starts_with("SL") {
                    assert!(explain(part).is_ok(), "{} names {part}", entry.code);
                }
            }
        }
    }
}

#[test]
fn every_refusal_has_an_entry() {
    for code in RefusalCode::ALL {
        let explained = explain(code.as_str()).expect("a refusal code is in the catalogue");
        assert_eq!(explained.refusal, Some(RefusalEntry::of(*code)));
        assert_eq!(RefusalEntry::of(*code).code, *code);
    }
}

/// A request refused before dispatch cannot have run, so its entry must not allow `unknown`.
#[test]
fn refusals_before_dispatch_are_never_unknown() {
    let before = [
        RefusalCode::BadRequest,
        RefusalCode::UnknownCustomer,
        RefusalCode::UnknownRoute,
        RefusalCode::KeyRequired,
        RefusalCode::KeyForm,
        RefusalCode::KeyReused,
        RefusalCode::LimitExceeded,
        RefusalCode::Overloaded,
        RefusalCode::NoUpstream,
        RefusalCode::Draining,
        RefusalCode::NotReady,
        RefusalCode::GuardsUnreachable,
    ];
    for code in before {
        assert_eq!(
            RefusalEntry::of(code).run_states,
            [RunState::NotRun],
            "{code}"
        );
    }
}

#[test]
fn explanations_by_number_name_and_refusal() {
    let mut shown = Vec::new();
    for text in ["SL3006", "sl3006", "3006", "floor-held"] {
        shown.push(explain(text).expect("the code is known").to_string());
    }
    assert!(shown.windows(2).all(|pair| pair[0] == pair[1]));
    shown.truncate(1);
    for text in ["overloaded", "no-upstream"] {
        shown.push(explain(text).expect("the code is known").to_string());
    }
    insta::assert_snapshot!(shown.join("\n\n----\n\n"));
}

#[test]
fn unknown_codes_suggest_the_most_similar() {
    let texts = [
        "SL3099",
        "overlaoded",
        "upstream-ejectd",
        "sl",
        "",
        "SL99999",
        "lunch",
    ];
    let lines: Vec<_> = texts
        .iter()
        .map(|text| explain(text).expect_err("no such code").to_string())
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn event_as_json_line() {
    let text = logged_text(&json_settings("info"), || {
        let fields = EventFields::new()
            .service(&"orders")
            .upstream(&"00000000000000aa/0")
            .reason(&"5 of 20 failed, peers 1 of 300");
        emit(EventCode::UpstreamEjected, &fields);
    });
    insta::assert_json_snapshot!(without_time(text.trim()));
}

#[test]
fn event_as_text_line() {
    let settings = LogSettings::default();
    let text = logged_text(&settings, || {
        let fields = EventFields::new().customer(&"brannock").count(&3);
        emit(EventCode::DrainCut, &fields);
    });
    let (_, line) = text
        .trim()
        .split_once(' ')
        .expect("a line starts with a timestamp");
    insta::assert_snapshot!(line.trim());
}

/// A caller sends a path with a line break and text that looks like a log line. The log must not
/// contain it as a line of its own.
#[test]
fn values_cannot_forge_a_line() {
    let reason = "no route for /a\nERROR sycamorelink::event: forged\x1b[31m \u{85}end";
    for settings in [LogSettings::default(), json_settings("info")] {
        let text = logged_text(&settings, || {
            emit(EventCode::BadRequest, &EventFields::new().reason(&reason));
        });
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(!text.trim_end().contains(char::is_control), "{text:?}");
        assert!(text.contains("end"), "{text}");
    }
}

#[test]
fn events_are_filtered_by_level() {
    let emit_all = || {
        for code in EventCode::ALL {
            emit(*code, &EventFields::new());
        }
    };
    for (level, lowest) in [("error", "error"), ("warn", "warn"), ("debug", "debug")] {
        let text = logged_text(&json_settings(level), emit_all);
        let order = ["error", "warn", "info", "debug"];
        let index = order.iter().position(|name| *name == lowest);
        let expected = EventCode::ALL
            .iter()
            .filter(|code| {
                let own = order.iter().position(|name| *name == code.level().as_str());
                own <= index
            })
            .count();
        assert_eq!(text.lines().count(), expected, "level {level}");
    }
}

#[test]
fn invalid_level_is_reported() {
    let settings = LogSettings {
        level: "loud=very".to_owned(),
        ..LogSettings::default()
    };
    let mut findings = sycamorelink_core::FindingList::default();
    settings.check("telemetry.log", &mut findings);
    insta::assert_snapshot!(findings);
}

/// An upstream fails under load and thousands of requests raise the same event within seconds. Only
/// the first few per period are logged, other events are not affected, and the rest is counted.
#[test]
fn event_storm_is_throttled_and_counted() {
    let throttle = EventThrottle::new(Duration::from_secs(10), 3);
    let text = logged_text(&json_settings("debug"), || {
        for step in 0..1000 {
            let now = Duration::from_millis(step * 5);
            throttle.emit(now, EventCode::ReplyTruncated, &EventFields::new());
        }
        let now = Duration::from_secs(5);
        throttle.emit(now, EventCode::UpstreamEjected, &EventFields::new());
        let now = Duration::from_secs(12);
        throttle.emit(now, EventCode::ReplyTruncated, &EventFields::new());
        throttle.emit_suppressed(Duration::from_secs(30));
    });
    let lines: Vec<_> = text.lines().map(without_time).collect();
    insta::assert_json_snapshot!(lines);
}

#[test]
fn suppressed_count_is_reported_without_a_later_event() {
    let throttle = EventThrottle::new(Duration::from_secs(10), 1);
    for _ in 0..5 {
        let _ = throttle.admit(Duration::ZERO, EventCode::BadRequest);
    }
    // The period has not ended yet.
    assert!(throttle.take_suppressed(Duration::from_secs(9)).is_empty());
    let taken = throttle.take_suppressed(Duration::from_secs(10));
    assert_eq!(taken, [(EventCode::BadRequest, 4)]);
    assert!(throttle.take_suppressed(Duration::from_secs(20)).is_empty());
}

#[test]
fn metric_counts_suppressed_events() {
    let registry = MetricRegistry::new(&MetricSettings::default());
    let throttle = EventThrottle::new(Duration::from_secs(10), 1).with_counters(&registry);
    for _ in 0..5 {
        let _ = throttle.admit(Duration::ZERO, EventCode::BadRequest);
    }
    let tags = MetricTags::new().with("code", "SL9011");
    assert_eq!(registry.counter(MetricName::Events, &tags).get(), 5);
}

/// Several threads raise the same event concurrently. The limit applies to all of them together,
/// and logged and suppressed events add up to the total.
#[test]
fn throttle_is_exact_across_threads() {
    const THREADS: u64 = 4;
    const EACH: u64 = 10_000;
    let throttle = Arc::new(EventThrottle::new(Duration::from_secs(10), 5));
    let workers: Vec<_> = (0..THREADS)
        .map(|_| {
            let throttle = Arc::clone(&throttle);
            thread::spawn(move || {
                (0..EACH)
                    .map(|_| throttle.admit(Duration::ZERO, EventCode::BadRequest))
                    .filter(|decision| matches!(decision, ThrottleDecision::Log { .. }))
                    .count()
            })
        })
        .collect();
    let logged: usize = workers
        .into_iter()
        .map(|worker| worker.join().expect("no worker panics"))
        .sum();
    assert_eq!(logged, 5);
    let taken = throttle.take_suppressed(Duration::from_secs(10));
    assert_eq!(taken, [(EventCode::BadRequest, THREADS * EACH - 5)]);
}
