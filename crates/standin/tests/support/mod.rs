//! An HTTP/1.1 client that transcribes exchanges as text for snapshots.

#![allow(dead_code, reason = "each test binary uses its part")]

use std::fmt::Write;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Time limit of a whole test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn run_test<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test timed out");
    });
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Client of one server that returns exchanges as text.
pub struct TextClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl TextClient {
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, address }
    }

    pub fn request(&self, method: Method, target: &str, body: &str) -> Request<Full<Bytes>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{target}", self.address))
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap()
    }

    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, String> {
        let sent = self.client.request(request).await;
        sent.map_err(|_| "connection closed".to_owned())
    }

    /// Sends a request and returns the status and the body, or how the exchange failed.
    pub async fn transcribe(&self, request: Request<Full<Bytes>>) -> String {
        let line = format!(
            "{} {}",
            request.method(),
            request.uri().path_and_query().unwrap()
        );
        let mut transcript = format!("> {line}\n");
        match self.send(request).await {
            Ok(response) => {
                let status = response.status().as_u16();
                let id = response.headers().get("x-request-id").cloned();
                for name in ["x-backend-limit", "x-backend-leaving"] {
                    if let Some(value) = response.headers().get(name) {
                        let _ = writeln!(transcript, "< {name}: {value:?}");
                    }
                }
                let body = match response.into_body().collect().await {
                    Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
                    Err(_) => "(cut short)".to_owned(),
                };
                let _ = match id {
                    Some(id) => writeln!(transcript, "< {status} {id:?} {body}"),
                    None => writeln!(transcript, "< {status} {body}"),
                };
            }
            Err(error) => {
                let _ = writeln!(transcript, "< {error}");
            }
        }
        transcript
    }

    pub async fn get(&self, target: &str) -> String {
        self.transcribe(self.request(Method::GET, target, "")).await
    }

    pub async fn post(&self, target: &str, body: &str) -> String {
        self.transcribe(self.request(Method::POST, target, body))
            .await
    }
}
