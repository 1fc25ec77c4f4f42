//! Tests that the roster's datagrams leave room for the prefix and MAC of the wire protocol.

use sycamorelink_roster::RosterSettings;
use sycamorelink_wire::DATAGRAM_PAYLOAD;

// A full datagram, which is most frequent while a large fleet starts, must not become too long to
// send when the wire protocol adds its prefix and MAC.
#[test]
fn full_roster_datagram_fits_with_prefix_and_mac() {
    assert!(RosterSettings::default().datagram_bytes <= DATAGRAM_PAYLOAD);
}
