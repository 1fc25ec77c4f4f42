//! The table of metric names.

use std::fmt;

/// Aggregation that a receiver applies to the values of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MetricKind {
    /// Count since the last flush.
    Counter,
    /// Value at the flush.
    Gauge,
    /// Percentiles of the durations since the last flush, one gauge each, and their count.
    Timer,
}

impl MetricKind {
    /// Returns the name used in the documentation.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Timer => "timer",
        }
    }
}

impl fmt::Display for MetricKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! metric_names {
    ($(
        $name:ident $kind:ident $text:literal $unit:literal [$($tag:literal)*]
            $meaning:literal;
    )+) => {
        /// Metric, with its name, kind, unit and tags.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum MetricName {
            $(#[doc = $meaning] $name,)+
        }

        impl MetricName {
            /// Every metric, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Returns the name as sent, without the prefix.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }

            /// Returns how a receiver aggregates the values.
            #[must_use]
            pub const fn kind(self) -> MetricKind {
                match self {
                    $(Self::$name => MetricKind::$kind,)+
                }
            }

            /// Returns the unit of the values.
            #[must_use]
            pub const fn unit(self) -> &'static str {
                match self {
                    $(Self::$name => $unit,)+
                }
            }

            /// Returns the names of the tags that a series may have.
            #[must_use]
            pub const fn tags(self) -> &'static [&'static str] {
                match self {
                    $(Self::$name => &[$($tag,)*],)+
                }
            }

            /// Returns the description for the documentation.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Self::$name => $meaning,)+
                }
            }
        }
    };
}

metric_names! {
    Requests Counter "requests" "requests" ["customer" "service" "outcome"]
        "Requests answered, by outcome: good, refused, failed, late, unknown or wrong; or caller, for ends that the caller caused.";
    Refusals Counter "refusals" "requests" ["service" "refusal"]
        "Requests refused, by refusal code.";
    Unknowns Counter "unknowns" "requests" ["customer" "service"]
        "Requests answered with `unknown`. Investigate any value above zero.";
    InFlight Gauge "in_flight" "requests" []
        "Requests in flight at this daemon, as the caller's daemon.";
    Latency Timer "latency" "microseconds" ["service"]
        "Time from the end of the request head to the end of the reply.";
    ProxyOverhead Timer "proxy_overhead" "microseconds" []
        "Time a request spends in the daemon and not at the backend server.";
    Attempts Counter "attempts" "attempts" ["service"]
        "Attempts sent to upstreams. Divided by `requests`, the load amplification by retries and hedges.";
    Retries Counter "retries" "attempts" ["service"]
        "Attempts after the first one.";
    RetriesDenied Counter "retries_denied" "attempts" ["service"]
        "Retries not made because the retry budget was used up.";
    Hedges Counter "hedges" "attempts" ["service"]
        "Second attempts sent before the first one was answered.";
    HedgesWon Counter "hedges_won" "attempts" ["service"]
        "Hedges whose reply arrived first.";
    ReplyRejected Counter "reply_rejected" "replies" ["service" "cause"]
        "Replies dropped: wrong (incomplete, or for another request) or late.";
    UpstreamLatency Timer "upstream_latency" "microseconds" ["service"]
        "Time that a backend server on this instance took to run a request.";
    UpstreamsInUse Gauge "upstreams_in_use" "upstreams" ["service"]
        "Upstreams of the service that get work from this daemon. Read every half minute, for 64 services.";
    UpstreamsEjected Gauge "upstreams_ejected" "upstreams" ["service"]
        "Upstreams of the service that this daemon has ejected. Read every half minute, for 64 services.";
    Ejections Counter "ejections" "verdicts" ["service"]
        "Upstreams ejected.";
    Readmissions Counter "readmissions" "verdicts" ["service"]
        "Upstreams readmitted.";
    FloorHeld Counter "floor_held" "verdicts" ["service"]
        "Ejections withheld to keep the service above its floor.";
    DetectionTime Timer "detection_time" "microseconds" ["service"]
        "Time from the first bad sample of an upstream to its ejection.";
    SlotsUsed Gauge "slots_used" "slots" ["service"]
        "Slots in use at the backend servers of this instance.";
    ServerLimit Gauge "server_limit" "requests/1000s" ["service"]
        "Limit that the backend server of this instance names, in requests per thousand seconds; 0 without one.";
    ServerLimitRefused Counter "server_limit_refused" "requests" ["service"]
        "Requests refused here because the backend server names a limit. Most of them run elsewhere.";
    QueueLength Gauge "queue_length" "requests" ["service"]
        "Requests waiting for a slot at this instance.";
    QueueWait Timer "queue_wait" "microseconds" ["service"]
        "Time a request waited for a slot.";
    Shed Counter "shed" "requests" ["service"]
        "Requests refused because no slot would free up in time.";
    LimitRefused Counter "limit_refused" "requests" ["customer"]
        "Requests refused by a limit of the contract.";
    ShareTokens Gauge "share_tokens" "requests/s" ["customer"]
        "Part of the customer's rate limit that this daemon may admit.";
    KeysHeld Gauge "keys_held" "keys" []
        "Idempotency keys this daemon holds as a guard.";
    KeysReplayed Counter "keys_replayed" "requests" []
        "Repeated requests answered with the reply to the first one.";
    KeysClosed Counter "keys_closed" "keys" []
        "Keys closed so that they can never run.";
    GrantTime Timer "grant_time" "microseconds" []
        "Time to get a grant from every guard.";
    ContractVersion Gauge "contract_version" "offset" []
        "Log offset of the newest contract change in force here.";
    ContractLag Gauge "contract_lag" "records" []
        "Records of the contract stream that this daemon knows of and has not yet applied.";
    LogAppends Counter "log_appends" "appends" ["result"]
        "Appends of this daemon to the log, by result: taken, refused, uncertain, throttled or unavailable.";
    LogLatency Timer "log_latency" "microseconds" []
        "Time that the log service takes for an append of this daemon.";
    LogReachable Gauge "log_reachable" "0 or 1" []
        "Whether the log service answered the last call.";
    Members Gauge "members" "daemons" ["state"]
        "Daemons in the roster, by state: up, leaving or down. Read every half minute.";
    ControlBytesSent Counter "control_bytes_sent" "bytes" ["kind"]
        "Control traffic sent to peers, by kind: gossip, with a budget of 7 KB/s, or contract.";
    ControlBytesReceived Counter "control_bytes_received" "bytes" ["kind"]
        "Control traffic received from peers, by kind: gossip or contract.";
    PeersConnected Gauge "peers_connected" "connections" []
        "Open connections to other daemons.";
    CallersConnected Gauge "callers_connected" "connections" []
        "Open connections of callers.";
    RingFull Counter "ring_full" "entries" ["ring"]
        "Entries dropped because a ring buffer between two threads was full.";
    Events Counter "events" "events" ["code"]
        "Numbered events, including those that were suppressed in the log.";
    BurnRate Gauge "burn_rate" "thousandths" ["customer" "service" "window"]
        "Burn rate of the error budget over 5m or 1h: at 1000 the budget is used up exactly at the end of its window. Read every half minute.";
    MetricsDropped Counter "metrics_dropped" "samples" []
        "Samples that could not be sent.";
    QueueWaiting Gauge "queue_waiting" "requests" ["service" "standing"]
        "Requests waiting for a slot at this instance under overload control, by standing: in-time, if their latency objective can be met, or late.";
    QueueLate Counter "queue_late" "requests" ["service"]
        "Requests waiting at this instance that lost their latency objective.";
    QueueExpired Counter "queue_expired" "requests" ["service"]
        "Requests refused at this instance after waiting, because their deadline could no longer be met.";
    QueueDisplaced Counter "queue_displaced" "requests" ["service"]
        "Requests refused at this instance after waiting, because the queue was full and a more urgent request arrived.";
    QueueDeclined Counter "queue_declined" "requests" ["service"]
        "Requests refused at this instance at once, because they could neither be served in time nor late or the queue was full.";
    MemoryHeld Gauge "memory_held" "bytes" []
        "Bytes held for waiting requests and unread replies under overload control.";
    CapacityRecords Gauge "capacity_records" "records" ["service"]
        "Backend servers of the service whose capacity record is known and not expired.";
    CapacityAge Gauge "capacity_age" "milliseconds" ["service"]
        "Greatest age of a known capacity record of the service.";
    ForecastRefused Counter "forecast_refused" "requests" ["service"]
        "Requests refused without a further offer because no backend server could answer before the deadline.";
    OverloadedOffers Counter "overloaded_offers" "attempts" ["service"]
        "Attempts refused as overloaded by the daemon beside the backend server. Divided by `requests`, the offers in vain per request.";
    RepeatsLent Counter "repeats_lent" "repeats" ["service"]
        "Repeats that backend servers of this instance lent to others.";
    RepeatsBorrowed Counter "repeats_borrowed" "repeats" ["service"]
        "Repeats that backend servers of this instance borrowed from others.";
    RepeatsUnused Counter "repeats_unused" "repeats" ["service"]
        "Borrowed repeats that were not used before their loan ended.";
    ReturnsAdvised Counter "returns_advised" "requests" ["service" "advice"]
        "Callers refused for lack of capacity, by what they were told: after (a delay), late or never (no capacity is promised).";
    CallersWaiting Gauge "callers_waiting" "requests" ["reason"]
        "Requests that wait at the daemon that took them, by reason: declining (their service declines work), no-repeats or no-capacity. Only with overload control.";
    CallersReleased Counter "callers_released" "requests" ["service" "reason"]
        "Waiting requests that were sent to a backend server again, by the reason of the wait.";
    CallersExpired Counter "callers_expired" "requests" ["service" "end"]
        "Requests that ended while they waited: expired, displaced, caller-gone, draining or switched-off.";
    ConcurrencyLimit Gauge "concurrency_limit" "runs" ["service"]
        "Concurrent runs that the backend servers of this instance are given at most. Only where the limit is learned.";
    MeanRunTime Gauge "mean_run_time" "milliseconds" ["service"]
        "Mean run time at the backend servers of this instance. Only where the limit is learned.";
    QueueDisplacedByShare Counter "queue_displaced_by_share" "requests" ["service"]
        "Requests refused at this instance after waiting, because their client account was above its share and another took the place.";
}

/// Metrics that no code sends yet.
const RESERVED: &[MetricName] = &[
    MetricName::ProxyOverhead,
    MetricName::DetectionTime,
    MetricName::ShareTokens,
    MetricName::GrantTime,
    MetricName::PeersConnected,
    MetricName::CallersConnected,
];

impl MetricName {
    /// Returns whether no code sends the metric yet. Its name and meaning are reserved.
    #[must_use]
    pub fn is_reserved(self) -> bool {
        RESERVED.contains(&self)
    }
}

impl fmt::Display for MetricName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
