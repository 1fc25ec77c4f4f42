//! `sycamorelink stand-in`, which runs simulated servers as separate processes for tests.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Args, Subcommand};
use sycamorelink_core::ServiceName;
use sycamorelink_daemon::settings::parse_duration;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::settings::parse_address;
use sycamorelink_ops::stand_in::{StandinKind, StandinOptions, run_stand_in};
use sycamorelink_standin::{BackendSettings, LogStandinSettings};

#[derive(Debug, Args)]
pub struct StandinArgs {
    #[command(subcommand)]
    command: StandinCommand,
}

#[derive(Debug, Subcommand)]
enum StandinCommand {
    /// The platform's log
    Log {
        #[command(flatten)]
        run: RunArgs,
        /// Appends taken per second
        #[arg(long, default_value_t = 400)]
        appends_per_second: u32,
    },
    /// A backend server
    Backend {
        #[command(flatten)]
        run: RunArgs,
        /// Operators' address of the daemon of its instance
        #[arg(long, value_name = "IP:PORT", value_parser = parse_address)]
        beside: Option<SocketAddr>,
        /// Its number on that daemon
        #[arg(long, default_value_t = 0)]
        slot: u16,
        /// Service
        #[arg(long, default_value = "orders")]
        service: String,
        /// Requests it runs at once
        #[arg(long, default_value_t = 5)]
        slots: u16,
        /// Mean time of a run
        #[arg(long, default_value = "20ms", value_parser = parse_duration, value_name = "TIME")]
        service_time: Duration,
        /// Seed of its randomness
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[derive(Debug, Args)]
struct RunArgs {
    /// Address; port 0 takes a free one
    #[arg(long, default_value = "127.0.0.1:0", value_name = "IP:PORT")]
    #[arg(value_parser = parse_address)]
    listen: SocketAddr,
    /// Time to run; until SIGTERM when absent
    #[arg(long = "for", value_parser = parse_duration, value_name = "TIME")]
    time: Option<Duration>,
}

impl RunArgs {
    fn options(&self) -> StandinOptions {
        StandinOptions {
            listen: self.listen,
            time: self.time,
        }
    }
}

pub fn exec(context: &mut ShellContext, args: &StandinArgs) -> anyhow::Result<()> {
    match &args.command {
        StandinCommand::Log {
            run,
            appends_per_second,
        } => {
            let settings = LogStandinSettings {
                appends_per_second: *appends_per_second,
                ..LogStandinSettings::default()
            };
            run_stand_in(context, StandinKind::Log(settings), &run.options())
        }
        StandinCommand::Backend {
            run,
            beside,
            slot,
            service,
            slots,
            service_time,
            seed,
        } => {
            let settings = BackendSettings {
                service: ServiceName::new(service),
                slots: *slots,
                service_time: *service_time,
                seed: *seed,
                daemon: *beside,
                daemon_slot: *slot,
                ..BackendSettings::default()
            };
            run_stand_in(context, StandinKind::Backend(settings), &run.options())
        }
    }
}
