//! Fault injection: joins, kills, replaces, freezes and drains nodes, and stops the log.

use rand::Rng;
use sycamorelink_guard::GuardEvent;

use crate::fleet::{FakeFleet, FleetEvent, ms};

impl FakeFleet {
    /// Starts a daemon on a new node.
    pub fn join(&mut self) {
        let index = self.address.len();
        self.address.push(0);
        self.start_life(index, 1);
    }

    /// Ends the current process of a node. Its state is lost.
    pub fn kill(&mut self, node: usize) {
        let life = self.address[node];
        self.note(&format!("kill {}", self.lives[life].instance_name()));
        self.lives[life].alive = false;
        self.lives[life].disturbed_at = Some(self.now);
        self.tell_all_down(life);
    }

    /// Starts a new process of a node at the same address, without state.
    pub fn replace(&mut self, node: usize) {
        let old = self.address[node];
        let incarnation = self.lives[old].instance.incarnation.0 + 1;
        self.lives[old].deaf = true;
        self.lives[old].backlog.clear();
        self.lives[old].disturbed_at = Some(self.now);
        self.start_life(node, incarnation);
        let name = self.lives[self.address[node]].instance_name();
        self.note(&format!("start {name}"));
    }

    pub fn freeze(&mut self, node: usize) {
        let life = self.address[node];
        self.note(&format!("freeze {}", self.lives[life].instance_name()));
        self.lives[life].frozen = true;
        self.lives[life].disturbed_at = Some(self.now);
        self.tell_all_down(life);
    }

    pub fn thaw(&mut self, life: usize) {
        if !self.lives[life].frozen {
            return;
        }
        self.note(&format!("thaw {}", self.lives[life].instance_name()));
        self.lives[life].frozen = false;
        self.lives[life].disturbed_at = Some(self.now);
        let backlog = std::mem::take(&mut self.lives[life].backlog);
        for event in backlog {
            self.schedule(life, ms(0), event);
        }
        if self.lives[life].alive && !self.lives[life].deaf {
            self.tell_all_up(life);
        }
    }

    /// Starts the drain of a node. The caller replaces the node once it is drained.
    pub fn drain(&mut self, node: usize) {
        let life = self.address[node];
        self.note(&format!("drain {}", self.lives[life].instance_name()));
        let instance = self.lives[life].instance;
        self.tell(life, GuardEvent::DrainRequested);
        for listener in 0..self.lives.len() {
            if listener != life && self.lives[listener].alive {
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
