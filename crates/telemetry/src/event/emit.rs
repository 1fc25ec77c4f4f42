//! Logging of events.

use std::fmt;

use super::field::EscapedText;
use super::{EventCode, EventLevel};

/// Target of every event in `tracing`, for filters such as `sycamorelink::event=warn`.
pub const EVENT_TARGET: &str = "sycamorelink::event";

type FieldValue<'a> = Option<&'a dyn fmt::Display>;

macro_rules! event_fields {
    ($($field:ident $meaning:literal,)+) => {
        /// Fields of an event.
        ///
        /// The set is closed so that a value has the same field name in every event. Fields that
        /// are not set are not logged.
        #[derive(Clone, Copy, Default)]
        pub struct EventFields<'a> {
            $($field: FieldValue<'a>,)+
        }

        impl<'a> EventFields<'a> {
            /// Name and meaning of every field, for the documentation.
            pub const MEANINGS: &'static [(&'static str, &'static str)] =
                &[$((stringify!($field), $meaning),)+];

            /// Returns an empty set of fields.
            #[must_use]
            pub fn new() -> Self {
                Self::default()
            }

            $(
                #[doc = $meaning]
                #[must_use]
                pub fn $field(mut self, value: &'a dyn fmt::Display) -> Self {
                    self.$field = Some(value);
                    self
                }
            )+
        }

        impl fmt::Debug for EventFields<'_> {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let mut map = f.debug_map();
                $(
                    if let Some(value) = self.$field {
                        map.entry(&stringify!($field), &value.to_string());
                    }
                )+
                map.finish()
            }
        }

        macro_rules! log_at {
            ($level:ident, $code:expr, $fields:expr, $suppressed:expr) => {
                tracing::event!(
                    target: EVENT_TARGET,
                    tracing::Level::$level,
                    code = $code.as_str(),
                    event = $code.name(),
                    $($field = $fields
                        .$field
                        .map(|value| tracing::field::display(EscapedText(value))),)+
                    suppressed = $suppressed,
                    "{}",
                    $code.message()
                )
            };
        }
    };
}

event_fields! {
    customer "Name of the customer.",
    service "Name of the service.",
    upstream "Id of the upstream, a backend server.",
    domain "Name of the failure domain.",
    peer "Id of the other daemon.",
    address "Address of the other side.",
    request "Id of the request.",
    key "Idempotency key, shortened or hashed, because its content is private to the caller.",
    range "Range of idempotency keys.",
    refusal "Refusal code.",
    run "Whether the request ran.",
    version "Version of the contract.",
    offset "Offset in the log.",
    count "Number that the event refers to, for example of requests.",
    limit "Bound that the event refers to, for example the total of `count` or the time left.",
    duration "Length of time, with its unit.",
    place "Path within a document, such as the settings.",
    operator "Name of the operator who made the call.",
    call "Call to the operators' address, which serves the operator API.",
    change "Id of a contract change.",
    reason "Cause, in a few words or as an error message.",
}

/// Logs an event at its level.
pub fn emit(code: EventCode, fields: &EventFields<'_>) {
    emit_with_suppressed(code, fields, 0);
}

/// Logs an event, with the number of earlier events of its code that were suppressed.
pub(super) fn emit_with_suppressed(code: EventCode, fields: &EventFields<'_>, suppressed: u64) {
    let suppressed = (suppressed > 0).then_some(suppressed);
    match code.level() {
        EventLevel::Error => log_at!(ERROR, code, fields, suppressed),
        EventLevel::Warn => log_at!(WARN, code, fields, suppressed),
        EventLevel::Info => log_at!(INFO, code, fields, suppressed),
        EventLevel::Debug => log_at!(DEBUG, code, fields, suppressed),
    }
}
