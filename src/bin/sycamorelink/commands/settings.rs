//! `sycamorelink settings`

use std::path::PathBuf;

use clap::{Args, Subcommand};
use sycamorelink_ops::ShellContext;
use sycamorelink_ops::settings_check::check_settings;

#[derive(Debug, Args)]
pub struct SettingsArgs {
    #[command(subcommand)]
    command: SettingsCommand,
}

#[derive(Debug, Subcommand)]
enum SettingsCommand {
    /// Read a daemon's settings as it would and report all findings
    Check {
        /// File with the settings
        file: PathBuf,
    },
}

pub fn exec(context: &mut ShellContext, args: &SettingsArgs) -> anyhow::Result<()> {
    match &args.command {
        SettingsCommand::Check { file } => check_settings(context, file),
    }
}
