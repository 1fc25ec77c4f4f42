//! Tests of how many nodes write an entry to the member directory.

use sycamorelink_daemon::members::ListingPolicy;

/// Fleet sizes and the most entries that each fleet may write: a few times the square root of its
/// size.
const FLEETS: [(u64, usize); 5] = [(25, 20), (96, 40), (300, 70), (983, 125), (12_069, 440)];
/// Fewest entries, so that a starting node finds another one even when most listed nodes are lost.
const MIN_ENTRIES: usize = 8;

// Every node reads the whole directory, so the directory must not grow in proportion to the fleet.
#[test]
fn entry_count_grows_with_square_root_of_fleet_size() {
    for (nodes, max_entries) in FLEETS {
        let mut listed = 0;
        for seed in 0..nodes {
            listed += usize::from(ListingPolicy::new(seed).should_list_at_start(listed));
        }
        assert!(
            (MIN_ENTRIES..=max_entries).contains(&listed),
            "{nodes} nodes: {listed} entries"
        );
    }
}

// When all listed nodes are lost, the remaining nodes must not write all at once, but each must
// write eventually.
#[test]
fn isolated_nodes_write_entries_gradually() {
    let mut nodes: Vec<ListingPolicy> = (0..983).map(ListingPolicy::new).collect();
    let mut written: Vec<usize> = Vec::new();
    for _ in 0..4 {
        let now = nodes
            .iter_mut()
            .map(|node| usize::from(node.should_list_when_isolated()));
        written.push(now.sum());
    }
    assert!(written[0] > 0 && written[0] < 60, "{written:?}");
    assert_eq!(written[3], 983);
}
