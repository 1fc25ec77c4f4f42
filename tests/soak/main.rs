//! Soak test with fault injection. Daemons run as separate processes on loopback, and the calls and
//! runs that callers and backend servers observe are checked against the delivery guarantees.
//!
//! ```text
//! callers (keep-alive) ────────▶ daemon ──proxy──▶ daemon ──proxy──▶ backend server
//!                                   │ proxy                              │
//!                                 store            heartbeats to its daemon
//! ```
//!
//! The seed determines the plan of a session: pauses, kills, restarts, reloads, new configurations,
//! link faults, faults of backend servers and store outages. Thread and process scheduling differs
//! between runs. A seed that failed once stays in `SHORT_SEEDS` with its cause and may need several
//! runs to reproduce. To run a range of seeds:
//!
//! ```text
//! SOAK_SEEDS=1..=50 cargo test --release --test soak -- --ignored --nocapture
//! ```
//!
//! Seeds from 1000 on run a large session: twelve instances for twenty seconds. In seeds from 2000 on
//! backend servers also limit their requests. `TEST_LOG_DIR` names a directory for the daemons' logs.

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

use session::run_session;

/// Seeds that CI runs.
///
/// - 3 has only planned maintenance. The seed failed when a second SIGTERM disconnected callers and
///   a daemon that refused callers kept running until its drain limit.
/// - 4 pauses and kills daemons.
/// - 8 has backend servers that truncate responses. The seed failed while the proxy closed
///   connections in order instead of resetting them.
/// - 26 pauses a daemon while callers abandon their requests.
/// - 2002 has backend servers that limit their requests.
const SHORT_SEEDS: [u64; 5] = [3, 4, 8, 26, 2002];

fn run_seeds<I>(seeds: I)
where
    I: IntoIterator<Item = u64>,
{
    let mut failed_seeds = Vec::new();
    for seed in seeds {
        let report = run_session(seed);
        let (calls, served, count) = (report.calls, report.served, report.findings.len());
        println!("seed {seed}: {calls} calls, {served} served, {count} findings");
        for finding in &report.findings {
            println!("  {finding}");
        }
        if !report.findings.is_empty() {
            failed_seeds.push(seed);
        }
    }
    assert!(
        failed_seeds.is_empty(),
        "seeds with violated guarantees: {failed_seeds:?}"
    );
}

/// Runs the CI seeds and expects that no delivery guarantee is violated.
#[test]
fn guarantees_hold_in_short_soak() {
    run_seeds(SHORT_SEEDS);
}

/// Runs the seeds named by `SOAK_SEEDS`, written `FIRST..=LAST`.
#[test]
#[ignore = "run by hand with fresh seeds"]
fn guarantees_hold_in_long_soak() {
    let range = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..=50".to_owned());
    let (first, last) = range.split_once("..=").expect("SOAK_SEEDS is FIRST..=LAST");
    let bound = |text: &str| -> u64 { text.parse().expect("SOAK_SEEDS holds numbers") };
    run_seeds(bound(first)..=bound(last));
}
