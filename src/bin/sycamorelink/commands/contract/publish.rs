//! `sycamorelink contract publish`

use std::path::PathBuf;

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::publish_contract;

use super::ChangeArgs;

#[derive(Debug, Args)]
pub struct PublishArgs {
    /// File with the contract
    file: PathBuf,
    #[command(flatten)]
    change: ChangeArgs,
}

pub fn exec(context: &mut ShellContext, args: &PublishArgs) -> anyhow::Result<()> {
    publish_contract(context, &args.file, &args.change.options())
}
