//! At most once.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::KeyJoined,
        reserved: true,
        means: "A caller sent a key again while the first send runs. The resend waits for the same \
                reply and nothing runs twice.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::KeyReplayed,
        reserved: false,
        means: "A resend of a finished key got the kept reply. Off by default.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::KeyUnknown,
        reserved: false,
        means: "Every guard that could know of this key is lost or does not know its end. The \
                key is closed for good and its callers are told `unknown`.",
        act: "Check by hand with the service's owner whether the work was done. When many come \
                together, a failure domain or a whole guard set was lost: look for `SL4012` and \
                `SL4013`.",
    },
    EventEntry {
        code: EventCode::KeyExpired,
        reserved: false,
        means: "The key is older than the time keys are remembered for, so nobody can tell any \
                more whether it ran. It was refused and did not run.",
        act: "Nothing for one. When a customer has many, its callers resend too late or their \
                clock is wrong: tell them.",
    },
    EventEntry {
        code: EventCode::KeyReused,
        reserved: false,
        means: "The same key came with another body or route. It was refused, since answering with \
                the first reply would be wrong and running it could double the first.",
        act: "Tell the customer: its callers make keys that are not unique.",
    },
    EventEntry {
        code: EventCode::KeyClosed,
        reserved: false,
        means: "No send of this key will run any more. Most often its executor ended while the \
                try may have been running; `run` or `reason` says what is known.",
        act: "Nothing for one. Many at once: look for `SL1014`, `SL6002` and `SL8007`.",
    },
    EventEntry {
        code: EventCode::GrantRefused,
        reserved: false,
        means: "A guard did not grant a key: it is closed, running elsewhere, or the guard no \
                longer holds the range. The request is not dispatched.",
        act: "Nothing for one. Many for one range point to daemons with different rosters: look \
                for `SL5007` and `SL6008`.",
    },
    EventEntry {
        code: EventCode::GuardsUnreachable,
        reserved: false,
        means: "A non-idempotent request needs a grant from each of its guards and at least one \
                does not answer. The request is refused with `guards-unreachable` and certainly \
                did not run.",
        act: "Look at `peer` and `domain`. The seat is given to another daemon when the guard \
                stays away (`SL4009`, `SL4010`); callers may send again after `Retry-After`.",
    },
    EventEntry {
        code: EventCode::GuardStruck,
        reserved: true,
        means: "A guard ended or stayed away for long enough and lost its seat. It can grant \
                nothing any more, even when it wakes up: a request needs a grant from every seat \
                that is now in force.",
        act: "Look at that daemon. One that is paused and comes back drops its seat by itself.",
    },
    EventEntry {
        code: EventCode::GuardReplaced,
        reserved: false,
        means: "The other guards of a range chose a new generation of seats, by ballots among \
                themselves and without the log.",
        act: "Nothing. Often in a short time: look for `SL6003`, a daemon there comes and \
                goes.",
    },
    EventEntry {
        code: EventCode::CustodyHanded,
        reserved: false,
        means: "This daemon took up a guard seat. It copied the keys of the range, with their \
                ends and kept replies, before it serves.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::RangeClosed,
        reserved: false,
        means: "Most guards of a range have ended or are out of reach, so that the rest cannot \
                choose new ones. Requests with keys of this range get `guards-unreachable` and \
                do not run until the log has decided who follows.",
        act: "Bring the lost daemons back into reach, or the log service when it is away \
                (`SL7001`). Guards that are gone for good have to be known as ended: a new life \
                of them, or an operator, says so.",
    },
    EventEntry {
        code: EventCode::RangeRefounded,
        reserved: true,
        means: "The log decided who guards the range from now on. When a guard with the memory \
                of it survived, nothing is lost; when none did, keys made before the founding \
                never run and are answered `unknown`.",
        act: "When no guard survived: find out what took all of them, which are in different \
                failure domains, and tell the customers that requests from the time before have \
                to be checked by hand.",
    },
    EventEntry {
        code: EventCode::KeyTableFull,
        reserved: false,
        means: "The guard's memory is full. It forgets the oldest keys that have an end, and \
                refuses every key older than those from now on with `key-expired`, so that none \
                of them can run again.",
        act: "Add daemons, or shorten the time that contracts ask keys to be remembered for.",
    },
    EventEntry {
        code: EventCode::FenceHeld,
        reserved: false,
        means: "The daemon beside the backend server refused to start a request because its grant \
                came from a guard set that is no longer in force. It did not run.",
        act: "Nothing. It shows the fence at work, most often after a pause or a cut.",
    },
    EventEntry {
        code: EventCode::RunUnproven,
        reserved: false,
        means: "A non-idempotent request had reached a backend server when the connection or the \
                server failed. Its end is not known, and it is not tried elsewhere.",
        act: "Nothing for one: the caller is told `unknown` by `SL2003`. Many from one upstream: \
                look for `SL8007` and `SL1014`.",
    },
];
