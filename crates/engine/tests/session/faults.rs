//! Randomized sessions with combined and repeated faults. A seed determines the steps of a session,
//! and all invariants are checked after each step. `SESSION_SEEDS` and `SESSION_STEPS` set the
//! number of seeds and steps; `SESSION_SEED` runs a single seed and prints its trace.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_core::{NodeId, RequestId};
use sycamorelink_engine::{NodeEvent, WorkEnd};
use sycamorelink_policy::UpstreamPhase;

use crate::world::{BackendScript, SessionWorld, WALL, name_of, node};

/// Number of seeds in the default run.
const SEEDS: u64 = 10;
/// Steps of a session in the default run.
const STEPS: u32 = 60;
/// Time within which a fleet must serve again after all faults have ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(75);
/// Time within which the last requests must end.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// A session and the random generator that produces its steps.
struct FaultSession {
    world: SessionWorld,
    rng: SmallRng,
    count: u8,
    next_request: u128,
    incarnations: Vec<u64>,
    draining: Vec<NodeId>,
    keys: Vec<String>,
}

impl FaultSession {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(1..=5);
        let mut world = SessionWorld::start(count);
        world.reseed(seed);
        world.audit.begin();
        world.amend(node("a"), 2, 120);
        Self {
            world,
            rng,
            count,
            next_request: 1,
            incarnations: vec![1; usize::from(count)],
            draining: Vec::new(),
            keys: Vec::new(),
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn random_number(&mut self) -> u8 {
        self.rng.random_range(0..self.count)
    }

    fn random_node(&mut self) -> NodeId {
        node(&name_of(self.random_number()))
    }

    fn is_alive(&self, id: NodeId) -> bool {
        self.world.engines().contains_key(&id)
    }

    fn new_key(&mut self) -> String {
        let millis = (WALL + self.world.now()).as_millis();
        let low = self.rng.random::<u64>() >> 2;
        let digits = format!("{millis:012x}7000{:016x}", low | 0x8000_0000_0000_0000);
        let parts = [0..8, 8..12, 12..16, 16..20, 20..32].map(|part| &digits[part]);
        parts.join("-")
    }

    fn call(&mut self, number: u8, target: &str, key: Option<&str>) -> Option<u128> {
        let name = name_of(number);
        let id = node(&name);
        if !self.is_alive(id) || self.world.is_frozen(id) {
            return None;
        }
        let request = self.next_request;
        self.next_request += 1;
        let method = if key.is_some() { "POST" } else { "GET" };
        self.world.call(&name, request, method, target, key);
        Some(request)
    }

    fn traffic(&mut self) {
        let number = self.random_number();
        match self.rng.random_range(0..11) {
            10 => self.burst(number),
            0..=3 => {
                self.call(number, "/prices/bulk", None);
            }
            4..=6 => self.book(number),
            7 | 8 => self.resend(number),
            _ => self.abandon_call(number),
        }
    }

    fn book(&mut self, number: u8) {
        let key = self.new_key();
        self.call(number, "/bookings", Some(&key));
        if self.chance(20) {
            let other = self.random_number();
            self.call(other, "/bookings", Some(&key));
        }
        self.keys.push(key);
    }

    /// Sends more requests at the same time than the backend servers run.
    fn burst(&mut self, number: u8) {
        for turn in 0..self.rng.random_range(5..30) {
            if turn % 3 == 0 {
                self.book(number);
            } else {
                self.call(number, "/prices/bulk", None);
            }
        }
    }

    fn resend(&mut self, number: u8) {
        if let Some(key) = self
            .keys
            .iter()
            .rev()
            .nth(self.keys.len().min(3) / 2)
            .cloned()
        {
            self.call(number, "/bookings", Some(&key));
        }
    }

    fn abandon_call(&mut self, number: u8) {
        let key = self.chance(50).then(|| self.new_key());
        let target = if key.is_some() {
            "/bookings"
        } else {
            "/prices/bulk"
        };
        if let Some(request) = self.call(number, target, key.as_deref()) {
            let wait = self.rng.random_range(0..30);
            self.world.run_for(Duration::from_millis(wait));
            let request = RequestId(request);
            if self.is_alive(node(&name_of(number))) {
                self.world
                    .send_event(&name_of(number), NodeEvent::CallerGone { request });
            }
        }
    }

    fn fault(&mut self) {
        match self.rng.random_range(0..17) {
            0 => self.kill_random(),
            1 | 2 => {
                let number = self.random_number();
                self.replace(number);
            }
            3 => self.freeze_random(),
            4 => self.thaw_all(),
            5 => self.cut_random(),
            6 => self.restore_links(),
            7 => self.degrade_network(),
            8 => self.restore_network(),
            9 => self.world.set_log_reachable(false),
            10 => self.world.set_log_reachable(true),
            11 => self.world.network.duplicated_appends = self.rng.random_range(0..60),
            12 => self.change_random_backend(),
            13 => self.drain_random_backend(),
            14 => self.restore_random_backend(),
            15 => self.drain_random(),
            _ => self.amend_or_send_crashing_request(),
        }
    }

    fn kill_random(&mut self) {
        let number = self.random_number();
        if self.is_alive(node(&name_of(number))) && self.world.engines().len() > 1 {
            self.end_node(number);
        }
    }

    fn end_node(&mut self, number: u8) {
        let name = name_of(number);
        self.world.kill(&name);
        self.draining.retain(|id| *id != node(&name));
    }

    /// Starts a dead node again, or replaces a running one immediately.
    fn replace(&mut self, number: u8) {
        let id = node(&name_of(number));
        if self.is_alive(id) {
            self.end_node(number);
        }
        let incarnation = &mut self.incarnations[usize::from(number)];
        *incarnation += 1;
        let incarnation = *incarnation;
        self.world
            .note(&format!("{}: incarnation {incarnation}", name_of(number)));
        self.world.add_node(number, incarnation);
        let now = self.world.now();
        self.world.audit.mark_outdated(now, id, true);
    }

    fn freeze_random(&mut self) {
        let id = self.random_node();
        if self.is_alive(id) {
            self.world.freeze(id);
            let now = self.world.now();
            self.world.audit.mark_outdated(now, id, false);
        }
    }

    fn thaw_all(&mut self) {
        let all: Vec<NodeId> = self.world.engines().keys().copied().collect();
        for id in all {
            if self.world.is_frozen(id) {
                let now = self.world.now();
                self.world.audit.extend_deadlines(now, id);
                self.world.audit.mark_outdated(now, id, true);
                self.world.thaw(id);
            }
        }
    }

    fn cut_random(&mut self) {
        let (from, to) = (self.random_node(), self.random_node());
        let all = self.chance(30);
        for number in 0..self.count {
            let other = node(&name_of(number));
            if other != to && (all || other == from) {
                self.world
                    .note(&format!("cut {} to {}", name_of(number), to.0 % 1000));
                self.world.network.cuts.insert((other, to));
            }
        }
        let now = self.world.now();
        self.world.audit.mark_outdated(now, from, false);
        self.world.audit.mark_outdated(now, to, false);
    }

    fn restore_links(&mut self) {
        if !self.world.network.cuts.is_empty() {
            self.world.note("cuts healed");
            self.world.network.cuts.clear();
            self.mark_reachable();
        }
    }

    /// Starts the grace period after which all nodes that are not frozen must agree again, unless
    /// messages are still lost.
    fn mark_reachable(&mut self) {
        if self.world.network.loss > 0 || !self.world.network.cuts.is_empty() {
            return;
        }
        let now = self.world.now();
        for number in 0..self.count {
            let id = node(&name_of(number));
            let frozen = self.world.is_frozen(id);
            self.world.audit.mark_outdated(now, id, !frozen);
        }
    }

    fn degrade_network(&mut self) {
        self.world.network.loss = self.rng.random_range(0..30);
        self.world.network.jitter = self.rng.random_range(0..200);
        let text = format!(
            "wire loses {}%, adds {}ms",
            self.world.network.loss, self.world.network.jitter
        );
        self.world.note(&text);
        let now = self.world.now();
        for number in 0..self.count {
            self.world
                .audit
                .mark_outdated(now, node(&name_of(number)), false);
        }
    }

    fn restore_network(&mut self) {
        self.world.network.loss = 0;
        self.world.network.jitter = 0;
        self.world.note("network restored");
        self.mark_reachable();
    }

    fn change_random_backend(&mut self) {
        let id = self.random_node();
        let mut script = BackendScript::default();
        match self.rng.random_range(0..5) {
            0 => script.status = 500,
            1 => script.end = WorkEnd::ConnectionLost,
            2 => script.end = WorkEnd::NotStarted,
            3 => script.end = WorkEnd::Crashed,
            _ => script.time = Duration::from_millis(self.rng.random_range(100..12_000)),
        }
        self.world.note(&format!("backend {script:?}"));
        self.world.scripts.insert(id, script);
    }

    fn drain_random_backend(&mut self) {
        let id = self.random_node();
        if self.is_alive(id)
            && !self.world.is_frozen(id)
            && !self.world.crashed_backends.contains(&id)
        {
            self.world.note("a backend server leaves");
            self.world.announce(id, UpstreamPhase::Leaving);
        }
    }

    fn restore_random_backend(&mut self) {
        let id = self.random_node();
        self.restore_backend(id);
    }

    fn restore_backend(&mut self, id: NodeId) {
        self.world.scripts.remove(&id);
        if self.is_alive(id) && !self.world.is_frozen(id) {
            self.world.note("a backend server is back");
            self.world.announce(id, UpstreamPhase::Ready);
        }
    }

    fn drain_random(&mut self) {
        let number = self.random_number();
        let id = node(&name_of(number));
        if self.is_alive(id) && !self.world.is_frozen(id) && !self.draining.contains(&id) {
            self.draining.push(id);
            self.world
                .send_event(&name_of(number), NodeEvent::DrainRequested);
        }
    }

    /// Ends the nodes that are drained after they announce their departure.
    fn end_drained_nodes(&mut self) {
        for number in 0..self.count {
            let name = name_of(number);
            let id = node(&name);
            if self.world.audit.drained.contains(&id) && !self.world.is_frozen(id) {
                self.world.send_event(&name, NodeEvent::Departed);
                self.world.run_for(Duration::from_millis(100));
                self.end_node(number);
            }
        }
    }

    fn amend_or_send_crashing_request(&mut self) {
        if self.chance(60) {
            let change = u128::from(self.rng.random::<u64>());
            let concurrency = 100 + self.rng.random_range(0..50);
            for turn in 0..2 {
                let id = self.random_node();
                self.world.amend(id, change + turn, concurrency);
            }
        } else {
            let number = self.random_number();
            self.world
                .crashing_requests
                .insert(RequestId(self.next_request));
            if self.call(number, "/prices/poison", None).is_none() {
                self.world
                    .crashing_requests
                    .remove(&RequestId(self.next_request));
            }
        }
    }

    fn step(&mut self) {
        if self.chance(70) {
            self.traffic();
        } else {
            self.fault();
        }
        let wait = if self.chance(10) {
            self.rng.random_range(500..4_000)
        } else {
            self.rng.random_range(0..150)
        };
        self.world.run_for(Duration::from_millis(wait));
        self.end_drained_nodes();
        self.check();
    }

    fn check(&mut self) {
        let now = self.world.now();
        let mut audit = std::mem::take(&mut self.world.audit);
        audit.check(now, self.world.engines(), |id| self.world.is_frozen(id));
        self.world.audit = audit;
    }

    fn run_checked(&mut self, time: Duration) {
        let until = self.world.now() + time;
        while self.world.now() < until {
            self.world.run_for(Duration::from_millis(200));
            self.end_drained_nodes();
            self.check();
        }
    }

    /// Ends all faults and gives every dead node a new incarnation, which is the only proof of an
    /// incarnation's end that the guard accepts. Then checks that the fleet serves requests and
    /// becomes idle.
    fn end_all_faults(&mut self) {
        self.world.note("all healed");
        self.thaw_all();
        self.restore_links();
        self.restore_network();
        self.world.network.duplicated_appends = 0;
        self.world.set_log_reachable(true);
        for number in 0..self.count {
            let id = node(&name_of(number));
            if !self.is_alive(id) {
                self.replace(number);
            }
            self.restore_backend(id);
        }
        self.run_checked(RECOVERY_LIMIT);
        self.check_serving();
        self.run_checked(IDLE_LIMIT);
        self.check_idle();
    }

    fn check_serving(&mut self) {
        for number in 0..self.count {
            if self.draining.contains(&node(&name_of(number))) {
                continue;
            }
            let key = self.new_key();
            let price = format!("/prices/{key}");
            for (target, key) in [(price.as_str(), None), ("/bookings", Some(key.as_str()))] {
                let Some(request) = self.call(number, target, key) else {
                    continue;
                };
                let request = RequestId(request);
                self.run_checked(Duration::from_millis(600));
                if !self.world.audit.is_settled(request) {
                    self.run_checked(Duration::from_secs(9));
                }
                if self.world.audit.status_of(request) != Some(200) {
                    let end = self.world.audit.end_of(request);
                    let name = name_of(number);
                    let text = format!("healed, and {target} through {name} ends as {end}");
                    self.world.audit.add_violation(text);
                }
            }
        }
    }

    fn check_idle(&mut self) {
        let mut violations = Vec::new();
        for engine in self.world.engines().values() {
            let status = engine.status();
            if status.requests + status.works > 0 {
                let (name, requests) = (&status.name, status.requests);
                violations.push(format!(
                    "{name}: {requests} requests and {} works left",
                    status.works
                ));
            }
            if status.draining {
                violations.push(format!("{}: never drained", status.name));
            }
            let load = engine.load_of(0);
            if load.in_use + load.queued > 0 {
                violations.push(format!("{}: slots left in use: {load:?}", status.name));
            }
        }
        for violation in violations {
            self.world.audit.add_violation(violation);
        }
    }
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn run(seed: u64, steps: u32) -> FaultSession {
    let mut session = FaultSession::new(seed);
    for _ in 0..steps {
        session.step();
        if !session.world.audit.violations().is_empty() {
            return session;
        }
    }
    session.end_all_faults();
    session
}

// Guards against violations that occur only under two faults at the same time, or when the same
// fault repeats.
#[test]
fn invariants_hold_under_combined_and_repeated_faults() {
    let seeds = setting("SESSION_SEEDS").unwrap_or(SEEDS);
    let steps = setting("SESSION_STEPS").and_then(|steps| u32::try_from(steps).ok());
    let steps = steps.unwrap_or(STEPS);
    let chosen = setting("SESSION_SEED");
    let seeds = chosen.map_or(0..seeds, |seed| seed..seed + 1);
    let mut failures = Vec::new();
    for seed in seeds {
        let session = run(seed, steps);
        if let Some(violation) = session.world.audit.violations().first() {
            failures.push(format!("seed {seed}, {} nodes: {violation}", session.count));
            if chosen.is_some() {
                println!("{}", session.world.trace());
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
