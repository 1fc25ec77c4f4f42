//! Contracts.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::ContractAccepted,
        reserved: false,
        means: "A change that was published through this daemon was read back from the log, amends the \
                newest version and has no findings. Every daemon comes to the same verdict and tells \
                it by `SL5003`.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::ContractRejected,
        reserved: false,
        means: "A change in the log amends an older version than the newest, or has findings. \
                Every daemon rejects it alike; the contract stays as it was.",
        act: "Whoever published it should look at the newest version with `sycamorelink contract \
                show`, amend that, and publish again.",
    },
    EventEntry {
        code: EventCode::ContractInForce,
        reserved: false,
        means: "This daemon applies the contract version in `version`.",
        act: "Nothing. `sycamorelink fleet` shows daemons that lag.",
    },
    EventEntry {
        code: EventCode::ContractCarried,
        reserved: false,
        means: "Contracts near the end of the log's retention were appended again, unchanged, so \
                that they are not lost. Any daemon may do it; doing it twice changes nothing.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::PoisonRecord,
        reserved: false,
        means: "A record in the contract stream cannot be decoded. It is skipped by every daemon \
                alike and later records apply as usual.",
        act: "Find out what wrote it at `offset`. Nothing is lost but that record: publish the \
                change again when there was one in it.",
    },
    EventEntry {
        code: EventCode::ContractDisagreement,
        reserved: false,
        means: "A version learnt from a peer is not what the log has at that offset. The log is \
                right: the version is dropped and the log's applied.",
        act: "Look at the peer named: it runs other software, or belongs to another fleet. \
                Report it; this must not happen.",
    },
    EventEntry {
        code: EventCode::ContractBehind,
        reserved: false,
        means: "This daemon heard of a newer version and could not get it yet. It goes on with its \
                own, which is older and still valid.",
        act: "When it lasts for more than half a minute, look for `SL7001` and `SL6008`.",
    },
    EventEntry {
        code: EventCode::ContractOlder,
        reserved: true,
        means: "A peer or a reader offered a version older than the one in force. It was dropped: \
                versions never go back.",
        act: "Nothing, unless one peer does it all the time: then restart that daemon.",
    },
    EventEntry {
        code: EventCode::ContractFromPeer,
        reserved: false,
        means: "The daemon started while the log could not be read, and took the newest contracts \
                that its peers know.",
        act: "Nothing. It checks them against the log as soon as that is back.",
    },
    EventEntry {
        code: EventCode::PublishUnconfirmed,
        reserved: false,
        means: "A publication got no reply from the log, so nobody can tell yet whether it is \
                in. It is settled by reading the log, never by appending again.",
        act: "Wait for `SL7005`, or ask with `sycamorelink contract wait` and the id of the \
                change. Sending it again with that id makes it once.",
    },
    EventEntry {
        code: EventCode::CarryOverdue,
        reserved: false,
        means: "Contracts come close to being dropped by the log and nobody could append them \
                again.",
        act: "Bring the log service back. Daemons keep the contracts in memory, but a fleet \
                restarted as a whole after the drop would have none.",
    },
    EventEntry {
        code: EventCode::ContractMissing,
        reserved: false,
        means: "No contracts, neither from the log nor from a peer. Requests get `not-ready`.",
        act: "Look for `SL7001` and whether the daemon reaches any peer (`SL6008`). In a new \
                fleet: publish the first contract.",
    },
    EventEntry {
        code: EventCode::SourceFollowed,
        reserved: false,
        means: "A few daemons of each failure domain read the source of contracts and pass new versions \
                on to the others. `reason` is `started` or `stopped`, `version` is the version in \
                force, and `count` the number of present members in the roster of this daemon.",
        act: "Nothing. When contracts arrive late, check which daemons followed the source at that \
                time and whether they logged `SL7001`.",
    },
];
