//! Events 8000 to 8999: limits, overload and error budget burn.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::ShareLapsed,
        reserved: true,
        meaning: "The daemon could not renew its share of a customer's limit and uses a minimum \
                share, which needs no agreement with other daemons.",
        action: "Nothing during a known network partition. Otherwise look for `SL6008`: the \
                daemon that keeps that limit is unreachable.",
    },
    EventEntry {
        code: EventCode::KeeperChanged,
        reserved: true,
        meaning: "Another daemon now keeps the limit of the customer and leases shares of it, \
                because the previous one left or was lost. For one lease time shares stay small, \
                so that their sum cannot exceed the contract.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::LimitExceeded,
        reserved: false,
        meaning: "The customer sends more than its contract allows. The excess requests get \
                `limit-exceeded` with `Retry-After`.",
        action: "Nothing, or talk to the customer. To allow more, amend its contract.",
    },
    EventEntry {
        code: EventCode::OverloadShedding,
        reserved: false,
        meaning: "Backend servers have no free slot soon enough for the deadlines of the \
                requests. Requests that would not get a slot in time are refused at once, lowest \
                priority first.",
        action: "Find out whether load grew or capacity shrank: compare `requests` with \
                `upstreams_in_use` and `slots_used`. Add backend servers, or lower the limit of \
                the customer that causes it.",
    },
    EventEntry {
        code: EventCode::OverloadEnded,
        reserved: false,
        meaning: "Requests find slots in time again.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::CrashRequestStopped,
        reserved: false,
        meaning: "The same request was running at several backend servers when they died. It is \
                refused with `crash-request` across the fleet, so that it crashes no further \
                servers.",
        action: "Give the request's key or hash to the owner of the service: it holds a fault that \
                crashes the backend server. Tell the caller to stop sending it.",
    },
    EventEntry {
        code: EventCode::CrashSuspected,
        reserved: false,
        meaning: "A backend server died while it ran this request among others. It counts against \
                the request, not only against the server.",
        action: "Nothing for one; `SL8006` follows when it repeats.",
    },
    EventEntry {
        code: EventCode::MemoryHigh,
        reserved: true,
        meaning: "A table with a bound is nearly full. When it is full, new entries are refused \
                or the least useful ones dropped, depending on the table.",
        action: "Look at `reason` for the table. When it stays high, add daemons.",
    },
    EventEntry {
        code: EventCode::ConnectionsHigh,
        reserved: true,
        meaning: "The daemon holds nearly as many connections as it may. At the bound it refuses new \
                ones.",
        action: "Look at which side they are from: `callers_connected` and `peers_connected`. \
                Callers that open one connection for each request should keep them.",
    },
    EventEntry {
        code: EventCode::FairnessApplied,
        reserved: true,
        meaning: "A customer had more requests waiting than its share, and others went first. Off by \
                default.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::BurnFast,
        reserved: false,
        meaning: "At the pace of the last hour and the last five minutes, the error budget of \
                the objective is used up in days instead of weeks. Callers are affected now.",
        action: "Open the burn report, find the most frequent cause, and continue from there: \
                `refused` to `SL8004` and `SL2015`, `failed` and `wrong` to `SL3001`, `late` to \
                the latency of the upstreams, `unknown` to `SL2003`.",
    },
    EventEntry {
        code: EventCode::BurnSlow,
        reserved: false,
        meaning: "At the pace of the last six hours and the last half hour, the error budget does \
                not last for its window.",
        action: "The same as for `SL8011`; it can wait for working hours if the burn rate does \
                not rise.",
    },
    EventEntry {
        code: EventCode::BurnEnded,
        reserved: false,
        meaning: "The short window is back below its threshold.",
        action: "Nothing. The budget that was used stays used until the window has passed.",
    },
    EventEntry {
        code: EventCode::MemoryExhausted,
        reserved: false,
        meaning: "The bytes of the request did not fit into `limits.overload.memory`, and it was \
                refused as not run. `count` has the bytes held, `limit` the limit, and `reason` \
                the bytes that the request needed. The metric `events` counts these refusals.",
        action: "Look for callers that send bodies slowly or read replies slowly. If there are \
                none, raise `limits.overload.memory` as far as the machine allows.",
    },
    EventEntry {
        code: EventCode::CapacityReportInvalid,
        reserved: false,
        meaning: "A capacity report of a peer names a limit, wait, run time or age that no backend \
                server can have. `reason` is the value, `upstream` the backend server that it is \
                about. The report was dropped and changed nothing.",
        action: "Look at the daemon beside `upstream`: `peer` may only have passed the report on. \
                Compare its build with the others.",
    },
    EventEntry {
        code: EventCode::RepeatsRequested,
        reserved: false,
        meaning: "More repeats were requested from the backend server in the last second than it \
                has left under the fleet's bound. It asks another server for unused ones.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::RepeatsLent,
        reserved: false,
        meaning: "Repeats that this instance does not need were lent for one second. They count \
                here for 11 s, whether they are used or not.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::RepeatsRefused,
        reserved: false,
        meaning: "This instance has no repeats to spare beyond what is requested from it in a \
                second.",
        action: "Nothing for single ones. When all instances refuse, the fleet uses its bound on \
                repeats fully.",
    },
    EventEntry {
        code: EventCode::RepeatsBorrowed,
        reserved: false,
        meaning: "Another instance answered. Borrowed repeats may be used until one second after \
                the question.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::LoanDropped,
        reserved: false,
        meaning: "The message was late, a duplicate, from another incarnation than the asked one, \
                or implausible. Its repeats are lost for 11 s, and nothing else changes.",
        action: "Nothing for single ones. When `reason` says that a number is implausible, compare \
                the versions of both daemons.",
    },
    EventEntry {
        code: EventCode::ServiceDeclining,
        reserved: false,
        meaning: "Three or more backend servers of the service answered that they did not run work, \
                for 30% or more of the last arrivals from this daemon. `count` is the number of \
                declined arrivals, `limit` that of all arrivals. Declined requests wait in place of \
                being sent again.",
        action: "Find out from the service's owner why its servers decline work. New requests are \
                still sent, and show when the service accepts work again.",
    },
    EventEntry {
        code: EventCode::ServiceAccepting,
        reserved: false,
        meaning: "Fewer than 10% of the last arrivals from this daemon were declined, or there were \
                none for four seconds. `count` and `limit` are as with `SL8021`.",
        action: "Nothing.",
    },
];
