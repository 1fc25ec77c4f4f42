//! Agreement of the *Reserved* marks in the catalogue with the code that raises events and sends
//! metrics.

use std::fs;
use std::path::{Path, PathBuf};

use sycamorelink_telemetry::{EventEntry, MetricName};

/// Files and directories with code that raises events or sends metrics, relative to the root of the
/// repository.
const RAISING_SOURCES: [&str; 6] = [
    "crates/daemon/src",
    "crates/ops/src",
    "src",
    "crates/telemetry/src/burn/tracker.rs",
    "crates/telemetry/src/event/throttle.rs",
    "crates/telemetry/src/log.rs",
];

fn append_sources(path: &Path, text: &mut String) {
    if path.is_dir() {
        let entries = fs::read_dir(path).expect("the directory can be read");
        for entry in entries {
            append_sources(&entry.expect("the entry can be read").path(), text);
        }
    } else if path.extension().is_some_and(|extension| extension == "rs") {
        text.push_str(&fs::read_to_string(path).expect("the file can be read"));
    }
}

fn raising_source() -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut text = String::new();
    for path in RAISING_SOURCES {
        append_sources(&root.join(path), &mut text);
    }
    text
}

/// Returns whether the source names the variant, not only a longer one that starts with its name.
fn names_variant(text: &str, type_name: &str, variant: &str) -> bool {
    let qualified = format!("{type_name}::{variant}");
    text.match_indices(&qualified).any(|(start, _)| {
        let following = text[start + qualified.len()..].chars().next();
        following.is_none_or(|character| !character.is_alphanumeric())
    })
}

/// An alert on an event that no code raises would never fire. Every event is therefore either
/// raised or marked as reserved, and never both.
#[test]
fn events_are_raised_or_reserved() {
    let text = raising_source();
    for entry in EventEntry::all() {
        let raised = names_variant(&text, "EventCode", &format!("{:?}", entry.code));
        assert_eq!(raised, !entry.reserved, "{} {:?}", entry.code, entry.code);
    }
}

#[test]
fn metrics_are_sent_or_reserved() {
    let text = raising_source();
    for name in MetricName::ALL {
        let sent = names_variant(&text, "MetricName", &format!("{name:?}"));
        assert_eq!(sent, !name.is_reserved(), "{name:?}");
    }
}
