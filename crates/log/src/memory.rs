//! In-memory log for tests.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use crate::client::{AppendReceipt, LogClient, LogError, LogFuture, LogPage, LogRecord, ReadRange};

/// Fault that a [`MemoryLog`] simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemoryFault {
    /// All calls succeed.
    #[default]
    None,
    /// Every call fails without effect.
    Down,
    /// Appends take effect, but their replies are lost.
    LoseReplies,
    /// Appends have no effect, and their replies are lost.
    LoseAppends,
    /// Appends are rejected by the rate limit.
    Throttle,
}

#[derive(Debug, Default)]
struct MemoryStream {
    first: u64,
    records: Vec<LogRecord>,
}

impl MemoryStream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Debug, Default)]
struct MemoryState {
    fault: MemoryFault,
    streams: BTreeMap<String, MemoryStream>,
    appends: u64,
}

/// In-memory log with injectable faults.
#[derive(Debug)]
pub struct MemoryLog {
    state: Mutex<MemoryState>,
    changed: watch::Sender<u64>,
}

impl Default for MemoryLog {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl MemoryLog {
    /// Creates an empty log without a fault.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the fault for all further calls.
    pub fn set_fault(&self, fault: MemoryFault) {
        self.state().fault = fault;
        self.changed.send_modify(|count| *count += 1);
    }

    /// Drops the records below an offset, as retention would.
    pub fn trim_to(&self, stream: &str, offset: u64) {
        let mut state = self.state();
        let Some(stored) = state.streams.get_mut(stream) else {
            return;
        };
        let offset = offset.clamp(stored.first, stored.next());
        stored.records.retain(|record| record.offset >= offset);
        stored.first = offset;
    }

    /// Returns the number of appends that took effect on all streams.
    #[must_use]
    pub fn append_count(&self) -> u64 {
        self.state().appends
    }

    fn state(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append_now(&self, stream: &str, data: Bytes) -> Result<AppendReceipt, LogError> {
        let mut state = self.state();
        let fault = state.fault;
        match fault {
            MemoryFault::Down => return Err(unavailable()),
            MemoryFault::LoseAppends => return Err(lost_reply()),
            MemoryFault::Throttle => {
                return Err(LogError::Throttled {
                    retry_after: Duration::from_millis(100),
                });
            }
            MemoryFault::None | MemoryFault::LoseReplies => {}
        }
        state.appends += 1;
        let wall = Duration::from_millis(state.appends);
        let stored = state.streams.entry(stream.to_owned()).or_default();
        let offset = stored.next();
        stored.records.push(LogRecord { offset, wall, data });
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        if fault == MemoryFault::LoseReplies {
            return Err(lost_reply());
        }
        Ok(AppendReceipt { offset })
    }

    fn read_now(&self, stream: &str, range: ReadRange) -> Result<LogPage, LogError> {
        let state = self.state();
        if state.fault == MemoryFault::Down {
            return Err(unavailable());
        }
        let Some(stored) = state.streams.get(stream) else {
            return Ok(LogPage::default());
        };
        if range.from < stored.first {
            return Err(LogError::Trimmed {
                first: stored.first,
            });
        }
        let wanted = stored.records.iter().filter(|r| r.offset >= range.from);
        Ok(LogPage {
            first: stored.first,
            next: stored.next(),
            records: wanted.take(range.max as usize).cloned().collect(),
        })
    }

    async fn read_or_wait(&self, stream: &str, range: ReadRange) -> Result<LogPage, LogError> {
        let mut changed = self.changed.subscribe();
        let wait = tokio::time::sleep(range.wait);
        let mut wait = std::pin::pin!(wait);
        loop {
            changed.borrow_and_update();
            let page = self.read_now(stream, range)?;
            if !page.records.is_empty() || wait.is_elapsed() || range.wait.is_zero() {
                return Ok(page);
            }
            tokio::select! {
                () = wait.as_mut() => {}
                _ = changed.changed() => {}
            }
        }
    }
}

impl LogClient for MemoryLog {
    fn append<'a>(&'a self, stream: &'a str, data: Bytes) -> LogFuture<'a, AppendReceipt> {
        Box::pin(async move { self.append_now(stream, data) })
    }

    fn read<'a>(&'a self, stream: &'a str, range: ReadRange) -> LogFuture<'a, LogPage> {
        Box::pin(self.read_or_wait(stream, range))
    }
}

fn unavailable() -> LogError {
    LogError::Unavailable {
        reason: "down on command".to_owned(),
    }
}

fn lost_reply() -> LogError {
    LogError::Uncertain {
        reason: "reply lost on command".to_owned(),
    }
}
