//! Invariants that are checked throughout every session.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::ContractVersion;
use sycamorelink_core::{NodeId, RefusalCode, RequestId, RunState, ServiceName, name_hash};
use sycamorelink_engine::{AttemptOrder, CallerRequest, NodeCommand, NodeEngine, NodeNote};
use sycamorelink_policy::UpstreamPhase;

/// Time past its deadline within which a request must be answered.
const ANSWER_SLACK: Duration = Duration::from_millis(250);
/// Time within which all nodes know that a backend server is leaving.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Time within which state spreads again after a node or link has recovered.
const HEAL_PROPAGATION_TIME: Duration = Duration::from_secs(6);
/// Maximum time for which a pool may stay below its floor while upstreams are ejected.
const MAX_TIME_BELOW_FLOOR: Duration = Duration::from_millis(500);

/// State of one send of a request.
#[derive(Debug)]
struct SendRecord {
    ingress: NodeId,
    key: Option<Arc<str>>,
    answer_due: Duration,
    answers: u32,
    settled: u32,
    refused: Option<(RefusalCode, RunState)>,
    status: Option<u16>,
    runs: u32,
}

/// Record of a session and of the invariant violations found in it.
#[derive(Debug, Default)]
pub struct SessionAudit {
    sends: BTreeMap<RequestId, SendRecord>,
    open: BTreeSet<RequestId>,
    key_runs: BTreeMap<Arc<str>, Vec<RequestId>>,
    replies: BTreeMap<Arc<str>, Arc<[u8]>>,
    leaving: BTreeMap<NodeId, Duration>,
    /// Nodes whose state may be outdated because of injected faults, and until when.
    pub outdated_until: BTreeMap<NodeId, Duration>,
    /// Nodes that reported themselves drained.
    pub drained: BTreeSet<NodeId>,
    versions: BTreeMap<NodeId, ContractVersion>,
    below_floor_since: BTreeMap<NodeId, Duration>,
    violations: Vec<String>,
    checking: bool,
}

impl SessionAudit {
    /// Starts the checks: from now on crashed backend servers stay down and violations are
    /// collected.
    pub const fn begin(&mut self) {
        self.checking = true;
    }

    /// Returns whether the checks were started.
    pub const fn is_checking(&self) -> bool {
        self.checking
    }

    /// Returns the violations, oldest first.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Adds a violation if the checks were started.
    pub fn add_violation(&mut self, text: String) {
        if self.checking {
            self.violations.push(text);
        }
    }

    /// Records a request sent by a caller.
    pub fn on_request(&mut self, now: Duration, ingress: NodeId, caller: &CallerRequest) {
        let seconds = if caller.key.is_some() { 8 } else { 1 };
        let record = SendRecord {
            ingress,
            key: caller.key.clone(),
            answer_due: now + Duration::from_secs(seconds) + ANSWER_SLACK,
            answers: 0,
            settled: 0,
            refused: None,
            status: None,
            runs: 0,
        };
        self.sends.insert(caller.id, record);
        self.open.insert(caller.id);
    }

    /// Records a run of a send at a backend server.
    pub fn on_run(&mut self, request: RequestId) {
        let Some(send) = self.sends.get_mut(&request) else {
            return;
        };
        send.runs += 1;
        let refused_not_run = send.refused.is_some_and(|(_, run)| run == RunState::NotRun);
        let key = send.key.clone();
        if refused_not_run {
            self.add_violation(format!("{} runs after 'not run'", request.0));
        }
        if let Some(key) = key {
            let runs = self.key_runs.entry(Arc::clone(&key)).or_default();
            runs.push(request);
            if runs.len() > 1 {
                let text = format!("key {key} runs again: {runs:?}");
                self.add_violation(text);
            }
        }
    }

    /// Returns what the body of a send contributes to the signature of its request.
    pub fn body_of(&self, request: RequestId) -> u64 {
        let key = self.sends.get(&request).and_then(|send| send.key.as_ref());
        key.filter(|_| self.checking)
            .map_or(0, |key| name_hash(key))
    }

    /// Returns the reply that the backend server sends.
    pub fn reply_of(&self, request: RequestId) -> Vec<u8> {
        if self.checking {
            format!("reply to {}", request.0).into_bytes()
        } else {
            b"the kept reply".to_vec()
        }
    }

    /// Records a reply of the backend server.
    pub fn on_reply(&mut self, request: RequestId, reply: Option<&Arc<[u8]>>) {
        let key = self.sends.get(&request).and_then(|send| send.key.clone());
        if let (Some(key), Some(reply)) = (key, reply) {
            self.replies.insert(key, Arc::clone(reply));
        }
    }

    /// Records an announcement of a backend server.
    pub fn on_announcement(&mut self, now: Duration, id: NodeId, phase: UpstreamPhase) {
        if phase == UpstreamPhase::Leaving {
            self.leaving.entry(id).or_insert(now);
        } else {
            self.leaving.remove(&id);
        }
    }

    /// Removes a node that ended, along with the expectations of its callers.
    pub fn on_node_end(&mut self, id: NodeId) {
        let sends = &self.sends;
        self.open.retain(|request| sends[request].ingress != id);
        self.versions.remove(&id);
        self.below_floor_since.remove(&id);
        self.drained.remove(&id);
        self.leaving.remove(&id);
    }

    /// Extends the deadlines of sends through a node that was frozen until now.
    pub fn extend_deadlines(&mut self, now: Duration, id: NodeId) {
        for send in self.sends.values_mut().filter(|send| send.ingress == id) {
            send.answer_due = send.answer_due.max(now + ANSWER_SLACK);
        }
        self.below_floor_since.remove(&id);
    }

    /// Checks a command of a node.
    pub fn on_command(&mut self, now: Duration, id: NodeId, command: &NodeCommand) {
        match command {
            NodeCommand::Refuse { request, refusal } => {
                self.on_answer(*request);
                let Some(send) = self.sends.get_mut(request) else {
                    return;
                };
                send.refused = Some((refusal.code, refusal.run));
                if refusal.run == RunState::NotRun && send.runs > 0 {
                    self.add_violation(format!("{} ran and is told 'not run'", request.0));
                }
            }
            NodeCommand::Deliver { attempt } => self.on_answer(attempt.request),
            NodeCommand::AnswerGone { request } => self.on_answer(*request),
            NodeCommand::AnswerKept { request, reply } => {
                self.on_answer(*request);
                let key = self.sends.get(request).and_then(|send| send.key.clone());
                if key.and_then(|key| self.replies.get(&key)) != Some(reply) {
                    self.add_violation(format!("{} gets another reply", request.0));
                }
            }
            NodeCommand::Dispatch(order) => self.on_dispatch(now, id, order),
            NodeCommand::Drained => {
                self.drained.insert(id);
            }
            NodeCommand::Note(NodeNote::RequestSettled(summary)) => {
                if let Some(send) = self.sends.get_mut(&summary.request) {
                    send.settled += 1;
                    send.status = summary.status;
                    let again = send.settled > 1;
                    let late = now > send.answer_due;
                    self.open.remove(&summary.request);
                    if again || late {
                        let number = summary.request.0;
                        self.add_violation(format!("{number} settled again={again} late={late}"));
                    }
                }
            }
            _ => {}
        }
    }

    fn on_answer(&mut self, request: RequestId) {
        let Some(send) = self.sends.get_mut(&request) else {
            return;
        };
        send.answers += 1;
        if send.answers > 1 || send.settled > 0 {
            self.add_violation(format!("{} answered again", request.0));
        }
    }

    fn on_dispatch(&mut self, now: Duration, id: NodeId, order: &AttemptOrder) {
        let executor = order.executor.node;
        let late = self.leaving.get(&executor);
        let late = late.is_some_and(|since| now > *since + LEAVE_PROPAGATION_TIME);
        if late && !self.is_outdated(now, id) && !self.is_outdated(now, executor) {
            let number = order.attempt.request.0;
            self.add_violation(format!("{number} goes to a backend server that left"));
        }
    }

    fn is_outdated(&self, now: Duration, id: NodeId) -> bool {
        self.outdated_until
            .get(&id)
            .is_some_and(|until| now < *until)
    }

    /// Marks the state of a node as possibly outdated: without end while its fault lasts, and for
    /// [`HEAL_PROPAGATION_TIME`] more once it is `healed`.
    pub fn mark_outdated(&mut self, now: Duration, id: NodeId, healed: bool) {
        let until = if healed {
            now + HEAL_PROPAGATION_TIME
        } else {
            Duration::MAX
        };
        self.outdated_until.insert(id, until);
    }

    /// Checks all nodes after a step of the session.
    pub fn check<F>(&mut self, now: Duration, engines: &BTreeMap<NodeId, NodeEngine>, frozen: F)
    where
        F: Fn(NodeId) -> bool,
    {
        let sends = &self.sends;
        let late = self.open.iter().find(|request| {
            let send = &sends[request];
            now > send.answer_due && !frozen(send.ingress)
        });
        if let Some(late) = late.copied() {
            self.add_violation(format!("{} has no answer at its deadline", late.0));
        }
        for (id, engine) in engines {
            self.check_versions(*id, engine);
            if !frozen(*id) {
                self.check_floor(now, *id, engine);
            }
        }
    }

    fn check_versions(&mut self, id: NodeId, engine: &NodeEngine) {
        let version = engine.table().customers().next();
        let version = version.map_or(ContractVersion(0), |(_, rule)| rule.version);
        let before = self.versions.insert(id, version).unwrap_or_default();
        if version < before {
            let name = &engine.status().name;
            self.add_violation(format!("{name}: version {} after {}", version.0, before.0));
        }
    }

    fn check_floor(&mut self, now: Duration, id: NodeId, engine: &NodeEngine) {
        let floor = engine.floor_of(&ServiceName::new("orders"));
        if floor.is_none_or(|floor| floor.kept() || floor.ejected_count == 0) {
            self.below_floor_since.remove(&id);
            return;
        }
        let since = *self.below_floor_since.entry(id).or_insert(now);
        if now > since + MAX_TIME_BELOW_FLOOR {
            let name = &engine.status().name;
            self.add_violation(format!("{name}: ejected below the floor: {floor:?}"));
        }
    }

    /// Returns the HTTP status of the reply to a send.
    pub fn status_of(&self, request: RequestId) -> Option<u16> {
        self.sends.get(&request).and_then(|send| send.status)
    }

    /// Returns whether a send was answered.
    pub fn is_settled(&self, request: RequestId) -> bool {
        !self.open.contains(&request)
    }

    /// Returns the record of a send as text, for failure messages.
    pub fn end_of(&self, request: RequestId) -> String {
        format!("{:?}", self.sends.get(&request))
    }
}
