//! The `burn` command: error-budget burn rates, summed over the configured daemons.

use std::path::PathBuf;

use anyhow::Context;
use sycamorelink_telemetry::BurnReport;
use sycamorelink_telemetry::burn::{BurnPage, BurnSummary, BurnTable};

use crate::client::{ApiCall, DaemonClient};
use crate::context::ShellContext;

/// Output format and destination of the burn report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BurnOutput {
    /// Text table on stdout.
    Table,
    /// JSON on stdout.
    Json,
    /// HTML page with plots, written to a file.
    Page(PathBuf),
}

/// Collects the burn report from all configured daemons and prints it.
///
/// # Errors
///
/// Returns an error if no daemon answers or the page cannot be written.
pub fn report_burn(context: &mut ShellContext, output: &BurnOutput) -> anyhow::Result<()> {
    let client = DaemonClient::open(context.settings())?;
    let call = burn_call(output);
    let report =
        collect_reports(context, &client, &call).context("could not gather the burn report")?;
    let summary = BurnSummary::of(&report);
    match output {
        BurnOutput::Table => context.data_line(BurnTable(&summary)),
        BurnOutput::Json => context.data_line(summary.to_json()?),
        BurnOutput::Page(file) => {
            let name = file.display();
            let page = BurnPage(&summary).to_string();
            std::fs::write(file, page).with_context(|| format!("could not write {name}"))?;
            context.status("Wrote", name);
            Ok(())
        }
    }
}

/// Returns the call that requests the report. Only the HTML page plots data points, so only its
/// call requests them: they make a reply many times as long.
fn burn_call(output: &BurnOutput) -> ApiCall {
    match output {
        BurnOutput::Page(_) => ApiCall::get("/v1/burn?points=true"),
        BurnOutput::Table | BurnOutput::Json => ApiCall::get("/v1/burn"),
    }
}

/// Sums the reports of all daemons that answer. Returns the first error if none answers.
fn collect_reports(
    context: &mut ShellContext,
    client: &DaemonClient,
    call: &ApiCall,
) -> anyhow::Result<BurnReport> {
    let mut sum = BurnReport::default();
    let mut answered = false;
    let mut failure = None;
    for (daemon, reply) in client.call_all(call) {
        let report = reply.and_then(|reply| reply.json::<BurnReport>().map_err(Into::into));
        match report {
            Ok(report) => {
                answered = true;
                if !sum.merge(&report) {
                    context.warn(format_args!("{daemon} is counted already"));
                }
            }
            Err(error) => {
                context.warn(format_args!("{daemon} is not in the report"));
                sum.count_missing();
                failure.get_or_insert(error);
            }
        }
    }
    match failure {
        Some(error) if !answered => Err(error),
        _ => Ok(sum),
    }
}
