//! Body of the request of one exchange: read and kept, or streamed to one attempt.

use http::Response;
use sycamorelink_core::{RefusalCode, RequestRefusal, RunState};
use sycamorelink_engine::{AttemptOrder, NodeEvent};
use sycamorelink_guard::KeyFingerprint;
use sycamorelink_policy::SampleKind;
use xitca_web::body::ResponseBody;

use super::CallerCommand;
use super::exchange::{CallerExchange, report_exhausted, report_without_reply};
use super::request_body::{CallerBody, EndCheck, read_up_to, stream_to_attempt};
use crate::body::{BodyReceiver, body_channel, whole_body};

/// Reason why a body could not be buffered.
enum BufferError {
    /// The decision thread refused the request while the body was being read.
    Refused(RequestRefusal),
    /// The body is incomplete or does not fit into the memory account.
    Broken(RefusalCode),
}

impl CallerExchange {
    /// Buffers the body and sends its fingerprint to the decision thread.
    pub(super) async fn read_body(&mut self, limit: u64) -> Option<Response<ResponseBody>> {
        if let Some(response) = self.buffer_body(limit).await {
            return Some(response);
        }
        let Some(bytes) = self.body.kept() else {
            return Some(self.abort(RefusalCode::BodyTooLarge).await);
        };
        let fingerprint = KeyFingerprint::of(&self.method, &self.target, bytes);
        let request = self.id;
        self.send_event(NodeEvent::BodyRead {
            request,
            fingerprint,
        })
        .await;
        None
    }

    /// Reads the body to keep it for every attempt. A body beyond the replay limit is left to be
    /// streamed, and the decision thread is told that it can be sent only once.
    pub(super) async fn keep_body(&mut self, max_body: u64) -> Option<Response<ResponseBody>> {
        let limit = max_body.min(self.context.replay_limit());
        if let Some(response) = self.buffer_body(limit).await {
            return Some(response);
        }
        let CallerBody::Unsent { prefix, .. } = &self.body else {
            return None;
        };
        if prefix.len() as u64 > max_body {
            return Some(self.abort(RefusalCode::BodyTooLarge).await);
        }
        self.replayable = false;
        let request = self.id;
        self.send_event(NodeEvent::BodyNotKept { request }).await;
        None
    }

    /// Reads the body until its end or until it exceeds `limit` bytes. Returns a response early when
    /// the body is incomplete, or when the decision thread refuses the request, which bounds the
    /// wait for a slow caller by its deadline.
    async fn buffer_body(&mut self, limit: u64) -> Option<Response<ResponseBody>> {
        let check = self.end_check();
        let CallerBody::Unsent { rest, .. } = &mut self.body else {
            return None;
        };
        let mut memory = self
            .memory
            .take()
            .unwrap_or_else(|| self.context.memory.reserve(0));
        let read = {
            let read = read_up_to(rest, limit, &check, &mut memory);
            tokio::pin!(read);
            loop {
                tokio::select! {
                    bytes = &mut read => break bytes.map_err(BufferError::Broken),
                    command = self.commands.recv() => match command {
                        Some(CallerCommand::Refuse(refusal)) =>
                            break Err(BufferError::Refused(refusal)),
                        Some(command) => self.deferred.push_back(command),
                        None => break Err(BufferError::Broken(RefusalCode::Draining)),
                    },
                }
            }
        };
        match read {
            Ok((bytes, true)) => {
                self.body = CallerBody::Kept(memory.hold(bytes));
                None
            }
            Ok((bytes, false)) => {
                if let CallerBody::Unsent { prefix, .. } = &mut self.body {
                    *prefix = memory.hold(bytes);
                }
                None
            }
            Err(BufferError::Refused(refusal)) => Some(self.refuse_request(&refusal)),
            Err(BufferError::Broken(code)) => {
                if code == RefusalCode::Overloaded {
                    report_exhausted(&self.context.events, &self.context.memory, memory.bytes());
                }
                Some(self.abort(code).await)
            }
        }
    }

    fn end_check(&self) -> EndCheck {
        EndCheck {
            declared: self.declared,
            socket: self.socket.clone(),
        }
    }

    pub(super) fn has_deferred_cancel(&self, number: u16) -> bool {
        let mut deferred = self.deferred.iter();
        deferred.any(|command| matches!(command, CallerCommand::Cancel(other) if *other == number))
    }

    /// Returns the body for the next attempt and its length, if known. Returns `None` when the body
    /// was streamed to an earlier attempt.
    pub(super) fn attempt_body(&mut self, max_body: u64) -> Option<(BodyReceiver, Option<u64>)> {
        if let Some(bytes) = self.body.kept() {
            return Some((whole_body(bytes.clone()), Some(bytes.len() as u64)));
        }
        match std::mem::replace(&mut self.body, CallerBody::Streaming) {
            CallerBody::Unsent { prefix, rest } => {
                let (sender, receiver) = body_channel();
                let check = self.end_check();
                let memory = self.context.memory.clone();
                let ends = self.body_end_sender.clone();
                let body = (prefix, rest);
                tokio::task::spawn_local(stream_to_attempt(
                    body, sender, max_body, check, memory, ends,
                ));
                Some((receiver, self.declared))
            }
            sent => {
                self.body = sent;
                None
            }
        }
    }

    /// Ends an attempt that was ordered before the decision thread knew that the body can be sent
    /// only once.
    pub(super) async fn reject_attempt(&self, order: &AttemptOrder) {
        let report = report_without_reply(order.attempt, SampleKind::Cancelled, RunState::NotRun);
        self.send_event(NodeEvent::AttemptEnded(report)).await;
    }
}
