//! Test oracle: records the runs at the backend servers and checks the answers against them.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::{AttemptId, RefusalCode, RequestId, RunState};
use sycamorelink_guard::{AnswerVerdict, DispatchOutcome, GuardNote, KeyId};

use crate::fleet::CallerSend;

/// Answer that a caller got for a send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendAnswer {
    pub at: Duration,
    pub run: RunState,
    pub text: String,
}

#[derive(Debug)]
pub struct SendRecord {
    pub key: KeyId,
    pub at: Duration,
    pub answer: Option<SendAnswer>,
}

/// All sends, answers and runs of a simulated fleet, and the violations found among them.
#[derive(Debug, Default)]
pub struct FleetOracle {
    pub sends: BTreeMap<RequestId, SendRecord>,
    pub runs: BTreeMap<KeyId, Vec<(AttemptId, Duration)>>,
    pub violations: Vec<String>,
    /// Number of guard notes of each kind, which shows the coverage of a session.
    pub reached: BTreeMap<&'static str, u64>,
}

impl FleetOracle {
    pub fn on_admitted(&mut self, send: &CallerSend, at: Duration) {
        let oracle = SendRecord {
            key: send.key,
            at,
            answer: None,
        };
        self.sends.insert(send.request, oracle);
    }

    pub fn on_note(&mut self, note: &GuardNote) {
        let kind = match note {
            GuardNote::AnsweredUnknown { .. } => "answered unknown",
            GuardNote::KeyClosed { .. } => "key closed",
            GuardNote::GenerationChanged { generation, .. } if generation.number > 0 => {
                "generation chosen by ballots"
            }
            GuardNote::GenerationChanged { generation, .. } if generation.epoch > 0 => {
                "range founded anew"
            }
            GuardNote::GenerationChanged { .. } => "range founded first",
            GuardNote::SeatServing { keys, .. } if *keys > 0 => "seat served after custody",
            GuardNote::SeatServing { .. } => "seat served empty",
            GuardNote::RangeClosed { .. } => "range closed",
            GuardNote::WatermarkRaised { .. } => "watermark raised",
        };
        *self.reached.entry(kind).or_default() += 1;
    }

    pub fn on_run(&mut self, key: KeyId, attempt: AttemptId, at: Duration) {
        let runs = self.runs.entry(key).or_default();
        runs.push((attempt, at));
        if runs.len() > 1 {
            let line = format!("key {key} ran {} times: {runs:?}", runs.len());
            self.violations.push(line);
        }
        let answer = self
            .sends
            .get(&attempt.request)
            .and_then(|it| it.answer.as_ref());
        if answer.is_some_and(|answer| answer.run == RunState::NotRun) {
            let line = format!("{attempt} runs after the answer not-run");
            self.violations.push(line);
        }
    }

    pub fn on_settled(&mut self, request: RequestId, at: Duration, outcome: DispatchOutcome) {
        let run = match outcome {
            DispatchOutcome::NotRun => RunState::NotRun,
            DispatchOutcome::Ran => RunState::Ran,
            DispatchOutcome::Unknown | DispatchOutcome::Lost => RunState::Unknown,
        };
        let text = format!("{run} by the executor");
        self.answer(request, SendAnswer { at, run, text }, false);
    }

    pub fn on_answered(&mut self, request: RequestId, at: Duration, verdict: &AnswerVerdict) {
        let (run, reused) = match verdict {
            AnswerVerdict::ReplyKept { .. } | AnswerVerdict::ReplyGone => (RunState::Ran, false),
            AnswerVerdict::Refuse(refusal) => (refusal.run, refusal.code == RefusalCode::KeyReused),
        };
        let text = verdict_text(verdict);
        if let AnswerVerdict::ReplyKept { reply } = verdict {
            self.check_reply(request, reply);
        }
        self.answer(request, SendAnswer { at, run, text }, reused);
    }

    fn check_reply(&mut self, request: RequestId, reply: &[u8]) {
        let Some(send) = self.sends.get(&request) else {
            return;
        };
        let runs = self.runs.get(&send.key);
        let first = runs.and_then(|runs| runs.first());
        let own = first.is_some_and(|(attempt, _)| {
            String::from_utf8_lossy(reply).starts_with(&format!("reply to {attempt} "))
        });
        if !own {
            self.violations.push(format!("{request} got another reply"));
        }
    }

    fn answer(&mut self, request: RequestId, answer: SendAnswer, reused: bool) {
        let Some(send) = self.sends.get_mut(&request) else {
            return;
        };
        if send.answer.is_some() {
            self.violations.push(format!("{request} answered twice"));
            return;
        }
        let runs = self.runs.get(&send.key).cloned().unwrap_or_default();
        let own = runs.iter().any(|(attempt, _)| attempt.request == request);
        let before = runs.iter().any(|(_, at)| *at < send.at);
        if answer.run == RunState::NotRun && (own || (before && !reused)) {
            let line = format!("{request} told {} but runs are {runs:?}", answer.text);
            self.violations.push(line);
        }
        if answer.run == RunState::Ran && runs.is_empty() {
            self.violations
                .push(format!("{request} told ran, nothing ran"));
        }
        send.answer = Some(answer);
    }

    pub fn check_deadline(
        &mut self,
        request: RequestId,
        now: Duration,
        disturbed_at: Option<Duration>,
    ) {
        let Some(send) = self.sends.get(&request) else {
            return;
        };
        let disturbed = disturbed_at.is_some_and(|at| at >= send.at);
        if send.answer.is_none() && !disturbed {
            let line = format!("{request} has no answer at {}", now.as_millis());
            self.violations.push(line);
        }
    }

    /// Returns the answer to a send.
    pub fn answer_of(&self, request: RequestId) -> Option<&SendAnswer> {
        self.sends
            .get(&request)
            .and_then(|send| send.answer.as_ref())
    }

    pub fn answer_text(&self, request: RequestId) -> String {
        self.answer_of(request)
            .map_or_else(|| "no answer".to_owned(), |answer| answer.text.clone())
    }
}

/// Describes the kind of an answer.
pub fn verdict_text(verdict: &AnswerVerdict) -> String {
    match verdict {
        AnswerVerdict::ReplyKept { .. } => "ran, reply kept".to_owned(),
        AnswerVerdict::ReplyGone => "ran, reply gone".to_owned(),
        AnswerVerdict::Refuse(refusal) => format!("{} {}", refusal.run, refusal.code),
    }
}
