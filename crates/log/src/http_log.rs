//! HTTP/1.1 client of the log service. The protocol is described in `docs/standin-log-protocol.md`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::client::{AppendReceipt, LogClient, LogError, LogFuture, LogPage, ReadRange};
use crate::http_response::{
    LogResponse, read_request_error, request_error, unavailable, uncertain,
};

/// Settings of the HTTP client. Omitted fields take their defaults.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpLogSettings {
    /// Maximum wait for a connection, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_limit_ms")]
    pub connect_limit: Duration,
    /// Maximum wait for the response to an append, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "append_limit_ms")]
    pub append_limit: Duration,
    /// Maximum wait for the response to a read in addition to its long poll, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "read_limit_ms")]
    pub read_limit: Duration,
    /// Time in milliseconds after which an idle connection is not reused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_limit_ms")]
    pub idle_limit: Duration,
    /// Maximum size of a response body in bytes.
    pub answer_bytes: usize,
}

impl Default for HttpLogSettings {
    fn default() -> Self {
        Self {
            connect_limit: Duration::from_millis(500),
            append_limit: Duration::from_secs(2),
            read_limit: Duration::from_secs(2),
            idle_limit: Duration::from_secs(5),
            answer_bytes: 16 * 1024 * 1024,
        }
    }
}

/// HTTP/1.1 client of the log service. Clones share a connection pool.
#[derive(Clone, Debug)]
pub struct HttpLogClient {
    authority: String,
    client: Client<HttpConnector, Full<Bytes>>,
    settings: HttpLogSettings,
}

impl HttpLogClient {
    /// Creates a client, which connects on the first call.
    #[must_use]
    pub fn new(address: SocketAddr, settings: HttpLogSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.connect_limit));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(settings.idle_limit)
            // hyper would resend a request when its connection closes before the request was sent.
            // A duplicate append is never acceptable, so the decision is not left to the library:
            // the caller resolves the append by reading back.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            authority: address.to_string(),
            client,
            settings,
        }
    }

    async fn append_record(&self, stream: &str, data: Bytes) -> Result<AppendReceipt, LogError> {
        let uri = self.uri(stream, "")?;
        let call = self.send_request(Method::POST, uri, data);
        let response = tokio::time::timeout(self.settings.append_limit, call)
            .await
            .map_err(|_| uncertain("no answer in time"))??;
        response.into_receipt()
    }

    async fn read_records(&self, stream: &str, range: ReadRange) -> Result<LogPage, LogError> {
        let query = format!(
            "?from={}&max={}&wait={}",
            range.from,
            range.max,
            range.wait.as_millis()
        );
        let uri = self.uri(stream, &query)?;
        let call = self.send_request(Method::GET, uri, Bytes::new());
        let limit = self.settings.read_limit + range.wait;
        let response = tokio::time::timeout(limit, call)
            .await
            .map_err(|_| unavailable("no answer in time"))?
            .map_err(read_request_error)?;
        response.into_page(range)
    }

    fn uri(&self, stream: &str, query: &str) -> Result<Uri, LogError> {
        let path = format!("/v1/logs/{stream}/records{query}");
        Uri::builder()
            .scheme("http")
            .authority(self.authority.as_str())
            .path_and_query(path)
            .build()
            .map_err(|error| LogError::Malformed {
                reason: format!("stream name {stream:?}: {error}"),
            })
    }

    async fn send_request(
        &self,
        method: Method,
        uri: Uri,
        body: Bytes,
    ) -> Result<LogResponse, LogError> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| request_error(&error))?;
        self.read_response(response).await
    }

    async fn read_response(&self, response: Response<Incoming>) -> Result<LogResponse, LogError> {
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, self.settings.answer_bytes)
            .collect()
            .await
            .map_err(|error| uncertain(&format!("answer cut short: {error}")))?
            .to_bytes();
        Ok(LogResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

impl LogClient for HttpLogClient {
    fn append<'a>(&'a self, stream: &'a str, data: Bytes) -> LogFuture<'a, AppendReceipt> {
        Box::pin(self.append_record(stream, data))
    }

    fn read<'a>(&'a self, stream: &'a str, range: ReadRange) -> LogFuture<'a, LogPage> {
        Box::pin(self.read_records(stream, range))
    }
}
