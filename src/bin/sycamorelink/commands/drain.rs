//! `sycamorelink drain`

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::fleet::drain_instance;

#[derive(Debug, Args)]
pub struct DrainArgs {}

pub fn exec(context: &mut ShellContext, _args: &DrainArgs) -> anyhow::Result<()> {
    drain_instance(context)
}
