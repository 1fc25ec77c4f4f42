//! Detection of gray failures and balancing.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::UpstreamSuspected,
        reserved: false,
        means: "Real requests to this upstream fail or take longer than at its peers, or than \
                before. It is watched more closely and keeps its work.",
        act: "Nothing yet. `reason` names the evidence: error, slowness, wrong replies or \
                silence.",
    },
    EventEntry {
        code: EventCode::WeightShifted,
        reserved: false,
        means: "The upstream gets a smaller share of work, in steps, as its evidence gets worse. \
                This costs less than an ejection and is taken back as easily.",
        act: "Look at the backend server when it lasts. A shift that follows a release of the \
                service is worth a word to its owner.",
    },
    EventEntry {
        code: EventCode::UpstreamEjected,
        reserved: false,
        means: "The evidence against the upstream was enough, and the service keeps its floor \
                without it. It gets only trial requests.",
        act: "Look at the backend server. It comes back by itself when trials succeed. If it was \
                healthy, report the `reason`: a false ejection matters.",
    },
    EventEntry {
        code: EventCode::UpstreamReadmitted,
        reserved: true,
        means: "Trials succeeded and the upstream gets work again, with a share that grows slowly.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::UpstreamRecovered,
        reserved: false,
        means: "The upstream has its whole share of work again.",
        act: "Nothing.",
    },
    EventEntry {
        code: EventCode::FloorHeld,
        reserved: false,
        means: "More upstreams look sick than the service can do without. The least bad ones stay \
                in use, since sick capacity is better than none, and callers may see slow or \
                failed replies.",
        act: "Act now: the service has no reserve left. Look for the common cause (`SL3007`), \
                for a release, or for a dependency of the backend servers. Adding backend servers \
                helps at once.",
    },
    EventEntry {
        code: EventCode::SharedCause,
        reserved: false,
        means: "Many upstreams turned bad together. One cause beside them is more likely than so \
                many faults, so ejections are held back.",
        act: "Look for what they share: a dependency, a failure domain, a release, the network. \
                `domain` says whether they are all in one.",
    },
    EventEntry {
        code: EventCode::ObserverSuspect,
        reserved: false,
        means: "This daemon fails to reach most of the fleet while others reach each other. Its \
                evidence is worth little, so it ejects nobody and its reports are discounted.",
        act: "Look at the network of this instance, one direction at a time (`SL6005`). Drain \
                the daemon when its callers suffer.",
    },
    EventEntry {
        code: EventCode::ConnectionSuspect,
        reserved: false,
        means: "One connection no longer answers while new ones to the same place do; something \
                between the two ends lost track of it. It is closed, and the upstream is not \
                blamed.",
        act: "Nothing for one. Many point to a device between the instances that drops idle \
                connections.",
    },
    EventEntry {
        code: EventCode::FlapLengthened,
        reserved: true,
        means: "The upstream was ejected again soon after coming back. Each time it stays out \
                longer, up to a bound.",
        act: "Look at the backend server: something in it comes and goes, such as long pauses \
                for collection or a full disk queue.",
    },
    EventEntry {
        code: EventCode::VerdictConflict,
        reserved: true,
        means: "Some daemons find the upstream sick and others well. That fits a partial network \
                fault better than a sick backend server.",
        act: "Compare the failure domains of those daemons with `sycamorelink fleet`, and look \
                for `SL6005`.",
    },
    EventEntry {
        code: EventCode::TrialFailed,
        reserved: true,
        means: "A trial request to an ejected upstream failed and it stays out. Off by default.",
        act: "Nothing beyond `SL3003`.",
    },
    EventEntry {
        code: EventCode::UpstreamSilent,
        reserved: true,
        means: "Requests went to this upstream and nothing came back, on fresh connections too. It \
                counts as failed sooner than a slow one.",
        act: "Look at the backend server's process, and at the network to its instance from \
                here.",
    },
    EventEntry {
        code: EventCode::HealthContradicted,
        reserved: true,
        means: "The health endpoint says well while real requests fail, or the reverse. Real \
                requests decide.",
        act: "Tell the owner of the service: its health endpoint does not tell what callers \
                meet.",
    },
    EventEntry {
        code: EventCode::WorkHeldOff,
        reserved: false,
        means: "The backend server beside this daemon lost a connection, garbled a reply or failed \
                requests close together. Work that must not repeat goes elsewhere; repeatable \
                work is let through one request at a time as a trial. `reason` names the end \
                that decided it and the odds in nats.",
        act: "Nothing for a short while. When one backend server is held off again and again, look \
                at it.",
    },
    EventEntry {
        code: EventCode::WorkReleased,
        reserved: false,
        means: "Trials at the backend server beside this daemon went well, or nothing bad was \
                seen for some seconds.",
        act: "Nothing.",
    },
];
