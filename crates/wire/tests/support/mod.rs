//! A server with scripted replies, and helpers to connect to it.

#![allow(dead_code, reason = "each test binary uses its part")]

pub mod raw;

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sycamorelink_core::{
    AttemptId, CustomerName, InstanceId, NodeId, NodeIncarnation, RequestId, RequestRefusal,
    RunState, ServiceName, UpstreamId,
};
use sycamorelink_wire::{
    FailureKind, FleetKeys, HandlerFuture, LoadReport, PeerConnection, PeerHandler, PeerIdentity,
    ReplyHead, WireSettings, WorkExchange, WorkFailed, WorkHead, WorkRefused, serve_connection,
};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

pub const KEY: &str = "a fleet key of the tests, 32 or more characters";

/// Maximum duration of every wait.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

pub fn run_local<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(with_timeout(test)));
}

pub async fn with_timeout<F>(future: F) -> F::Output
where
    F: Future,
{
    tokio::time::timeout(WAIT_LIMIT, future)
        .await
        .expect("in time")
}

pub fn instance(name: &str, incarnation: u64) -> InstanceId {
    InstanceId {
        node: NodeId::of(name),
        incarnation: NodeIncarnation(incarnation),
    }
}

pub fn identity(name: &str) -> PeerIdentity {
    PeerIdentity::new(instance(name, 7), FleetKeys::only(KEY))
}

#[derive(Clone)]
pub enum HandlerScript {
    Echo,
    Refuse(RequestRefusal),
    FailMidReply,
    WaitForCancel,
    DropMidReply,
    WrongAttempt,
    ReplyAfter(Duration),
    ReplyWithSize(usize),
}

pub struct ScriptedHandler {
    script: HandlerScript,
    own: InstanceId,
    events: mpsc::UnboundedSender<String>,
}

impl ScriptedHandler {
    pub fn new(
        script: HandlerScript,
        own: InstanceId,
        events: mpsc::UnboundedSender<String>,
    ) -> Self {
        Self {
            script,
            own,
            events,
        }
    }
}

impl PeerHandler<String> for ScriptedHandler {
    fn work(&self, exchange: WorkExchange) -> HandlerFuture {
        let events = self.events.clone();
        Box::pin(run_script(self.script.clone(), self.own, events, exchange))
    }

    fn message(&self, from: InstanceId, message: String) {
        let _ = self.events.send(format!("{}: {message}", from.node));
    }
}

async fn run_script(
    script: HandlerScript,
    own: InstanceId,
    events: mpsc::UnboundedSender<String>,
    mut exchange: WorkExchange,
) {
    let attempt = exchange.head.attempt;
    let load = LoadReport {
        in_use: 1,
        slots: 5,
        queued: 0,
        failing: 0,
    };
    let mut head = ReplyHead {
        attempt,
        instance: own,
        status: 200,
        headers: vec![("x-request-id".to_owned(), b"r1".to_vec())],
        body_length: None,
        load,
        queue_time: Duration::ZERO,
    };
    match script {
        HandlerScript::Echo => {
            exchange.reply.head(&head).await.unwrap();
            loop {
                match exchange.body.chunk().await {
                    Ok(Some(chunk)) => exchange.reply.chunk(&chunk).await.unwrap(),
                    Ok(None) => break,
                    Err(error) => {
                        let _ = events.send(format!("body: {error:?}"));
                        return;
                    }
                }
            }
            let service_time = Duration::from_millis(3);
            exchange.reply.end(service_time, load).await.unwrap();
        }
        HandlerScript::Refuse(refusal) => {
            let refused = WorkRefused {
                attempt,
                refusal,
                load,
            };
            exchange.reply.refuse(&refused).await.unwrap();
        }
        HandlerScript::FailMidReply => {
            exchange.reply.head(&head).await.unwrap();
            exchange.reply.chunk(b"half").await.unwrap();
            let failed = WorkFailed {
                attempt,
                kind: FailureKind::Truncated,
                run: RunState::Unknown,
                load,
            };
            exchange.reply.fail(&failed).await.unwrap();
        }
        HandlerScript::WaitForCancel => {
            let _ = events.send("started".to_owned());
            let error = exchange.reply.cancelled().await;
            let _ = events.send(format!("cancelled: {error:?}"));
        }
        HandlerScript::DropMidReply => {
            exchange.reply.head(&head).await.unwrap();
            exchange.reply.chunk(b"half").await.unwrap();
        }
        HandlerScript::ReplyAfter(wait) => {
            tokio::time::sleep(wait).await;
            let _ = exchange.reply.whole(&head, b"late", wait).await;
        }
        HandlerScript::ReplyWithSize(size) => {
            let body = vec![7; size];
            let _ = exchange.reply.whole(&head, &body, Duration::ZERO).await;
        }
        HandlerScript::WrongAttempt => {
            head.attempt.number += 1;
            let _ = exchange
                .reply
                .whole(&head, b"not yours", Duration::ZERO)
                .await;
        }
    }
}

pub struct TestServer {
    pub address: SocketAddr,
    pub own: InstanceId,
    pub events: mpsc::UnboundedReceiver<String>,
    pub results: mpsc::UnboundedReceiver<String>,
    pub drain: watch::Sender<bool>,
}

pub async fn start(script: HandlerScript) -> TestServer {
    start_with(script, identity("server"), WireSettings::default()).await
}

pub async fn start_with(
    script: HandlerScript,
    identity: PeerIdentity,
    settings: WireSettings,
) -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let own = identity.instance;
    let (event_sender, events) = mpsc::unbounded_channel();
    let (result_sender, results) = mpsc::unbounded_channel();
    let (drain, drained) = watch::channel(false);
    let handler: Rc<dyn PeerHandler<String>> =
        Rc::new(ScriptedHandler::new(script, own, event_sender));
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (handler, drained) = (Rc::clone(&handler), drained.clone());
            let (identity, results) = (identity.clone(), result_sender.clone());
            tokio::task::spawn_local(async move {
                let result = serve_connection(stream, &identity, settings, handler, drained).await;
                let _ = results.send(format!("{result:?}"));
            });
        }
    });
    TestServer {
        address,
        own,
        events,
        results,
        drain,
    }
}

pub async fn connect(server: &TestServer) -> PeerConnection {
    connect_with(server, WireSettings::default()).await
}

pub async fn connect_with(server: &TestServer, settings: WireSettings) -> PeerConnection {
    let client = identity("client");
    PeerConnection::connect(server.address, &client, Some(server.own), settings)
        .await
        .unwrap()
}

/// Connects with a long limit, for servers whose listener is full at first.
pub async fn connect_to(address: SocketAddr, own: InstanceId) -> PeerConnection {
    let settings = WireSettings {
        connect_limit: WAIT_LIMIT,
        ..WireSettings::default()
    };
    PeerConnection::connect(address, &identity("client"), Some(own), settings)
        .await
        .unwrap()
}

pub fn work_head(server: &TestServer, number: u16) -> WorkHead {
    work_head_for(server.own, number)
}

pub fn work_head_for(own: InstanceId, number: u16) -> WorkHead {
    WorkHead {
        attempt: AttemptId {
            request: RequestId(0xabc),
            number,
        },
        upstream: UpstreamId {
            node: own.node,
            slot: 0,
        },
        customer: CustomerName::new("brannock"),
        service: ServiceName::new("orders"),
        method: "POST".to_owned(),
        target: "/bookings?day=3".to_owned(),
        headers: vec![("content-type".to_owned(), b"text/plain".to_vec())],
        time_left: Duration::from_secs(2),
        priority: 3,
        signature: 0x1234,
        guard: None,
        body_length: None,
    }
}
