//! Budgets of a customer for retries and hedges at one service.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{RefusalCode, RequestId, RunState};
use sycamorelink_limits::{BudgetSettings, CustomerIndex, RetryBudget};
use sycamorelink_policy::SampleKind;

use crate::command::NodeCommand;
use crate::event::AttemptReport;
use crate::node::{CustomerBudgets, NodeEngine};
use crate::note::NodeNote;
use crate::request::RequestState;

/// Number of further nodes that are asked for a repeat after one refused it: each has its own part
/// of the bound, and the parts are not used up at the same time.
const MAX_REPEAT_REFUSALS: u16 = 2;

impl NodeEngine {
    /// Returns whether a retry may be made. Retrying an attempt that no executor accepted loads no
    /// backend server and costs nothing: the executor was gone or leaving, and the attempts of a
    /// request are few.
    pub(crate) fn may_retry(
        &mut self,
        now: Duration,
        id: RequestId,
        report: &AttemptReport,
        out: &mut Vec<NodeCommand>,
    ) -> bool {
        let absent = matches!(
            report.code,
            None | Some(
                RefusalCode::NoUpstream | RefusalCode::Draining | RefusalCode::UpstreamSuspect
            )
        );
        // Under a fleet contract a refusal by the executor costs nothing: the budget limits what
        // reaches backend servers, and the attempts of a request are few.
        let refused = self.uses_fleet_contract() && report.code == Some(RefusalCode::Overloaded);
        if report.run == RunState::NotRun && (absent || refused) {
            return true;
        }
        if self.counts_repeats_at_executor() {
            // The executor of a backend server counts the work that it forwards, and refuses a
            // repeat that exceeds the bound. A repeat refused for that reason is tried elsewhere.
            let Some(state) = self.requests.get(&id) else {
                return false;
            };
            return state.repeats_refused <= MAX_REPEAT_REFUSALS;
        }
        let declined = report.run == RunState::NotRun && report.kind == SampleKind::Refused;
        if self.uses_fleet_contract() && declined {
            // A resend follows a send that no backend server ran, so it repeats no calls of that
            // server and has a budget separate from that of repeats.
            return self.withdraw_from(now, id, |pair| &mut pair.resends, out);
        }
        self.withdraw_retry(now, id, out)
    }

    /// Withdraws one retry from the budget. A refusal by an executor costs nothing at a backend
    /// server, yet counts: under overload every upstream refuses, and unbounded retries would
    /// multiply the load on the daemons.
    pub(crate) fn withdraw_retry(
        &mut self,
        now: Duration,
        id: RequestId,
        out: &mut Vec<NodeCommand>,
    ) -> bool {
        self.withdraw_from(now, id, |pair| &mut pair.retries, out)
    }

    /// Withdraws one attempt from the selected budget, or reports that the budget is exhausted.
    fn withdraw_from(
        &mut self,
        now: Duration,
        id: RequestId,
        choose: fn(&mut CustomerBudgets) -> &mut RetryBudget,
        out: &mut Vec<NodeCommand>,
    ) -> bool {
        let part = self.retry_part(now);
        let Some(state) = self.requests.get(&id) else {
            return false;
        };
        let budget = choose(budget_entry(&mut self.budgets, state));
        budget.set_part(part);
        if budget.withdraw(now) {
            return true;
        }
        out.push(NodeCommand::Note(NodeNote::RetryBudgetSpent {
            request: Arc::clone(&state.caller.label),
            customer: state.terms().customer.clone(),
            service: state.rule.service.clone(),
        }));
        false
    }
}

pub(crate) fn budget_entry<'a>(
    budgets: &'a mut std::collections::BTreeMap<
        (CustomerIndex, sycamorelink_core::ServiceName),
        CustomerBudgets,
    >,
    state: &RequestState,
) -> &'a mut CustomerBudgets {
    let key = (state.customer, state.rule.service.clone());
    budgets.entry(key).or_insert_with(|| {
        let terms = &state.rule.terms;
        let retries = BudgetSettings {
            percent: share_to_percent(terms.retry_budget.share),
            minimum_per_second: round_to_u32(terms.retry_budget.min_per_second),
            ..BudgetSettings::default()
        };
        let hedges = BudgetSettings {
            percent: share_to_percent(terms.hedge_budget.share),
            minimum_per_second: 0,
            ..BudgetSettings::default()
        };
        // Repeats and resends each get the whole share of the contract, so the share must be set
        // with the sum of both in mind.
        let resends = BudgetSettings {
            minimum_per_second: 0,
            ..retries.clone()
        };
        CustomerBudgets {
            retries: RetryBudget::new(&retries),
            resends: RetryBudget::new(&resends),
            hedges: RetryBudget::new(&hedges),
        }
    })
}

pub(crate) fn share_to_percent(share: f64) -> u32 {
    round_to_u32(share * 100.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "contracts hold small positive numbers only"
)]
fn round_to_u32(value: f64) -> u32 {
    value.round().clamp(0.0, 1e6) as u32
}
