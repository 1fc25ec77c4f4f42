//! Definition of the command line: the common options and the output format.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, CommandFactory, Parser, ValueEnum};
use sycamorelink_daemon::settings::parse_duration;
use sycamorelink_ops::settings::{DAEMON_VARIABLE, SettingsSource, TOKEN_VARIABLE, parse_address};
use sycamorelink_ops::{OutputFormat, ShellContext};

use crate::commands::TopCommand;

/// Help heading of the options that every command accepts.
const COMMON: &str = "Common options";

/// Text below the options in the program's help.
const AFTER_HELP: &str = "\
Any daemon takes any call: name one or several with `--daemon` or in SYCAMORELINK_DAEMON.
Data goes to stdout, everything else to stderr; exit codes are in docs/exit-codes.md.";

/// Publishes contracts to a sycamorelink fleet and shows what the fleet does.
#[derive(Debug, Parser)]
#[command(name = "sycamorelink", version, after_help = AFTER_HELP, max_term_width = 100)]
#[command(subcommand_required = true, arg_required_else_help = true)]
pub struct CommandLine {
    #[command(flatten)]
    pub global: GlobalArgs,
    #[command(subcommand)]
    pub command: TopCommand,
}

/// Returns the clap definition of the command line, from which completions are generated.
pub fn clap_command() -> clap::Command {
    CommandLine::command()
}

/// Arguments of every command.
#[derive(Debug, Args)]
pub struct GlobalArgs {
    /// Operators' address of a daemon; several are asked in order until one answers
    #[arg(long, value_name = "IP:PORT", value_parser = parse_address, global = true, help_heading = COMMON)]
    daemon: Vec<SocketAddr>,
    /// File with the operator's token
    #[arg(long, value_name = "FILE", global = true, help_heading = COMMON)]
    token_file: Option<PathBuf>,
    /// Longest time for one call to one daemon [default: 5s]
    #[arg(long, value_name = "TIME", value_parser = parse_duration, global = true, help_heading = COMMON)]
    timeout: Option<Duration>,
    /// No status lines and hints
    #[arg(short, long, global = true, help_heading = COMMON)]
    quiet: bool,
}

impl GlobalArgs {
    /// Builds the context of an operation from the options and the environment variables.
    ///
    /// Returns an error when the environment holds an invalid address or the token file is
    /// unreadable.
    pub fn build_context(&self) -> anyhow::Result<ShellContext> {
        let source = SettingsSource {
            daemons: self.daemon.clone(),
            token_file: self.token_file.clone(),
            timeout: self.timeout,
            daemon_variable: std::env::var(DAEMON_VARIABLE).ok(),
            token_variable: std::env::var(TOKEN_VARIABLE).ok(),
        };
        let builder = ShellContext::builder(source.resolve()?)
            .terminal(std::io::stdout().is_terminal())
            .quiet(self.quiet);
        Ok(builder.build())
    }
}

/// Form of the data on stdout.
#[derive(Debug, Args)]
pub struct FormatArgs {
    /// Form of the data
    #[arg(long, value_enum, default_value_t = DataFormat::Text, value_name = "FORM")]
    format: DataFormat,
}

impl FormatArgs {
    pub fn output_format(&self) -> OutputFormat {
        match self.format {
            DataFormat::Text => OutputFormat::Text,
            DataFormat::Json => OutputFormat::Json,
        }
    }
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum DataFormat {
    Text,
    Json,
}
