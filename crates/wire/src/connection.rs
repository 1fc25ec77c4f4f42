//! Shared state of a connection: whether it lives, how much work is open, when a round trip was
//! proved last.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::error::WireError;

/// Why a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It went silent: heartbeats got no answer.
    Silent,
    /// It was closed or broke.
    Lost(String),
}

/// Shared by the handle, the driver, the heartbeat and the streams of a connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionState {
    shared: Arc<SharedState>,
}

#[derive(Debug)]
struct SharedState {
    closed: watch::Sender<Option<CloseReason>>,
    open: watch::Sender<usize>,
    proved: Mutex<Instant>,
    used: Mutex<Instant>,
    /// When the heartbeat was sent that is still unanswered.
    asked: Mutex<Option<Instant>>,
    /// Told of each proof of a round trip.
    proofs: Notify,
}

impl ConnectionState {
    pub(crate) fn new() -> Self {
        Self {
            shared: Arc::new(SharedState {
                closed: watch::Sender::new(None),
                open: watch::Sender::new(0),
                proved: Mutex::new(Instant::now()),
                used: Mutex::new(Instant::now()),
                asked: Mutex::new(None),
                proofs: Notify::new(),
            }),
        }
    }

    /// Notes the end; the first reason stays.
    pub(crate) fn close(&self, reason: CloseReason) {
        self.shared.closed.send_if_modified(|closed| {
            let first = closed.is_none();
            if first {
                *closed = Some(reason);
            }
            first
        });
    }

    pub(crate) fn watch(&self) -> ConnectionWatch {
        ConnectionWatch(self.shared.closed.subscribe())
    }

    pub(crate) fn close_reason(&self) -> Option<CloseReason> {
        self.shared.closed.borrow().clone()
    }

    /// Names a stream's error by what became of the connection.
    pub(crate) fn explain(&self, error: WireError) -> WireError {
        match (error, self.close_reason()) {
            (
                WireError::ConnectionLost(_) | WireError::EndedEarly | WireError::Reset(_),
                Some(CloseReason::Silent),
            ) => WireError::ConnectionSilent,
            (error, _) => error,
        }
    }

    /// Counts a stream of work as open until the guard is dropped, and wakes the heartbeat.
    /// Nothing when the limit is reached.
    pub(crate) fn open_work(&self, limit: u32) -> Option<OpenWork> {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let opened = self.shared.open.send_if_modified(|open| {
            let room = *open < limit;
            *open += usize::from(room);
            room
        });
        opened.then(|| OpenWork {
            state: self.clone(),
            since: Instant::now(),
        })
    }

    pub(crate) fn open_count(&self) -> usize {
        *self.shared.open.borrow()
    }

    /// Notes that the connection was used.
    pub(crate) fn touch(&self) {
        *locked(&self.shared.used) = Instant::now();
    }

    /// How long nothing was sent, or nothing while work is open.
    pub(crate) fn idle_for(&self) -> Option<Duration> {
        (self.open_count() == 0).then(|| locked(&self.shared.used).elapsed())
    }

    /// Follows the count of open streams of work.
    pub(crate) fn open_watch(&self) -> watch::Receiver<usize> {
        self.shared.open.subscribe()
    }

    /// Notes that something sent at the time was answered.
    pub(crate) fn prove_round_trip(&self, sent: Instant) {
        let mut proved = locked(&self.shared.proved);
        *proved = sent.max(*proved);
        drop(proved);
        self.shared.proofs.notify_waiters();
    }

    /// Waits until a round trip was proved that began no longer ago than `age`.
    pub(crate) async fn proved_within(&self, age: Duration) {
        loop {
            let proof = self.shared.proofs.notified();
            if self.proved_for() <= age {
                return;
            }
            proof.await;
        }
    }

    /// Notes that a heartbeat waits for its answer, or no longer does.
    pub(crate) fn note_asked(&self, asked: Option<Instant>) {
        *locked(&self.shared.asked) = asked;
    }

    /// How long the peer has owed an answer; none while it owes nothing.
    pub(crate) fn quiet_for(&self) -> Option<Duration> {
        let asked = (*locked(&self.shared.asked))?;
        let answered = *locked(&self.shared.proved) > asked;
        (!answered).then(|| asked.elapsed())
    }

    pub(crate) fn proved_for(&self) -> Duration {
        locked(&self.shared.proved).elapsed()
    }
}

fn locked<T>(time: &Mutex<T>) -> MutexGuard<'_, T> {
    time.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One open stream of work.
#[derive(Debug)]
pub(crate) struct OpenWork {
    state: ConnectionState,
    since: Instant,
}

impl OpenWork {
    pub(crate) fn state(&self) -> &ConnectionState {
        &self.state
    }

    /// Notes that the peer answered this stream.
    pub(crate) fn answered(&self) {
        self.state.prove_round_trip(self.since);
    }
}

impl Drop for OpenWork {
    fn drop(&mut self) {
        self.state.touch();
        self.state.shared.open.send_modify(|open| *open -= 1);
    }
}

/// Tells when and why a connection ends.
#[derive(Clone, Debug)]
pub struct ConnectionWatch(watch::Receiver<Option<CloseReason>>);

impl ConnectionWatch {
    /// Waits for the end.
    pub async fn closed(&mut self) -> CloseReason {
        match self.0.wait_for(Option::is_some).await {
            Ok(reason) => reason.clone().unwrap_or(CloseReason::Silent),
            Err(_) => CloseReason::Lost("connection dropped".to_owned()),
        }
    }

    /// The reason, when it has ended.
    #[must_use]
    pub fn reason(&self) -> Option<CloseReason> {
        self.0.borrow().clone()
    }
}
