//! DRAIN: an upstream leaves and is acknowledged, all daemons are killed at the same moment and come
//! back, and a heartbeat from before the leaving arrives late. The daemon sends requests again to the
//! upstream whose leaving it acknowledged.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::rig::{
    Node, Record, Seen, Site, Store, Upstream, bounds, config, finish, free_places, repository,
    request_id, send, temporary_folder, trouble, wait_until,
};

/// `drain` and `stability` of the site.
const DRAIN: f64 = 2.0;
const STABILITY: f64 = 3.0;
/// Time from the deregistration to the end of the upstream.
const STAY: Duration = Duration::from_millis(6000);
/// How late the heartbeat arrives.
const DELAY: Duration = Duration::from_millis(3000);

pub fn run() -> ! {
    let record = Record::new();
    let folder = temporary_folder("leaving");
    let (ips, ports) = free_places(5);
    let store = Store::start(TcpListener::bind((ips[4], ports.app)).expect("the store's address"));
    store.publish(&config(
        "brannock.example",
        "orderdesk",
        "/bookings/",
        1500,
        1000,
        330,
    ));
    let site = Arc::new(Site {
        store: store.address,
        folder: folder.clone(),
        repository: repository(),
        bounds: bounds(),
    });
    let zones = ["hall-a", "hall-b", "depot-east", "depot-west"];
    let mut nodes = Vec::new();
    let mut upstreams: Vec<Upstream> = Vec::new();
    let mut beating = Vec::new();
    for (index, ip) in ips.iter().take(4).enumerate() {
        let node = Node::new(
            &format!("side-{}", zones[index]),
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
            &format!("i-{index}"),
            &record,
        );
        node.start(&site, "orderdesk", true);
        node.watch_ready();
        let going = Arc::new(AtomicBool::new(true));
        upstream.keep_beating(
            node.admin(),
            &upstream.id(),
            Arc::default(),
            Arc::clone(&going),
        );
        beating.push(going);
        nodes.push(node);
        upstreams.push(upstream);
    }
    if !wait_until(Duration::from_secs(20), || {
        nodes.iter().all(|node| node.is_in.load(Ordering::SeqCst))
    }) {
        finish(&record, &nodes, &folder, None);
    }
    thread::sleep(Duration::from_secs(4));

    let seen: Arc<Mutex<Vec<(usize, String, Seen)>>> = Arc::default();
    let going = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    // The machine of the leaving upstream has no client of its own, as it is about to be removed.
    for index in 1..4 {
        let node: Arc<Node> = Arc::clone(&nodes[index]);
        let (seen, going, record) = (Arc::clone(&seen), Arc::clone(&going), record.clone());
        clients.push(thread::spawn(move || {
            let mut sends = Vec::new();
            while going.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(90));
                let (node, seen, record) = (Arc::clone(&node), Arc::clone(&seen), record.clone());
                sends.push(thread::spawn(move || {
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
                    seen.lock().unwrap().push((index, id, answer));
                }));
            }
            for send in sends {
                let _ = send.join();
            }
        }));
    }
    thread::sleep(Duration::from_secs(4));

    // i-0 sends heartbeat 1000, which is delayed on its way, and leaves.
    let leaving = &upstreams[0];
    let admin = nodes[0].admin();
    beating[0].store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(50));
    if trouble() {
        record.say("i-0: heartbeat 1000 (ready) is on the way and delayed");
        let late = (leaving.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(DELAY);
            let taken = late.0.beat(admin, "i-0", "ready", 1000);
            late.1.say(format!(
                "i-0: heartbeat 1000 (ready) arrives {} ms late{}",
                DELAY.as_millis(),
                if taken { ", 200" } else { ", not acknowledged" }
            ));
        });
    }
    thread::sleep(Duration::from_millis(100));
    if !leaving.deregister(admin, "i-0") {
        finish(&record, &nodes, &folder, None);
    }
    let acknowledged = record.now();
    record.say("i-0: deregistration acknowledged by side-hall-a");
    thread::sleep(Duration::from_millis(300));
    let mut back = 0.0;
    if trouble() {
        for node in &nodes {
            node.kill();
        }
        thread::sleep(Duration::from_millis(500));
        for node in &nodes {
            node.start(&site, "orderdesk", false);
        }
        back = record.now();
    }
    let left = STAY.as_secs_f64() - (record.now() - acknowledged);
    thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    leaving.end();
    let ended = record.now();
    record.say("i-0: exits");
    thread::sleep(Duration::from_secs(2));
    going.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    // The rule: later than `drain` after the acknowledgement, taken from the client and sent on by
    // machines in touch, so later than `stability` after their start.
    let from = (acknowledged + DRAIN).max(back + STABILITY);
    let runs = leaving.runs.lock().unwrap().clone();
    let seen = seen.lock().unwrap();
    let mut late = 0;
    let mut unanswered = 0;
    for run in runs.iter().filter(|run| run.began > acknowledged + DRAIN) {
        let Some((index, _, answer)) = seen.iter().find(|(_, id, _)| *id == run.request) else {
            continue;
        };
        let counts = run.began > from && answer.sent > from;
        late += usize::from(counts);
        unanswered += usize::from(counts && answer.status != Some(200));
        let outcome = match answer.status {
            Some(status) => status.to_string(),
            None => answer.error.clone(),
        };
        let after = run.began - acknowledged;
        let since_start = run.began - back;
        let ended = run.ended.unwrap_or(0.0);
        record.say(format!(
            "{} sent to {} at {:.3}, reaches i-0 at {:.3}, {after:.3} s after the acknowledgement \
             and {since_start:.3} s after the daemons' start; {} at {ended:.3}; the client gets \
             {outcome}{}",
            run.request,
            nodes[*index].name,
            answer.sent,
            run.began,
            run.end,
            if counts { "  <-- DRAIN" } else { "" }
        ));
    }
    record.say(format!(
        "{late} requests reach i-0 from machines in touch later than {DRAIN} s after the \
         acknowledgement; {unanswered} of them get no 200 (i-0 ends at {ended:.3})"
    ));
    println!("{late} requests reach the upstream that had left, {unanswered} of them unanswered");
    if seen
        .iter()
        .filter(|(_, _, answer)| answer.status == Some(200))
        .count()
        < seen.len() / 3
    {
        finish(&record, &nodes, &folder, None);
    }
    finish(&record, &nodes, &folder, Some(late > 0))
}
