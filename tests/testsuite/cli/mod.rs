//! Command-line tests: help, findings, hints and exit codes.

mod api;
mod contract;
mod daemon;
mod dev;
mod exit_codes;
mod explain;
mod help;
mod settings;
mod stand_in;
mod trace;

use std::path::Path;
use std::process::{Command, Output};

/// Runs the tool and formats its exit code, stdout and stderr as one text for snapshots.
fn run(args: &[&str]) -> String {
    run_in(Path::new("."), args)
}

/// Runs the tool as `run` does, in the given directory.
fn run_in(directory: &Path, args: &[&str]) -> String {
    render(&output_in(directory, args))
}

fn output_in(directory: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sycamorelink"))
        .args(args)
        .current_dir(directory)
        .env_remove("SYCAMORELINK_DAEMON")
        .env_remove("SYCAMORELINK_TOKEN")
        .env("COLUMNS", "100")
        .output()
        .expect("the tool runs")
}

fn render(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    let code = output.status.code().expect("the tool exits by itself");
    format!("exit code {code}\n--- stdout\n{out}--- stderr\n{err}")
}
