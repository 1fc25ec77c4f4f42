//! Simulated callers of the development fleet.
//!
//! Calls arrive at a constant rate regardless of how the fleet responds, and go to any daemon.
//! Calls that must run at most once carry an idempotency key. Their caller resends the key through
//! another daemon if it got no answer or the status "unknown", and sometimes even after an answer,
//! so that duplicate suppression is exercised.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use sycamorelink_core::{RefusalCode, RunState};
use uuid::Uuid;

use super::plan::{CallPlan, SERVICES, ServicePlan};
use super::runtime::RuntimeThread;
use super::stats::{CallOutcome, KeyStatus, TrafficStats};

/// Timeout of a caller.
const CALLER_TIMEOUT: Duration = Duration::from_secs(12);
/// Maximum number of sends of one key.
const MAX_SENDS: u32 = 3;
/// Fraction of the answered keys that are resent.
const RESEND_SHARE: f64 = 0.2;
/// Response header that states whether the request ran.
const RUN_HEADER: &str = "sycamorelink-run";
/// Refusal code of a draining daemon.
const DRAINING_CODE: &str = RefusalCode::Draining.as_str();
/// Base seed of the random choices of callers.
const CALLER_SEED: u64 = 7;

/// Running callers of all services.
pub(super) struct DevTraffic {
    shared: Arc<TrafficShared>,
    _runtime: RuntimeThread,
}

struct TrafficShared {
    client: Client<HttpConnector, Full<Bytes>>,
    daemons: Vec<SocketAddr>,
    stats: Arc<TrafficStats>,
    stopped: AtomicBool,
    number: AtomicU64,
    in_flight: AtomicU64,
}

/// One call of a caller.
struct CallerCall {
    plan: &'static ServicePlan,
    path: String,
    key: Option<String>,
}

/// Field of a stand-in's reply that identifies the call.
#[derive(Deserialize)]
struct ReplyBody {
    path: String,
}

/// Field of a refusal that states its reason.
#[derive(Default, Deserialize)]
struct RefusalBody {
    code: String,
}

impl DevTraffic {
    /// Starts the callers of every service.
    pub(super) fn start(
        daemons: Vec<SocketAddr>,
        stats: Arc<TrafficStats>,
    ) -> anyhow::Result<Self> {
        let runtime = RuntimeThread::start("callers")?;
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build_http();
        let shared = Arc::new(TrafficShared {
            client,
            daemons,
            stats,
            stopped: AtomicBool::new(false),
            number: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
        });
        for plan in &SERVICES {
            runtime.spawn(generate_calls(Arc::clone(&shared), plan, plan.reads, false));
            runtime.spawn(generate_calls(Arc::clone(&shared), plan, plan.writes, true));
        }
        Ok(Self {
            shared,
            _runtime: runtime,
        })
    }

    /// Stops the arrival of new calls.
    pub(super) fn stop(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns the number of calls that have not ended.
    pub(super) fn in_flight(&self) -> u64 {
        self.shared.in_flight.load(Ordering::SeqCst)
    }
}

async fn generate_calls(
    shared: Arc<TrafficShared>,
    plan: &'static ServicePlan,
    calls: CallPlan,
    at_most_once: bool,
) {
    let pause = Duration::from_secs_f64(1.0 / calls.rate);
    let mut ticks = tokio::time::interval(pause);
    loop {
        ticks.tick().await;
        // Count the call before checking the flag. Otherwise a call that arrives during `stop`
        // could be missed by the wait for the last call and be reported as unfinished.
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        if shared.stopped.load(Ordering::SeqCst) {
            shared.in_flight.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        let number = shared.number.fetch_add(1, Ordering::Relaxed);
        let call = CallerCall {
            plan,
            path: format!("{}{number}", calls.path),
            key: at_most_once.then(|| Uuid::now_v7().to_string()),
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            make_call(&shared, &call, number).await;
            shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn make_call(shared: &TrafficShared, call: &CallerCall, number: u64) {
    let mut random = SmallRng::seed_from_u64(CALLER_SEED.wrapping_add(number));
    let mut daemon = pick_daemon(shared, None, &mut random);
    let started = Instant::now();
    let outcome = send_with_failover(shared, call, daemon, &mut random).await;
    let mut status = key_status(&outcome);
    shared
        .stats
        .record(call.plan.service, outcome, started.elapsed());
    let Some(key) = &call.key else {
        return;
    };
    shared.stats.record_status(key, status);
    for _ in 1..MAX_SENDS {
        let resend = match status {
            KeyStatus::Ran => random.random_bool(RESEND_SHARE),
            KeyStatus::NotRun => false,
            KeyStatus::Unknown => true,
        };
        if !resend {
            return;
        }
        daemon = pick_daemon(shared, Some(daemon), &mut random);
        shared.stats.record_resend();
        let resend_status =
            key_status(&send_with_failover(shared, call, daemon, &mut random).await);
        // "Not run" in reply to a resend refers to that send only and does not replace the status
        // of the first send.
        if resend_status == KeyStatus::NotRun {
            return;
        }
        status = resend_status;
        shared.stats.record_status(key, status);
    }
}

fn key_status(outcome: &CallOutcome) -> KeyStatus {
    match outcome {
        CallOutcome::Answered | CallOutcome::Failed | CallOutcome::Refused(RunState::Ran, _) => {
            KeyStatus::Ran
        }
        CallOutcome::Refused(RunState::NotRun, _) => KeyStatus::NotRun,
        CallOutcome::Mismatched
        | CallOutcome::Refused(RunState::Unknown, _)
        | CallOutcome::Lost => KeyStatus::Unknown,
    }
}

fn pick_daemon(
    shared: &TrafficShared,
    last: Option<SocketAddr>,
    random: &mut SmallRng,
) -> SocketAddr {
    let others: Vec<SocketAddr> = shared
        .daemons
        .iter()
        .copied()
        .filter(|daemon| Some(*daemon) != last)
        .collect();
    let chosen = others.choose(random).copied();
    chosen.or(last).unwrap_or(shared.daemons[0])
}

/// Sends a call, and once more to another daemon if the first one refuses because it is draining,
/// as a load balancer would.
async fn send_with_failover(
    shared: &TrafficShared,
    call: &CallerCall,
    daemon: SocketAddr,
    random: &mut SmallRng,
) -> CallOutcome {
    let outcome = send_to(shared, call, daemon).await;
    match &outcome {
        CallOutcome::Refused(RunState::NotRun, code) if code == DRAINING_CODE => {
            let other = pick_daemon(shared, Some(daemon), random);
            send_to(shared, call, other).await
        }
        _ => outcome,
    }
}

async fn send_to(shared: &TrafficShared, call: &CallerCall, daemon: SocketAddr) -> CallOutcome {
    let Ok(request) = build_request(call, daemon) else {
        return CallOutcome::Lost;
    };
    let exchange = async {
        let response = shared.client.request(request).await.ok()?;
        read_outcome(call, response).await
    };
    let outcome = tokio::time::timeout(CALLER_TIMEOUT, exchange).await;
    outcome.ok().flatten().unwrap_or_else(|| {
        let path = &call.path;
        shared.stats.record_lost(format!("{path} through {daemon}"));
        CallOutcome::Lost
    })
}

fn build_request(call: &CallerCall, daemon: SocketAddr) -> http::Result<Request<Full<Bytes>>> {
    let uri = format!("http://{daemon}{}", call.path);
    let token = format!("Bearer {}", call.plan.token);
    let request = Request::builder()
        .uri(uri)
        .header(header::AUTHORIZATION, token);
    match &call.key {
        Some(key) => request
            .method(Method::POST)
            .header("idempotency-key", key)
            .body(Full::new(Bytes::from_static(b"{\"bags\":40}"))),
        None => request.body(Full::default()),
    }
}

async fn read_outcome(call: &CallerCall, response: Response<Incoming>) -> Option<CallOutcome> {
    let (parts, body) = response.into_parts();
    let run = parts.headers.get(RUN_HEADER);
    let run = match run.and_then(|value| value.to_str().ok()) {
        Some("ran") => RunState::Ran,
        Some("not-run") => RunState::NotRun,
        _ => RunState::Unknown,
    };
    let body = body.collect().await.ok()?.to_bytes();
    if parts.status.is_success() {
        let reply: Option<ReplyBody> = serde_json::from_slice(&body).ok();
        let matches_call = reply.is_some_and(|reply| reply.path == call.path);
        return Some(if matches_call {
            CallOutcome::Answered
        } else {
            CallOutcome::Mismatched
        });
    }
    if run == RunState::Ran {
        return Some(CallOutcome::Failed);
    }
    let refusal: RefusalBody = serde_json::from_slice(&body).unwrap_or_default();
    Some(CallOutcome::Refused(run, refusal.code))
}
