//! Entries of refusal codes in the catalogue.

use std::fmt;

use sycamorelink_core::{RefusalCode, RunState};

use super::EventCode;
use super::refusals::REFUSALS;

/// Entry of a refusal code in the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalEntry {
    /// Code in the answer to the caller.
    pub code: RefusalCode,
    /// Meaning of the refusal, in full sentences.
    pub meaning: &'static str,
    /// Run states that the answer may contain.
    pub run_states: &'static [RunState],
    /// Action for the caller.
    pub caller: &'static str,
    /// Action for operators.
    pub operator: &'static str,
    /// Related events.
    pub events: &'static [EventCode],
}

impl RefusalEntry {
    /// Returns every entry, in the order of [`RefusalCode::ALL`].
    #[must_use]
    pub fn all() -> &'static [Self] {
        &REFUSALS
    }

    /// Returns the entry of a code.
    #[must_use]
    pub fn of(code: RefusalCode) -> &'static Self {
        &REFUSALS[code as usize]
    }

    /// Returns a sentence that says whether the request ran.
    #[must_use]
    pub fn run_text(&self) -> &'static str {
        match self.run_states {
            [RunState::NotRun] => "Not run, for certain.",
            [RunState::Unknown] => "Unknown: it may have run.",
            _ => {
                "`not-run` or `unknown`: the answer says which. Unknown means that it may have run."
            }
        }
    }
}

impl fmt::Display for RefusalEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} (HTTP {})", self.code, self.code.status())?;
        writeln!(f, "  Meaning:    {}", self.meaning)?;
        writeln!(f, "  Was it run: {}", self.run_text())?;
        writeln!(f, "  Caller:     {}", self.caller)?;
        write!(f, "  Operator:   {}", self.operator)?;
        if self.events.is_empty() {
            return Ok(());
        }
        write!(f, "\n  Events:    ")?;
        for code in self.events {
            write!(f, " {code} {}", code.name())?;
        }
        Ok(())
    }
}
