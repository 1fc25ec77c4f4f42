//! `sycamorelink contract rollback`

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::roll_back_contract;

use super::{BaseArgs, parse_version};

#[derive(Debug, Args)]
pub struct RollbackArgs {
    /// Customer
    customer: String,
    /// Version whose content is put into force again
    #[arg(long, value_name = "VERSION", value_parser = parse_version)]
    to: u64,
    #[command(flatten)]
    base: BaseArgs,
}

pub fn exec(context: &mut ShellContext, args: &RollbackArgs) -> anyhow::Result<()> {
    roll_back_contract(context, &args.customer, args.to, &args.base.options())
}
