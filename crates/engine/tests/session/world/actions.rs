//! Actions of a session on the nodes, the log and the contract.

use sycamorelink_engine::{LifeId, UpstreamLife};

use super::*;

impl SessionWorld {
    /// Passes an event to a node.
    pub fn send_event(&mut self, name: &str, event: NodeEvent) {
        self.feed(node(name), event);
    }

    /// Announces an incarnation of a node's backend server under a name.
    pub fn announce_life(&mut self, name: &str, life: &str, order: u64) {
        let id = LifeId {
            name: Arc::from(life),
            started: None,
        };
        let announced = UpstreamAnnouncement {
            slot: 0,
            service: ServiceName::new("orders"),
            slots: 5,
            phase: UpstreamPhase::Ready,
            life: Some(UpstreamLife { id, order }),
            warm_up: None,
        };
        self.send_event(name, NodeEvent::UpstreamAnnounced(announced));
    }

    /// Announces a second backend server beside a node, in slot 1, that runs another service.
    pub fn announce_second(&mut self, name: &str, service: &ServiceName) {
        let announced = UpstreamAnnouncement {
            slot: 1,
            service: service.clone(),
            slots: 5,
            phase: UpstreamPhase::Ready,
            life: None,
            warm_up: None,
        };
        self.send_event(name, NodeEvent::UpstreamAnnounced(announced));
    }

    /// Makes the log reachable or unreachable for all nodes.
    pub fn set_log_reachable(&mut self, reachable: bool) {
        self.log_reachable = reachable;
        let ids: Vec<NodeId> = self.engines.keys().copied().collect();
        for id in ids {
            self.feed(id, NodeEvent::LogReachable(reachable));
            if reachable {
                self.read_logs(id);
            }
        }
    }

    /// Kills a node, which loses all its state.
    pub fn kill(&mut self, name: &str) {
        let id = node(name);
        self.engines.remove(&id);
        self.frozen.remove(&id);
        self.queue
            .retain(|_, waiting| !matches!(waiting, QueuedItem::Event(to, _) if *to == id));
        self.audit.on_node_end(id);
        self.followers.remove(&id);
        let works = std::mem::take(&mut self.works);
        let (lost, kept) = works.into_iter().partition(|((at, _), _)| *at == id);
        self.works = kept;
        for running in BTreeMap::into_values(lost) {
            self.lose_connection(running, LINK_DELAY);
        }
        let crashed = std::mem::take(&mut self.withheld_failures);
        let (lost, kept) = crashed.into_iter().partition(|((at, _), _)| *at == id);
        self.withheld_failures = kept;
        for (running, _) in BTreeMap::into_values(lost) {
            self.lose_connection(running, LINK_DELAY);
        }
        self.note(&format!("{name}: killed"));
    }

    /// Freezes a node; events for it are queued.
    pub fn freeze(&mut self, id: NodeId) {
        self.note(&format!("{}: frozen", self.names[&id]));
        self.frozen.entry(id).or_default();
    }

    /// Resumes a frozen node. Datagrams beyond the capacity of its socket are dropped.
    pub fn thaw(&mut self, id: NodeId) {
        self.note(&format!("{}: thawed", self.names[&id]));
        let mut datagrams = 0_u32;
        for event in self.frozen.remove(&id).unwrap_or_default() {
            datagrams += u32::from(matches!(event, NodeEvent::DatagramReceived { .. }));
            if datagrams <= SOCKET_DATAGRAMS || !matches!(event, NodeEvent::DatagramReceived { .. })
            {
                self.feed(id, event);
            }
        }
    }

    /// Replaces the seed of the simulation's random numbers.
    pub fn reseed(&mut self, seed: u64) {
        self.rng = SmallRng::seed_from_u64(seed);
    }

    /// Returns the virtual time.
    pub const fn now(&self) -> Duration {
        self.now
    }

    /// Returns whether a node is frozen.
    pub fn is_frozen(&self, id: NodeId) -> bool {
        self.frozen.contains_key(&id)
    }

    /// Returns the engines of the running nodes.
    pub fn engines(&self) -> &BTreeMap<NodeId, NodeEngine> {
        &self.engines
    }

    /// Appends an operator's contract change, based on the version that a node has in force.
    pub fn amend(&mut self, id: NodeId, change: u128, concurrency: u32) {
        let Some(engine) = self.engines.get(&id) else {
            return;
        };
        let mut contract = samples::brannock();
        contract.concurrency = concurrency;
        for service in &mut contract.services {
            service.floor = 0.4;
            service.floor_count = 1;
        }
        let version = engine.table().customers().next();
        let base = version.map_or(ContractVersion(0), |(_, rule)| rule.version);
        let seen = engine.book().next_offset();
        let customer = contract.customer.clone();
        let change =
            ContractChange::builder(ChangeId(change), customer, ChangeAction::put(&contract))
                .author("operator", &contract.team)
                .base(base)
                .seen(seen)
                .build();
        self.note(&format!(
            "{}: contract amended on {}",
            self.names[&id], base.0
        ));
        self.append(LogStream::Contracts, change.encode());
    }
}
