//! Requests, retries and refusals.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::RequestServed,
        reserved: false,
        means: "A request got a whole reply. Off by default.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::RequestRefused,
        reserved: false,
        means: "A request got a refusal instead of a reply; `refusal` and `run` say which and \
                whether it ran. Off by default.",
        act: "Use `sycamorelink explain` with the refusal code. For the shares by code see the \
                metric `refusals`.",
    },
    EventEntry {
        code: EventCode::RequestUnknown,
        reserved: false,
        means: "A non-idempotent request was sent to a backend server and its end cannot be told. \
                The caller was told `unknown`; the key is closed and never runs again.",
        act: "Check by hand with the service's owner whether the work was done, using `key` and \
                `request`. Many at once mean that backend servers die with work in flight: look \
                for `SL1014` and `SL9007`.",
    },
    EventEntry {
        code: EventCode::CallerGone,
        reserved: false,
        means: "The caller closed its connection before its reply. The try was cancelled at the \
                upstream where it could be.",
        act: "Nothing. A rise means that callers lose patience: compare the latency with the \
                objective.",
    },
    EventEntry {
        code: EventCode::DeadlineExceeded,
        reserved: false,
        means: "The deadline of a request passed before a reply. For a non-idempotent request that \
                had been sent, the answer is `unknown`.",
        act: "Look at the latency of the service and at `SL8004`. One upstream alone points to \
                `SL3001`.",
    },
    EventEntry {
        code: EventCode::RetryMade,
        reserved: false,
        means: "An idempotent request, or one that certainly did not run, was sent to another \
                upstream. Off by default.",
        act: "Nothing. For the rate see the metric `retries`.",
    },
    EventEntry {
        code: EventCode::RetryBudgetExhausted,
        reserved: false,
        means: "So many requests of this customer and service fail that retries would only add \
                load. Failures now go to the caller at once.",
        act: "Find the failing upstreams first; the budget refills by itself with good replies. \
                Do not raise it during a fault: retries keep an overload alive.",
    },
    EventEntry {
        code: EventCode::HedgeSent,
        reserved: false,
        means: "An idempotent request was slow and a second try was sent elsewhere. Off by \
                default.",
        act: "Nothing. For the rate see the metrics `hedges` and `hedges_won`.",
    },
    EventEntry {
        code: EventCode::ReplyTruncated,
        reserved: false,
        means: "A backend server announced a length and sent less. Nothing of it was passed on as \
                whole.",
        act: "Look at the backend server's log for that time. The upstream loses weight by \
                itself when it goes on.",
    },
    EventEntry {
        code: EventCode::ReplyMismatched,
        reserved: false,
        means: "A reply came on a connection or stream where another request was waiting. It was \
                dropped and the connection closed, so nobody got another caller's reply.",
        act: "Treat it as a fault of the backend server, with urgency: something there mixes \
                up its callers. Take its instance out with `sycamorelink drain` when it repeats.",
    },
    EventEntry {
        code: EventCode::ReplyMalformed,
        reserved: false,
        means: "What came from a backend server is not HTTP, or breaks its rules.",
        act: "Look at the backend server's log. The upstream loses weight by itself when it goes \
                on.",
    },
    EventEntry {
        code: EventCode::ReplyLate,
        reserved: false,
        means: "A reply came after its request had been answered another way, most often after a \
                hedge or a deadline. It was dropped. Off by default.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::ReplyAborted,
        reserved: true,
        means: "A reply broke after its head had gone to the caller. The daemon cut the caller's \
                connection, since that is the only way to say that the reply is not whole.",
        act: "Look at the upstream named. Large bundles that break often point to a limit in \
                between.",
    },
    EventEntry {
        code: EventCode::CancelSent,
        reserved: false,
        means: "A try is no longer needed and its upstream was told so. Off by default.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::NoUpstream,
        reserved: false,
        means: "Every backend server of the service is gone, leaving or out of reach of this \
                daemon. Requests for it get `no-upstream`.",
        act: "Look at `sycamorelink service`. When other daemons reach its upstreams, the cut \
                is here: look for `SL3008` and `SL6008`.",
    },
    EventEntry {
        code: EventCode::AttemptSent,
        reserved: false,
        means: "The daemon that took the request chose this upstream. `version` is that of the \
                contract whose route decided, `limit` the time left, and `reason` what was known \
                of the upstream and how old that is.",
        act: "Nothing. `sycamorelink trace` puts these lines of all daemons in order.",
    },
    EventEntry {
        code: EventCode::WorkStarted,
        reserved: false,
        means: "A slot was free and the backend server was handed the work. `reason` has the load \
                and the odds in nats that the server fails part of its requests.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::WorkRefused,
        reserved: false,
        means: "The daemon beside the backend server refused the work, for the reason in \
                `refusal`. The backend server has not seen it; the daemon that took the request \
                may send it elsewhere.",
        act: "Nothing for one. Many with `overloaded` mean that capacity is short, many with \
                `upstream-suspect` that backend servers fail.",
    },
    EventEntry {
        code: EventCode::WorkEnded,
        reserved: false,
        means: "The run ended as `reason` says, after `duration` in the backend server.",
        act: "Nothing.",
    },
];
