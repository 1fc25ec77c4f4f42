//! HTTP servers built on `xitca`, each with a few threads for all of its ports.

use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use anyhow::Context;
use http::Response;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_server::Builder;
use xitca_server::net::IntoListener;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebRequest;
use xitca_web::service::{ServiceExt, fn_service};

use crate::callers::{ConnectionAcceptor, ReplyBody};

/// Longest time to receive a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest idle time of a keep-alive connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Largest request head in bytes; a larger one is rejected with status 431.
const HEAD_LIMIT: usize = 32 << 10;
/// Largest number of header fields in a request.
const HEADER_COUNT_LIMIT: usize = 64;
/// Size of the write buffer of a connection, in bytes.
const WRITE_BUFFER_LIMIT: usize = 65_535;

type StopSwitch = Box<dyn Fn(bool) + Send>;

/// Builder of an HTTP server. Each server has its own threads, so ports that need no isolation from
/// each other share one.
pub struct PortServer {
    builder: Builder,
}

impl PortServer {
    /// Creates a builder without ports. The count of workers is explicit because the library's
    /// default of one per core is too much for a small instance.
    #[must_use]
    pub fn new(workers: usize) -> Self {
        let builder = Builder::new()
            .server_threads(1)
            .worker_threads(workers)
            .worker_max_blocking_threads(1)
            .disable_signal();
        Self { builder }
    }

    /// Adds a bound listener whose requests `handler` handles.
    #[must_use]
    pub fn port<L, F, Fut>(self, name: &str, listener: L, handler: F) -> Self
    where
        L: IntoListener + 'static,
        F: Fn(WebRequest) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response<ResponseBody>> + 'static,
    {
        let http = HttpServiceBuilder::with_config(http_config());
        let service = fn_service(infallible(handler)).enclosed(http);
        Self {
            builder: self.builder.listen(name, listener, service),
        }
    }

    /// Adds a bound listener for callers, whose connections `acceptor` registers.
    #[must_use]
    pub fn caller_port<F, Fut>(
        self,
        name: &str,
        listener: TcpListener,
        acceptor: ConnectionAcceptor,
        handler: F,
    ) -> Self
    where
        F: Fn(WebRequest) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response<ReplyBody>> + 'static,
    {
        let http = HttpServiceBuilder::h1().config(http_config());
        let service = fn_service(infallible(handler)).enclosed(http.with_tls(acceptor));
        Self {
            builder: self.builder.listen(name, listener, service),
        }
    }

    /// Starts the server's threads.
    ///
    /// # Errors
    ///
    /// Returns an error when a thread cannot be started.
    pub fn start(self, name: &str) -> anyhow::Result<HttpPorts> {
        let mut server = self.builder.build();
        let handle = server
            .handle()
            .with_context(|| format!("cannot control the {name} server"))?;
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let _ = server.wait();
            })
            .with_context(|| format!("cannot start the {name} thread"))?;
        Ok(HttpPorts {
            thread,
            stop: Box::new(move |graceful| handle.stop(graceful)),
        })
    }
}

/// Returns a handler in the form of the library, which allows for errors.
fn infallible<F, Fut, B>(
    handler: F,
) -> impl AsyncFn(WebRequest) -> Result<Response<B>, Infallible> + Clone + Send + Sync + 'static
where
    F: Fn(WebRequest) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<B>> + 'static,
    B: 'static,
{
    async move |request| Ok(handler(request).await)
}

fn http_config() -> HttpServiceConfig<HEADER_COUNT_LIMIT, HEAD_LIMIT, WRITE_BUFFER_LIMIT> {
    HttpServiceConfig::new()
        .request_head_timeout(HEAD_TIMEOUT)
        .keep_alive_timeout(IDLE_TIMEOUT)
        .max_read_buf_size::<HEAD_LIMIT>()
        .max_write_buf_size::<WRITE_BUFFER_LIMIT>()
        .max_request_headers::<HEADER_COUNT_LIMIT>()
}

/// Handle to a running server.
pub struct HttpPorts {
    thread: JoinHandle<()>,
    stop: StopSwitch,
}

impl std::fmt::Debug for HttpPorts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpPorts").finish_non_exhaustive()
    }
}

impl HttpPorts {
    /// Stops the server and joins its thread; with `graceful`, requests in flight complete first.
    pub fn stop(self, graceful: bool) {
        (self.stop)(graceful);
        let _ = self.thread.join();
    }
}
