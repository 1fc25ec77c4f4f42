//! `sycamorelink lab`

use anyhow::Context;
use clap::{Args, Subcommand};
use sycamorelink_lab::capacity::CapacityPlan;
use sycamorelink_lab::{shares, situations};
use sycamorelink_ops::ShellContext;

#[derive(Debug, Args)]
pub struct LabArgs {
    #[command(subcommand)]
    command: LabCommand,
}

#[derive(Debug, Subcommand)]
enum LabCommand {
    /// Gray failures: detection time, false ejections and tails, against known balancers
    Situations(TableArgs),
    /// Limits: shares of a customer's rate, admission and retries
    Shares(TableArgs),
    /// Cost of a node in memory, time and traffic, against the counts it grows with
    Capacity(CapacityArgs),
}

#[derive(Debug, Args)]
struct TableArgs {
    /// The whole table; takes minutes
    #[arg(long)]
    full: bool,
    /// Seed of the runs; the same seed gives the same table
    #[arg(long)]
    seed: Option<u64>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
struct CapacityArgs {
    /// Up to the largest counts; takes minutes and gigabytes
    #[arg(long)]
    full: bool,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

pub fn exec(context: &mut ShellContext, args: &LabArgs) -> anyhow::Result<()> {
    match &args.command {
        LabCommand::Situations(args) => run_situations(context, args),
        LabCommand::Shares(args) => run_shares(context, args),
        LabCommand::Capacity(args) => run_capacity(context, args),
    }
}

fn run_situations(context: &mut ShellContext, args: &TableArgs) -> anyhow::Result<()> {
    let mut options = if args.full {
        situations::TableOptions::full()
    } else {
        situations::TableOptions::quick()
    };
    options.seed = args.seed.unwrap_or(options.seed);
    context.status("Running", "the table of situations");
    let table = situations::run_table(&options);
    let json = args.json.then(|| table.to_json());
    print_table(context, json, || table.to_text())
}

fn run_shares(context: &mut ShellContext, args: &TableArgs) -> anyhow::Result<()> {
    let mut options = if args.full {
        shares::ShareOptions::full()
    } else {
        shares::ShareOptions::quick()
    };
    options.seed = args.seed.unwrap_or(options.seed);
    context.status("Running", "the table of shares");
    let table = shares::run_table(&options);
    let json = args.json.then(|| table.to_json());
    print_table(context, json, || table.to_text())
}

/// Prints a table as JSON when `json` holds it, otherwise as text.
fn print_table<F>(
    context: &mut ShellContext,
    json: Option<serde_json::Result<String>>,
    to_text: F,
) -> anyhow::Result<()>
where
    F: FnOnce() -> String,
{
    match json {
        Some(text) => context.data_line(text.context("could not write the table as JSON")?),
        None => context.data(to_text()),
    }
}

fn run_capacity(context: &mut ShellContext, args: &CapacityArgs) -> anyhow::Result<()> {
    let plan = if args.full {
        CapacityPlan::full()
    } else {
        CapacityPlan::quick()
    };
    context.status("Measuring", "the cost of a node");
    let report = plan.run().context("could not measure the cost of a node")?;
    if args.json {
        return context.data_json(&report);
    }
    context.data(report)
}
