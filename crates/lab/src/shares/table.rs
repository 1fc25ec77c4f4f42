//! Execution of the share, admission and retry simulations and rendering of their tables.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde::Serialize;

use super::flood::{FloodRow, OverloadRow, flood_row, overload_row};
use super::gate_simulation::GateKind;
use super::limiter::LimiterKind;
use super::storm::{StormRow, storm_row};
use super::traffic::{TrafficRow, traffic_row};
use super::trial::{ShareFault, ShareRow, ShareTrial};

/// Simulations to run and their parameters.
#[derive(Clone, Debug)]
pub struct ShareOptions {
    /// Fleet sizes, each with the contracted rate in requests per second.
    pub fleets: Vec<(usize, u32)>,
    /// Fleet sizes for which the message cost of leases is measured.
    pub traffic: Vec<usize>,
    /// Virtual time of the flood runs.
    pub flood: Duration,
    /// Number of worker threads for the share rows.
    pub threads: usize,
    /// Seed of all simulations.
    pub seed: u64,
}

impl ShareOptions {
    /// Returns the options of the quick table for continuous integration.
    #[must_use]
    pub fn quick() -> Self {
        Self {
            fleets: vec![(17, 200)],
            traffic: Vec::new(),
            flood: Duration::from_mins(1),
            threads: 3,
            seed: 1,
        }
    }

    /// Returns the options of the full table in the documentation.
    #[must_use]
    pub fn full() -> Self {
        Self {
            fleets: vec![(10, 1_000), (100, 5_000), (2_300, 20_000)],
            traffic: vec![17, 2_300],
            flood: Duration::from_mins(10),
            threads: 3,
            seed: 1,
        }
    }
}

/// Results of all simulations.
#[derive(Clone, Debug, Serialize)]
pub struct ShareTable {
    /// Enforcement of one contract under faults.
    pub shares: Vec<ShareRow>,
    /// Message cost of leases at one node.
    pub traffic: Vec<TrafficRow>,
    /// Effect of one customer's flood on others.
    pub floods: Vec<FloodRow>,
    /// Behaviour under load above the capacity.
    pub overloads: Vec<OverloadRow>,
    /// Effect of retries after a short fault.
    pub storms: Vec<StormRow>,
}

/// Runs all simulations.
///
/// # Panics
///
/// Panics when a trial panics, which indicates a bug in the code under test.
#[must_use]
pub fn run_table(options: &ShareOptions) -> ShareTable {
    let shares = share_rows(options);
    let gates = [GateKind::Gate, GateKind::Fifo];
    let floods = gates.map(|gate| flood_row(gate, options.flood, options.seed));
    let overloads = gates.map(|gate| overload_row(gate, options.seed));
    let mut storms = Vec::new();
    for gate in gates {
        for (tries, budget) in [(1, false), (3, false), (3, true)] {
            storms.push(storm_row(gate, tries, budget, options.seed));
        }
    }
    let traffic = options.traffic.iter();
    let traffic = traffic
        .map(|count| traffic_row(*count, options.seed))
        .collect();
    ShareTable {
        shares,
        traffic,
        floods: floods.to_vec(),
        overloads: overloads.to_vec(),
        storms,
    }
}

/// Runs the share trials on several threads; the order of the rows does not depend on the threads.
fn share_rows(options: &ShareOptions) -> Vec<ShareRow> {
    let mut trials = Vec::new();
    for (count, rate) in &options.fleets {
        for fault in ShareFault::ALL {
            trials.extend(LimiterKind::ALL.map(|kind| (kind, fault, *count, *rate)));
        }
    }
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..options.threads {
            scope.spawn(|| {
                loop {
                    let place = next.fetch_add(1, Ordering::Relaxed);
                    let Some((kind, fault, count, rate)) = trials.get(place).copied() else {
                        return;
                    };
                    let row = ShareTrial::new(kind, fault, count, rate, options.seed).run();
                    rows.lock().expect("no thread panics").insert(place, row);
                }
            });
        }
    });
    let rows = rows.into_inner().expect("no thread panics");
    rows.into_values().collect()
}

impl ShareTable {
    /// Renders the table as JSON.
    ///
    /// # Errors
    ///
    /// Returns the errors of `serde_json`, which plain numbers do not cause.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }

    /// Renders the table as Markdown.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        self.write_shares(&mut text);
        self.write_traffic(&mut text);
        self.write_floods(&mut text);
        self.write_overloads(&mut text);
        self.write_storms(&mut text);
        text
    }

    fn write_shares(&self, text: &mut String) {
        text.push_str(
            "| sharers | fault | limiter | in force % | overshoot % | used % | refused % \
             | worst s % | s > 5% | waited % | msg/s | heard B/s | most B/s |\n\
             |---:|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n",
        );
        for row in &self.shares {
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.2} | {:.1} | {} | {:.1} | {:.2} \
                 | {:.0} | {:.0} |",
                row.sharers,
                row.fault.name(),
                row.limiter.name(),
                row.in_force_percent,
                row.overshoot_percent,
                row.used_percent,
                row.refused_percent,
                row.worst_percent,
                row.starved_seconds,
                row.waited_percent,
                row.messages_per_second,
                row.heard_per_second,
                row.most_heard_per_second,
            );
        }
    }

    fn write_traffic(&self, text: &mut String) {
        if self.traffic.is_empty() {
            return;
        }
        text.push_str(
            "\n| nodes | customers of a node | requests/s | msg/s | asks B/s | grants B/s \
             | waited % | refused % |\n|---:|---:|---:|---:|---:|---:|---:|---:|\n",
        );
        for row in &self.traffic {
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.1} | {:.0} | {:.0} | {:.1} | {:.2} |",
                row.nodes,
                row.customers,
                row.rate,
                row.messages_per_second,
                row.asks_per_second,
                row.grants_per_second,
                row.waited_percent,
                row.refused_percent,
            );
        }
    }

    fn write_floods(&self, text: &mut String) {
        text.push_str(
            "\n| gate | others' p99 ms | with flood | growth % | failed % | with flood \
             | min/max share |\n|---|---:|---:|---:|---:|---:|---:|\n",
        );
        for row in &self.floods {
            let _ = writeln!(
                text,
                "| {} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.3} |",
                row.gate.name(),
                row.calm_p99_ms,
                row.flood_p99_ms,
                row.growth_percent,
                row.calm_failed_percent,
                row.flood_failed_percent,
                row.min_max_share,
            );
        }
    }

    fn write_overloads(&self, text: &mut String) {
        text.push_str(
            "\n| gate | goodput % of capacity at 3x | p99 ms | recovery s |\n\
             |---|---:|---:|---:|\n",
        );
        for row in &self.overloads {
            let _ = writeln!(
                text,
                "| {} | {:.1} | {:.0} | {} |",
                row.gate.name(),
                row.goodput_percent,
                row.p99_ms,
                row.recovery_seconds,
            );
        }
    }

    fn write_storms(&self, text: &mut String) {
        text.push_str(
            "\n| gate | tries | budget | attempts per request | served after % | recovery s |\n\
             |---|---:|---|---:|---:|---:|\n",
        );
        for row in &self.storms {
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.2} | {:.1} | {} |",
                row.gate.name(),
                row.tries,
                if row.budget { "10%" } else { "none" },
                row.amplification,
                row.after_percent,
                row.recovery_seconds,
            );
        }
    }
}
