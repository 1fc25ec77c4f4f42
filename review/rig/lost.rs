//! LOST: machines get SIGTERM, and sales that they took more than three seconds later are cut off
//! while an upstream is at work on them.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::{
    Node, Record, SIGTERM, Seen, Site, Store, Upstream, bounds, config, finish, free_places,
    repository, request_id, send, temporary_folder, trouble, wait_until,
};

/// `grace` of the site.
const GRACE: f64 = 6.0;
/// `gap_s` of the site's rolls.
const GAP: Duration = Duration::from_secs(1);
/// `lossSlack` of the site.
const LOSS_SLACK: f64 = 0.2;
/// Work of most sales in milliseconds, the site's mean, and of some. Upstreams differ in speed, and one
/// that has just started is slow: runs of the site's sales last as long in review/1/day.toml.
const USUAL_WORK: u64 = 320;
const LONG_WORK: u64 = 2300;
/// `timeout` of the route, in seconds.
const ROUTE_TIMEOUT: f64 = 3.0;

pub fn run() -> ! {
    let record = Record::new();
    let folder = temporary_folder("lost");
    let (ips, ports) = free_places(7);
    let store = Store::start(TcpListener::bind((ips[6], ports.app)).expect("the store's address"));
    store.publish(&config(
        "vukovar.example",
        "prodaja",
        "/sales/",
        3000,
        1500,
        390,
    ));
    let site = Site {
        store: store.address,
        folder: folder.clone(),
        repository: repository(),
        bounds: bounds(),
    };
    let mut nodes = Vec::new();
    let mut upstreams = Vec::new();
    for (index, ip) in ips.iter().take(6).enumerate() {
        let zone = if index < 3 { "hr-east-a" } else { "hr-east-b" };
        let node = Node::new(
            &format!("side-{zone}-{}", index % 3 + 1),
            zone,
            *ip,
            ports,
            &folder,
            &record,
        );
        let listener = TcpListener::bind((*ip, ports.app)).expect("the upstream's address");
        let upstream =
            Upstream::start(listener, "prodaja", zone, 4, &format!("i-{index}"), &record);
        node.start(&site, "prodaja", true);
        node.watch_ready();
        upstream.keep_beating(
            node.admin(),
            &upstream.id(),
            Arc::default(),
            Arc::new(AtomicBool::new(true)),
        );
        nodes.push(node);
        upstreams.push(upstream);
    }
    if !wait_until(Duration::from_secs(20), || {
        nodes.iter().all(|node| node.is_in.load(Ordering::SeqCst))
    }) {
        finish(&record, &nodes, &folder, None);
    }
    thread::sleep(Duration::from_secs(4));

    // Clients of each machine: a sale every 300 ms, and some of them are long.
    let seen: Arc<Mutex<Vec<(usize, u64, String, Seen)>>> = Arc::default();
    let going = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    for index in 0..6 {
        let (nodes, seen, going, record) = (
            nodes.clone(),
            Arc::clone(&seen),
            Arc::clone(&going),
            record.clone(),
        );
        clients.push(thread::spawn(move || {
            let mut sends = Vec::new();
            let mut count = 0;
            while going.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(300));
                // A machine that is out gets no new work, unless fewer than half of its zone's are in.
                let node = Arc::clone(&nodes[index]);
                let zone: Vec<&Arc<Node>> = nodes
                    .iter()
                    .filter(|other| other.zone == node.zone)
                    .collect();
                let ins = zone
                    .iter()
                    .filter(|other| other.is_in.load(Ordering::SeqCst))
                    .count();
                if !node.is_in.load(Ordering::SeqCst) && ins * 2 >= zone.len() {
                    continue;
                }
                count += 1;
                let work = if index < 3 && count % 2 == 0 {
                    LONG_WORK
                } else {
                    USUAL_WORK
                };
                let (seen, record) = (Arc::clone(&seen), record.clone());
                sends.push(thread::spawn(move || {
                    let id = request_id();
                    let headers = [
                        ("Host", "vukovar.example"),
                        ("Request-Id", id.as_str()),
                        ("Deadline-Ms", "3000"),
                    ];
                    let target = format!("/sales/7/w{work}");
                    let answer = send(
                        &record,
                        node.outbound(),
                        "POST",
                        &target,
                        &headers,
                        b"{\"lot\":7}",
                        Duration::from_millis(3000),
                    );
                    seen.lock().unwrap().push((index, work, id, answer));
                }));
            }
            for send in sends {
                let _ = send.join();
            }
        }));
    }
    thread::sleep(Duration::from_millis(4750));
    let terms = Arc::new(Mutex::new(vec![None::<f64>; 6]));
    if trouble() {
        for index in [0, 1] {
            if index > 0 {
                thread::sleep(GAP);
            }
            terms.lock().unwrap()[index] = Some(record.now());
            record.say(format!("{}: SIGTERM", nodes[index].name));
            nodes[index].signal(SIGTERM);
        }
        let begin = Instant::now();
        let mut open = vec![0, 1];
        while !open.is_empty() && begin.elapsed() < Duration::from_secs(9) {
            open.retain(|index| {
                let node = &nodes[*index];
                if let Some(status) = node.ended() {
                    record.say(format!("{}: process ended by itself ({status})", node.name));
                    node.start(&site, "prodaja", false);
                    return false;
                }
                let term = terms.lock().unwrap()[*index].unwrap_or_default();
                if record.now() - term >= GRACE {
                    node.kill();
                    node.start(&site, "prodaja", false);
                    return false;
                }
                true
            });
            thread::sleep(Duration::from_millis(20));
        }
    }
    thread::sleep(Duration::from_secs(8));
    going.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let mut lost = 0;
    let mut answered = 0;
    let mut refused = 0;
    let seen = seen.lock().unwrap();
    for (index, work, id, answer) in seen.iter() {
        let runs: Vec<String> = upstreams
            .iter()
            .flat_map(|upstream| upstream.runs.lock().unwrap().clone())
            .filter(|run| run.request == *id)
            .map(|run| {
                format!(
                    "run at {} from {:.3} to {:.3} ({})",
                    run.instance,
                    run.began,
                    run.ended.unwrap_or(0.0),
                    run.end
                )
            })
            .collect();
        match answer.status {
            Some(200) => answered += 1,
            Some(503) => refused += 1,
            _ => {}
        }
        let term = terms.lock().unwrap()[*index];
        let interesting = answer.status != Some(200) || term.is_some_and(|term| answer.sent > term);
        let took = answer.ended - answer.sent;
        // The rule, with its excuses: passed on, no complete answer or one of the daemon's own, sent
        // later than 3 s after the SIGTERM, ended by 1 s after `grace`, and no timeout or deadline.
        let passed_on = !runs.is_empty();
        let cut =
            answer.status.is_none() || (passed_on && !answer.signed && answer.status != Some(200));
        let planned =
            term.is_some_and(|term| answer.sent > term + 3.0 && answer.ended <= term + GRACE + 1.0);
        let late = took > LOSS_SLACK;
        let is_lost = cut && planned && took < ROUTE_TIMEOUT && passed_on && late;
        lost += usize::from(is_lost);
        if interesting {
            let since = term.map_or(String::new(), |term| {
                format!(", {:.3} s after the SIGTERM", answer.sent - term)
            });
            let outcome = answer.status.map_or_else(
                || format!("no answer ({})", answer.error),
                |status| {
                    format!(
                        "{status} {}",
                        if answer.signed { "signed" } else { "unsigned" }
                    )
                },
            );
            record.say(format!(
                "{id} w{work} sent to {} at {:.3}{since}: {outcome} after {took:.3} s; {}{}",
                nodes[*index].name,
                answer.sent,
                if passed_on {
                    runs.join(", ")
                } else {
                    "not passed on".to_owned()
                },
                if is_lost { "  <-- LOST" } else { "" }
            ));
        }
    }
    record.say(format!(
        "{} sales sent, {answered} answered with 200, {refused} refused with 503, {lost} lost",
        seen.len()
    ));
    println!(
        "{} sales sent, {answered} answered, {refused} refused, {lost} lost",
        seen.len()
    );
    if answered < seen.len() / 2 {
        finish(&record, &nodes, &folder, None);
    }
    finish(&record, &nodes, &folder, Some(lost > 0))
}
