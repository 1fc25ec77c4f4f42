//! Fake daemon with scripted replies, and a runner that captures the output of operations.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sycamorelink_ops::{ExitKind, ShellContext, ToolSettings, exit_kind};
use tokio::net::TcpListener;
use tokio::runtime::Builder;

/// One scripted reply.
#[derive(Clone, Debug)]
pub struct ScriptedReply {
    status: u16,
    version: Option<u64>,
    body: String,
}

/// Returns a scripted reply with a JSON body.
pub fn reply(status: u16, body: &str) -> ScriptedReply {
    ScriptedReply {
        status,
        version: None,
        body: body.to_owned(),
    }
}

impl ScriptedReply {
    /// Sets the version in the `ETag` header.
    pub fn version(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }
}

#[derive(Default)]
struct DaemonScript {
    replies: VecDeque<ScriptedReply>,
    calls: Vec<String>,
}

/// Daemon that sends scripted replies in order and repeats the last one.
pub struct FakeDaemon {
    address: SocketAddr,
    script: Arc<Mutex<DaemonScript>>,
}

impl FakeDaemon {
    pub fn start(replies: Vec<ScriptedReply>) -> Self {
        let script = Arc::new(Mutex::new(DaemonScript {
            replies: replies.into(),
            calls: Vec::new(),
        }));
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a socket option");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::clone(&script);
        thread::spawn(move || serve(listener, &shared));
        Self { address, script }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the received calls, each as method, path and relevant headers, with ids redacted.
    pub fn calls(&self) -> String {
        let script = self.script.lock().unwrap_or_else(PoisonError::into_inner);
        redact_ids(&script.calls.join("\n"))
    }
}

fn serve(listener: std::net::TcpListener, script: &Arc<Mutex<DaemonScript>>) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::from_std(listener).expect("a listener");
        while let Ok((stream, _)) = listener.accept().await {
            let script = Arc::clone(script);
            let service = service_fn(move |request| handle_request(Arc::clone(&script), request));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
}

async fn handle_request(
    script: Arc<Mutex<DaemonScript>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let mut call = format!("{} {}", parts.method, parts.uri);
    for name in ["authorization", "if-match", "idempotency-key"] {
        if let Some(value) = parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
        {
            write!(call, "\n  {name}: {value}").expect("text");
        }
    }
    let body = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    if !body.is_empty() {
        call.push_str("\n  with a body");
    }
    let reply = next_reply(&script, call);
    let mut response = Response::builder().status(reply.status);
    if let Some(version) = reply.version {
        response = response.header("etag", format!("\"{version}\""));
    }
    Ok(response
        .body(Full::new(Bytes::from(reply.body)))
        .expect("a response"))
}

fn next_reply(script: &Mutex<DaemonScript>, call: String) -> ScriptedReply {
    let mut script = script.lock().unwrap_or_else(PoisonError::into_inner);
    script.calls.push(call);
    let last = script.replies.len() == 1;
    let next = if last {
        script.replies.front().cloned()
    } else {
        script.replies.pop_front()
    };
    next.expect("a scripted reply")
}

/// Output captured from an operation.
#[derive(Clone, Default)]
pub struct CapturedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for CapturedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut text = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl CapturedOutput {
    fn text(&self) -> String {
        let text = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Runs an operation against daemons and returns its exit code and output, with ids and addresses
/// redacted.
pub fn run<F>(daemons: &[SocketAddr], operation: F) -> String
where
    F: FnOnce(&mut ShellContext) -> anyhow::Result<()>,
{
    let settings = ToolSettings {
        daemons: daemons.to_vec(),
        token: Some(Arc::from("secret")),
        ..ToolSettings::default()
    };
    let (out, err) = (CapturedOutput::default(), CapturedOutput::default());
    let mut context = ShellContext::builder(settings)
        .out(Box::new(out.clone()))
        .err(Box::new(err.clone()))
        .build();
    let code = match operation(&mut context) {
        Ok(()) => ExitKind::Success,
        Err(error) => {
            context.error(&error);
            exit_kind(&error)
        }
    };
    let text = format!(
        "exit code {}\n--- stdout\n{}--- stderr\n{}",
        code.code(),
        out.text(),
        err.text()
    );
    redact_output(&text, daemons)
}

fn redact_output(text: &str, daemons: &[SocketAddr]) -> String {
    let mut text = redact_ids(text);
    for (index, daemon) in daemons.iter().enumerate() {
        text = text.replace(&daemon.to_string(), &format!("DAEMON-{index}"));
    }
    text
}

fn redact_ids(text: &str) -> String {
    let words = text.split(|letter: char| !letter.is_ascii_hexdigit() && letter != '-');
    let ids: Vec<&str> = words
        .filter(|word| word.len() == 36 && word.matches('-').count() == 4)
        .collect();
    let hide = |text: String, id: &&str| text.replace(*id, "ID");
    ids.iter().fold(text.to_owned(), hide)
}
