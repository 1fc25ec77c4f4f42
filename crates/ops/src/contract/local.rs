//! Commands on contract files: validate, compare, print samples and the schema.

use std::path::{Path, PathBuf};

use anyhow::Context;
use serde_json::Value;
use sycamorelink_contract::{CustomerContract, contract_schema, samples};
use sycamorelink_core::{FindingList, nearest_name};

use super::diff::value_differences;
use super::fetch_contract;
use crate::client::DaemonClient;
use crate::context::ShellContext;
use crate::exit::ToolFailure;

/// Reads and validates a contract file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or has findings.
pub fn read_contract(file: &Path) -> anyhow::Result<CustomerContract> {
    let name = file.display();
    let text = std::fs::read_to_string(file).with_context(|| format!("could not read {name}"))?;
    CustomerContract::from_json(&text)
        .map_err(|findings| ToolFailure::Findings(prefix_with_file(findings, file)))
        .with_context(|| format!("the contract in {name} is not valid"))
}

fn prefix_with_file(mut findings: FindingList, file: &Path) -> FindingList {
    for finding in &mut findings.0 {
        finding.place = format!("{}: {}", file.display(), finding.place);
    }
    findings
}

/// Validates all files and reports the findings of all of them.
///
/// # Errors
///
/// Returns an error if a file cannot be read or has findings.
pub fn validate_contracts(context: &mut ShellContext, files: &[PathBuf]) -> anyhow::Result<()> {
    let mut findings = FindingList::default();
    let mut invalid_count = 0;
    for file in files {
        let name = file.display();
        match read_contract(file) {
            Ok(contract) => context.status("Valid", format_args!("{name}: {}", contract.customer)),
            Err(error) => match error.downcast::<ToolFailure>()? {
                ToolFailure::Findings(found) => {
                    invalid_count += 1;
                    findings.0.extend(found.0);
                }
                other => return Err(other.into()),
            },
        }
    }
    findings
        .into_result()
        .map_err(ToolFailure::Findings)
        .with_context(|| format!("{invalid_count} of {} contracts are not valid", files.len()))
}

/// Prints the JSON schema of a contract.
///
/// # Errors
///
/// Returns an error if stdout cannot be written.
pub fn print_schema(context: &mut ShellContext) -> anyhow::Result<()> {
    context.data_json(&contract_schema())
}

/// Contract to compare a file with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiffBaseline {
    /// Contract in another file.
    File(PathBuf),
    /// Contract in force in the fleet for the same customer.
    Fleet,
}

/// Prints the differences between the contract in a file and another contract.
///
/// # Errors
///
/// Returns [`ToolFailure::Different`] if the contracts differ, or another error if one cannot be
/// read.
pub fn diff_contracts(
    context: &mut ShellContext,
    file: &Path,
    baseline: &DiffBaseline,
) -> anyhow::Result<()> {
    let after = read_contract(file)?;
    let before = match baseline {
        DiffBaseline::File(other) => read_contract(other)?,
        DiffBaseline::Fleet => {
            let client = DaemonClient::open(context.settings())?;
            let current = fetch_contract(&client, after.customer.as_str())
                .with_context(|| format!("could not compare {} with the fleet", file.display()))?;
            context.status(
                "Comparing",
                format_args!("with version {}", current.version),
            );
            current.contract
        }
    };
    let differences = value_differences(&contract_value(&before)?, &contract_value(&after)?);
    for difference in &differences {
        context.data_line(difference)?;
    }
    if differences.is_empty() {
        context.status("Equal", after.customer);
        return Ok(());
    }
    Err(ToolFailure::Different.into())
}

fn contract_value(contract: &CustomerContract) -> anyhow::Result<Value> {
    serde_json::to_value(contract).context("could not write the contract as JSON")
}

/// Prints a sample contract.
///
/// # Errors
///
/// Returns [`ToolFailure::NotFound`] if there is no sample of this name.
pub fn print_sample(context: &mut ShellContext, name: &str) -> anyhow::Result<()> {
    let text = match name {
        BRANNOCK => samples::brannock_json(),
        HARBOUR_MESH => samples::harbour_mesh_json(),
        _ => return Err(unknown_sample(name).into()),
    };
    context.data_line(text.trim_end())
}

/// Sample of a customer with many small calls and bookings.
const BRANNOCK: &str = "brannock";
/// Sample of a customer with lookups, payouts and large uploads.
const HARBOUR_MESH: &str = "harbour-mesh";

fn unknown_sample(name: &str) -> ToolFailure {
    let hint = match nearest_name(name, [BRANNOCK, HARBOUR_MESH]) {
        Some(near) => format!("did you mean `{near}`?"),
        None => format!("there are `{BRANNOCK}` and `{HARBOUR_MESH}`"),
    };
    ToolFailure::NotFound(format!("there is no sample `{name}`; {hint}"))
}
