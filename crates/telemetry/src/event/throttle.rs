//! Rate limit of logged events, per event code.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::emit::emit_with_suppressed;
use super::{EventCode, EventFields};
use crate::metric::{MetricCounter, MetricName, MetricRegistry, MetricTags};

/// Bits of a slot that hold the count of events; the upper bits hold the number of the period.
const COUNT_BITS: u32 = 32;
/// Mask of the count in a slot.
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// Logs a limited number of events of one code per period and counts the others.
///
/// Without a limit, an upstream that fails under load would make thousands of requests log the same
/// line, which would cost more than the requests and hide other events. The number of codes is
/// small, so a limit per code also limits the total.
///
/// A throttle can be shared between threads; a suppressed event costs two atomic additions.
#[derive(Debug)]
pub struct EventThrottle {
    period: Duration,
    burst: u64,
    slots: Vec<AtomicU64>,
    counters: Vec<MetricCounter>,
}

/// Decision of the throttle about one event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThrottleDecision {
    /// Log the event.
    Log {
        /// Number of events suppressed in the last period that had events, to be logged with this
        /// one; 0 except for the first event of a period.
        suppressed: u64,
    },
    /// Only count the event.
    Suppress,
}

impl EventThrottle {
    /// Creates a throttle that logs up to `burst` events of each code per period.
    #[must_use]
    pub fn new(period: Duration, burst: u32) -> Self {
        let codes = EventCode::ALL.iter();
        let slots = codes.clone().map(|_| AtomicU64::new(0)).collect();
        let counters = codes.map(|_| MetricCounter::default()).collect();
        Self {
            period: period.max(Duration::from_millis(1)),
            burst: u64::from(burst.max(1)),
            slots,
            counters,
        }
    }

    /// Counts every event in the metric `events`, whether it is logged or suppressed.
    #[must_use]
    pub fn with_counters(mut self, registry: &MetricRegistry) -> Self {
        self.counters = EventCode::ALL
            .iter()
            .map(|code| MetricTags::new().with("code", code.as_str()))
            .map(|tags| registry.counter(MetricName::Events, &tags))
            .collect();
        self
    }

    /// Logs an event unless the limit of its code is reached in the current period.
    pub fn emit(&self, now: Duration, code: EventCode, fields: &EventFields<'_>) {
        if let ThrottleDecision::Log { suppressed } = self.admit(now, code) {
            emit_with_suppressed(code, fields, suppressed);
        }
    }

    /// Counts an event and returns whether to log it.
    #[must_use]
    pub fn admit(&self, now: Duration, code: EventCode) -> ThrottleDecision {
        self.counters[code.index()].add(1);
        let slot = &self.slots[code.index()];
        let period = self.period_number(now);
        let current = slot.load(Ordering::Relaxed);
        if current >> COUNT_BITS != period {
            let first_of_period = (period << COUNT_BITS) | 1;
            let swap = slot.compare_exchange(
                current,
                first_of_period,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
            if swap.is_ok() {
                let suppressed = self.suppressed_in(current);
                return ThrottleDecision::Log { suppressed };
            }
        }
        let count = slot.fetch_add(1, Ordering::Relaxed) & COUNT_MASK;
        if count < self.burst {
            ThrottleDecision::Log { suppressed: 0 }
        } else {
            ThrottleDecision::Suppress
        }
    }

    /// Logs the number of events suppressed in periods that have ended. Call it once per period.
    pub fn emit_suppressed(&self, now: Duration) {
        for (code, suppressed) in self.take_suppressed(now) {
            let fields = EventFields::new().reason(&code).count(&suppressed);
            emit_with_suppressed(EventCode::EventsSuppressed, &fields, 0);
        }
    }

    /// Returns and resets the numbers of events suppressed in periods that have ended.
    #[must_use]
    pub fn take_suppressed(&self, now: Duration) -> Vec<(EventCode, u64)> {
        let period = self.period_number(now);
        let mut taken = Vec::new();
        for (&code, slot) in EventCode::ALL.iter().zip(&self.slots) {
            let current = slot.load(Ordering::Relaxed);
            let suppressed = self.suppressed_in(current);
            if suppressed == 0 || current >> COUNT_BITS == period {
                continue;
            }
            let swap = slot.compare_exchange(current, 0, Ordering::Relaxed, Ordering::Relaxed);
            if swap.is_ok() {
                taken.push((code, suppressed));
            }
        }
        taken
    }

    /// Returns the number of the period, starting at one, because zero marks an unused slot.
    fn period_number(&self, now: Duration) -> u64 {
        let number = now.as_millis() / self.period.as_millis();
        u64::try_from(number).unwrap_or(u64::MAX).saturating_add(1) & COUNT_MASK
    }

    fn suppressed_in(&self, current: u64) -> u64 {
        (current & COUNT_MASK).saturating_sub(self.burst)
    }
}
