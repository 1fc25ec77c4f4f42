//! Classification of finished requests by outcome.

use std::time::Duration;

use sycamorelink_core::{RefusalCode, RequestRefusal, RunState};

use super::{BurnObjective, BurnOutcome};

/// Lowest HTTP status that counts as a failure of the backend server.
const FIRST_SERVER_ERROR: u16 = 500;

/// End of a request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete reply of a backend server with this HTTP status.
    Reply(u16),
    /// A refusal by a daemon of the fleet.
    Refusal(RequestRefusal),
}

impl BurnObjective {
    /// Returns the outcome of a request that ended `latency` after it arrived, or `None` when it is
    /// not counted.
    ///
    /// Refusals that the caller caused, such as for a malformed request or one over the limits of
    /// its contract, are not counted. A request whose caller disconnected counts as late once the
    /// latency of the objective had passed; otherwise a service would look healthy because its
    /// callers give up before the slow replies arrive.
    #[must_use]
    pub fn classify(&self, latency: Duration, end: &RequestEnd) -> Option<BurnOutcome> {
        let late = latency > self.latency;
        match end {
            RequestEnd::Reply(status) if *status >= FIRST_SERVER_ERROR => Some(BurnOutcome::Failed),
            RequestEnd::Reply(_) if late => Some(BurnOutcome::Late),
            RequestEnd::Reply(_) => Some(BurnOutcome::Good),
            RequestEnd::Refusal(refusal) => classify_refusal(refusal, late),
        }
    }
}

fn classify_refusal(refusal: &RequestRefusal, late: bool) -> Option<BurnOutcome> {
    match refusal.code {
        RefusalCode::CallerGone => late.then_some(BurnOutcome::Late),
        RefusalCode::ReplyRejected => Some(BurnOutcome::Wrong),
        _ if refusal.run == RunState::Unknown => Some(BurnOutcome::Unknown),
        RefusalCode::DeadlineExceeded => Some(BurnOutcome::Late),
        RefusalCode::UpstreamFailed | RefusalCode::CrashRequest => Some(BurnOutcome::Failed),
        RefusalCode::Overloaded
        | RefusalCode::NoUpstream
        | RefusalCode::UpstreamSuspect
        | RefusalCode::RepeatsSpent
        | RefusalCode::NoCapacity
        | RefusalCode::Draining
        | RefusalCode::NotReady
        | RefusalCode::GuardsUnreachable => Some(BurnOutcome::Refused),
        RefusalCode::BadRequest
        | RefusalCode::UnknownCustomer
        | RefusalCode::UnknownRoute
        | RefusalCode::KeyRequired
        | RefusalCode::KeyForm
        | RefusalCode::KeyReused
        | RefusalCode::KeyExpired
        | RefusalCode::KeyBusy
        | RefusalCode::BodyTooLarge
        | RefusalCode::HeadersTooLarge
        | RefusalCode::LimitExceeded => None,
    }
}
