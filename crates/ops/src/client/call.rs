//! Requests to the operators' API and their replies.

use anyhow::Context;
use bytes::Bytes;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::failure::ApiFailure;

/// Request to the operators' API.
#[derive(Clone, Debug)]
pub struct ApiCall {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) base: Option<u64>,
    pub(super) change: Option<String>,
    pub(super) body: Bytes,
    pub(super) first_daemon_only: bool,
}

impl ApiCall {
    /// Returns a `GET` request for a path.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path)
    }

    /// Returns a request with the given method and path, without a body.
    #[must_use]
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            base: None,
            change: None,
            body: Bytes::new(),
            first_daemon_only: false,
        }
    }

    /// Sets the id of the change and the version that the change amends.
    #[must_use]
    pub fn change(mut self, id: &str, base: u64) -> Self {
        self.change = Some(id.to_owned());
        self.base = Some(base);
        self
    }

    /// Sets the body to the value as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the value cannot be serialized.
    pub fn body<T>(mut self, value: &T) -> anyhow::Result<Self>
    where
        T: Serialize,
    {
        let text = serde_json::to_vec(value).context("could not write the body as JSON")?;
        self.body = Bytes::from(text);
        Ok(self)
    }

    /// Restricts the call to the first configured daemon.
    #[must_use]
    pub const fn first_daemon_only(mut self) -> Self {
        self.first_daemon_only = true;
        self
    }
}

/// Reply of a daemon. [`DaemonClient`](super::DaemonClient) returns only replies below status 400.
#[derive(Clone, Debug)]
pub struct ApiReply {
    /// HTTP status.
    pub status: u16,
    /// Version from the `ETag` header; `None` if the header is missing or not a number.
    pub version: Option<u64>,
    /// Body, usually JSON.
    pub body: Bytes,
}

impl ApiReply {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ApiFailure::Malformed`] if the body does not have the expected form.
    pub fn json<T>(&self) -> Result<T, ApiFailure>
    where
        T: DeserializeOwned,
    {
        let mut reader = serde_json::Deserializer::from_slice(&self.body);
        serde_path_to_error::deserialize(&mut reader).map_err(|error| ApiFailure::Malformed {
            message: format!("{}: {}", error.path(), error.inner()),
        })
    }
}
