//! Switches of overload control.
//!
//! Overload control takes effect under a fleet contract with a route whose latency objective is at
//! least [`OverloadSettings::objective_from`](sycamorelink_limits::OverloadSettings). The decision
//! covers the whole contract, since routes of different objectives share the same backend servers.

use std::time::Duration;

use sycamorelink_contract::FleetContract;
use sycamorelink_policy::PolicyMechanism;

use crate::node::NodeEngine;

/// Returns the longest latency objective of the routes; zero without routes.
pub(crate) fn longest_objective(contract: &FleetContract) -> Duration {
    let objectives = contract.routes.iter().map(|route| route.objective);
    objectives.max().unwrap_or_default()
}

impl NodeEngine {
    /// Returns whether overload control applies to the contract in force.
    pub(crate) fn controls_overload(&self) -> bool {
        let from = self.settings.overload.objective_from;
        self.uses_fleet_contract() && from.is_some_and(|from| self.fleet.longest_objective >= from)
    }

    /// Returns whether one mechanism of overload control applies.
    pub(crate) fn uses_overload_mechanism(&self, mechanism: PolicyMechanism) -> bool {
        self.controls_overload() && self.settings.policy.is_on(mechanism)
    }
}
