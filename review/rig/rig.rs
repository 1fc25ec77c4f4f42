//! Shared parts of the review's scripts: a stand-in for the platform's store, for upstreams and for
//! clients, and the start and stop of daemons as separate processes. Standard library only.
//!
//! Every address is a loopback address. The settings of a daemon are filled in from
//! `deploy/node.json`, with the fields that the users' DEPLOY.md lists.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
/// Longest time of a script.
const LIMIT: Duration = Duration::from_secs(112);

pub const SIGTERM: i32 = 15;
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Writes lines to `record.txt`, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    begin: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            begin: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| {
            a[..8]
                .trim()
                .parse::<f64>()
                .unwrap_or(0.0)
                .total_cmp(&b[..8].trim().parse::<f64>().unwrap_or(0.0))
        });
        lines.push(String::new());
        fs::write(path, lines.join("\n")).expect("the record is written");
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|p| {
            p.split_once('=')
                .filter(|(n, _)| *n == name)
                .map(|(_, v)| v)
        })
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// Reads one message. `Ok(None)` if the connection ended before its first byte.
pub fn read_message(reader: &mut impl BufRead, is_answer: bool) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            let Some(line) = read_line(reader)? else {
                return Ok(Some(message));
            };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok(Some(message));
            }
            message.body.extend(chunk);
            let _ = read_line(reader)?;
            if size == 0 {
                message.whole = true;
                return Ok(Some(message));
            }
        }
    }
    match message
        .header("content-length")
        .and_then(|v| v.parse::<usize>().ok())
    {
        Some(length) => {
            let mut body = Vec::new();
            let read = reader.take(length as u64).read_to_end(&mut body);
            message.whole = read.is_ok() && body.len() == length;
            message.body = body;
        }
        None if is_answer && message.status() != 204 => {
            message.whole = reader.read_to_end(&mut message.body).is_ok();
        }
        None => message.whole = true,
    }
    Ok(Some(message))
}

pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(String, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Serves connections until the process ends; `handler` answers one message and returns whether the
/// connection goes on.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&mut TcpStream, Message) -> bool + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(message)) = read_message(&mut reader, false) {
                    if !message.whole || !handler(&mut out, message) {
                        break;
                    }
                }
                let _ = out.shutdown(Shutdown::Both);
            });
        }
    });
}

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Status of a complete answer.
    pub status: Option<u16>,
    pub signed: bool,
    pub body: String,
    pub retry_after: Option<f64>,
    /// Why there was no complete answer.
    pub error: String,
    pub sent: f64,
    pub ended: f64,
}

/// Sends one request on a connection of its own and reads the answer.
pub fn send(
    record: &Record,
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> Seen {
    let mut seen = Seen {
        status: None,
        signed: false,
        body: String::new(),
        retry_after: None,
        error: String::new(),
        sent: record.now(),
        ended: 0.0,
    };
    let result = (|| -> io::Result<Message> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        let mut text = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() || method == "POST" {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend(body);
        stream.write_all(&bytes)?;
        seen.sent = record.now();
        let mut reader = BufReader::new(stream);
        read_message(&mut reader, true)?.ok_or_else(|| {
            io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "the connection was closed without an answer",
            )
        })
    })();
    seen.ended = record.now();
    match result {
        Ok(message) if message.whole => {
            seen.status = Some(message.status());
            seen.signed = message.header("response-signature").is_some();
            seen.retry_after = message.header("retry-after").and_then(|v| v.parse().ok());
            seen.body = String::from_utf8_lossy(&message.body).into_owned();
        }
        Ok(_) => seen.error = "the answer broke off".to_owned(),
        Err(error) => seen.error = error.to_string(),
    }
    seen
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Topics {
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
}

/// Stand-in for the platform's metadata store: keyed topics, as far as the daemons use them.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().unwrap();
        let state: Arc<(Mutex<Topics>, Condvar)> = Arc::default();
        let shared = Arc::clone(&state);
        serve(listener, move |stream, message| {
            respond(&shared, stream, &message).is_ok()
        });
        Self { address, state }
    }

    /// Writes a configuration, as the operator does.
    pub fn publish(&self, config: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state
            .topics
            .entry("keyed.op".to_owned())
            .or_default()
            .push(("config".to_owned(), config.as_bytes().to_vec()));
        changed.notify_all();
    }
}

fn respond(
    shared: &(Mutex<Topics>, Condvar),
    stream: &mut TcpStream,
    message: &Message,
) -> io::Result<()> {
    thread::sleep(Duration::from_millis(4));
    let json = vec![("Content-Type".to_owned(), "application/json".to_owned())];
    let topic = message.query("topic").unwrap_or("").to_owned();
    let (state, changed) = shared;
    match (message.method(), message.path()) {
        ("GET", "/log-newest") => {
            let state = state.lock().unwrap();
            let Some(records) = state.topics.get(&topic) else {
                drop(state);
                return answer(
                    stream,
                    200,
                    &json,
                    b"{\"items\":[],\"hasMore\":false,\"endOffset\":0}",
                );
            };
            let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
            for (offset, (key, value)) in records.iter().enumerate() {
                if value.is_empty() {
                    newest.remove(key.as_str());
                } else {
                    newest.insert(key, (offset, value));
                }
            }
            let after = message.query("after").unwrap_or("");
            let items: Vec<String> = newest
                .iter()
                .filter(|(key, _)| **key > after)
                .map(|(key, (offset, value))| {
                    format!(
                        "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                        base64(value)
                    )
                })
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"hasMore\":false,\"endOffset\":{}}}",
                items.join(","),
                records.len()
            );
            drop(state);
            answer(stream, 200, &json, body.as_bytes())
        }
        ("POST", "/log-append") => {
            let mut state = state.lock().unwrap();
            let records = state.topics.entry(topic).or_default();
            let first = records.len();
            let mut rest = &message.body[..];
            while rest.len() > 4 {
                let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                let record = &rest[4..4 + length];
                let key = record[0] as usize;
                records.push((
                    String::from_utf8_lossy(&record[1..=key]).into_owned(),
                    record[key + 1..].to_vec(),
                ));
                rest = &rest[4 + length..];
            }
            let body = format!("{{\"offset\":{first},\"endOffset\":{}}}", records.len());
            changed.notify_all();
            drop(state);
            answer(stream, 200, &json, body.as_bytes())
        }
        ("GET", "/log-read") => {
            let number = |name| {
                message
                    .query(name)
                    .and_then(|v| v.parse::<u64>().ok())
                    .unwrap_or(0)
            };
            let from = number("from") as usize;
            let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
            let mut state = state.lock().unwrap();
            loop {
                let end = state.topics.get(&topic).map_or(0, Vec::len);
                let left = until.saturating_duration_since(Instant::now());
                if end > from || left.is_zero() {
                    break;
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
            let records = state.topics.get(&topic).cloned().unwrap_or_default();
            drop(state);
            let mut body = (records.len() as u64).to_be_bytes().to_vec();
            body.extend(0u64.to_be_bytes());
            for (key, value) in records.iter().skip(from) {
                body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                body.push(key.len() as u8);
                body.extend(key.bytes());
                body.extend(value);
            }
            answer(stream, 200, &[], &body)
        }
        _ => answer(stream, 404, &[], b""),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                text.push(DIGITS[(bits >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- upstream

/// One run at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub instance: String,
    pub began: f64,
    pub ended: Option<f64>,
    /// How it ended: `answered`, `caller closed`, `deadline`, `upstream ended`.
    pub end: &'static str,
}

struct UpstreamState {
    id: Mutex<String>,
    alive: AtomicBool,
    busy: AtomicUsize,
    open: Mutex<Vec<TcpStream>>,
    generation: AtomicU64,
}

/// Stand-in for an upstream. The last part of the path, `w1500`, names the work in milliseconds.
#[derive(Clone)]
pub struct Upstream {
    pub address: SocketAddr,
    pub service: String,
    pub slots: usize,
    pub zone: String,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Whether a request whose path ends with `/crash` ends the upstream.
    pub crashes: Arc<AtomicBool>,
    state: Arc<UpstreamState>,
    record: Record,
}

impl Upstream {
    pub fn start(
        listener: TcpListener,
        service: &str,
        zone: &str,
        slots: usize,
        id: &str,
        record: &Record,
    ) -> Self {
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            service: service.to_owned(),
            slots,
            zone: zone.to_owned(),
            runs: Arc::default(),
            crashes: Arc::default(),
            state: Arc::new(UpstreamState {
                id: Mutex::new(id.to_owned()),
                alive: AtomicBool::new(true),
                busy: AtomicUsize::new(0),
                open: Mutex::default(),
                generation: AtomicU64::new(0),
            }),
            record: record.clone(),
        };
        let served = upstream.clone();
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if !served.state.alive.load(Ordering::SeqCst) {
                    // A process that has ended refuses connections.
                    listener = None;
                    thread::sleep(Duration::from_millis(1));
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(served.address).ok();
                }
                let Some(open) = &listener else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = open.set_nonblocking(true);
                let Ok((stream, _)) = open.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                served.state.open.lock().unwrap().extend(stream.try_clone());
                let served = served.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut out) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(message)) = read_message(&mut reader, false) {
                        if !message.whole || !served.handle(&mut out, &message) {
                            break;
                        }
                    }
                    let _ = out.shutdown(Shutdown::Both);
                });
            }
        });
        upstream
    }

    pub fn is_alive(&self) -> bool {
        self.state.alive.load(Ordering::SeqCst)
    }

    pub fn id(&self) -> String {
        self.state.id.lock().unwrap().clone()
    }

    /// Ends the upstream: all its connections close, and it accepts none.
    pub fn end(&self) {
        self.state.alive.store(false, Ordering::SeqCst);
        self.state.generation.fetch_add(1, Ordering::SeqCst);
        for stream in self.state.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts the next incarnation at the same address.
    pub fn begin(&self, id: &str) {
        self.state.busy.store(0, Ordering::SeqCst);
        *self.state.id.lock().unwrap() = id.to_owned();
        self.state.alive.store(true, Ordering::SeqCst);
    }

    fn handle(&self, out: &mut TcpStream, message: &Message) -> bool {
        let id = self.id();
        let generation = self.state.generation.load(Ordering::SeqCst);
        if message.path() == "/healthz" {
            return answer(out, 200, &[("Instance-Id".into(), id)], b"").is_ok();
        }
        if message
            .header("expected-instance")
            .is_some_and(|expected| expected != id)
        {
            return answer(out, 421, &[("Instance-Id".into(), id)], b"").is_ok();
        }
        let Some(request) = message.header("request-id").map(str::to_owned) else {
            return answer(out, 400, &[("Not-Executed".into(), "1".into())], b"").is_ok();
        };
        let echo = ("Request-Id".to_owned(), request.clone());
        if self.state.busy.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.state.busy.fetch_sub(1, Ordering::SeqCst);
            return answer(out, 503, &[echo, ("Not-Executed".into(), "1".into())], b"").is_ok();
        }
        let work = message
            .path()
            .rsplit('/')
            .next()
            .and_then(|p| p.strip_prefix('w')?.parse().ok())
            .unwrap_or(20);
        let deadline: f64 = message
            .header("deadline-ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(60_000.0);
        let place = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                request: request.clone(),
                instance: id.clone(),
                began: self.record.now(),
                ended: None,
                end: "running",
            });
            runs.len() - 1
        };
        if message.path().ends_with("/crash") && self.crashes.load(Ordering::SeqCst) {
            {
                let mut runs = self.runs.lock().unwrap();
                runs[place].ended = Some(self.record.now());
                runs[place].end = "upstream crashed";
            }
            self.state.busy.store(0, Ordering::SeqCst);
            self.end();
            return false;
        }
        let begin = Instant::now();
        let _ = out.set_nonblocking(true);
        let end = loop {
            let took = begin.elapsed();
            if took >= Duration::from_millis(work) {
                break "answered";
            }
            if took.as_secs_f64() * 1000.0 >= deadline {
                break "deadline";
            }
            if self.state.generation.load(Ordering::SeqCst) != generation {
                break "upstream ended";
            }
            match out.peek(&mut [0]) {
                Ok(0) => break "caller closed",
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => break "caller closed",
                _ => {}
            }
            thread::sleep(Duration::from_millis(2));
        };
        let _ = out.set_nonblocking(false);
        if end != "upstream ended" {
            self.state.busy.fetch_sub(1, Ordering::SeqCst);
        }
        {
            let mut runs = self.runs.lock().unwrap();
            runs[place].ended = Some(self.record.now());
            runs[place].end = end;
        }
        let signature = ("Response-Signature".to_owned(), format!("{id}.{request}"));
        match end {
            "answered" => answer(
                out,
                200,
                &[echo, signature],
                format!("{} by {id}", message.target()).as_bytes(),
            )
            .is_ok(),
            "deadline" => answer(out, 504, &[echo, signature], b"").is_ok(),
            _ => false,
        }
    }

    pub fn beat_body(&self, state: &str, seq: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"warmupLeft\":\"0ms\",\"seq\":{seq}}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Sends a heartbeat and returns whether it was acknowledged.
    pub fn beat(&self, admin: SocketAddr, id: &str, state: &str, seq: u64) -> bool {
        let body = self.beat_body(state, seq);
        let headers = [("Host", "admin"), ("Content-Type", "application/json")];
        let path = format!("/instances/{id}/heartbeat");
        let seen = send(
            &self.record,
            admin,
            "POST",
            &path,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        seen.status
            .is_some_and(|status| (200..300).contains(&status))
    }

    pub fn deregister(&self, admin: SocketAddr, id: &str) -> bool {
        let path = format!("/instances/{id}/deregister");
        let seen = send(
            &self.record,
            admin,
            "POST",
            &path,
            &[("Host", "admin")],
            b"",
            Duration::from_secs(1),
        );
        seen.status
            .is_some_and(|status| (200..300).contains(&status))
    }

    /// Sends a heartbeat every 1.5 s, numbered from `seq` on, while `going` is set.
    pub fn keep_beating(
        &self,
        admin: SocketAddr,
        id: &str,
        seq: Arc<AtomicU64>,
        going: Arc<AtomicBool>,
    ) {
        let (upstream, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            let mut said = true;
            while going.load(Ordering::SeqCst) {
                let number = seq.fetch_add(1, Ordering::SeqCst) + 1;
                let taken = upstream.beat(admin, &id, "ready", number);
                if taken != said || number == 1 {
                    upstream.record.say(format!(
                        "{id}: heartbeat {number} (ready) {}",
                        if taken {
                            "acknowledged"
                        } else {
                            "not acknowledged"
                        }
                    ));
                }
                said = taken;
                let wait = if taken {
                    HEARTBEAT
                } else {
                    Duration::from_millis(200)
                };
                let until = Instant::now() + wait;
                while Instant::now() < until && going.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                }
            }
        });
    }
}

// ---------------------------------------------------------------- daemons

/// A daemon beside an upstream, as a separate process.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub ports: Ports,
    pub child: Mutex<Option<Child>>,
    /// Whether the platform counts the node as in: no two misses of `/ready` in a row.
    pub is_in: AtomicBool,
    folder: PathBuf,
    record: Record,
    starts: AtomicU64,
}

#[derive(Clone, Copy)]
pub struct Ports {
    pub ready: u16,
    pub outbound: u16,
    pub inbound: u16,
    pub admin: u16,
    pub app: u16,
    pub first: u16,
    pub last: u16,
}

pub struct Site {
    pub store: SocketAddr,
    pub folder: PathBuf,
    pub repository: PathBuf,
    pub bounds: BTreeMap<&'static str, &'static str>,
}

impl Node {
    pub fn new(
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        ports: Ports,
        folder: &PathBuf,
        record: &Record,
    ) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip,
            ports,
            child: Mutex::new(None),
            is_in: AtomicBool::new(false),
            folder: folder.clone(),
            record: record.clone(),
            starts: AtomicU64::new(0),
        })
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    pub fn outbound(&self) -> SocketAddr {
        self.address(self.ports.outbound)
    }

    pub fn admin(&self) -> SocketAddr {
        self.address(self.ports.admin)
    }

    /// Starts the daemon with the command of the deploy file; the settings lie in the test's folder.
    pub fn start(&self, site: &Site, service: &str, bootstrap: bool) {
        let template =
            fs::read_to_string(site.repository.join("deploy/node.json")).expect("the template");
        let text = |v: &str| format!("\"{v}\"");
        let p = self.ports;
        let mut fields: BTreeMap<String, String> = BTreeMap::new();
        let mut set = |name: &str, value: String| {
            fields.insert(name.to_owned(), value);
        };
        set("nodeName", text(&self.name));
        set("zone", text(&self.zone));
        set("region", text("north-vale"));
        set("bootstrap", bootstrap.to_string());
        set("service", text(service));
        set("ip", text(&self.ip.to_string()));
        set("portRange.0", p.first.to_string());
        set("portRange.1", p.last.to_string());
        set("listenAddrs.outbound", text(&self.outbound().to_string()));
        set("listenAddrs.admin", text(&self.admin().to_string()));
        set(
            "listenAddrs.ready",
            text(&self.address(p.ready).to_string()),
        );
        set(
            "listenAddrs.inbound",
            text(&self.address(p.inbound).to_string()),
        );
        set("platform.address", text(&site.store.to_string()));
        for (name, value) in &site.bounds {
            set(&format!("bounds.{name}"), (*value).to_owned());
        }
        let path = self.folder.join(format!("{}.json", self.name));
        fs::write(&path, render(&template, &fields)).expect("the settings are written");
        let number = self.starts.fetch_add(1, Ordering::SeqCst);
        let log = fs::File::create(self.folder.join(format!("{}-{number}.log", self.name)))
            .expect("a log");
        let mut command = Command::new(site.repository.join("target/release/sycamorelinkd"));
        command
            .arg("--settings")
            .arg(&path)
            .env_clear()
            .stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        // A daemon ends with the script, however that ends. Daemons are started by the main thread.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => *self.child.lock().unwrap() = Some(child),
            Err(error) => {
                eprintln!("cannot start the daemon: {error}");
                std::process::exit(2)
            }
        }
        self.record.say(format!("{}: process started", self.name));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record
            .say(format!("{}: process killed (SIGKILL)", self.name));
    }

    /// Returns whether the process has ended, and with which status.
    pub fn ended(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().ok()??;
        *child = None;
        Some(status.to_string())
    }

    pub fn is_ready(&self) -> bool {
        let seen = send(
            &self.record,
            self.address(self.ports.ready),
            "GET",
            "/ready",
            &[("Host", "ready"), ("Connection", "close")],
            b"",
            Duration::from_millis(900),
        );
        seen.status == Some(200)
    }

    /// Asks `/ready` once a second, as the platform does; two misses in a row take the node out.
    pub fn watch_ready(self: &Arc<Self>) {
        let node = Arc::clone(self);
        thread::spawn(move || {
            let mut misses = 2;
            loop {
                misses = if node.is_ready() { 0 } else { misses + 1 };
                let is_in = misses < 2;
                if node.is_in.swap(is_in, Ordering::SeqCst) != is_in {
                    node.record.say(format!(
                        "{}: {}",
                        node.name,
                        if is_in {
                            "in (/ready is 200)"
                        } else {
                            "out (two misses of /ready)"
                        }
                    ));
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
}

/// Ends what is still running.
pub fn end_all(nodes: &[Arc<Node>]) {
    for node in nodes {
        if let Some(mut child) = node.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Fills in a template of the deploy file: values, `|json`, and sections of fields that are there.
fn render(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let end = start + text[start..].find("}}").expect("a section");
        let name = text[start + 3..end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let last = text.find(&close).expect("the end of a section");
        let inner = if fields.contains_key(&name) {
            text[end + 2..last].to_owned()
        } else {
            String::new()
        };
        text.replace_range(start..last + close.len(), &inner);
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").expect("a placeholder");
        let place = text[start + 2..end].to_owned();
        let (name, json) = place
            .split_once("|json")
            .map_or((place.as_str(), false), |(name, _)| (name, true));
        let value = fields
            .get(name)
            .unwrap_or_else(|| panic!("the template names {name}"));
        let value = if json {
            value.clone()
        } else {
            value.trim_matches('"').to_owned()
        };
        text.replace_range(start..end + 2, &value);
    }
    text
}

/// A folder of our own for settings and logs.
pub fn temporary_folder(name: &str) -> PathBuf {
    let stamp = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos();
    let folder = std::env::temp_dir().join(format!("review-{name}-{}-{stamp}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// Loopback addresses with free ports, the same ports on each.
pub fn free_places(count: u8) -> (Vec<Ipv4Addr>, Ports) {
    let seed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .subsec_nanos()
        ^ (std::process::id() << 8);
    for attempt in 0..200u32 {
        let mixed = seed.wrapping_add(attempt.wrapping_mul(7919));
        let (second, third) = (
            (mixed >> 4) as u8 % 200 + 20,
            (mixed >> 12) as u8 % 200 + 20,
        );
        let base = 12_000 + (mixed >> 3) as u16 % 15_000;
        let ips: Vec<Ipv4Addr> = (1..=count)
            .map(|n| Ipv4Addr::new(127, second, third, n))
            .collect();
        let ports = Ports {
            ready: base,
            outbound: base + 1,
            inbound: base + 2,
            admin: base + 3,
            app: base + 4,
            first: base + 5,
            last: base + 6,
        };
        let free = ips
            .iter()
            .all(|ip| (base..base + 7).all(|port| TcpListener::bind((*ip, port)).is_ok()));
        if free {
            return (ips, ports);
        }
    }
    eprintln!("no free ports");
    std::process::exit(2)
}

/// Ends the script, and its daemons with it, when it takes too long.
pub fn watch() {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the script took too long");
        std::process::exit(2);
    });
}

/// Exit codes of a script.
pub fn finish(record: &Record, nodes: &[Arc<Node>], folder: &PathBuf, broken: Option<bool>) -> ! {
    end_all(nodes);
    let verdict = match broken {
        Some(true) => "the rule was broken",
        Some(false) => "the rule held",
        None => "the case could not run",
    };
    record.say(verdict);
    println!("{verdict}");
    let path = std::env::args()
        .nth(2)
        .unwrap_or_else(|| "record.txt".to_owned());
    record.write(&path);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(folder);
    } else {
        println!("{}", folder.display());
    }
    std::process::exit(match broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    })
}

/// A configuration with one route of kind `unsafe`, below `prefix`.
pub fn config(
    host: &str,
    service: &str,
    prefix: &str,
    timeout_ms: u64,
    target_ms: u64,
    connections: u32,
) -> String {
    let services = format!(
        r#"{{"name":"{service}","healthPath":"/healthz","maxConnections":{connections},"protocol":"h1","tls":false}}"#
    );
    let limits = r#"{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}"#;
    let route = format!(
        r#"{{"name":"route-1","pathPrefix":"{prefix}","kind":"unsafe","timeout":"{timeout_ms}ms","targetLatency":"{target_ms}ms","priority":1,"service":"{service}","maxAttempts":2}}"#
    );
    format!(
        r#"{{"version":"r3","services":[{services}],"limits":{limits},"virtualHosts":[{{"host":"{host}","paths":[{route}]}}]}}"#
    )
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn repository() -> PathBuf {
    std::env::var("REPOSITORY").map_or_else(|_| std::env::current_dir().unwrap(), PathBuf::from)
}

pub fn bounds() -> BTreeMap<&'static str, &'static str> {
    BTreeMap::from([("retryBudgetRatio", "0.2"), ("budgetSlack", "56")])
}

static NEXT: AtomicI64 = AtomicI64::new(1);

/// A new id of a request.
pub fn request_id() -> String {
    format!("r{:06}", NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Waits until a condition holds; false after `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
