//! A loopback TCP proxy that injects faults into its connections on demand.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::plan::LinkFault;

/// Interval at which a relay thread checks the current fault.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of each read under `LinkFault::Delayed`.
const DELAY: Duration = Duration::from_millis(150);
/// Size of a relay buffer in bytes.
const BUFFER_SIZE: usize = 16 * 1024;

/// A proxy on one network link.
#[derive(Clone, Debug)]
pub struct LoopbackProxy {
    pub address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
}

#[derive(Clone, Copy)]
enum Direction {
    ToServer,
    ToClient,
}

impl LoopbackProxy {
    /// Listens on a free port of an address. The closure maps the proxy's port to the target
    /// address and is called for each connection.
    pub fn start<F>(ip: Ipv4Addr, target_address: F) -> Self
    where
        F: Fn(u16) -> SocketAddr + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let fault: Arc<Mutex<LinkFault>> = Arc::default();
        let shared = Arc::clone(&fault);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // When the target is not listening, closing the stream gives the client the same
                // result as a direct connection.
                if let Ok(outbound) = TcpStream::connect(target_address(address.port())) {
                    spawn_relays(&stream, &outbound, &shared);
                }
            }
        });
        Self { address, fault }
    }

    /// Applies a fault to all current and future connections.
    pub fn inject_fault(&self, fault: LinkFault) {
        *self.fault.lock().expect("the fault") = fault;
    }
}

/// A connection through the proxy.
///
/// When one direction is reset, both end with a reset instead of an orderly close. A client that
/// reads a response without a length would take an orderly close for the end of a complete
/// response.
struct ProxiedConnection {
    fault: Arc<Mutex<LinkFault>>,
    reset: AtomicBool,
}

fn spawn_relays(client: &TcpStream, server: &TcpStream, fault: &Arc<Mutex<LinkFault>>) {
    let connection = Arc::new(ProxiedConnection {
        fault: Arc::clone(fault),
        reset: AtomicBool::new(false),
    });
    for (from, to, direction) in [
        (client, server, Direction::ToServer),
        (server, client, Direction::ToClient),
    ] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let connection = Arc::clone(&connection);
        thread::spawn(move || {
            if relay(&from, &to, direction, &connection).is_err() {
                connection.reset.store(true, Ordering::Relaxed);
                for side in [&from, &to] {
                    let _ = SockRef::from(side).set_linger(Some(Duration::ZERO));
                }
            }
        });
    }
}

/// Relays bytes in one direction until end of stream or until the connection is reset.
fn relay(
    mut from: &TcpStream,
    mut to: &TcpStream,
    direction: Direction,
    connection: &ProxiedConnection,
) -> io::Result<()> {
    to.set_nodelay(true)?;
    from.set_read_timeout(Some(POLL_INTERVAL))?;
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let fault = *connection.fault.lock().expect("the fault");
        if fault == LinkFault::Reset || connection.reset.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let blocked = match direction {
            Direction::ToServer => fault == LinkFault::BlockToServer,
            Direction::ToClient => fault == LinkFault::BlockToClient,
        };
        if blocked || fault == LinkFault::BlockBoth {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => return to.shutdown(Shutdown::Write),
            Ok(count) => {
                if fault == LinkFault::Delayed {
                    thread::sleep(DELAY);
                }
                to.write_all(&buffer[..count])?;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}
