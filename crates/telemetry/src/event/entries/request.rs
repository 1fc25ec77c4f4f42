//! Events 2000 to 2999: requests, retries and refusals.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::RequestServed,
        reserved: false,
        meaning: "A request got a whole reply. Off by default.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::RequestRefused,
        reserved: false,
        meaning: "A request got a refusal instead of a reply; `refusal` and `run` say which and \
                whether it ran. Off by default.",
        action: "Use `sycamorelink explain` with the refusal code. For the shares by code see the \
                metric `refusals`.",
    },
    EventEntry {
        code: EventCode::RequestUnknown,
        reserved: false,
        meaning: "A non-idempotent request was sent to a backend server and its outcome is not known. The caller got `unknown`; the key is closed and never \
                runs again.",
        action: "Check by hand with the service's owner whether the work was done, using `key` and \
                `request`. Many at once mean that backend servers die with work in flight: look \
                for `SL1014` and `SL9007`.",
    },
    EventEntry {
        code: EventCode::CallerGone,
        reserved: false,
        meaning: "The caller closed its connection before its reply. The attempt was cancelled \
                at the upstream where possible.",
        action: "Nothing. A rise means that callers give up waiting: compare the latency with \
                the objective.",
    },
    EventEntry {
        code: EventCode::DeadlineExceeded,
        reserved: false,
        meaning: "The deadline of a request passed before a reply. For a non-idempotent request that \
                had been sent, the answer is `unknown`.",
        action: "Look at the latency of the service and at `SL8004`. One upstream alone points to \
                `SL3001`.",
    },
    EventEntry {
        code: EventCode::RetryMade,
        reserved: false,
        meaning: "An idempotent request, or one that certainly did not run, was sent to another \
                upstream. Off by default.",
        action: "Nothing. For the rate see the metric `retries`.",
    },
    EventEntry {
        code: EventCode::RetryBudgetExhausted,
        reserved: false,
        meaning: "So many requests of this customer and service fail that retries would only add \
                load. Failures are now returned to the caller at once.",
        action: "Find the failing upstreams first; the budget refills by itself with good \
                replies. Do not raise the budget during a fault: retries prolong an overload.",
    },
    EventEntry {
        code: EventCode::HedgeSent,
        reserved: false,
        meaning: "An idempotent request was slow and a second attempt was sent elsewhere. Off by \
                default.",
        action: "Nothing. For the rate see the metrics `hedges` and `hedges_won`.",
    },
    EventEntry {
        code: EventCode::ReplyTruncated,
        reserved: false,
        meaning: "A backend server announced a length and sent less. The reply was not passed on \
                as complete.",
        action: "Look at the backend server's log for that time. If it continues, the weight of \
                the upstream is reduced automatically.",
    },
    EventEntry {
        code: EventCode::ReplyMismatched,
        reserved: false,
        meaning: "A reply came on a connection or stream where another request was waiting. It was \
                dropped and the connection closed, so nobody got another caller's reply.",
        action: "Treat it as an urgent fault of the backend server, which mixes up its callers. \
                If it repeats, take its instance out of service with `sycamorelink drain`.",
    },
    EventEntry {
        code: EventCode::ReplyMalformed,
        reserved: false,
        meaning: "What came from a backend server is not HTTP, or breaks its rules.",
        action: "Look at the backend server's log. If it continues, the weight of the upstream \
                is reduced automatically.",
    },
    EventEntry {
        code: EventCode::ReplyLate,
        reserved: false,
        meaning: "A reply came after its request had been answered another way, most often after a \
                hedge or a deadline. It was dropped. Off by default.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::ReplyAborted,
        reserved: true,
        meaning: "A reply broke after its head had gone to the caller. The daemon cut the \
                caller's connection, since that is the only way to signal that the reply is \
                incomplete.",
        action: "Look at the upstream named. If mainly large replies break, look for a limit on \
                the way between the two.",
    },
    EventEntry {
        code: EventCode::CancelSent,
        reserved: false,
        meaning: "An attempt is no longer needed, and a cancellation was sent to its upstream. \
                Off by default.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::NoUpstream,
        reserved: false,
        meaning: "Every backend server of the service is gone, leaving or out of reach of this \
                daemon. Requests for it get `no-upstream`.",
        action: "Look at `sycamorelink service`. If other daemons reach the upstreams of the \
                service, the network fault is at this daemon: look for `SL3008` and `SL6008`.",
    },
    EventEntry {
        code: EventCode::AttemptSent,
        reserved: false,
        meaning: "The daemon that took the request chose this upstream. `version` is that of the \
                contract whose route decided, `limit` the time left, and `reason` what was known \
                of the upstream and how old that is.",
        action: "Nothing. `sycamorelink trace` puts these lines of all daemons in order.",
    },
    EventEntry {
        code: EventCode::WorkStarted,
        reserved: false,
        meaning: "A slot was free and the backend server was handed the work. `reason` has the \
                load of the server and the log odds (in nats) that it fails part of its requests.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::WorkRefused,
        reserved: false,
        meaning: "The daemon beside the backend server refused the work, for the reason in \
                `refusal`. The backend server has not received it; the daemon that took the \
                request may send it elsewhere.",
        action: "Nothing for one. Many with `overloaded` mean that capacity is short, many with \
                `upstream-suspect` that backend servers fail.",
    },
    EventEntry {
        code: EventCode::WorkEnded,
        reserved: false,
        meaning: "The backend server finished the work after `duration`; `reason` has the \
                outcome.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::WorkQueued,
        reserved: false,
        meaning: "Every slot of the backend server was in use, and the work waits under overload \
                control. `reason` has its position in the queue, the expected wait and whether it \
                can meet its latency objective; `limit` is the time left.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::WorkBecameLate,
        reserved: false,
        meaning: "The work has waited for `duration` and can no longer meet its latency \
                objective. It continues to wait behind all work that can, for at most `limit`.",
        action: "Nothing for one. Many mean that runs take longer than before, or that work of a \
                higher priority takes the slots.",
    },
    EventEntry {
        code: EventCode::RequestWaiting,
        reserved: false,
        meaning: "The service declines the request, no server has a repeat left for it, or none \
                has a free slot soon. It waits at the daemon that took it. `reason` has the cause, \
                the place in the order and the expected release, `count` the number of waiting \
                requests and `limit` the time left.",
        action: "Nothing for one. For the number of waiting requests see the metric \
                `callers_waiting`.",
    },
    EventEntry {
        code: EventCode::RequestReleased,
        reserved: false,
        meaning: "The request waited for `duration` and is now sent to a backend server. `reason` \
                has the cause of the wait and `limit` the time left.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::RequestExpired,
        reserved: false,
        meaning: "The request waited for `duration` and got its last refusal or failure, because \
                its time left is too short for a run, the queue was full, its caller went away, \
                the daemon drains or the queue was switched off; `reason` says which. `limit` is \
                the time left.",
        action: "Many with `expired` mean that the service was short of capacity or of repeats for \
                longer than its callers wait: look for `SL8021` and at the metric `retries`.",
    },
    EventEntry {
        code: EventCode::RetryAdvised,
        reserved: false,
        meaning: "The request was refused for lack of capacity. `reason` has the expected backlog \
                and the rate of the service over the fleet, and whether a retry can be in time: \
                then `duration` is the delay that the caller was given. Otherwise the caller got \
                `no-capacity` without a delay.",
        action: "Nothing for one. Many without a delay mean that the service stays overloaded for \
                longer than its callers wait.",
    },
];
