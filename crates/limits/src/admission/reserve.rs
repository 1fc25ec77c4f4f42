//! Reservation of one slot against a customer that occupies all of them.
//!
//! When a flood from one customer holds every slot, each request of the other customers waits for
//! one of that customer's requests to end, which raises their tail latency although they send
//! little. While the others account for at least a tenth of the started work, a customer may hold
//! all slots but one. Below that, the reserved slot would be idle most of the time, and the others
//! wait for a slot to become free.

use std::time::Duration;

use sycamorelink_core::CustomerName;

/// Interval between two evaluations of the work started by other customers.
const EVALUATION_WINDOW: Duration = Duration::from_secs(2);
/// Inverse of the smallest fraction of started work by other customers for which a slot is
/// reserved.
const OTHERS_DIVISOR: u32 = 10;
/// Smallest number of slots of which one is reserved.
const MIN_SLOTS: u32 = 3;

/// State of the slot reservation.
#[derive(Debug, Default)]
pub struct SlotReserve {
    heavy_customer: Option<CustomerName>,
    window_start: Duration,
    started: u32,
    started_by_others: u32,
    is_reserving: bool,
}

impl SlotReserve {
    /// Records started work. `running` is the number of running requests of its customer, including
    /// the new one.
    pub fn started(&mut self, now: Duration, customer: &CustomerName, running: u32, slots: u32) {
        if running + 1 >= slots && self.heavy_customer.as_ref() != Some(customer) {
            self.heavy_customer = Some(customer.clone());
            self.started = 0;
            self.started_by_others = 0;
        }
        self.started += 1;
        self.started_by_others += u32::from(self.heavy_customer.as_ref() != Some(customer));
        if now >= self.window_start + EVALUATION_WINDOW {
            self.is_reserving = self.heavy_customer.is_some()
                && self.started_by_others * OTHERS_DIVISOR >= self.started;
            self.window_start = now;
            self.started = 0;
            self.started_by_others = 0;
        }
    }

    /// Returns the maximum number of slots that one customer may hold.
    #[must_use]
    pub fn max_running(&self, slots: u32) -> u32 {
        if self.is_reserving && slots >= MIN_SLOTS {
            slots - 1
        } else {
            slots
        }
    }
}
