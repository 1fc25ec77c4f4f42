//! BUDGET: a request crashes each upstream that begins to run it, and its client sends it again. With a
//! body of more than 64 KiB it is never stopped.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::rig::{
    Node, Record, Seen, Site, Store, Upstream, bounds, config, finish, free_places, repository,
    request_id, send, temporary_folder, trouble, wait_until,
};

/// `stability` of the site.
const STABILITY: f64 = 3.0;
/// Retries that the rule allows after the third crash.
const ALLOWED: usize = 3;
/// Time for which a crashed upstream is down: some seconds.
const DOWN: Duration = Duration::from_secs(3);
/// Pause before the client sends the request again.
const AGAIN: Duration = Duration::from_millis(2500);
const SENDS: usize = 14;

pub fn run() -> ! {
    let size: usize = std::env::var("BODY")
        .ok()
        .and_then(|size| size.parse().ok())
        .unwrap_or(100_000);
    let record = Record::new();
    let folder = temporary_folder("crash");
    let (ips, ports) = free_places(7);
    let store = Store::start(TcpListener::bind((ips[6], ports.app)).expect("the store's address"));
    store.publish(&config(
        "brannock.example",
        "orderdesk",
        "/bookings/",
        1500,
        1000,
        330,
    ));
    let site = Site {
        store: store.address,
        folder: folder.clone(),
        repository: repository(),
        bounds: bounds(),
    };
    let zones = [
        "hall-a",
        "hall-a",
        "hall-b",
        "hall-b",
        "depot-east",
        "depot-east",
    ];
    let mut nodes = Vec::new();
    let mut upstreams: Vec<Upstream> = Vec::new();
    for (index, ip) in ips.iter().take(6).enumerate() {
        let node = Node::new(
            &format!("side-{}-{}", zones[index], index % 2 + 1),
            zones[index],
            *ip,
            ports,
            &folder,
            &record,
        );
        let listener = TcpListener::bind((*ip, ports.app)).expect("the upstream's address");
        let upstream = Upstream::start(
            listener,
            "orderdesk",
            zones[index],
            5,
            &format!("i-{index}-0"),
            &record,
        );
        upstream.crashes.store(trouble(), Ordering::SeqCst);
        node.start(&site, "orderdesk", true);
        node.watch_ready();
        // Each start of the upstream has a new id and beats until the upstream ends.
        let (beating, admin, kept) = (upstream.clone(), node.admin(), record.clone());
        thread::spawn(move || {
            for life in 0.. {
                let going = Arc::new(AtomicBool::new(true));
                beating.keep_beating(
                    admin,
                    &beating.id(),
                    Arc::new(AtomicU64::new(0)),
                    Arc::clone(&going),
                );
                while beating.is_alive() {
                    thread::sleep(Duration::from_millis(5));
                }
                going.store(false, Ordering::SeqCst);
                kept.say(format!("{}: crashed", beating.id()));
                thread::sleep(DOWN);
                beating.begin(&format!("i-{index}-{}", life + 1));
                kept.say(format!("{}: started", beating.id()));
            }
        });
        nodes.push(node);
        upstreams.push(upstream);
    }
    if !wait_until(Duration::from_secs(20), || {
        nodes.iter().all(|node| node.is_in.load(Ordering::SeqCst))
    }) {
        finish(&record, &nodes, &folder, None);
    }
    thread::sleep(Duration::from_secs(4));

    // Other clients make bookings meanwhile.
    let seen: Arc<Mutex<Vec<(String, Seen)>>> = Arc::default();
    let going = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    for index in 0..6 {
        let node: Arc<Node> = Arc::clone(&nodes[index]);
        let (seen, going, record) = (Arc::clone(&seen), Arc::clone(&going), record.clone());
        clients.push(thread::spawn(move || {
            while going.load(Ordering::SeqCst) {
                let id = request_id();
                let headers = [
                    ("Host", "brannock.example"),
                    ("Request-Id", id.as_str()),
                    ("Deadline-Ms", "2500"),
                ];
                let answer = send(
                    &record,
                    node.outbound(),
                    "POST",
                    "/bookings/7/w380",
                    &headers,
                    b"{\"bags\":40}",
                    Duration::from_millis(2500),
                );
                seen.lock().unwrap().push((id, answer));
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let body = vec![b'x'; size];
    let mut bad: Vec<(String, f64)> = Vec::new();
    for count in 0..SENDS {
        let id = request_id();
        let node = &nodes[count % nodes.len()];
        let headers = [
            ("Host", "brannock.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "2000"),
        ];
        let answer = send(
            &record,
            node.outbound(),
            "POST",
            "/bookings/9/crash",
            &headers,
            &body,
            Duration::from_millis(2000),
        );
        record.say(format!(
            "{id}: send {} of the request with a body of {size} bytes, to {}: {}",
            count + 1,
            node.name,
            answer
                .status
                .map_or(answer.error.clone(), |status| status.to_string())
        ));
        bad.push((id, answer.sent));
        thread::sleep(AGAIN);
    }
    going.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let mut crashes: Vec<(f64, String, String)> = Vec::new();
    let mut reached = 0;
    let mut lost = 0;
    for upstream in &upstreams {
        for run in upstream.runs.lock().unwrap().iter() {
            if bad.iter().any(|(id, _)| *id == run.request) {
                reached += 1;
                if run.end == "upstream crashed" {
                    crashes.push((run.began, run.request.clone(), run.instance.clone()));
                }
            }
            lost += usize::from(run.end == "upstream ended");
        }
    }
    crashes.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, request, instance) in &crashes {
        record.say(format!(
            "{request} reached {instance} at {at:.3} and crashed it"
        ));
    }
    let third = crashes.get(2).map(|(at, ..)| *at);
    let retries = third.map_or(0, |third| {
        let mut later: Vec<&str> = crashes
            .iter()
            .filter(|(_, id, _)| {
                bad.iter()
                    .any(|(other, sent)| other == id && *sent > third + STABILITY)
            })
            .map(|(_, id, _)| id.as_str())
            .collect();
        later.dedup();
        later.len()
    });
    let seen = seen.lock().unwrap();
    let served = seen
        .iter()
        .filter(|(_, answer)| answer.status == Some(200))
        .count();
    let text = format!(
        "{SENDS} sends, {reached} reached an upstream, {} crashes; {retries} sends later than \
         {STABILITY} s after the third crash reached one (allowed: {ALLOWED}); {lost} bookings of \
         others were cut off in crashes, {served} of {} served",
        crashes.len(),
        seen.len()
    );
    record.say(&text);
    println!("{text}");
    if served < seen.len() / 3 || (!trouble() && reached < SENDS) {
        finish(&record, &nodes, &folder, None);
    }
    finish(&record, &nodes, &folder, Some(retries > ALLOWED))
}
