//! `sycamorelink service`

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::fleet::show_service;

use crate::cli::FormatArgs;

#[derive(Debug, Args)]
pub struct ServiceArgs {
    /// Name of the service
    name: String,
    #[command(flatten)]
    format: FormatArgs,
}

pub fn exec(context: &mut ShellContext, args: &ServiceArgs) -> anyhow::Result<()> {
    show_service(context, &args.name, args.format.output_format())
}
