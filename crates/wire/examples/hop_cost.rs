//! Measures a hop between two nodes over loopback: latency and throughput of empty requests, sent
//! sequentially and concurrently, and the memory of idle connections.
//!
//! ```text
//! cargo run --release -p sycamorelink-wire --example hop_cost
//! ```

use std::rc::Rc;
use std::time::{Duration, Instant};

use sycamorelink_core::{
    AttemptId, CustomerName, InstanceId, NodeId, NodeIncarnation, RequestId, ServiceName,
    UpstreamId,
};
use sycamorelink_wire::{
    FleetKeys, HandlerFuture, LoadReport, PeerConnection, PeerHandler, PeerIdentity, ReplyHead,
    WireSettings, WorkExchange, WorkHead, serve_connection,
};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};

const ROUND_TRIPS: u64 = 20_000;
const WARM_UP_ROUND_TRIPS: u64 = 2_000;

/// Number of concurrent requests in the second part.
const CONCURRENCY: u64 = 16;

/// Number of idle connections whose memory is measured.
const IDLE_CONNECTIONS: usize = 1_000;

struct EmptyHandler(InstanceId);

impl PeerHandler<String> for EmptyHandler {
    fn work(&self, mut exchange: WorkExchange) -> HandlerFuture {
        let head = ReplyHead {
            attempt: exchange.head.attempt,
            instance: self.0,
            status: 200,
            headers: vec![("content-type".to_owned(), b"application/json".to_vec())],
            body_length: Some(0),
            load: LoadReport::default(),
            queue_time: Duration::ZERO,
        };
        Box::pin(async move {
            while let Ok(Some(_)) = exchange.body.chunk().await {}
            let _ = exchange.reply.whole(&head, b"", Duration::ZERO).await;
        })
    }

    fn message(&self, _from: InstanceId, _message: String) {}
}

fn identity(name: &str) -> PeerIdentity {
    let instance = InstanceId {
        node: NodeId::of(name),
        incarnation: NodeIncarnation(1),
    };
    let keys = FleetKeys::only("a fleet key of the measurement, long enough");
    PeerIdentity::new(instance, keys)
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Starts a server on a thread of its own, as in another process, and returns its address.
fn start_server() -> std::net::SocketAddr {
    let (address_sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        runtime().block_on(LocalSet::new().run_until(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            address_sender
                .send(listener.local_addr().expect("an address"))
                .expect("a receiver");
            let own = identity("server");
            let (_drain, drained) = watch::channel(false);
            let handler: Rc<dyn PeerHandler<String>> = Rc::new(EmptyHandler(own.instance));
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let (own, handler, drained) = (own.clone(), Rc::clone(&handler), drained.clone());
                tokio::task::spawn_local(async move {
                    let settings = WireSettings::default();
                    let _ = serve_connection(stream, &own, settings, handler, drained).await;
                });
            }
        }));
    });
    address.recv().expect("an address")
}

fn head(number: u64) -> WorkHead {
    WorkHead {
        attempt: AttemptId {
            request: RequestId(u128::from(number)),
            number: 0,
        },
        upstream: UpstreamId {
            node: NodeId::of("server"),
            slot: 0,
        },
        customer: CustomerName::new("brannock"),
        service: ServiceName::new("orders"),
        method: "GET".to_owned(),
        target: "/stock?article=pellets-15kg".to_owned(),
        headers: vec![
            ("accept".to_owned(), b"application/json".to_vec()),
            ("x-request-id".to_owned(), b"0123456789abcdef".to_vec()),
        ],
        time_left: Duration::from_secs(1),
        priority: 1,
        signature: 7,
        guard: None,
        body_length: Some(0),
    }
}

async fn round_trip(connection: &PeerConnection, number: u64) -> Duration {
    let started = Instant::now();
    let (body, mut reply) = connection.work(&head(number)).await.expect("a stream");
    body.finish_with(b"").await.expect("a body");
    reply.opening().await.expect("a reply");
    while reply.chunk().await.expect("a whole reply").is_some() {}
    started.elapsed()
}

async fn measure(connection: &PeerConnection, concurrency: u64) {
    let started = Instant::now();
    let mut workers = JoinSet::new();
    for worker in 0..concurrency {
        let connection = connection.clone();
        workers.spawn_local(async move {
            let mut times = Vec::new();
            for number in (worker..ROUND_TRIPS).step_by(usize::try_from(concurrency).unwrap_or(1)) {
                times.push(round_trip(&connection, number).await);
            }
            times
        });
    }
    let mut times: Vec<Duration> = workers.join_all().await.concat();
    let elapsed = started.elapsed();
    times.sort_unstable();
    let percentile = |permille: usize| times[(times.len() - 1) * permille / 1000].as_micros();
    println!(
        "{concurrency:>3} at once: median {} us, p99 {} us, p99.9 {} us, {:.0} round trips/s",
        percentile(500),
        percentile(990),
        percentile(999),
        Duration::from_secs(ROUND_TRIPS).as_secs_f64() / elapsed.as_secs_f64(),
    );
}

/// Returns the resident memory of this process in KiB, read from `/proc` on Linux.
fn resident_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Opens connections, sends one request on each, and prints their memory at both ends together.
async fn measure_idle(address: std::net::SocketAddr) {
    let client = identity("client");
    let before = resident_kib();
    let mut open = Vec::new();
    for number in 0..IDLE_CONNECTIONS {
        let settings = WireSettings::default();
        let connection = PeerConnection::connect(address, &client, None, settings)
            .await
            .expect("a connection");
        round_trip(&connection, number as u64).await;
        open.push(connection);
    }
    let used = resident_kib().saturating_sub(before);
    println!(
        "{} idle connections: {used} KiB at both ends together",
        open.len()
    );
}

fn main() {
    let address = start_server();
    runtime().block_on(LocalSet::new().run_until(async move {
        let started = Instant::now();
        let client = identity("client");
        let settings = WireSettings::default();
        let connection = PeerConnection::connect(address, &client, None, settings)
            .await
            .expect("a connection");
        println!(
            "connect and handshake: {} us",
            started.elapsed().as_micros()
        );
        for number in 0..WARM_UP_ROUND_TRIPS {
            round_trip(&connection, number).await;
        }
        measure(&connection, 1).await;
        measure(&connection, CONCURRENCY).await;
        measure_idle(address).await;
    }));
}
