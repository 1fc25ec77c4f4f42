//! Simulated callers that send sequential requests over keep-alive connections and reconnect when
//! the daemon process ends.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::nodes::SoakNode;
use crate::record::{BodyDigest, CallKind, ObservedCall, ObservedReply, SessionRecord};
use crate::support::client::{ReceivedResponse, try_exchange};

/// Response timeout of a patient caller, longer than the route's deadline and any daemon pause.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Deadline that a caller sends in `Deadline-Ms`, in milliseconds.
const DEADLINE_MS: u64 = 4000;
/// Response timeout of the requests that are abandoned early.
const SHORT_TIMEOUT: Duration = Duration::from_millis(60);
/// Every n-th request of a caller uses `SHORT_TIMEOUT`.
const SHORT_TIMEOUT_EVERY: u64 = 17;
/// Lengths of the bodies that a caller sends in turn, in bytes; some are beyond the replay limit.
const BODY_LENGTHS: [usize; 8] = [0, 40, 0, 3_000, 40, 100_000, 0, 9_000];
/// Largest chunk of a chunked body, in bytes.
const CHUNK_BYTES: usize = 4_000;
/// Every n-th request of a caller is followed by the end of its sending direction.
const HALF_CLOSE_EVERY: u64 = 23;
/// Every n-th request of a caller has a chunked body that ends before its last chunk.
const CUT_OFF_EVERY: u64 = 29;
/// Pause between consecutive requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Sends one request on a new connection. Returns an error unless the complete response arrives.
pub fn send_once(
    address: SocketAddr,
    request: &str,
    limit: Duration,
) -> io::Result<ReceivedResponse> {
    let (response, end) = try_exchange(address, request, limit)?;
    end.map(|_| response)
}

/// How a caller sends a request.
#[derive(Clone, Copy, Debug)]
struct SendingMode {
    is_chunked: bool,
    /// Whether the end of a chunked body is missing.
    is_cut_off: bool,
    /// Whether the caller closes its sending direction after the request.
    half_closes: bool,
}

impl SendingMode {
    fn of_request(number: u64) -> Self {
        let is_cut_off = number.is_multiple_of(CUT_OFF_EVERY);
        Self {
            is_chunked: is_cut_off || number % 5 < 2,
            is_cut_off,
            half_closes: number.is_multiple_of(HALF_CLOSE_EVERY),
        }
    }

    fn is_half_closed(self) -> bool {
        self.is_cut_off || self.half_closes
    }
}

/// Returns a body that no other request has and that repeats no part.
fn sample_body(id: &str, length: usize) -> Vec<u8> {
    let parts = (0_u32..).flat_map(|number| format!("{id} {number} ").into_bytes());
    parts.take(length).collect()
}

/// Keep-alive connection from one caller to one daemon process.
struct KeepaliveConnection {
    reader: BufReader<TcpStream>,
    daemon: (usize, u32),
}

impl KeepaliveConnection {
    fn open(address: SocketAddr, daemon: (usize, u32)) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream);
        Ok(Self { reader, daemon })
    }

    /// Sends a request and returns its response and whether the connection can be reused.
    fn exchange(
        &mut self,
        method: &str,
        target: &str,
        id: &str,
        (body, sending): (&[u8], SendingMode),
        limit: Duration,
    ) -> io::Result<(ObservedReply, bool)> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        let framing = if sending.is_chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {}", body.len())
        };
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        if sending.is_chunked {
            for chunk in body.chunks(CHUNK_BYTES) {
                let length = format!("{:x}\r\n", chunk.len());
                stream.write_all(&[length.as_bytes(), chunk, b"\r\n"].concat())?;
            }
            let end: &[u8] = if sending.is_cut_off {
                b""
            } else {
                b"0\r\n\r\n"
            };
            stream.write_all(end)?;
        } else {
            stream.write_all(body)?;
        }
        if sending.is_half_closed() {
            stream.shutdown(Shutdown::Write)?;
        }
        let (reply, reusable) = self.read_reply()?;
        Ok((reply, reusable && !sending.is_half_closed()))
    }

    fn read_reply(&mut self) -> io::Result<(ObservedReply, bool)> {
        let first = self.line()?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let mut reply = ObservedReply {
            status: status.ok_or(io::ErrorKind::InvalidData)?,
            signed: false,
            id: String::new(),
            body: String::new(),
            leaving: false,
        };
        let (mut length, mut chunked, mut reusable) = (None, false, true);
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
                "connection" => reusable = !value.contains("close"),
                "response-signature" => reply.signed = true,
                "server-leaving" => reply.leaving = value == "1",
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
                reusable = false;
                self.reader.read_to_end(&mut body)?;
            }
        }
        reply.body = String::from_utf8_lossy(&body).into_owned();
        Ok((reply, reusable))
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

/// Sends requests to one instance until `stop` is set.
///
/// Every third request asks for a route of a published configuration version. Some requests use a
/// short timeout, and their connection is closed when the timeout expires.
pub fn run_caller(
    name: &str,
    node: &SoakNode,
    newest_version: &AtomicU64,
    record: &SessionRecord,
    stop: &AtomicBool,
) {
    let mut connection: Option<KeepaliveConnection> = None;
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(REQUEST_INTERVAL);
        if connection.is_none() {
            connection = node
                .caller_address()
                .and_then(|(address, daemon)| KeepaliveConnection::open(address, daemon).ok());
        }
        let Some(mut open) = connection.take() else {
            continue;
        };
        number += 1;
        let id: Arc<str> = Arc::from(format!("{name}-{number}"));
        let (kind, method, target) = match number % 3 {
            0 => {
                let version = 1 + number / 3 % newest_version.load(Ordering::Relaxed);
                (CallKind::Probe(version), "GET", format!("/v{version}/{id}"))
            }
            1 => (CallKind::Read, "GET", format!("/stock/{id}")),
            _ => (CallKind::Booking, "POST", format!("/booking/{id}")),
        };
        let limit = if number.is_multiple_of(SHORT_TIMEOUT_EVERY) {
            SHORT_TIMEOUT
        } else {
            RESPONSE_TIMEOUT
        };
        let sending = SendingMode::of_request(number);
        let turn = usize::try_from(number).unwrap_or(0) % BODY_LENGTHS.len();
        let body = sample_body(&id, BODY_LENGTHS[turn]);
        let sent = Instant::now();
        let response = open.exchange(method, &target, &id, (&body, sending), limit);
        let timed_out =
            matches!(&response, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        let daemon = open.daemon;
        let response = response.ok().map(|(reply, reusable)| {
            connection = reusable.then_some(open);
            reply
        });
        record.add_call(ObservedCall {
            id,
            kind,
            target: Arc::from(target),
            daemon,
            sent,
            ended: Instant::now(),
            response,
            timed_out,
            half_closed: sending.is_half_closed(),
            body: BodyDigest::of(&body),
        });
    }
}
