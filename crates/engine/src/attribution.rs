//! Attribution of calls to the runs that make them.
//!
//! A backend server calls other services through the node beside it. Such a call has no account key and
//! does not name the run that makes it, but ends at the deadline of that run. The node knows the
//! deadlines of the runs on its own backend servers, so the deadline identifies the run.

use std::time::Duration;

use sycamorelink_core::{CustomerName, ServiceName};
use sycamorelink_limits::WorkId;
use sycamorelink_policy::{OpenWork, PolicyMechanism};

use crate::event::{ArrivalKind, CallerRequest};
use crate::node::NodeEngine;
use crate::request::{WorkPhase, WorkState};

/// Largest difference between the deadlines of a call and of the run that made it. The server gets its
/// time left in whole milliseconds and takes some more to send the call.
const MAX_DEADLINE_DIFFERENCE: Duration = Duration::from_millis(20);

/// What a call takes over from the run that made it.
#[derive(Clone, Debug)]
pub(crate) struct CallingRun {
    /// Account that the run is done for; `None` if unknown.
    pub(crate) account: Option<CustomerName>,
    /// Priority of the run.
    pub(crate) priority: u8,
    /// Time by which the run has its full value, since the start of the node; `None` if its terms are
    /// not known or its route has no objective.
    pub(crate) objective: Option<Duration>,
    /// The run, for the call rates of its kind.
    pub(crate) open: OpenWork,
}

impl CallingRun {
    fn of(state: &WorkState) -> Self {
        let terms = state.offer.terms.as_ref();
        let objective_left = terms.and_then(|terms| terms.objective_left);
        Self {
            account: terms.and_then(|terms| terms.account.clone()),
            priority: state.offer.priority,
            objective: objective_left.map(|left| state.offered + left),
            open: open_work(state),
        }
    }
}

/// Returns a run as the call rates count it.
pub(crate) fn open_work(state: &WorkState) -> OpenWork {
    OpenWork {
        kind: state.offer.kind,
        repeat: state.offer.arrival == ArrivalKind::Repeat,
    }
}

impl NodeEngine {
    /// Returns the run on a local backend server that made a call; `None` if the request is not a call,
    /// or if the run is not known.
    ///
    /// A request with an account key is never a call, and neither is one without a time left. Of several
    /// runs, the one with the nearest deadline counts. At worst, a call gets the account of another run.
    ///
    /// A run does not call its own service. Callers without an account that allow the same time would
    /// otherwise get the account and priority of each other's runs.
    pub(crate) fn calling_run(
        &self,
        now: Duration,
        caller: &CallerRequest,
        service: &ServiceName,
    ) -> Option<CallingRun> {
        if !self.uses_overload_mechanism(PolicyMechanism::FairQueueing)
            || caller.account_key.is_some()
        {
            return None;
        }
        let deadline = now + caller.time_left?;
        let running = self.works.iter();
        let running = running.filter(|(_, state)| {
            state.phase == WorkPhase::Running && state.offer.service != *service
        });
        let near = running.filter_map(|(work, state)| {
            let difference = state.deadline.abs_diff(deadline);
            (difference <= MAX_DEADLINE_DIFFERENCE).then_some((difference, *work))
        });
        let (_, work): (Duration, WorkId) = near.min()?;
        self.works.get(&work).map(CallingRun::of)
    }
}
