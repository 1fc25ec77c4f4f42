//! `sycamorelink dev`

use std::time::Duration;

use clap::Args;
use sycamorelink_daemon::settings::parse_duration;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::dev::{DevOptions, run_dev};

#[derive(Debug, Args)]
pub struct DevArgs {
    /// Length of the story; Ctrl-C ends it sooner [default: 60s]
    #[arg(long = "for", value_parser = parse_duration, value_name = "TIME")]
    length: Option<Duration>,
}

pub fn exec(context: &mut ShellContext, args: &DevArgs) -> anyhow::Result<()> {
    let options = DevOptions {
        length: args.length,
    };
    run_dev(context, &options)
}
