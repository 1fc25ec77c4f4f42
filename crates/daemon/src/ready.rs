//! The port on which a load balancer or the callers' side asks whether the daemon takes requests.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{Response, StatusCode};
use xitca_web::body::ResponseBody;
use xitca_web::http::WebRequest;

use crate::http_server::{HttpPort, start_server};

/// Serves 200 while `ready` is set and 503 otherwise, whatever the path.
///
/// # Errors
///
/// When the server's threads cannot be started.
pub fn start_ready(listener: TcpListener, ready: Arc<AtomicBool>) -> anyhow::Result<HttpPort> {
    let answer = move |_: WebRequest| {
        let ready = ready.load(Ordering::Relaxed);
        async move {
            let mut answer = Response::new(ResponseBody::empty());
            if !ready {
                *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            answer
        }
    };
    start_server("ready", listener, 1, answer)
}
