//! Stand-in for the platform's append-only log service.
//!
//! `docs/standin-log-protocol.md` specifies the protocol.

mod replies;
mod service;
mod settings;
mod store;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use sycamorelink_core::{NodeClock, SystemClock};

pub use settings::{LogMode, LogStandinSettings};

use crate::server::{BoundServer, ServerTask};
use service::LogService;

/// Entry points that start a log stand-in.
#[derive(Clone, Copy, Debug)]
pub struct LogStandin;

impl LogStandin {
    /// Starts a log service on the address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind when the address is invalid or in use.
    pub async fn start(bind: SocketAddr, settings: LogStandinSettings) -> io::Result<RunningLog> {
        Self::start_with_clock(bind, settings, Arc::new(SystemClock::start())).await
    }

    /// Starts a log service with the given clock, which timestamps records, ages them for retention
    /// and refills the token bucket of the append rate limit.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind when the address is invalid or in use.
    pub async fn start_with_clock(
        bind: SocketAddr,
        settings: LogStandinSettings,
        clock: Arc<dyn NodeClock>,
    ) -> io::Result<RunningLog> {
        let server = BoundServer::bind(bind).await?;
        let service = Arc::new(LogService::new(settings, clock));
        let task = server.serve(Arc::clone(&service));
        Ok(RunningLog { service, task })
    }

    /// Runs a log service until the signal resolves.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind when the address is invalid or in use.
    pub async fn run_until<F>(
        bind: SocketAddr,
        settings: LogStandinSettings,
        signal: F,
    ) -> io::Result<()>
    where
        F: Future<Output = ()>,
    {
        let running = Self::start(bind, settings).await?;
        tracing::info!(address = %running.address(), "log stand-in is listening");
        signal.await;
        running.stop().await;
        Ok(())
    }
}

/// A running log stand-in. Dropping it closes the listener and all connections at once.
#[derive(Debug)]
pub struct RunningLog {
    service: Arc<LogService>,
    task: ServerTask,
}

impl RunningLog {
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.task.address()
    }

    /// Sets the failure mode, as `POST /control` does.
    pub fn set_mode(&self, mode: LogMode) {
        self.service.set_mode(mode);
    }

    /// Drops the records of a stream below the offset, as retention would.
    pub fn trim_to(&self, stream: &str, offset: u64) {
        self.service.trim_to(stream, offset);
    }

    /// Returns the number of appends that took effect, over all streams, including those whose
    /// reply was lost.
    #[must_use]
    pub fn append_count(&self) -> u64 {
        self.service.append_count()
    }

    /// Finishes the requests in flight and stops the server. Long polls end at once.
    pub async fn stop(mut self) {
        self.service.close();
        self.task.drain().await;
    }
}
