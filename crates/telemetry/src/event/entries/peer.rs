//! Events 9000 to 9999: wire protocol, peers, security and bad input.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::PeerForeign,
        reserved: false,
        meaning: "A connection to the port for daemons did not come from a daemon of this fleet. \
                It was refused before any of its data was used.",
        action: "Look at `address`: another fleet with the same ports, a scan, or a wrong setting.",
    },
    EventEntry {
        code: EventCode::PeerVersion,
        reserved: false,
        meaning: "The peer uses a version of the protocol between daemons that this daemon does \
                not support. The two daemons cannot communicate; other daemons still reach both.",
        action: "Finish or undo the release under way. More than one version apart is not \
                supported.",
    },
    EventEntry {
        code: EventCode::FrameOversized,
        reserved: false,
        meaning: "A peer announced a frame above the limit. The connection was closed before it \
                was read, so no memory was allocated for it.",
        action: "When it repeats from one peer, restart and report it.",
    },
    EventEntry {
        code: EventCode::PeerIncarnation,
        reserved: false,
        meaning: "The message was addressed to an earlier incarnation of this daemon. It was \
                dropped, because this incarnation does not know the state of the earlier one.",
        action: "Nothing. It is usual in the seconds after a restart.",
    },
    EventEntry {
        code: EventCode::FrameMalformed,
        reserved: false,
        meaning: "A frame could not be decoded, or a field has a value that is not allowed. The \
                connection was closed.",
        action: "When it repeats from one peer, compare the versions of both; report it when they \
                are equal.",
    },
    EventEntry {
        code: EventCode::PeerConnected,
        reserved: true,
        meaning: "A connection to another daemon is up. Off by default.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::PeerDisconnected,
        reserved: true,
        meaning: "A connection to another daemon ended. Requests in flight on it are tried elsewhere \
                where that is safe.",
        action: "Nothing, unless `SL6002` follows.",
    },
    EventEntry {
        code: EventCode::AdminDenied,
        reserved: false,
        meaning: "Someone called the operators' address without a valid token, or for something \
                that the token's role may not do. `call` says what was called.",
        action: "Look at `address` and `operator`. If the caller is known, its token or role is \
                wrong; otherwise treat the call as an attempted intrusion.",
    },
    EventEntry {
        code: EventCode::AdminCall,
        reserved: false,
        meaning: "An operator made a call of the operators' address that changes something. This is the \
                audit trail, and no such entry is left out: `operator`, `address`, `call`, `customer`, \
                `change` and `reason` say who, from where, what, and how it ended.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::CallerDenied,
        reserved: false,
        meaning: "A request had no token, or one that no customer has. It got `unknown-customer`.",
        action: "Nothing for a few. Many after a change of a contract mean that a token was \
                replaced too early.",
    },
    EventEntry {
        code: EventCode::BadRequest,
        reserved: false,
        meaning: "A request is not HTTP or breaks one of its rules. It got `bad-request` and did not \
                run.",
        action: "Nothing. When one customer has many, tell it what `reason` says.",
    },
    EventEntry {
        code: EventCode::HeadersTooLarge,
        reserved: false,
        meaning: "The headers were over the limit and were not read further. The request got \
                `headers-too-large` and did not run.",
        action: "Nothing, or tell the customer. Cookies that grow are the usual cause.",
    },
    EventEntry {
        code: EventCode::BodyTooLarge,
        reserved: false,
        meaning: "The body is larger than the contract allows. The request got `body-too-large` and \
                was not dispatched, or was cancelled before its end.",
        action: "Nothing, or amend the contract.",
    },
    EventEntry {
        code: EventCode::FramingAmbiguous,
        reserved: true,
        meaning: "A message had two lengths, or a length and chunks. Two programs could split it \
                into requests differently, so that one caller could get the reply to another. It \
                was refused and its connection closed.",
        action: "Look at `address`: a caller or backend server with a broken client, or an attempt \
                to smuggle requests.",
    },
    EventEntry {
        code: EventCode::CallerSlow,
        reserved: true,
        meaning: "A caller sent its head or body more slowly than the limit. Its connection was \
                closed so that it holds no memory and no slot.",
        action: "Nothing. Many from many addresses at once are an attack: limit them before they \
                reach the fleet.",
    },
    EventEntry {
        code: EventCode::DatagramRefused,
        reserved: false,
        meaning: "A datagram on the roster port has a wrong signature or cannot be decoded. It was \
                dropped without an answer. Off by default.",
        action: "Nothing, unless the count in `events` is high: then look at `SL9020` and `SL9001`.",
    },
    EventEntry {
        code: EventCode::EventsSuppressed,
        reserved: false,
        meaning: "More events of the code in `reason` came than are logged in one period. `count` of \
                them were only counted.",
        action: "Look at that code. The metric `events` has the whole count.",
    },
    EventEntry {
        code: EventCode::MetricsDropped,
        reserved: false,
        meaning: "Metrics could not be sent, or too many were waiting. Requests are not affected.",
        action: "Look at the statsd address in the settings and whether it takes UDP from this \
                instance.",
    },
    EventEntry {
        code: EventCode::BackendBadInput,
        reserved: false,
        meaning: "A backend server sent the daemon beside it an announcement or report that \
                cannot be parsed. It was ignored; the previous one stays in force until the \
                heartbeat of the backend server lapses.",
        action: "Inform the owner of the service, with `reason`. If it began after a release of \
                the backend server, that release is the most likely cause.",
    },
    EventEntry {
        code: EventCode::KeyMismatched,
        reserved: false,
        meaning: "A peer signs with a fleet key that is neither of the two that this daemon knows. \
                Nothing it sends is used.",
        action: "Compare the fleet keys in the settings of both. To replace a key, first add the \
                new one as `fleet_keys.previous` on every instance, and only then make it \
                `fleet_keys.current` and the old one `previous`.",
    },
];
