//! Recognises that a service declines work, from the arrivals of one node.
//!
//! While a whole service declines, a repeat has the same odds as a first arrival and uses up the
//! bound on repeats. First arrivals cost nothing and show when the service accepts work again.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use sycamorelink_core::UpstreamId;

/// Number of latest arrivals that are considered.
const MAX_ARRIVALS: usize = 20;
/// Declined arrivals from which the service declines: 30% of [`MAX_ARRIVALS`].
const MIN_DECLINED: usize = 6;
/// Servers that must have declined, so that a fault of one or two servers does not count.
const MIN_SERVERS: usize = 3;
/// Percentage of declined arrivals below which the service accepts work again.
const ACCEPTING_PERCENT: usize = 10;
/// Time for which an arrival counts. Bounds the wait on old evidence when there are no new arrivals.
const MAX_AGE: Duration = Duration::from_secs(4);

/// Arrivals on which a decision is based.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeclineCounts {
    /// Latest arrivals at servers of the service, at most 20.
    pub arrivals: usize,
    /// Arrivals among them that the server declined.
    pub declined: usize,
    /// Servers that declined any of them.
    pub servers: usize,
}

#[derive(Clone, Copy, Debug)]
struct ServerArrival {
    at: Duration,
    server: UpstreamId,
    declined: bool,
}

/// Whether one service declines work, in the view of one node.
#[derive(Clone, Debug, Default)]
pub struct DeclineMonitor {
    arrivals: VecDeque<ServerArrival>,
    declining: bool,
}

impl DeclineMonitor {
    /// Records an arrival at a server, at the time when its end became known. Returns whether the
    /// service now declines if that changed.
    pub fn observe(&mut self, now: Duration, server: UpstreamId, declined: bool) -> Option<bool> {
        if self.arrivals.len() >= MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(ServerArrival {
            at: now,
            server,
            declined,
        });
        self.update(now)
    }

    /// Forgets old arrivals. Returns whether the service now declines if that changed.
    pub fn update(&mut self, now: Duration) -> Option<bool> {
        self.arrivals.retain(|arrival| arrival.at + MAX_AGE > now);
        let counts = self.counts();
        let declining = if self.declining {
            counts.declined > 0 && counts.declined * 100 >= counts.arrivals * ACCEPTING_PERCENT
        } else {
            counts.declined >= MIN_DECLINED && counts.servers >= MIN_SERVERS
        };
        let changed = declining != self.declining;
        self.declining = declining;
        changed.then_some(declining)
    }

    /// Returns whether the service declines work.
    #[must_use]
    pub const fn is_declining(&self) -> bool {
        self.declining
    }

    /// Returns whether no arrival counts.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Returns the arrivals on which the current decision is based.
    #[must_use]
    pub fn counts(&self) -> DeclineCounts {
        let declined = self.arrivals.iter().filter(|arrival| arrival.declined);
        let servers: BTreeSet<UpstreamId> =
            declined.clone().map(|arrival| arrival.server).collect();
        DeclineCounts {
            arrivals: self.arrivals.len(),
            declined: declined.count(),
            servers: servers.len(),
        }
    }
}
