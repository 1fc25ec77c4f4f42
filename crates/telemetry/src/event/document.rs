//! Rendering of the catalogue as the page `docs/events.md`.

use std::fmt::Write;

use super::entry::RESERVED_TEXT;
use super::{EventEntry, EventFields, EventGroup, RefusalEntry};

const HEAD: &str = "\
# Events

Every line that the daemon logs about its own work is a numbered event. The meaning of a number
never changes, and a retired number is never reused. `sycamorelink explain SL3003` prints an entry
of this page, and `sycamorelink explain overloaded` one for a refusal code.

This page is generated from the table in `crates/telemetry/src/event`; a test compares the two.
To update it after a change of the table, run
`UPDATE_DOCS=1 cargo test -p sycamorelink-telemetry --test documents`.

Levels: `error` means that an operator has to act, `warn` is a fault that the fleet handles by
itself, `info` is a normal change of state, and `debug` is for single requests and off by default.
In JSON lines the number is in the field `code` and the name in `event`. Beyond a limit per period,
events of the same code are only counted: the next logged one has the count in `suppressed`, and
`SL9017` reports the rest.

An entry marked *Reserved* is not raised by this version: do not wait for it, and do not build an
alert on it. A test compares the marks with the code that raises events.
";

const FIELDS_HEAD: &str = "\
## Fields

A field has the same name and meaning in every event. Fields that do not apply are left out.

| Field | Meaning |
|---|---|
";

const REFUSAL_HEAD: &str = "\
## Refusal codes

A caller that gets no reply from a backend server gets `application/problem+json` with one of these
codes, and with whether its request ran. `not-run` is used only where that is certain.
";

/// Returns the content of `docs/events.md`.
#[must_use]
pub fn render_catalogue() -> String {
    let mut page = String::from(HEAD);
    let _ = write!(page, "\n{FIELDS_HEAD}");
    for (field, meaning) in EventFields::MEANINGS {
        let _ = writeln!(page, "| `{field}` | {meaning} |");
    }
    for group in EventGroup::ALL {
        let _ = write!(page, "\n## {}\n", group.title());
        for entry in group.entries() {
            render_event(&mut page, entry);
        }
    }
    let _ = write!(page, "\n{REFUSAL_HEAD}");
    for entry in RefusalEntry::all() {
        render_refusal(&mut page, entry);
    }
    page
}

fn render_event(page: &mut String, entry: &EventEntry) {
    let code = entry.code;
    let reserved = if entry.reserved {
        format!("*Reserved:* {RESERVED_TEXT}\n\n")
    } else {
        String::new()
    };
    let _ = write!(
        page,
        "\n### {code} {} ({})\n\n{reserved}Logged as \"{}\".\n\n{}\n\n*What to do:* {}\n",
        code.name(),
        code.level(),
        code.message(),
        entry.meaning,
        entry.action,
    );
}

fn render_refusal(page: &mut String, entry: &RefusalEntry) {
    let _ = write!(
        page,
        "\n### `{}` (HTTP {})\n\n{}\n\n*Was it run:* {}\n\n*Caller:* {}\n\n*Operator:* {}\n",
        entry.code,
        entry.code.status(),
        entry.meaning,
        entry.run_text(),
        entry.caller,
        entry.operator,
    );
    if entry.events.is_empty() {
        return;
    }
    let _ = write!(page, "\n*Events:*");
    for (index, code) in entry.events.iter().enumerate() {
        let separator = if index == 0 { "" } else { "," };
        let _ = write!(page, "{separator} `{code}` {}", code.name());
    }
    page.push_str(".\n");
}
