//! What the membership puts into a datagram against what the inner protocol takes.

use sycamorelink_roster::RosterSettings;
use sycamorelink_wire::DATAGRAM_PAYLOAD;

// Guards against full datagrams, which a large fleet that starts sends most, being dropped unsent because
// their seal made them too long.
#[test]
fn a_full_datagram_of_the_membership_can_be_sealed() {
    assert!(RosterSettings::default().datagram_bytes <= DATAGRAM_PAYLOAD);
}
