//! Retry delays for refused callers that follow the free capacity of a service.
//!
//! Callers refused within the same second would all return at the same moment if they got the same
//! delay, and most of them would be refused again. Each refusal therefore gets a time of its own, at
//! the pace at which the service completes runs: the first refused caller returns first.

use std::time::Duration;

/// Maximum delay that is promised. The free capacity of a service is not predictable for longer.
const MAX_DELAY: Duration = Duration::from_secs(30);
/// Lowest completion rate that is assumed, in runs per second. It bounds the interval between two
/// callers of a service that completes almost nothing.
const MIN_RATE: f64 = 0.1;

/// Outlook of a service over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceOutlook {
    /// Time until the work that waits now is expected to be done.
    pub backlog: Duration,
    /// Runs that the service completes per second.
    pub rate: f64,
    /// Number of daemons that are assumed to refuse callers at present, including this one. Each
    /// gives out its own times, so each may use only its part of the rate.
    pub refusing_nodes: u32,
    /// Expected time of one run.
    pub run_time: Duration,
}

/// What the caller still needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerNeed {
    /// Time left until the latency objective is missed; `None` if the route has no objective.
    pub objective_left: Option<Duration>,
    /// Time left until the caller stops waiting.
    pub time_left: Duration,
}

/// Advice to a refused caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnAdvice {
    /// A retry after this time is expected to be served, within the objective if there is one.
    After(Duration),
    /// A retry after this time is expected to be served, but after the objective.
    Late(Duration),
    /// No retry within the caller's time is expected to be served.
    Never,
}

impl ReturnAdvice {
    /// Returns the delay to send to the caller; `None` if no capacity can be promised.
    ///
    /// A caller that has lost its objective gets no delay, because a promise would bring it back for
    /// a reply that has lost most of its value and would delay callers that can still be in time.
    #[must_use]
    pub const fn promised_delay(self) -> Option<Duration> {
        match self {
            Self::After(delay) => Some(delay),
            Self::Late(_) | Self::Never => None,
        }
    }
}

/// Source of retry times for the callers that one daemon refuses for one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnPacer {
    last: Duration,
}

impl ReturnPacer {
    /// Returns the advice for a caller refused at `now`.
    ///
    /// A time is only used up if the caller can return at it.
    pub fn next(
        &mut self,
        now: Duration,
        outlook: &ServiceOutlook,
        need: CallerNeed,
    ) -> ReturnAdvice {
        // No promise is that far ahead, so the clock stepped back since the last one.
        if self.last > now + MAX_DELAY {
            self.last = Duration::ZERO;
        }
        let at = (now + outlook.backlog).max(self.last + interval_of(outlook));
        let delay = at.saturating_sub(now);
        let served_after = delay + outlook.run_time;
        if delay > MAX_DELAY || served_after > need.time_left {
            return ReturnAdvice::Never;
        }
        if need.objective_left.is_some_and(|left| served_after > left) {
            return ReturnAdvice::Late(delay);
        }
        self.last = at;
        ReturnAdvice::After(delay)
    }
}

/// Returns the interval between two callers of one daemon.
fn interval_of(outlook: &ServiceOutlook) -> Duration {
    let nodes = f64::from(outlook.refusing_nodes.max(1));
    let seconds = nodes / outlook.rate.max(MIN_RATE);
    Duration::try_from_secs_f64(seconds).map_or(MAX_DELAY, |interval| interval.min(MAX_DELAY))
}
