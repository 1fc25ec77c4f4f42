//! Events 3000 to 3999: detection of gray failures and balancing.

use crate::event::{EventCode, EventEntry};

pub(super) const ENTRIES: &[EventEntry] = &[
    EventEntry {
        code: EventCode::UpstreamSuspected,
        reserved: false,
        meaning: "Real requests to this upstream fail or take longer than at its peers, or than \
                before. It is monitored more closely and keeps its share of work.",
        action: "Nothing yet. `reason` names the evidence: error, slowness, wrong replies or \
                silence.",
    },
    EventEntry {
        code: EventCode::WeightShifted,
        reserved: false,
        meaning: "The upstream gets a smaller share of work, in steps, as its evidence gets \
                worse. This costs less capacity than an ejection and is easily reverted.",
        action: "Look at the backend server if the lower weight lasts. If it follows a release \
                of the service, inform the owner of the service.",
    },
    EventEntry {
        code: EventCode::UpstreamEjected,
        reserved: false,
        meaning: "The evidence against the upstream reached the threshold, and the remaining \
                upstreams of the service are above its floor. The upstream gets only trial \
                requests.",
        action: "Look at the backend server. It is readmitted automatically when trial requests \
                succeed. If it was healthy, report the event with its `reason` as a false \
                ejection.",
    },
    EventEntry {
        code: EventCode::UpstreamReadmitted,
        reserved: true,
        meaning: "Trials succeeded and the upstream gets work again, with a share that grows slowly.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::UpstreamRecovered,
        reserved: false,
        meaning: "The upstream has its whole share of work again.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::FloorHeld,
        reserved: false,
        meaning: "More upstreams look sick than the service can do without. The least bad ones stay \
                in use, since sick capacity is better than none, and callers may see slow or \
                failed replies.",
        action: "Act now: the service has no reserve left. Look for the common cause (`SL3007`), \
                for a release, or for a dependency of the backend servers. Adding backend servers \
                helps at once.",
    },
    EventEntry {
        code: EventCode::SharedCause,
        reserved: false,
        meaning: "Many upstreams turned bad together. One common cause outside of them is more \
                likely than many separate faults, so ejections are withheld.",
        action: "Look for what they share: a dependency, a failure domain, a release, the network. \
                `domain` says whether they are all in one.",
    },
    EventEntry {
        code: EventCode::ObserverSuspect,
        reserved: false,
        meaning: "This daemon fails to reach most of the fleet while others reach each other. \
                Its evidence is unreliable, so it ejects no upstreams and other daemons discount \
                its reports.",
        action: "Look at the network of this instance, one direction at a time (`SL6005`). Drain \
                the daemon when its callers suffer.",
    },
    EventEntry {
        code: EventCode::ConnectionSuspect,
        reserved: false,
        meaning: "One connection no longer answers while new ones to the same place do; something \
                between the two ends lost track of it. It is closed, and the upstream is not \
                blamed.",
        action: "Nothing for one. Many point to a device between the instances that drops idle \
                connections.",
    },
    EventEntry {
        code: EventCode::FlapLengthened,
        reserved: true,
        meaning: "The upstream was ejected again soon after coming back. Each time it stays out \
                longer, up to a bound.",
        action: "Look at the backend server: it has an intermittent fault, such as long garbage \
                collection pauses or a full disk queue.",
    },
    EventEntry {
        code: EventCode::VerdictConflict,
        reserved: true,
        meaning: "Some daemons see the upstream as failing and others as healthy. A partial \
                network fault is more likely than a failing backend server.",
        action: "Compare the failure domains of those daemons with `sycamorelink fleet`, and look \
                for `SL6005`.",
    },
    EventEntry {
        code: EventCode::TrialFailed,
        reserved: true,
        meaning: "A trial request to an ejected upstream failed and it stays out. Off by default.",
        action: "Nothing beyond `SL3003`.",
    },
    EventEntry {
        code: EventCode::UpstreamSilent,
        reserved: true,
        meaning: "Requests went to this upstream and nothing came back, on fresh connections too. It \
                counts as failed sooner than a slow one.",
        action: "Look at the backend server's process, and at the network to its instance from \
                here.",
    },
    EventEntry {
        code: EventCode::HealthContradicted,
        reserved: true,
        meaning: "The health endpoint reports healthy while real requests fail, or the reverse. \
                The daemon follows the real requests.",
        action: "Inform the owner of the service that its health endpoint does not reflect what \
                callers experience.",
    },
    EventEntry {
        code: EventCode::WorkHeldOff,
        reserved: false,
        meaning: "The backend server beside this daemon lost a connection, garbled a reply or \
                failed requests close together. Non-idempotent work goes to other backend servers; \
                idempotent work is let through one request at a time as a trial. `reason` has the \
                outcome that led to the decision, and the log odds (in nats) that the server is \
                failing.",
        action: "Nothing at first. If it happens repeatedly at one backend server, look at that \
                server.",
    },
    EventEntry {
        code: EventCode::WorkReleased,
        reserved: false,
        meaning: "Trial requests to the backend server beside this daemon succeeded, or it had \
                no failures for some seconds.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::RateLimitNamed,
        reserved: false,
        meaning: "The backend server beside this daemon names in its answers how many requests a \
                second it takes from all instances together. `limit` is that number and `duration` \
                the time since it first named one.",
        action: "Look for the reason at the server. `server_limit` shows the limit in force.",
    },
    EventEntry {
        code: EventCode::RateLimitEnded,
        reserved: false,
        meaning: "The answers of the backend server beside this daemon have named no limit for a \
                second. `duration` is the time since it first named one.",
        action: "Nothing.",
    },
    EventEntry {
        code: EventCode::ConcurrencyLimitChanged,
        reserved: false,
        meaning: "The limit on the concurrent runs of the backend server beside this daemon is now \
                `limit`. `reason` has the limit before and the cause (decrease: fewer concurrent \
                runs yield more replies per second; trial: one more or one less is tried; probe: a \
                quarter less is tried, since all slots were in use and work waited; trial-end: the \
                trial or probe ended), then the mean concurrency, the mean run time and the number \
                of runs since the decision before, and the factor of replies per second that the \
                new limit is expected to yield, with the standard error of its logarithm.",
        action: "Nothing. A limit that stays far below the slots means that the server becomes \
                slower under load: look for what its runs compete for, or lower its slots.",
    },
];
