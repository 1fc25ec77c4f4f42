//! Measures daemons as separate processes on loopback.
//!
//! All figures in `docs/measurements-daemon.md` come from this program.
//!
//! ```text
//! cargo build --release --locked
//! cargo run --release --locked --example measure             latency, processor time, memory
//! cargo run --release --locked --example measure -- spread   propagation of contract changes
//! ```

mod daemons;
mod propagation;
mod support;

fn main() -> anyhow::Result<()> {
    match std::env::args().nth(1).as_deref() {
        None => daemons::measure_daemons(),
        Some("spread") => propagation::measure_propagation(),
        Some(other) => anyhow::bail!("unknown measurement {other:?}: use none or \"spread\""),
    }
}
