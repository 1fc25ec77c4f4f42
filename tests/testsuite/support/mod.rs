//! Test processes, an HTTP client and waits with a timeout.

pub mod fixture;
pub mod http;
pub mod process;

use std::time::{Duration, Instant};

/// Timeout of `wait_for` and `wait_until`, after which the test fails.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls until the closure returns a value.
pub fn wait_for<T, F>(what: &str, mut poll: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let until = Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < until, "waited too long for {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Polls until the condition holds.
pub fn wait_until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    wait_for(what, || holds().then_some(()));
}
