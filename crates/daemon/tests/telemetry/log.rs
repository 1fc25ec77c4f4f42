//! An in-memory log service on its own threads, without limits or injected faults. It runs until
//! the process ends.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::json;

const BASE64_DIGITS: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
/// Delay of the reply to a read that finds no new records, so that clients do not poll in a tight
/// loop.
const EMPTY_READ_DELAY: Duration = Duration::from_millis(20);

type Records = Arc<Mutex<Vec<(String, Vec<u8>)>>>;

/// Starts the service and returns its address.
pub fn start_log() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let records = Records::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let records = Arc::clone(&records);
            thread::spawn(move || serve(stream, &records));
        }
    });
    address
}

fn serve(mut stream: TcpStream, records: &Records) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut request_line = String::new();
        reader
            .read_line(&mut request_line)
            .ok()
            .filter(|length| *length > 0)?;
        let mut length = 0;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            }
            if line.trim().is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let answer = answer(&request_line, body, records)?.to_string();
        let reply_head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
            answer.len()
        );
        stream.write_all((reply_head + &answer).as_bytes()).ok()?;
    }
}

fn answer(request_line: &str, body: Vec<u8>, records: &Records) -> Option<serde_json::Value> {
    let target = request_line.split(' ').nth(1)?;
    let name = target.strip_prefix("/v1/logs/")?.split('/').next()?;
    if request_line.starts_with("POST") {
        let mut stored = records.lock().ok()?;
        let offset = stored.iter().filter(|(stream, _)| stream == name).count();
        stored.push((name.to_owned(), body));
        return Some(json!({ "offset": offset }));
    }
    let from = target.split_once("from=")?.1.split('&').next()?;
    let from: usize = from.parse().ok()?;
    let stored: Vec<Vec<u8>> = records
        .lock()
        .ok()?
        .iter()
        .filter(|(stream, _)| stream == name)
        .map(|(_, data)| data.clone())
        .collect();
    let page: Vec<_> = stored
        .iter()
        .enumerate()
        .skip(from)
        .map(|(offset, data)| json!({ "offset": offset, "wall_ms": 0, "data": base64(data) }))
        .collect();
    if page.is_empty() {
        thread::sleep(EMPTY_READ_DELAY);
    }
    Some(json!({ "first": 0, "next": stored.len(), "records": page }))
}

fn base64(data: &[u8]) -> String {
    let mut text = String::new();
    for chunk in data.chunks(3) {
        let bytes = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for position in 0..4 {
            let digit = (bits >> (18 - 6 * position)) & 63;
            let padding = position > chunk.len();
            text.push(if padding {
                '='
            } else {
                char::from(BASE64_DIGITS[digit as usize])
            });
        }
    }
    text
}
