//! Events 4000 to 4999: idempotency keys and at-most-once execution.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::KeyJoined,
        reserved: true,
        meaning: "A caller sent a key again while the first send runs. The resend waits for the same \
                reply and nothing runs twice.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::KeyReplayed,
        reserved: false,
        meaning: "A resend of a finished key got the kept reply. Off by default.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::KeyUnknown,
        reserved: false,
        meaning: "Every guard that could know this key is lost or does not know how its request \
                ended. The key is closed permanently and its callers get `unknown`.",
        action: "Check by hand with the service's owner whether the work was done. When many come \
                together, a failure domain or a whole guard set was lost: look for `SL4012` and \
                `SL4013`.",
    },
    EventEntry {
        code: EventCode::KeyExpired,
        reserved: false,
        meaning: "The key is older than the time keys are remembered for, so it is no longer \
                known whether an earlier request with it ran. This request was refused and did not \
                run.",
        action: "Nothing for one. When a customer has many, its callers resend too late or their \
                clock is wrong: inform the customer.",
    },
    EventEntry {
        code: EventCode::KeyReused,
        reserved: false,
        meaning: "The same key came with another body or route. It was refused, since answering with \
                the first reply would be wrong and running it could double the first.",
        action: "Inform the customer that its callers generate keys that are not unique.",
    },
    EventEntry {
        code: EventCode::KeyClosed,
        reserved: false,
        meaning: "No further request with this key will run. Most often the daemon that executed \
                the request ended while the attempt may have been running; `run` or `reason` has \
                what is known.",
        action: "Nothing for one. Many at once: look for `SL1014`, `SL6002` and `SL8007`.",
    },
    EventEntry {
        code: EventCode::GrantRefused,
        reserved: false,
        meaning: "A guard did not grant a key: it is closed, running elsewhere, or the guard no \
                longer holds the range. The request is not dispatched.",
        action: "Nothing for one. Many for one range point to daemons with different rosters: look \
                for `SL5007` and `SL6008`.",
    },
    EventEntry {
        code: EventCode::GuardsUnreachable,
        reserved: false,
        meaning: "A non-idempotent request needs a grant from each of its guards and at least one \
                does not answer. The request is refused with `guards-unreachable` and certainly \
                did not run.",
        action: "Look at `peer` and `domain`. If the guard stays unreachable, another daemon \
                takes its seat (`SL4009`, `SL4010`). Callers may send again after `Retry-After`.",
    },
    EventEntry {
        code: EventCode::GuardStruck,
        reserved: true,
        meaning: "A guard ended or was unreachable for too long and lost its seat. It can no \
                longer grant keys, even if it resumes after a pause: a request needs a grant from \
                every seat that is now in force.",
        action: "Look at that daemon. A daemon that resumes after a pause gives up its seat by \
                itself.",
    },
    EventEntry {
        code: EventCode::GuardReplaced,
        reserved: false,
        meaning: "The other guards of a range chose a new generation of seats, by ballots among \
                themselves and without the log.",
        action: "Nothing. If it happens often in a short time, look for `SL6003`: a daemon among \
                the guards is flapping.",
    },
    EventEntry {
        code: EventCode::CustodyHanded,
        reserved: false,
        meaning: "This daemon took up a guard seat. Before it grants keys, it has copied the \
                keys of the range with their outcomes and stored replies.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::RangeClosed,
        reserved: false,
        meaning: "Most guards of a range have ended or are out of reach, so that the rest cannot \
                choose new ones. Requests with keys of this range get `guards-unreachable` and do \
                not run until the log has decided which daemons become guards.",
        action: "Make the lost daemons reachable again, or the log service when it is \
                unavailable (`SL7001`). Guards that are permanently gone must be known to have \
                ended: a restarted daemon under the same name shows it, or an operator confirms \
                it.",
    },
    EventEntry {
        code: EventCode::RangeRefounded,
        reserved: true,
        meaning: "The log decided which daemons guard the range from now on. If a guard that \
                held its keys survived, nothing is lost; if none did, requests with keys from \
                before the decision never run and get `unknown`.",
        action: "When no guard survived: find out what took all of them, which are in different \
                failure domains, and tell the customers that requests from the time before have \
                to be checked by hand.",
    },
    EventEntry {
        code: EventCode::KeyTableFull,
        reserved: false,
        meaning: "The guard's memory is full. It drops the oldest keys whose requests have \
                ended, and from now on refuses every key older than those with `key-expired`, so \
                that none of them can run again.",
        action: "Add daemons, or shorten the time that contracts ask keys to be remembered for.",
    },
    EventEntry {
        code: EventCode::FenceHeld,
        reserved: false,
        meaning: "The daemon beside the backend server refused to start a request because its grant \
                came from a guard set that is no longer in force. It did not run.",
        action: "Nothing. This is expected after a pause or a network partition.",
    },
    EventEntry {
        code: EventCode::RunUnproven,
        reserved: false,
        meaning: "A non-idempotent request had reached a backend server when the connection or \
                the server failed. Its outcome is not known, so it is not retried on another \
                upstream.",
        action: "Nothing for one: the caller is told `unknown` by `SL2003`. Many from one upstream: \
                look for `SL8007` and `SL1014`.",
    },
];
