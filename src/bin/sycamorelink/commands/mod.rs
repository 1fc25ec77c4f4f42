//! The commands, one module each with its arguments and an `exec` function.

mod burn;
mod completions;
mod contract;
mod dev;
mod drain;
mod explain;
mod fleet;
mod instance;
mod lab;
mod service;
mod settings;
mod stand_in;
mod trace;

use clap::Subcommand;
use sycamorelink_ops::ShellContext;

/// The commands.
#[derive(Debug, Subcommand)]
pub enum TopCommand {
    /// Check the settings of a daemon
    Settings(settings::SettingsArgs),
    /// Check, publish and read customer contracts
    Contract(contract::ContractArgs),
    /// Show the members of the fleet
    Fleet(fleet::FleetArgs),
    /// Show a service: its floor and its upstreams
    Service(service::ServiceArgs),
    /// Show one daemon and the backend servers of its instance
    Instance(instance::InstanceArgs),
    /// Make one daemon leave without cutting off a request
    Drain(drain::DrainArgs),
    /// Run a small fleet on the loopback interface and show what it does about gray failures
    Dev(dev::DevArgs),
    /// Report service-level burn
    Burn(burn::BurnArgs),
    /// Show what all daemons did about one request, from their logs
    Trace(trace::TraceArgs),
    /// Explain a numbered event or a refusal
    Explain(explain::ExplainArgs),
    /// Measure the decision logic without a network
    Lab(lab::LabArgs),
    /// Print completions for a shell
    Completions(completions::CompletionsArgs),
    /// Run a stand-in for the platform's log or for a backend server
    #[command(hide = true)]
    StandIn(stand_in::StandinArgs),
}

pub fn exec(context: &mut ShellContext, command: TopCommand) -> anyhow::Result<()> {
    match command {
        TopCommand::Settings(args) => settings::exec(context, &args),
        TopCommand::Contract(args) => contract::exec(context, &args),
        TopCommand::Fleet(args) => fleet::exec(context, &args),
        TopCommand::Service(args) => service::exec(context, &args),
        TopCommand::Instance(args) => instance::exec(context, &args),
        TopCommand::Drain(args) => drain::exec(context, &args),
        TopCommand::Dev(args) => dev::exec(context, &args),
        TopCommand::Burn(args) => burn::exec(context, &args),
        TopCommand::Trace(args) => trace::exec(context, &args),
        TopCommand::Explain(args) => explain::exec(context, &args),
        TopCommand::Lab(args) => lab::exec(context, &args),
        TopCommand::Completions(args) => completions::exec(context, &args),
        TopCommand::StandIn(args) => stand_in::exec(context, &args),
    }
}
