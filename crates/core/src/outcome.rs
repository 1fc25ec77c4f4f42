//! What became of a request, and the final answer when it is refused.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a backend server ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No backend server started it and none will under this send. Said only where certain.
    NotRun,
    /// A backend server ran it to its end.
    Ran,
    /// It may have run. It is never run again.
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
        /// Stable code of a refusal, as callers see it in `application/problem+json`.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(rename_all = "kebab-case")]
        pub enum RefusalCode {
            $($(#[$doc])* $name,)+
        }

        impl RefusalCode {
            /// Every code, in order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The code as text.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }

            /// The HTTP status that goes with it.
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
    /// The request could not be parsed or breaks a rule of HTTP.
    BadRequest = ("bad-request", 400),
    /// No customer has this token.
    UnknownCustomer = ("unknown-customer", 401),
    /// The customer's contract has no route for this request.
    UnknownRoute = ("unknown-route", 404),
    /// The route is non-idempotent and the request has no `Idempotency-Key`.
    KeyRequired = ("key-required", 400),
    /// The key has no time in it (`UUIDv7`) and the contract takes only such keys.
    KeyForm = ("key-form", 400),
    /// The key was used before with another body or route.
    KeyReused = ("key-reused", 422),
    /// The key is older than what is remembered.
    KeyExpired = ("key-expired", 409),
    /// Another send of this key is running.
    KeyBusy = ("key-busy", 409),
    /// The guards of the key could not all be asked.
    GuardsUnreachable = ("guards-unreachable", 503),
    /// The body is larger than the contract allows.
    BodyTooLarge = ("body-too-large", 413),
    /// The headers are larger than the limit.
    HeadersTooLarge = ("headers-too-large", 431),
    /// The customer's rate or concurrency is used up.
    LimitExceeded = ("limit-exceeded", 429),
    /// No upstream has a slot before the deadline.
    Overloaded = ("overloaded", 503),
    /// The service has no upstream that may be used.
    NoUpstream = ("no-upstream", 503),
    /// The upstream may be failing part of its requests, and this one is not risked on it.
    UpstreamSuspect = ("upstream-suspect", 503),
    /// The request was sent before, and the service may not be sent more repeats now.
    RepeatsSpent = ("repeats-spent", 503),
    /// The daemon is leaving.
    Draining = ("draining", 503),
    /// The daemon has no contracts yet.
    NotReady = ("not-ready", 503),
    /// The request crashed backend servers before and is stopped.
    CrashRequest = ("crash-request", 502),
    /// The upstream failed or its reply was cut short.
    UpstreamFailed = ("upstream-failed", 502),
    /// The reply did not belong to this request or was malformed.
    ReplyRejected = ("reply-rejected", 502),
    /// The deadline passed.
    DeadlineExceeded = ("deadline-exceeded", 504),
    /// The caller went away.
    CallerGone = ("caller-gone", 499),
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The final answer to a request that gets no reply from a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRefusal {
    /// Why.
    pub code: RefusalCode,
    /// Whether it ran.
    pub run: RunState,
    /// When a later try may help.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// A refusal of a request that certainly did not run.
    #[must_use]
    pub const fn not_run(code: RefusalCode) -> Self {
        Self {
            code,
            run: RunState::NotRun,
            retry_after: None,
        }
    }

    /// A final answer for a request that may have run.
    #[must_use]
    pub const fn unknown(code: RefusalCode) -> Self {
        Self {
            code,
            run: RunState::Unknown,
            retry_after: None,
        }
    }

    /// The same with a time to come back.
    #[must_use]
    pub const fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
