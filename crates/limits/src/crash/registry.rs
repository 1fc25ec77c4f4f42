//! Crash registry of one node.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamorelink_core::{InstanceId, ServiceName, stable_hash};

use super::entry::CrashEntry;
use super::report::ReportTable;
use super::turn::{AskTable, TurnTable};
use super::{
    CrashCheck, CrashCommand, CrashEvent, CrashEvidence, CrashMessage, CrashSettings,
    CrashSignature, CrashVictim,
};

/// Executors of one service.
#[derive(Debug, Default)]
struct ExecutorSet {
    members: BTreeSet<InstanceId>,
    former_members: BTreeSet<InstanceId>,
    changed_at: Duration,
}

/// Evidence that one node has about requests that crash backend servers.
#[derive(Debug)]
pub struct CrashRegistry {
    own: InstanceId,
    settings: CrashSettings,
    entries: BTreeMap<CrashSignature, CrashEntry>,
    executors: BTreeMap<ServiceName, ExecutorSet>,
    reports: ReportTable,
    turns: TurnTable,
    asks: AskTable,
}

impl CrashRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(own: InstanceId, settings: CrashSettings) -> Self {
        Self {
            own,
            settings,
            entries: BTreeMap::new(),
            executors: BTreeMap::new(),
            reports: ReportTable::default(),
            turns: TurnTable::default(),
            asks: AskTable::default(),
        }
    }

    /// Returns the number of signatures with evidence.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the verdict on a signature. Executors call this directly before each run.
    #[must_use]
    pub fn check(&self, now: Duration, signature: CrashSignature) -> CrashCheck {
        let Some(entry) = self.entries.get(&signature) else {
            return CrashCheck::Clear;
        };
        entry.check(self.time_left(now, entry))
    }

    fn time_left(&self, now: Duration, entry: &CrashEntry) -> Duration {
        (entry.changed_at + self.settings.remember).saturating_sub(now)
    }

    /// Requests the turn for a signature on probation. `ask` must be unique on this node.
    ///
    /// The result follows as [`CrashCommand::Turn`]: at once if this node has no evidence or is
    /// the owner, otherwise with the owner's answer. If the owner does not answer within
    /// `turn_wait`, [`Self::tick`] denies the turn.
    pub fn request_turn(
        &mut self,
        now: Duration,
        signature: CrashSignature,
        ask: u64,
        out: &mut Vec<CrashCommand>,
    ) {
        let Some(entry) = self.entries.get(&signature) else {
            out.push(turn_command(ask, signature, true, Duration::ZERO));
            return;
        };
        let evidence = entry.evidence(signature);
        match self.owner(entry.service(), signature) {
            Some(owner) if owner != self.own => {
                self.asks.insert(now, ask, signature);
                let message = CrashMessage::TurnAsk { ask, evidence };
                out.push(CrashCommand::Send { to: owner, message });
            }
            _ => {
                let granted = self.grant_turn(now, signature, self.own);
                self.push_turn_result(now, ask, signature, granted, out);
            }
        }
    }

    /// Records that a run completed without a crash. Call this after every run.
    ///
    /// Costs one lookup if there is no evidence about the signature.
    pub fn completed(
        &mut self,
        now: Duration,
        signature: CrashSignature,
        out: &mut Vec<CrashCommand>,
    ) {
        let Some(entry) = self.entries.get_mut(&signature) else {
            return;
        };
        if !entry.mark_cleared() {
            return;
        }
        let evidence = vec![entry.evidence(signature)];
        let service = entry.service().clone();
        self.turns.release(signature, self.own);
        self.report(now, &service, evidence, None, out);
    }

    /// Returns a turn that was not used, or whose run ended without an answer because, for example,
    /// the caller disconnected.
    ///
    /// If a turn is not returned, the next one is granted only after this one expires.
    pub fn return_turn(&mut self, signature: CrashSignature, out: &mut Vec<CrashCommand>) {
        let Some(entry) = self.entries.get(&signature) else {
            return;
        };
        match self.owner(entry.service(), signature) {
            Some(owner) if owner != self.own => {
                let message = CrashMessage::TurnBack { signature };
                out.push(CrashCommand::Send { to: owner, message });
            }
            _ => self.turns.release(signature, self.own),
        }
    }

    /// Processes an event.
    pub fn handle(&mut self, now: Duration, event: CrashEvent, out: &mut Vec<CrashCommand>) {
        match event {
            CrashEvent::Executors { service, members } => {
                self.set_executors(now, &service, members, out);
            }
            CrashEvent::Crashed {
                service,
                victim,
                running,
            } => self.on_crash(now, &service, victim, &running, out),
            CrashEvent::Received { from, message } => self.on_message(now, from, message, out),
        }
    }

    /// Removes expired entries, resends reports and denies turns whose owner did not answer in
    /// time.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<CrashCommand>) {
        let remember = self.settings.remember;
        self.entries
            .retain(|_, entry| now < entry.changed_at + remember);
        self.turns.expire(now);
        for (ask, signature) in self.asks.expire(now, self.settings.turn_wait) {
            let retry_after = self.settings.turn_wait;
            out.push(turn_command(ask, signature, false, retry_after));
        }
        self.reports.release_and_resend(now, &self.settings, out);
    }

    fn set_executors(
        &mut self,
        now: Duration,
        service: &ServiceName,
        members: Vec<InstanceId>,
        out: &mut Vec<CrashCommand>,
    ) {
        let members: BTreeSet<InstanceId> = members.into_iter().collect();
        let executor_set = self.executors.entry(service.clone()).or_default();
        if executor_set.members == members {
            return;
        }
        let previous_members = std::mem::replace(&mut executor_set.members, members);
        let joined: Vec<InstanceId> = executor_set
            .members
            .difference(&previous_members)
            .copied()
            .collect();
        executor_set.former_members = previous_members;
        executor_set.changed_at = now;
        self.reports.retain_executors(&executor_set.members);
        self.send_to_joined(service, &joined, out);
    }

    /// Sends the evidence about requests of a service to executors that have joined.
    fn send_to_joined(
        &self,
        service: &ServiceName,
        joined: &[InstanceId],
        out: &mut Vec<CrashCommand>,
    ) {
        let evidence: Vec<CrashEvidence> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.service() == service)
            .map(|(signature, entry)| entry.evidence(*signature))
            .collect();
        if evidence.is_empty() {
            return;
        }
        for to in joined.iter().filter(|member| **member != self.own) {
            let message = CrashMessage::Report {
                number: 0,
                evidence: evidence.clone(),
            };
            out.push(CrashCommand::Send { to: *to, message });
        }
    }

    fn on_crash(
        &mut self,
        now: Duration,
        service: &ServiceName,
        victim: CrashVictim,
        running: &[CrashSignature],
        out: &mut Vec<CrashCommand>,
    ) {
        let evidence: Vec<CrashEvidence> = running
            .iter()
            .map(|signature| CrashEvidence {
                service: service.clone(),
                signature: *signature,
                victims: vec![victim],
                cleared: Vec::new(),
            })
            .collect();
        for item in &evidence {
            self.merge(now, item);
            self.turns.release(item.signature, self.own);
        }
        self.report(now, service, evidence, Some(victim), out);
    }

    /// Sends evidence to all executors of a service.
    fn report(
        &mut self,
        now: Duration,
        service: &ServiceName,
        evidence: Vec<CrashEvidence>,
        held: Option<CrashVictim>,
        out: &mut Vec<CrashCommand>,
    ) {
        let executor_set = self.executors.get(service);
        let unacknowledged: BTreeSet<InstanceId> = executor_set
            .into_iter()
            .flat_map(|executor_set| executor_set.members.iter().copied())
            .filter(|member| *member != self.own)
            .collect();
        self.reports.send(now, evidence, unacknowledged, held, out);
        self.reports.release_and_resend(now, &self.settings, out);
    }

    fn on_message(
        &mut self,
        now: Duration,
        from: InstanceId,
        message: CrashMessage,
        out: &mut Vec<CrashCommand>,
    ) {
        match message {
            CrashMessage::Report { number, evidence } => {
                for item in &evidence {
                    if self.merge(now, item) {
                        self.turns.release(item.signature, from);
                    }
                }
                if number > 0 {
                    let message = CrashMessage::Acknowledged { number };
                    out.push(CrashCommand::Send { to: from, message });
                }
            }
            CrashMessage::Acknowledged { number } => {
                self.reports.on_acknowledged(number, from);
                self.reports.release_and_resend(now, &self.settings, out);
            }
            CrashMessage::TurnAsk { ask, evidence } => {
                self.on_turn_ask(now, from, ask, &evidence, out);
            }
            CrashMessage::TurnBack { signature } => self.turns.release(signature, from),
            CrashMessage::TurnReply {
                ask,
                granted,
                evidence,
            } => {
                self.merge(now, &evidence);
                if let Some(signature) = self.asks.close(ask) {
                    self.push_turn_result(now, ask, signature, granted, out);
                }
            }
        }
    }

    fn on_turn_ask(
        &mut self,
        now: Duration,
        from: InstanceId,
        ask: u64,
        evidence: &CrashEvidence,
        out: &mut Vec<CrashCommand>,
    ) {
        self.merge(now, evidence);
        let signature = evidence.signature;
        let granted = self.grant_turn(now, signature, from);
        let Some(entry) = self.entries.get(&signature) else {
            return;
        };
        let evidence = entry.evidence(signature);
        let message = CrashMessage::TurnReply {
            ask,
            granted,
            evidence,
        };
        out.push(CrashCommand::Send { to: from, message });
    }

    /// Grants a turn if this node is the owner.
    ///
    /// A new owner does not know of a turn that its predecessor granted before it was lost. Two
    /// runs at once could then crash a second and a third backend server. A new owner therefore
    /// waits for the length of a turn, which is the longest that a request may run.
    fn grant_turn(&mut self, now: Duration, signature: CrashSignature, holder: InstanceId) -> bool {
        let Some(entry) = self.entries.get(&signature) else {
            return false;
        };
        if entry.is_blocked() {
            return false;
        }
        if entry.crash_count() == 0 {
            return true;
        }
        let Some(executor_set) = self.executors.get(entry.service()) else {
            return false;
        };
        let turn_duration = self.settings.turn;
        let is_new_owner = highest_ranked(&executor_set.former_members, signature)
            .is_some_and(|owner| owner != self.own);
        if is_new_owner && now < executor_set.changed_at + turn_duration {
            return false;
        }
        if highest_ranked(&executor_set.members, signature) != Some(self.own) {
            return false;
        }
        self.turns.grant(now, signature, holder, turn_duration)
    }

    fn push_turn_result(
        &mut self,
        now: Duration,
        ask: u64,
        signature: CrashSignature,
        granted: bool,
        out: &mut Vec<CrashCommand>,
    ) {
        let check = self.check(now, signature);
        let (granted, retry_after) = match check {
            CrashCheck::Stopped { retry_after } => (false, retry_after),
            _ if granted => (true, Duration::ZERO),
            _ => (false, self.settings.turn_wait),
        };
        out.push(turn_command(ask, signature, granted, retry_after));
    }

    fn owner(&self, service: &ServiceName, signature: CrashSignature) -> Option<InstanceId> {
        highest_ranked(&self.executors.get(service)?.members, signature)
    }

    /// Adds evidence. Returns true if any of it was new.
    fn merge(&mut self, now: Duration, evidence: &CrashEvidence) -> bool {
        let entry = self
            .entries
            .entry(evidence.signature)
            .or_insert_with(|| CrashEntry::new(now, evidence.service.clone()));
        let victims = evidence.victims.iter().copied();
        let is_new = entry.merge(now, victims, evidence.cleared.iter().copied());
        if self.entries.len() > self.settings.capacity as usize {
            self.evict();
        }
        is_new
    }

    /// Removes one signature: one with the fewest crashes that count, and the oldest of those.
    fn evict(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(signature, entry)| (entry.crash_count(), entry.changed_at, **signature))
            .map(|(signature, _)| *signature);
        if let Some(signature) = oldest {
            self.entries.remove(&signature);
        }
    }
}

fn highest_ranked(members: &BTreeSet<InstanceId>, signature: CrashSignature) -> Option<InstanceId> {
    let key = signature.0.to_be_bytes();
    members
        .iter()
        .copied()
        .max_by_key(|member| stable_hash(&[&key, &member.node.0.to_be_bytes()]))
}

const fn turn_command(
    ask: u64,
    signature: CrashSignature,
    granted: bool,
    retry_after: Duration,
) -> CrashCommand {
    CrashCommand::Turn {
        ask,
        signature,
        granted,
        retry_after,
    }
}
