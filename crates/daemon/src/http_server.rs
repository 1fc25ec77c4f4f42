//! HTTP servers by `xitca`, each with a few threads for all of its ports.

use std::future::Future;
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

/// Longest time for a request's head to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for a kept connection to stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Greatest head of a request, in bytes; a larger one gets status 431.
const HEAD_LIMIT: usize = 32 << 10;
/// Greatest count of header fields in a request.
const HEADER_COUNT: usize = 64;
/// Bytes of answers that are collected before they are sent.
const WRITE_LIMIT: usize = 65_535;

type StopSwitch = Box<dyn Fn(bool) + Send>;

/// A server that has not started. Each server has threads of its own, so ports that need not be answered apart
/// share one.
pub struct PortServer {
    builder: Builder,
}

impl PortServer {
    /// A server without ports. The library's default of one worker for each core is too much for a small
    /// instance, so the count is always given.
    #[must_use]
    pub fn new(workers: usize) -> Self {
        let builder = Builder::new()
            .server_threads(1)
            .worker_threads(workers)
            .worker_max_blocking_threads(1)
            .disable_signal();
        Self { builder }
    }

    /// Serves a bound listener too.
    #[must_use]
    pub fn port<L, F, Fut>(self, name: &str, listener: L, answer: F) -> Self
    where
        L: IntoListener + 'static,
        F: Fn(WebRequest) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response<ResponseBody>> + 'static,
    {
        let service = fn_service(move |request: WebRequest| {
            let answer = answer.clone();
            async move { Ok::<_, std::convert::Infallible>(answer(request).await) }
        });
        let config = HttpServiceConfig::new()
            .request_head_timeout(HEAD_TIMEOUT)
            .keep_alive_timeout(IDLE_TIMEOUT)
            .max_read_buf_size::<HEAD_LIMIT>()
            .max_write_buf_size::<WRITE_LIMIT>()
            .max_request_headers::<HEADER_COUNT>();
        let service = service.enclosed(HttpServiceBuilder::with_config(config));
        Self {
            builder: self.builder.listen(name, listener, service),
        }
    }

    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// When they cannot be started.
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

/// The ports of a running server.
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
    /// Stops the server; with `graceful`, exchanges in flight are finished first.
    pub fn stop(self, graceful: bool) {
        (self.stop)(graceful);
        let _ = self.thread.join();
    }
}
