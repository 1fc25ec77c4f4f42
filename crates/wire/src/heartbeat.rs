//! Heartbeats, which detect connections whose state was lost on the network path.
//!
//! A middlebox that drops its state for a connection leaves both ends open: writes succeed and
//! nothing ever arrives, while new connections work. To a waiting request this looks like a slow
//! upstream, and a healthy backend server would be ejected for it. The peer's h2 layer answers a
//! PING without waiting for any backend server, so an unanswered PING identifies the connection as
//! the cause.

use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::connection::ConnectionState;
use crate::settings::WireSettings;

/// Number of slices into which the wait for a PING reply is divided.
const TIMEOUT_SLICES: u32 = 7;

/// A slice that takes more than this multiple of its length indicates that the process was paused.
const PROCESS_PAUSE_FACTOR: u32 = 3;

/// Sends heartbeats and returns when one times out.
///
/// Each reply to a request also confirms a round trip, so no PING is sent while replies arrive.
pub(crate) async fn run_heartbeat(
    mut pings: PingPong,
    state: ConnectionState,
    settings: WireSettings,
) {
    let mut open = state.watch_open_work();
    loop {
        let busy = *open.borrow_and_update() > 0;
        let interval = if busy {
            settings.heartbeat_interval
        } else {
            settings.idle_heartbeat_interval
        };
        let remaining = interval.saturating_sub(state.time_since_round_trip());
        if !remaining.is_zero() {
            sleep_until_due(remaining, busy, &mut open).await;
            continue;
        }
        let sent = Instant::now();
        state.set_pending_ping(Some(sent));
        match await_pong(&mut pings, settings.heartbeat_limit).await {
            PongResult::Answered => {
                state.set_pending_ping(None);
                state.record_round_trip(sent);
            }
            PongResult::ConnectionClosed => return std::future::pending().await,
            PongResult::TimedOut => return,
        }
    }
}

enum PongResult {
    Answered,
    TimedOut,
    /// The connection closed; the driver of the connection records the reason.
    ConnectionClosed,
}

/// Waits for the PING reply in slices and does not count slices in which this process was paused.
///
/// After a pause of this process all timers fire at once, while the reply may be unread in the
/// socket. If the pause counted as silence, each pause would close all connections of the node and
/// leave the outcome of their requests unknown. The slice after the pause leaves time to read the
/// reply.
async fn await_pong(pings: &mut PingPong, limit: Duration) -> PongResult {
    let slice = limit / TIMEOUT_SLICES;
    let mut waited = 0;
    let pong = pings.ping(Ping::opaque());
    let mut pong = std::pin::pin!(pong);
    while waited < TIMEOUT_SLICES {
        let started = Instant::now();
        match tokio::time::timeout(slice, pong.as_mut()).await {
            Ok(Ok(_)) => return PongResult::Answered,
            Ok(Err(_)) => return PongResult::ConnectionClosed,
            Err(_) if started.elapsed() > slice * PROCESS_PAUSE_FACTOR => {}
            Err(_) => waited += 1,
        }
    }
    PongResult::TimedOut
}

/// Sleeps until the next heartbeat is due. On an idle connection the sleep ends early when work
/// opens, so that the shorter interval applies at once.
async fn sleep_until_due(remaining: Duration, busy: bool, open: &mut watch::Receiver<usize>) {
    if busy {
        tokio::time::sleep(remaining).await;
        return;
    }
    let _ = tokio::time::timeout(remaining, open.changed()).await;
}
