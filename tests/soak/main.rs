//! A fault soak: real daemons as separate processes on loopback, faults from outside, and what callers
//! and backend servers see held against what is promised.
//!
//! ```text
//! callers (kept connections) ──▶ daemon ──proxy──▶ daemon ──proxy──▶ backend server
//!                                   │ proxy                              │
//!                                 store            heartbeats to its daemon
//!      plan (from the seed): signals, restarts, reloads, configurations, ways, backend servers, store
//! ```
//!
//! A session is drawn from its seed; what runs concurrently still differs from play to play, so a seed
//! that failed is kept with a line on its cause, and several plays of it count. By hand:
//!
//! ```text
//! SOAK_SEEDS=1..=50 cargo test --release --test soak -- --ignored --nocapture
//! ```
//!
//! Seeds from 1000 on play a large session: twelve instances for twenty seconds. `TEST_LOG_DIR` names a
//! directory for the daemons' logs.

mod callers;
mod invariants;
mod nodes;
mod plan;
mod proxy;
mod record;
mod session;

#[path = "../testsuite/support/mod.rs"]
#[expect(dead_code, reason = "the soak needs its processes only")]
mod processes;
#[path = "../../platform/tests/testsuite/support/mod.rs"]
#[expect(dead_code, reason = "the soak needs its store and its servers only")]
mod support;

use session::play;

/// Seeds of the run in CI. 3 has planned work alone and failed once: a second SIGTERM cut off callers,
/// and a daemon that refused its callers stayed until its limit. 8 has backend servers that break their
/// replies off, and failed while the proxy ended in order what it should have reset. 4 has paused and
/// killed daemons. 26 has a daemon that stands still while callers give up.
const SHORT_SEEDS: [u64; 4] = [3, 4, 8, 26];

fn play_all<I>(seeds: I)
where
    I: IntoIterator<Item = u64>,
{
    let mut broken = Vec::new();
    for seed in seeds {
        let report = play(seed);
        let (calls, served, count) = (report.calls, report.served, report.findings.len());
        println!("seed {seed}: {calls} calls, {served} served, {count} findings");
        for finding in &report.findings {
            println!("  {finding}");
        }
        if !report.findings.is_empty() {
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "seeds that broke a promise: {broken:?}");
}

/// What callers and backend servers see keeps every promise, whatever is done to the daemons.
#[test]
fn promises_hold_in_a_short_soak() {
    play_all(SHORT_SEEDS);
}

/// The same for the seeds that `SOAK_SEEDS` names, as `FIRST..=LAST`.
#[test]
#[ignore = "run by hand with fresh seeds"]
fn promises_hold_in_a_long_soak() {
    let range = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..=50".to_owned());
    let (first, last) = range.split_once("..=").expect("SOAK_SEEDS is FIRST..=LAST");
    let bound = |text: &str| -> u64 { text.parse().expect("SOAK_SEEDS holds numbers") };
    play_all(bound(first)..=bound(last));
}
