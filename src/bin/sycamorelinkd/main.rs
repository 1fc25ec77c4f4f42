//! The daemon binary: parses arguments, runs the daemon and maps its result to an exit code.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use sycamorelink_core::FindingList;
use sycamorelink_daemon::adapters::DaemonAdapters;
use sycamorelink_daemon::settings::{DaemonSettings, InterfaceProtocol};
use sycamorelink_ops::serve::serve_daemon;
use sycamorelink_ops::{ExitKind, ShellContext, ToolSettings, exit_kind};

/// Daemon of a sycamorelink fleet, one beside the backend servers of each instance.
#[derive(Debug, Parser)]
#[command(name = "sycamorelinkd", version, max_term_width = 100)]
struct DaemonArgs {
    /// File with the settings, in JSON
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Builds the interface adapters that the settings select: the native ones or the platform's.
fn build_adapters(settings: &DaemonSettings) -> Result<DaemonAdapters, FindingList> {
    match settings.interface {
        InterfaceProtocol::Own => Ok(DaemonAdapters::native(settings)),
        InterfaceProtocol::Platform => sycamorelink_platform::adapters(settings),
    }
}

fn main() -> ExitCode {
    let args = DaemonArgs::parse();
    let mut context = ShellContext::builder(ToolSettings::default()).build();
    match serve_daemon(&mut context, &args.settings, &build_adapters) {
        Ok(()) => ExitKind::Success.code().into(),
        Err(error) => {
            context.error(&error);
            exit_kind(&error).code().into()
        }
    }
}
