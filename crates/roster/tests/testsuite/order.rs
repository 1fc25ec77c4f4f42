use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sycamorelink_roster::{
    MemberRumour, MemberStanding, MessagePurpose, NodeRoster, RosterEvent, RosterMessage,
    RosterSettings, SlotRun, UpstreamPhase,
};

use crate::network::{address, facts};

const NOW: Duration = Duration::from_secs(1);

fn standing() -> impl Strategy<Value = MemberStanding> {
    prop_oneof![
        Just(MemberStanding::Alive),
        Just(MemberStanding::Leaving),
        Just(MemberStanding::Left),
        Just(MemberStanding::Dead),
    ]
}

/// Generates rumours about members 1 to 3 in one incarnation. The values of a slot are derived from
/// its sequence, because a member never uses a sequence twice.
fn rumour() -> impl Strategy<Value = MemberRumour> {
    let member = (1..4_usize, 0..4_u32, standing()).prop_map(|(index, revision, standing)| {
        MemberRumour::Standing {
            instance: facts(index, 1_000).instance,
            revision,
            standing,
        }
    });
    let slots = (1..4_usize, 0..6_u16, 1..6_u32).prop_map(|(index, first, sequence)| {
        let gone = sequence % 3 == 0;
        MemberRumour::Upstreams {
            instance: facts(index, 1_000).instance,
            service: (!gone).then(|| "orders".into()),
            runs: vec![SlotRun {
                first,
                count: 2,
                slots: 5,
                phase: UpstreamPhase::Ready,
                sequence,
            }],
        }
    });
    prop_oneof![member, slots]
}

fn roster_after(rumours: &[MemberRumour]) -> NodeRoster {
    let mut roster = NodeRoster::new(RosterSettings::default(), facts(0, 1_000), 1);
    let members = (1..4).map(|index| MemberRumour::Member {
        facts: facts(index, 1_000),
        revision: 0,
        standing: MemberStanding::Alive,
    });
    for rumour in members.chain(rumours.iter().cloned()) {
        let message = RosterMessage {
            from: facts(9, 1_000).instance,
            root: 0,
            purpose: MessagePurpose::Gossip,
            rumours: vec![rumour],
        };
        let from = address(9);
        roster.handle(
            NOW,
            RosterEvent::Datagram { from, message },
            &mut Vec::new(),
        );
    }
    roster
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two nodes receive the same rumours in different orders, some of them twice. Their members,
    /// upstreams and hashes must agree, or digest exchanges would never end.
    #[test]
    fn merge_result_does_not_depend_on_order(
        rumours in proptest::collection::vec(rumour(), 0..24),
        shuffled in any::<prop::sample::Index>(),
    ) {
        let mut other = rumours.clone();
        if !other.is_empty() {
            let middle = shuffled.index(other.len());
            other.rotate_left(middle);
            other.reverse();
            other.extend_from_slice(&rumours[middle..]);
        }
        let (first, second) = (roster_after(&rumours), roster_after(&other));
        prop_assert_eq!(first.members(), second.members());
        prop_assert_eq!(first.upstreams("orders"), second.upstreams("orders"));
        prop_assert_eq!(first.root(), second.root());
    }
}
