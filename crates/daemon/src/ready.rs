//! Ports for monitoring: the readiness probe and the metrics page.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use sycamorelink_telemetry::MetricPage;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebRequest;

use crate::http_server::PortServer;

/// Adds a port that responds with 200 while `ready` is set and with 503 otherwise, for any path.
pub fn serve_ready(
    server: PortServer,
    listener: TcpListener,
    ready: Arc<AtomicBool>,
) -> PortServer {
    let handler = move |_: WebRequest| {
        let ready = ready.load(Ordering::Relaxed);
        async move {
            let mut response = Response::new(ResponseBody::empty());
            if !ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            response
        }
    };
    server.port("ready", listener, handler)
}

/// Media type of the metrics page.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Adds a port that responds with the metrics page, for any path.
pub fn serve_metrics_page(
    server: PortServer,
    listener: TcpListener,
    page: MetricPage,
) -> PortServer {
    let handler = move |_: WebRequest| {
        let text = page.text();
        async move {
            let mut response = Response::new(ResponseBody::bytes(Bytes::from(text)));
            let kind = HeaderValue::from_static(METRICS_TYPE);
            response.headers_mut().insert(CONTENT_TYPE, kind);
            response
        }
    };
    server.port("metrics", listener, handler)
}
