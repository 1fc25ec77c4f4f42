//! Tests that the roster's datagrams fit into sealed datagrams.

use sycamorelink_roster::RosterSettings;
use sycamorelink_wire::DATAGRAM_PAYLOAD;

// Sealing adds bytes: a full datagram, which is most frequent while a large fleet starts, must not
// become too long to send.
#[test]
fn full_roster_datagram_fits_after_sealing() {
    assert!(RosterSettings::default().datagram_bytes <= DATAGRAM_PAYLOAD);
}
