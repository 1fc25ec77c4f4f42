//! The marks of the catalogue agree with the code: what is not reserved is raised somewhere.

use std::fs;
use std::path::{Path, PathBuf};

use sycamorelink_telemetry::{EventEntry, MetricName};

/// Code that raises events or sends metrics, from the root of the repository.
const RAISERS: [&str; 6] = [
    "crates/daemon/src",
    "crates/ops/src",
    "src",
    "crates/telemetry/src/burn/watch.rs",
    "crates/telemetry/src/event/throttle.rs",
    "crates/telemetry/src/log.rs",
];

fn collect(path: &Path, text: &mut String) {
    if path.is_dir() {
        let entries = fs::read_dir(path).expect("the directory can be read");
        for entry in entries {
            collect(&entry.expect("the entry can be read").path(), text);
        }
    } else if path.extension().is_some_and(|kind| kind == "rs") {
        text.push_str(&fs::read_to_string(path).expect("the file can be read"));
    }
}

fn raising_code() -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut text = String::new();
    for part in RAISERS {
        collect(&root.join(part), &mut text);
    }
    text
}

/// Whether the code names the variant, and not just one that begins like it.
fn names(text: &str, kind: &str, variant: &str) -> bool {
    let wanted = format!("{kind}::{variant}");
    text.match_indices(&wanted).any(|(place, _)| {
        let next = text[place + wanted.len()..].chars().next();
        next.is_none_or(|letter| !letter.is_alphanumeric())
    })
}

/// Failure: an operator builds an alert on a code of the catalogue that nothing ever raises, and
/// waits for it during an outage. Every entry is therefore either raised or marked, never both.
#[test]
fn events_are_raised_or_reserved() {
    let text = raising_code();
    for entry in EventEntry::all() {
        let raised = names(&text, "EventCode", &format!("{:?}", entry.code));
        assert_eq!(raised, !entry.reserved, "{} {:?}", entry.code, entry.code);
    }
}

#[test]
fn metrics_are_sent_or_reserved() {
    let text = raising_code();
    for name in MetricName::ALL {
        let sent = names(&text, "MetricName", &format!("{name:?}"));
        assert_eq!(sent, !name.is_reserved(), "{name:?}");
    }
}
