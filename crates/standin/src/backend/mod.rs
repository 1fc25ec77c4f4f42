//! Stand-in for a backend server, with request slots, service times and fault injection.
//!
//! A run is the execution of one request in a slot. The stand-in counts runs itself, independently
//! of the proxy, so that tests see which requests were really executed.
//!
//! ```text
//! any path ──▶ slot or queue ──▶ fault ──▶ work for the service time ──▶ reply
//! GET  /control/runs   run counts by idempotency key and by request id
//! POST /control        {"fault":"slow","factor":8} | {"phase":"leaving"} | {"cold_start":{..}} | {"limit":2.5}
//! GET  /health         always healthy
//! GET  /load           load, delayed by the `load_lag_ms` setting
//! ```

mod announce;
mod report;
mod request;
mod service;
mod settings;
mod state;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use report::{RunCounts, RunReport};
pub use settings::{BackendFault, BackendPhase, BackendSettings, ColdStart};

use crate::server::{BoundServer, ServerTask};
use service::BackendService;
use state::BackendState;

/// Header with the time left for the request in milliseconds; the run is cancelled after it.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Entry points that start a backend stand-in.
#[derive(Clone, Copy, Debug)]
pub struct BackendStandin;

impl BackendStandin {
    /// Starts a backend server on the address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind when the address is invalid or in use.
    pub async fn start(bind: SocketAddr, settings: BackendSettings) -> io::Result<RunningBackend> {
        let server = BoundServer::bind(bind).await?;
        let settings = Arc::new(settings);
        let (phase_sender, phase_receiver) = watch::channel(BackendPhase::Ready);
        let state = Arc::new(BackendState::new(
            Arc::clone(&settings),
            phase_sender,
            server.commands(),
        ));
        let address = server.address();
        let heartbeat = tokio::spawn(announce::announce_until_closed(
            settings,
            address,
            phase_receiver,
        ));
        let task = server.serve(Arc::new(BackendService::new(Arc::clone(&state))));
        Ok(RunningBackend {
            state,
            task,
            heartbeat,
        })
    }

    /// Runs a backend server until the signal resolves or a crash ends it.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind when the address is invalid or in use, and an error when an
    /// injected crash ended the server.
    pub async fn run_until<F>(
        bind: SocketAddr,
        settings: BackendSettings,
        signal: F,
    ) -> io::Result<()>
    where
        F: Future<Output = ()>,
    {
        let mut running = Self::start(bind, settings).await?;
        tracing::info!(address = %running.address(), "backend stand-in is listening");
        tokio::select! {
            () = signal => {
                running.stop().await;
                Ok(())
            }
            _ = running.task.wait() => Err(io::Error::other("a request crashed the server")),
        }
    }
}

/// A running backend stand-in. Dropping it closes the listener and all connections at once.
#[derive(Debug)]
pub struct RunningBackend {
    state: Arc<BackendState>,
    task: ServerTask,
    heartbeat: JoinHandle<()>,
}

impl RunningBackend {
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.task.address()
    }

    /// Sets the injected fault, as `POST /control` does.
    pub fn set_fault(&self, fault: BackendFault) {
        self.state.set_fault(fault);
    }

    /// Sets the phase and announces it to the local daemon without waiting for the heartbeat.
    pub fn set_phase(&self, phase: BackendPhase) {
        self.state.set_phase(phase);
    }

    /// Restarts the cold start with these parameters.
    pub fn set_cold_start(&self, cold: ColdStart) {
        self.state.set_cold_start(cold);
    }

    /// Returns the run counts so far.
    #[must_use]
    pub fn runs(&self) -> RunReport {
        self.state.runs()
    }

    /// Announces the leaving phase, finishes the requests in flight and withdraws the announcement.
    pub async fn stop(mut self) {
        self.state.set_phase(BackendPhase::Leaving);
        self.task.drain().await;
        self.state.stop_announcing();
        let _ = (&mut self.heartbeat).await;
    }
}

impl Drop for RunningBackend {
    fn drop(&mut self) {
        self.heartbeat.abort();
    }
}
