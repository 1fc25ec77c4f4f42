//! The command-line binary: parses arguments, runs a command and maps its result to an exit code.

mod cli;
mod commands;

use std::process::ExitCode;

use clap::Parser;
use sycamorelink_ops::{ExitKind, exit_kind};

use crate::cli::CommandLine;

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let mut context = match command_line.global.build_context() {
        Ok(context) => context,
        Err(error) => {
            eprintln!("error: {error:#}");
            return exit_kind(&error).code().into();
        }
    };
    match commands::exec(&mut context, command_line.command) {
        Ok(()) => ExitKind::Success.code().into(),
        Err(error) => {
            let kind = exit_kind(&error);
            if kind != ExitKind::Success {
                context.error(&error);
            }
            kind.code().into()
        }
    }
}
