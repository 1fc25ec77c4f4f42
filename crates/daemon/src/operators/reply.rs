//! Builds the replies of the operators' port.

use std::fmt::Display;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, ETAG, HeaderValue};
use http::{Response, StatusCode};
use serde_json::{Value, json};
use sycamorelink_core::FindingList;

/// Builds a reply with a JSON body.
#[must_use]
pub fn json_reply(status: StatusCode, body: &Value) -> Response<Bytes> {
    let mut reply = Response::new(Bytes::from(body.to_string()));
    *reply.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

/// Builds a reply without a body.
#[must_use]
pub fn empty_reply(status: StatusCode) -> Response<Bytes> {
    let mut reply = Response::new(Bytes::new());
    *reply.status_mut() = status;
    reply
}

/// Sets the `ETag` header to the contract's version.
#[must_use]
pub fn with_etag(mut reply: Response<Bytes>, version: u64) -> Response<Bytes> {
    if let Ok(tag) = HeaderValue::try_from(format!("\"{version}\"")) {
        reply.headers_mut().insert(ETAG, tag);
    }
    reply
}

/// An error reply of the operators' port, in the form of RFC 9457 (`application/problem+json`).
#[derive(Clone, Debug)]
pub struct ApiProblem {
    status: StatusCode,
    code: &'static str,
    detail: String,
    extra: Vec<(&'static str, Value)>,
}

impl ApiProblem {
    /// Creates a problem with a stable code and a description of what is wrong with this call.
    #[must_use]
    pub fn new<T>(status: StatusCode, code: &'static str, detail: T) -> Self
    where
        T: Display,
    {
        Self {
            status,
            code,
            detail: format!("{detail}"),
            extra: Vec::new(),
        }
    }

    /// Creates the problem for a document that has validation findings.
    #[must_use]
    pub fn from_findings(findings: &FindingList) -> Self {
        let detail = "the document has findings";
        let value = serde_json::to_value(&findings.0).unwrap_or_default();
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, "findings", detail).with("findings", value)
    }

    /// Creates the problem for an item that does not exist.
    #[must_use]
    pub fn not_found(detail: &str) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not-found", detail)
    }

    /// Adds a member to the JSON body.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: Value) -> Self {
        self.extra.push((name, value));
        self
    }

    /// Builds the HTTP reply.
    #[must_use]
    pub fn reply(&self) -> Response<Bytes> {
        let mut body = json!({
            "type": "about:blank",
            "title": self.status.canonical_reason().unwrap_or("Refused"),
            "status": self.status.as_u16(),
            "code": self.code,
            "detail": self.detail,
        });
        for (name, value) in &self.extra {
            body[*name] = value.clone();
        }
        let mut reply = json_reply(self.status, &body);
        let content_type = HeaderValue::from_static("application/problem+json");
        reply.headers_mut().insert(CONTENT_TYPE, content_type);
        reply
    }
}
