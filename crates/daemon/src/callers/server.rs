//! Server of the callers' port.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use http::header::{CONNECTION, HeaderValue};
use sycamorelink_core::{InstanceId, RequestId};
use tokio::sync::mpsc;
use xitca_web::http::WebRequest;

use super::connection::ConnectionAcceptor;
use super::exchange::answer_request;
use super::reply_body::ReplyBody;
use super::socket::CallerSockets;
use crate::adapters::CallerAdapter;
use crate::http_server::PortServer;
use crate::inbox::DecisionInput;
use crate::memory::MemoryAccount;
use crate::metrics::EventPort;
use crate::ring::RingSender;
use crate::work::AttemptTask;

/// State shared by all exchanges.
#[derive(Debug)]
pub struct CallerContext {
    /// Instance and incarnation of this node; the incarnation makes request ids unique.
    pub instance: InstanceId,
    /// Ring of the decision thread, for events.
    pub inbox: RingSender<DecisionInput>,
    /// Channel to the work thread, which runs the attempts.
    pub attempts: mpsc::Sender<AttemptTask>,
    /// Largest reply that is buffered until it is complete, in bytes.
    pub reply_buffer: usize,
    /// Largest request body that is buffered so that it can be resent, in bytes.
    pub body_buffer: usize,
    /// Number of the next request.
    pub counter: AtomicU64,
    /// Connections of callers, used to detect disconnects and replies that are not written yet.
    pub sockets: CallerSockets,
    /// Protocol in which callers send requests and receive responses.
    pub adapter: Arc<dyn CallerAdapter>,
    /// Set while the daemon drains; responses then carry `Connection: close`, so that callers open
    /// a new connection.
    pub leaving: Arc<AtomicBool>,
    /// Account of the bodies and replies that are held here.
    pub memory: MemoryAccount,
    /// Event log.
    pub events: EventPort,
}

impl CallerContext {
    /// Returns a unique request id made of this node's incarnation and a counter.
    #[must_use]
    pub fn next_request(&self) -> RequestId {
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        let prefix = self.instance.node.0 ^ self.instance.incarnation.0.rotate_left(20);
        RequestId((u128::from(prefix) << 64) | u128::from(count))
    }

    /// Returns the size of the largest request body that can be resent, in bytes.
    #[must_use]
    pub fn replay_limit(&self) -> u64 {
        self.body_buffer as u64
    }
}

/// Adds the callers' port to a server.
pub fn serve_callers(
    server: PortServer,
    listener: TcpListener,
    context: Arc<CallerContext>,
) -> PortServer {
    let acceptor = ConnectionAcceptor::new(context.sockets.clone());
    let handler = move |request: WebRequest| {
        let context = Arc::clone(&context);
        let peer = *request.body().socket_addr();
        let request = request.map(|ext| ext.replace_body(()).1);
        async move {
            let reply = context.sockets.open_reply();
            let socket = context.sockets.get(peer);
            let leaving = Arc::clone(&context.leaving);
            let mut response = answer_request(context, request, socket.clone()).await;
            if leaving.load(Ordering::Relaxed) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response.map(|body| ReplyBody::new(body, socket, reply))
        }
    };
    server.caller_port("callers", listener, acceptor, handler)
}
