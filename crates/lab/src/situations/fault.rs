//! Definitions of the situations: faults, their scope and their timing.

use std::time::Duration;

/// Fault of a backend server that still answers health checks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerFault {
    /// A share of requests is slower by a factor.
    Slow {
        /// Factor on the service time.
        factor: f64,
        /// Share of affected requests, from 0 to 1.
        share: f64,
    },
    /// This share of requests ends in a server error.
    Failing(f64),
    /// This share of replies is truncated or mismatched.
    Wrong(f64),
    /// No request is ever answered.
    Silent,
    /// The service time grows linearly, up to this factor at the end of the fault.
    Worsening(f64),
}

/// Set of upstreams that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// One upstream.
    One,
    /// Half of the upstreams, rounded down.
    Half,
    /// All upstreams.
    All,
    /// All upstreams of one failure domain.
    Domain,
}

/// Event that a situation injects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SituationEvent {
    /// No event; only the ordinary noise of healthy backend servers.
    Nothing,
    /// Backend servers fail while their health checks still succeed.
    Gray {
        /// Kind of fault.
        fault: ServerFault,
        /// Affected upstreams.
        scope: FaultScope,
    },
    /// One backend server alternates between faulty and healthy, for half of the period each.
    Flapping {
        /// Kind of fault in the faulty half.
        fault: ServerFault,
        /// Length of one faulty and one healthy half together.
        period: Duration,
    },
    /// One daemon receives nothing from the others, while they still receive its messages.
    ObserverCut,
    /// Ten connections, each between one daemon and one upstream, stop delivering until they are
    /// replaced.
    SilentConnections,
    /// A request that crashes each backend server that runs it; it is sent once and may be retried.
    CrashRequest,
    /// The request rate grows by a factor.
    Burst {
        /// Factor on the request rate.
        factor: f64,
        /// Whether callers resend failed requests, up to three times.
        resend: bool,
    },
    /// A third of the upstreams restart at the same time with cold caches.
    ColdRestart,
}

/// Situation with its timing.
#[derive(Clone, Copy, Debug)]
pub struct SituationPlan {
    /// Name in the table.
    pub name: &'static str,
    /// Event that is injected at the trigger.
    pub event: SituationEvent,
    /// Time for which the event lasts.
    pub duration: Duration,
    /// Simulated time after the event has ended.
    pub cooldown: Duration,
}

impl SituationPlan {
    /// Returns the number of runs of a row: `wanted` for situations shorter than two minutes, fewer
    /// for longer ones.
    #[must_use]
    pub fn runs(&self, wanted: usize) -> usize {
        let minutes = usize::try_from(self.duration.as_secs() / 60).unwrap_or(0);
        wanted.div_ceil(minutes.clamp(1, 20))
    }
}

const fn gray(name: &'static str, fault: ServerFault, scope: FaultScope) -> SituationPlan {
    SituationPlan {
        name,
        event: SituationEvent::Gray { fault, scope },
        duration: Duration::from_secs(30),
        cooldown: Duration::from_secs(10),
    }
}

const fn slow(factor: f64, share: f64) -> ServerFault {
    ServerFault::Slow { factor, share }
}

const fn flapping(name: &'static str, period: u64, duration: u64) -> SituationPlan {
    SituationPlan {
        name,
        event: SituationEvent::Flapping {
            fault: ServerFault::Failing(0.5),
            period: Duration::from_secs(period),
        },
        duration: Duration::from_secs(duration),
        cooldown: Duration::from_secs(10),
    }
}

const fn other(name: &'static str, event: SituationEvent, duration: u64) -> SituationPlan {
    SituationPlan {
        name,
        event,
        duration: Duration::from_secs(duration),
        cooldown: Duration::from_secs(15),
    }
}

/// All situations, in the order of the table.
pub const SITUATIONS: [SituationPlan; 27] = [
    other("healthy", SituationEvent::Nothing, 60),
    gray("one-slow-3x", slow(3.0, 1.0), FaultScope::One),
    gray("one-slow-10x", slow(10.0, 1.0), FaultScope::One),
    gray("one-third-slow", slow(10.0, 0.334), FaultScope::One),
    gray("one-failing-5", ServerFault::Failing(0.05), FaultScope::One),
    gray("one-failing-20", ServerFault::Failing(0.2), FaultScope::One),
    gray("one-failing-50", ServerFault::Failing(0.5), FaultScope::One),
    gray("one-wrong-20", ServerFault::Wrong(0.2), FaultScope::One),
    gray("one-silent", ServerFault::Silent, FaultScope::One),
    gray(
        "one-worsening",
        ServerFault::Worsening(10.0),
        FaultScope::One,
    ),
    flapping("flapping-1s", 1, 40),
    flapping("flapping-10s", 10, 60),
    flapping("flapping-60s", 60, 240),
    flapping("flapping-5m", 300, 900),
    gray("half-slow-10x", slow(10.0, 1.0), FaultScope::Half),
    gray(
        "half-failing-50",
        ServerFault::Failing(0.5),
        FaultScope::Half,
    ),
    gray("all-slow-3x", slow(3.0, 1.0), FaultScope::All),
    gray("all-failing-50", ServerFault::Failing(0.5), FaultScope::All),
    gray(
        "domain-failing-50",
        ServerFault::Failing(0.5),
        FaultScope::Domain,
    ),
    gray("domain-silent", ServerFault::Silent, FaultScope::Domain),
    other("observer-cut", SituationEvent::ObserverCut, 30),
    other("silent-connections", SituationEvent::SilentConnections, 30),
    other("crash-request", SituationEvent::CrashRequest, 30),
    other(
        "burst-3x",
        SituationEvent::Burst {
            factor: 3.0,
            resend: false,
        },
        20,
    ),
    other(
        "retry-storm",
        SituationEvent::Burst {
            factor: 2.0,
            resend: true,
        },
        10,
    ),
    other("cold-restart", SituationEvent::ColdRestart, 30),
    other("healthy-long", SituationEvent::Nothing, 3_600),
];
