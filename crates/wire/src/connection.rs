//! Shared state of a connection: close reason, number of open work streams and time of the last
//! confirmed round trip.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::error::WireError;

/// Reason why a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// A heartbeat timed out.
    Silent,
    /// The connection was closed or broke; the text says how.
    Lost(String),
}

/// State shared by the handle, the driver, the heartbeat and the streams of a connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionState {
    shared: Arc<SharedState>,
}

#[derive(Debug)]
struct SharedState {
    closed: watch::Sender<Option<CloseReason>>,
    open: watch::Sender<usize>,
    last_round_trip: Mutex<Instant>,
    last_used: Mutex<Instant>,
    /// Send time of the heartbeat that waits for a reply.
    pending_ping: Mutex<Option<Instant>>,
    /// Notified on each confirmed round trip.
    round_trips: Notify,
}

impl ConnectionState {
    pub(crate) fn new() -> Self {
        Self {
            shared: Arc::new(SharedState {
                closed: watch::Sender::new(None),
                open: watch::Sender::new(0),
                last_round_trip: Mutex::new(Instant::now()),
                last_used: Mutex::new(Instant::now()),
                pending_ping: Mutex::new(None),
                round_trips: Notify::new(),
            }),
        }
    }

    /// Marks the connection as closed. Only the first reason is kept.
    pub(crate) fn close(&self, reason: CloseReason) {
        self.shared.closed.send_if_modified(|closed| {
            let is_first = closed.is_none();
            if is_first {
                *closed = Some(reason);
            }
            is_first
        });
    }

    pub(crate) fn watch(&self) -> ConnectionWatch {
        ConnectionWatch(self.shared.closed.subscribe())
    }

    pub(crate) fn close_reason(&self) -> Option<CloseReason> {
        self.shared.closed.borrow().clone()
    }

    /// Replaces a stream's error by [`WireError::ConnectionSilent`] if a heartbeat timeout closed
    /// the connection.
    pub(crate) fn refine_error(&self, error: WireError) -> WireError {
        match (error, self.close_reason()) {
            (
                WireError::ConnectionLost(_) | WireError::EndedEarly | WireError::Reset(_),
                Some(CloseReason::Silent),
            ) => WireError::ConnectionSilent,
            (error, _) => error,
        }
    }

    /// Counts a work stream as open until the returned guard is dropped, and wakes the heartbeat.
    /// Returns `None` if `limit` streams are open.
    pub(crate) fn open_work(&self, limit: u32) -> Option<OpenWork> {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let is_opened = self.shared.open.send_if_modified(|open| {
            let has_room = *open < limit;
            *open += usize::from(has_room);
            has_room
        });
        is_opened.then(|| OpenWork {
            state: self.clone(),
            opened_at: Instant::now(),
        })
    }

    pub(crate) fn open_count(&self) -> usize {
        *self.shared.open.borrow()
    }

    /// Records that the connection was used now.
    pub(crate) fn touch(&self) {
        *lock(&self.shared.last_used) = Instant::now();
    }

    /// Returns the time since the last use, or `None` while work is open.
    pub(crate) fn idle_for(&self) -> Option<Duration> {
        (self.open_count() == 0).then(|| lock(&self.shared.last_used).elapsed())
    }

    /// Returns a receiver of the number of open work streams.
    pub(crate) fn watch_open_work(&self) -> watch::Receiver<usize> {
        self.shared.open.subscribe()
    }

    /// Records that the peer answered something sent at `sent`.
    pub(crate) fn record_round_trip(&self, sent: Instant) {
        let mut last_round_trip = lock(&self.shared.last_round_trip);
        *last_round_trip = sent.max(*last_round_trip);
        drop(last_round_trip);
        self.shared.round_trips.notify_waiters();
    }

    /// Waits for a confirmed round trip that began at most `age` ago.
    pub(crate) async fn wait_for_round_trip(&self, age: Duration) {
        loop {
            let notified = self.shared.round_trips.notified();
            if self.time_since_round_trip() <= age {
                return;
            }
            notified.await;
        }
    }

    /// Sets the send time of the heartbeat that waits for a reply, `None` once the reply arrived.
    pub(crate) fn set_pending_ping(&self, pending_ping: Option<Instant>) {
        *lock(&self.shared.pending_ping) = pending_ping;
    }

    /// Returns how long the reply to a heartbeat has been outstanding, or `None` if no heartbeat
    /// waits for one.
    pub(crate) fn unresponsive_for(&self) -> Option<Duration> {
        let pending_ping = (*lock(&self.shared.pending_ping))?;
        let is_answered = *lock(&self.shared.last_round_trip) > pending_ping;
        (!is_answered).then(|| pending_ping.elapsed())
    }

    pub(crate) fn time_since_round_trip(&self) -> Duration {
        lock(&self.shared.last_round_trip).elapsed()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Guard that counts a work stream as open.
#[derive(Debug)]
pub(crate) struct OpenWork {
    state: ConnectionState,
    opened_at: Instant,
}

impl OpenWork {
    pub(crate) fn state(&self) -> &ConnectionState {
        &self.state
    }

    /// Records a round trip: the peer answered on this stream.
    pub(crate) fn record_reply(&self) {
        self.state.record_round_trip(self.opened_at);
    }
}

impl Drop for OpenWork {
    fn drop(&mut self) {
        self.state.touch();
        self.state.shared.open.send_modify(|open| *open -= 1);
    }
}

/// Watch that reports when and why a connection ends.
#[derive(Clone, Debug)]
pub struct ConnectionWatch(watch::Receiver<Option<CloseReason>>);

impl ConnectionWatch {
    /// Waits until the connection ends and returns the reason.
    pub async fn closed(&mut self) -> CloseReason {
        match self.0.wait_for(Option::is_some).await {
            Ok(reason) => reason.clone().unwrap_or(CloseReason::Silent),
            Err(_) => CloseReason::Lost("connection dropped".to_owned()),
        }
    }

    /// Returns the reason why the connection ended, or `None` while it is open.
    #[must_use]
    pub fn reason(&self) -> Option<CloseReason> {
        self.0.borrow().clone()
    }
}
