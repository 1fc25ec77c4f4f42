//! Tests for the detection and blocking of requests that crash backend servers.

use std::time::Duration;

use sycamorelink_core::{InstanceId, NodeId, NodeIncarnation, ServiceName, UpstreamId};
use sycamorelink_limits::{
    CrashCheck, CrashCommand, CrashEvent, CrashMessage, CrashRegistry, CrashSettings,
    CrashSignature, CrashVictim,
};

const DELAY: Duration = Duration::from_millis(2);

fn instance(number: usize) -> InstanceId {
    InstanceId {
        node: NodeId::of(&format!("instance-{number}")),
        incarnation: NodeIncarnation(1),
    }
}

fn crashing_request() -> CrashSignature {
    CrashSignature::of("brannock", "GET /quote?size=-1", 0)
}

/// Executors of one service, connected by a message queue.
struct ExecutorCluster {
    now: Duration,
    nodes: Vec<CrashRegistry>,
    queue: Vec<(Duration, usize, InstanceId, CrashMessage)>,
    partitioned: Vec<usize>,
    turns: Vec<(usize, u64, bool)>,
    released: Vec<CrashVictim>,
    asks: u64,
    last_incarnation: u64,
}

impl ExecutorCluster {
    fn new(count: usize) -> Self {
        let mut cluster = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            queue: Vec::new(),
            partitioned: Vec::new(),
            turns: Vec::new(),
            released: Vec::new(),
            asks: 0,
            last_incarnation: 0,
        };
        for number in 0..count {
            let registry = CrashRegistry::new(instance(number), CrashSettings::default());
            cluster.nodes.push(registry);
        }
        for number in 0..count {
            cluster.deliver(number, executors(count));
        }
        cluster
    }

    fn deliver(&mut self, number: usize, event: CrashEvent) {
        let mut out = Vec::new();
        self.nodes[number].handle(self.now, event, &mut out);
        self.process_commands(number, out);
    }

    fn process_commands(&mut self, number: usize, out: Vec<CrashCommand>) {
        for command in out {
            match command {
                CrashCommand::Send { to, message } => {
                    let target = (0..self.nodes.len()).find(|node| instance(*node) == to);
                    let target = target.expect("only members are sent to");
                    if !self.partitioned.contains(&number) && !self.partitioned.contains(&target) {
                        let at = self.now + DELAY;
                        self.queue.push((at, target, instance(number), message));
                    }
                }
                CrashCommand::Release { victim, .. } => self.released.push(victim),
                CrashCommand::Turn { ask, granted, .. } => self.turns.push((number, ask, granted)),
            }
        }
    }

    fn run_for(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += Duration::from_millis(1);
            let (due, later) = std::mem::take(&mut self.queue)
                .into_iter()
                .partition(|(at, ..)| *at <= self.now);
            self.queue = later;
            for (_, target, from, message) in due {
                self.deliver(target, CrashEvent::Received { from, message });
            }
            for number in 0..self.nodes.len() {
                let mut out = Vec::new();
                self.nodes[number].tick(self.now, &mut out);
                self.process_commands(number, out);
            }
        }
    }

    /// Returns whether the request may run at this executor, after asking for a turn if necessary.
    fn may_run(&mut self, number: usize) -> bool {
        match self.nodes[number].check(self.now, crashing_request()) {
            CrashCheck::Clear => true,
            CrashCheck::Stopped { .. } => false,
            CrashCheck::Probation => {
                self.asks += 1;
                let ask = self.asks;
                let mut out = Vec::new();
                self.nodes[number].request_turn(self.now, crashing_request(), ask, &mut out);
                self.process_commands(number, out);
                self.run_for(Duration::from_millis(600));
                self.turns.contains(&(number, ask, true))
            }
        }
    }

    /// Simulates the death of the backend server beside this executor while it runs these requests.
    fn crash(&mut self, number: usize, running: &[CrashSignature]) -> CrashVictim {
        self.last_incarnation += 1;
        let victim = CrashVictim {
            upstream: UpstreamId {
                node: instance(number).node,
                slot: 0,
            },
            incarnation: NodeIncarnation(self.last_incarnation),
        };
        let event = CrashEvent::Crashed {
            service: ServiceName::new("quotes"),
            victim,
            running: running.to_vec(),
        };
        self.deliver(number, event);
        victim
    }

    /// Advances the time until the failed answers of this victim are released.
    fn run_until_released(&mut self, victim: CrashVictim) {
        let mut rounds = 0;
        while !self.released.contains(&victim) {
            self.run_for(Duration::from_millis(1));
            rounds += 1;
            assert!(rounds <= 300, "answers are held for 250 ms at most");
        }
    }
}

fn executors(count: usize) -> CrashEvent {
    CrashEvent::Executors {
        service: ServiceName::new("quotes"),
        members: (0..count).map(instance).collect(),
    }
}

// Guards against a caller that resends a crashing request before other executors have the evidence.
// After two crashes, every executor refuses the request as soon as the failed answer is released.
#[test]
fn request_is_blocked_after_two_crashes() {
    let mut cluster = ExecutorCluster::new(6);
    for number in [0, 1] {
        assert!(cluster.may_run(number));
        let victim = cluster.crash(number, &[crashing_request()]);
        cluster.run_until_released(victim);
    }
    for number in 0..6 {
        assert!(!cluster.may_run(number), "ran at {number}");
    }
}

// Guards against parallel resends that crash several backend servers while one crash is known. Of
// five resends only one runs, and after its crash no executor runs the request.
#[test]
fn concurrent_resends_run_one_at_a_time() {
    let mut cluster = ExecutorCluster::new(6);
    assert!(cluster.may_run(0));
    let victim = cluster.crash(0, &[crashing_request()]);
    cluster.run_until_released(victim);
    let ran: Vec<usize> = (1..6).filter(|number| cluster.may_run(*number)).collect();
    assert_eq!(ran.len(), 1);
    let victim = cluster.crash(ran[0], &[crashing_request()]);
    cluster.run_until_released(victim);
    assert!((0..6).all(|number| !cluster.may_run(number)));
}

// Guards against blocking a request that only ran beside the cause. After it completes once, it
// runs without restriction.
#[test]
fn completed_request_is_cleared_after_a_crash() {
    let mut cluster = ExecutorCluster::new(4);
    let beside = CrashSignature::of("brannock", "GET /quote?size=2", 0);
    let victim = cluster.crash(0, &[beside, crashing_request()]);
    cluster.run_until_released(victim);
    assert_eq!(
        cluster.nodes[1].check(cluster.now, beside),
        CrashCheck::Probation
    );
    let mut out = Vec::new();
    cluster.nodes[1].completed(cluster.now, beside, &mut out);
    cluster.process_commands(1, out);
    cluster.run_for(Duration::from_millis(10));
    for node in &cluster.nodes {
        assert_eq!(node.check(cluster.now, beside), CrashCheck::Clear);
        assert_eq!(
            node.check(cluster.now, crashing_request()),
            CrashCheck::Probation
        );
    }
}

// Guards against counting one crash twice when its report is resent.
#[test]
fn repeated_reports_of_one_crash_count_once() {
    let mut cluster = ExecutorCluster::new(3);
    cluster.partitioned = vec![2];
    cluster.crash(0, &[crashing_request()]);
    cluster.run_for(Duration::from_secs(3));
    cluster.partitioned.clear();
    cluster.run_for(Duration::from_secs(3));
    for node in &cluster.nodes {
        assert_eq!(
            node.check(cluster.now, crashing_request()),
            CrashCheck::Probation
        );
    }
}

#[test]
fn only_identical_requests_are_blocked() {
    let mut cluster = ExecutorCluster::new(3);
    cluster.crash(0, &[crashing_request()]);
    cluster.crash(1, &[crashing_request()]);
    cluster.run_for(Duration::from_millis(10));
    let others = [
        CrashSignature::of("brannock", "GET /quote?size=-2", 0),
        CrashSignature::of("moreton", "GET /quote?size=-1", 0),
        CrashSignature::of("brannock", "GET /quote?size=-1", 1),
    ];
    for signature in others {
        assert_eq!(
            cluster.nodes[2].check(cluster.now, signature),
            CrashCheck::Clear
        );
    }
}

// Guards against running a suspect when its owner is unreachable. A partitioned executor cannot get
// a turn and refuses the request.
#[test]
fn suspect_does_not_run_without_its_owner() {
    let mut cluster = ExecutorCluster::new(5);
    let victim = cluster.crash(0, &[crashing_request()]);
    cluster.run_until_released(victim);
    let askers: Vec<usize> = (0..5)
        .filter(|number| {
            cluster.partitioned = vec![*number];
            cluster.may_run(*number)
        })
        .collect();
    assert!(
        askers.len() <= 1,
        "only the owner itself may run: {askers:?}"
    );
}

// Guards against an executor that starts after the crashes and lacks the evidence.
#[test]
fn new_executor_receives_evidence() {
    let mut cluster = ExecutorCluster::new(3);
    cluster.crash(0, &[crashing_request()]);
    cluster.crash(1, &[crashing_request()]);
    cluster.run_for(Duration::from_millis(10));
    cluster
        .nodes
        .push(CrashRegistry::new(instance(3), CrashSettings::default()));
    for number in 0..4 {
        cluster.deliver(number, executors(4));
    }
    cluster.run_for(Duration::from_millis(10));
    assert!(!cluster.may_run(3));
}

#[test]
fn entries_expire_and_stay_within_capacity() {
    let settings = CrashSettings {
        capacity: 16,
        ..CrashSettings::default()
    };
    let mut registry = CrashRegistry::new(instance(0), settings);
    let victim = |incarnation| CrashVictim {
        upstream: UpstreamId {
            node: instance(0).node,
            slot: 0,
        },
        incarnation: NodeIncarnation(incarnation),
    };
    let mut out = Vec::new();
    for incarnation in 0..2 {
        let event = CrashEvent::Crashed {
            service: ServiceName::new("quotes"),
            victim: victim(incarnation),
            running: vec![crashing_request()],
        };
        registry.handle(Duration::from_secs(incarnation), event, &mut out);
    }
    for number in 0..100 {
        let event = CrashEvent::Crashed {
            service: ServiceName::new("quotes"),
            victim: victim(10 + number),
            running: vec![CrashSignature(number)],
        };
        registry.handle(Duration::from_secs(10), event, &mut out);
    }
    assert_eq!(registry.entry_count(), 16);
    let stopped = registry.check(Duration::from_secs(10), crashing_request());
    assert!(matches!(stopped, CrashCheck::Stopped { .. }), "{stopped:?}");
    registry.tick(Duration::from_hours(1), &mut out);
    assert_eq!(registry.entry_count(), 0);
}
