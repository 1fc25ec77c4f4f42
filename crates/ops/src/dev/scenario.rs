//! Scripted faults and drains of a `dev` session.

use std::time::Duration;

use sycamorelink_standin::BackendFault;

/// One step of the scenario.
#[derive(Clone, Debug)]
pub struct ScenarioStep {
    /// Time of the step, as a fraction of the duration of the scenario.
    pub at: f64,
    /// Instance that the step acts on.
    pub instance: &'static str,
    /// Action of the step.
    pub action: ScenarioAction,
    /// Text for the timeline.
    pub text: &'static str,
}

/// Action on an instance.
#[derive(Clone, Debug)]
pub enum ScenarioAction {
    /// Sets the fault of the backend server.
    Fault {
        /// Fault to inject, or [`BackendFault::Healthy`] to end the current one.
        fault: BackendFault,
        /// Label of the fault for tables; empty for [`BackendFault::Healthy`].
        label: &'static str,
    },
    /// Drains the daemon.
    Drain,
}

/// Factor by which the slow backend server becomes slower.
const SLOW_FACTOR: f64 = 12.0;
/// Fraction of calls that the failing backend server fails.
const FAIL_SHARE: f64 = 0.4;

/// Returns the steps of the scenario in chronological order.
#[must_use]
pub fn scenario_steps() -> Vec<ScenarioStep> {
    let fault = |fault, label| ScenarioAction::Fault { fault, label };
    vec![
        ScenarioStep {
            at: 0.20,
            instance: "orders-2",
            action: fault(
                BackendFault::Slow {
                    factor: SLOW_FACTOR,
                },
                "12x slower",
            ),
            text: "becomes 12 times slower; its health endpoint goes on saying healthy",
        },
        ScenarioStep {
            at: 0.45,
            instance: "broker-1",
            action: fault(BackendFault::Fail { share: FAIL_SHARE }, "fails 40%"),
            text: "fails 40% of its calls; its health endpoint goes on saying healthy",
        },
        ScenarioStep {
            at: 0.60,
            instance: "orders-2",
            action: fault(BackendFault::Healthy, ""),
            text: "is healthy again",
        },
        ScenarioStep {
            at: 0.75,
            instance: "broker-1",
            action: fault(BackendFault::Healthy, ""),
            text: "is healthy again",
        },
        ScenarioStep {
            at: 0.85,
            instance: "orders-4",
            action: ScenarioAction::Drain,
            text: "is drained: its daemon and its backend server leave",
        },
    ]
}

/// Removes the due steps from the front of the list and returns them.
pub(super) fn take_due_steps(
    steps: &mut Vec<ScenarioStep>,
    now: Duration,
    length: Duration,
) -> Vec<ScenarioStep> {
    let due = |step: &ScenarioStep| length.mul_f64(step.at) <= now;
    let count = steps.iter().take_while(|step| due(step)).count();
    steps.drain(..count).collect()
}
