//! The `settings check` command: validates a settings file with the daemon's own parser.

use std::path::Path;

use anyhow::Context;
use sycamorelink_daemon::settings::DaemonSettings;

use crate::context::ShellContext;
use crate::exit::ToolFailure;

/// Reads and validates the settings of a daemon.
///
/// # Errors
///
/// Returns an error if the file cannot be read or has findings.
pub fn read_settings(file: &Path) -> anyhow::Result<DaemonSettings> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).with_context(|| format!("could not read {name}"))?;
    DaemonSettings::from_json(&text, &name)
        .map_err(ToolFailure::Findings)
        .with_context(|| format!("the settings in {name} are not valid"))
}

/// Validates a settings file and reports all findings at once.
///
/// # Errors
///
/// Returns an error if the file cannot be read or has findings.
pub fn check_settings(context: &mut ShellContext, file: &Path) -> anyhow::Result<()> {
    let settings = read_settings(file)?;
    let subject = format!(
        "{}: instance {} in failure domain {}",
        file.display(),
        settings.instance,
        settings.domain
    );
    context.status("Valid", subject);
    Ok(())
}
