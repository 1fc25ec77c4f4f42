//! What callers and backend servers saw, from which a session is judged.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A request that a backend server began to work on.
#[derive(Clone, Debug)]
pub struct SeenRun {
    pub at: Instant,
    /// Life of the backend server.
    pub life: Arc<str>,
    /// Status that it gave, 0 where it gave none.
    pub status: u16,
}

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run again.
    LookUp,
    /// May run once.
    Booking,
    /// Asks for a route that came with a configuration of this version.
    Probe(u64),
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct SeenCall {
    pub id: Arc<str>,
    pub kind: CallKind,
    pub target: Arc<str>,
    /// Instance that took it, and the number of its process.
    pub taker: (usize, u32),
    pub sent: Instant,
    pub ended: Instant,
    /// The answer; none when the connection ended before it was whole.
    pub answer: Option<SeenReply>,
    /// The caller closed the connection because it had waited for long enough.
    pub gave_up: bool,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct SeenReply {
    pub status: u16,
    pub signed: bool,
    pub id: String,
    pub body: String,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct SoakLedger {
    state: Arc<Mutex<LedgerState>>,
}

/// The contents of a ledger.
#[derive(Clone, Debug, Default)]
pub struct LedgerState {
    pub runs: BTreeMap<Arc<str>, Vec<SeenRun>>,
    pub calls: Vec<SeenCall>,
    /// When a daemon acknowledged that a life of a backend server leaves.
    pub leaving: BTreeMap<Arc<str>, Instant>,
    /// What went wrong while the session ran.
    pub findings: Vec<String>,
}

impl SoakLedger {
    pub fn ran(&self, id: &str, run: SeenRun) {
        let mut state = self.state.lock().expect("the ledger");
        state.runs.entry(Arc::from(id)).or_default().push(run);
    }

    pub fn called(&self, call: SeenCall) {
        self.state.lock().expect("the ledger").calls.push(call);
    }

    pub fn leaves(&self, life: &Arc<str>) {
        let mut state = self.state.lock().expect("the ledger");
        let now = Instant::now();
        state.leaving.entry(Arc::clone(life)).or_insert(now);
    }

    pub fn found(&self, finding: String) {
        self.state
            .lock()
            .expect("the ledger")
            .findings
            .push(finding);
    }

    pub fn state(&self) -> LedgerState {
        self.state.lock().expect("the ledger").clone()
    }
}
