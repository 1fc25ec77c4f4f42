//! Service-level objectives of the contracts in force.

use std::collections::BTreeMap;

use sycamorelink_contract::RouteTable;
use sycamorelink_core::{CustomerName, ServiceName};
use sycamorelink_telemetry::BurnObjective;
use sycamorelink_telemetry::burn::{ObjectiveSource, ObjectiveTerm};

/// Objectives by customer and service.
#[derive(Debug, Default)]
pub(super) struct ObjectiveTable(BTreeMap<CustomerName, BTreeMap<ServiceName, ObjectiveTerm>>);

impl ObjectiveTable {
    pub(super) fn of(table: &RouteTable) -> Self {
        let mut objectives = Self::default();
        for (index, rule) in table.customers() {
            for route in table.routes(index) {
                let Some(objective) = route.objective else {
                    continue;
                };
                let objective = BurnObjective {
                    latency: objective.latency,
                    success: objective.success,
                    window: objective.window,
                };
                let term = ObjectiveTerm {
                    objective,
                    version: rule.version.0,
                };
                let services = objectives.0.entry(rule.customer.clone()).or_default();
                services.insert(route.service.clone(), term);
            }
        }
        objectives
    }
}

impl ObjectiveSource for ObjectiveTable {
    fn objective(&self, customer: &CustomerName, service: &ServiceName) -> Option<ObjectiveTerm> {
        self.0.get(customer)?.get(service).copied()
    }
}
