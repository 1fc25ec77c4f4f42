//! Report of all measurements: rows with fitted lines, compared with the budgets at the target
//! scale.

use std::fmt;

use serde::Serialize;

use super::fit::{FittedLine, MeasuredPoint, to_f64};
use super::gossip::{GossipRow, SpreadTimes, TrafficCost};
use super::mass_events::MassRow;
use super::overload::OverloadFigure;

/// Bytes in one megabyte.
pub const MEGABYTE: f64 = 1e6;

/// Memory budget of one node at the target scale, in megabytes.
pub const MEMORY_BUDGET: f64 = 64.0;

/// Gossip traffic budget of one node, in bytes per second.
pub const TRAFFIC_BUDGET: f64 = 7_000.0;

/// Processor time budget of one node, in percent of a core.
pub const CORE_BUDGET: f64 = 3.4;

/// Number of nodes at the target scale.
const TARGET_NODES: f64 = 2_300.0;

/// Name of a gossip quantity and the function that reads it from a row.
type NodeQuantity = (&'static str, fn(&GossipRow) -> f64);

/// One measured quantity as a function of one count.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityRow {
    /// Name of the measured quantity.
    pub name: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Name of the count, such as `nodes`.
    pub counted: &'static str,
    /// Measured points.
    pub points: Vec<MeasuredPoint>,
    /// Line fitted through the points.
    pub line: FittedLine,
    /// Count at the target scale.
    pub target: f64,
    /// Value of the line at `target`.
    pub at_target: f64,
    /// Budget of the quantity; `None` when it has none of its own.
    pub budget: Option<f64>,
}

impl CapacityRow {
    /// Creates a row and fits its line.
    #[must_use]
    pub fn new(name: RowName, points: Vec<MeasuredPoint>, target: f64) -> Self {
        let line = FittedLine::through(&points);
        Self {
            name: name.quantity,
            unit: name.unit,
            counted: name.counted,
            points,
            line,
            target,
            at_target: line.at(target),
            budget: None,
        }
    }

    /// Sets the budget of the row.
    #[must_use]
    pub const fn budget(mut self, budget: f64) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Divides every value and fits the line again, such as to convert bytes to megabytes.
    #[must_use]
    pub fn divided(mut self, by: f64) -> Self {
        for point in &mut self.points {
            point.value /= by;
        }
        self.line = FittedLine::through(&self.points);
        self.at_target = self.line.at(self.target);
        self
    }
}

/// Name, unit and count of a row.
#[derive(Clone, Copy, Debug)]
pub struct RowName {
    /// Name of the measured quantity.
    pub quantity: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Name of the count, such as `nodes`.
    pub counted: &'static str,
}

/// Results of all measurements.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityReport {
    /// Quantities as functions of counts.
    pub rows: Vec<CapacityRow>,
    /// Gossip as a function of the number of nodes, with proportional churn.
    pub gossip: Vec<GossipRow>,
    /// Gossip as a function of the upstreams per node, with the churn of the whole fleet.
    pub upstreams: Vec<GossipRow>,
    /// Events that affect many nodes at once.
    pub mass: Vec<MassRow>,
    /// Figures of overload control that are not fitted against a count.
    pub overload: Vec<OverloadFigure>,
}

impl CapacityReport {
    /// Adds the rows derived from gossip as a function of the number of nodes.
    pub fn add_gossip_rows(&mut self) {
        let traffic: [NodeQuantity; 2] = [
            ("gossip sent, idle", |row| row.idle.bytes_mean),
            ("gossip sent, daily churn", |row| row.churn.bytes_mean),
        ];
        for (quantity, value) in traffic {
            let row = self.node_row(quantity, "B/s", value);
            self.rows.push(row.budget(TRAFFIC_BUDGET));
        }
        let processor: [NodeQuantity; 2] = [
            ("roster processor, idle", |row| row.idle.core_percent),
            ("roster processor, daily churn", |row| {
                row.churn.core_percent
            }),
        ];
        for (quantity, value) in processor {
            let row = self.node_row(quantity, "% core", value);
            self.rows.push(row.budget(CORE_BUDGET));
        }
        let spread: [NodeQuantity; 3] = [
            ("contract head to 99%", |row| row.head.p99),
            ("leave to 99%", |row| row.leave.p99),
            ("death to 99%", |row| row.death.p99),
        ];
        for (quantity, value) in spread {
            self.rows.push(self.log_nodes_row(quantity, value));
        }
    }

    fn node_row<F>(&self, quantity: &'static str, unit: &'static str, value: F) -> CapacityRow
    where
        F: Fn(&GossipRow) -> f64,
    {
        let points = self
            .gossip
            .iter()
            .map(|row| MeasuredPoint {
                count: to_f64(row.nodes),
                value: value(row),
            })
            .collect();
        let name = RowName {
            quantity,
            unit,
            counted: "nodes",
        };
        CapacityRow::new(name, points, TARGET_NODES)
    }

    /// Fits a quantity against the logarithm of the number of nodes, as propagation time grows with
    /// it.
    fn log_nodes_row<F>(&self, quantity: &'static str, value: F) -> CapacityRow
    where
        F: Fn(&GossipRow) -> f64,
    {
        let points = self
            .gossip
            .iter()
            .map(|row| MeasuredPoint {
                count: to_f64(row.nodes).log2(),
                value: value(row),
            })
            .collect();
        let name = RowName {
            quantity,
            unit: "ms",
            counted: "log2(nodes)",
        };
        CapacityRow::new(name, points, TARGET_NODES.log2())
    }
}

impl fmt::Display for CapacityReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<34} {:>8} {:>12} {:>12} {:>12} {:>6} {:>9} {:>10} {:>8}",
            "quantity", "unit", "counted", "slope", "intercept", "r2", "target", "there", "budget"
        )?;
        for row in &self.rows {
            write_row(f, row)?;
        }
        writeln!(f)?;
        write_gossip(f, "gossip against nodes", &self.gossip)?;
        writeln!(f)?;
        write_gossip(f, "gossip against upstreams of a node", &self.upstreams)?;
        writeln!(f)?;
        writeln!(f, "many nodes at once")?;
        for row in &self.mass {
            write_mass(f, row)?;
        }
        writeln!(f)?;
        writeln!(f, "overload control of one node")?;
        for figure in &self.overload {
            writeln!(
                f,
                "  {:<32} {:>10.2} {}",
                figure.name, figure.value, figure.unit
            )?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &CapacityRow) -> fmt::Result {
    let budget = row
        .budget
        .map_or_else(|| "-".to_owned(), |budget| format!("{budget}"));
    write!(
        f,
        "{:<34} {:>8} {:>12} {:>12.6} {:>12.3} {:>6.3} {:>9.0} {:>10.3} {:>8}",
        row.name,
        row.unit,
        row.counted,
        row.line.slope,
        row.line.intercept,
        row.line.r2,
        row.target,
        row.at_target,
        budget
    )?;
    for point in &row.points {
        write!(f, "  {:.0}:{:.3}", point.count, point.value)?;
    }
    writeln!(f)
}

fn write_gossip(f: &mut fmt::Formatter<'_>, title: &str, rows: &[GossipRow]) -> fmt::Result {
    writeln!(f, "{title}")?;
    for row in rows {
        writeln!(
            f,
            "{} nodes, {} upstreams each, events of {} nodes: {} restarts, {} deaths, \
             {} wrong rosters, {} false removals",
            row.nodes,
            row.upstreams,
            row.rate_nodes,
            row.restarts,
            row.deaths,
            row.wrong_rosters,
            row.false_removals
        )?;
        write_cost(f, "idle", row.idle)?;
        write_cost(f, "churn", row.churn)?;
        write_times(f, "contract head", row.head)?;
        write_times(f, "leave", row.leave)?;
        write_times(f, "death", row.death)?;
    }
    Ok(())
}

fn write_mass(f: &mut fmt::Formatter<'_>, row: &MassRow) -> fmt::Result {
    writeln!(f, "{} nodes, {} upstreams each", row.nodes, row.upstreams)?;
    for (name, event) in [("domain lost", row.domain_loss), ("restart", row.restart)] {
        let agreed = event
            .agreed_seconds
            .map_or_else(|| "never".to_owned(), |seconds| format!("{seconds} s"));
        writeln!(
            f,
            "  {name:<14} {} nodes, all rosters right after {agreed}, {:.1} B/s mean, \
             {} false removals",
            event.touched, event.bytes_mean, event.false_removals
        )?;
    }
    write_times(f, "loss known", row.loss_known)
}

fn write_cost(f: &mut fmt::Formatter<'_>, name: &str, cost: TrafficCost) -> fmt::Result {
    writeln!(
        f,
        "  {name:<14} {:>8.1} B/s mean {:>8.1} B/s max {:>6.2} datagrams/s {:>8.5} % core",
        cost.bytes_mean, cost.bytes_max, cost.datagrams, cost.core_percent
    )
}

fn write_times(f: &mut fmt::Formatter<'_>, name: &str, times: SpreadTimes) -> fmt::Result {
    writeln!(
        f,
        "  {name:<14} p50 {:>8.1} ms  p99 {:>8.1} ms  last {:>8.1} ms  ({} news, {} missed)",
        times.p50, times.p99, times.last, times.news, times.missed
    )
}
