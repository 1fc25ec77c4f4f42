//! Builder of a deadline gate.

use std::time::Duration;

use crate::admission::{GateSettings, WarmUp};

use super::account_queue::AccountQueue;
use super::concurrency::ConcurrencyLimit;
use super::gate::DeadlineGate;
use super::queue::DeadlineQueue;
use super::settings::OverloadSettings;
use super::waiting_queue::WaitingQueue;

/// Builder of a [`DeadlineGate`].
#[derive(Clone, Debug)]
pub struct DeadlineGateBuilder {
    pub(super) slots: u32,
    pub(super) queue: u32,
    pub(super) shares_by_account: bool,
    pub(super) first_service_time: Duration,
    pub(super) warm_up: WarmUp,
    limits_concurrency: bool,
}

impl DeadlineGateBuilder {
    /// Creates a builder with the default settings, for a backend server that started cold at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        let GateSettings {
            slots,
            first_service_time,
            warm_up,
            ..
        } = GateSettings::default();
        Self {
            slots,
            queue: OverloadSettings::default().queue,
            shares_by_account: false,
            first_service_time,
            warm_up: WarmUp {
                since: now,
                length: warm_up,
            },
            limits_concurrency: false,
        }
    }

    /// Sets the number of requests that the backend server runs at once; at least 1.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots.max(1);
        self
    }

    /// Sets the maximum number of waiting requests.
    #[must_use]
    pub const fn queue(mut self, queue: u32) -> Self {
        self.queue = queue;
        self
    }

    /// Sets whether waiting work is shared fairly among client accounts. By default all work has one
    /// lane.
    #[must_use]
    pub const fn share_by_account(mut self, shares: bool) -> Self {
        self.shares_by_account = shares;
        self
    }

    /// Sets the run time assumed before the first run ended.
    #[must_use]
    pub const fn first_service_time(mut self, time: Duration) -> Self {
        self.first_service_time = time;
        self
    }

    /// Sets the time from one slot to all slots; zero opens all at once.
    #[must_use]
    pub const fn warm_up(mut self, length: Duration) -> Self {
        self.warm_up.length = length;
        self
    }

    /// Sets whether the gate learns how many of the slots yield the most runs per second, and opens
    /// only these.
    #[must_use]
    pub const fn limit_concurrency(mut self, limited: bool) -> Self {
        self.limits_concurrency = limited;
        self
    }

    /// Returns the limit of a new gate. In a standing overload all slots are in use, so that only
    /// probes show how the run times grow.
    pub(super) fn new_concurrency_limit(&self) -> Option<ConcurrencyLimit> {
        let started = self.warm_up.since;
        let limit = || ConcurrencyLimit::new(started, self.slots).with_probes(started);
        self.limits_concurrency.then(limit)
    }

    pub(super) fn waiting_queue(&self) -> Box<dyn WaitingQueue> {
        if self.shares_by_account {
            Box::new(AccountQueue::new(self.queue as usize))
        } else {
            Box::new(DeadlineQueue::default())
        }
    }

    /// Creates the gate.
    #[must_use]
    pub fn build(self) -> DeadlineGate {
        DeadlineGate::new(&self)
    }
}
