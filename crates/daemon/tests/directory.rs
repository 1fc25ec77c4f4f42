//! How many nodes leave an entry where nodes find each other.

use sycamorelink_daemon::members::ListingPolicy;

/// Sizes of fleets, and most entries that each may write: a few times the root of its size.
const FLEETS: [(u64, usize); 5] = [(25, 20), (96, 40), (300, 70), (983, 125), (12_069, 440)];
/// Fewest entries: nodes that start find somebody though most of the listed ones were lost.
const FEWEST: usize = 8;

// Guards against a directory that grows like the fleet: every node writes to it, and every node reads all.
#[test]
fn entries_grow_with_the_root_of_the_fleet() {
    for (nodes, most) in FLEETS {
        let mut listed = 0;
        for seed in 0..nodes {
            listed += usize::from(ListingPolicy::new(seed).is_listed_beside(listed));
        }
        assert!(
            (FEWEST..=most).contains(&listed),
            "{nodes} nodes: {listed} entries"
        );
    }
}

// Guards against a fleet that writes at once after all listed nodes were lost, and against one that never does.
#[test]
fn a_fleet_whose_listed_nodes_are_lost_writes_little_by_little() {
    let mut nodes: Vec<ListingPolicy> = (0..983).map(ListingPolicy::new).collect();
    let mut written: Vec<usize> = Vec::new();
    for _ in 0..4 {
        let now = nodes
            .iter_mut()
            .map(|node| usize::from(node.is_listed_alone()));
        written.push(now.sum());
    }
    assert!(written[0] > 0 && written[0] < 60, "{written:?}");
    assert_eq!(written[3], 983);
}
