//! Events 6000 to 6999: the roster, the membership of the fleet.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::MemberUp,
        reserved: false,
        meaning: "Another daemon joined the fleet and is in the roster of this daemon.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::MemberDown,
        reserved: false,
        meaning: "Several daemons could not reach the daemon and declared it down. Its upstreams \
                get no work and other daemons take its guard seats.",
        action: "Look at that instance, unless it is being replaced.",
    },
    EventEntry {
        code: EventCode::MemberSuspected,
        reserved: false,
        meaning: "The daemon answered neither direct probes nor probes through other daemons. It \
                is declared down unless it answers within a short time.",
        action: "Nothing. Many at once: look for `SL6008`.",
    },
    EventEntry {
        code: EventCode::MemberRefuted,
        reserved: false,
        meaning: "The suspected daemon answered and stays up.",
        action: "Nothing. A daemon that is suspected repeatedly is short of processor time or \
                has a bad network link.",
    },
    EventEntry {
        code: EventCode::MemberOneWay,
        reserved: true,
        meaning: "Messages from the daemon arrive here but messages to it are lost, or the \
                reverse. Requests take routes that work in both directions.",
        action: "Look at the network between the two failure domains, in the direction named by \
                `reason`.",
    },
    EventEntry {
        code: EventCode::MemberLeft,
        reserved: false,
        meaning: "The daemon drained and announced that it leaves. Nothing that it held is lost.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::MemberRestarted,
        reserved: false,
        meaning: "The daemon restarted with a higher incarnation. Commitments of its earlier \
                incarnation are void, and messages addressed to that one are dropped.",
        action: "Nothing. When it repeats within minutes, look at that instance's log.",
    },
    EventEntry {
        code: EventCode::RosterSplit,
        reserved: false,
        meaning: "A quarter or more of the daemons known are lost, `count` of `limit`. This \
                daemon continues with the daemons that it reaches; limits shrink so that both \
                parts together stay within the contracts.",
        action: "Look at the network between failure domains. Do not restart daemons: they would \
                lose the state that they still hold in memory.",
    },
    EventEntry {
        code: EventCode::RosterHealed,
        reserved: false,
        meaning: "Fewer than one in eight of the daemons known are still lost, and the parts of \
                the fleet exchange their state again.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::SelfSuspected,
        reserved: false,
        meaning: "Other daemons do not get answers from this daemon in time. It waits longer \
                before it suspects others, since the fault is more likely its own.",
        action: "Look at this instance's processor and network.",
    },
    EventEntry {
        code: EventCode::GossipOverBudget,
        reserved: true,
        meaning: "More has changed than fits in the traffic budget. The most important changes go \
                first and the rest follows later; spreading takes longer.",
        action: "Nothing while instances are being replaced in bulk. Otherwise find what changes so \
                often: a flapping instance, or an upstream that starts and stops.",
    },
    EventEntry {
        code: EventCode::NameClash,
        reserved: true,
        meaning: "Two instances use the same name in their settings at the same time. Their ids \
                are equal too, and others cannot tell them apart.",
        action: "Correct the settings of one of them now: requests and guard seats can go to the \
                wrong one.",
    },
    EventEntry {
        code: EventCode::SelfRecovered,
        reserved: false,
        meaning: "The daemon gets answers from other daemons again, and probes and suspects them \
                as usual.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::SpreadRefused,
        reserved: false,
        meaning: "An update that this daemon should spread by gossip, such as the name of a \
                service, is larger than one message may be. Other daemons do not get it.",
        action: "Look at `reason`, and shorten what it names.",
    },
    EventEntry {
        code: EventCode::RosterJoined,
        reserved: false,
        meaning: "The daemon has received the first complete roster from its seeds.",
        action: "Nothing.",
    },
];
