//! Commands that change contracts: publish, amend, remove and roll back.

use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use http::Method;
use serde::Serialize;
use uuid::Uuid;

use super::follow::{WaitOptions, follow_change};
use super::{contract_path, fetch_contract, read_contract};
use crate::client::{ApiCall, ApiFailure, DaemonClient};
use crate::context::ShellContext;
use crate::view::ChangeResult;

/// HTTP status of a change that the log has not confirmed yet.
const STATUS_ACCEPTED: u16 = 202;

/// Options common to all changes.
#[derive(Clone, Debug)]
pub struct ChangeOptions {
    /// Id of the change; `None` generates one. Sending the same id again, to any daemon, is safe.
    pub change: Option<Uuid>,
    /// Maximum time to wait for the log to confirm the change.
    pub wait: Duration,
}

/// Version that a change amends.
///
/// There is no default, so that one operator cannot silently overwrite the change of another: a
/// file edited from version 5 must not replace version 6, published meanwhile. The fleet rejects a
/// change whose base version is no longer in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaseVersion {
    /// Version that the file was edited from.
    Version(u64),
    /// Version in force at the time of the call. May overwrite changes of other operators.
    Current,
}

/// Options of a change to an existing contract.
#[derive(Clone, Debug)]
pub struct AmendOptions {
    /// Version that the change amends.
    pub base: BaseVersion,
    /// Options common to all changes.
    pub change: ChangeOptions,
}

#[derive(Serialize)]
struct RollbackRequest {
    to: u64,
}

/// Publishes the first contract of a customer.
///
/// # Errors
///
/// Returns an error if the file has findings, the customer already has a contract, or no daemon
/// accepts the change.
pub fn publish_contract(
    context: &mut ShellContext,
    file: &Path,
    options: &ChangeOptions,
) -> anyhow::Result<()> {
    let contract = read_contract(file)?;
    let client = DaemonClient::open(context.settings())?;
    let customer = contract.customer.to_string();
    let draft = ChangeDraft {
        verb: "Publishing",
        customer: &customer,
        base: 0,
    };
    let call = ApiCall::new(Method::PUT, &contract_path(&customer)).body(&contract)?;
    send_change(context, &client, &draft, call, options)
        .with_context(|| format!("could not publish the contract of {customer}"))
}

/// Replaces the contract of a customer.
///
/// # Errors
///
/// Returns an error if the file has findings, another version is in force, or no daemon accepts the
/// change.
pub fn amend_contract(
    context: &mut ShellContext,
    file: &Path,
    options: &AmendOptions,
) -> anyhow::Result<()> {
    let contract = read_contract(file)?;
    let client = DaemonClient::open(context.settings())?;
    let customer = contract.customer.to_string();
    let error_context = || format!("could not amend the contract of {customer}");
    let base = base_version(&client, &customer, options.base).with_context(error_context)?;
    let draft = ChangeDraft {
        verb: "Amending",
        customer: &customer,
        base,
    };
    let call = ApiCall::new(Method::PUT, &contract_path(&customer)).body(&contract)?;
    send_change(context, &client, &draft, call, &options.change).with_context(error_context)
}

/// Removes the contract of a customer.
///
/// # Errors
///
/// Returns an error if another version is in force or no daemon accepts the change.
pub fn remove_contract(
    context: &mut ShellContext,
    customer: &str,
    options: &AmendOptions,
) -> anyhow::Result<()> {
    let client = DaemonClient::open(context.settings())?;
    let error_context = || format!("could not remove the customer {customer}");
    let base = base_version(&client, customer, options.base).with_context(error_context)?;
    let draft = ChangeDraft {
        verb: "Removing",
        customer,
        base,
    };
    let call = ApiCall::new(Method::DELETE, &contract_path(customer));
    send_change(context, &client, &draft, call, &options.change).with_context(error_context)
}

/// Publishes the content of an earlier version as a new version.
///
/// # Errors
///
/// Returns an error if the version is unknown, the base version is not in force, or no daemon
/// accepts the change.
pub fn roll_back_contract(
    context: &mut ShellContext,
    customer: &str,
    to: u64,
    options: &AmendOptions,
) -> anyhow::Result<()> {
    let client = DaemonClient::open(context.settings())?;
    let error_context =
        || format!("could not roll the contract of {customer} back to version {to}");
    let base = base_version(&client, customer, options.base).with_context(error_context)?;
    let draft = ChangeDraft {
        verb: "Rolling back",
        customer,
        base,
    };
    let path = format!("{}/rollback", contract_path(customer));
    let call = ApiCall::new(Method::POST, &path).body(&RollbackRequest { to })?;
    send_change(context, &client, &draft, call, &options.change).with_context(error_context)
}

/// Description of a change for status lines.
struct ChangeDraft<'a> {
    verb: &'static str,
    customer: &'a str,
    base: u64,
}

fn base_version(client: &DaemonClient, customer: &str, base: BaseVersion) -> anyhow::Result<u64> {
    match base {
        BaseVersion::Version(version) => Ok(version),
        BaseVersion::Current => Ok(fetch_contract(client, customer)?.version),
    }
}

fn send_change(
    context: &mut ShellContext,
    client: &DaemonClient,
    draft: &ChangeDraft<'_>,
    call: ApiCall,
    options: &ChangeOptions,
) -> anyhow::Result<()> {
    let id = options.change.unwrap_or_else(Uuid::now_v7).to_string();
    context.status(draft.verb, change_subject(draft, &id));
    let wait = WaitOptions {
        limit: options.wait,
        everywhere: false,
    };
    let reply = match client.call(&call.change(&id, draft.base)) {
        Ok(reply) => reply,
        Err(error) if is_own_change(&error, &id) => {
            return follow_change(context, client, &id, &wait);
        }
        Err(error) => {
            if !is_definite_rejection(&error) {
                context.hint(format_args!(
                    "the change may have taken effect if its reply was lost; ask with \
                     `sycamorelink contract wait {id}` or send it again with `--change {id}`"
                ));
            }
            return Err(error);
        }
    };
    if reply.status == STATUS_ACCEPTED {
        return follow_change(context, client, &id, &wait);
    }
    let result: ChangeResult = reply.json()?;
    let customer = draft.customer;
    context.status(
        "In force",
        format_args!("{customer} at version {}", result.version),
    );
    context.data_line(result.version)
}

/// Returns whether the conflicting change is the one that was sent.
///
/// If a daemon accepts the change and its reply is lost, the next daemon reports the base as stale
/// because of that same change. Without this check the tool would report a conflict with another
/// operator. Change ids are unique, so comparing them is sufficient.
fn is_own_change(error: &anyhow::Error, id: &str) -> bool {
    let Some(ApiFailure::Problem(problem)) = error.downcast_ref() else {
        return false;
    };
    let conflict = problem.winner.as_ref();
    let change = conflict.and_then(|conflict| conflict.change.as_deref());
    change.and_then(|change| change.parse().ok()) == id.parse::<Uuid>().ok()
}

/// Returns whether the refusal guarantees that the change has no effect.
fn is_definite_rejection(error: &anyhow::Error) -> bool {
    let failure = error.downcast_ref();
    matches!(failure, Some(ApiFailure::Problem(problem)) if problem.status < 500)
}

fn change_subject(draft: &ChangeDraft<'_>, id: &str) -> String {
    let customer = draft.customer;
    match draft.base {
        0 => format!("{customer} (change {id})"),
        base => format!("{customer} on version {base} (change {id})"),
    }
}
