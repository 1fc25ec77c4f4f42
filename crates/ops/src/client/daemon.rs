//! HTTP client that sends calls to daemons.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::runtime::{Builder, Runtime};

use super::call::{ApiCall, ApiReply};
use super::failure::{ApiFailure, ProblemDetails};
use crate::exit::ToolFailure;
use crate::settings::ToolSettings;

/// Maximum size of a reply body, in bytes.
const REPLY_LIMIT: usize = 64 << 20;

/// Client of the operators' API.
#[derive(Debug)]
pub struct DaemonClient {
    runtime: Runtime,
    http: Client<HttpConnector, Full<Bytes>>,
    settings: ToolSettings,
}

/// Error of one attempt at one daemon that yielded no HTTP response.
struct AttemptFailure {
    reason: String,
}

impl DaemonClient {
    /// Creates a client for the configured daemons.
    ///
    /// # Errors
    ///
    /// Returns [`ToolFailure::NoDaemon`] if no daemon is configured.
    pub fn open(settings: &ToolSettings) -> anyhow::Result<Self> {
        if settings.daemons.is_empty() {
            return Err(ToolFailure::NoDaemon.into());
        }
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context("could not start the client")?;
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build_http();
        Ok(Self {
            runtime,
            http,
            settings: settings.clone(),
        })
    }

    /// Sends a call to the configured daemons in order until one gives a final answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon answers or if one refuses the call.
    pub fn call(&self, call: &ApiCall) -> anyhow::Result<ApiReply> {
        self.runtime.block_on(self.call_in_order(call))
    }

    /// Sends a call to every configured daemon, in order, and returns all results.
    #[must_use]
    pub fn call_all(&self, call: &ApiCall) -> Vec<(SocketAddr, anyhow::Result<ApiReply>)> {
        let daemons = self.settings.daemons.iter().copied();
        daemons
            .map(|daemon| (daemon, self.runtime.block_on(self.call_one(daemon, call))))
            .collect()
    }

    /// Sleeps while the runtime keeps driving open connections.
    pub fn pause(&self, time: Duration) {
        self.runtime
            .block_on(async { tokio::time::sleep(time).await });
    }

    async fn call_in_order(&self, call: &ApiCall) -> anyhow::Result<ApiReply> {
        let daemons = if call.first_daemon_only {
            &self.settings.daemons[..1]
        } else {
            &self.settings.daemons[..]
        };
        let mut attempts = Vec::new();
        for (index, daemon) in daemons.iter().enumerate() {
            let last = index + 1 == daemons.len();
            match self.attempt(*daemon, call).await {
                Ok(reply) if reply.status < 400 => return Ok(reply),
                Ok(reply) if !last && is_transient(reply.status) => {
                    attempts.push((*daemon, to_problem(&reply).to_string()));
                }
                Ok(reply) => return Err(ApiFailure::Problem(Box::new(to_problem(&reply))).into()),
                Err(failure) => attempts.push((*daemon, failure.reason)),
            }
        }
        Err(ApiFailure::Unreachable { attempts }.into())
    }

    async fn call_one(&self, daemon: SocketAddr, call: &ApiCall) -> anyhow::Result<ApiReply> {
        match self.attempt(daemon, call).await {
            Ok(reply) if reply.status < 400 => Ok(reply),
            Ok(reply) => Err(ApiFailure::Problem(Box::new(to_problem(&reply))).into()),
            Err(failure) => {
                let attempts = vec![(daemon, failure.reason)];
                Err(ApiFailure::Unreachable { attempts }.into())
            }
        }
    }

    async fn attempt(
        &self,
        daemon: SocketAddr,
        call: &ApiCall,
    ) -> Result<ApiReply, AttemptFailure> {
        let request = self.request(daemon, call).map_err(|error| AttemptFailure {
            reason: error.to_string(),
        })?;
        let exchange = async {
            let response = self
                .http
                .request(request)
                .await
                .map_err(|error| AttemptFailure {
                    reason: innermost_cause(&error),
                })?;
            read_reply(response).await
        };
        let limit = self.settings.timeout;
        tokio::time::timeout(limit, exchange)
            .await
            .unwrap_or_else(|_| {
                Err(AttemptFailure {
                    reason: format!("no answer within {limit:?}"),
                })
            })
    }

    fn request(&self, daemon: SocketAddr, call: &ApiCall) -> http::Result<Request<Full<Bytes>>> {
        let uri = format!("http://{daemon}{}", call.path);
        let mut request = Request::builder().method(&call.method).uri(uri);
        if let Some(token) = &self.settings.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(base) = call.base {
            request = request.header(header::IF_MATCH, format!("\"{base}\""));
        }
        if let Some(change) = &call.change {
            request = request.header("idempotency-key", change);
        }
        if !call.body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        request.body(Full::new(call.body.clone()))
    }
}

/// Returns whether a refusal is specific to one daemon, such as one that is draining, starting or
/// overloaded, so that another daemon may accept the call.
const fn is_transient(status: u16) -> bool {
    matches!(status, 429 | 500 | 502 | 503 | 504)
}

async fn read_reply(response: Response<Incoming>) -> Result<ApiReply, AttemptFailure> {
    let (parts, body) = response.into_parts();
    let limited = Limited::new(body, REPLY_LIMIT);
    let collected = limited.collect().await.map_err(|error| AttemptFailure {
        reason: format!("the reply was cut short: {error}"),
    })?;
    let etag = parts.headers.get(header::ETAG);
    let version = etag
        .and_then(|value| value.to_str().ok())
        .and_then(parse_etag);
    Ok(ApiReply {
        status: parts.status.as_u16(),
        version,
        body: collected.to_bytes(),
    })
}

fn parse_etag(text: &str) -> Option<u64> {
    text.trim_matches('"').parse().ok()
}

fn to_problem(reply: &ApiReply) -> ProblemDetails {
    let mut problem: ProblemDetails = serde_json::from_slice(&reply.body).unwrap_or_default();
    problem.status = reply.status;
    if problem.title.is_empty() {
        let status = StatusCode::from_u16(reply.status).ok();
        let reason = status.and_then(|status| status.canonical_reason());
        reason.unwrap_or("refused").clone_into(&mut problem.title);
    }
    problem
}

/// Returns the text of the innermost cause. The outer errors of the HTTP client only say that a
/// request failed.
fn innermost_cause<E>(error: &E) -> String
where
    E: std::error::Error,
{
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
