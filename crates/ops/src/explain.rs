//! The `explain` command: the meaning of event and refusal codes, and what to do about them.

use sycamorelink_core::RefusalCode;
use sycamorelink_telemetry::EventCode;
use sycamorelink_telemetry::event::explain;

use crate::context::ShellContext;
use crate::exit::ToolFailure;
use crate::table::TextTable;

/// Prints the explanation of an event, given its number or name, or of a refusal, given its code.
///
/// # Errors
///
/// Returns [`ToolFailure::NotFound`] if no event or refusal has this code.
pub fn explain_code(context: &mut ShellContext, code: &str) -> anyhow::Result<()> {
    match explain(code) {
        Ok(explanation) => context.data_line(explanation),
        Err(unknown) => Err(ToolFailure::NotFound(unknown.to_string()).into()),
    }
}

/// Prints tables of all events and all refusals.
///
/// # Errors
///
/// Returns an error if stdout cannot be written.
pub fn list_codes(context: &mut ShellContext) -> anyhow::Result<()> {
    let mut events = TextTable::new(&["CODE", "LEVEL", "NAME", "MESSAGE"]);
    for code in EventCode::ALL {
        events.row([
            code.as_str().to_owned(),
            code.level().to_string(),
            code.name().to_owned(),
            code.message().to_owned(),
        ]);
    }
    context.data_line(events)?;
    let mut refusals = TextTable::new(&["REFUSAL", "HTTP STATUS"]);
    for code in RefusalCode::ALL {
        refusals.row([code.as_str().to_owned(), code.status().to_string()]);
    }
    context.data(refusals)
}
