//! Record of the local backend servers that leave, in the member directory.
//!
//! ```text
//! heartbeat ─▶ decision thread ─ request ─▶ LeavingRecord ─ write ─▶ member directory
//!     ▲                                          │
//!     └──────── acknowledgement ◀── written ─────┘
//! ```
//!
//! A leaving that was acknowledged must bind the next incarnation of the daemon even when all daemons
//! are lost right after the acknowledgement. It is therefore acknowledged once it is written, or after
//! a limit when the directory is unreachable. The write is then repeated until it succeeds.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::NodeClock;
use sycamorelink_engine::LeavingServer;
use sycamorelink_log::OutageBackoff;
use tokio::sync::watch;

use crate::adapters::{LeavingEntry, MemberDirectory};
use crate::members::{DIRECTORY_BACKOFF, pause_after};

/// Leaving servers to write, and the number of the request.
#[derive(Clone, Debug, Default)]
struct LeavingRequest {
    number: u64,
    servers: Vec<LeavingServer>,
}

/// Requests to write the leaving servers, and the progress of the writes. Clones share one state.
#[derive(Clone, Debug, Default)]
pub struct LeavingRecord {
    requested: watch::Sender<LeavingRequest>,
    /// Number of the newest request that was written.
    written: watch::Sender<u64>,
}

impl LeavingRecord {
    /// Requests that these servers are written, in place of those of earlier requests.
    pub fn request(&self, servers: Vec<LeavingServer>) {
        self.requested.send_modify(|request| {
            request.number += 1;
            request.servers = servers;
        });
    }

    /// Waits until the requests so far are written. Returns false after `limit`.
    pub async fn wait_written(&self, limit: Duration) -> bool {
        let number = self.requested.borrow().number;
        let mut written = self.written.subscribe();
        let reached = written.wait_for(|written| *written >= number);
        tokio::time::timeout(limit, reached).await.is_ok()
    }

    /// Writes each request to the directory under the name of this node, and repeats failed writes.
    /// Runs until the future is dropped. Without a directory the requests count as written.
    pub async fn run(
        &self,
        directory: Option<Arc<dyn MemberDirectory>>,
        name: Arc<str>,
        clock: &dyn NodeClock,
        seed: u64,
    ) {
        let mut backoff = OutageBackoff::new(DIRECTORY_BACKOFF, seed);
        let mut requests = self.requested.subscribe();
        loop {
            let written = *self.written.borrow();
            let next = requests.wait_for(|request| request.number > written).await;
            let Ok(mut request) = next.map(|request| request.clone()) else {
                return;
            };
            while let Some(directory) = &directory {
                let entry = LeavingEntry {
                    name: Arc::clone(&name),
                    recorded: clock.wall(),
                    servers: request.servers.clone(),
                };
                match directory.record_leaving(&entry).await {
                    Ok(()) => break,
                    Err(error) => {
                        let pause = pause_after(&error, backoff.fail(clock.now()));
                        tracing::warn!(%error, ?pause, "failed to record the leaving servers");
                        tokio::time::sleep(pause).await;
                        request = self.requested.borrow().clone();
                    }
                }
            }
            backoff.succeed();
            self.written.send_replace(request.number);
        }
    }
}
