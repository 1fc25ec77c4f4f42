//! `sycamorelink contract schema`

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::contract::print_schema;

#[derive(Debug, Args)]
pub struct SchemaArgs {}

pub fn exec(context: &mut ShellContext, _args: &SchemaArgs) -> anyhow::Result<()> {
    print_schema(context)
}
