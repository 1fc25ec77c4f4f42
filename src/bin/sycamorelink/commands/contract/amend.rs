//! `sycamorelink contract amend`

use std::path::PathBuf;

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::amend_contract;

use super::BaseArgs;

#[derive(Debug, Args)]
pub struct AmendArgs {
    /// File with the contract
    file: PathBuf,
    #[command(flatten)]
    base: BaseArgs,
}

pub fn exec(context: &mut ShellContext, args: &AmendArgs) -> anyhow::Result<()> {
    amend_contract(context, &args.file, &args.base.options())
}
