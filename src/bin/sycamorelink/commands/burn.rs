//! `sycamorelink burn`

use std::path::PathBuf;

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::burn::{BurnOutput, report_burn};

#[derive(Debug, Args)]
pub struct BurnArgs {
    /// Print JSON
    #[arg(long, conflicts_with = "html")]
    json: bool,
    /// Write a page to a file
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

pub fn exec(context: &mut ShellContext, args: &BurnArgs) -> anyhow::Result<()> {
    let output = match &args.html {
        Some(file) => BurnOutput::Page(file.clone()),
        None if args.json => BurnOutput::Json,
        None => BurnOutput::Table,
    };
    report_burn(context, &output)
}
