//! `sycamorelink contract show`

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::{list_contracts, show_contract};

use crate::cli::FormatArgs;

#[derive(Debug, Args)]
pub struct ShowArgs {
    /// Customer; all customers are listed when absent
    customer: Option<String>,
    #[command(flatten)]
    format: FormatArgs,
}

pub fn exec(context: &mut ShellContext, args: &ShowArgs) -> anyhow::Result<()> {
    match &args.customer {
        Some(customer) => show_contract(context, customer),
        None => list_contracts(context, args.format.output_format()),
    }
}
