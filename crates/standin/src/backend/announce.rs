//! Announces the backend server to the local daemon and repeats this on every heartbeat.
//!
//! The daemon drops an announcement that is not renewed. After a restart, the daemon learns of the
//! backend server from the next heartbeat.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use tokio::sync::watch;

use super::{BackendPhase, BackendSettings};

/// Timeout of one announcement request.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a str,
    address: SocketAddr,
    slots: u16,
    phase: BackendPhase,
}

/// Repeats the announcement until the phase channel closes, then withdraws it.
///
/// Returns at once when the settings name no daemon.
pub(super) async fn announce_until_closed(
    settings: Arc<BackendSettings>,
    address: SocketAddr,
    mut phase: watch::Receiver<BackendPhase>,
) {
    let Some(daemon) = settings.daemon else {
        return;
    };
    let client = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .build_http();
    let uri = format!(
        "http://{daemon}/v1/local/upstreams/{}",
        settings.daemon_slot
    );
    loop {
        let announced = *phase.borrow_and_update();
        let body = announcement_body(&settings, address, announced);
        send_announcement(&client, Method::PUT, &uri, body).await;
        let heartbeat = tokio::time::timeout(settings.heartbeat, phase.changed());
        if let Ok(Err(_)) = heartbeat.await {
            break;
        }
    }
    send_announcement(&client, Method::DELETE, &uri, Bytes::new()).await;
}

fn announcement_body(
    settings: &BackendSettings,
    address: SocketAddr,
    phase: BackendPhase,
) -> Bytes {
    let announcement = Announcement {
        service: settings.service.as_str(),
        address,
        slots: settings.slots,
        phase,
    };
    Bytes::from(serde_json::to_vec(&announcement).unwrap_or_default())
}

async fn send_announcement(
    client: &Client<HttpConnector, Full<Bytes>>,
    method: Method,
    uri: &str,
    body: Bytes,
) {
    let request = Request::builder()
        .method(method)
        .uri(uri)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body));
    let Ok(request) = request else { return };
    match tokio::time::timeout(ANNOUNCE_TIMEOUT, client.request(request)).await {
        Ok(Ok(response)) if response.status().is_success() => {}
        Ok(Ok(response)) => tracing::debug!(status = %response.status(), "announcement rejected"),
        Ok(Err(error)) => tracing::debug!(%error, "failed to send announcement"),
        Err(_) => tracing::debug!("announcement timed out"),
    }
}
