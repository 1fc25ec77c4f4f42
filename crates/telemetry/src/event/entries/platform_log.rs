//! Events 7000 to 7999: the platform log, which stores contracts.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::LogUnavailable,
        reserved: false,
        meaning: "Calls to the log service fail. Requests are served as before; contracts cannot be \
                changed until it is back.",
        action: "Bring the log service back. There is no hurry for requests; `SL5011` says when it \
                gets urgent.",
    },
    EventEntry {
        code: EventCode::LogBack,
        reserved: false,
        meaning: "The log service answers again and the daemon reads on from its offset.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::LogTrimmed,
        reserved: false,
        meaning: "Records were dropped by retention before this daemon read them. It takes the \
                contracts from a record that was carried forward, or from a peer.",
        action: "Nothing when `SL5003` follows. Otherwise look for `SL5012`.",
    },
    EventEntry {
        code: EventCode::LogTruncated,
        reserved: false,
        meaning: "The log ends before an offset that this daemon has read. It keeps its newer \
                state and does not return to an older one.",
        action: "Report it to the owners of the log service at once: records that were acknowledged \
                are gone.",
    },
    EventEntry {
        code: EventCode::AppendSettled,
        reserved: true,
        meaning: "An append whose reply was lost was found by its own id, or is certain not to be \
                there.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::AppendUncertain,
        reserved: false,
        meaning: "The log did not answer an append. The record may be in the log; the daemon \
                reads the log to find out.",
        action: "Nothing. Look at the log service when it repeats.",
    },
    EventEntry {
        code: EventCode::AppendThrottled,
        reserved: false,
        meaning: "The log service takes no more appends for now. Appends wait and are merged where \
                they can be.",
        action: "Nothing for a short time. If it lasts, find the daemon that appends so much: \
                see the metric `log_appends` by daemon.",
    },
    EventEntry {
        code: EventCode::AppendRefused,
        reserved: false,
        meaning: "The log service refused an append and will always do so, for its size, its rights \
                or its stream.",
        action: "Look at `reason`; most often the settings name a stream or rights that do not \
                exist.",
    },
    EventEntry {
        code: EventCode::LogSlow,
        reserved: false,
        meaning: "Calls to the log service take far longer than usual. Changes of contracts arrive \
                late; requests are not affected.",
        action: "Tell the owners of the log service.",
    },
    EventEntry {
        code: EventCode::ReadBehind,
        reserved: true,
        meaning: "Records come faster than this daemon reads them.",
        action: "Look at the processor use of this instance, and find the writer that appends so \
                much.",
    },
];
