//! The `stand-in` command: a fake platform log or backend server as its own process, for tests.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use serde::Serialize;
use sycamorelink_standin::{BackendSettings, BackendStandin, LogStandin, LogStandinSettings};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

use crate::context::ShellContext;

/// Component that the stand-in replaces.
#[derive(Clone, Debug)]
pub enum StandinKind {
    /// The platform's log.
    Log(LogStandinSettings),
    /// Backend server that the tool runs in place of a real one.
    Backend(BackendSettings),
}

/// Listen address and run time of a stand-in.
#[derive(Clone, Copy, Debug)]
pub struct StandinOptions {
    /// Listen address; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Time to run; `None` runs until SIGTERM or SIGINT.
    pub time: Option<Duration>,
}

/// Line on stdout that reports the address of the stand-in.
#[derive(Serialize)]
struct ListeningLine {
    event: &'static str,
    address: SocketAddr,
}

/// Runs a stand-in until its run time ends or a signal arrives.
///
/// # Errors
///
/// Returns an error if the stand-in cannot listen on the address.
pub fn run_stand_in(
    context: &mut ShellContext,
    kind: StandinKind,
    options: &StandinOptions,
) -> anyhow::Result<()> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("could not start the stand-in")?;
    runtime.block_on(async {
        match kind {
            StandinKind::Log(settings) => {
                let log = LogStandin::start(options.listen, settings).await;
                let log = log.with_context(|| listen_failure(options.listen))?;
                print_address(context, log.address())?;
                wait_for_end(options.time).await?;
                log.stop().await;
            }
            StandinKind::Backend(settings) => {
                let backend = BackendStandin::start(options.listen, settings).await;
                let backend = backend.with_context(|| listen_failure(options.listen))?;
                print_address(context, backend.address())?;
                wait_for_end(options.time).await?;
                backend.stop().await;
            }
        }
        Ok(())
    })
}

fn listen_failure(address: SocketAddr) -> String {
    format!("could not listen on {address}")
}

fn print_address(context: &mut ShellContext, address: SocketAddr) -> anyhow::Result<()> {
    let line = ListeningLine {
        event: "listening",
        address,
    };
    context.data_line(serde_json::to_string(&line)?)
}

async fn wait_for_end(time: Option<Duration>) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("could not listen for signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("could not listen for signals")?;
    let over = async {
        match time {
            Some(time) => tokio::time::sleep(time).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = over => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
