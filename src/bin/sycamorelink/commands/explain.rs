//! `sycamorelink explain`

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::explain::{explain_code, list_codes};

#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Number or name of an event (SL3003, upstream-ejected), or a refusal (overloaded)
    #[arg(required_unless_present = "list")]
    code: Option<String>,
    /// List every event and refusal
    #[arg(long, conflicts_with = "code")]
    list: bool,
}

pub fn exec(context: &mut ShellContext, args: &ExplainArgs) -> anyhow::Result<()> {
    match &args.code {
        Some(code) => explain_code(context, code),
        None => list_codes(context),
    }
}
