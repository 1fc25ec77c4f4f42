//! Whether what was seen keeps the promises.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::callers::ANSWER_LIMIT;
use crate::nodes::SoakNode;
use crate::record::{CallKind, LedgerState, SeenCall, SeenReply, SeenRun};

/// Upstreams that may run one request, as the configuration of the session says.
const MOST_RUNS: usize = 2;
/// Time after the acknowledgement of a leaving backend server in which requests may still reach it:
/// the two seconds that are promised, and half of one for a busy machine.
const LEAVE_LIMIT: Duration = Duration::from_millis(2500);
/// Time after a caller has gone in which its request may still reach a backend server: half of a second
/// is promised, and another for a busy machine.
const GONE_LIMIT: Duration = Duration::from_secs(1);
/// Statuses that say that a request has not run and will not.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Tells every broken promise.
pub fn judge(state: &LedgerState, nodes: &[SoakNode], planned_only: bool) -> Vec<String> {
    let mut findings = state.findings.clone();
    for call in &state.calls {
        let none = Vec::new();
        let runs = state.runs.get(&call.id).unwrap_or(&none);
        judge_runs(call, runs, &mut findings);
        match &call.answer {
            Some(reply) => {
                judge_reply(call, reply, runs, &mut findings);
                if planned_only && !(reply.status == 200 || NOT_RUN.contains(&reply.status)) {
                    judge_planned(call, reply, &mut findings);
                }
            }
            None if call.gave_up => judge_gone(call, runs, &nodes[call.taker.0], &mut findings),
            None => judge_cut(
                call,
                runs,
                &nodes[call.taker.0],
                planned_only,
                &mut findings,
            ),
        }
    }
    judge_leaving(state, &mut findings);
    judge_versions(state, &mut findings);
    findings
}

fn judge_runs(call: &SeenCall, runs: &[SeenRun], findings: &mut Vec<String>) {
    if call.kind == CallKind::Booking && runs.len() > 1 {
        findings.push(format!("TWICE: {} ran {} times", call.id, runs.len()));
    }
    if runs.len() > MOST_RUNS {
        findings.push(format!("BUDGET: {} ran {} times", call.id, runs.len()));
    }
}

fn judge_reply(call: &SeenCall, reply: &SeenReply, runs: &[SeenRun], findings: &mut Vec<String>) {
    let id = &call.id;
    let not_run = NOT_RUN.contains(&reply.status) && !reply.signed;
    if call.kind == CallKind::Booking && not_run && !runs.is_empty() {
        findings.push(format!("REFUSED: {id} got {} and ran", reply.status));
    }
    if !reply.id.is_empty() && reply.id != **id {
        findings.push(format!("MIXED: {id} got the answer of {}", reply.id));
    }
    if reply.status < 300 {
        let whole = |run: &SeenRun| {
            run.status == 200
                && reply
                    .body
                    .ends_with(&format!(" {} by {}", call.target, run.life))
        };
        if !reply.signed || !runs.iter().any(whole) {
            findings.push(format!("MIXED: {id} got {reply:?} from {runs:?}"));
        }
    } else if reply.signed
        && !NOT_RUN.contains(&reply.status)
        && !runs.iter().any(|run| run.status == reply.status)
    {
        findings.push(format!("MIXED: {id} got {} from {runs:?}", reply.status));
    }
}

/// Planned work fails nothing. A route of a newer version may be unknown for a moment.
fn judge_planned(call: &SeenCall, reply: &SeenReply, findings: &mut Vec<String>) {
    let unknown_yet = matches!(call.kind, CallKind::Probe(_)) && reply.status == 404;
    if !unknown_yet {
        let (id, status) = (&call.id, reply.status);
        findings.push(format!("LOST: {id} got {status} beside planned work"));
    }
}

/// A connection ended without a whole answer, though a backend server was at work. That is nobody's
/// fault when the daemon was killed, or the backend server broke off.
fn judge_cut(
    call: &SeenCall,
    runs: &[SeenRun],
    node: &SoakNode,
    planned_only: bool,
    findings: &mut Vec<String>,
) {
    let (_, process) = call.taker;
    let state = node.state();
    let excused = state.killed.contains(&process)
        || (!planned_only && state.asked.contains(&process))
        || runs.iter().any(|run| run.status == 0);
    if !excused && !runs.is_empty() {
        let after = call.ended.saturating_duration_since(call.sent);
        findings.push(format!("LOST: {} was cut after {after:?}", call.id));
    }
}

/// Nobody waits for the request any more, so it is not begun. Nobody has to wait for as long as the most
/// patient callers do, unless the daemon is gone. A daemon that stood still has not heard of the caller's
/// end, and reads the request when it goes on: that is excused.
fn judge_gone(call: &SeenCall, runs: &[SeenRun], node: &SoakNode, findings: &mut Vec<String>) {
    let waited = call.ended.saturating_duration_since(call.sent);
    if waited >= ANSWER_LIMIT && !node.state().killed.contains(&call.taker.1) {
        findings.push(format!(
            "CONFIG: {} had no answer after {waited:?}",
            call.id
        ));
    }
    for run in runs {
        let late = run.at.saturating_duration_since(call.ended);
        let pauses = &node.state().pauses;
        let still = pauses
            .iter()
            .any(|(begin, end)| *begin < run.at && call.sent < *end);
        if late > GONE_LIMIT && !still {
            findings.push(format!(
                "GONE: {} ran {late:?} after its caller had gone",
                call.id
            ));
        }
    }
}

fn judge_leaving(state: &LedgerState, findings: &mut Vec<String>) {
    for (id, runs) in &state.runs {
        for run in runs {
            let left = state.leaving.get(&run.life);
            let late = left.map(|left| run.at.saturating_duration_since(*left));
            if late.is_some_and(|late| late > LEAVE_LIMIT) {
                findings.push(format!("DRAIN: {id} reached {} {late:?} late", run.life));
            }
        }
    }
}

/// Within one process, a route that was served is not unknown later.
fn judge_versions(state: &LedgerState, findings: &mut Vec<String>) {
    let mut probes: Vec<(&SeenCall, u64, &SeenReply)> = state
        .calls
        .iter()
        .filter_map(|call| match (call.kind, &call.answer) {
            (CallKind::Probe(version), Some(reply)) => Some((call, version, reply)),
            _ => None,
        })
        .collect();
    probes.sort_by_key(|(call, ..)| call.ended);
    let mut served: BTreeMap<(usize, u32), (u64, std::time::Instant)> = BTreeMap::new();
    for (call, version, reply) in probes {
        let newest = served.get(&call.taker).copied();
        if reply.status == 200 && newest.is_none_or(|(newest, _)| version > newest) {
            served.insert(call.taker, (version, call.ended));
        }
        let known = newest.is_some_and(|(newest, at)| version <= newest && call.sent > at);
        if reply.status == 404 && !reply.signed && known {
            let (id, taker) = (&call.id, call.taker);
            findings.push(format!(
                "CONFIG: {id} got 404 for v{version} from {taker:?}"
            ));
        }
    }
}
