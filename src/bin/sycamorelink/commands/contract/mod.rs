//! `sycamorelink contract`

mod amend;
mod diff;
mod history;
mod publish;
mod remove;
mod rollback;
mod sample;
mod schema;
mod show;
mod validate;
mod wait;

use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use clap::{Args, Subcommand};
use sycamorelink_daemon::settings::parse_duration;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::{AmendOptions, BaseVersion, ChangeOptions, Uuid};

#[derive(Debug, Args)]
pub struct ContractArgs {
    #[command(subcommand)]
    command: ContractCommand,
}

#[derive(Debug, Subcommand)]
enum ContractCommand {
    /// Check contracts in files and report all findings
    Validate(validate::ValidateArgs),
    /// Print the JSON schema of a contract
    Schema(schema::SchemaArgs),
    /// Print a sample contract
    Sample(sample::SampleArgs),
    /// Compare a contract with the one in force or in another file
    Diff(diff::DiffArgs),
    /// Create the contract of a new customer
    Publish(publish::PublishArgs),
    /// Replace the contract of a customer
    Amend(amend::AmendArgs),
    /// Print the contract in force, or list all customers
    Show(show::ShowArgs),
    /// Print the changes of a contract
    History(history::HistoryArgs),
    /// Put the content of an earlier version into force again
    Rollback(rollback::RollbackArgs),
    /// Remove a customer
    Remove(remove::RemoveArgs),
    /// Wait until a change is settled
    Wait(wait::WaitArgs),
}

pub fn exec(context: &mut ShellContext, args: &ContractArgs) -> anyhow::Result<()> {
    match &args.command {
        ContractCommand::Validate(args) => validate::exec(context, args),
        ContractCommand::Schema(args) => schema::exec(context, args),
        ContractCommand::Sample(args) => sample::exec(context, args),
        ContractCommand::Diff(args) => diff::exec(context, args),
        ContractCommand::Publish(args) => publish::exec(context, args),
        ContractCommand::Amend(args) => amend::exec(context, args),
        ContractCommand::Show(args) => show::exec(context, args),
        ContractCommand::History(args) => history::exec(context, args),
        ContractCommand::Rollback(args) => rollback::exec(context, args),
        ContractCommand::Remove(args) => remove::exec(context, args),
        ContractCommand::Wait(args) => wait::exec(context, args),
    }
}

/// How a change is made.
#[derive(Debug, Args)]
struct ChangeArgs {
    /// Id of the change, to send one again whose reply was lost; a new one when absent
    #[arg(long, value_name = "UUID")]
    change: Option<Uuid>,
    /// Longest wait for the log to confirm the change
    #[arg(long, default_value = "30s", value_parser = parse_duration, value_name = "TIME")]
    wait: Duration,
}

impl ChangeArgs {
    fn options(&self) -> ChangeOptions {
        ChangeOptions {
            change: self.change,
            wait: self.wait,
        }
    }
}

/// What a change amends.
#[derive(Debug, Args)]
struct BaseArgs {
    /// Version that the change amends, as `contract show` prints it; `current` takes whatever is
    /// in force and may undo a change that somebody else made meanwhile
    #[arg(long, value_name = "VERSION")]
    base: BaseArg,
    #[command(flatten)]
    change: ChangeArgs,
}

impl BaseArgs {
    fn options(&self) -> AmendOptions {
        AmendOptions {
            base: self.base.0,
            change: self.change.options(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct BaseArg(BaseVersion);

impl FromStr for BaseArg {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "current" {
            return Ok(Self(BaseVersion::Current));
        }
        parse_version(text)
            .map(|version| Self(BaseVersion::Version(version)))
            .map_err(|_| "neither a version nor `current`".to_owned())
    }
}

/// Parses a version, written `5` or `v5`.
fn parse_version(text: &str) -> Result<u64, ParseIntError> {
    text.strip_prefix('v').unwrap_or(text).parse()
}
