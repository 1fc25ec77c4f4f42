//! Outcome of a request: whether a backend server ran it, and the refusal sent to the caller.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a backend server ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No backend server started the request, and none will start it later on behalf of this send.
    /// Reported only when this is certain.
    NotRun,
    /// A backend server ran the request to completion.
    Ran,
    /// The request may have run. Only an idempotent request may be sent again in this state.
    Unknown,
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

macro_rules! refusal_codes {
    ($($(#[$doc:meta])* $name:ident = ($text:literal, $status:literal),)+) => {
        /// Stable code of a refusal, sent to callers in `application/problem+json`.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(rename_all = "kebab-case")]
        pub enum RefusalCode {
            $($(#[$doc])* $name,)+
        }

        impl RefusalCode {
            /// Every code, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Returns the code as sent to callers, in kebab case.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }

            /// Returns the HTTP status of a response with this code.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)+
                }
            }
        }
    };
}

refusal_codes! {
    /// The request could not be parsed or violates HTTP.
    BadRequest = ("bad-request", 400),
    /// No customer has this token.
    UnknownCustomer = ("unknown-customer", 401),
    /// The customer's contract has no route for this request.
    UnknownRoute = ("unknown-route", 404),
    /// The route is non-idempotent and the request has no `Idempotency-Key`.
    KeyRequired = ("key-required", 400),
    /// The contract accepts only keys that contain a timestamp (`UUIDv7`), and this key has none.
    KeyForm = ("key-form", 400),
    /// The key was used before with a different body or route.
    KeyReused = ("key-reused", 422),
    /// The key is older than the retained key records.
    KeyExpired = ("key-expired", 409),
    /// Another request with this key is running.
    KeyBusy = ("key-busy", 409),
    /// Not all guards of the key could be reached.
    GuardsUnreachable = ("guards-unreachable", 503),
    /// The body is larger than the contract allows.
    BodyTooLarge = ("body-too-large", 413),
    /// The headers are larger than the daemon allows.
    HeadersTooLarge = ("headers-too-large", 431),
    /// The customer reached its rate limit or its concurrency limit.
    LimitExceeded = ("limit-exceeded", 429),
    /// No upstream has a free slot before the deadline.
    Overloaded = ("overloaded", 503),
    /// The service has no usable upstream.
    NoUpstream = ("no-upstream", 503),
    /// The upstream is suspected of failing part of its requests, so this one is not sent to it.
    UpstreamSuspect = ("upstream-suspect", 503),
    /// The request was sent before, and the retry budget of the service is used up.
    RepeatsSpent = ("repeats-spent", 503),
    /// The daemon is draining before it stops.
    Draining = ("draining", 503),
    /// The daemon has no contracts yet.
    NotReady = ("not-ready", 503),
    /// The request crashed backend servers before and is blocked.
    CrashRequest = ("crash-request", 502),
    /// The upstream failed or its reply was cut short.
    UpstreamFailed = ("upstream-failed", 502),
    /// The reply belonged to another request or was malformed.
    ReplyRejected = ("reply-rejected", 502),
    /// The deadline passed, or no byte of a reply to the last attempt arrived in time.
    DeadlineExceeded = ("deadline-exceeded", 504),
    /// The caller closed its connection.
    CallerGone = ("caller-gone", 499),
    /// No capacity is expected within the time that the caller has left.
    NoCapacity = ("no-capacity", 503),
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Final response to a request that gets no reply from a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRefusal {
    /// Reason of the refusal.
    pub code: RefusalCode,
    /// Whether a backend server ran the request.
    pub run: RunState,
    /// Time after which the caller should retry; `None` when there is no estimate.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Returns a refusal for a request that certainly did not run.
    #[must_use]
    pub const fn not_run(code: RefusalCode) -> Self {
        Self {
            code,
            run: RunState::NotRun,
            retry_after: None,
        }
    }

    /// Returns a refusal for a request that may have run.
    #[must_use]
    pub const fn unknown(code: RefusalCode) -> Self {
        Self {
            code,
            run: RunState::Unknown,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub const fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
