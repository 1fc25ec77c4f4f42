//! Nodes that start together, each of which knows only itself.

use sycamorelink_core::ServiceName;

use crate::fleet_form::contract;
use crate::world::SessionWorld;

/// Nodes that start at once.
const NODES: u8 = 60;
/// Bytes that each may gossip a second: to tell all of all, as much as a thousand nodes need with the default.
const GOSSIP_BYTES: u32 = 1_000;

// Guards against work for a few servers beside many that nobody has heard of: gossip alone takes minutes
// until all nodes of a large fleet that starts know all others.
#[test]
fn nodes_that_start_together_soon_know_all_servers() {
    let world = SessionWorld::start_fleet_with_gossip(NODES, contract(1, "/prices/"), GOSSIP_BYTES);
    let orders = ServiceName::new("orders");
    for (id, engine) in world.engines() {
        let known = engine.service(&orders).upstreams.len();
        assert_eq!(known, usize::from(NODES), "at {id:?}");
    }
}
