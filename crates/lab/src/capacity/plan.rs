//! Counts to measure, and the order of the measurements.

use std::time::Duration;

use anyhow::Result;

use super::components::{measure_guard_keys, measure_pools, measure_share_customers};
use super::contracts::{ContractDimension, ContractPoints, measure_contracts};
use super::gossip::{GossipPlan, measure_gossip};
use super::mass_events::measure_mass;
use super::overload::{measure_capacity_tables, measure_figures};
use super::report::{CapacityReport, CapacityRow, MEGABYTE, MEMORY_BUDGET, RowName};
use super::roster::measure_roster_memory;

/// Number of upstreams at the target scale.
const TARGET_UPSTREAMS: f64 = 110_000.0;

/// Number of routes at the target scale.
const TARGET_ROUTES: f64 = 200_000.0;

/// Number of client accounts at the target scale.
const TARGET_ACCOUNTS: f64 = 250_000.0;

/// Maximum number of keys that a guard remembers with its default settings.
const TARGET_KEYS: f64 = 60_000.0;

/// Customers with requests at one node at the target scale: all 5,000, with 40 routes each.
const TARGET_CUSTOMERS: f64 = 5_000.0;

/// Number of nodes at the target scale.
const TARGET_NODES: usize = 2_300;

/// Upstreams per node while the number of nodes is varied. With all 48, the rosters of 2,300 nodes
/// would not fit into the memory of one machine.
const SWEEP_UPSTREAMS: u16 = 8;

/// Number of nodes while the number of upstreams per node is varied.
const UPSTREAM_SWEEP_NODES: usize = 300;

/// Counts and durations of one complete measurement.
#[derive(Clone, Debug)]
pub struct CapacityPlan {
    /// Numbers of upstreams in one roster.
    pub upstreams: Vec<usize>,
    /// Numbers of routes in one contract book.
    pub routes: Vec<usize>,
    /// Numbers of client accounts in one contract book.
    pub accounts: Vec<usize>,
    /// Numbers of upstreams in the pools of one node.
    pub pools: Vec<usize>,
    /// Numbers of customers with requests at one node.
    pub customers: Vec<usize>,
    /// Numbers of keys that one guard remembers.
    pub keys: Vec<usize>,
    /// Number of repetitions of each decision of overload control. Where the kernel accounts
    /// processor time in steps of 4 ms, 20,000 give a resolution of 0.2 us.
    pub decisions: u32,
    /// Numbers of nodes in the gossip fleet.
    pub nodes: Vec<usize>,
    /// Numbers of upstreams per node in the gossip fleet.
    pub node_upstreams: Vec<u16>,
    /// Numbers of nodes in the fleets that lose or restart many nodes at once.
    pub mass_nodes: Vec<usize>,
    /// Virtual time of the gossip measurement without changes.
    pub idle: Duration,
    /// Virtual time of the gossip measurement with the daily churn.
    pub churn: Duration,
    /// Number of updates of each kind whose propagation is measured.
    pub updates: usize,
}

impl CapacityPlan {
    /// Returns the plan up to the target scale. It takes some minutes, and some gigabytes for 2,300
    /// rosters.
    #[must_use]
    pub fn full() -> Self {
        Self {
            upstreams: vec![1_000, 10_000, 50_000, 110_000],
            routes: vec![10_000, 50_000, 100_000, 200_000],
            accounts: vec![10_000, 50_000, 100_000, 250_000],
            pools: vec![1_100, 11_000, 55_000, 110_000],
            customers: vec![500, 1_000, 2_500, 5_000],
            keys: vec![5_000, 10_000, 30_000, 60_000],
            decisions: 100_000,
            nodes: vec![10, 30, 100, 300, 1_000, 2_300],
            node_upstreams: vec![8, 24, 48],
            mass_nodes: vec![30, 100, 300],
            idle: Duration::from_secs(30),
            churn: Duration::from_mins(2),
            updates: 5,
        }
    }

    /// Returns a plan with small counts that takes seconds.
    #[must_use]
    pub fn quick() -> Self {
        Self {
            upstreams: vec![1_000, 5_000, 10_000],
            routes: vec![2_000, 5_000, 10_000],
            accounts: vec![2_500, 5_000, 10_000],
            pools: vec![1_100, 5_500, 11_000],
            customers: vec![100, 250, 500],
            keys: vec![1_000, 2_500, 5_000],
            decisions: 20_000,
            nodes: vec![10, 30, 100],
            node_upstreams: vec![8],
            mass_nodes: vec![100],
            idle: Duration::from_secs(10),
            churn: Duration::from_secs(20),
            updates: 2,
        }
    }

    /// Runs all measurements.
    ///
    /// # Errors
    ///
    /// Returns an error when resident memory cannot be read or a component rejects its input.
    pub fn run(&self) -> Result<CapacityReport> {
        let mut report = CapacityReport {
            rows: Vec::new(),
            gossip: Vec::new(),
            upstreams: Vec::new(),
            mass: Vec::new(),
            overload: Vec::new(),
        };
        self.measure_memory(&mut report)?;
        self.measure_overload(&mut report)?;
        for nodes in &self.nodes {
            let plan = self.gossip_plan(*nodes, SWEEP_UPSTREAMS, *nodes);
            report.gossip.push(measure_gossip(plan)?);
        }
        let sweep = UPSTREAM_SWEEP_NODES.min(self.nodes.last().copied().unwrap_or_default());
        for upstreams in &self.node_upstreams {
            let plan = self.gossip_plan(sweep, *upstreams, TARGET_NODES);
            report.upstreams.push(measure_gossip(plan)?);
        }
        for nodes in &self.mass_nodes {
            report.mass.push(measure_mass(*nodes, SWEEP_UPSTREAMS)?);
        }
        report.add_gossip_rows();
        Ok(report)
    }

    const fn gossip_plan(&self, nodes: usize, upstreams: u16, rate_nodes: usize) -> GossipPlan {
        GossipPlan {
            nodes,
            upstreams,
            rate_nodes,
            idle: self.idle,
            churn: self.churn,
            updates: self.updates,
        }
    }

    fn measure_overload(&self, report: &mut CapacityReport) -> Result<()> {
        let points = measure_capacity_tables(&self.pools)?;
        let name = memory_row_name("capacity tables memory", "servers");
        push_memory(report, CapacityRow::new(name, points, TARGET_UPSTREAMS));
        report.overload = measure_figures(self.decisions)?;
        Ok(())
    }

    fn measure_memory(&self, report: &mut CapacityReport) -> Result<()> {
        let points = measure_roster_memory(&self.upstreams)?;
        let name = memory_row_name("roster memory", "upstreams");
        push_memory(report, CapacityRow::new(name, points, TARGET_UPSTREAMS));
        let points = measure_contracts(ContractDimension::Routes, &self.routes)?;
        push_contracts(report, &ROUTE_ROW_NAMES, points, TARGET_ROUTES);
        let points = measure_contracts(ContractDimension::Accounts, &self.accounts)?;
        push_contracts(report, &ACCOUNT_ROW_NAMES, points, TARGET_ACCOUNTS);
        let points = measure_pools(&self.pools)?;
        let name = memory_row_name("pools memory, all services", "upstreams");
        push_memory(report, CapacityRow::new(name, points, TARGET_UPSTREAMS));
        let points = measure_share_customers(&self.customers)?;
        let name = memory_row_name("shares memory, used customers", "customers");
        push_memory(report, CapacityRow::new(name, points, TARGET_CUSTOMERS));
        let points = measure_guard_keys(&self.keys)?;
        let name = memory_row_name("guard memory, no replies kept", "keys");
        push_memory(report, CapacityRow::new(name, points, TARGET_KEYS));
        Ok(())
    }
}

const fn memory_row_name(quantity: &'static str, counted: &'static str) -> RowName {
    RowName {
        quantity,
        unit: "MB",
        counted,
    }
}

fn push_memory(report: &mut CapacityReport, row: CapacityRow) {
    let row = row.divided(MEGABYTE).budget(MEMORY_BUDGET);
    report.rows.push(row);
}

const ROUTE_ROW_NAMES: [RowName; 3] = contract_row_names(
    "book memory, routes",
    "book build, routes",
    "change, routes",
    "routes",
);

const ACCOUNT_ROW_NAMES: [RowName; 3] = contract_row_names(
    "book memory, accounts",
    "book build, accounts",
    "change, accounts",
    "accounts",
);

const fn contract_row_names(
    memory_name: &'static str,
    build: &'static str,
    change: &'static str,
    counted: &'static str,
) -> [RowName; 3] {
    [
        memory_row_name(memory_name, counted),
        RowName {
            quantity: build,
            unit: "s",
            counted,
        },
        RowName {
            quantity: change,
            unit: "us",
            counted,
        },
    ]
}

fn push_contracts(
    report: &mut CapacityReport,
    names: &[RowName; 3],
    points: ContractPoints,
    target: f64,
) {
    let [memory, build, change] = *names;
    push_memory(report, CapacityRow::new(memory, points.memory, target));
    report
        .rows
        .push(CapacityRow::new(build, points.build, target));
    report
        .rows
        .push(CapacityRow::new(change, points.change, target));
}
