//! Texts of the refusal codes, in the order of the codes.

use sycamorelink_core::{RefusalCode, RunState};

use super::{EventCode, RefusalEntry};

const COUNT: usize = RefusalCode::ALL.len();

/// Every entry, indexed by its code. A missing entry or a wrong order does not compile.
pub(super) static REFUSALS: [RefusalEntry; COUNT] = checked_entries();

const fn checked_entries() -> [RefusalEntry; COUNT] {
    let mut index = 0;
    while index < COUNT {
        let in_order = ENTRIES[index].code as usize == index;
        assert!(in_order, "an entry is out of order");
        index += 1;
    }
    ENTRIES
}

const ENTRIES: [RefusalEntry; COUNT] = [
    RefusalEntry {
        code: RefusalCode::BadRequest,
        meaning: "The request is not HTTP, breaks one of its rules, or has an ambiguous length.",
        run_states: &[RunState::NotRun],
        caller: "Correct the request. Sending it again unchanged gives the same answer.",
        operator: "Nothing. If one customer has many, inform it.",
        events: &[EventCode::BadRequest, EventCode::FramingAmbiguous],
    },
    RefusalEntry {
        code: RefusalCode::UnknownCustomer,
        meaning: "The request has no token, or one that no contract names.",
        run_states: &[RunState::NotRun],
        caller: "Send the token of the contract.",
        operator: "Compare the token with the contract. After a change of tokens, both must be \
                valid for a while.",
        events: &[EventCode::CallerDenied],
    },
    RefusalEntry {
        code: RefusalCode::UnknownRoute,
        meaning: "No route of the customer's contract matches the method and path.",
        run_states: &[RunState::NotRun],
        caller: "Check the method and path.",
        operator: "If the route should exist, check the version in force with `sycamorelink \
                contract show`.",
        events: &[EventCode::ContractInForce],
    },
    RefusalEntry {
        code: RefusalCode::KeyRequired,
        meaning: "The route is non-idempotent and the request has no `Idempotency-Key`, so nothing \
                could stop a second run.",
        run_states: &[RunState::NotRun],
        caller: "Generate one key per piece of work before the first request, and send the same \
                key with every repetition.",
        operator: "Nothing.",
        events: &[],
    },
    RefusalEntry {
        code: RefusalCode::KeyForm,
        meaning: "The key has no time in it and the contract takes only keys that have one.",
        run_states: &[RunState::NotRun],
        caller: "Use a version 7 UUID as the key.",
        operator: "Nothing.",
        events: &[],
    },
    RefusalEntry {
        code: RefusalCode::KeyReused,
        meaning: "The key was used before with another body or route. This request did not run; \
                the outcome of the earlier one is unchanged.",
        run_states: &[RunState::NotRun],
        caller: "Generate a new key for new work. To learn the outcome of the first request, \
                send its body again.",
        operator: "The customer's callers generate keys that are not unique.",
        events: &[EventCode::KeyReused],
    },
    RefusalEntry {
        code: RefusalCode::KeyExpired,
        meaning: "The key is older than the time that keys are remembered, so this request was \
                refused and did not run. When it is not known whether an earlier request with the \
                key ran, the answer says `unknown`.",
        run_states: &[RunState::Unknown, RunState::NotRun],
        caller: "Do not use a new key before checking whether the work was done.",
        operator: "Callers repeat requests too late, or their clock is wrong.",
        events: &[EventCode::KeyExpired],
    },
    RefusalEntry {
        code: RefusalCode::KeyBusy,
        meaning: "Another send of the same key is running. This send did not run and will not.",
        run_states: &[RunState::NotRun],
        caller: "Send the same key again after `Retry-After`: the answer is then the reply of the \
                first send.",
        operator: "Nothing.",
        events: &[EventCode::KeyJoined],
    },
    RefusalEntry {
        code: RefusalCode::GuardsUnreachable,
        meaning: "Not every guard of the key could be asked, so the request was not dispatched.",
        run_states: &[RunState::NotRun],
        caller: "Send the same key again after `Retry-After`.",
        operator: "Check the roster and the network between failure domains.",
        events: &[
            EventCode::GuardsUnreachable,
            EventCode::GuardStruck,
            EventCode::RangeClosed,
        ],
    },
    RefusalEntry {
        code: RefusalCode::BodyTooLarge,
        meaning: "The body is larger than the contract allows.",
        run_states: &[RunState::NotRun],
        caller: "Send a smaller body.",
        operator: "Amend the contract when the size is right.",
        events: &[EventCode::BodyTooLarge],
    },
    RefusalEntry {
        code: RefusalCode::HeadersTooLarge,
        meaning: "The headers are larger than the limit.",
        run_states: &[RunState::NotRun],
        caller: "Send fewer or smaller headers.",
        operator: "Nothing.",
        events: &[EventCode::HeadersTooLarge],
    },
    RefusalEntry {
        code: RefusalCode::LimitExceeded,
        meaning: "The customer's rate or concurrency is used up.",
        run_states: &[RunState::NotRun],
        caller: "Wait for `Retry-After`, then send again, and send more slowly.",
        operator: "Amend the contract if the customer should be allowed more.",
        events: &[EventCode::LimitExceeded, EventCode::ShareLapsed],
    },
    RefusalEntry {
        code: RefusalCode::Overloaded,
        meaning: "No backend server has a free slot before the deadline of the request, so it was \
                refused at once instead of late.",
        run_states: &[RunState::NotRun],
        caller: "Wait for `Retry-After`, then send again. A longer deadline helps, more sends do \
                not.",
        operator: "Capacity is short: compare load and slots, and look for ejected upstreams.",
        events: &[EventCode::OverloadShedding, EventCode::FloorHeld],
    },
    RefusalEntry {
        code: RefusalCode::NoUpstream,
        meaning: "The service has no backend server that may be used.",
        run_states: &[RunState::NotRun],
        caller: "Wait for `Retry-After`, then send again.",
        operator: "All are gone, leaving or out of reach of this daemon.",
        events: &[
            EventCode::NoUpstream,
            EventCode::UpstreamGone,
            EventCode::RosterSplit,
        ],
    },
    RefusalEntry {
        code: RefusalCode::UpstreamSuspect,
        meaning: "The backend servers that were tried may be failing part of their requests, and \
                the daemons beside them refused this request.",
        run_states: &[RunState::NotRun],
        caller: "Wait for `Retry-After`, then send again.",
        operator: "Look for what the backend servers of the service have in common.",
        events: &[EventCode::UpstreamSuspected, EventCode::SharedCause],
    },
    RefusalEntry {
        code: RefusalCode::RepeatsSpent,
        meaning: "The request was sent to another backend server before, and the retry limit of \
                the service is reached.",
        run_states: &[RunState::NotRun],
        caller: "Callers do not see this code: they get the outcome of the earlier attempt.",
        operator: "Many requests of the service fail at once: first find the cause of these \
                failures.",
        events: &[EventCode::RetryBudgetExhausted],
    },
    RefusalEntry {
        code: RefusalCode::Draining,
        meaning: "The daemon is leaving and takes no new requests.",
        run_states: &[RunState::NotRun],
        caller: "Send again at once to another daemon.",
        operator: "Nothing.",
        events: &[EventCode::DaemonDraining],
    },
    RefusalEntry {
        code: RefusalCode::NotReady,
        meaning: "The daemon has no contracts yet.",
        run_states: &[RunState::NotRun],
        caller: "Send again at once to another daemon.",
        operator: "When it lasts, the daemon reaches neither the log nor a peer.",
        events: &[EventCode::ContractMissing, EventCode::LogUnavailable],
    },
    RefusalEntry {
        code: RefusalCode::CrashRequest,
        meaning: "This request was running at several backend servers when they died, and is \
                stopped. This time it did not run; the answer says `unknown` when an earlier \
                attempt may have run.",
        run_states: &[RunState::NotRun, RunState::Unknown],
        caller: "Do not send it again.",
        operator: "The request holds a fault that crashes the backend server: give it to the owner \
                of the service.",
        events: &[EventCode::CrashRequestStopped, EventCode::CrashSuspected],
    },
    RefusalEntry {
        code: RefusalCode::UpstreamFailed,
        meaning: "The backend server failed, or its reply was cut short, and another try was not \
                possible or not allowed.",
        run_states: &[RunState::NotRun, RunState::Unknown],
        caller: "Idempotent: send again. Non-idempotent and `unknown`: check whether the work \
                was done before using a new key.",
        operator: "Look at the upstream in the event.",
        events: &[
            EventCode::ReplyTruncated,
            EventCode::RunUnproven,
            EventCode::RetryBudgetExhausted,
        ],
    },
    RefusalEntry {
        code: RefusalCode::ReplyRejected,
        meaning: "The reply was not that of this request or was malformed, so it was not passed \
                on.",
        run_states: &[RunState::Unknown, RunState::NotRun],
        caller: "Idempotent: send again. Non-idempotent and `unknown`: check whether the work was \
                done.",
        operator: "The backend server mixes up replies or violates HTTP; treat it as urgent.",
        events: &[EventCode::ReplyMismatched, EventCode::ReplyMalformed],
    },
    RefusalEntry {
        code: RefusalCode::DeadlineExceeded,
        meaning: "The deadline of the request passed before a reply arrived.",
        run_states: &[RunState::NotRun, RunState::Unknown],
        caller: "Idempotent: send again. Non-idempotent and `unknown`: send the same key again \
                to learn the outcome before using a new key.",
        operator: "Compare the latency of the service with the deadlines of its callers.",
        events: &[
            EventCode::DeadlineExceeded,
            EventCode::UpstreamSilent,
            EventCode::RequestUnknown,
        ],
    },
    RefusalEntry {
        code: RefusalCode::CallerGone,
        meaning: "The caller closed its connection before the reply. Only logs and metrics show \
                it.",
        run_states: &[RunState::NotRun, RunState::Unknown],
        caller: "Non-idempotent: send the same key again to learn the outcome.",
        operator: "A rise means that callers give up waiting.",
        events: &[EventCode::CallerGone],
    },
    RefusalEntry {
        code: RefusalCode::NoCapacity,
        meaning: "No backend server of the service has capacity for the request, and a retry within \
                the caller's time is not expected to find any before the latency objective.",
        run_states: &[RunState::NotRun],
        caller: "Do not send again within the same deadline.",
        operator: "The service is overloaded for longer than its callers wait: look at \
                `sycamorelink service` for what waits and for the limits of its servers.",
        events: &[EventCode::OverloadShedding, EventCode::RetryAdvised],
    },
];
