//! Membership transfer to nodes that start together and each know only themselves.

use sycamorelink_core::ServiceName;

use crate::fleet_contract::contract;
use crate::world::SessionWorld;

/// Number of nodes that start at the same time.
const NODES: u8 = 60;
/// Gossip budget of each node in bytes per second. Relative to the size of the fleet this equals
/// the default budget in a fleet of a thousand nodes.
const GOSSIP_BYTES: u32 = 1_000;

// Guards against work being sent to the few servers that are known while others are idle: gossip
// alone takes minutes to inform all nodes of a large fleet of each other.
#[test]
fn nodes_that_start_together_discover_all_servers() {
    let world = SessionWorld::start_fleet_with_gossip(NODES, contract(1, "/prices/"), GOSSIP_BYTES);
    let orders = ServiceName::new("orders");
    for (id, engine) in world.engines() {
        let known = engine.service(&orders).upstreams.len();
        assert_eq!(known, usize::from(NODES), "at {id:?}");
    }
}
