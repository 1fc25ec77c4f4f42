//! Fault injection: joins, kills, replaces, freezes and drains nodes, and stops the log.

use rand::Rng;
use sycamorelink_guard::GuardEvent;

use crate::fleet::{FakeFleet, FleetEvent, ms};

impl FakeFleet {
    /// Starts a daemon on a new node.
    pub fn join(&mut self) {
        let index = self.process_at.len();
        self.process_at.push(0);
        self.start_process(index, 1);
    }

    /// Ends the current process of a node. Its state is lost.
    pub fn kill(&mut self, node: usize) {
        let process = self.process_at[node];
        self.note(&format!("kill {}", self.processes[process].instance_name()));
        self.processes[process].alive = false;
        self.processes[process].disturbed_at = Some(self.now);
        self.report_down_to_all(process);
    }

    /// Starts a new process of a node at the same address, without state.
    pub fn replace(&mut self, node: usize) {
        let old = self.process_at[node];
        let incarnation = self.processes[old].instance.incarnation.0 + 1;
        self.processes[old].superseded = true;
        self.processes[old].backlog.clear();
        self.processes[old].disturbed_at = Some(self.now);
        self.start_process(node, incarnation);
        let name = self.processes[self.process_at[node]].instance_name();
        self.note(&format!("start {name}"));
    }

    pub fn freeze(&mut self, node: usize) {
        let process = self.process_at[node];
        self.note(&format!(
            "freeze {}",
            self.processes[process].instance_name()
        ));
        self.processes[process].frozen = true;
        self.processes[process].disturbed_at = Some(self.now);
        self.report_down_to_all(process);
    }

    pub fn thaw(&mut self, process: usize) {
        if !self.processes[process].frozen {
            return;
        }
        self.note(&format!("thaw {}", self.processes[process].instance_name()));
        self.processes[process].frozen = false;
        self.processes[process].disturbed_at = Some(self.now);
        let backlog = std::mem::take(&mut self.processes[process].backlog);
        for event in backlog {
            self.schedule(process, ms(0), event);
        }
        if self.processes[process].alive && !self.processes[process].superseded {
            self.report_up_to_all(process);
        }
    }

    /// Starts the drain of a node. The caller replaces the node once it is drained.
    pub fn drain(&mut self, node: usize) {
        let process = self.process_at[node];
        self.note(&format!(
            "drain {}",
            self.processes[process].instance_name()
        ));
        let instance = self.processes[process].instance;
        self.handle_event(process, GuardEvent::DrainRequested);
        for listener in 0..self.processes.len() {
            if listener != process && self.processes[listener].alive {
                let delay = ms(self.rng.random_range(1..=100));
                let event = GuardEvent::MemberDraining { instance };
                self.schedule(listener, delay, FleetEvent::Guard(Box::new(event)));
            }
        }
    }

    pub fn set_log(&mut self, up: bool) {
        self.note(&format!("log {}", if up { "up" } else { "down" }));
        self.log_up = up;
    }
}
