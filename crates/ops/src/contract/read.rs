//! Commands that read contracts from the fleet.

use anyhow::Context;

use super::{contract_path, fetch_contract};
use crate::client::{ApiCall, DaemonClient};
use crate::context::{OutputFormat, ShellContext};
use crate::table::TextTable;
use crate::view::{ContractList, ContractSummary, HistoryEntry, HistoryView};

/// Number of contracts requested per page of the list.
const PAGE_SIZE: usize = 500;

/// Prints the contract in force to stdout and its version to stderr.
///
/// # Errors
///
/// Returns an error if the customer has no contract or no daemon answers.
pub fn show_contract(context: &mut ShellContext, customer: &str) -> anyhow::Result<()> {
    let client = DaemonClient::open(context.settings())?;
    let current = fetch_contract(&client, customer)
        .with_context(|| format!("could not show the contract of {customer}"))?;
    context.status("Version", current.version);
    context.data_line(current.contract.to_json())
}

/// Prints all customers with the versions of their contracts.
///
/// # Errors
///
/// Returns an error if no daemon answers.
pub fn list_contracts(context: &mut ShellContext, format: OutputFormat) -> anyhow::Result<()> {
    let client = DaemonClient::open(context.settings())?;
    let contracts = fetch_list(&client).context("could not list the contracts")?;
    if format == OutputFormat::Json {
        return context.data_json(&contracts);
    }
    let mut table = TextTable::new(&["CUSTOMER", "VERSION", "TEAM"]);
    for summary in contracts {
        let team = summary.team.unwrap_or_default();
        table.row([summary.customer, summary.version.to_string(), team]);
    }
    context.data(table)
}

fn fetch_list(client: &DaemonClient) -> anyhow::Result<Vec<ContractSummary>> {
    let mut contracts = Vec::new();
    let mut after = None;
    loop {
        let path = list_path(after.as_deref());
        let page: ContractList = client.call(&ApiCall::get(&path))?.json()?;
        contracts.extend(page.contracts);
        // A cursor that does not advance would repeat the same page forever.
        if page.next.is_none() || page.next == after {
            return Ok(contracts);
        }
        after = page.next;
    }
}

fn list_path(after: Option<&str>) -> String {
    match after {
        Some(after) => {
            let after = super::escape_segment(after);
            format!("/v1/contracts?limit={PAGE_SIZE}&after={after}")
        }
        None => format!("/v1/contracts?limit={PAGE_SIZE}"),
    }
}

/// Prints the history of a contract, newest change first.
///
/// # Errors
///
/// Returns an error if the customer is unknown or no daemon answers.
pub fn contract_history(
    context: &mut ShellContext,
    customer: &str,
    format: OutputFormat,
) -> anyhow::Result<()> {
    let client = DaemonClient::open(context.settings())?;
    let path = format!("{}/history", contract_path(customer));
    let reply = client
        .call(&ApiCall::get(&path))
        .with_context(|| format!("could not read the history of {customer}"))?;
    let history: HistoryView = reply.json()?;
    if format == OutputFormat::Json {
        return context.data_json(&history);
    }
    let heading = [
        "VERSION", "BASE", "ACTION", "OPERATOR", "AT", "CHANGE", "OUTCOME",
    ];
    let mut table = TextTable::new(&heading);
    for entry in history.entries {
        table.row(history_row(entry));
    }
    context.data(table)
}

fn history_row(entry: HistoryEntry) -> [String; 7] {
    let number =
        |version: Option<u64>| version.map_or("-".to_owned(), |version| version.to_string());
    let outcome = match entry.reason {
        Some(reason) => format!("{}: {reason}", entry.outcome),
        None => entry.outcome,
    };
    [
        number(entry.version),
        number(entry.base),
        entry.action,
        entry.operator,
        entry.at.unwrap_or_default(),
        entry.change,
        outcome,
    ]
}
