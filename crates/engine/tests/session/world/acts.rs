//! What a session does to the nodes, the log and the contract.

use super::*;

impl SessionWorld {
    /// An event comes to a node.
    pub fn tell(&mut self, name: &str, event: NodeEvent) {
        self.feed(node(name), event);
    }

    /// The log can be reached by nobody, or again by everybody.
    pub fn set_log(&mut self, up: bool) {
        self.log_up = up;
        let ids: Vec<NodeId> = self.engines.keys().copied().collect();
        for id in ids {
            self.feed(id, NodeEvent::LogReachable(up));
            if up {
                self.read_logs(id);
            }
        }
    }

    /// A node ends at once, with everything it remembered.
    pub fn kill(&mut self, name: &str) {
        let id = node(name);
        self.engines.remove(&id);
        self.frozen.remove(&id);
        self.queue
            .retain(|_, waiting| !matches!(waiting, Happening::Event(to, _) if *to == id));
        self.audit.ended(id);
        self.followers.remove(&id);
        let works = std::mem::take(&mut self.works);
        let (lost, kept) = works.into_iter().partition(|((at, _), _)| *at == id);
        self.works = kept;
        for running in BTreeMap::into_values(lost) {
            self.lose(running, DELAY);
        }
        let crashed = std::mem::take(&mut self.crashed);
        let (lost, kept) = crashed.into_iter().partition(|((at, _), _)| *at == id);
        self.crashed = kept;
        for (running, _) in BTreeMap::into_values(lost) {
            self.lose(running, DELAY);
        }
        self.note(&format!("{name}: killed"));
    }

    /// A node stands still; what is sent to it waits.
    pub fn freeze(&mut self, id: NodeId) {
        self.note(&format!("{}: frozen", self.names[&id]));
        self.frozen.entry(id).or_default();
    }

    /// A frozen node goes on. Datagrams beyond the first few were dropped.
    pub fn thaw(&mut self, id: NodeId) {
        self.note(&format!("{}: thawed", self.names[&id]));
        let mut datagrams = 0_u32;
        for event in self.frozen.remove(&id).unwrap_or_default() {
            datagrams += u32::from(matches!(event, NodeEvent::DatagramReceived { .. }));
            if datagrams <= KEPT_DATAGRAMS || !matches!(event, NodeEvent::DatagramReceived { .. }) {
                self.feed(id, event);
            }
        }
    }

    /// Another life for chance.
    pub fn reseed(&mut self, seed: u64) {
        self.rng = SmallRng::seed_from_u64(seed);
    }

    /// The virtual time.
    pub const fn now(&self) -> Duration {
        self.now
    }

    /// Whether a node stands still.
    pub fn is_frozen(&self, id: NodeId) -> bool {
        self.frozen.contains_key(&id)
    }

    /// The living nodes.
    pub fn engines(&self) -> &BTreeMap<NodeId, NodeEngine> {
        &self.engines
    }

    /// An operator amends the contract from the version that a node has in force.
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
