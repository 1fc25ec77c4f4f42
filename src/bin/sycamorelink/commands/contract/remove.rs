//! `sycamorelink contract remove`

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::remove_contract;

use super::BaseArgs;

#[derive(Debug, Args)]
pub struct RemoveArgs {
    /// Customer
    customer: String,
    #[command(flatten)]
    base: BaseArgs,
}

pub fn exec(context: &mut ShellContext, args: &RemoveArgs) -> anyhow::Result<()> {
    remove_contract(context, &args.customer, &args.base.options())
}
