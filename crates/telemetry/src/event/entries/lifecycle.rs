//! Events 1000 to 1999: start and stop of daemons and backend servers.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::DaemonStarted,
        reserved: false,
        meaning: "The process runs and has read its settings. It does not take requests yet: it \
                still needs a roster and contracts.",
        action: "Nothing. A second one for the same instance without `SL1004` between them means \
                that the process was ended from outside.",
    },
    EventEntry {
        code: EventCode::DaemonReady,
        reserved: false,
        meaning: "The daemon has contracts and knows other daemons, and takes callers' requests.",
        action: "Nothing. When it does not follow `SL1001` within half a minute, look for `SL5012`, \
                `SL7001` and `SL6008`.",
    },
    EventEntry {
        code: EventCode::DaemonDraining,
        reserved: false,
        meaning: "The daemon is leaving because of SIGTERM or `sycamorelink drain`. It announced \
                this to the other daemons, refuses new requests with `draining` and finishes those \
                in flight.",
        action: "Nothing. Stop the process only after `SL1004`. A SIGINT meanwhile cuts what is \
                left, see `SL1005`.",
    },
    EventEntry {
        code: EventCode::DaemonStopped,
        reserved: false,
        meaning: "Every request in flight was answered and every key the daemon kept was handed \
                over. The process ends.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::DrainCut,
        reserved: false,
        meaning: "The process ended before its requests did. `count` callers lost their \
                connection; whether non-idempotent ones among their requests ran is unknown, and a \
                repeated request gets `unknown`.",
        action: "Find who sent the interrupt, or raise `drain.limit` in the settings, and \
                give instances that much time when they are replaced. Check the `unknown` \
                answers of the minutes after.",
    },
    EventEntry {
        code: EventCode::SettingsInvalid,
        reserved: true,
        meaning: "The settings file cannot be read or breaks a rule. Every finding is listed with \
                its place.",
        action: "Correct the places named and check with `sycamorelink settings check` before the \
                next start.",
    },
    EventEntry {
        code: EventCode::ListenFailed,
        reserved: false,
        meaning: "An address in the settings is in use, not one of the instance's, or not permitted.",
        action: "Look at `address` and `reason`; most often an earlier process still runs on this \
                instance.",
    },
    EventEntry {
        code: EventCode::DutyFailed,
        reserved: false,
        meaning: "A thread of the daemon ended because of a fault. The process stops taking \
                requests, since it can no longer give its guarantees.",
        action: "Report it with the log around it. The instance can be restarted at once; its share \
                of the work goes elsewhere.",
    },
    EventEntry {
        code: EventCode::RingFull,
        reserved: false,
        meaning: "A thread fell behind and an entry for it was dropped. Entries that must \
                not be lost are never dropped silently: the request that they belong to is refused.",
        action: "When it repeats, the instance is too small for its load: look at its processor use \
                and at `ring_full` by `ring`.",
    },
    EventEntry {
        code: EventCode::UpstreamAnnounced,
        reserved: false,
        meaning: "A backend server on this instance registered with its daemon, with its service \
                and slots.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::UpstreamReady,
        reserved: false,
        meaning: "The backend server takes work and every daemon may send it requests.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::UpstreamLeaving,
        reserved: false,
        meaning: "The backend server announced to its daemon that it drains. Within a few \
                seconds all daemons stop sending it new work; running work is finished.",
        action: "Nothing, unless the drain was not intended.",
    },
    EventEntry {
        code: EventCode::UpstreamGone,
        reserved: false,
        meaning: "The backend server is gone and nothing was in flight at it.",
        action: "Nothing. When it was not announced by `SL1012`, look for `SL1014`.",
    },
    EventEntry {
        code: EventCode::HeartbeatLapsed,
        reserved: false,
        meaning: "The backend server stopped sending heartbeats to the daemon beside it. It is \
                treated as gone: it gets no new work, and the outcome of work in flight is unknown \
                unless its reply still arrives.",
        action: "Look at the backend server's process on that instance. Frequent lapses while \
                the process runs mean that it stalls.",
    },
    EventEntry {
        code: EventCode::UpstreamWarming,
        reserved: true,
        meaning: "A backend server that started cold gets a small share of the work which grows \
                while it answers well.",
        action: "Nothing. A warming that never ends means that it stays slow: compare with \
                `SL3002`.",
    },
    EventEntry {
        code: EventCode::ClockStalled,
        reserved: false,
        meaning: "The daemon did not run for `duration`, because its instance was paused or \
                short of processor time. Its timers are extended by that time, so that it does not \
                suspect others because of its own pause, and its leases count as lapsed.",
        action: "One is harmless. When it repeats, the instance is short of processor time: move \
                it or give it more.",
    },
    EventEntry {
        code: EventCode::LogStarted,
        reserved: false,
        meaning: "Logging is set up with the format and filter of the settings.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::DaemonSuperseded,
        reserved: false,
        meaning: "A newer incarnation of this daemon, under the same name, is in the roster. Two \
                incarnations could both act for one guard seat, so the older one stops.",
        action: "Nothing when the instance was replaced. When both were meant to run, look for \
                `SL6012`.",
    },
    EventEntry {
        code: EventCode::SettingsReloaded,
        reserved: false,
        meaning: "The settings file was read again, on SIGHUP or because it had changed, and has \
                no findings. `reason` says what was applied: changed seeds apply at once, all \
                other changes at the next start.",
        action: "Restart the daemon if `reason` says that changes apply only at the next start.",
    },
    EventEntry {
        code: EventCode::SettingsRejected,
        reserved: false,
        meaning: "The settings file was read again and has findings, which `reason` names. The \
                settings in force stay. The event is logged once per faulty file, and again on \
                each SIGHUP.",
        action: "Correct the file and send SIGHUP; `sycamorelink settings check` names all \
                findings.",
    },
    EventEntry {
        code: EventCode::DecisionDelayed,
        reserved: false,
        meaning: "The decision thread handled one input for `duration`; `reason` is the kind of input. \
                Requests, work and messages waited meanwhile.",
        action: "When it repeats, look at the processor use of the instance, and for `contract` at \
                the size of the contract.",
    },
    EventEntry {
        code: EventCode::ReplyCutOff,
        reserved: false,
        meaning: "The daemon stopped before the caller at `address` had taken its reply: `count` \
                bytes were left. The caller sees the connection end within the reply.",
        action: "Nothing for a caller that stopped reading. If many replies are cut off, raise \
                `drain.limit`, or the time that the platform gives a process to stop.",
    },
    EventEntry {
        code: EventCode::IncarnationReplaced,
        reserved: false,
        meaning: "Another incarnation of the backend server gets the work from now on. `reason` \
                names both and why: `vacant` (the former one was gone), `later-start` (the same \
                name, started later), `service-in-force` (only its service is in the contract), \
                `unknown` (not heard before), `repeated` (it goes on announcing itself while the \
                other one is silent) or `rejected` (the server rejected work for the other one).",
        action: "Nothing after a restart. When two incarnations take turns, the server rejects work \
                for one of them: find who sends heartbeats in its name.",
    },
    EventEntry {
        code: EventCode::AnnouncementHeld,
        reserved: false,
        meaning: "A heartbeat named an incarnation that does not run as far as this daemon knows, \
                for example because it arrived late. `reason` names it and the current one.",
        action: "Nothing. If the current one is the wrong one, the next work for it corrects that.",
    },
];
