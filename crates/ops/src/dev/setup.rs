//! Initial state of the development fleet: contracts in force, all upstreams known to all daemons.

use std::time::Duration;

use anyhow::{Context, bail};
use http::Method;
use uuid::Uuid;

use super::plan::{SERVICES, ServicePlan, dev_contracts};
use super::snapshot::poll_service;
use crate::client::{ApiCall, DaemonClient};
use crate::context::ShellContext;
use crate::view::ChangeResult;

/// Maximum time to wait until every daemon knows every upstream.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);
/// Interval between two polls of the daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Publishes the contracts of the development fleet through the operators' API.
pub(super) fn publish_contracts(
    context: &mut ShellContext,
    client: &DaemonClient,
) -> anyhow::Result<()> {
    for contract in dev_contracts() {
        let customer = contract.customer.to_string();
        let call = ApiCall::new(Method::PUT, &format!("/v1/contracts/{customer}"))
            .body(&contract)?
            .change(&Uuid::now_v7().to_string(), 0);
        let reply = client
            .call(&call)
            .with_context(|| format!("could not publish the contract of {customer}"))?;
        let result: ChangeResult = reply.json()?;
        context.status(
            "Published",
            format_args!("{customer}, version {}", result.version),
        );
    }
    Ok(())
}

/// Waits until every daemon knows every upstream, so that the start-up does not affect the first
/// health scores.
pub(super) fn wait_until_settled(
    context: &ShellContext,
    client: &DaemonClient,
    daemons: usize,
) -> anyhow::Result<()> {
    let deadline = context.clock().now() + SETTLE_LIMIT;
    let settled = |plan: &ServicePlan| {
        let aggregate = poll_service(client, plan);
        let seen_by_all = aggregate
            .upstreams
            .values()
            .all(|upstream| upstream.reports() == daemons);
        seen_by_all && aggregate.upstreams.len() == plan.instances
    };
    while !SERVICES.iter().all(settled) {
        if context.clock().now() >= deadline {
            bail!("not every daemon saw every upstream within {SETTLE_LIMIT:?}");
        }
        client.pause(POLL_INTERVAL);
    }
    Ok(())
}
