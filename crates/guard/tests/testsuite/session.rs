//! Scripted session with a simulated fleet, and its trace for a snapshot.

use sycamorelink_core::RequestId;
use sycamorelink_guard::{GuardSettings, KeyId, RangeId};

use crate::fleet::{CallerSend, FakeFleet, ms, test_settings};

pub struct FaultSession {
    pub fleet: FakeFleet,
}

impl FaultSession {
    /// Creates a founded fleet with one range, so that every key has the same seats.
    pub fn open(nodes: usize) -> Self {
        Self::with_keys(nodes, GuardSettings::default().max_keys)
    }

    /// Creates the same fleet with a limit on the keys of each node.
    pub fn with_keys(nodes: usize, max_keys: usize) -> Self {
        let settings = GuardSettings {
            ranges: 1,
            max_keys,
            ..test_settings()
        };
        let mut fleet = FakeFleet::founded(nodes, 3, settings, 1);
        fleet.tracing = true;
        Self { fleet }
    }

    /// Returns the nodes with a seat according to node `at`.
    pub fn seats(&self, at: usize) -> Vec<usize> {
        let guard = &self.fleet.processes[self.fleet.process_at[at]].guard;
        let entry = guard.map().get(RangeId(0));
        let seats = entry.map(|entry| entry.seats.clone()).unwrap_or_default();
        let node = |seat: &sycamorelink_core::InstanceId| usize::try_from(seat.node.0);
        seats.iter().filter_map(|seat| node(seat).ok()).collect()
    }

    /// Returns the nodes without a seat according to node `at`.
    pub fn others(&self, at: usize) -> Vec<usize> {
        let seats = self.seats(at);
        let nodes = 0..self.fleet.process_at.len();
        nodes.filter(|node| !seats.contains(node)).collect()
    }

    pub fn key(&self, number: u128) -> KeyId {
        self.fleet.fresh_key(number << 96)
    }

    /// Sends request `id` to the ingress with a given executor, and fails if the ingress is down.
    pub fn send(&mut self, id: u128, key: KeyId, ingress: usize, executor: usize, timeout: u64) {
        self.send_body(id, key, 1, ingress, executor, timeout);
    }

    pub fn send_body(
        &mut self,
        id: u128,
        key: KeyId,
        body: u128,
        ingress: usize,
        executor: usize,
        timeout: u64,
    ) {
        let send = CallerSend {
            request: RequestId(id),
            key,
            body,
            executor: self.fleet.instance(executor),
            timeout: ms(timeout),
        };
        assert!(
            self.fleet.send(ingress, &send),
            "n{ingress} is not listening"
        );
    }

    pub fn wait(&mut self, span: u64) {
        self.fleet.run_for(ms(span));
    }

    /// Cuts the links between a node and others in both directions.
    pub fn isolate(&mut self, node: usize, from: &[usize]) {
        for other in from.iter().copied().filter(|other| *other != node) {
            self.fleet.cuts.insert((node, other));
            self.fleet.cuts.insert((other, node));
        }
        self.fleet.note(&format!("n{node} cut off from {from:?}"));
    }

    /// Drains a node, and starts a new process at its address once it is drained.
    pub fn drain_and_replace(&mut self, node: usize) {
        self.fleet.drain(node);
        for _ in 0..100 {
            self.wait(100);
            if self.fleet.processes[self.fleet.process_at[node]]
                .drained_at
                .is_some()
            {
                break;
            }
        }
        let drained = self.fleet.processes[self.fleet.process_at[node]]
            .drained_at
            .is_some();
        assert!(drained, "n{node} does not drain");
        self.fleet.kill(node);
        self.fleet.replace(node);
        self.wait(1_500);
    }

    pub fn answer(&self, id: u128) -> String {
        self.fleet.oracle.answer_text(RequestId(id))
    }

    /// Returns the trace, the answers and the runs as text. Fails if the oracle found a violation.
    pub fn finish(&self) -> String {
        let oracle = &self.fleet.oracle;
        assert_eq!(oracle.violations, Vec::<String>::new());
        let mut lines = self.fleet.trace.clone();
        for request in oracle.sends.keys() {
            lines.push(format!(
                "answer {:x}: {}",
                request.0,
                oracle.answer_text(*request)
            ));
        }
        for (key, runs) in &oracle.runs {
            lines.push(format!("key {key} ran {} time(s)", runs.len()));
        }
        lines.join("\n")
    }
}
