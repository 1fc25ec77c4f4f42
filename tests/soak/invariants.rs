//! Checks of the delivery guarantees against the recorded calls and runs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::callers::RESPONSE_TIMEOUT;
use crate::nodes::SoakNode;
use crate::record::{CallKind, ObservedCall, ObservedReply, ObservedRun, RecordState};

/// Maximum number of upstreams that may run one request under the session's configuration.
const MAX_RUNS: usize = 2;
/// Time after a daemon acknowledges a draining backend server in which requests may still reach it:
/// the guaranteed two seconds plus half a second of tolerance for a busy machine.
const DRAIN_LIMIT: Duration = Duration::from_millis(2500);
/// Time after a caller disconnects in which its request may still reach a backend server: the
/// guaranteed half second plus half a second of tolerance for a busy machine.
const DISCONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Window in which a backend server may get one and a half times what its limit allows, and five
/// requests more.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time from the first naming of a limit until it is checked.
const LIMIT_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Statuses which state that a request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns one finding for each violated guarantee.
pub fn check_invariants(
    state: &RecordState,
    nodes: &[SoakNode],
    planned_only: bool,
) -> Vec<String> {
    let mut findings = state.findings.clone();
    for call in &state.calls {
        let none = Vec::new();
        let runs = state.runs.get(&call.id).unwrap_or(&none);
        check_run_count(call, runs, &mut findings);
        check_bodies(call, runs, &mut findings);
        match &call.response {
            Some(reply) => {
                check_response(call, reply, runs, &mut findings);
                if planned_only
                    && !call.half_closed
                    && !(reply.status == 200 || NOT_RUN_STATUSES.contains(&reply.status))
                {
                    check_planned_maintenance(call, reply, &mut findings);
                }
            }
            None if call.timed_out => {
                check_timed_out_call(call, runs, &nodes[call.daemon.0], &mut findings);
            }
            None => check_truncated_call(
                call,
                runs,
                &nodes[call.daemon.0],
                planned_only,
                &mut findings,
            ),
        }
    }
    check_drained_backends(state, &mut findings);
    check_reported_leavings(state, &mut findings);
    check_limited_backends(state, &mut findings);
    check_route_versions(state, &mut findings);
    findings
}

fn check_run_count(call: &ObservedCall, runs: &[ObservedRun], findings: &mut Vec<String>) {
    if call.kind == CallKind::Booking && runs.len() > 1 {
        findings.push(format!("TWICE: {} ran {} times", call.id, runs.len()));
    }
    if runs.len() > MAX_RUNS {
        findings.push(format!("BUDGET: {} ran {} times", call.id, runs.len()));
    }
}

/// Reports a backend server that ran a request with another body than its caller's.
fn check_bodies(call: &ObservedCall, runs: &[ObservedRun], findings: &mut Vec<String>) {
    for run in runs.iter().filter(|run| run.body != call.body) {
        let (id, sent, ran) = (&call.id, call.body, run.body);
        findings.push(format!("BODY: {id} had {sent:?} and ran with {ran:?}"));
    }
}

fn check_response(
    call: &ObservedCall,
    reply: &ObservedReply,
    runs: &[ObservedRun],
    findings: &mut Vec<String>,
) {
    let id = &call.id;
    let not_run = NOT_RUN_STATUSES.contains(&reply.status) && !reply.signed;
    if call.kind == CallKind::Booking && not_run && !runs.is_empty() {
        findings.push(format!("REFUSED: {id} got {} and ran", reply.status));
    }
    if !reply.id.is_empty() && reply.id != **id {
        findings.push(format!("MIXED: {id} got the answer of {}", reply.id));
    }
    if reply.status < 300 {
        let matches_run = |run: &ObservedRun| {
            run.status == 200
                && reply
                    .body
                    .ends_with(&format!(" {} by {}", call.target, run.incarnation))
        };
        if !reply.signed || !runs.iter().any(matches_run) {
            findings.push(format!("MIXED: {id} got {reply:?} from {runs:?}"));
        }
    } else if reply.signed
        && !NOT_RUN_STATUSES.contains(&reply.status)
        && !runs.iter().any(|run| run.status == reply.status)
    {
        findings.push(format!("MIXED: {id} got {} from {runs:?}", reply.status));
    }
}

/// Reports a call that failed during planned maintenance.
///
/// A route of a newly published version may briefly be unknown, so its 404 is accepted.
fn check_planned_maintenance(
    call: &ObservedCall,
    reply: &ObservedReply,
    findings: &mut Vec<String>,
) {
    let unknown_yet = matches!(call.kind, CallKind::Probe(_)) && reply.status == 404;
    if !unknown_yet {
        let (id, status) = (&call.id, reply.status);
        findings.push(format!(
            "LOST: {id} got {status} during planned maintenance"
        ));
    }
}

/// Reports a connection that closed before the complete response although a backend server ran the
/// request. A killed daemon or a response that the backend server itself cut off explains the loss.
fn check_truncated_call(
    call: &ObservedCall,
    runs: &[ObservedRun],
    node: &SoakNode,
    planned_only: bool,
    findings: &mut Vec<String>,
) {
    let (_, process) = call.daemon;
    let state = node.state();
    let excused = state.killed.contains(&process)
        || (!planned_only && state.shutdown_requested.contains(&process))
        || runs.iter().any(|run| run.status == 0);
    if !excused && !runs.is_empty() {
        let after = call.ended.saturating_duration_since(call.sent);
        findings.push(format!("LOST: {} was cut after {after:?}", call.id));
    }
}

/// Reports a request that started after its caller disconnected, and a caller that waited for the
/// full response timeout although its daemon was not killed.
///
/// A late start is accepted after a pause: a stopped daemon cannot notice the disconnect and reads
/// the request when it resumes.
fn check_timed_out_call(
    call: &ObservedCall,
    runs: &[ObservedRun],
    node: &SoakNode,
    findings: &mut Vec<String>,
) {
    let waited = call.ended.saturating_duration_since(call.sent);
    if waited >= RESPONSE_TIMEOUT && !node.state().killed.contains(&call.daemon.1) {
        findings.push(format!(
            "CONFIG: {} had no answer after {waited:?}",
            call.id
        ));
    }
    for run in runs {
        let late = run.at.saturating_duration_since(call.ended);
        let pauses = &node.state().pauses;
        let during_pause = pauses
            .iter()
            .any(|(begin, end)| *begin < run.at && call.sent < *end);
        if late > DISCONNECT_LIMIT && !during_pause {
            findings.push(format!(
                "GONE: {} ran {late:?} after its caller had gone",
                call.id
            ));
        }
    }
}

fn check_drained_backends(state: &RecordState, findings: &mut Vec<String>) {
    for (id, runs) in &state.runs {
        for run in runs {
            let acked_at = state.drain_acks.get(&run.incarnation);
            let late = acked_at.map(|acked_at| run.at.saturating_duration_since(*acked_at));
            if late.is_some_and(|late| late > DRAIN_LIMIT) {
                findings.push(format!(
                    "DRAIN: {id} reached {} {late:?} late",
                    run.incarnation
                ));
            }
        }
    }
}

/// Reports a request that reached a backend server although its daemon process had long passed on a
/// response in which the server reports that it is leaving.
fn check_reported_leavings(state: &RecordState, findings: &mut Vec<String>) {
    let mut reported: BTreeMap<((usize, u32), &str), std::time::Instant> = BTreeMap::new();
    for call in &state.calls {
        let reply = call.response.as_ref().filter(|reply| reply.leaving);
        let incarnation = reply.and_then(|reply| reply.body.rsplit_once(" by "));
        if let Some((_, incarnation)) = incarnation {
            let first = reported
                .entry((call.daemon, incarnation))
                .or_insert(call.ended);
            *first = call.ended.min(*first);
        }
    }
    for call in &state.calls {
        for run in state.runs.get(&call.id).into_iter().flatten() {
            let first = reported.get(&(call.daemon, &*run.incarnation));
            let late = first.map(|first| call.sent.saturating_duration_since(*first));
            if late.is_some_and(|late| late > DRAIN_LIMIT) {
                let (id, incarnation) = (&call.id, &run.incarnation);
                findings.push(format!(
                    "DRAIN: {id} reached {incarnation}, which had reported its leaving"
                ));
            }
        }
    }
}

/// Reports a backend server that got more requests than the limit that it names allows, from some
/// time after it first named it until it last did.
fn check_limited_backends(state: &RecordState, findings: &mut Vec<String>) {
    let mut limited: BTreeMap<&str, Vec<&ObservedRun>> = BTreeMap::new();
    for run in state.runs.values().flatten() {
        if run.limit.is_some() {
            limited.entry(&run.incarnation).or_default().push(run);
        }
    }
    for (incarnation, mut runs) in limited {
        runs.sort_by_key(|run| run.at);
        let rate = runs.iter().filter_map(|run| run.limit).fold(0.0, f64::max);
        let allowed = rate * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0;
        let checked_from = runs[0].at + LIMIT_SETTLE_TIME;
        for run in runs.iter().filter(|run| run.at >= checked_from) {
            let window = run.at..run.at + LIMIT_WINDOW;
            let count = runs.iter().filter(|other| window.contains(&other.at));
            let count = f64::from(u32::try_from(count.count()).unwrap_or(u32::MAX));
            if count > allowed {
                findings.push(format!(
                    "LIMIT: {incarnation} got {count} requests in {LIMIT_WINDOW:?}"
                ));
                break;
            }
        }
    }
}

/// Reports a daemon process that served a route version and later returned 404 for it.
fn check_route_versions(state: &RecordState, findings: &mut Vec<String>) {
    let mut probes: Vec<(&ObservedCall, u64, &ObservedReply)> = state
        .calls
        .iter()
        .filter_map(|call| match (call.kind, &call.response) {
            (CallKind::Probe(version), Some(reply)) => Some((call, version, reply)),
            _ => None,
        })
        .collect();
    probes.sort_by_key(|(call, ..)| call.ended);
    let mut served: BTreeMap<(usize, u32), (u64, std::time::Instant)> = BTreeMap::new();
    for (call, version, reply) in probes {
        let newest_version = served.get(&call.daemon).copied();
        if reply.status == 200
            && newest_version.is_none_or(|(newest_version, _)| version > newest_version)
        {
            served.insert(call.daemon, (version, call.ended));
        }
        let was_served = newest_version
            .is_some_and(|(newest_version, at)| version <= newest_version && call.sent > at);
        if reply.status == 404 && !reply.signed && was_served {
            let (id, daemon) = (&call.id, call.daemon);
            findings.push(format!(
                "CONFIG: {id} got 404 for v{version} from {daemon:?}"
            ));
        }
    }
}
