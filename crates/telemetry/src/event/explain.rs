//! Lookup of event and refusal codes, for `sycamorelink explain`.

use std::fmt;

use sycamorelink_core::{RefusalCode, nearest_name};

use super::{EventCode, EventEntry, RefusalEntry};

/// Catalogue entries of a code or name. At least one of them is present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CodeExplanation {
    /// Refusal with this code.
    pub refusal: Option<&'static RefusalEntry>,
    /// Event with this number or name.
    pub event: Option<&'static EventEntry>,
}

/// Error for a code that is not in the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct UnknownCode {
    /// Text that was looked up.
    pub text: String,
    /// Most similar code or name, or `None` when none is similar.
    pub nearest: Option<&'static str>,
}

impl fmt::Display for UnknownCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no event or refusal is called {:?}", self.text)?;
        match self.nearest {
            Some(name) => write!(f, "; did you mean {name}?"),
            None => write!(f, "; docs/events.md lists all"),
        }
    }
}

/// Returns the entries of an event, by number or name (`SL3003`, `3003`, `upstream-ejected`), or of
/// a refusal code (`overloaded`). Some names are both; then both entries are returned.
///
/// # Errors
///
/// [`UnknownCode`] when there is no such event or refusal.
pub fn explain(text: &str) -> Result<CodeExplanation, UnknownCode> {
    let query = text.trim().to_lowercase();
    let explanation = CodeExplanation {
        refusal: find_refusal(&query).map(RefusalEntry::of),
        event: find_event(&query).map(EventCode::entry),
    };
    if explanation.refusal.is_none() && explanation.event.is_none() {
        return Err(UnknownCode {
            text: text.to_owned(),
            nearest: nearest_code(&query),
        });
    }
    Ok(explanation)
}

fn find_refusal(query: &str) -> Option<RefusalCode> {
    RefusalCode::ALL
        .iter()
        .copied()
        .find(|code| code.as_str() == query)
}

fn find_event(query: &str) -> Option<EventCode> {
    let digits = query.strip_prefix("sl").unwrap_or(query);
    if let Ok(number) = digits.parse() {
        return EventCode::from_number(number);
    }
    EventCode::ALL
        .iter()
        .copied()
        .find(|code| code.name() == query)
}

/// Returns the most similar name, or for a number the closest number: the edit distance of numbers
/// would suggest codes of unrelated subjects.
fn nearest_code(query: &str) -> Option<&'static str> {
    let digits = query.strip_prefix("sl").unwrap_or(query);
    if let Ok(number) = digits.parse::<u16>() {
        return EventCode::ALL
            .iter()
            .min_by_key(|code| code.number().abs_diff(number))
            .map(|code| code.as_str());
    }
    let refusals = RefusalCode::ALL.iter().map(|code| code.as_str());
    let events = EventCode::ALL.iter().map(|code| code.name());
    nearest_name(query, refusals.chain(events))
}

impl fmt::Display for CodeExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(refusal) = self.refusal {
            write!(f, "{refusal}")?;
        }
        if self.refusal.is_some() && self.event.is_some() {
            write!(f, "\n\n")?;
        }
        if let Some(event) = self.event {
            write!(f, "{event}")?;
        }
        Ok(())
    }
}
