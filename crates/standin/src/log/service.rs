//! HTTP endpoints of the log stand-in.

use std::future::{Future, pending};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Deserialize;
use sycamorelink_core::NodeClock;
use tokio::sync::watch;

use super::replies::{append_reply, page_reply, store_error_reply};
use super::store::{LogStore, StoreError, StoredPage};
use super::{LogMode, LogStandinSettings};
use crate::reply::{AbortError, ReplyBody, ReplyResult, error_reply, json_reply, query_number};
use crate::server::RequestHandler;

/// Maximum size of a control request body in bytes.
const MAX_CONTROL_BYTES: usize = 64 * 1024;

#[derive(Deserialize)]
struct TrimRequest {
    stream: String,
    trim_to: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceState {
    appends: u64,
    closed: bool,
}

/// State that all connections of a log stand-in share.
pub(super) struct LogService {
    settings: LogStandinSettings,
    store: Mutex<LogStore>,
    mode: watch::Sender<LogMode>,
    updates: watch::Sender<ServiceState>,
    clock: Arc<dyn NodeClock>,
}

impl std::fmt::Debug for LogService {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LogService").finish_non_exhaustive()
    }
}

impl LogService {
    pub(super) fn new(settings: LogStandinSettings, clock: Arc<dyn NodeClock>) -> Self {
        Self {
            store: Mutex::new(LogStore::new(settings.clone())),
            settings,
            mode: watch::Sender::new(LogMode::Up),
            updates: watch::Sender::new(ServiceState::default()),
            clock,
        }
    }

    pub(super) fn set_mode(&self, mode: LogMode) {
        self.mode.send_replace(mode);
    }

    pub(super) fn trim_to(&self, stream: &str, offset: u64) {
        self.store().trim_to(stream, offset);
    }

    pub(super) fn append_count(&self) -> u64 {
        self.store().appends
    }

    /// Ends all long polls, so that a drain does not wait for them.
    pub(super) fn close(&self) {
        self.updates.send_modify(|state| state.closed = true);
    }

    fn store(&self) -> MutexGuard<'_, LogStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn route(self: Arc<Self>, request: Request<Incoming>) -> ReplyResult {
        let path = request.uri().path().to_owned();
        if path == "/control" {
            return Ok(self.control(request).await);
        }
        let Some(stream) = stream_name(&path) else {
            return Ok(error_reply(StatusCode::NOT_FOUND, "no such path"));
        };
        let is_append = request.method() == Method::POST;
        let is_read = request.method() == Method::GET;
        if !is_append && !is_read {
            return Ok(error_reply(
                StatusCode::METHOD_NOT_ALLOWED,
                "use GET or POST",
            ));
        }
        if let Some(reply) = self.inject_fault(is_append).await? {
            return Ok(reply);
        }
        if is_append {
            self.append(stream, request).await
        } else {
            self.read(stream, request.uri().query()).await
        }
    }

    async fn inject_fault(
        &self,
        is_append: bool,
    ) -> Result<Option<Response<ReplyBody>>, AbortError> {
        let mode = *self.mode.borrow();
        let unavailable = match mode {
            LogMode::Up | LogMode::LoseReplies => false,
            LogMode::Down => return Err(AbortError),
            LogMode::Hang => pending().await,
            LogMode::Unavailable => true,
            LogMode::AppendsDown => is_append,
            LogMode::ReadsDown => !is_append,
            LogMode::Slow { .. } if is_append => false,
            LogMode::Slow { ms } => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                false
            }
        };
        Ok(unavailable.then(|| error_reply(StatusCode::SERVICE_UNAVAILABLE, "log is down")))
    }

    async fn append(self: Arc<Self>, stream: &str, request: Request<Incoming>) -> ReplyResult {
        let limited = Limited::new(request.into_body(), self.settings.record_bytes);
        let Ok(collected) = limited.collect().await else {
            return Ok(error_reply(
                StatusCode::PAYLOAD_TOO_LARGE,
                "record is too large or was cut short",
            ));
        };
        let data = collected.to_bytes();
        let mode = *self.mode.borrow();
        let result = match mode {
            LogMode::Slow { ms } => {
                let wait = Duration::from_millis(ms);
                self.append_after(stream.to_owned(), data, wait).await
            }
            _ => self.append_record(stream, data),
        };
        match result {
            Ok(_) if mode == LogMode::LoseReplies => Err(AbortError),
            Ok(offset) => Ok(append_reply(offset)),
            Err(error) => Ok(store_error_reply(&error)),
        }
    }

    /// Appends a record after the delay, even if the client disconnects in the meantime.
    async fn append_after(
        self: Arc<Self>,
        stream: String,
        data: Bytes,
        wait: Duration,
    ) -> Result<u64, StoreError> {
        let append_task = tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            self.append_record(&stream, data)
        });
        append_task
            .await
            .unwrap_or(Err(StoreError::Throttled(wait)))
    }

    fn append_record(&self, stream: &str, data: Bytes) -> Result<u64, StoreError> {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let offset = self.store().append(stream, data, now, wall)?;
        self.updates.send_modify(|state| state.appends += 1);
        Ok(offset)
    }

    async fn read(&self, stream: &str, query: Option<&str>) -> ReplyResult {
        let from = query_number(query, "from").unwrap_or(0);
        let max = query_number(query, "max").map_or(self.settings.page_records, |max| {
            usize::try_from(max).unwrap_or(usize::MAX)
        });
        let max = max.clamp(1, self.settings.page_records);
        let wait = Duration::from_millis(query_number(query, "wait").unwrap_or(0));
        let wait = wait.min(self.settings.wait_limit);
        let page = self.long_poll(stream, from, max, wait).await?;
        Ok(match page {
            Ok(page) => page_reply(&page),
            Err(error) => store_error_reply(&error),
        })
    }

    async fn long_poll(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<Result<StoredPage, StoreError>, AbortError> {
        let mut updates = self.updates.subscribe();
        let mut mode = self.mode.subscribe();
        let deadline = tokio::time::sleep(wait);
        let mut deadline = std::pin::pin!(deadline);
        loop {
            updates.borrow_and_update();
            let page = self.store().read(stream, from, max, self.clock.now());
            let ready = page.as_ref().map_or(true, |page| !page.records.is_empty());
            if ready || deadline.is_elapsed() || updates.borrow().closed {
                return Ok(page);
            }
            tokio::select! {
                () = deadline.as_mut() => {}
                _ = updates.changed() => {}
                // Switching to `Down` also closes the connections of pending long polls.
                _ = mode.wait_for(|mode| *mode == LogMode::Down) => return Err(AbortError),
            }
        }
    }

    async fn control(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        if request.method() != Method::POST {
            return error_reply(StatusCode::METHOD_NOT_ALLOWED, "use POST");
        }
        let limited = Limited::new(request.into_body(), MAX_CONTROL_BYTES);
        let Ok(body) = limited.collect().await else {
            return error_reply(StatusCode::BAD_REQUEST, "control body is cut short");
        };
        match self.apply_control(&body.to_bytes()) {
            Ok(()) => json_reply(StatusCode::OK, &*self.mode.borrow()),
            Err(error) => error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Applies a control request.
    ///
    /// The mode and the trim are decoded separately, so that an unknown mode is rejected instead of
    /// ignored.
    fn apply_control(&self, body: &[u8]) -> serde_json::Result<()> {
        let control: serde_json::Value = serde_json::from_slice(body)?;
        let mode = control.get("mode").map(|_| LogMode::deserialize(&control));
        let mode = mode.transpose()?;
        let trim = control
            .get("trim_to")
            .map(|_| TrimRequest::deserialize(&control));
        let trim = trim.transpose()?;
        if let Some(mode) = mode {
            self.set_mode(mode);
        }
        if let Some(trim) = trim {
            self.trim_to(&trim.stream, trim.trim_to);
        }
        Ok(())
    }
}

impl RequestHandler for LogService {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = ReplyResult> + Send>> {
        Box::pin(self.route(request))
    }
}

fn stream_name(path: &str) -> Option<&str> {
    let name = path.strip_prefix("/v1/logs/")?.strip_suffix("/records")?;
    (!name.is_empty() && !name.contains('/')).then_some(name)
}
