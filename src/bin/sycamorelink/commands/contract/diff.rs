//! `sycamorelink contract diff`

use std::path::PathBuf;

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::{DiffBaseline, diff_contracts};

#[derive(Debug, Args)]
pub struct DiffArgs {
    /// File with the contract
    file: PathBuf,
    /// File with an earlier contract; the one in force when absent
    #[arg(long, value_name = "FILE")]
    against: Option<PathBuf>,
}

pub fn exec(context: &mut ShellContext, args: &DiffArgs) -> anyhow::Result<()> {
    let baseline = match &args.against {
        Some(file) => DiffBaseline::File(file.clone()),
        None => DiffBaseline::Fleet,
    };
    diff_contracts(context, &args.file, &baseline)
}
