//! Agreement of the documentation with the catalogue: generated pages match their tables, and pages
//! for operators refer to existing codes and commands.

use std::fs;
use std::path::Path;

use sycamorelink_telemetry::{
    EventCode, EventEntry, EventLevel, explain, render_catalogue, render_metrics,
};

/// Environment variable that makes the tests write the pages instead of comparing them.
const UPDATE: &str = "UPDATE_DOCS";

fn check_page(page: &str, rendered: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(page);
    if std::env::var_os(UPDATE).is_some() {
        fs::write(&path, rendered).expect("the page can be written");
    }
    let existing = fs::read_to_string(&path).expect("the page exists");
    let differs = existing
        .lines()
        .zip(rendered.lines())
        .position(|(left, right)| left != right);
    assert!(
        existing == rendered,
        "docs/{page} differs from its table, first at line {:?}; set {UPDATE}=1 to write it",
        differs.map(|line| line + 1),
    );
}

#[test]
fn events_page_matches_the_catalogue() {
    check_page("events.md", &render_catalogue());
}

#[test]
fn metrics_page_matches_the_table() {
    check_page("metrics.md", &render_metrics());
}

/// Pages for operators that refer to the catalogue.
const OPERATOR_PAGES: [&str; 2] = ["operators/oncall.md", "operators/burn.md"];

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    fs::read_to_string(path).expect("the page exists")
}

/// Returns the code spans of a page: the texts between two backticks.
fn code_spans(page: &str) -> Vec<String> {
    let text = page.replace('\n', " ");
    text.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Every event of level error pages an operator, who looks it up in this table.
#[test]
fn oncall_page_lists_every_error() {
    let page = page("operators/oncall.md");
    for code in EventCode::ALL {
        if code.level() == EventLevel::Error {
            let row = format!("| `{code}` {} |", code.name());
            assert!(page.contains(&row), "{row} is missing");
        }
    }
}

/// The list of errors that this version does not raise must be complete and contain no others.
#[test]
fn oncall_page_lists_reserved_errors() {
    let page = page("operators/oncall.md");
    let (_, rest) = page
        .split_once("Not raised by this version: ")
        .expect("the page has the list");
    let (list, _) = rest.split_once('.').expect("the list has an end");
    let listed = code_spans(list);
    let reserved: Vec<_> = EventEntry::all()
        .iter()
        .filter(|entry| entry.reserved && entry.level() == EventLevel::Error)
        .map(|entry| entry.code.to_string())
        .collect();
    assert_eq!(listed, reserved);
}

#[test]
fn codes_in_operator_pages_exist() {
    for name in OPERATOR_PAGES {
        for word in code_spans(&page(name)) {
            if word.starts_with("SL") {
                assert!(explain(&word).is_ok(), "{name} names {word}");
            }
        }
    }
}

/// Commands in operator pages and in the catalogue must have a manual page.
#[test]
fn commands_in_texts_have_a_manual_page() {
    let mut texts: Vec<_> = OPERATOR_PAGES.iter().map(|name| page(name)).collect();
    texts.push(render_catalogue());
    let manual = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/man");
    for word in texts.iter().flat_map(|text| code_spans(text)) {
        let mut parts = word.split_whitespace();
        if parts.next() != Some("sycamorelink") {
            continue;
        }
        let is_subcommand =
            |part: &&str| part.chars().all(|character| character.is_ascii_lowercase());
        let names: Vec<_> = parts.take_while(is_subcommand).collect();
        let first = names.first().copied().unwrap_or_default();
        let known = [names.join("-"), first.to_owned()]
            .iter()
            .any(|name| manual.join(format!("sycamorelink-{name}.md")).exists());
        assert!(known, "`{word}` has no page in docs/man");
    }
}

/// Every link within the page must refer to one of its headings.
#[test]
fn oncall_links_have_a_heading() {
    let page = page("operators/oncall.md");
    let anchors: Vec<_> = page
        .lines()
        .filter_map(|line| line.strip_prefix("## "))
        .map(|title| title.to_lowercase().replace(' ', "-"))
        .collect();
    for link in page.split("](#").skip(1) {
        let target = link.split(')').next().unwrap_or_default();
        assert!(anchors.iter().any(|anchor| anchor == target), "#{target}");
    }
}
