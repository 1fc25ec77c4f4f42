//! Routes of a contract.

use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sycamorelink_core::{DurationText, ServiceName, SizeText};

use super::defaults::{
    DEFAULT_KEY_MEMORY, default_max_body, default_priority, default_reply_buffer, is_default_keys,
    is_default_max_body, is_default_priority, is_default_reply_buffer,
};

/// Whether a request may be run more than once.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatClass {
    /// Running the request again does no harm: it may be retried and hedged.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
}

/// Handling of keys that contain no timestamp.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum OpaqueKeys {
    /// Only keys that contain a timestamp (`UUIDv7`) are accepted.
    #[default]
    Refuse,
    /// Any key is accepted, and is protected for the time of `memory` after its first send.
    Window,
}

/// Rules for the `Idempotency-Key` of a route.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct KeyTerms {
    /// Whether a request without a key is refused. Defaults to true on non-idempotent routes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required: Option<bool>,
    /// Handling of keys that contain no timestamp.
    pub opaque: OpaqueKeys,
    /// Time for which a key is retained.
    #[serde_as(as = "DurationText")]
    #[schemars(with = "DurationText")]
    pub memory: Duration,
}

impl Default for KeyTerms {
    fn default() -> Self {
        Self {
            required: None,
            opaque: OpaqueKeys::default(),
            memory: DEFAULT_KEY_MEMORY,
        }
    }
}

/// An HTTP method that a route may accept.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "UPPERCASE")]
pub enum RouteMethod {
    /// `GET`
    Get,
    /// `HEAD`
    Head,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `PATCH`
    Patch,
    /// `DELETE`
    Delete,
    /// `OPTIONS`
    Options,
}

impl RouteMethod {
    /// All methods. The compact form of a contract stores the index of a method in this list.
    pub const ALL: &'static [Self] = &[
        Self::Get,
        Self::Head,
        Self::Post,
        Self::Put,
        Self::Patch,
        Self::Delete,
        Self::Options,
    ];

    /// Returns the method as text.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Patch => "PATCH",
            Self::Delete => "DELETE",
            Self::Options => "OPTIONS",
        }
    }

    /// Returns the method with this name, which is case-sensitive as in HTTP.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|method| method.as_str() == name)
    }
}

/// Route of the requests under one path prefix.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteTerms {
    /// Path prefix, matched on whole segments: `/orders` matches `/orders/7` but not `/ordersets`.
    pub prefix: Arc<str>,
    /// Methods that the route accepts.
    pub methods: Vec<RouteMethod>,
    /// Name of the service, one of `services`.
    pub service: ServiceName,
    /// Whether a request may be run more than once.
    pub repeat: RepeatClass,
    /// Deadline of a request, unless the caller sets a shorter one. Defaults to the service's.
    #[serde_as(as = "Option<DurationText>")]
    #[schemars(with = "Option<DurationText>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Duration>,
    /// 0 (low, shed first) to 9 (high, shed last).
    #[serde(
        default = "default_priority",
        skip_serializing_if = "is_default_priority"
    )]
    pub priority: u8,
    /// Largest body of a request.
    #[serde_as(as = "SizeText")]
    #[schemars(with = "SizeText")]
    #[serde(
        default = "default_max_body",
        skip_serializing_if = "is_default_max_body"
    )]
    pub max_body: u64,
    /// Largest reply that is buffered completely before it is forwarded.
    #[serde_as(as = "SizeText")]
    #[schemars(with = "SizeText")]
    #[serde(
        default = "default_reply_buffer",
        skip_serializing_if = "is_default_reply_buffer"
    )]
    pub reply_buffer: u64,
    /// Whether a slow request may be sent to a second upstream. Defaults to true on idempotent
    /// routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge: Option<bool>,
    /// Rules for the `Idempotency-Key`.
    #[serde(default, skip_serializing_if = "is_default_keys")]
    pub keys: KeyTerms,
}
