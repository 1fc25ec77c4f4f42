//! HTTP server of the operators' port.

use std::net::{IpAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use serde_json::Value;
use sycamorelink_core::NodeClock;
use sycamorelink_engine::NodeEvent;
use sycamorelink_log::LogClient;
use tokio::sync::oneshot;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::http::WebRequest;

use super::access::OperatorAuthenticator;
use super::query::OperatorQuery;
use super::reply::ApiProblem;
use super::route::{OperatorCall, handle_call};
use crate::adapters::AnnouncementAdapter;
use crate::http_server::PortServer;
use crate::inbox::DecisionInput;
use crate::leaving_record::LeavingRecord;
use crate::ring::RingSender;
use crate::work::BackendDirectory;

/// Maximum size of a call's body, in bytes.
const MAX_BODY_BYTES: usize = 2 << 20;
/// Maximum wait for the decision thread's answer to a query.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum wait for the record of a leaving server. Its acknowledgement is expected within a second.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// State shared by all calls of the operators' port.
pub struct OperatorContext {
    /// Ring of the decision thread, for events and queries.
    pub inbox: RingSender<DecisionInput>,
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// Name of the stream of contract changes.
    pub stream: Arc<str>,
    /// Authenticator of calls, with the accounts that may call the port.
    pub authenticator: OperatorAuthenticator,
    /// Clock for the stamps of changes and for timeouts.
    pub clock: Arc<dyn NodeClock>,
    /// Addresses of the backend servers of this instance.
    pub directory: BackendDirectory,
    /// Set while requests can be served.
    pub ready: Arc<AtomicBool>,
    /// Set when an operator requests a drain.
    pub drain_requested: Arc<AtomicBool>,
    /// Record of the backend servers that leave.
    pub leaving_record: LeavingRecord,
    /// Adapter for announcements in the platform's own protocol; `None` when backend servers use
    /// only the native one.
    pub announcement_adapter: Option<Arc<dyn AnnouncementAdapter>>,
    /// Address that this port listens on; calls from it count as local.
    pub listen_ip: IpAddr,
}

impl OperatorContext {
    /// Passes on that a backend server leaves, and waits until its leaving is recorded.
    ///
    /// The caller takes the reply for an acknowledgement, so it is sent after [`RECORD_TIMEOUT`] in
    /// any case: the server stays leaving as long as this daemon runs.
    pub async fn send_leaving(&self, event: NodeEvent) {
        let (sender, handled) = oneshot::channel();
        self.inbox
            .send(DecisionInput::Confirmed(event, sender))
            .await;
        let recorded =
            handled.await.is_ok() && self.leaving_record.wait_written(RECORD_TIMEOUT).await;
        if !recorded {
            tracing::warn!("acknowledged a leaving server that is not recorded yet");
        }
    }

    /// Sends a query to the decision thread and waits for the answer.
    ///
    /// # Errors
    ///
    /// When no answer arrives within [`ANSWER_TIMEOUT`].
    pub async fn query(&self, query: OperatorQuery) -> Result<Arc<Value>, ApiProblem> {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(DecisionInput::Query(query, reply)).await;
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        answer.ok().and_then(Result::ok).ok_or_else(|| {
            ApiProblem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "not-ready",
                "the decision thread does not answer",
            )
        })
    }
}

/// Adds the operators' port to an HTTP server.
pub fn serve_operators(
    server: PortServer,
    listener: TcpListener,
    context: Arc<OperatorContext>,
) -> PortServer {
    let handler = move |request| {
        let context = Arc::clone(&context);
        async move { handle_request(&context, request).await }
    };
    server.port("operators", listener, handler)
}

async fn handle_request(context: &OperatorContext, request: WebRequest) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    let peer = *body.socket_addr();
    let (_, body) = body.replace_body(());
    let call = match read_body(body).await {
        Ok(body) => OperatorCall {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            peer,
        },
        Err(problem) => return problem.reply().map(ResponseBody::bytes),
    };
    handle_call(context, call).await.map(ResponseBody::bytes)
}

async fn read_body(mut body: RequestBody) -> Result<Bytes, ApiProblem> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| {
            ApiProblem::new(StatusCode::BAD_REQUEST, "bad-request", error.to_string())
        })?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_BODY_BYTES {
            let detail = format!("the body is larger than {MAX_BODY_BYTES} bytes");
            return Err(ApiProblem::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too-large",
                detail,
            ));
        }
    }
    Ok(bytes.freeze())
}
