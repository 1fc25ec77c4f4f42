//! Layout of the development fleet: services, call rates and contracts.

use std::time::Duration;

use sycamorelink_contract::{CustomerContract, samples};

/// One service of the development fleet.
#[derive(Clone, Copy, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub service: &'static str,
    /// Customer that calls the service.
    pub customer: &'static str,
    /// Token of the customer's callers.
    pub token: &'static str,
    /// Number of instances, each with one daemon and one backend server.
    pub instances: usize,
    /// Number of failure domains that the instances are spread over.
    pub domains: usize,
    /// Mean run time of a request at a backend server.
    pub service_time: Duration,
    /// Idempotent calls.
    pub reads: CallPlan,
    /// Calls that must run at most once, each with an idempotency key.
    pub writes: CallPlan,
}

/// One kind of call.
#[derive(Clone, Copy, Debug)]
pub struct CallPlan {
    /// Name of the kind of call, for readers of the plan.
    pub name: &'static str,
    /// Path prefix, to which the number of the call is appended.
    pub path: &'static str,
    /// Calls per second.
    pub rate: f64,
}

/// Services of the development fleet.
pub const SERVICES: [ServicePlan; 2] = [
    ServicePlan {
        service: "orders",
        customer: "brannock",
        token: samples::BRANNOCK_TOKEN,
        instances: 4,
        domains: 4,
        service_time: Duration::from_millis(20),
        reads: CallPlan {
            name: "price checks",
            path: "/prices/",
            rate: 150.0,
        },
        writes: CallPlan {
            name: "bookings",
            path: "/bookings/",
            rate: 5.0,
        },
    },
    ServicePlan {
        service: "broker",
        customer: "harbour-mesh",
        token: samples::HARBOUR_TOKEN,
        instances: 3,
        domains: 3,
        service_time: Duration::from_millis(25),
        reads: CallPlan {
            name: "policy lookups",
            path: "/policies/",
            rate: 100.0,
        },
        writes: CallPlan {
            name: "payouts",
            path: "/payouts/",
            rate: 4.0,
        },
    },
];

/// Fraction of the announced upstreams that ejections must leave in service.
const DEV_FLOOR_SHARE: f64 = 0.5;
/// Minimum number of upstreams that ejections must leave in service.
const DEV_FLOOR_COUNT: u32 = 2;

/// Returns the sample contracts, with capacity floors adapted to the few upstreams of this fleet.
#[must_use]
pub fn dev_contracts() -> Vec<CustomerContract> {
    let mut contracts = vec![samples::brannock(), samples::harbour_mesh()];
    for contract in &mut contracts {
        for terms in &mut contract.services {
            terms.floor = DEV_FLOOR_SHARE;
            terms.floor_count = DEV_FLOOR_COUNT;
        }
    }
    contracts
}
