//! `sycamorelink instance`

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::fleet::show_instance;

use crate::cli::FormatArgs;

#[derive(Debug, Args)]
pub struct InstanceArgs {
    #[command(flatten)]
    format: FormatArgs,
}

pub fn exec(context: &mut ShellContext, args: &InstanceArgs) -> anyhow::Result<()> {
    show_instance(context, args.format.output_format())
}
