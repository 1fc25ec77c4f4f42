//! Property test: the shares of a contract never add up to more than the contract.

mod fleet;

use std::time::Duration;

use fleet::{STEP, ShareFleet};
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_limits::ShareSettings;

const RATE_MILLIS: u32 = 200_000;
const CONCURRENCY: u32 = 40;
const DOMAINS: usize = 3;
const RUN: Duration = Duration::from_secs(90);

/// Returns settings with short times, so that many leases expire and many rosters change in one
/// run.
fn settings() -> ShareSettings {
    ShareSettings {
        lease: Duration::from_secs(3),
        long_lease: Duration::from_secs(5),
        ask_interval: Duration::from_millis(250),
        right_hold: Duration::from_secs(8),
        base_percent: 10,
        ..ShareSettings::default()
    }
}

/// Seeded run of faults and requests.
struct FaultSchedule {
    rng: SmallRng,
    fleet: ShareFleet,
    /// Time since which each node has not read the log; `None` while it reads.
    silent_since: Vec<Option<Duration>>,
    running: Vec<(Duration, usize)>,
    incarnations: Vec<u64>,
}

impl FaultSchedule {
    fn new(seed: u64) -> Self {
        let mut schedule = Self {
            rng: SmallRng::seed_from_u64(seed),
            fleet: ShareFleet::empty(settings(), RATE_MILLIS, CONCURRENCY),
            silent_since: Vec::new(),
            running: Vec::new(),
            incarnations: Vec::new(),
        };
        for _ in 0..schedule.rng.random_range(1..7) {
            schedule.join_new();
        }
        schedule.fleet.settle();
        schedule
    }

    fn join_new(&mut self) {
        let instance = self.incarnations.len();
        self.incarnations.push(1);
        self.join(instance);
    }

    fn join(&mut self, instance: usize) {
        let speed = self.rng.random_range(993..=1007);
        let incarnation = self.incarnations[instance];
        self.fleet
            .join(instance, incarnation, instance % DOMAINS, speed);
        self.silent_since.push(None);
    }

    fn random_node(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.nodes.len())
    }

    fn listed_count(&self) -> usize {
        self.fleet
            .nodes
            .iter()
            .filter(|node| node.is_listed)
            .count()
    }

    fn inject_fault(&mut self) {
        let number = self.random_node();
        match self.rng.random_range(0..14) {
            0 => self.partition_randomly(),
            1 => self.fleet.partitioned_links.clear(),
            2 if self.fleet.nodes[number].is_listed => self.fleet.nodes[number].paused = true,
            3 => self.resume_paused(),
            4 if self.listed_count() < 8 => self.join_new(),
            5 if self.listed_count() > 1 && self.fleet.nodes[number].is_listed => {
                self.fleet.stop(number);
            }
            6 => self.restart(number),
            7 => self.fleet.nodes[number].reads_log = false,
            8 => self.resume_log_reading(),
            9 => self.fleet.settle_reachable(),
            10 => self.fleet.delay = Duration::from_millis(self.rng.random_range(2..450)),
            11 => self.fleet.delay = Duration::from_millis(2),
            _ => self.remove_silent(),
        }
    }

    /// Partitions the fleet into two parts, in one direction or both.
    fn partition_randomly(&mut self) {
        let both = self.rng.random_bool(0.5);
        let count = self.fleet.nodes.len();
        let sides: Vec<bool> = (0..count).map(|_| self.rng.random_bool(0.5)).collect();
        for from in 0..count {
            for to in 0..count {
                if sides[from] != sides[to] && (both || sides[from]) {
                    self.fleet.partitioned_links.insert((from, to));
                }
            }
        }
    }

    fn resume_paused(&mut self) {
        for node in self.fleet.nodes.iter_mut().filter(|node| node.is_listed) {
            node.paused = false;
        }
    }

    fn resume_log_reading(&mut self) {
        for node in self.fleet.nodes.iter_mut().filter(|node| node.is_listed) {
            node.reads_log = true;
        }
    }

    fn restart(&mut self, number: usize) {
        if !self.fleet.nodes[number].is_listed {
            return;
        }
        let name = self.fleet.nodes[number].member.instance.node;
        self.fleet.stop(number);
        let instance = (0..self.incarnations.len())
            .find(|instance| sycamorelink_core::NodeId::of(&format!("instance-{instance}")) == name)
            .expect("every node has a name");
        self.incarnations[instance] += 1;
        self.join(instance);
    }

    /// Removes nodes from the roster that could not confirm their entry for long enough. They
    /// continue to run.
    fn remove_silent(&mut self) {
        let hold = self.fleet.settings.removal_wait();
        for number in 0..self.fleet.nodes.len() {
            let since = self.silent_since[number];
            let long = since.is_some_and(|since| self.fleet.now >= since + hold);
            if long && self.fleet.nodes[number].is_listed && self.listed_count() > 1 {
                self.fleet.remove_from_roster(number);
            }
        }
    }

    fn record_silence(&mut self) {
        for (number, since) in self.silent_since.iter_mut().enumerate() {
            let node = &self.fleet.nodes[number];
            if node.reads_log && !node.paused {
                *since = None;
            } else {
                since.get_or_insert(self.fleet.now);
            }
        }
    }

    /// Lets nodes that read the log adopt the newest roster, each at a random time.
    fn adopt_rosters(&mut self) {
        for number in 0..self.fleet.nodes.len() {
            let node = &self.fleet.nodes[number];
            let reads = node.is_listed && node.reads_log && !node.paused;
            if reads && self.rng.random_bool(0.02) {
                self.fleet.adopt(number);
            }
        }
    }

    fn send_and_finish_requests(&mut self) {
        let now = self.fleet.now;
        for _ in 0..self.rng.random_range(0..18) {
            // Most of the demand goes to one node, which changes with time.
            let count = self.fleet.nodes.len();
            let hot = usize::try_from(now.as_secs() / 10).unwrap_or(0) % count;
            let number = if self.rng.random_bool(0.7) {
                hot
            } else {
                self.random_node()
            };
            if self.fleet.request(number) {
                let length = Duration::from_millis(self.rng.random_range(5..200));
                self.running.push((now + length, number));
            }
        }
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(end, _)| *end <= now);
        self.running = running;
        for (_, number) in done {
            self.fleet.finish(number);
        }
    }

    fn run(mut self) -> u64 {
        let mut max_rate = 0;
        while self.fleet.now < RUN {
            if self.rng.random_bool(0.03) {
                self.inject_fault();
            }
            self.record_silence();
            self.adopt_rosters();
            self.send_and_finish_requests();
            self.fleet.step();
            let (rate, slots) = self.fleet.in_force();
            let now = self.fleet.now;
            assert!(rate <= u64::from(RATE_MILLIS), "rate {rate} at {now:?}");
            assert!(slots <= CONCURRENCY, "slots {slots} at {now:?}");
            max_rate = max_rate.max(rate);
        }
        max_rate
    }
}

impl ShareFleet {
    /// Makes every node that reads the log adopt the newest roster.
    fn settle_reachable(&mut self) {
        for _ in 0..2 {
            for number in 0..self.nodes.len() {
                let node = &self.nodes[number];
                if node.is_listed && node.reads_log && !node.paused {
                    self.adopt(number);
                }
            }
        }
    }
}

// Guards against admitting more than the contract under any combination of faults: partitions in
// one direction or both, pauses beyond the lease, restarts, losses, removal of running nodes,
// rosters that arrive late and in different order, clock drift and slow messages. Each step adds up
// what all nodes could use at that moment. Unused shares may be refused.
proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn shares_never_exceed_the_contract(seed in any::<u64>()) {
        FaultSchedule::new(seed).run();
    }
}

/// Guards against a schedule that proves nothing because shares never come near the contract.
#[test]
fn schedule_uses_most_of_the_contract() {
    let max_rate = (0..8).map(|seed| FaultSchedule::new(seed).run()).max();
    assert!(
        max_rate >= Some(u64::from(RATE_MILLIS) * 8 / 10),
        "most in force: {max_rate:?}"
    );
    assert!(STEP < settings().ask_interval);
}
