//! Shared state of a backend stand-in.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde::Serialize;
use tokio::sync::{Semaphore, mpsc, watch};

use super::{BackendFault, BackendPhase, BackendSettings, ColdStart, RunReport};
use crate::server::ServerCommand;

const SERVER_LIMIT: HeaderName = HeaderName::from_static("x-backend-limit");
const SERVER_LEAVING: HeaderName = HeaderName::from_static("x-backend-leaving");

/// Body of the reply to `GET /load`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct LoadReply {
    pub(super) in_use: u32,
    pub(super) queued: u32,
    pub(super) slots: u16,
}

/// Reply to the most recent request, kept for the `wrong-reply` fault.
#[derive(Clone, Debug, Default)]
pub(super) struct PreviousReply {
    pub(super) request: Option<String>,
    pub(super) body: Bytes,
}

#[derive(Debug)]
struct StateInner {
    fault: BackendFault,
    cold: Option<(ColdStart, Instant)>,
    limit: Option<f64>,
    rng: SmallRng,
    runs: RunReport,
    reported_load: (LoadReply, Instant),
    pending_load: LoadReply,
    previous: PreviousReply,
}

/// State that all connections of a backend stand-in share.
#[derive(Debug)]
pub(super) struct BackendState {
    pub(super) settings: Arc<BackendSettings>,
    pub(super) slots: Semaphore,
    pub(super) queued: AtomicU32,
    phase: Mutex<Option<watch::Sender<BackendPhase>>>,
    commands: mpsc::UnboundedSender<ServerCommand>,
    inner: Mutex<StateInner>,
}

impl BackendState {
    pub(super) fn new(
        settings: Arc<BackendSettings>,
        phase: watch::Sender<BackendPhase>,
        commands: mpsc::UnboundedSender<ServerCommand>,
    ) -> Self {
        let now = Instant::now();
        let inner = StateInner {
            fault: BackendFault::Healthy,
            cold: settings.cold_start.map(|cold| (cold, now)),
            limit: settings.limit,
            rng: SmallRng::seed_from_u64(settings.seed),
            runs: RunReport::default(),
            reported_load: (LoadReply::default(), now),
            pending_load: LoadReply::default(),
            previous: PreviousReply::default(),
        };
        Self {
            slots: Semaphore::new(usize::from(settings.slots)),
            settings,
            queued: AtomicU32::new(0),
            phase: Mutex::new(Some(phase)),
            commands,
            inner: Mutex::new(inner),
        }
    }

    fn inner(&self) -> MutexGuard<'_, StateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn phase_sender(&self) -> MutexGuard<'_, Option<watch::Sender<BackendPhase>>> {
        self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_fault(&self, fault: BackendFault) {
        self.inner().fault = fault;
    }

    pub(super) fn fault(&self) -> BackendFault {
        self.inner().fault.clone()
    }

    pub(super) fn set_phase(&self, phase: BackendPhase) {
        if let Some(sender) = self.phase_sender().as_ref() {
            sender.send_replace(phase);
        }
    }

    /// Closes the phase channel, which makes the announcing task withdraw the announcement.
    pub(super) fn stop_announcing(&self) {
        self.phase_sender().take();
    }

    pub(super) fn set_cold_start(&self, cold: ColdStart) {
        self.inner().cold = Some((cold, Instant::now()));
    }

    pub(super) fn set_limit(&self, limit: Option<f64>) {
        self.inner().limit = limit;
    }

    /// Adds the headers in which the server names its limit and reports that it is leaving.
    pub(super) fn insert_notices(&self, headers: &mut HeaderMap) {
        let limit = self.inner().limit.map(|limit| limit.to_string());
        if let Some(value) = limit.and_then(|limit| HeaderValue::from_str(&limit).ok()) {
            headers.insert(SERVER_LIMIT, value);
        }
        let phase = self.phase_sender().as_ref().map(|phase| *phase.borrow());
        if phase == Some(BackendPhase::Leaving) {
            headers.insert(SERVER_LEAVING, HeaderValue::from_static("1"));
        }
    }

    pub(super) fn runs(&self) -> RunReport {
        self.inner().runs.clone()
    }

    pub(super) fn update_runs<F>(&self, change: F)
    where
        F: FnOnce(&mut RunReport),
    {
        change(&mut self.inner().runs);
    }

    pub(super) fn replace_previous(&self, latest: PreviousReply) -> PreviousReply {
        std::mem::replace(&mut self.inner().previous, latest)
    }

    pub(super) fn crash(&self, down_for: Duration) {
        let restart_after = (!self.settings.crash_ends).then_some(down_for);
        let _ = self.commands.send(ServerCommand::Crash(restart_after));
    }

    /// Draws whether the `fail` fault applies to a request.
    pub(super) fn sample_failure(&self, share: f64) -> bool {
        self.inner().rng.random_bool(share.clamp(0.0, 1.0))
    }

    /// Draws a service time and applies the cold start and the `slow` fault.
    pub(super) fn sample_service_time(&self) -> Duration {
        let mut inner = self.inner();
        let mean = self.settings.service_time.as_secs_f64();
        let sigma = self.settings.sigma.max(0.0);
        let sampled = if mean > 0.0 && sigma > 0.0 {
            // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
            let mu = mean.ln() - sigma * sigma / 2.0;
            LogNormal::new(mu, sigma)
                .map_or(mean, |distribution| distribution.sample(&mut inner.rng))
        } else {
            mean
        };
        let factor = cold_factor(inner.cold) * slow_factor(&inner.fault);
        Duration::try_from_secs_f64(sampled * factor).unwrap_or(self.settings.service_time)
    }

    /// Returns a load that was sampled at least `load_lag` ago.
    pub(super) fn delayed_load(&self) -> LoadReply {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        let current = LoadReply {
            in_use: u32::from(self.settings.slots).saturating_sub(free),
            queued: self.queued.load(Ordering::Relaxed),
            slots: self.settings.slots,
        };
        let mut inner = self.inner();
        if inner.reported_load.1.elapsed() >= self.settings.load_lag {
            inner.reported_load = (inner.pending_load, Instant::now());
            inner.pending_load = current;
        }
        LoadReply {
            slots: self.settings.slots,
            ..inner.reported_load.0
        }
    }
}

fn cold_factor(cold: Option<(ColdStart, Instant)>) -> f64 {
    let Some((cold, since)) = cold else {
        return 1.0;
    };
    let elapsed = since.elapsed().as_secs_f64();
    let warm_after = cold.warm_after.as_secs_f64();
    if elapsed >= warm_after {
        return 1.0;
    }
    cold.factor + (1.0 - cold.factor) * elapsed / warm_after
}

fn slow_factor(fault: &BackendFault) -> f64 {
    match fault {
        BackendFault::Slow { factor } => factor.max(0.0),
        _ => 1.0,
    }
}
