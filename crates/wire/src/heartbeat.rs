//! Heartbeats: finds a connection that something between the two ends has lost track of.
//!
//! Such a connection takes what is written and gives nothing back, for good, while new
//! connections work. Seen from a request it looks like a slow upstream; taken for that, a healthy
//! backend server would be ejected. A PING answered by the peer's h2 layer tells the two apart:
//! it does not wait for any backend server.

use std::time::Duration;

use h2::{Ping, PingPong};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::connection::ConnectionState;
use crate::settings::WireSettings;

/// Slices into which the wait for an answer is cut.
const SLICES: u32 = 7;

/// A slice that took this many times its length was slept through.
const PAUSE_FACTOR: u32 = 3;

/// Sends heartbeats and returns when one stays unanswered.
///
/// While replies come back, each proves a round trip, and no PING is sent.
pub(crate) async fn watch_silence(
    mut pings: PingPong,
    state: ConnectionState,
    settings: WireSettings,
) {
    let mut open = state.open_watch();
    loop {
        let busy = *open.borrow_and_update() > 0;
        let interval = if busy {
            settings.heartbeat
        } else {
            settings.idle_heartbeat
        };
        let rest = interval.saturating_sub(state.proved_for());
        if !rest.is_zero() {
            pause(rest, busy, &mut open).await;
            continue;
        }
        let sent = Instant::now();
        state.note_asked(Some(sent));
        match await_pong(&mut pings, settings.silence_limit).await {
            PongResult::Answered => {
                state.note_asked(None);
                state.prove_round_trip(sent);
            }
            PongResult::Ended => return std::future::pending().await,
            PongResult::Silent => return,
        }
    }
}

enum PongResult {
    Answered,
    Silent,
    /// The connection ended by itself and says so elsewhere.
    Ended,
}

/// Waits for the answer in slices, and does not count those that this node itself slept through.
///
/// After a pause of this process every timer is due at once, while the answer may lie unread in
/// the socket. Counted as silence, each such pause would end all connections of the node and leave
/// the fate of their requests unknown. The slice after the pause gives the answer time to be read.
async fn await_pong(pings: &mut PingPong, limit: Duration) -> PongResult {
    let slice = limit / SLICES;
    let mut waited = 0;
    let pong = pings.ping(Ping::opaque());
    let mut pong = std::pin::pin!(pong);
    while waited < SLICES {
        let begun = Instant::now();
        match tokio::time::timeout(slice, pong.as_mut()).await {
            Ok(Ok(_)) => return PongResult::Answered,
            Ok(Err(_)) => return PongResult::Ended,
            Err(_) if begun.elapsed() > slice * PAUSE_FACTOR => {}
            Err(_) => waited += 1,
        }
    }
    PongResult::Silent
}

/// An idle connection's pause ends when work opens, so that its silence is found at once.
async fn pause(rest: Duration, busy: bool, open: &mut watch::Receiver<usize>) {
    if busy {
        tokio::time::sleep(rest).await;
        return;
    }
    let _ = tokio::time::timeout(rest, open.changed()).await;
}
