//! Simulated services, sized like those of real customers, and shared network constants.

use std::time::Duration;

/// Size and load of one simulated service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceShape {
    /// Name printed in the table.
    pub name: &'static str,
    /// Number of upstreams, each on its own instance with its own daemon.
    pub upstreams: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Requests that each upstream runs concurrently.
    pub slots: u16,
    /// Requests per second from all callers together.
    pub rate: f64,
    /// Mean share of all slots in use, from 0 to 1.
    pub utilisation: f64,
}

impl ServiceShape {
    /// Returns the mean service time of a request, in seconds.
    #[must_use]
    pub fn mean_service(&self) -> f64 {
        self.utilisation * self.capacity_slots() / self.rate
    }

    /// Returns the total number of slots.
    #[must_use]
    pub fn capacity_slots(&self) -> f64 {
        f64::from(self.slots) * to_f64(self.upstreams)
    }

    /// Returns the requests per second that all slots can serve.
    #[must_use]
    pub fn capacity_rate(&self) -> f64 {
        self.capacity_slots() / self.mean_service()
    }
}

/// Converts a count to a floating-point number; counts above `u32::MAX` saturate.
#[must_use]
pub fn to_f64(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

/// Order service of the customer Brannock.
pub const ORDERS: ServiceShape = ServiceShape {
    name: "orders-17",
    upstreams: 17,
    domains: 4,
    slots: 5,
    rate: 200.0,
    utilisation: 0.65,
};

/// Depot document service of the customer Brannock.
pub const DOCUMENTS: ServiceShape = ServiceShape {
    name: "documents-8",
    upstreams: 8,
    domains: 4,
    slots: 5,
    rate: 150.0,
    utilisation: 0.6,
};

/// Broker service of the customer Moreton Keel.
pub const BROKER: ServiceShape = ServiceShape {
    name: "broker-23",
    upstreams: 23,
    domains: 3,
    slots: 5,
    rate: 300.0,
    utilisation: 0.65,
};

/// Survey service of the customer Moreton Keel.
pub const SURVEY: ServiceShape = ServiceShape {
    name: "survey-6",
    upstreams: 6,
    domains: 3,
    slots: 5,
    rate: 150.0,
    utilisation: 0.6,
};

/// One-way network delay between two instances.
pub const NETWORK_DELAY: Duration = Duration::from_micros(1_500);

/// Longest time that a caller waits for a reply.
pub const CALLER_DEADLINE: Duration = Duration::from_secs(5);

/// Longest time that a daemon waits for one attempt.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time to open a new connection and probe it.
pub const RECONNECT_TIME: Duration = Duration::from_millis(26);

/// Length of the queue in front of one backend server; further requests are refused immediately.
pub const QUEUE_LIMIT: usize = 5;

/// Retry budget earned by each request.
pub const RETRY_SHARE: f64 = 0.1;
