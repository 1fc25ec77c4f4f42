//! Retry delays of refused callers, from the free capacity of the service over the fleet.
//!
//! ```text
//! refusal, not run ─ capacity records ─ ReturnPacer ─┬─ in time: a delay of its own
//!                                                    └─ else: `no-capacity`, no delay is promised
//! ```

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{RefusalCode, RequestId, RequestRefusal, RunState};
use sycamorelink_limits::{CallerNeed, ReturnAdvice, ServiceOutlook};
use sycamorelink_policy::PolicyMechanism;

use crate::command::NodeCommand;
use crate::node::NodeEngine;
use crate::note::NodeNote;

/// Delay of a refusal that names none and was not caused by full servers.
const MIN_DELAY: Duration = Duration::from_millis(500);

impl NodeEngine {
    /// Returns the refusal with a retry delay that follows the capacity of the service.
    ///
    /// Only refusals for lack of capacity are changed, and only while capacity records are valid.
    /// A caller whose objective can no longer be met is told so by the code.
    pub(crate) fn pace_return(
        &mut self,
        now: Duration,
        id: RequestId,
        refusal: RequestRefusal,
        out: &mut Vec<NodeCommand>,
    ) -> RequestRefusal {
        let short_of_capacity = matches!(
            refusal.code,
            RefusalCode::Overloaded | RefusalCode::UpstreamSuspect | RefusalCode::RepeatsSpent
        );
        let applies = refusal.run == RunState::NotRun
            && short_of_capacity
            && self.uses_overload_mechanism(PolicyMechanism::PacedReturns);
        let Some(state) = self.requests.get(&id).filter(|_| applies) else {
            return refusal;
        };
        let service = state.rule.service.clone();
        let label = Arc::clone(&state.caller.label);
        let objective = state.rule.objective;
        let objective = objective.map(|objective| state.arrived + objective.latency);
        let need = CallerNeed {
            objective_left: objective.map(|at| at.saturating_sub(now)),
            time_left: state.deadline.saturating_sub(now),
        };
        let table = self.capacity.tables.get(&service);
        let Some(capacity) = table.and_then(|table| table.service_capacity(now)) else {
            return refusal;
        };
        let members = u32::try_from(self.roster.member_count()).unwrap_or(u32::MAX);
        let outlook = ServiceOutlook {
            backlog: capacity.wait,
            rate: capacity.rate,
            refusing_nodes: members,
            run_time: capacity.run,
        };
        let pacer = self.return_pacers.entry(service.clone()).or_default();
        let advice = pacer.next(now, &outlook, need);
        out.push(NodeCommand::Note(NodeNote::ReturnAdvised {
            request: label,
            service,
            advice,
            outlook,
        }));
        match advice {
            ReturnAdvice::After(delay) => {
                // Suspect servers and spent repeats need their time even while slots are free.
                let least = refusal.retry_after.unwrap_or(MIN_DELAY);
                let least = match refusal.code {
                    RefusalCode::Overloaded => Duration::ZERO,
                    _ => least,
                };
                refusal.retry_after(delay.max(least))
            }
            ReturnAdvice::Late(_) | ReturnAdvice::Never => {
                RequestRefusal::not_run(RefusalCode::NoCapacity)
            }
        }
    }
}
