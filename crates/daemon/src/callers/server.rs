//! The listening side of the callers' port.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use http::header::{CONNECTION, HeaderValue};
use sycamorelink_core::{InstanceId, RequestId};
use tokio::sync::mpsc;
use xitca_web::http::WebRequest;

use super::exchange::answer_request;
use super::socket::{CallerSockets, TrackedListener};
use crate::border::CallerBorder;
use crate::http_server::PortServer;
use crate::inbox::ShellInput;
use crate::ring::RingSender;
use crate::work::AttemptTask;

/// What every exchange needs.
#[derive(Debug)]
pub struct CallerContext {
    /// This node's life; its incarnation makes request ids unique.
    pub instance: InstanceId,
    /// Where events go.
    pub inbox: RingSender<ShellInput>,
    /// Where attempts are carried out.
    pub attempts: mpsc::Sender<AttemptTask>,
    /// Bytes of a reply held until it is whole.
    pub reply_buffer: usize,
    /// Greatest body that is held so that it can be sent again.
    pub body_buffer: usize,
    /// Counts requests.
    pub counter: AtomicU64,
    /// Connections of callers, to see them go away.
    pub sockets: CallerSockets,
    /// How requests are read and answered.
    pub border: Arc<dyn CallerBorder>,
    /// Set while the daemon leaves: answers then tell callers to come back on another connection.
    pub leaving: Arc<AtomicBool>,
}

impl CallerContext {
    /// The next request's id: this node's life and a count, so that no two are equal.
    #[must_use]
    pub fn next_request(&self) -> RequestId {
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        let life = self.instance.node.0 ^ self.instance.incarnation.0.rotate_left(20);
        RequestId((u128::from(life) << 64) | u128::from(count))
    }

    /// Greatest body that can be sent again, in bytes.
    #[must_use]
    pub fn replay_limit(&self) -> u64 {
        self.body_buffer as u64
    }
}

/// Serves the callers' port.
pub fn serve_callers(
    server: PortServer,
    listener: TcpListener,
    context: Arc<CallerContext>,
) -> PortServer {
    let tracked = TrackedListener::new(listener, context.sockets.clone());
    let answer = move |request: WebRequest| {
        let context = Arc::clone(&context);
        let peer = *request.body().socket_addr();
        let request = request.map(|ext| ext.replace_body(()).1);
        async move {
            let leaving = Arc::clone(&context.leaving);
            let mut answer = answer_request(context, request, peer).await;
            if leaving.load(Ordering::Relaxed) {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            answer
        }
    };
    server.port("callers", tracked, answer)
}
