//! The `fleet`, `service`, `instance` and `drain` commands.

use anyhow::Context;
use http::Method;

use crate::client::{ApiCall, DaemonClient};
use crate::context::{OutputFormat, ShellContext};
use crate::contract::escape_segment;
use crate::exit::ToolFailure;
use crate::overload::print_overload;
use crate::table::TextTable;
use crate::view::{DrainView, FleetView, MemberView, ServiceUpstream, ServiceView, StatusView};

/// Prints the members of the fleet as seen by one daemon.
///
/// # Errors
///
/// Returns an error if no daemon answers.
pub fn show_fleet(context: &mut ShellContext, format: OutputFormat) -> anyhow::Result<()> {
    let client = DaemonClient::open(context.settings())?;
    let reply = client
        .call(&ApiCall::get("/v1/fleet"))
        .context("could not show the fleet")?;
    let fleet: FleetView = reply.json()?;
    if format == OutputFormat::Json {
        return context.data_json(&fleet);
    }
    context.data(fleet_table(&fleet))?;
    let alive = fleet
        .members
        .iter()
        .filter(|member| member.state == "alive")
        .count();
    context.status(
        "Members",
        format_args!("{alive} alive of {}", fleet.members.len()),
    );
    Ok(())
}

fn fleet_table(fleet: &FleetView) -> TextTable {
    let mut table = TextTable::new(&["INSTANCE", "DOMAIN", "STATE", "CONTRACTS", "UPSTREAMS"]);
    for member in &fleet.members {
        let head = member
            .contract_head
            .map_or("-".to_owned(), |head| head.to_string());
        table.row([
            member.instance.clone(),
            member.domain.clone(),
            member_state(member),
            head,
            member_upstreams(member),
        ]);
    }
    table
}

fn member_state(member: &MemberView) -> String {
    if member.reachable || member.state == "left" || member.state == "dead" {
        return member.state.clone();
    }
    format!("{}, out of reach", member.state)
}

fn member_upstreams(member: &MemberView) -> String {
    let texts = member.upstreams.iter().map(|upstream| {
        if upstream.phase == "ready" {
            upstream.service.clone()
        } else {
            format!("{} ({})", upstream.service, upstream.phase)
        }
    });
    texts.collect::<Vec<_>>().join(", ")
}

/// Prints the capacity floor of a service and the state of each of its upstreams.
///
/// # Errors
///
/// Returns an error if the service is unknown or no daemon answers.
pub fn show_service(
    context: &mut ShellContext,
    name: &str,
    format: OutputFormat,
) -> anyhow::Result<()> {
    let client = DaemonClient::open(context.settings())?;
    let path = format!("/v1/services/{}", escape_segment(name));
    let reply = client
        .call(&ApiCall::get(&path))
        .with_context(|| format!("could not show the service {name}"))?;
    let service: ServiceView = reply.json()?;
    if format == OutputFormat::Json {
        return context.data_json(&service);
    }
    context.data_line(floor_line(&service))?;
    context.data(service_table(&service))?;
    let Some(overload) = &service.overload else {
        return Ok(());
    };
    context.data_line("")?;
    print_overload(context, &service, overload)
}

fn floor_line(service: &ServiceView) -> String {
    let floor = &service.floor;
    format!(
        "{}: {} of {} slots in service, floor {} slots and {} upstreams, {} ejected\n",
        service.service,
        floor.serving_slots,
        floor.known_slots,
        floor.floor_slots,
        floor.floor_count,
        floor.ejected_count,
    )
}

fn service_table(service: &ServiceView) -> TextTable {
    let heading = [
        "UPSTREAM",
        "INSTANCE",
        "DOMAIN",
        "STATE",
        "WEIGHT",
        "SCORE",
        "CAUSE",
        "IN FLIGHT",
    ];
    let mut table = TextTable::new(&heading);
    for upstream in &service.upstreams {
        table.row(service_row(upstream));
    }
    table
}

fn service_row(upstream: &ServiceUpstream) -> [String; 8] {
    let state = match &upstream.ejected_for {
        Some(time) if upstream.ejected => format!("ejected for {time}"),
        _ => upstream.state().to_owned(),
    };
    [
        upstream.upstream.clone(),
        upstream.instance.clone().unwrap_or_default(),
        upstream.domain.clone().unwrap_or_default(),
        state,
        format!("{:.2}", upstream.weight),
        format!("{:.1}", upstream.suspicion),
        upstream.cause.clone().unwrap_or_default(),
        format!("{}/{}", upstream.in_flight, upstream.slots),
    ]
}

/// Prints the state of the first configured daemon.
///
/// # Errors
///
/// Returns an error if the daemon does not answer.
pub fn show_instance(context: &mut ShellContext, format: OutputFormat) -> anyhow::Result<()> {
    let client = DaemonClient::open(context.settings())?;
    let call = ApiCall::get("/v1/status").first_daemon_only();
    let reply = client.call(&call).context("could not show the instance")?;
    let status: StatusView = reply.json()?;
    if format == OutputFormat::Json {
        return context.data_json(&status);
    }
    for (name, value) in status_lines(&status) {
        context.data_line(format_args!("{name:<12} {value}"))?;
    }
    if status.upstreams.is_empty() {
        return Ok(());
    }
    context.data_line("")?;
    context.data(upstream_table(&status))
}

fn status_lines(status: &StatusView) -> [(&'static str, String); 8] {
    let log = if status.log.reachable {
        "reachable"
    } else {
        "out of reach"
    };
    let contracts = &status.contracts;
    [
        ("instance", status.instance.clone()),
        ("node", format!("{}@{}", status.node, status.incarnation)),
        (
            "domain",
            format!("{} in region {}", status.domain, status.region),
        ),
        ("state", status.state.clone()),
        ("uptime", status.uptime.clone()),
        ("in flight", status.in_flight.to_string()),
        ("log", format!("{log}, next offset {}", status.log.offset)),
        (
            "contracts",
            format!("{} customers, head {}", contracts.customers, contracts.head),
        ),
    ]
}

fn upstream_table(status: &StatusView) -> TextTable {
    let mut table = TextTable::new(&["SLOT", "SERVICE", "ADDRESS", "PHASE", "IN USE", "WAITING"]);
    let number = |count: Option<u32>| count.map_or("-".to_owned(), |count| count.to_string());
    for upstream in &status.upstreams {
        table.row([
            upstream.slot.to_string(),
            upstream.service.clone(),
            upstream.address.clone(),
            upstream.phase.clone(),
            format!("{}/{}", number(upstream.in_use), upstream.slots),
            number(upstream.waiting),
        ]);
    }
    table
}

/// Requests a drain of the configured daemon.
///
/// # Errors
///
/// Returns an error unless exactly one daemon is configured, or if that daemon refuses the call or
/// does not answer.
pub fn drain_instance(context: &mut ShellContext) -> anyhow::Result<()> {
    // Settings may list several daemons so that reads can fail over. A drain must not reach another
    // instance than the intended one, so it requires exactly one address.
    let [daemon] = context.settings().daemons[..] else {
        let message = "a drain needs exactly one `--daemon IP:PORT`".to_owned();
        return Err(ToolFailure::Usage(message).into());
    };
    let client = DaemonClient::open(context.settings())?;
    context.status("Draining", daemon);
    let call = ApiCall::new(Method::POST, "/v1/drain").first_daemon_only();
    let reply = client
        .call(&call)
        .with_context(|| format!("could not drain the daemon at {daemon}"))?;
    let drain: DrainView = reply.json()?;
    context.data_line(format_args!(
        "{}, {} in flight",
        drain.state, drain.in_flight
    ))
}
