//! The listening side of the operators' port.

use std::net::{IpAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode};
use serde_json::Value;
use sycamorelink_core::NodeClock;
use sycamorelink_log::LogClient;
use tokio::sync::oneshot;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::http::WebRequest;

use super::access::OperatorGate;
use super::query::OperatorQuery;
use super::reply::ApiProblem;
use super::route::{OperatorCall, answer_call};
use crate::border::AnnouncementBorder;
use crate::http_server::PortServer;
use crate::inbox::ShellInput;
use crate::ring::RingSender;
use crate::work::BackendDirectory;

/// Greatest body of a call, in bytes.
const BODY_LIMIT: usize = 2 << 20;
/// Longest wait for the decision thread's answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// What every call needs.
pub struct OperatorContext {
    /// Where events and questions go.
    pub inbox: RingSender<ShellInput>,
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// Name of the stream of contract changes.
    pub stream: Arc<str>,
    /// Who may call what.
    pub gate: OperatorGate,
    /// Time.
    pub clock: Arc<dyn NodeClock>,
    /// Where the backend servers listen.
    pub directory: BackendDirectory,
    /// Set while requests can be served.
    pub ready: Arc<AtomicBool>,
    /// Set when an operator asks the daemon to leave.
    pub drain_wanted: Arc<AtomicBool>,
    /// Another form in which backend servers announce themselves.
    pub announcement: Option<Arc<dyn AnnouncementBorder>>,
    /// Address that this port listens on.
    pub own_ip: IpAddr,
}

impl OperatorContext {
    /// Asks the decision thread.
    ///
    /// # Errors
    ///
    /// When it does not answer in time.
    pub async fn ask(&self, query: OperatorQuery) -> Result<Arc<Value>, ApiProblem> {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(ShellInput::Query(query, reply)).await;
        let answer = tokio::time::timeout(ANSWER_LIMIT, answer).await;
        answer.ok().and_then(Result::ok).ok_or_else(|| {
            ApiProblem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "not-ready",
                "the decision thread does not answer",
            )
        })
    }
}

/// Serves the operators' port.
pub fn serve_operators(
    server: PortServer,
    listener: TcpListener,
    context: Arc<OperatorContext>,
) -> PortServer {
    let answer = move |request| {
        let context = Arc::clone(&context);
        async move { answer_request(&context, request).await }
    };
    server.port("operators", listener, answer)
}

async fn answer_request(context: &OperatorContext, request: WebRequest) -> Response<ResponseBody> {
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
    answer_call(context, call).await.map(ResponseBody::bytes)
}

async fn read_body(mut body: RequestBody) -> Result<Bytes, ApiProblem> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| {
            ApiProblem::new(StatusCode::BAD_REQUEST, "bad-request", error.to_string())
        })?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() > BODY_LIMIT {
            let detail = format!("the body is larger than {BODY_LIMIT} bytes");
            return Err(ApiProblem::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too-large",
                detail,
            ));
        }
    }
    Ok(bytes.freeze())
}
