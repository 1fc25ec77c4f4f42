//! `sycamorelink contract validate`

use std::path::PathBuf;

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::validate_contracts;

#[derive(Debug, Args)]
pub struct ValidateArgs {
    /// Files with one contract each
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

pub fn exec(context: &mut ShellContext, args: &ValidateArgs) -> anyhow::Result<()> {
    validate_contracts(context, &args.files)
}
