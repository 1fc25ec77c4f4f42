//! Events 5000 to 5999: contracts.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::ContractAccepted,
        reserved: false,
        meaning: "A change that was published through this daemon was read back from the log, \
                amends the newest version and has no findings. Every daemon reaches the same \
                result and logs `SL5003` when the version is in force.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::ContractRejected,
        reserved: false,
        meaning: "A change in the log amends a version that is not the newest one, or has \
                findings. Every daemon rejects it, and the contract stays unchanged.",
        action: "The author of the change should look at the newest version with `sycamorelink \
                contract show`, amend that version, and publish again.",
    },
    EventEntry {
        code: EventCode::ContractInForce,
        reserved: false,
        meaning: "This daemon applies the contract version in `version`.",
        action: "Nothing. `sycamorelink fleet` shows daemons that lag.",
    },
    EventEntry {
        code: EventCode::ContractCarried,
        reserved: false,
        meaning: "Contracts near the end of the log's retention were appended again, unchanged, so \
                that they are not lost. Any daemon may do it; doing it twice changes nothing.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::PoisonRecord,
        reserved: false,
        meaning: "A record in the contract stream cannot be decoded. Every daemon skips it; \
                later records apply as usual.",
        action: "Find out which program wrote the record at `offset`. Only that record is lost: \
                if it was a change of a contract, publish the change again.",
    },
    EventEntry {
        code: EventCode::ContractDisagreement,
        reserved: false,
        meaning: "A version received from a peer differs from the record at that offset in the \
                log. The version from the peer is dropped and the one in the log applied.",
        action: "Look at the daemon in `peer`: it may run another version of the software or \
                belong to another fleet. Report the event; it must not happen.",
    },
    EventEntry {
        code: EventCode::ContractBehind,
        reserved: false,
        meaning: "This daemon knows that a newer version exists but could not fetch it yet. It \
                keeps using its own version, which is older but still valid.",
        action: "When it lasts for more than half a minute, look for `SL7001` and `SL6008`.",
    },
    EventEntry {
        code: EventCode::ContractOlder,
        reserved: true,
        meaning: "A peer or a reader offered a version older than the one in force. It was \
                dropped: the version in force never decreases.",
        action: "Nothing, unless one peer does it all the time: then restart that daemon.",
    },
    EventEntry {
        code: EventCode::ContractFromPeer,
        reserved: false,
        meaning: "The daemon started while the log could not be read, and took the newest contracts \
                that its peers know.",
        action: "Nothing. It checks them against the log as soon as that is back.",
    },
    EventEntry {
        code: EventCode::PublishUnconfirmed,
        reserved: false,
        meaning: "A publication got no reply from the log, so it is not yet known whether the \
                log has it. The daemon reads the log to find out and never appends the record \
                again.",
        action: "Wait for `SL7005`, or ask with `sycamorelink contract wait` and the id of the \
                change. Publishing again with the same id does not apply the change twice.",
    },
    EventEntry {
        code: EventCode::CarryOverdue,
        reserved: false,
        meaning: "The retention of the log will soon drop contracts, and no daemon could append \
                them again.",
        action: "Bring the log service back. Daemons keep the contracts in memory, but a fleet \
                restarted as a whole after the drop would have none.",
    },
    EventEntry {
        code: EventCode::ContractMissing,
        reserved: false,
        meaning: "No contracts, neither from the log nor from a peer. Requests get `not-ready`.",
        action: "Look for `SL7001` and whether the daemon reaches any peer (`SL6008`). In a new \
                fleet: publish the first contract.",
    },
    EventEntry {
        code: EventCode::SourceFollowed,
        reserved: false,
        meaning: "A few daemons of each failure domain read the source of contracts and pass new versions \
                on to the others. `reason` is `started` or `stopped`, `version` is the version in \
                force, and `count` the number of present members in the roster of this daemon.",
        action: "Nothing. When contracts arrive late, check which daemons followed the source at that \
                time and whether they logged `SL7001`.",
    },
    EventEntry {
        code: EventCode::ContractSent,
        reserved: false,
        meaning: "A peer asked for a contract newer than its own and got one. `peer` is the receiver, \
                `version` the version sent, `offset` the version that the peer has and `count` the \
                size in bytes.",
        action: "Nothing. When contracts arrive late, add up `count` for each sender: its link may be \
                the bottleneck.",
    },
    EventEntry {
        code: EventCode::ContractReceived,
        reserved: false,
        meaning: "`peer` is the sender, `version` the version in force before, `count` the size \
                in bytes and `reason` says whether the contract was applied.",
        action: "Nothing. Many contracts that are not applied show that the same version was requested \
                from several peers.",
    },
];
