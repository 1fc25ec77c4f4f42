//! What the end of a request counts as.

use std::time::Duration;

use sycamorelink_core::{RefusalCode, RequestRefusal, RunState};

use super::{BurnObjective, BurnOutcome};

/// First status of a reply that says that the backend server failed.
const FIRST_FAILURE: u16 = 500;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With a whole reply of a backend server, of this HTTP status.
    Reply(u16),
    /// With a refusal of the fleet.
    Refusal(RequestRefusal),
}

impl BurnObjective {
    /// What a request counts as that ended `latency` after it came. None when the caller brought
    /// the end about: nobody's budget burns for a malformed request or one over the contract.
    ///
    /// A caller that went away counts as late once the objective's latency had passed.
    /// Failure: replies take so long that callers give up. Symptom: without those requests a
    /// service looks well because nobody waits for it. The wait is known, so it can be judged.
    #[must_use]
    pub fn judge(&self, latency: Duration, end: &RequestEnd) -> Option<BurnOutcome> {
        let late = latency > self.latency;
        match end {
            RequestEnd::Reply(status) if *status >= FIRST_FAILURE => Some(BurnOutcome::Failed),
            RequestEnd::Reply(_) if late => Some(BurnOutcome::Late),
            RequestEnd::Reply(_) => Some(BurnOutcome::Good),
            RequestEnd::Refusal(refusal) => of_refusal(refusal, late),
        }
    }
}

fn of_refusal(refusal: &RequestRefusal, late: bool) -> Option<BurnOutcome> {
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
