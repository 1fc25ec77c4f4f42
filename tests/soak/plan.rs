//! Plan of a session: its faults and maintenance actions, generated from the seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Every n-th seed has only planned maintenance, which must not fail any request.
const PLANNED_ONLY_EVERY: u64 = 3;
/// First seed of the large sessions, which have more instances, more actions and a longer duration.
const FIRST_LARGE_SEED: u64 = 1000;
/// First seed of the sessions in which backend servers also limit their requests.
const FIRST_LIMITED_SEED: u64 = 2000;
/// Number of backend servers that limit their requests in these sessions.
const LIMITED_SERVERS: usize = 2;
/// Shortest and longest time for which a backend server limits its requests, in milliseconds. The
/// limit is checked over four seconds, from three seconds after the server first names it.
const LIMITED_MILLIS: std::ops::Range<u64> = 8_000..11_000;

/// Response behavior of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendMode {
    /// Complete responses after a few milliseconds.
    Healthy,
    /// Complete responses after half a second.
    Slow,
    /// Resets the connection after reading the request, for every other request.
    Resetting,
    /// Responds with status 500 to every other request.
    Failing,
    /// Refuses every request without running it.
    Shedding,
    /// Reads requests and never responds.
    Silent,
    /// Sends half of the response body and resets the connection.
    Truncating,
    /// Complete responses that limit the requests per second.
    Limited,
}

/// Network link that passes through a proxy.
#[derive(Clone, Copy, Debug)]
pub enum ProxyLink {
    /// Other daemons to this one.
    Peers,
    /// This daemon to the store.
    Store,
    /// This daemon to its backend server.
    Backend,
}

/// Fault that a proxy applies to the connections of its link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are relayed unchanged.
    #[default]
    None,
    /// Bytes are relayed after a delay.
    Delayed,
    /// Bytes from the connecting side are held back.
    BlockToServer,
    /// Bytes to the connecting side are held back.
    BlockToClient,
    /// Bytes in both directions are held back.
    BlockBoth,
    /// Connections are reset.
    Reset,
}

/// A fault or maintenance action, with the index of the node where it has one.
#[derive(Clone, Copy, Debug)]
pub enum SoakAction {
    /// Stops the daemon with SIGSTOP for a duration.
    Pause(usize, Duration),
    /// Kills the daemon and restarts it after a delay.
    Kill(usize, Duration),
    /// Sends SIGTERM to the daemon and restarts it when it has exited.
    Restart(usize),
    /// Reloads the daemon's settings with SIGHUP.
    Reload(usize),
    /// Sets the backend server's mode for a duration.
    Backend(usize, BackendMode, Duration),
    /// Replaces the backend server without draining it.
    Replace(usize),
    /// Drains the backend server and replaces it later.
    Drain(usize),
    /// Injects a fault into a link for a duration.
    InjectFault(usize, ProxyLink, LinkFault, Duration),
    /// Makes the store reject every request for a duration.
    StoreOutage(Duration),
    /// Makes the store drop its history.
    DropStoreHistory,
    /// Publishes the next configuration version.
    Publish,
}

/// An action and its start time, relative to the start of the plan.
#[derive(Clone, Copy, Debug)]
pub struct PlannedAction {
    pub at: Duration,
    pub action: SoakAction,
}

/// The actions of a session, in order of their start time.
#[derive(Debug)]
pub struct SoakPlan {
    /// Number of instances.
    pub nodes: usize,
    /// Duration in which actions start.
    pub active: Duration,
    pub actions: Vec<PlannedAction>,
    /// Whether the plan has only planned maintenance and no faults.
    pub planned_only: bool,
}

impl SoakPlan {
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let planned_only = seed.is_multiple_of(PLANNED_ONLY_EVERY);
        let (nodes, active, least, most) = if seed >= FIRST_LIMITED_SEED {
            (5, Duration::from_secs(6), 3, 6)
        } else if seed >= FIRST_LARGE_SEED {
            (12, Duration::from_secs(20), 40, 80)
        } else {
            (5, Duration::from_secs(6), 6, 12)
        };
        let count = rng.random_range(least..=most);
        let mut actions: Vec<PlannedAction> = (0..count)
            .map(|_| PlannedAction {
                at: active.mul_f64(rng.random()),
                action: if planned_only {
                    planned_action(&mut rng, nodes)
                } else {
                    random_action(&mut rng, nodes)
                },
            })
            .collect();
        if seed >= FIRST_LIMITED_SEED {
            actions.extend((0..LIMITED_SERVERS).map(|_| limited_server(&mut rng, nodes)));
        }
        actions.sort_by_key(|planned| planned.at);
        Self {
            nodes,
            active,
            actions,
            planned_only,
        }
    }
}

fn limited_server(rng: &mut SmallRng, nodes: usize) -> PlannedAction {
    let time = Duration::from_millis(rng.random_range(LIMITED_MILLIS));
    let node = rng.random_range(0..nodes);
    PlannedAction {
        at: Duration::from_millis(rng.random_range(0..1_000)),
        action: SoakAction::Backend(node, BackendMode::Limited, time),
    }
}

fn planned_action(rng: &mut SmallRng, nodes: usize) -> SoakAction {
    let node = rng.random_range(0..nodes);
    match rng.random_range(0..5) {
        0 | 1 => SoakAction::Restart(node),
        2 => SoakAction::Reload(node),
        3 => SoakAction::Drain(node),
        _ => SoakAction::Publish,
    }
}

fn random_action(rng: &mut SmallRng, nodes: usize) -> SoakAction {
    let node = rng.random_range(0..nodes);
    let short = Duration::from_millis(rng.random_range(100..1500));
    match rng.random_range(0..10) {
        0 => SoakAction::Pause(node, short),
        1 => SoakAction::Kill(node, short),
        2 | 3 => SoakAction::Backend(node, random_backend_mode(rng), short * 2),
        4 => SoakAction::Replace(node),
        5 | 6 => SoakAction::InjectFault(node, random_link(rng), random_link_fault(rng), short),
        7 => SoakAction::StoreOutage(short),
        8 => SoakAction::DropStoreHistory,
        _ => planned_action(rng, nodes),
    }
}

fn random_backend_mode(rng: &mut SmallRng) -> BackendMode {
    let modes = [
        BackendMode::Slow,
        BackendMode::Resetting,
        BackendMode::Failing,
        BackendMode::Shedding,
        BackendMode::Silent,
        BackendMode::Truncating,
    ];
    choose_one(rng, &modes)
}

fn random_link(rng: &mut SmallRng) -> ProxyLink {
    let links = [ProxyLink::Peers, ProxyLink::Store, ProxyLink::Backend];
    choose_one(rng, &links)
}

fn random_link_fault(rng: &mut SmallRng) -> LinkFault {
    let faults = [
        LinkFault::Delayed,
        LinkFault::BlockToServer,
        LinkFault::BlockToClient,
        LinkFault::BlockBoth,
        LinkFault::Reset,
    ];
    choose_one(rng, &faults)
}

fn choose_one<T>(rng: &mut SmallRng, from: &[T]) -> T
where
    T: Copy,
{
    *from.choose(rng).expect("a nonempty slice")
}
