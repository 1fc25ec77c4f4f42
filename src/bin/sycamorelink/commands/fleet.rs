//! `sycamorelink fleet`

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::fleet::show_fleet;

use crate::cli::FormatArgs;

#[derive(Debug, Args)]
pub struct FleetArgs {
    #[command(flatten)]
    format: FormatArgs,
}

pub fn exec(context: &mut ShellContext, args: &FleetArgs) -> anyhow::Result<()> {
    show_fleet(context, args.format.output_format())
}
