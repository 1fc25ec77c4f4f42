//! `sycamorelink completions`

use clap::Args;
use clap_complete::{Shell, generate};
use sycamorelink_ops::ShellContext;

use crate::cli;

#[derive(Debug, Args)]
pub struct CompletionsArgs {
    /// Shell
    shell: Shell,
}

pub fn exec(context: &mut ShellContext, args: &CompletionsArgs) -> anyhow::Result<()> {
    let mut script = Vec::new();
    generate(
        args.shell,
        &mut cli::clap_command(),
        "sycamorelink",
        &mut script,
    );
    context.data(String::from_utf8(script)?)
}
