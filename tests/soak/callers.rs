//! Callers: kept connections, one request after another, used until the process behind is gone.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::nodes::SoakNode;
use crate::record::{CallKind, SeenCall, SeenReply, SoakLedger};
use crate::support::client::{SeenAnswer, talk};

/// How long a caller waits: beyond the route's time and any pause of a daemon.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// What the caller tells as its own deadline, in milliseconds.
const DEADLINE_MS: u64 = 4000;
/// How long it waits when it is one of those that give up, and which of its requests are.
const SHORT_LIMIT: Duration = Duration::from_millis(60);
const GIVES_UP_EVERY: u64 = 17;
/// Pause between two requests of one caller.
const PACE: Duration = Duration::from_millis(25);

/// One request on a connection of its own, to a daemon that may be gone; only a whole answer counts.
pub fn ask_once(address: SocketAddr, request: &str, limit: Duration) -> io::Result<SeenAnswer> {
    let (answer, end) = talk(address, request, limit)?;
    end.map(|_| answer)
}

/// One caller's connection to one process.
struct KeptConnection {
    reader: BufReader<TcpStream>,
    taker: (usize, u32),
}

impl KeptConnection {
    fn open(address: SocketAddr, taker: (usize, u32)) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream);
        Ok(Self { reader, taker })
    }

    /// Sends a request and reads its answer; whether the connection may be used again.
    fn exchange(
        &mut self,
        method: &str,
        target: &str,
        id: &str,
        limit: Duration,
    ) -> io::Result<(SeenReply, bool)> {
        self.reader.get_ref().set_read_timeout(Some(limit))?;
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
        );
        self.reader.get_mut().write_all(request.as_bytes())?;
        self.read_reply()
    }

    fn read_reply(&mut self) -> io::Result<(SeenReply, bool)> {
        let first = self.line()?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let mut reply = SeenReply {
            status: status.ok_or(io::ErrorKind::InvalidData)?,
            signed: false,
            id: String::new(),
            body: String::new(),
        };
        let (mut length, mut chunked, mut kept) = (None, false, true);
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            let value = value.trim();
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.parse().ok(),
                "transfer-encoding" => chunked = value.contains("chunked"),
                "connection" => kept = !value.contains("close"),
                "response-signature" => reply.signed = true,
                "request-id" => value.clone_into(&mut reply.id),
                _ => {}
            }
        }
        let mut body = Vec::new();
        match length {
            _ if chunked => self.read_chunks(&mut body)?,
            Some(length) => {
                body.resize(length, 0);
                self.reader.read_exact(&mut body)?;
            }
            None => {
                kept = false;
                self.reader.read_to_end(&mut body)?;
            }
        }
        reply.body = String::from_utf8_lossy(&body).into_owned();
        Ok((reply, kept))
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(&line, 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            self.reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

/// Sends requests to one instance until told to stop. Every third asks for a route of some version up
/// to the newest that was published; some are given up, and their connection is closed.
pub fn call_until(
    name: &str,
    node: &SoakNode,
    newest: &AtomicU64,
    ledger: &SoakLedger,
    stop: &AtomicBool,
) {
    let mut connection: Option<KeptConnection> = None;
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(PACE);
        if connection.is_none() {
            connection = node
                .callers()
                .and_then(|(address, taker)| KeptConnection::open(address, taker).ok());
        }
        let Some(mut open) = connection.take() else {
            continue;
        };
        number += 1;
        let id: Arc<str> = Arc::from(format!("{name}-{number}"));
        let (kind, method, target) = match number % 3 {
            0 => {
                let version = 1 + number / 3 % newest.load(Ordering::Relaxed);
                (CallKind::Probe(version), "GET", format!("/v{version}/{id}"))
            }
            1 => (CallKind::LookUp, "GET", format!("/stock/{id}")),
            _ => (CallKind::Booking, "POST", format!("/booking/{id}")),
        };
        let limit = if number.is_multiple_of(GIVES_UP_EVERY) {
            SHORT_LIMIT
        } else {
            ANSWER_LIMIT
        };
        let sent = Instant::now();
        let answer = open.exchange(method, &target, &id, limit);
        let gave_up = matches!(&answer, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        let taker = open.taker;
        let answer = answer.ok().map(|(reply, kept)| {
            connection = kept.then_some(open);
            reply
        });
        ledger.called(SeenCall {
            id,
            kind,
            target: Arc::from(target),
            taker,
            sent,
            ended: Instant::now(),
            answer,
            gave_up,
        });
    }
}
