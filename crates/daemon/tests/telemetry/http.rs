//! A minimal HTTP client that opens one connection per call.

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Maximum wait for each read of a reply.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Status and JSON body of a reply; the body is null when it is not JSON.
pub struct HttpReply {
    pub status: u16,
    pub body: Value,
}

/// Sends a request and reads its reply. `head` is the method and path; each header is one line.
pub fn call(address: SocketAddr, head: &str, headers: &[&str], body: &str) -> HttpReply {
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a limit is set");
    let mut text = format!("{head} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n");
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    write!(text, "content-length: {}\r\n\r\n{body}", body.len()).expect("text is written");
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    let mut reply = String::new();
    stream
        .read_to_string(&mut reply)
        .expect("the reply can be read");
    let (reply_head, body) = reply.split_once("\r\n\r\n").expect("a reply has a head");
    HttpReply {
        status: reply_head[9..12].parse().expect("a reply has a status"),
        body: serde_json::from_str(body).unwrap_or_default(),
    }
}
