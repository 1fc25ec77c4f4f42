//! Start and stop of daemons and backend servers.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::DaemonStarted,
        reserved: false,
        means: "The process runs and has read its settings. It does not take requests yet: it \
                still needs a roster and contracts.",
        act: "Nothing. A second one for the same instance without `SL1004` between them means \
                that the process was ended from outside.",
    },
    EventEntry {
        code: EventCode::DaemonReady,
        reserved: false,
        means: "The daemon has contracts and knows other daemons, and takes callers' requests.",
        act: "Nothing. When it does not follow `SL1001` within half a minute, look for `SL5012`, \
                `SL7001` and `SL6008`.",
    },
    EventEntry {
        code: EventCode::DaemonDraining,
        reserved: false,
        means: "The daemon was told to leave, by SIGTERM or `sycamorelink drain`. It told the \
                others, refuses new requests with `draining` and finishes those in flight.",
        act: "Nothing. Stop the process only after `SL1004`. A SIGINT meanwhile cuts what is \
                left, see `SL1005`.",
    },
    EventEntry {
        code: EventCode::DaemonStopped,
        reserved: false,
        means: "Every request in flight was answered and every key the daemon kept was handed \
                over. The process ends.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::DrainCut,
        reserved: false,
        means: "The process ended before its requests did. `count` callers lost their \
                connection; non-idempotent ones among them have an unknown end and are answered \
                so on a resend.",
        act: "Find who sent the interrupt, or raise `drain.limit` in the settings, and \
                give instances that much time when they are replaced. Check the `unknown` \
                answers of the minutes after.",
    },
    EventEntry {
        code: EventCode::SettingsInvalid,
        reserved: true,
        means: "The settings file cannot be read or breaks a rule. Every finding is listed with \
                its place.",
        act: "Correct the places named and check with `sycamorelink settings check` before the \
                next start.",
    },
    EventEntry {
        code: EventCode::ListenFailed,
        reserved: false,
        means: "An address in the settings is in use, not one of the instance's, or not permitted.",
        act: "Look at `address` and `reason`; most often an earlier process still runs on this \
                instance.",
    },
    EventEntry {
        code: EventCode::DutyFailed,
        reserved: false,
        means: "One of the daemon's threads ended by a fault. The process stops taking requests, \
                since it could no longer keep its promises.",
        act: "Report it with the log around it. The instance can be restarted at once; its share \
                of the work goes elsewhere.",
    },
    EventEntry {
        code: EventCode::RingFull,
        reserved: false,
        means: "A thread fell behind and an entry for it was dropped. What may not be lost is \
                never sent over such a ring without being refused to the caller.",
        act: "When it repeats, the instance is too small for its load: look at its processor use \
                and at `ring_full` by `ring`.",
    },
    EventEntry {
        code: EventCode::UpstreamAnnounced,
        reserved: false,
        means: "A backend server on this instance told its daemon that it exists, with its service \
                and slots.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::UpstreamReady,
        reserved: false,
        means: "The backend server takes work and every daemon may send it requests.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::UpstreamLeaving,
        reserved: false,
        means: "The backend server told its daemon that it drains. Within a few seconds no daemon \
                sends it new work; what runs is finished.",
        act: "Nothing, unless nobody meant it to leave.",
    },
    EventEntry {
        code: EventCode::UpstreamGone,
        reserved: false,
        means: "The backend server is gone and nothing was in flight at it.",
        act: "Nothing. When it was not announced by `SL1012`, look for `SL1014`.",
    },
    EventEntry {
        code: EventCode::HeartbeatLapsed,
        reserved: false,
        means: "The backend server stopped sending heartbeats to the daemon beside it. It is \
                treated as gone: no new work, and what was in flight there has an unknown end \
                unless its reply still comes.",
        act: "Look at the backend server's process on that instance. Frequent lapses with a \
                living process mean that it stalls.",
    },
    EventEntry {
        code: EventCode::UpstreamWarming,
        reserved: true,
        means: "A backend server that started cold gets a small share of the work which grows \
                while it answers well.",
        act: "Nothing. A warming that never ends means that it stays slow: compare with \
                `SL3002`.",
    },
    EventEntry {
        code: EventCode::ClockStalled,
        reserved: false,
        means: "The daemon did not run for `duration`, by a paused instance or a starved \
                processor. Its timers are moved by that much, so that it does not blame others \
                for its own pause, and what it held by lease counts as lapsed.",
        act: "One is harmless. When it repeats, the instance is starved: move it or give it \
                more processor.",
    },
    EventEntry {
        code: EventCode::LogStarted,
        reserved: false,
        means: "Logging is set up with the format and filter of the settings.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::DaemonSuperseded,
        reserved: false,
        means: "A newer life of this daemon is in the roster, under the same name. Two lives at \
                once could both answer for one seat, so the older one stops.",
        act: "Nothing when the instance was replaced. When both were meant to run, look for \
                `SL6012`.",
    },
    EventEntry {
        code: EventCode::SettingsReloaded,
        reserved: false,
        means: "The settings file was read again, on SIGHUP or because it had changed, and has no \
                findings. `reason` says what became of it: seeds are taken over at once, all \
                else at the next start.",
        act: "Restart the daemon when changes wait for it.",
    },
    EventEntry {
        code: EventCode::SettingsRejected,
        reserved: false,
        means: "The settings file was read again and has findings, which `reason` names. The \
                settings in force stay. A faulty file is told once, and again on each SIGHUP.",
        act: "Mend the file and send SIGHUP; `sycamorelink settings check` names all findings.",
    },
];
