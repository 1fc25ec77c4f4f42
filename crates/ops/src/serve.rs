//! Runs one daemon as a process: settings, logging, signals, drain.
//!
//! ```text
//! settings ──▶ listening ──SIGTERM, SIGINT or POST /v1/drain──▶ draining ──▶ stopped
//!                                                                  │
//!                                               interrupt, limit ──┴──▶ stopped, requests cut off
//! ```

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use serde::Serialize;
use sycamorelink_daemon::settings::{DaemonSettings, LogLevel};
use sycamorelink_daemon::{Daemon, DaemonAddresses, DaemonHandle};
use sycamorelink_telemetry::{EventCode, EventFields, LogSettings, emit};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::context::ShellContext;
use crate::exit::ToolFailure;
use crate::reload::{AdapterFactory, SettingsReload};
use crate::settings_check::read_settings;

/// Interval at which the state of the daemon is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the settings file is polled, because it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Log directive that limits the HTTP server to warnings. Its other lines report only on its
/// threads, which the numbered events cover.
const HTTP_SERVER_DIRECTIVE: &str = "xitca_server=warn";
/// Most verbose level for the log lines of libraries.
const LIBRARY_LEVEL: &str = "info";

/// Line on stdout that reports the addresses of the daemon.
#[derive(Serialize)]
struct ListeningLine {
    event: &'static str,
    #[serde(flatten)]
    addresses: DaemonAddresses,
}

/// Runs a daemon until a signal or an operator stops it, then drains it.
///
/// # Errors
///
/// Returns an error if the settings have findings, the daemon cannot start, or the drain was cut
/// short before all requests were finished or handed over.
pub fn serve_daemon(
    context: &mut ShellContext,
    file: &Path,
    factory: AdapterFactory<'_>,
) -> anyhow::Result<()> {
    let settings = read_settings(file)?;
    let adapters = factory(&settings)
        .map_err(ToolFailure::Findings)
        .with_context(|| format!("the settings in {} are not valid", file.display()))?;
    let log = log_settings(&settings).install()?;
    let limit = settings.drain.time_limit();
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("could not wait for signals")?;
    // Install the signal handlers before the daemon listens: without them, a signal would
    // terminate the process at once, without a drain.
    let mut signals = runtime.block_on(async { ProcessSignals::open() })?;
    let in_force = settings.clone();
    let handle = Daemon::start_with(settings, adapters).context("could not start the daemon")?;
    emit(EventCode::DaemonStarted, &EventFields::new());
    print_addresses(context, handle.addresses())?;
    let mut reload = SettingsReload::new(file, in_force, factory);
    runtime.block_on(wait_for_stop_request(&handle, &mut signals, &mut reload));
    emit(EventCode::DaemonDraining, &EventFields::new());
    let stops_at = Instant::now() + limit;
    handle.drain();
    let drained = runtime.block_on(wait_for_drain(&handle, &mut signals, limit));
    if !drained {
        emit(EventCode::DrainCut, &EventFields::new());
    }
    handle.stop_within(stops_at.saturating_duration_since(Instant::now()));
    if !drained {
        bail!("the daemon stopped before everything was finished or handed over");
    }
    emit(EventCode::DaemonStopped, &EventFields::new());
    let dropped = log.dropped_lines();
    if dropped > 0 {
        let fields = EventFields::new().count(&dropped);
        emit(EventCode::EventsSuppressed, &fields);
    }
    Ok(())
}

fn log_settings(settings: &DaemonSettings) -> LogSettings {
    let output = settings.telemetry.log;
    LogSettings {
        format: output.format,
        output: output.output,
        level: log_filter(output.level),
    }
}

/// Returns the log filter: the configured level for the daemon, and for libraries at most that
/// level and at most [`LIBRARY_LEVEL`].
fn log_filter(level: LogLevel) -> String {
    let own = level.as_str();
    let library = match level {
        LogLevel::Debug | LogLevel::Trace => LIBRARY_LEVEL,
        LogLevel::Error | LogLevel::Warn | LogLevel::Info => own,
    };
    format!("{library},sycamorelink={own},{HTTP_SERVER_DIRECTIVE}")
}

fn print_addresses(context: &mut ShellContext, addresses: DaemonAddresses) -> anyhow::Result<()> {
    let line = ListeningLine {
        event: "listening",
        addresses,
    };
    context.data_line(serde_json::to_string(&line)?)
}

/// Action that a signal requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SignalAction {
    Stop,
    /// Stops the daemon and, during a drain, cuts the drain short.
    Interrupt,
    Reload,
}

struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl ProcessSignals {
    fn open() -> anyhow::Result<Self> {
        let open = |kind| signal(kind).context("could not listen for signals");
        Ok(Self {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            hangup: open(SignalKind::hangup())?,
        })
    }

    async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Interrupt,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }

    /// Waits for SIGINT, which cuts a drain short, and ignores all other signals.
    ///
    /// Process managers may send SIGTERM more than once. A repeated SIGTERM must not cut off
    /// callers whose requests the running drain lets finish.
    async fn wait_for_interrupt(&mut self) {
        while self.next().await != SignalAction::Interrupt {}
    }
}

/// Waits for a signal or an operator to stop the daemon and reloads the settings meanwhile.
async fn wait_for_stop_request(
    handle: &DaemonHandle,
    signals: &mut ProcessSignals,
    reload: &mut SettingsReload<'_>,
) {
    let mut ready = false;
    let mut settings_poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    settings_poll.tick().await;
    loop {
        tokio::select! {
            action = signals.next() => match action {
                SignalAction::Stop | SignalAction::Interrupt => return,
                SignalAction::Reload => reload.read(handle, true),
            },
            _ = settings_poll.tick() => reload.read(handle, false),
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        if handle.is_ready() && !ready {
            emit(EventCode::DaemonReady, &EventFields::new());
        }
        ready = handle.is_ready();
        if handle.drain_requested() {
            return;
        }
    }
}

/// Returns whether the drain completed before its time limit and before an interrupt.
async fn wait_for_drain(
    handle: &DaemonHandle,
    signals: &mut ProcessSignals,
    limit: Duration,
) -> bool {
    let drained = async {
        while !handle.is_drained() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = drained => true,
        () = signals.wait_for_interrupt() => false,
        () = tokio::time::sleep(limit) => false,
    }
}
