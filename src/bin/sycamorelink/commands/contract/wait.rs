//! `sycamorelink contract wait`

use std::time::Duration;

use clap::Args;
use sycamorelink_daemon::settings::parse_duration;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::{Uuid, WaitOptions, wait_for_change};

#[derive(Debug, Args)]
pub struct WaitArgs {
    /// Id of the change
    change: Uuid,
    /// Wait until it is in force on every daemon that can be reached
    #[arg(long)]
    everywhere: bool,
    /// Longest wait
    #[arg(long = "for", default_value = "30s", value_parser = parse_duration, value_name = "TIME")]
    limit: Duration,
}

pub fn exec(context: &mut ShellContext, args: &WaitArgs) -> anyhow::Result<()> {
    let options = WaitOptions {
        limit: args.limit,
        everywhere: args.everywhere,
    };
    wait_for_change(context, &args.change.to_string(), &options)
}
