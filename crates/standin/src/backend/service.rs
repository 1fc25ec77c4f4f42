//! HTTP endpoints of the backend stand-in: control, health, load and simulated work.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Deserialize;

use super::request::handle_request;
use super::state::BackendState;
use super::{BackendFault, BackendPhase, ColdStart};
use crate::reply::{ReplyBody, ReplyResult, error_reply, json_reply};
use crate::server::RequestHandler;

/// Maximum size of a control request body in bytes.
const MAX_CONTROL_BYTES: usize = 64 * 1024;

#[derive(Deserialize)]
struct ControlRequest {
    phase: Option<BackendPhase>,
    cold_start: Option<ColdStart>,
}

/// Request handler of a backend stand-in.
pub(super) struct BackendService {
    state: Arc<BackendState>,
}

impl BackendService {
    pub(super) fn new(state: Arc<BackendState>) -> Self {
        Self { state }
    }

    async fn control(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let limited = Limited::new(request.into_body(), MAX_CONTROL_BYTES);
        let Ok(body) = limited.collect().await else {
            return error_reply(StatusCode::BAD_REQUEST, "control body is cut short");
        };
        match self.apply_control(&body.to_bytes()) {
            Ok(()) => json_reply(StatusCode::OK, &self.state.fault()),
            Err(error) => error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Applies a control request.
    ///
    /// The fault is decoded on its own, so that an unknown fault is rejected instead of ignored.
    fn apply_control(&self, body: &[u8]) -> serde_json::Result<()> {
        let control: serde_json::Value = serde_json::from_slice(body)?;
        let fault = control
            .get("fault")
            .map(|_| BackendFault::deserialize(&control));
        let fault = fault.transpose()?;
        // `null` ends the limit.
        let limit = control.get("limit").map(Option::<f64>::deserialize);
        let limit = limit.transpose()?;
        let request = ControlRequest::deserialize(&control)?;
        if let Some(fault) = fault {
            self.state.set_fault(fault);
        }
        if let Some(phase) = request.phase {
            self.state.set_phase(phase);
        }
        if let Some(cold) = request.cold_start {
            self.state.set_cold_start(cold);
        }
        if let Some(limit) = limit {
            self.state.set_limit(limit);
        }
        Ok(())
    }
}

impl RequestHandler for BackendService {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = ReplyResult> + Send>> {
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                // Reports healthy under every fault, since health checks do not detect gray
                // failures.
                (&Method::GET, "/health") => Ok(json_reply(
                    StatusCode::OK,
                    &serde_json::json!({ "status": "healthy" }),
                )),
                (&Method::GET, "/load") => {
                    Ok(json_reply(StatusCode::OK, &self.state.delayed_load()))
                }
                (&Method::GET, "/control/runs") => {
                    Ok(json_reply(StatusCode::OK, &self.state.runs()))
                }
                (&Method::POST, "/control") => Ok(self.control(request).await),
                _ => {
                    let mut reply = handle_request(&self.state, request).await?;
                    self.state.insert_notices(reply.headers_mut());
                    Ok(reply)
                }
            }
        })
    }
}
