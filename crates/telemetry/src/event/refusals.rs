//! The texts on refusal codes, in the order of the codes.

use sycamorelink_core::{RefusalCode, RunState};

use super::{EventCode, RefusalEntry};

const COUNT: usize = RefusalCode::ALL.len();

/// Every entry, at the place of its code. One that is missing or out of order does not compile.
pub(super) static REFUSALS: [RefusalEntry; COUNT] = checked();

const fn checked() -> [RefusalEntry; COUNT] {
    let mut place = 0;
    while place < COUNT {
        let fits = ENTRIES[place].code as usize == place;
        assert!(fits, "an entry is out of order");
        place += 1;
    }
    ENTRIES
}

const ENTRIES: [RefusalEntry; COUNT] = [
    RefusalEntry {
        code: RefusalCode::BadRequest,
        means: "The request is not HTTP, breaks one of its rules, or has an ambiguous length.",
        runs: &[RunState::NotRun],
        caller: "Correct the request. Sending it again unchanged gives the same answer.",
        operator: "Nothing. One customer with many needs a word.",
        events: &[EventCode::BadRequest, EventCode::FramingAmbiguous],
    },
    RefusalEntry {
        code: RefusalCode::UnknownCustomer,
        means: "The request has no token, or one that no contract names.",
        runs: &[RunState::NotRun],
        caller: "Send the token of the contract.",
        operator: "Compare the token with the contract. After a change of tokens, both must be \
                valid for a while.",
        events: &[EventCode::CallerDenied],
    },
    RefusalEntry {
        code: RefusalCode::UnknownRoute,
        means: "No route of the customer's contract fits the method and path.",
        runs: &[RunState::NotRun],
        caller: "Check the method and path.",
        operator: "When the route should exist, look at the version in force with `sycamorelink \
                contract show`.",
        events: &[EventCode::ContractInForce],
    },
    RefusalEntry {
        code: RefusalCode::KeyRequired,
        means: "The route is non-idempotent and the request has no `Idempotency-Key`, so nothing \
                could stop a second run.",
        runs: &[RunState::NotRun],
        caller: "Make one key for each piece of work, before the first send, and send the same \
                key on every resend.",
        operator: "Nothing.",
        events: &[],
    },
    RefusalEntry {
        code: RefusalCode::KeyForm,
        means: "The key has no time in it and the contract takes only keys that have one.",
        runs: &[RunState::NotRun],
        caller: "Use a version 7 UUID as the key.",
        operator: "Nothing.",
        events: &[],
    },
    RefusalEntry {
        code: RefusalCode::KeyReused,
        means: "The key came before with another body or route. This request did not run; the \
                earlier one keeps its own end.",
        runs: &[RunState::NotRun],
        caller: "Make a new key for new work. Send the first body again to learn the end of the \
                first request.",
        operator: "The customer's callers make keys that are not unique.",
        events: &[EventCode::KeyReused],
    },
    RefusalEntry {
        code: RefusalCode::KeyExpired,
        means: "The key is older than what is remembered, so it is refused and does not run \
                under this send. Whether an earlier send ran cannot be told, and then the answer \
                says `unknown`.",
        runs: &[RunState::Unknown, RunState::NotRun],
        caller: "Do not make a new key before checking whether the work was done.",
        operator: "Callers resend too late, or their clock is wrong.",
        events: &[EventCode::KeyExpired],
    },
    RefusalEntry {
        code: RefusalCode::KeyBusy,
        means: "Another send of the same key is running. This send did not run and will not.",
        runs: &[RunState::NotRun],
        caller: "Send the same key again after `Retry-After`: the answer is then the reply of the \
                first send.",
        operator: "Nothing.",
        events: &[EventCode::KeyJoined],
    },
    RefusalEntry {
        code: RefusalCode::GuardsUnreachable,
        means: "Not every guard of the key could be asked, so the request was not dispatched.",
        runs: &[RunState::NotRun],
        caller: "Send the same key again after `Retry-After`.",
        operator: "Look at the roster and the network between failure domains.",
        events: &[
            EventCode::GuardsUnreachable,
            EventCode::GuardStruck,
            EventCode::RangeClosed,
        ],
    },
    RefusalEntry {
        code: RefusalCode::BodyTooLarge,
        means: "The body is larger than the contract allows.",
        runs: &[RunState::NotRun],
        caller: "Send a smaller body.",
        operator: "Amend the contract when the size is right.",
        events: &[EventCode::BodyTooLarge],
    },
    RefusalEntry {
        code: RefusalCode::HeadersTooLarge,
        means: "The headers are larger than the limit.",
        runs: &[RunState::NotRun],
        caller: "Send fewer or smaller headers.",
        operator: "Nothing.",
        events: &[EventCode::HeadersTooLarge],
    },
    RefusalEntry {
        code: RefusalCode::LimitExceeded,
        means: "The customer's rate or concurrency is used up.",
        runs: &[RunState::NotRun],
        caller: "Wait for `Retry-After`, then send again, and send more slowly.",
        operator: "Amend the contract when the customer should have more.",
        events: &[EventCode::LimitExceeded, EventCode::ShareLapsed],
    },
    RefusalEntry {
        code: RefusalCode::Overloaded,
        means: "No backend server has a free slot before the deadline of the request, so it was \
                refused at once instead of late.",
        runs: &[RunState::NotRun],
        caller: "Wait for `Retry-After`, then send again. A longer deadline helps, more sends do \
                not.",
        operator: "Capacity is short: compare load and slots, and look for ejected upstreams.",
        events: &[EventCode::OverloadShedding, EventCode::FloorHeld],
    },
    RefusalEntry {
        code: RefusalCode::NoUpstream,
        means: "The service has no backend server that may be used.",
        runs: &[RunState::NotRun],
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
        means: "The backend servers that were asked may be failing part of their requests, and \
                the nodes beside them held this one off.",
        runs: &[RunState::NotRun],
        caller: "Wait for `Retry-After`, then send again.",
        operator: "Look for what the backend servers of the service have in common.",
        events: &[EventCode::UpstreamSuspected, EventCode::SharedCause],
    },
    RefusalEntry {
        code: RefusalCode::RepeatsSpent,
        means: "The request was sent to another backend server before, and the bound on repeats of \
                the service is reached.",
        runs: &[RunState::NotRun],
        caller: "Not seen by callers: they get the end of the earlier attempt.",
        operator: "Many of the service's requests fail at once: look for what fails them first.",
        events: &[EventCode::RetryBudgetExhausted],
    },
    RefusalEntry {
        code: RefusalCode::Draining,
        means: "The daemon is leaving and takes no new requests.",
        runs: &[RunState::NotRun],
        caller: "Send again at once to another daemon.",
        operator: "Nothing.",
        events: &[EventCode::DaemonDraining],
    },
    RefusalEntry {
        code: RefusalCode::NotReady,
        means: "The daemon has no contracts yet.",
        runs: &[RunState::NotRun],
        caller: "Send again at once to another daemon.",
        operator: "When it lasts, the daemon reaches neither the log nor a peer.",
        events: &[EventCode::ContractMissing, EventCode::LogUnavailable],
    },
    RefusalEntry {
        code: RefusalCode::CrashRequest,
        means: "This request was running at several backend servers when they died, and is \
                stopped. This send did not run; the answer says `unknown` when an earlier try \
                may have.",
        runs: &[RunState::NotRun, RunState::Unknown],
        caller: "Do not send it again.",
        operator: "The request holds a fault that crashes the backend server: give it to the owner \
                of the service.",
        events: &[EventCode::CrashRequestStopped, EventCode::CrashSuspected],
    },
    RefusalEntry {
        code: RefusalCode::UpstreamFailed,
        means: "The backend server failed, or its reply was cut short, and another try was not \
                possible or not allowed.",
        runs: &[RunState::NotRun, RunState::Unknown],
        caller: "Idempotent: send again. Non-idempotent and `unknown`: check whether the work was \
                done, never use a new key before.",
        operator: "Look at the upstream in the event.",
        events: &[
            EventCode::ReplyTruncated,
            EventCode::RunUnproven,
            EventCode::RetryBudgetExhausted,
        ],
    },
    RefusalEntry {
        code: RefusalCode::ReplyRejected,
        means: "The reply was not that of this request or was malformed, so it was not passed \
                on.",
        runs: &[RunState::Unknown, RunState::NotRun],
        caller: "Idempotent: send again. Non-idempotent and `unknown`: check whether the work was \
                done.",
        operator: "The backend server mixes up replies or breaks HTTP: urgent.",
        events: &[EventCode::ReplyMismatched, EventCode::ReplyMalformed],
    },
    RefusalEntry {
        code: RefusalCode::DeadlineExceeded,
        means: "The deadline passed before a reply.",
        runs: &[RunState::NotRun, RunState::Unknown],
        caller: "Idempotent: send again. Non-idempotent and `unknown`: send the same key again to \
                learn the end; never use a new one before.",
        operator: "Compare the latency of the service with the deadlines of its callers.",
        events: &[
            EventCode::DeadlineExceeded,
            EventCode::UpstreamSilent,
            EventCode::RequestUnknown,
        ],
    },
    RefusalEntry {
        code: RefusalCode::CallerGone,
        means: "The caller closed its connection before the reply. Only logs and metrics show \
                it.",
        runs: &[RunState::NotRun, RunState::Unknown],
        caller: "Non-idempotent: send the same key again to learn the end.",
        operator: "A rise means that callers lose patience.",
        events: &[EventCode::CallerGone],
    },
];
