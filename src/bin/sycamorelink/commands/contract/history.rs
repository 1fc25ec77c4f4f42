//! `sycamorelink contract history`

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::contract_history;

use crate::cli::FormatArgs;

#[derive(Debug, Args)]
pub struct HistoryArgs {
    /// Customer
    customer: String,
    #[command(flatten)]
    format: FormatArgs,
}

pub fn exec(context: &mut ShellContext, args: &HistoryArgs) -> anyhow::Result<()> {
    contract_history(context, &args.customer, args.format.output_format())
}
