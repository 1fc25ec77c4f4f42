//! Table of event codes.

use std::fmt;

/// Log level of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EventLevel {
    /// An operator has to act.
    Error,
    /// A fault that the fleet handles by itself.
    Warn,
    /// A normal change of state.
    Info,
    /// Events of single requests, connections or datagrams; off by default.
    Debug,
}

impl EventLevel {
    /// Returns the name used in settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        }
    }
}

impl fmt::Display for EventLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! event_codes {
    ($($number:literal $code:ident $level:ident $name:literal $message:literal;)+) => {
        /// Code of a numbered event. Numbers are stable, and a retired number is never reused.
        ///
        /// The thousands give the subject, see [`EventGroup`](super::EventGroup).
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum EventCode {
            $(#[doc = concat!("`SL", stringify!($number), "`: ", $message, ".")] $code,)+
        }

        impl EventCode {
            /// Every code, sorted by number.
            pub const ALL: &'static [Self] = &[$(Self::$code,)+];

            /// Returns the number after `SL`.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self {
                    $(Self::$code => $number,)+
                }
            }

            /// Returns the code as logged, for example `SL1001`.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$code => concat!("SL", stringify!($number)),)+
                }
            }

            /// Returns the name as logged, in kebab case.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$code => $name,)+
                }
            }

            /// Returns the level of the event.
            #[must_use]
            pub const fn level(self) -> EventLevel {
                match self {
                    $(Self::$code => EventLevel::$level,)+
                }
            }

            /// Returns the message as logged.
            #[must_use]
            pub const fn message(self) -> &'static str {
                match self {
                    $(Self::$code => $message,)+
                }
            }
        }
    };
}

event_codes! {
    1001 DaemonStarted Info "daemon-started" "the daemon started";
    1002 DaemonReady Info "daemon-ready" "the daemon takes requests";
    1003 DaemonDraining Info "daemon-draining" "the daemon takes no new requests and finishes those in flight";
    1004 DaemonStopped Info "daemon-stopped" "the daemon stopped with nothing in flight";
    1005 DrainCut Error "drain-cut" "an interrupt or the drain limit ended requests in flight";
    1006 SettingsInvalid Error "settings-invalid" "the settings have findings and the daemon does not start";
    1007 ListenFailed Error "listen-failed" "the daemon could not listen on an address from its settings";
    1008 DutyFailed Error "duty-failed" "a thread of the daemon ended before it should";
    1009 RingFull Warn "ring-full" "a ring between two threads was full and an entry was dropped";
    1010 UpstreamAnnounced Info "upstream-announced" "a backend server announced itself";
    1011 UpstreamReady Info "upstream-ready" "an upstream takes work";
    1012 UpstreamLeaving Info "upstream-leaving" "an upstream announced that it is leaving and gets no new work";
    1013 UpstreamGone Info "upstream-gone" "an upstream is gone with nothing in flight";
    1014 HeartbeatLapsed Warn "heartbeat-lapsed" "the heartbeat of a backend server lapsed";
    1015 UpstreamWarming Info "upstream-warming" "an upstream started cold and its share of work is growing";
    1016 ClockStalled Warn "clock-stalled" "the process was paused for longer than a lease may bear";
    1017 LogStarted Debug "log-started" "logging is set up";
    1018 DaemonSuperseded Error "daemon-superseded" "a newer life of this daemon runs elsewhere and this one stops";
    1019 SettingsReloaded Info "settings-reloaded" "the settings were read again";
    1020 SettingsRejected Warn "settings-rejected" "changed settings have findings and those in force stay";
    1021 DecisionDelayed Warn "decision-delayed" "the decision thread took long for one input and others waited";
    1022 ReplyCutOff Warn "reply-cut-off" "a stop cut off a reply that its caller had not taken";
    1023 IncarnationReplaced Info "incarnation-replaced" "another incarnation of a backend server took the place of the current one";
    1024 AnnouncementHeld Debug "announcement-held" "an incarnation that is not the current one announced itself and gets no work";

    2001 RequestServed Debug "request-served" "a request got its reply";
    2002 RequestRefused Debug "request-refused" "a request was refused";
    2003 RequestUnknown Error "request-unknown" "a caller was told that its request may have run";
    2004 CallerGone Debug "caller-gone" "a caller went away and its request was cancelled";
    2005 DeadlineExceeded Warn "deadline-exceeded" "the deadline of a request passed";
    2006 RetryMade Debug "retry-made" "a request was tried again at another upstream";
    2007 RetryBudgetExhausted Warn "retry-budget-exhausted" "the retry budget is used up and failures are passed on";
    2008 HedgeSent Debug "hedge-sent" "a second try was sent before the first one answered";
    2009 ReplyTruncated Warn "reply-truncated" "a reply ended before its announced length";
    2010 ReplyMismatched Error "reply-mismatched" "a reply belonged to another request and was dropped";
    2011 ReplyMalformed Warn "reply-malformed" "a reply could not be parsed";
    2012 ReplyLate Debug "reply-late" "a reply came after its request was answered and was dropped";
    2013 ReplyAborted Warn "reply-aborted" "a reply already under way to a caller was cut and its connection closed";
    2014 CancelSent Debug "cancel-sent" "a try was cancelled at its upstream";
    2015 NoUpstream Error "no-upstream" "a service has no upstream that may be used";
    2016 AttemptSent Debug "attempt-sent" "a request was sent to an upstream";
    2017 WorkStarted Debug "work-started" "work was handed to the backend server beside this daemon";
    2018 WorkRefused Debug "work-refused" "work for the backend server beside this daemon was refused as not run";
    2019 WorkEnded Debug "work-ended" "work ended at the backend server beside this daemon";
    2020 WorkQueued Debug "work-queued" "work waits for a slot of the backend server beside this daemon";
    2021 WorkBecameLate Debug "work-became-late" "queued work can no longer meet its latency objective";
    2022 RequestWaiting Debug "request-waiting" "a request waits until a backend server is likely to accept it";
    2023 RequestReleased Debug "request-released" "a waiting request is sent to a backend server again";
    2024 RequestExpired Debug "request-expired" "a request ended while it waited";

    2025 RetryAdvised Debug "retry-advised" "a caller refused for lack of capacity was told when to retry";

    3001 UpstreamSuspected Info "upstream-suspected" "an upstream is doing worse than its peers or its own past";
    3002 WeightShifted Info "weight-shifted" "an upstream gets less work";
    3003 UpstreamEjected Warn "upstream-ejected" "an upstream gets no work but trial requests";
    3004 UpstreamReadmitted Info "upstream-readmitted" "an ejected upstream gets work again, slowly";
    3005 UpstreamRecovered Info "upstream-recovered" "an upstream has its full weight again";
    3006 FloorHeld Error "floor-held" "an ejection was withheld because it would push the service below its floor";
    3007 SharedCause Error "shared-cause" "many upstreams look sick at once, which points to one cause beside them";
    3008 ObserverSuspect Warn "observer-suspect" "this daemon fails to reach most peers and holds its own verdicts back";
    3009 ConnectionSuspect Info "connection-suspect" "a connection went silent while others to the same place work";
    3010 FlapLengthened Warn "flap-lengthened" "an upstream flaps and stays out longer";
    3011 VerdictConflict Info "verdict-conflict" "daemons disagree on an upstream";
    3012 TrialFailed Debug "trial-failed" "a trial request to an ejected upstream failed";
    3013 UpstreamSilent Warn "upstream-silent" "an upstream took requests and answered none";
    3014 HealthContradicted Info "health-contradicted" "the health endpoint and real requests disagree";
    3015 WorkHeldOff Info "work-held-off" "work that must not repeat is held off a backend server that may be failing";
    3016 WorkReleased Info "work-released" "a backend server takes all work again";
    3017 RateLimitNamed Info "rate-limit-named" "a backend server limits the requests that it gets";
    3018 RateLimitEnded Info "rate-limit-ended" "a backend server no longer limits the requests that it gets";
    3019 ConcurrencyLimitChanged Info "concurrency-limit-changed" "the learned limit on concurrent runs of a backend server changed";

    4001 KeyJoined Info "key-joined" "a resend of a running key waits for the first send";
    4002 KeyReplayed Debug "key-replayed" "a resend got the reply of the first send";
    4003 KeyUnknown Error "key-unknown" "the fate of a key cannot be told and it is closed";
    4004 KeyExpired Info "key-expired" "a key older than what is remembered was refused";
    4005 KeyReused Warn "key-reused" "a key came again with another body or route";
    4006 KeyClosed Info "key-closed" "a key was closed so that it can never run";
    4007 GrantRefused Info "grant-refused" "a guard refused to grant a key";
    4008 GuardsUnreachable Error "guards-unreachable" "not every guard of a key could be asked";
    4009 GuardStruck Warn "guard-struck" "a guard was struck from its seat";
    4010 GuardReplaced Info "guard-replaced" "the guards of a range chose a new generation of seats";
    4011 CustodyHanded Info "custody-handed" "this daemon took up a guard seat with the keys of its range";
    4012 RangeClosed Error "range-closed" "too many guards of a range are lost and its keys are refused until the log decides";
    4013 RangeRefounded Warn "range-refounded" "the log decided who guards a range that had lost its guards";
    4014 KeyTableFull Error "key-table-full" "a guard is full and refuses older keys from now on";
    4015 FenceHeld Warn "fence-held" "a dispatch was stopped because its grant is no longer valid";
    4016 RunUnproven Error "run-unproven" "a non-idempotent request was sent and its end is not known";

    5001 ContractAccepted Info "contract-accepted" "a contract change was accepted";
    5002 ContractRejected Warn "contract-rejected" "a contract change was rejected";
    5003 ContractInForce Info "contract-in-force" "a contract version is in force on this daemon";
    5004 ContractCarried Info "contract-carried" "contracts were carried forward before the log drops them";
    5005 PoisonRecord Error "poison-record" "a record of the contract stream cannot be read and was skipped";
    5006 ContractDisagreement Error "contract-disagreement" "a contract known from peers is not what the log holds";
    5007 ContractBehind Warn "contract-behind" "this daemon is behind the newest contract version it heard of";
    5008 ContractOlder Warn "contract-older" "an older contract version was offered and dropped";
    5009 ContractFromPeer Info "contract-from-peer" "contracts were taken from a peer because the log cannot be read";
    5010 PublishUnconfirmed Warn "publish-unconfirmed" "it is not yet known whether a published change is in the log";
    5011 CarryOverdue Error "carry-overdue" "contracts are close to the end of their retention and not yet carried forward";
    5012 ContractMissing Error "contract-missing" "this daemon has no contracts and refuses requests";
    5013 SourceFollowed Info "source-followed" "this daemon started or stopped following the source of contracts";
    5014 ContractSent Debug "contract-sent" "a contract was sent to a peer";
    5015 ContractReceived Debug "contract-received" "a peer sent a contract";

    6001 MemberUp Info "member-up" "a daemon joined the roster";
    6002 MemberDown Warn "member-down" "a daemon is down for the roster";
    6003 MemberSuspected Info "member-suspected" "a daemon does not answer and is suspected";
    6004 MemberRefuted Info "member-refuted" "a suspected daemon answered";
    6005 MemberOneWay Warn "member-one-way" "a daemon is reachable in one direction only";
    6006 MemberLeft Info "member-left" "a daemon left on its own account";
    6007 MemberRestarted Info "member-restarted" "a daemon came back as a new incarnation";
    6008 RosterSplit Error "roster-split" "a large part of the roster is out of reach";
    6009 RosterHealed Info "roster-healed" "a cut in the roster is over";
    6010 SelfSuspected Warn "self-suspected" "others suspect this daemon";
    6011 GossipOverBudget Warn "gossip-over-budget" "roster traffic reached its budget and updates wait";
    6012 NameClash Error "name-clash" "two instances use one name";
    6013 SelfRecovered Info "self-recovered" "others answer this daemon again";
    6014 SpreadRefused Warn "spread-refused" "something is too large to be spread and stays unknown to others";
    6015 RosterJoined Info "roster-joined" "the first whole roster is here";

    7001 LogUnavailable Error "log-unavailable" "the log service cannot be reached";
    7002 LogBack Info "log-back" "the log service can be reached again";
    7003 LogTrimmed Warn "log-trimmed" "the log dropped records that this daemon had not read";
    7004 LogTruncated Error "log-truncated" "the log is shorter than what this daemon has read";
    7005 AppendSettled Info "append-settled" "an append with a lost reply was found in the log";
    7006 AppendUncertain Warn "append-uncertain" "the reply to an append was lost";
    7007 AppendThrottled Warn "append-throttled" "the log service refuses appends for their rate";
    7008 AppendRefused Error "append-refused" "the log service refused an append for good";
    7009 LogSlow Warn "log-slow" "the log service answers slowly";
    7010 ReadBehind Warn "read-behind" "this daemon reads the log slower than it grows";

    8001 ShareLapsed Warn "share-lapsed" "the lease of a limit share lapsed and the share shrank to its minimum";
    8002 KeeperChanged Info "keeper-changed" "another daemon keeps the limit of a customer";
    8003 LimitExceeded Info "limit-exceeded" "a customer used up its rate or concurrency";
    8004 OverloadShedding Warn "overload-shedding" "requests are refused because no slot frees up in time";
    8005 OverloadEnded Info "overload-ended" "requests are no longer refused for overload";
    8006 CrashRequestStopped Error "crash-request-stopped" "a request that crashes backend servers was stopped across the fleet";
    8007 CrashSuspected Warn "crash-suspected" "a backend server died while it ran a request";
    8008 MemoryHigh Warn "memory-high" "a bounded table is nearly full";
    8009 ConnectionsHigh Warn "connections-high" "the daemon is near its limit of connections";
    8010 FairnessApplied Debug "fairness-applied" "a customer over its fair share waited for others";
    8011 BurnFast Error "burn-fast" "a service burns its error budget fast";
    8012 BurnSlow Warn "burn-slow" "a service burns its error budget faster than it can bear";
    8013 BurnEnded Info "burn-ended" "a service is back within its error budget";
    8014 MemoryExhausted Warn "memory-exhausted" "a request was refused because waiting requests and unread replies hold all memory for them";
    8015 CapacityReportInvalid Warn "capacity-report-invalid" "a peer sent an implausible capacity report and it was dropped";
    8016 RepeatsRequested Debug "repeats-requested" "a backend server lacks repeats and another one was asked for some";
    8017 RepeatsLent Debug "repeats-lent" "a backend server lent repeats to another one";
    8018 RepeatsRefused Debug "repeats-refused" "a backend server was asked for repeats and needs those that it has";
    8019 RepeatsBorrowed Debug "repeats-borrowed" "a backend server got the answer to its question for repeats";
    8020 LoanDropped Debug "loan-dropped" "a message about a loan of repeats was dropped";
    8021 ServiceDeclining Warn "service-declining" "a service declines much of its work and declined requests wait";
    8022 ServiceAccepting Info "service-accepting" "a service accepts work again and waiting requests are released";

    9001 PeerForeign Warn "peer-foreign" "a peer that is not of this fleet was refused";
    9002 PeerVersion Warn "peer-version" "a peer speaks an unknown version of the inner protocol";
    9003 FrameOversized Warn "frame-oversized" "a frame over the limit was refused";
    9004 PeerIncarnation Info "peer-incarnation" "a message for an earlier incarnation was dropped";
    9005 FrameMalformed Warn "frame-malformed" "a frame could not be decoded";
    9006 PeerConnected Debug "peer-connected" "a connection to a peer is up";
    9007 PeerDisconnected Info "peer-disconnected" "a connection to a peer ended";
    9008 AdminDenied Warn "admin-denied" "a call to the operators' address was denied";
    9009 AdminCall Info "admin-call" "an operator changed something";
    9010 CallerDenied Info "caller-denied" "a caller had no valid token";
    9011 BadRequest Info "bad-request" "a request breaks a rule of HTTP and was refused";
    9012 HeadersTooLarge Info "headers-too-large" "the headers of a request are over the limit";
    9013 BodyTooLarge Info "body-too-large" "the body of a request is over the limit";
    9014 FramingAmbiguous Warn "framing-ambiguous" "a message has an ambiguous length and was refused";
    9015 CallerSlow Info "caller-slow" "a caller sends too slowly and was cut off";
    9016 DatagramRefused Debug "datagram-refused" "a datagram was not authentic or not well formed";
    9017 EventsSuppressed Info "events-suppressed" "more events of one code came than are logged";
    9018 MetricsDropped Warn "metrics-dropped" "metrics could not be sent and were dropped";
    9019 BackendBadInput Warn "backend-bad-input" "a backend server sent an announcement or report that cannot be read";
    9020 KeyMismatched Error "key-mismatched" "a peer signs with a fleet key this daemon does not have";
}

impl EventCode {
    /// Returns the code with this number, or `None` when there is no such event.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .binary_search_by_key(&number, |code| code.number())
            .ok()
            .map(|index| Self::ALL[index])
    }

    /// Returns the index in [`Self::ALL`], for tables indexed by code.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for EventCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
