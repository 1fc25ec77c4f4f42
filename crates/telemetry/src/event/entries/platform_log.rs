//! Platform log.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::LogUnavailable,
        reserved: false,
        means: "Calls to the log service fail. Requests are served as before; contracts cannot be \
                changed until it is back.",
        act: "Bring the log service back. There is no hurry for requests; `SL5011` says when it \
                gets urgent.",
    },
    EventEntry {
        code: EventCode::LogBack,
        reserved: false,
        means: "The log service answers again and the daemon reads on from its offset.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::LogTrimmed,
        reserved: false,
        means: "Records were dropped by retention before this daemon read them. It takes the state \
                from a carried record or from a peer.",
        act: "Nothing when `SL5003` follows. Otherwise look for `SL5012`.",
    },
    EventEntry {
        code: EventCode::LogTruncated,
        reserved: false,
        means: "The log ends before an offset that this daemon has read. It keeps its newer state \
                and does not go back.",
        act: "Report it to the owners of the log service at once: records that were acknowledged \
                are gone.",
    },
    EventEntry {
        code: EventCode::AppendSettled,
        reserved: true,
        means: "An append whose reply was lost was found by its own id, or is certain not to be \
                there.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::AppendUncertain,
        reserved: false,
        means: "The log did not answer an append. It may be in the log; the daemon reads it back \
                to find out.",
        act: "Nothing. Look at the log service when it repeats.",
    },
    EventEntry {
        code: EventCode::AppendThrottled,
        reserved: false,
        means: "The log service takes no more appends for now. Appends wait and are merged where \
                they can be.",
        act: "Nothing for a short time. When it lasts, find who appends so much: see the metric \
                `log_appends` by daemon.",
    },
    EventEntry {
        code: EventCode::AppendRefused,
        reserved: false,
        means: "The log service refused an append and will always do so, for its size, its rights \
                or its stream.",
        act: "Look at `reason`; most often the settings name a stream or rights that do not \
                exist.",
    },
    EventEntry {
        code: EventCode::LogSlow,
        reserved: false,
        means: "Calls to the log service take far longer than usual. Changes of contracts arrive \
                late; requests are not affected.",
        act: "Tell the owners of the log service.",
    },
    EventEntry {
        code: EventCode::ReadBehind,
        reserved: true,
        means: "Records come faster than this daemon reads them.",
        act: "Look at the processor use of this instance, and at who writes so much.",
    },
];
