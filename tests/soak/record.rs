//! Record of the calls and runs of a session, as callers and backend servers observed them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use sycamorelink_core::stable_hash;

/// Length and hash of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDigest {
    pub length: usize,
    pub hash: u64,
}

impl BodyDigest {
    pub fn of(body: &[u8]) -> Self {
        Self {
            length: body.len(),
            hash: stable_hash(&[body]),
        }
    }
}

/// Start of a request on a backend server.
#[derive(Clone, Debug)]
pub struct ObservedRun {
    pub at: Instant,
    /// Identifier of the backend server's incarnation; changes when the server is replaced.
    pub incarnation: Arc<str>,
    /// Status of the response, 0 when the backend server sends no complete response.
    pub status: u16,
    /// Requests per second that the response names as the limit of the backend server.
    pub limit: Option<f64>,
    /// Body that the backend server took for the whole body of the request.
    pub body: BodyDigest,
}

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Idempotent read that may run more than once.
    Read,
    /// Booking that must run at most once.
    Booking,
    /// Request for a route that was added by this configuration version.
    Probe(u64),
}

/// A request as observed by its caller.
#[derive(Clone, Debug)]
pub struct ObservedCall {
    pub id: Arc<str>,
    pub kind: CallKind,
    pub target: Arc<str>,
    /// Index of the instance that received the request, and the number of its daemon process.
    pub daemon: (usize, u32),
    pub sent: Instant,
    pub ended: Instant,
    /// `None` when the connection closed before the complete response arrived.
    pub response: Option<ObservedReply>,
    /// Whether the caller closed the connection because its timeout expired.
    pub timed_out: bool,
    /// Whether the caller closed its sending direction after the request or within it.
    pub half_closed: bool,
    /// Whole body of the request, of which the caller may have sent a part.
    pub body: BodyDigest,
}

/// Complete response of a daemon as its caller observed it.
#[derive(Clone, Debug)]
pub struct ObservedReply {
    pub status: u16,
    pub signed: bool,
    pub id: String,
    pub body: String,
    /// Whether the backend server reports in the response that it is leaving.
    pub leaving: bool,
}

/// Record shared by the callers, the nodes and the session.
#[derive(Clone, Debug, Default)]
pub struct SessionRecord {
    state: Arc<Mutex<RecordState>>,
}

/// The contents of a record.
#[derive(Clone, Debug, Default)]
pub struct RecordState {
    pub runs: BTreeMap<Arc<str>, Vec<ObservedRun>>,
    pub calls: Vec<ObservedCall>,
    /// Time at which a daemon first acknowledged that a backend server incarnation is draining.
    pub drain_acks: BTreeMap<Arc<str>, Instant>,
    /// Violations that were detected while the session ran.
    pub findings: Vec<String>,
}

impl SessionRecord {
    pub fn add_run(&self, id: &str, run: ObservedRun) {
        let mut state = self.state.lock().expect("the record");
        state.runs.entry(Arc::from(id)).or_default().push(run);
    }

    pub fn add_call(&self, call: ObservedCall) {
        self.state.lock().expect("the record").calls.push(call);
    }

    pub fn add_drain_ack(&self, incarnation: &Arc<str>) {
        let mut state = self.state.lock().expect("the record");
        let now = Instant::now();
        state
            .drain_acks
            .entry(Arc::clone(incarnation))
            .or_insert(now);
    }

    pub fn add_finding(&self, finding: String) {
        self.state
            .lock()
            .expect("the record")
            .findings
            .push(finding);
    }

    pub fn state(&self) -> RecordState {
        self.state.lock().expect("the record").clone()
    }
}
