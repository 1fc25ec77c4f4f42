//! `sycamorelink trace`

use std::path::PathBuf;

use clap::Args;
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::trace::trace_request;

#[derive(Debug, Args)]
pub struct TraceArgs {
    /// The request's id as its caller sent it, or as the fleet gave it
    #[arg(value_name = "ID")]
    id: String,
    /// Logs of the daemons, JSON lines of level `debug`; `-` for standard input
    #[arg(value_name = "LOG", required = true)]
    logs: Vec<PathBuf>,
}

pub fn exec(context: &mut ShellContext, args: &TraceArgs) -> anyhow::Result<()> {
    trace_request(context, &args.id, &args.logs)
}
