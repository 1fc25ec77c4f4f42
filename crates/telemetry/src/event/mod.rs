//! Numbered events: the catalogue of all log messages of the daemon.
//!
//! ```text
//! code.rs  number, name, level, message ----> EventCode --emit--> tracing
//! entries/ meaning and action --------------> EventEntry --explain--> command line
//!                                                        `-render--> docs/events.md
//! ```
//!
//! A code without an entry does not compile, and a test compares the page with the catalogue.

mod code;
mod document;
mod emit;
mod entries;
mod entry;
mod explain;
mod field;
mod refusal;
mod refusals;
mod throttle;

pub use code::{EventCode, EventLevel};
pub use document::render_catalogue;
pub use emit::{EVENT_TARGET, EventFields, emit};
pub use entry::{EventEntry, EventGroup};
pub use explain::{CodeExplanation, UnknownCode, explain};
pub use refusal::RefusalEntry;
pub use throttle::{EventThrottle, ThrottleDecision};
