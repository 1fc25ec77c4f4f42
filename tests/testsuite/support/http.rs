//! A minimal HTTP/1.1 client on plain sockets, which shows a test the exact response without
//! retries or redirects.

use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// Longest wait for more bytes of a reply.
const READ_LIMIT: Duration = Duration::from_secs(20);

/// A request that a test builds and sends.
#[derive(Clone, Debug)]
pub struct TestRequest {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl TestRequest {
    /// Creates a request without headers or body.
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds a bearer token.
    pub fn token(self, token: &str) -> Self {
        self.header("authorization", &format!("Bearer {token}"))
    }

    /// Sets the body.
    pub fn body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    /// Sends the request on a new connection and returns the reply.
    pub fn send(&self, address: &str) -> io::Result<TestReply> {
        send_raw(address, &self.encode())
    }

    fn encode(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\nhost: test\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        let length = self.body.len();
        let _ = write!(
            text,
            "content-length: {length}\r\nconnection: close\r\n\r\n"
        );
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Complete HTTP reply: status, headers and decoded body.
#[derive(Clone, Debug)]
pub struct TestReply {
    /// HTTP status code.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// Body, with chunked encoding removed.
    pub body: Vec<u8>,
}

impl TestReply {
    /// Returns a header's value, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Parses the body as JSON, or returns null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the error code of a refusal, or an empty string.
    pub fn code(&self) -> String {
        self.json()["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the `sycamorelink-run` header: `ran`, `not-run` or `unknown`.
    pub fn run_state(&self) -> &str {
        self.header("sycamorelink-run")
    }
}

/// Sends bytes unmodified and reads the reply until the connection closes.
pub fn send_raw(address: &str, bytes: &[u8]) -> io::Result<TestReply> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_LIMIT))?;
    stream.write_all(bytes)?;
    let mut reply = Vec::new();
    match stream.read_to_end(&mut reply) {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset && !reply.is_empty() => {}
        Err(error) => return Err(error),
    }
    parse_reply(&reply)
}

/// Sends bytes unmodified, closes the sending direction after a while, and reads on. Returns all that
/// arrives until the connection closes.
pub fn send_and_half_close(address: &str, bytes: &[u8], after: Duration) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_LIMIT))?;
    stream.write_all(bytes)?;
    thread::sleep(after);
    stream.shutdown(Shutdown::Write)?;
    let mut answer = Vec::new();
    // A reset or a timeout leaves what arrived before.
    let _ = stream.read_to_end(&mut answer);
    Ok(answer)
}

/// Parses a complete reply.
pub fn parse_reply(bytes: &[u8]) -> io::Result<TestReply> {
    let broken = || io::Error::new(io::ErrorKind::UnexpectedEof, "incomplete reply");
    let split = bytes
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .ok_or_else(broken)?;
    let head = String::from_utf8_lossy(&bytes[..split]).into_owned();
    let mut lines = head.lines();
    let status = lines
        .next()
        .and_then(|line| line.split(' ').nth(1))
        .and_then(|text| text.parse().ok())
        .ok_or_else(broken)?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut reply = TestReply {
        status,
        headers,
        body: bytes[split + 4..].to_vec(),
    };
    if reply.header("transfer-encoding") == "chunked" {
        reply.body = join_chunks(&reply.body).ok_or_else(broken)?;
    } else if let Ok(length) = reply.header("content-length").parse::<usize>()
        && reply.body.len() != length
    {
        return Err(broken());
    }
    Ok(reply)
}

/// Decodes a chunked body. Returns `None` when the last chunk is missing.
fn join_chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = bytes.windows(2).position(|window| window == b"\r\n")?;
        let size =
            usize::from_str_radix(std::str::from_utf8(&bytes[..end]).ok()?.trim(), 16).ok()?;
        bytes = &bytes[end + 2..];
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(bytes.get(..size)?);
        bytes = bytes.get(size + 2..)?;
    }
}
