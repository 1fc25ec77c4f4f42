//! Polls a change by its id until it is accepted or rejected.

use std::time::Duration;

use anyhow::Context;

use crate::client::{ApiCall, DaemonClient};
use crate::context::ShellContext;
use crate::exit::ToolFailure;
use crate::view::{ChangeState, ChangeView, FleetView, MemberView};

/// Interval between two queries for the state of a change.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Options of waiting for a change.
#[derive(Clone, Copy, Debug)]
pub struct WaitOptions {
    /// Maximum time to wait.
    pub limit: Duration,
    /// Whether to wait until the change is in force on every live daemon whose contract version is
    /// known.
    pub everywhere: bool,
}

/// Waits until a change is accepted and prints the version that the change created.
///
/// # Errors
///
/// Returns an error if the change is rejected, is not confirmed in time, or no daemon answers.
pub fn wait_for_change(
    context: &mut ShellContext,
    change: &str,
    options: &WaitOptions,
) -> anyhow::Result<()> {
    let client = DaemonClient::open(context.settings())?;
    follow_change(context, &client, change, options)
        .with_context(|| format!("could not wait for the change {change}"))
}

pub(super) fn follow_change(
    context: &mut ShellContext,
    client: &DaemonClient,
    change: &str,
    options: &WaitOptions,
) -> anyhow::Result<()> {
    let deadline = context.clock().now() + options.limit;
    context.status("Waiting", format_args!("for the change {change}"));
    let version = loop {
        if let Some(version) = settled_version(client, change)? {
            break version;
        }
        pause_or_time_out(context, client, change, deadline)?;
    };
    context.status("Accepted", format_args!("as version {version}"));
    if options.everywhere {
        await_rollout(
            context,
            client,
            &RolloutGoal {
                change,
                version,
                deadline,
            },
        )?;
    }
    context.data_line(version)
}

/// Version that must be in force on every daemon before a deadline.
struct RolloutGoal<'a> {
    change: &'a str,
    version: u64,
    deadline: Duration,
}

fn await_rollout(
    context: &mut ShellContext,
    client: &DaemonClient,
    goal: &RolloutGoal<'_>,
) -> anyhow::Result<()> {
    loop {
        let fleet: FleetView = client.call(&ApiCall::get("/v1/fleet"))?.json()?;
        let behind = members_behind(&fleet, goal.version);
        if behind.is_empty() {
            context.status(
                "In force",
                format_args!("on {} daemons", fleet.members.len()),
            );
            return Ok(());
        }
        context.status("Waiting", format_args!("for {}", summarize_names(&behind)));
        pause_or_time_out(context, client, goal.change, goal.deadline)?;
    }
}

/// Returns the version that the change created; `None` while the change is pending.
fn settled_version(client: &DaemonClient, change: &str) -> anyhow::Result<Option<u64>> {
    let call = ApiCall::get(&format!("/v1/changes/{change}"));
    let view: ChangeView = client.call(&call)?.json()?;
    match view.state {
        ChangeState::Accepted => Ok(Some(view.version.unwrap_or_default())),
        ChangeState::Pending | ChangeState::Unknown => Ok(None),
        ChangeState::Rejected => Err(rejection(change, &view).into()),
    }
}

fn rejection(change: &str, view: &ChangeView) -> ToolFailure {
    let reason = view.reason.as_deref().unwrap_or("no reason given");
    let reason = match &view.winner {
        Some(conflict) => format!("{reason}; {conflict}"),
        None => reason.to_owned(),
    };
    ToolFailure::Rejected {
        change: change.to_owned(),
        reason,
    }
}

fn pause_or_time_out(
    context: &ShellContext,
    client: &DaemonClient,
    change: &str,
    deadline: Duration,
) -> anyhow::Result<()> {
    if context.clock().now() >= deadline {
        let change = change.to_owned();
        return Err(ToolFailure::Unconfirmed { change }.into());
    }
    client.pause(POLL_INTERVAL);
    Ok(())
}

/// Returns the names of live members that lack the version. A version is the offset of its record
/// plus one, so it is in force at a member whose `contract_head`, the next offset to read, is at
/// least the version. Members with an unknown head are skipped.
fn members_behind(fleet: &FleetView, version: u64) -> Vec<&str> {
    let behind = |member: &&MemberView| {
        let runs = member.state == "alive" || member.state == "leaving";
        runs && member.contract_head.is_some_and(|head| head < version)
    };
    let members = fleet.members.iter().filter(behind);
    members.map(|member| member.instance.as_str()).collect()
}

/// Joins the first names and appends the number of the remaining ones.
fn summarize_names(names: &[&str]) -> String {
    /// Maximum number of names in one line.
    const MAX_NAMES: usize = 4;
    let shown = names.iter().take(MAX_NAMES).copied().collect::<Vec<_>>();
    match names.len().saturating_sub(MAX_NAMES) {
        0 => shown.join(", "),
        more => format!("{} and {more} more", shown.join(", ")),
    }
}
